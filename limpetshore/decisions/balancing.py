"""Choose a backend server for each attempt."""

import bisect
import random
from collections.abc import Collection
from typing import NamedTuple

from limpetshore import clock
from limpetshore.decisions.admission_levels import ReportedLevel
from limpetshore.protocol.messages import AnswerMeta, NodeState
from limpetshore.state.members import MemberTable
from limpetshore.verdicts import UNANSWERED_REASONS, UNSENT_REASONS, Reason

FAILURES_UNTIL_ASIDE = 3
FIRST_ASIDE_S = 1
MOST_ASIDE_S = 10
ASIDE_SHARE = 0.5
OTHER_ZONE_LOAD = 0.3
IDLE_PRESSURE = 0.3
PREFERENCE = 2
FAILURE_WEIGHT = 0.05
FAILURE_PENALTY = 8


class ServerStats:
    """Hold what this node has seen of one server."""

    def __init__(self, half_life_s: float) -> None:
        """Start without a sight of it."""
        self.in_flight = 0
        self.load: float = 0
        self.level = ReportedLevel(half_life_s)
        self.failures = 0
        self.aside_until: float = 0
        self.service_time_s: float = 0
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
        self.service_time_s = meta.service_time_s
        self.level.report(meta.level)

    def record_answer(self, meta: AnswerMeta, *, has_failed: bool) -> None:
        """Learn from a whole answer of the backend server."""
        self.succeed(meta)
        if has_failed or self.failed_share:
            self.count_failure(has_failed=has_failed)

    def count_failure(self, *, has_failed: bool) -> None:
        """Count one answer into the share of failed ones."""
        change = has_failed - self.failed_share
        self.failed_share += change * FAILURE_WEIGHT

    def record_refusal(self, meta: AnswerMeta, reason: Reason) -> None:
        """Learn from an honest refusal."""
        self.succeed(meta)
        if reason in UNSENT_REASONS:
            self.eject()
        elif reason == Reason.SERVER_SHED:
            self.count_failure(has_failed=True)

    def record_unanswered(self, reason: Reason) -> None:
        """Learn from an attempt that a guard did not answer."""
        if reason == Reason.UNREACHABLE:
            self.eject()
        elif reason in UNANSWERED_REASONS:
            self.record_failure()

    def eject(self) -> None:
        """Give a server that cannot be reached nothing for a moment."""
        self.failures = max(self.failures, FAILURES_UNTIL_ASIDE - 1)
        self.record_failure()

    def record_failure(self) -> None:
        """Learn from an attempt that got no word from the server."""
        self.failures += 1
        extra = self.failures - FAILURES_UNTIL_ASIDE
        if extra >= 0:
            aside_s = min(MOST_ASIDE_S, FIRST_ASIDE_S * 2**extra)
            self.aside_until = clock.now() + aside_s


class Candidate(NamedTuple):
    """Hold a server that may be drawn, and what was seen of it.

    `distance` is what another zone adds to the pressure of a server.
    """

    state: NodeState
    stats: ServerStats
    slots: int
    distance: float


class Balancer:
    """Draw servers at random, the likelier the sooner they would answer.

    Drawing keeps nodes that know the same from all taking the same server.
    """

    def __init__(
        self,
        table: MemberTable,
        zone: str,
        half_life_s: float,
        rng: random.Random,
    ) -> None:
        """Start without sights of any server."""
        self.table = table
        self.zone = zone
        self.half_life_s = half_life_s
        self.rng = rng
        self.views: dict[str, ServerStats] = {}
        self.drained: frozenset[str] = frozenset()
        self.candidates: dict[str, list[Candidate]] = {}
        self.table_version = -1

    def stats(self, name: str) -> ServerStats:
        """Return what is known of a server."""
        found = self.views.get(name)
        if found is None:
            found = ServerStats(self.half_life_s)
            self.views[name] = found
        return found

    def update_drained(self, drained: frozenset[str]) -> None:
        """Give no work to the servers that operators drain."""
        self.drained = drained
        self.candidates.clear()

    def list_candidates(self, service: str) -> list[Candidate]:
        """Return the servers of a service that take new work."""
        if self.table_version != self.table.version:
            self.table_version = self.table.version
            self.candidates.clear()
        found = self.candidates.get(service)
        if found is None:
            found = [
                self.build_candidate(state)
                for state in self.table.find_usable_nodes(service)
                if state.name not in self.drained
            ]
            self.candidates[service] = found
        return found

    def build_candidate(self, state: NodeState) -> Candidate:
        """Return a server with what changes with the table only."""
        distance = 0 if state.zone == self.zone else OTHER_ZONE_LOAD
        return Candidate(
            state,
            self.stats(state.name),
            max(1, state.slots),
            distance,
        )

    def has_untried(self, service: str, tried: Collection[str]) -> bool:
        """Tell whether some server of a service was not tried yet."""
        return any(
            one.state.name not in tried and not one.stats.is_aside
            for one in self.list_candidates(service)
        )

    def choose(
        self,
        service: str,
        tried: Collection[str],
    ) -> NodeState | None:
        """Return a server for the next attempt, or None if there is none."""
        usable = self.list_candidates(service)
        if tried:
            fresh = [one for one in usable if one.state.name not in tried]
            usable = fresh or usable
        usable = leave_out_aside(usable)
        return self.draw(usable) if usable else None

    def draw(self, candidates: list[Candidate]) -> NodeState:
        """Return one at random, the likelier the sooner it would answer.

        A server that has told nothing yet is taken for an average one.
        """
        usual = 0
        weights = []
        total: float = 0
        for candidate in candidates:
            stats = candidate.stats
            cost = IDLE_PRESSURE + stats.load + candidate.distance
            cost += stats.in_flight / candidate.slots
            cost *= 1 + stats.failed_share * FAILURE_PENALTY
            if not stats.service_time_s:
                usual = usual or find_usual_time(candidates)
            cost *= stats.service_time_s or usual
            total += cost**-PREFERENCE
            weights.append(total)
        drawn = self.rng.random() * total
        at = bisect.bisect(weights, drawn, 0, len(weights) - 1)
        return candidates[at].state

    def lowest_admission_level(self, service: str) -> float:
        """Return the lowest admission level among the servers of a service."""
        lowest: float = 0
        for candidate in self.list_candidates(service):
            level = candidate.stats.level
            if not level.level:
                return 0
            lowest = min(lowest or level.read(), level.read())
        return lowest


def leave_out_aside(candidates: list[Candidate]) -> list[Candidate]:
    """Drop servers put aside, but never more than a share of them."""
    now = clock.now()
    good = []
    for candidate in candidates:
        if now >= candidate.stats.aside_until:
            good.append(candidate)
    if len(good) < len(candidates) * ASIDE_SHARE:
        return candidates
    return good


def find_usual_time(candidates: list[Candidate]) -> float:
    """Return the mean service time of those that have told theirs."""
    known = [
        candidate.stats.service_time_s
        for candidate in candidates
        if candidate.stats.service_time_s
    ]
    return sum(known) / len(known) if known else 1
