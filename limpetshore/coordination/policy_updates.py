"""Carry out what operators ask of the store."""

import anyio

from limpetshore.coordination.fleet import CURRENT_NAME, POLICY_KIND
from limpetshore.errors import (
    StoreConflictError,
    StoreUnavailableError,
    TicketError,
)
from limpetshore.state.policies import Policy, decode_policy, encode_policy
from limpetshore.state.store import MUST_NOT_EXIST, ObjectStore
from limpetshore.state.tickets import Ticket, TicketOutcome, apply_ticket

ATTEMPTS = 8
PAUSE_S = 0.25
DAMAGED = 'the policy in the store is damaged, put a sound one back first'


async def read_policy(store: ObjectStore) -> tuple[Policy, int]:
    """Return the policy in the store with its version."""
    stored = await store.get(POLICY_KIND, CURRENT_NAME)
    if stored is None or stored.content is None:
        return Policy(), MUST_NOT_EXIST
    try:
        return decode_policy(stored.content), stored.version
    except ValueError as error:
        raise TicketError([f'{DAMAGED}: {error}']) from error


async def write_ticket(store: ObjectStore, ticket: Ticket) -> TicketOutcome:
    """Write a ticket, so that exactly one of two racing operators wins.

    After a conflict or a lost answer the policy is read again: if it holds
    the ticket, the write took effect.
    """
    for _ in range(ATTEMPTS):
        try:
            return await apply_once(store, ticket)
        except StoreConflictError:
            continue
        except StoreUnavailableError:
            await anyio.sleep(PAUSE_S)
    raise StoreUnavailableError(
        f'no answer from the store in {ATTEMPTS} attempts; the ticket may '
        'have taken effect: apply the same file again to find out',
    )


async def apply_once(store: ObjectStore, ticket: Ticket) -> TicketOutcome:
    """Read the policy, apply the ticket and write it conditionally."""
    policy, version = await read_policy(store)
    outcome = apply_ticket(policy, ticket)
    if not outcome.is_already_applied:
        content = encode_policy(outcome.policy)
        version = await store.put(POLICY_KIND, CURRENT_NAME, content, version)
    return outcome._replace(version=version)
