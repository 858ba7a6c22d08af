"""Assign each budget shard to a node, in a ledger kept in the store."""

from typing import NamedTuple

import msgspec

from limpetshore.decoding import decode_json
from limpetshore import clock
from limpetshore.state.members import MemberTable, Status, rank_by_rendezvous

SHARD_COUNT = 32
FORMAT_VERSION = 1


class Holder(NamedTuple):
    """Name the node that holds a shard.

    `is_predecessor_stopped` means that the previous holder is certain to grant
    no more tokens: it has released the shard, or the new holder is bound to the
    same control address. The new holder may then grant without waiting.
    """

    name: str
    incarnation: int
    is_predecessor_stopped: bool
    control: str = ''


class Ledger(NamedTuple):
    """List the holder of each shard by number; an empty name means none."""

    holders: tuple[Holder, ...] = tuple(
        Holder('', 0, is_predecessor_stopped=True) for _ in range(SHARD_COUNT)
    )
    format: int = FORMAT_VERSION


class VersionedLedger(NamedTuple):
    """Hold a ledger with the version of its object in the store."""

    version: int
    ledger: Ledger


def encode_ledger(ledger: Ledger) -> bytes:
    """Return the ledger in the encoding of the store."""
    return msgspec.json.encode(ledger)


def decode_ledger(encoded: bytes) -> Ledger:
    """Decode a stored ledger; raise ValueError if it is invalid."""
    ledger = decode_json(encoded, Ledger)
    if ledger.format != FORMAT_VERSION or len(ledger.holders) != SHARD_COUNT:
        raise ValueError(f'ledger does not match format {FORMAT_VERSION}')
    return ledger


def must_wait_for_members(ledger: Ledger, table: MemberTable) -> bool:
    """Return whether the first assignment should wait for starting nodes.

    Whoever is ready alone would hold all shards, and keep them.
    """
    is_first = not any(holder.name for holder in ledger.holders)
    return is_first and any(
        state.status == Status.NOT_READY for state in table.states()
    )


def find_shards(customer: str, count: int) -> list[int]:
    """Return the `count` shards that share the budget of a customer."""
    names = [str(shard) for shard in range(SHARD_COUNT)]
    return [int(name) for name in rank_by_rendezvous(customer, names)[:count]]


def reassign_shards(
    ledger: Ledger,
    table: MemberTable,
    takeover_s: float,
) -> Ledger:
    """Return the ledger with the shards of absent nodes reassigned."""
    ready_names = [
        state.name for state in table.states() if state.status == Status.READY
    ]
    holders = [
        choose_holder(shard, holder, table, ready_names, takeover_s)
        for shard, holder in enumerate(ledger.holders)
    ]
    return Ledger(tuple(holders))


def choose_holder(
    shard: int,
    holder: Holder,
    table: MemberTable,
    ready_names: list[str],
    takeover_s: float,
) -> Holder:
    """Return the next holder of a shard.

    A holder that is alive keeps the shard, also after a restart. One that has
    left, or has been dead for the takeover time, is replaced by the ready node
    of the highest rendezvous rank; without a ready node nothing changes.
    """
    member = table.get(holder.name)
    if member and member.status < Status.DEAD:
        if member.incarnation > holder.incarnation:
            return Holder(
                member.name,
                member.incarnation,
                is_predecessor_stopped=member.control == holder.control,
                control=member.control,
            )
        return holder
    is_free = not holder.name or (member and member.status == Status.LEFT)
    if not is_free and not is_takeover_due(holder, table, takeover_s):
        return holder
    if not ready_names:
        return holder
    chosen = table.get(rank_by_rendezvous(f'shard-{shard}', ready_names)[0])
    return Holder(
        chosen.name,
        chosen.incarnation,
        is_predecessor_stopped=bool(is_free),
        control=chosen.control,
    )


def is_takeover_due(
    holder: Holder,
    table: MemberTable,
    takeover_s: float,
) -> bool:
    """Return whether a holder has been dead for the takeover time."""
    since = table.find_status_start(holder.name, Status.DEAD)
    return since is not None and clock.now() - since >= takeover_s


def release_shards(ledger: Ledger, name: str) -> Ledger:
    """Return the ledger with all shards of a node released."""
    return Ledger(
        tuple(
            Holder('', 0, is_predecessor_stopped=True)
            if holder.name == name
            else holder
            for holder in ledger.holders
        ),
    )
