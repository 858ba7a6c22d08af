"""Read and update the policy in the store on behalf of operators."""

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

MAX_ATTEMPTS = 8
RETRY_DELAY_S = 0.25
INVALID_POLICY = 'the policy in the store is invalid; restore a valid one first'


async def read_policy(store: ObjectStore) -> tuple[Policy, int]:
    """Return the policy in the store and its version, or raise TicketError."""
    stored = await store.get(POLICY_KIND, CURRENT_NAME)
    if stored is None or stored.content is None:
        return Policy(), MUST_NOT_EXIST
    try:
        return decode_policy(stored.content), stored.version
    except ValueError as error:
        raise TicketError([f'{INVALID_POLICY}: {error}']) from error


async def write_ticket(store: ObjectStore, ticket: Ticket) -> TicketOutcome:
    """Apply a ticket to the policy in the store by optimistic locking.

    Of two concurrent operators exactly one succeeds. After a conflict or a
    lost answer the policy is read again; if it contains the ticket, the write
    took effect.
    """
    for _ in range(MAX_ATTEMPTS):
        try:
            return await write_ticket_once(store, ticket)
        except StoreConflictError:
            continue
        except StoreUnavailableError:
            await anyio.sleep(RETRY_DELAY_S)
    raise StoreUnavailableError(
        f'no answer from the store in {MAX_ATTEMPTS} attempts; the ticket may '
        'have taken effect: apply the same file again to find out',
    )


async def write_ticket_once(
    store: ObjectStore, ticket: Ticket
) -> TicketOutcome:
    """Read the policy, apply the ticket and write it if unchanged since."""
    policy, version = await read_policy(store)
    outcome = apply_ticket(policy, ticket)
    if not outcome.is_already_applied:
        content = encode_policy(outcome.policy)
        version = await store.put(POLICY_KIND, CURRENT_NAME, content, version)
    return outcome._replace(version=version)
