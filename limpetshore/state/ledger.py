"""Record in the store which node holds which shard of the budgets."""

from typing import NamedTuple

import msgspec

from limpetshore import clock
from limpetshore.state.members import MemberTable, Status, rank_by_rendezvous

SHARD_COUNT = 32
FORMAT = 1


class Holder(NamedTuple):
    """Name the node that holds a shard.

    `is_clean` says that the holder before surely grants nothing any more: it
    gave the shard up, or the new one has bound its very address.
    """

    name: str
    incarnation: int
    is_predecessor_stopped: bool
    control: str = ''


class Ledger(NamedTuple):
    """Hold the holder of each shard; an empty name stands for none."""

    holders: tuple[Holder, ...] = tuple(
        Holder('', 0, is_predecessor_stopped=True) for _ in range(SHARD_COUNT)
    )
    format: int = FORMAT


class VersionedLedger(NamedTuple):
    """Hold the ledger with its version in the store."""

    version: int
    ledger: Ledger


def encode_ledger(ledger: Ledger) -> bytes:
    """Return the ledger as it is kept in the store."""
    return msgspec.json.encode(ledger)


def decode_ledger(encoded: bytes) -> Ledger:
    """Return the ledger kept in the store; raise ValueError if damaged."""
    ledger = msgspec.json.decode(encoded, type=Ledger)
    if ledger.format != FORMAT or len(ledger.holders) != SHARD_COUNT:
        raise ValueError(f'ledger is not of format {FORMAT}')
    return ledger


def find_shards(customer: str, count: int) -> list[int]:
    """Return the shards that share the budget of a customer."""
    names = [str(shard) for shard in range(SHARD_COUNT)]
    return [int(name) for name in rank_by_rendezvous(customer, names)[:count]]


def reassign_shards(
    ledger: Ledger,
    table: MemberTable,
    takeover_s: float,
) -> Ledger:
    """Return the ledger with holders that are gone replaced."""
    able = [
        state.name for state in table.states() if state.status == Status.READY
    ]
    holders = [
        plan_holder(shard, holder, table, able, takeover_s)
        for shard, holder in enumerate(ledger.holders)
    ]
    return Ledger(tuple(holders))


def plan_holder(
    shard: int,
    holder: Holder,
    table: MemberTable,
    able: list[str],
    takeover_s: float,
) -> Holder:
    """Return who should hold a shard from now on."""
    known = table.get(holder.name)
    if known and known.status < Status.DEAD:
        if known.incarnation > holder.incarnation:
            return Holder(
                known.name,
                known.incarnation,
                is_predecessor_stopped=known.control == holder.control,
                control=known.control,
            )
        return holder
    is_free = not holder.name or (known and known.status == Status.LEFT)
    if not is_free and not is_long_dead(holder, table, takeover_s):
        return holder
    if not able:
        return holder
    chosen = table.get(rank_by_rendezvous(f'shard-{shard}', able)[0])
    return Holder(
        chosen.name,
        chosen.incarnation,
        is_predecessor_stopped=bool(is_free),
        control=chosen.control,
    )


def is_long_dead(
    holder: Holder,
    table: MemberTable,
    takeover_s: float,
) -> bool:
    """Tell whether a holder has been dead for the takeover time."""
    since = table.find_status_start(holder.name, Status.DEAD)
    return since is not None and clock.now() - since >= takeover_s


def release_shards(ledger: Ledger, name: str) -> Ledger:
    """Return the ledger with a node's shards given up."""
    return Ledger(
        tuple(
            Holder('', 0, is_predecessor_stopped=True)
            if holder.name == name
            else holder
            for holder in ledger.holders
        ),
    )
