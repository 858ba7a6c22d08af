"""Choose a backend server for each attempt."""

import random
from collections.abc import Collection

from limpetshore import clock
from limpetshore.levels import ReportedLevel
from limpetshore.members import MemberTable
from limpetshore.messages import AnswerMeta, NodeState
from limpetshore.verdicts import LOST_REASONS, UNSENT_REASONS, Reason

FAILURES_UNTIL_ASIDE = 3
FIRST_ASIDE_S = 1
MOST_ASIDE_S = 10
ASIDE_SHARE = 0.5
OTHER_ZONE_LOAD = 0.3
IDLE_PRESSURE = 0.3
PREFERENCE = 2
FAILURE_WEIGHT = 0.05
FAILURE_PENALTY = 8


class ServerView:
    """Hold what this node has seen of one server."""

    def __init__(self, half_life_s: float) -> None:
        """Start without a sight of it."""
        self.in_flight = 0
        self.load: float = 0
        self.level = ReportedLevel(half_life_s)
        self.failures = 0
        self.aside_until: float = 0
        self.service_time: float = 0
        self.failed_share: float = 0

    @property
    def is_aside(self) -> bool:
        """Tell whether the server gets no work for a while."""
        return clock.now() < self.aside_until

    def succeed(self, meta: AnswerMeta) -> None:
        """Learn from an answer or an honest refusal."""
        self.failures = 0
        self.aside_until = 0
        self.load = meta.load
        self.service_time = meta.service_time
        self.level.report(meta.level)

    def learn_answer(self, meta: AnswerMeta, *, has_failed: bool) -> None:
        """Learn from a whole answer of the backend server."""
        self.succeed(meta)
        self.count_failure(has_failed=has_failed)

    def count_failure(self, *, has_failed: bool) -> None:
        """Count one answer into the share of failed ones."""
        change = has_failed - self.failed_share
        self.failed_share += change * FAILURE_WEIGHT

    def learn_refusal(self, meta: AnswerMeta, reason: Reason) -> None:
        """Learn from an honest refusal."""
        self.succeed(meta)
        if reason in UNSENT_REASONS:
            self.put_aside()
        elif reason == Reason.SERVER_SHED:
            self.count_failure(has_failed=True)

    def learn_loss(self, reason: Reason) -> None:
        """Learn from an attempt that a guard did not answer."""
        if reason == Reason.UNREACHABLE:
            self.put_aside()
        elif reason in LOST_REASONS:
            self.fail()

    def put_aside(self) -> None:
        """Give a server that cannot be reached nothing for a moment."""
        self.failures = max(self.failures, FAILURES_UNTIL_ASIDE - 1)
        self.fail()

    def fail(self) -> None:
        """Learn from an attempt that got no word from the server."""
        self.failures += 1
        extra = self.failures - FAILURES_UNTIL_ASIDE
        if extra >= 0:
            aside_s = min(MOST_ASIDE_S, FIRST_ASIDE_S * 2**extra)
            self.aside_until = clock.now() + aside_s


class Balancer:
    """Draw servers at random, the likelier the sooner they would answer.

    Drawing keeps nodes that know the same from all taking the same server.
    """

    def __init__(
        self,
        table: MemberTable,
        zone: str,
        half_life_s: float,
        chance: random.Random,
    ) -> None:
        """Start without sights of any server."""
        self.table = table
        self.zone = zone
        self.half_life_s = half_life_s
        self.chance = chance
        self.views: dict[str, ServerView] = {}
        self.drained: frozenset[str] = frozenset()

    def view(self, name: str) -> ServerView:
        """Return what is known of a server."""
        found = self.views.get(name)
        if found is None:
            found = ServerView(self.half_life_s)
            self.views[name] = found
        return found

    def list_usable(self, service: str) -> list[NodeState]:
        """Return the servers of a service that take new work."""
        return [
            state
            for state in self.table.find_service(service)
            if state.name not in self.drained
        ]

    def has_untried(self, service: str, tried: Collection[str]) -> bool:
        """Tell whether some server of a service was not tried yet."""
        return any(
            state.name not in tried and not self.view(state.name).is_aside
            for state in self.list_usable(service)
        )

    def choose(
        self,
        service: str,
        tried: Collection[str],
    ) -> NodeState | None:
        """Return a server for the next attempt, or None if there is none."""
        usable = self.list_usable(service)
        fresh = [state for state in usable if state.name not in tried]
        candidates = self.leave_out_aside(fresh or usable)
        if not candidates:
            return None
        costs = self.list_costs(candidates)
        weights = [1 / cost**PREFERENCE for cost in costs]
        return self.chance.choices(candidates, weights)[0]

    def leave_out_aside(self, states: list[NodeState]) -> list[NodeState]:
        """Drop servers put aside, but never more than a share of them."""
        good = [state for state in states if not self.view(state.name).is_aside]
        if len(good) < len(states) * ASIDE_SHARE:
            return states
        return good

    def list_costs(self, states: list[NodeState]) -> list[float]:
        """Return for each server about how long a request would take.

        A server that has told nothing yet is taken for an average one.
        """
        views = [self.view(state.name) for state in states]
        known = [view.service_time for view in views if view.service_time]
        usual = sum(known) / len(known) if known else 1
        return [
            (view.service_time or usual) * self.pressure(view, state)
            for view, state in zip(views, states, strict=True)
        ]

    def pressure(self, view: ServerView, state: NodeState) -> float:
        """Return how much longer a request takes where others are before it."""
        pressure = IDLE_PRESSURE + view.load
        pressure += view.in_flight / max(1, state.slots)
        if state.zone != self.zone:
            pressure += OTHER_ZONE_LOAD
        return pressure * (1 + view.failed_share * FAILURE_PENALTY)

    def service_level(self, service: str) -> float:
        """Return the lowest admission level among the servers of a service."""
        levels = [
            self.view(state.name).level.read()
            for state in self.list_usable(service)
        ]
        return min(levels, default=0)
