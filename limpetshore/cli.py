"""Provide the command line for operators and process supervisors."""

import contextlib
import signal
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Annotated, Any

import anyio
import httpcore
import msgspec
import typer

from limpetshore import explaining, log, node
from limpetshore.coordination import policy_updates
from limpetshore.errors import (
    LimpetshoreError,
    SettingsError,
    StoreError,
    TicketError,
)
from limpetshore.metrics import Metrics
from limpetshore.settings import (
    load_settings,
    parse_address,
)
from limpetshore.settings_reference import describe_settings
from limpetshore.state.policies import Customer, Policy, hash_key, issue_key
from limpetshore.state.store import HttpObjectStore, ObjectStore
from limpetshore.state.tickets import Ticket, TicketOutcome, load_ticket

EXIT_BAD_INPUT = 2
EXIT_FAILED = 1
STORE_TIMEOUT_S = 3
MIN_HASH_PREFIX_LENGTH = 12

StoreOption = Annotated[
    str,
    typer.Option('--store', help='Address of the object API, host:port.'),
]
OperatorOption = Annotated[
    str,
    typer.Option(
        '--operator', help='Name of the operator, recorded with the ticket.'
    ),
]
NumberOption = Annotated[
    int,
    typer.Option('--number', help='Ticket number; 0 uses the next number.'),
]

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help='Control overload in service call graphs.',
)


@contextlib.contextmanager
def explain_errors() -> Iterator[None]:
    """Print each error on one line and exit with a status.

    Invalid settings and tickets exit with `EXIT_BAD_INPUT`, other errors with
    `EXIT_FAILED`.
    """
    try:
        yield
    except (SettingsError, TicketError) as error:
        for mistake in error.mistakes:
            typer.echo(f'error: {mistake}', err=True)
        raise typer.Exit(EXIT_BAD_INPUT) from error
    except (LimpetshoreError, OSError) as error:
        typer.echo(f'error: {error}', err=True)
        raise typer.Exit(EXIT_FAILED) from error


def run_with_store(
    address: str,
    operation: Callable[[ObjectStore], Awaitable[Any]],
) -> Any:
    """Run an operation in an event loop with a client of the store."""

    async def run_operation() -> Any:  # noqa: WPS430
        store = HttpObjectStore(
            parse_address(address),
            STORE_TIMEOUT_S,
            Metrics(),
        )
        try:
            return await operation(store)
        finally:
            await store.close()

    return anyio.run(run_operation)


def apply_and_report(address: str, ticket: Ticket) -> TicketOutcome:
    """Apply a ticket and print its outcome."""

    async def apply(store: ObjectStore) -> TicketOutcome:  # noqa: WPS430
        return await policy_updates.write_ticket(store, ticket)

    outcome = run_with_store(address, apply)
    outcome_text = (
        'already in force' if outcome.is_already_applied else 'accepted'
    )
    typer.echo(
        f'ticket {ticket.number} {outcome_text}, version {outcome.version}'
    )
    return outcome


def read_policy(address: str) -> Policy:
    """Return the policy recorded in the store."""
    policy, _ = run_with_store(address, policy_updates.read_policy)
    return policy


def find_customer(policy: Policy, name: str) -> Customer:
    """Return a customer of the policy.

    Raise `TicketError` with the known customers if there is no such customer.
    """
    if name not in policy.customers:
        known = ', '.join(sorted(policy.customers)) or 'none'
        raise TicketError([f'no customer {name!r}; known customers: {known}'])
    return policy.customers[name]


@app.command('node')
def run_node(path: Path) -> None:
    """Run a node with a settings file until SIGTERM or SIGINT."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    with explain_errors():
        settings = load_settings(path)
        log.set_up(settings.log.level, settings.node.name)
        node.run(settings)


@app.command()
def check(path: Path) -> None:
    """Check a settings file and report every mistake."""
    with explain_errors():
        load_settings(path)
    typer.echo(f'{path}: no mistakes found')


@app.command()
def settings() -> None:
    """Print the reference page of all settings."""
    typer.echo(describe_settings())


@app.command('check-ticket')
def check_ticket_file(path: Path) -> None:
    """Check a ticket file without the store and report every mistake."""
    with explain_errors():
        ticket = load_ticket(path)
    typer.echo(f'{path}: ticket {ticket.number} is well formed')


@app.command('apply')
def apply_file(path: Path, store: StoreOption) -> None:
    """Apply a ticket file; applying the same file again has no effect."""
    with explain_errors():
        apply_and_report(store, load_ticket(path))


@app.command()
def show(store: StoreOption) -> None:
    """Show the active policy as recorded in the store."""
    with explain_errors():
        policy = read_policy(store)
    shown = {
        'number': policy.number,
        'customers': {
            name: customer._asdict()
            for name, customer in policy.customers.items()
        },
        'routes': {
            name: route._asdict() for name, route in policy.routes.items()
        },
        'drained': policy.drained,
        'last_tickets': [ticket._asdict() for ticket in policy.accepted[-5:]],
    }
    typer.echo(msgspec.json.format(msgspec.json.encode(shown)).decode())


@app.command('issue-key')
def issue_key_for(
    customer: str,
    store: StoreOption,
    operator: OperatorOption = 'unnamed',
    number: NumberOption = 0,
) -> None:
    """Issue a key for a customer; print it once and store only its hash."""
    key = issue_key()
    with explain_errors():
        policy = read_policy(store)
        record = find_customer(policy, customer)
        hashes = [*record.key_hashes, hash_key(key)]
        ticket = Ticket(
            number=number or policy.number + 1,
            operator=operator,
            customers={customer: record._replace(key_hashes=hashes)},
        )
        apply_and_report(store, ticket)
    typer.echo(key)


@app.command('withdraw-key')
def withdraw_key(
    customer: str,
    key_or_hash: str,
    store: StoreOption,
    operator: OperatorOption = 'unnamed',
    number: NumberOption = 0,
) -> None:
    """Withdraw a key, given as the key itself or as a prefix of its hash."""
    with explain_errors():
        policy = read_policy(store)
        record = find_customer(policy, customer)
        full_hash = hash_key(key_or_hash)
        remaining_hashes = [
            key_hash
            for key_hash in record.key_hashes
            if key_hash != full_hash
            and not (
                len(key_or_hash) >= MIN_HASH_PREFIX_LENGTH
                and key_hash.startswith(key_or_hash)
            )
        ]
        if len(remaining_hashes) == len(record.key_hashes):
            raise TicketError([f'customer {customer} has no such key'])
        ticket = Ticket(
            number=number or policy.number + 1,
            operator=operator,
            customers={customer: record._replace(key_hashes=remaining_hashes)},
        )
        apply_and_report(store, ticket)


@app.command()
def drain(
    nodes: list[str],
    store: StoreOption,
    operator: OperatorOption = 'unnamed',
    number: NumberOption = 0,
    *,
    undo: Annotated[
        bool,
        typer.Option('--undo', help='Send new work to the nodes again.'),
    ] = False,
) -> None:
    """Stop sending new work to the backend servers of some nodes."""
    with explain_errors():
        policy = read_policy(store)
        drained = set(policy.drained)
        drained = drained - set(nodes) if undo else drained | set(nodes)
        ticket = Ticket(
            number=number or policy.number + 1,
            operator=operator,
            drained=tuple(sorted(drained)),
        )
        apply_and_report(store, ticket)


@app.command()
def status(
    admin: Annotated[
        str,
        typer.Option('--admin', help='Admin address of a node, host:port.'),
    ],
) -> None:
    """Show the status of a node."""
    with explain_errors():
        try:
            response = httpcore.request('GET', f'http://{admin}/status')
        except httpcore.NetworkError as error:
            raise StoreError(f'no answer from {admin}: {error}') from error
    typer.echo(msgspec.json.format(response.content).decode())


@app.command('explain')
def explain_request(
    request_id: Annotated[str, typer.Argument(help='Id of the request.')],
    logs: Annotated[
        list[typer.FileText],
        typer.Argument(help='Log files of nodes; - is standard input.'),
    ],
) -> None:
    """Explain the outcome of a request from the logs of nodes."""
    lines = (line for log_file in logs for line in log_file)
    explanation = explaining.explain(lines, request_id)
    if not explanation.request_lines:
        typer.echo(f'no line of these logs mentions request {request_id}')
        raise typer.Exit(EXIT_FAILED)
    for line in explaining.render(explanation):
        typer.echo(line)


def main() -> None:
    """Run the command-line application."""
    app()
