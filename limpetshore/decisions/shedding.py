"""Refuse at the edge what would be turned away further down."""

import random

from limpetshore import clock

MOST_SHED = 0.95
RAISE = 0.06
LOWER_A_SECOND = 0.1
CALM_AFTER_S = 1.0
CALM_LOWER_A_SECOND = 0.5
AFFECTED_S = 3.0
TRAFFIC_MEMORY_S = 2.0
CALL_WEIGHT = 0.05
MIN_DOWNSTREAM_OVERLOAD_LEVEL = 0.02


class RankedTraffic:
    """Follow how the requests of late divide among ranks."""

    def __init__(self) -> None:
        """Start without requests."""
        self.weights: dict[int, float] = {}
        self.updated = clock.now()

    def count(self, rank: int) -> None:
        """Count one request, and let earlier ones fade."""
        now = clock.now()
        kept = max(0, 1 - (now - self.updated) / TRAFFIC_MEMORY_S)
        self.updated = now
        for known in self.weights:
            self.weights[known] *= kept
        self.weights[rank] = self.weights.get(rank, 0) + 1

    def refused_share(self, rank: int, share: float) -> float:
        """Return which part of a rank goes if `share` of all are refused."""
        total = sum(self.weights.values())
        own = self.weights.get(rank, 0)
        if not own:
            return 0
        below = sum(
            weight for known, weight in self.weights.items() if known < rank
        )
        return min(1, max(0, (share * total - below) / own))


class IngressShedding:
    """Shed a share of the routes whose answers fail for lack of room below.

    The share rises with each answer that was worked on in vain and falls with
    time, faster once none was for a while. All routes that suffer share it, so
    that the least important are refused first whichever suffers most.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start by admitting all."""
        self.rng = rng
        self.share: float = 0
        self.updated = clock.now()
        self.wasted_at = float('-inf')
        self.affected_until: dict[str, float] = {}
        self.traffic = RankedTraffic()

    def admits(self, route: str, rank: int) -> bool:
        """Decide on one request; a higher rank is more important."""
        if clock.now() > self.affected_until.get(route, 0):
            return True
        self.traffic.count(rank)
        refused = self.traffic.refused_share(rank, self.read())
        return self.rng.random() >= min(MOST_SHED, refused)

    def observe(self, route: str, *, is_downstream_overload: bool) -> None:
        """Learn whether an answer failed because a call below found no room."""
        if not is_downstream_overload:
            return
        now = clock.now()
        share = self.read()
        self.share = min(MOST_SHED, share + RAISE * (1 - share))
        self.wasted_at = now
        self.affected_until[route] = now + AFFECTED_S

    def read(self) -> float:
        """Return the share to shed now."""
        now = clock.now()
        is_calm = now > self.wasted_at + CALM_AFTER_S
        lower = CALM_LOWER_A_SECOND if is_calm else LOWER_A_SECOND
        self.share = max(0, self.share - lower * (now - self.updated))
        self.updated = now
        return self.share


class NestedRefusalShare:
    """Follow the share of calls of the local server that found no room."""

    def __init__(self) -> None:
        """Start with none."""
        self.share: float = 0
        self.updated = clock.now()

    def count(self, *, is_refused: bool) -> None:
        """Count one call of the local server."""
        self.share = self.read()
        self.share += (is_refused - self.share) * CALL_WEIGHT

    def read(self) -> float:
        """Return the share, which fades when nothing is called."""
        now = clock.now()
        self.share *= max(0, 1 - (now - self.updated) / TRAFFIC_MEMORY_S)
        self.updated = now
        return self.share
