"""Shed requests early whose nested calls would be refused."""

import random

from limpetshore import clock

MAX_SHED_SHARE = 0.95
SHARE_GAIN = 0.06
DECREASE_PER_S = 0.1
# The share falls faster once no overload was observed for this time.
CALM_AFTER_S = 1.0
CALM_DECREASE_PER_S = 0.5
# Time for which a route is shed after an answer failed for overload.
AFFECTED_ROUTE_S = 3.0
# Time constant of the decay of traffic counts and of the refusal share.
TRAFFIC_DECAY_S = 2.0
REFUSAL_SHARE_GAIN = 0.05
# Downstream admission level above which a failed answer is attributed to
# overload downstream.
MIN_DOWNSTREAM_OVERLOAD_LEVEL = 0.02


class TrafficByRank:
    """Count recent requests by rank; earlier ones decay."""

    def __init__(self) -> None:
        """Start with no traffic at any rank."""
        self.weights: dict[int, float] = {}
        self.updated = clock.now()

    def count(self, rank: int) -> None:
        """Count one request after decaying the earlier counts."""
        now = clock.now()
        retained = max(0, 1 - (now - self.updated) / TRAFFIC_DECAY_S)
        self.updated = now
        for other in self.weights:
            self.weights[other] *= retained
        self.weights[rank] = self.weights.get(rank, 0) + 1

    def refused_share(self, rank: int, share: float) -> float:
        """Return the share of a rank to refuse so that `share` of all are.

        Lower ranks are refused first.
        """
        total = sum(self.weights.values())
        own = self.weights.get(rank, 0)
        if not own:
            return 0
        below = sum(
            weight for other, weight in self.weights.items() if other < rank
        )
        return min(1, max(0, (share * total - below) / own))


class IngressShedding:
    """Shed a share of the requests on routes with overload downstream.

    The share rises with each answer that failed because a downstream call was
    refused, and falls with time, faster once there was no such answer for a
    while. All affected routes have one share in common, so that the requests
    of lowest importance are refused first, whichever route is affected most.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start with a share of 0, which admits all requests."""
        self.rng = rng
        self.share: float = 0
        self.updated = clock.now()
        self.last_overload_at = float('-inf')
        self.affected_until: dict[str, float] = {}
        self.traffic = TrafficByRank()

    def admits(self, route: str, rank: int) -> bool:
        """Return whether to admit a request; higher ranks are refused later."""
        if clock.now() > self.affected_until.get(route, 0):
            return True
        self.traffic.count(rank)
        refused = self.traffic.refused_share(rank, self.read())
        return self.rng.random() >= min(MAX_SHED_SHARE, refused)

    def observe(self, route: str, *, is_downstream_overload: bool) -> None:
        """Record whether an answer failed for overload downstream."""
        if not is_downstream_overload:
            return
        now = clock.now()
        share = self.read()
        self.share = min(MAX_SHED_SHARE, share + SHARE_GAIN * (1 - share))
        self.last_overload_at = now
        self.affected_until[route] = now + AFFECTED_ROUTE_S

    def read(self) -> float:
        """Return the share of requests to shed, decayed as of now."""
        now = clock.now()
        is_calm = now > self.last_overload_at + CALM_AFTER_S
        decrease_per_s = CALM_DECREASE_PER_S if is_calm else DECREASE_PER_S
        self.share = max(0, self.share - decrease_per_s * (now - self.updated))
        self.updated = now
        return self.share


class NestedRefusalShare:
    """Track the share of nested calls that are refused for overload.

    Nested calls are those that the local backend server makes.
    """

    def __init__(self) -> None:
        """Start with a share of 0."""
        self.share: float = 0
        self.updated = clock.now()

    def count(self, *, is_refused: bool) -> None:
        """Record the outcome of one nested call in the moving average."""
        self.share = self.read()
        self.share += (is_refused - self.share) * REFUSAL_SHARE_GAIN

    def read(self) -> float:
        """Return the share, which decays while there are no nested calls."""
        now = clock.now()
        self.share *= max(0, 1 - (now - self.updated) / TRAFFIC_DECAY_S)
        self.updated = now
        return self.share
