"""Decide which nodes read the store, and whom the others ask about it.

The nodes are ranked, alike on each of them. The first few watch the store. The
others learn the age of the last read from the answers of other nodes; one that
hears too little asks its parent in a tree of relays.
"""

import random
from typing import NamedTuple

# Nodes of the next ranks read the store one after the other once its last read
# is so old. The keys are refused from `fleet.cut_off_s` on.
TAKEOVER_AGE_S = 3.0
TAKEOVER_STEP_S = 0.15
MAX_SUBSTITUTES = 8
# A substitute that could read the store goes on watching it for this time.
SUBSTITUTION_S = 10.0
# A node that no other node answers reads the store by itself.
ISOLATED_AGE_S = 2.5
# A node of any rank reads the store by itself before its keys are refused, at
# random within the spread and not again for the period.
LAST_RESORT_AGE_S = 3.5
LAST_RESORT_SPREAD_S = 0.5
LAST_RESORT_PERIOD_S = 5.0
RELAY_FANOUT = 8
# Number of substitutes that are asked how old their last read is.
ASKED_SUBSTITUTES = 2


class ContactAges(NamedTuple):
    """Tell how long ago a node last heard of the store and of other nodes.

    `attempt_age_s` is the time since its own last attempt to read the store.
    """

    store_age_s: float
    peer_age_s: float
    attempt_age_s: float


def must_read_store(
    rank: int,
    watchers: int,
    ages: ContactAges,
    random_share: float,
) -> bool:
    """Tell whether a node of this rank reads the store now.

    `random_share` is a random number from 0 to 1.

    >>> must_read_store(0, 2, ContactAges(0, 0, 9), 0.5)
    True
    >>> must_read_store(2, 2, ContactAges(2.9, 0, 9), 0.5)
    False
    >>> must_read_store(2, 2, ContactAges(3.1, 0, 9), 0.5)
    True
    >>> must_read_store(99, 2, ContactAges(3.8, 0, 1), 0.5)
    False
    >>> must_read_store(99, 2, ContactAges(3.8, 0, 9), 0.5)
    True
    """
    if rank < watchers:
        return True
    takeover_age_s = TAKEOVER_AGE_S + TAKEOVER_STEP_S * (rank - watchers)
    if is_substitute(rank, watchers) and ages.store_age_s > takeover_age_s:
        return True
    if min(ages.store_age_s, ages.peer_age_s) > ISOLATED_AGE_S:
        return True
    last_resort_age_s = LAST_RESORT_AGE_S + LAST_RESORT_SPREAD_S * random_share
    return (
        ages.store_age_s > last_resort_age_s
        and ages.attempt_age_s > LAST_RESORT_PERIOD_S
    )


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
    rank: int, watchers: int, store_age_s: float, rng: random.Random
) -> list[int]:
    """Return the ranks of the nodes to ask how old their last read is.

    They are the parent alone, until others may have taken over the reading.

    >>> list_sources(17, 2, 2.5, random.Random(1))
    [1]
    >>> list_sources(17, 2, 3.5, random.Random(1))
    [0, 1, 2]
    """
    parent = find_parent(rank, watchers)
    sources = set() if parent is None else {parent}
    if store_age_s > TAKEOVER_AGE_S:
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
