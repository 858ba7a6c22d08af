"""Check change tickets and decide whether they are accepted."""

import hashlib
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from limpetshore.checks import Name, check_value
from limpetshore.errors import TicketError
from limpetshore.state.policies import (
    EVERYONE,
    MAX_POLICY_BYTES,
    MAX_REMEMBERED_TICKETS,
    AcceptedTicket,
    Customer,
    Policy,
    Route,
    build_records,
    encode_policy,
)

TABLES = ('number', 'operator', 'customers', 'routes', 'remove', 'drained')
REMOVABLE = ('customers', 'routes')


class Ticket(NamedTuple):
    """Hold the whole new state of what one change touches."""

    number: int
    operator: str
    customers: dict[str, Customer] = {}
    routes: dict[str, Route] = {}
    removed_customers: tuple[str, ...] = ()
    removed_routes: tuple[str, ...] = ()
    drained: tuple[str, ...] | None = None

    @property
    def digest(self) -> str:
        """Return a hash of the content, the same for equal content."""
        content = msgspec.json.encode(
            [
                {name: row._asdict() for name, row in self.customers.items()},
                {name: row._asdict() for name, row in self.routes.items()},
                sorted(self.removed_customers),
                sorted(self.removed_routes),
                self.drained,
            ],
            order='sorted',
        )
        return hashlib.sha256(content).hexdigest()


class TicketOutcome(NamedTuple):
    """Say what applying a ticket did; `version` is the store's."""

    policy: Policy
    is_already_applied: bool
    version: int = 0


def check_ticket(tables: dict[str, Any]) -> Ticket:
    """Return the ticket that tables describe, or raise all mistakes."""
    mistakes: list[str] = []
    for unknown in sorted(set(tables) - set(TABLES)):
        allowed = ', '.join(TABLES)
        mistakes.append(f'{unknown}: unknown name; allowed are {allowed}')
    number = tables.get('number')
    if not isinstance(number, int) or isinstance(number, bool) or number < 1:
        mistakes.append(f'number: got {number!r}; a whole number from 1 on')
    removed = tables.get('remove', {})
    if not isinstance(removed, dict) or set(removed) - set(REMOVABLE):
        mistakes.append('remove: only lists named customers and routes')
        removed = {}
    drained = tables.get('drained')
    if drained is not None:
        drained = check_value(drained, list[Name], 'drained', mistakes)
    ticket = Ticket(
        number=number,
        operator=check_value(
            tables.get('operator', 'unnamed'),
            Name,
            'operator',
            mistakes,
        ),
        customers=build_records(Customer, tables, 'customers', mistakes),
        routes=build_records(Route, tables, 'routes', mistakes),
        removed_customers=check_names(removed, 'customers', mistakes),
        removed_routes=check_names(removed, 'routes', mistakes),
        drained=None if drained is None else tuple(sorted(drained)),
    )
    if mistakes:
        raise TicketError(mistakes)
    return ticket


def check_names(
    removed: dict[str, Any],
    section: str,
    mistakes: list[str],
) -> tuple[str, ...]:
    """Return the names to remove from a section."""
    names = check_value(
        removed.get(section, []),
        list[Name],
        f'remove.{section}',
        mistakes,
    )
    return tuple(sorted(names or ()))


def load_ticket(path: Path) -> Ticket:
    """Read and check a ticket file."""
    try:
        return check_ticket(tomllib.loads(path.read_text()))
    except OSError as error:
        raise TicketError([f'{path}: {error.strerror}']) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise TicketError([f'{path}: not TOML: {error}']) from error


def apply_ticket(policy: Policy, ticket: Ticket) -> TicketOutcome:
    """Return the policy after a ticket, or raise why it is not accepted."""
    earlier = {accepted.number: accepted for accepted in policy.accepted}
    same = earlier.get(ticket.number)
    if same and same.digest == ticket.digest:
        return TicketOutcome(policy, is_already_applied=True)
    if same:
        raise TicketError(
            [
                f'number {ticket.number} was won by {same.operator} with other '
                f'content; look at what is in force, then use a number above '
                f'{policy.number}',
            ]
        )
    if ticket.number <= policy.number:
        raise TicketError(
            [
                f'number {ticket.number} is not above {policy.number}, the one '
                'in force; renew the ticket on top of it',
            ]
        )
    accepted = (
        *policy.accepted,
        AcceptedTicket(ticket.number, ticket.digest, ticket.operator),
    )
    changed = Policy(
        number=ticket.number,
        customers=change(
            policy.customers,
            ticket.customers,
            ticket.removed_customers,
        ),
        routes=change(policy.routes, ticket.routes, ticket.removed_routes),
        drained=policy.drained if ticket.drained is None else ticket.drained,
        accepted=accepted[-MAX_REMEMBERED_TICKETS:],
    )
    check_policy(changed)
    return TicketOutcome(changed, is_already_applied=False)


def change(
    old: dict[str, Any],
    new: dict[str, Any],
    removed: tuple[str, ...],
) -> dict[str, Any]:
    """Return the records with some replaced and some removed."""
    kept = {name: row for name, row in old.items() if name not in removed}
    return kept | new


def check_policy(policy: Policy) -> None:
    """Raise every contradiction between the records of a policy."""
    mistakes: list[str] = []
    owners: dict[str, str] = {}
    for name, customer in policy.customers.items():
        for key_hash in customer.key_hashes:
            owner = owners.setdefault(key_hash, name)
            if owner != name:
                mistakes.append(
                    f'customers.{name}.key_hashes: a key of {owner} too',
                )
    paths: dict[tuple[str, str], str] = {}
    for name, route in policy.routes.items():
        mistakes += check_route(name, route, policy)
        for method in route.methods:
            other = paths.setdefault((method, route.path), name)
            if other != name:
                mistakes.append(
                    f'routes.{name}: same path and method as {other}',
                )
    if len(encode_policy(policy)) > MAX_POLICY_BYTES:
        mistakes.append(f'the policy would be over {MAX_POLICY_BYTES} bytes')
    if mistakes:
        raise TicketError(mistakes)


def check_route(name: str, route: Route, policy: Policy) -> list[str]:
    """Return what is wrong with a route inside its policy."""
    mistakes = [
        f'routes.{name}.customers: {customer!r} is no customer'
        for customer in route.customers
        if customer != EVERYONE and customer not in policy.customers
    ]
    if not route.methods:
        mistakes.append(f'routes.{name}.methods: at least one is needed')
    return mistakes
