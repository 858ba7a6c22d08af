"""Decide which nodes read the store, and whom the others ask about it.

The nodes are ranked, alike on each of them. The first few watch the store. The
others learn the age of the last read from the answers of other nodes; one that
hears too little asks its parent in a tree of relays.
"""

import random
from typing import NamedTuple

# Shares of the time within which a change in the store must be active on all
# nodes, by the age of the last read that a node knows of. A read counts from
# when it began, so that a watcher alone knows of reads up to two watches old.
# What remains after the last share is for the read itself.
WATCH_SHARE = 0.3
REFRESH_SHARE = 0.4
REFRESH_PERIOD_SHARE = 0.1
TAKEOVER_SHARE = 0.65
TAKEOVER_STEP_SHARE = 0.01
LONE_SHARE = 0.75
LONE_SPREAD_SHARE = 0.05
# Nodes that stand in for the watchers, before all others read the store.
MAX_SUBSTITUTES = 8
# A substitute that could read the store goes on watching it for this time.
SUBSTITUTION_S = 10.0
RELAY_FANOUT = 8
# Number of substitutes that are asked how old their last read is.
ASKED_SUBSTITUTES = 2


class ReadingPlan(NamedTuple):
    """Tell at which ages of the last known read a node acts, in seconds.

    A watch lasts `watch_s`. From `refresh_s` on a node asks others how old
    their last read is, once in `refresh_period_s`. From `takeover_s` on the
    substitutes read the store, each `takeover_step_s` after the one before,
    and between `lone_s` and `lone_s + lone_spread_s` any other node.
    """

    watch_s: float
    refresh_s: float
    refresh_period_s: float
    takeover_s: float
    takeover_step_s: float
    lone_s: float
    lone_spread_s: float


def plan_reading(bound_s: float) -> ReadingPlan:
    """Return the ages at which changes are active within `bound_s` seconds.

    The bound holds for a node that no other node answers, too.

    >>> plan = plan_reading(2)
    >>> plan.takeover_s, plan.lone_s + plan.lone_spread_s
    (1.3, 1.6)
    """
    return ReadingPlan(
        watch_s=WATCH_SHARE * bound_s,
        refresh_s=REFRESH_SHARE * bound_s,
        refresh_period_s=REFRESH_PERIOD_SHARE * bound_s,
        takeover_s=TAKEOVER_SHARE * bound_s,
        takeover_step_s=TAKEOVER_STEP_SHARE * bound_s,
        lone_s=LONE_SHARE * bound_s,
        lone_spread_s=LONE_SPREAD_SHARE * bound_s,
    )


def find_reading_age(
    rank: int, watchers: int, plan: ReadingPlan, random_share: float
) -> float:
    """Return the age of the last known read from which a node reads the store.

    `random_share` is a random number from 0 to 1, which spreads the reads of
    the nodes that neither watch the store nor stand in for the watchers.

    >>> plan = plan_reading(2)
    >>> [find_reading_age(rank, 2, plan, 0.5) for rank in (0, 2, 3, 99)]
    [0, 1.3, 1.32, 1.55]
    """
    if rank < watchers:
        return 0
    if is_substitute(rank, watchers):
        turn = rank - watchers
        return plan.takeover_s + turn * plan.takeover_step_s
    return plan.lone_s + random_share * plan.lone_spread_s


def is_substitute(rank: int, watchers: int) -> bool:
    """Tell whether a node of this rank stands in for the watchers.

    >>> [is_substitute(rank, 3) for rank in (2, 3, 10, 11)]
    [False, True, True, False]
    """
    return 0 <= rank - watchers < MAX_SUBSTITUTES


def find_parent(rank: int, watchers: int) -> int | None:
    """Return the rank of the node that relays to this one.

    Watchers ask the next one among themselves; a single one asks nobody.

    >>> [find_parent(rank, 2) for rank in (0, 1, 2, 17, 18)]
    [1, 0, 0, 1, 2]
    """
    if rank < watchers:
        return (rank + 1) % watchers if watchers > 1 else None
    return (rank - watchers) // RELAY_FANOUT


def list_sources(
    rank: int,
    watchers: int,
    *,
    is_takeover_due: bool,
    rng: random.Random,
) -> list[int]:
    """Return the ranks of the nodes to ask how old their last read is.

    They are the parent alone, until others may have taken over the reading.

    >>> rng = random.Random(1)
    >>> list_sources(17, 2, is_takeover_due=False, rng=rng)
    [1]
    >>> list_sources(17, 2, is_takeover_due=True, rng=rng)
    [0, 1, 2]
    """
    parent = find_parent(rank, watchers)
    sources = set() if parent is None else {parent}
    if is_takeover_due:
        sources.add(rng.randrange(watchers))
        sources.add(watchers + rng.randrange(ASKED_SUBSTITUTES))
    return sorted(sources)


def list_children(rank: int, watchers: int) -> range:
    """Return the ranks of the nodes to which this one relays.

    >>> list_children(0, 2)
    range(2, 10)
    """
    first = watchers + rank * RELAY_FANOUT
    return range(first, first + RELAY_FANOUT)
