"""Validate change tickets and apply them to a policy."""

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

TICKET_KEYS = ('number', 'operator', 'customers', 'routes', 'remove', 'drained')
REMOVABLE_SECTIONS = ('customers', 'routes')


class Ticket(NamedTuple):
    """Describe a policy change; records replace those of the same names."""

    number: int
    operator: str
    customers: dict[str, Customer] = {}
    routes: dict[str, Route] = {}
    removed_customers: tuple[str, ...] = ()
    removed_routes: tuple[str, ...] = ()
    drained: tuple[str, ...] | None = None

    @property
    def digest(self) -> str:
        """Return the SHA-256 of the content, without number and operator."""
        content = msgspec.json.encode(
            [
                {
                    name: record._asdict()
                    for name, record in self.customers.items()
                },
                {
                    name: record._asdict()
                    for name, record in self.routes.items()
                },
                sorted(self.removed_customers),
                sorted(self.removed_routes),
                self.drained,
            ],
            order='sorted',
        )
        return hashlib.sha256(content).hexdigest()


class TicketOutcome(NamedTuple):
    """Hold the policy after a ticket; `version` is that of the stored object.

    `is_already_applied` means that the ticket had been accepted before.
    """

    policy: Policy
    is_already_applied: bool
    version: int = 0


def check_ticket(tables: dict[str, Any]) -> Ticket:
    """Build a ticket from parsed TOML; raise TicketError with all mistakes."""
    mistakes: list[str] = []
    for unknown in sorted(set(tables) - set(TICKET_KEYS)):
        allowed = ', '.join(TICKET_KEYS)
        mistakes.append(f'{unknown}: unknown name; allowed are {allowed}')
    number = tables.get('number')
    if not isinstance(number, int) or isinstance(number, bool) or number < 1:
        mistakes.append(
            f'number: got {number!r}; must be an integer of at least 1'
        )
    removed = tables.get('remove', {})
    if not isinstance(removed, dict) or set(removed) - set(REMOVABLE_SECTIONS):
        mistakes.append(
            'remove: only the lists customers and routes are allowed'
        )
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
        removed_customers=check_removed_names(removed, 'customers', mistakes),
        removed_routes=check_removed_names(removed, 'routes', mistakes),
        drained=None if drained is None else tuple(sorted(drained)),
    )
    if mistakes:
        raise TicketError(mistakes)
    return ticket


def check_removed_names(
    removed: dict[str, Any],
    section: str,
    mistakes: list[str],
) -> tuple[str, ...]:
    """Return the sorted names to remove from a section."""
    names = check_value(
        removed.get(section, []),
        list[Name],
        f'remove.{section}',
        mistakes,
    )
    return tuple(sorted(names or ()))


def load_ticket(path: Path) -> Ticket:
    """Read and validate a ticket file in TOML."""
    try:
        return check_ticket(tomllib.loads(path.read_text()))
    except OSError as error:
        raise TicketError([f'{path}: {error.strerror}']) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise TicketError([f'{path}: invalid TOML: {error}']) from error


def apply_ticket(policy: Policy, ticket: Ticket) -> TicketOutcome:
    """Return the policy after a ticket; raise TicketError if rejected.

    A ticket whose number and content were accepted before changes nothing, so
    that a ticket can be sent again after its answer was lost.
    """
    accepted_by_number = {
        accepted.number: accepted for accepted in policy.accepted
    }
    previous = accepted_by_number.get(ticket.number)
    if previous and previous.digest == ticket.digest:
        return TicketOutcome(policy, is_already_applied=True)
    if previous:
        raise TicketError(
            [
                f'number {ticket.number} was won by {previous.operator} with '
                f'other content; check the current policy, then use a number '
                f'above {policy.number}',
            ]
        )
    if ticket.number <= policy.number:
        raise TicketError(
            [
                f'number {ticket.number} is not above {policy.number}, the one '
                'of the current policy; rebase the ticket on this policy',
            ]
        )
    accepted = (
        *policy.accepted,
        AcceptedTicket(ticket.number, ticket.digest, ticket.operator),
    )
    changed = Policy(
        number=ticket.number,
        customers=replace_records(
            policy.customers,
            ticket.customers,
            ticket.removed_customers,
        ),
        routes=replace_records(
            policy.routes, ticket.routes, ticket.removed_routes
        ),
        drained=policy.drained if ticket.drained is None else ticket.drained,
        accepted=accepted[-MAX_REMEMBERED_TICKETS:],
    )
    check_policy(changed)
    return TicketOutcome(changed, is_already_applied=False)


def replace_records(
    old: dict[str, Any],
    new: dict[str, Any],
    removed: tuple[str, ...],
) -> dict[str, Any]:
    """Return the old records without removed ones, updated by new ones."""
    kept = {name: record for name, record in old.items() if name not in removed}
    return kept | new


def check_policy(policy: Policy) -> None:
    """Raise TicketError if records conflict or the policy is too large."""
    mistakes: list[str] = []
    owners: dict[str, str] = {}
    for name, customer in policy.customers.items():
        for key_hash in customer.key_hashes:
            owner = owners.setdefault(key_hash, name)
            if owner != name:
                mistakes.append(
                    f'customers.{name}.key_hashes: also a key of {owner}',
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
        mistakes.append(f'the policy would exceed {MAX_POLICY_BYTES} bytes')
    if mistakes:
        raise TicketError(mistakes)


def check_route(name: str, route: Route, policy: Policy) -> list[str]:
    """Return the mistakes of a route within its policy."""
    mistakes = [
        f'routes.{name}.customers: no customer is named {customer!r}'
        for customer in route.customers
        if customer != EVERYONE and customer not in policy.customers
    ]
    if not route.methods:
        mistakes.append(f'routes.{name}.methods: at least one is required')
    return mistakes
