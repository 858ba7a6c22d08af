"""Choose a server for each attempt at random, by weight."""

import bisect
import random
from collections.abc import Collection
from typing import NamedTuple

from limpetshore import clock
from limpetshore.decisions.admission_levels import ReportedLevel
from limpetshore.decisions.subsetting import choose_subset
from limpetshore.protocol.messages import AnswerMeta, NodeState
from limpetshore.state.members import MemberTable
from limpetshore.verdicts import UNANSWERED_REASONS, UNSENT_REASONS, Reason

# Failures in a row that eject a server; the ejection time doubles with each
# further one.
FAILURES_TO_EJECT = 3
INITIAL_EJECTION_S = 1
MAX_EJECTION_S = 10
# Ejections are ignored if they leave less than this share of the candidates.
MIN_AVAILABLE_SHARE = 0.5
# Added to the load of servers in other zones.
CROSS_ZONE_LOAD = 0.3
# Added to the load of every server, so that an idle one has a cost above 0.
BASE_LOAD = 0.3
COST_EXPONENT = 2
# A server in the own zone has room below this load, as long as few of its
# answers fail and it is not much slower than the others.
MAX_LOCAL_LOAD = 0.7
MAX_LOCAL_FAILED_SHARE = 0.1
MAX_LOCAL_SLOWNESS = 2.5
LOAD_EXPIRY_S = 1.0
FAILED_SHARE_GAIN = 0.05
FAILED_SHARE_PENALTY = 8


class ServerStats:
    """Hold a server's load, latency and failures as this node observes them."""

    def __init__(self, half_life_s: float) -> None:
        """Start without observations; `half_life_s` applies to the level."""
        self.in_flight = 0
        self.load: float = 0
        self.load_reported_at: float = 0
        self.level = ReportedLevel(half_life_s)
        self.failure_streak = 0
        self.ejected_until: float = 0
        self.service_time_s: float = 0
        self.failed_share: float = 0

    @property
    def is_ejected(self) -> bool:
        """Return whether the server is excluded for now (outlier ejection)."""
        return clock.now() < self.ejected_until

    def record_reply(self, meta: AnswerMeta) -> None:
        """Record the metadata of an answer or refusal and end any ejection."""
        self.failure_streak = 0
        self.ejected_until = 0
        self.load = meta.load
        self.load_reported_at = clock.now()
        self.service_time_s = meta.service_time_s
        self.level.report(meta.level)

    def record_answer(self, meta: AnswerMeta, *, has_failed: bool) -> None:
        """Record an answer of the backend server that was received in full."""
        self.record_reply(meta)
        if has_failed or self.failed_share:
            self.update_failed_share(has_failed=has_failed)

    def update_failed_share(self, *, has_failed: bool) -> None:
        """Update the moving average of the share of failed answers."""
        change = has_failed - self.failed_share
        self.failed_share += change * FAILED_SHARE_GAIN

    def record_refusal(self, meta: AnswerMeta, reason: Reason) -> None:
        """Record a refusal sent by the guard of the server.

        If the request did not reach the backend server, the server is
        ejected; if the backend server shed it, it counts as failed.
        """
        self.record_reply(meta)
        if reason in UNSENT_REASONS:
            self.eject()
        elif reason == Reason.SERVER_SHED:
            self.update_failed_share(has_failed=True)

    def record_unanswered(self, reason: Reason) -> None:
        """Record an attempt that ended without a reply from the guard."""
        if reason == Reason.UNREACHABLE:
            self.eject()
        elif reason in UNANSWERED_REASONS:
            self.record_failure()

    def eject(self) -> None:
        """Eject the server at once, without waiting for further failures."""
        self.failure_streak = max(self.failure_streak, FAILURES_TO_EJECT - 1)
        self.record_failure()

    def record_failure(self) -> None:
        """Count a failed attempt; eject the server after several in a row."""
        self.failure_streak += 1
        excess = self.failure_streak - FAILURES_TO_EJECT
        if excess >= 0:
            ejection_s = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2**excess)
            self.ejected_until = clock.now() + ejection_s


class Candidate(NamedTuple):
    """Describe a server that is eligible for new requests.

    `zone_penalty` is added to the load of a server in another zone.
    """

    state: NodeState
    stats: ServerStats
    slots: int
    zone_penalty: float

    def has_local_room(self, mean_time_s: float, now: float) -> bool:
        """Tell whether a server of the own zone can take a request.

        A report of a high load that is older than `LOAD_EXPIRY_S` counts no
        longer: a server that is avoided sends no newer one.
        """
        stats = self.stats
        if stats.failed_share > MAX_LOCAL_FAILED_SHARE:
            return False
        if stats.service_time_s > mean_time_s * MAX_LOCAL_SLOWNESS:
            return False
        load = stats.in_flight / self.slots
        if now < stats.load_reported_at + LOAD_EXPIRY_S:
            load = max(load, stats.load)
        return load < MAX_LOCAL_LOAD


class Balancer:
    """Choose servers at random, more often those expected to answer sooner.

    The random choice keeps nodes with the same view of the servers from
    sending all their requests to the same one.
    """

    def __init__(
        self,
        table: MemberTable,
        zone: str,
        half_life_s: float,
        rng: random.Random,
    ) -> None:
        """Prefer servers in `zone`; reported levels decay by `half_life_s`."""
        self.table = table
        self.zone = zone
        self.half_life_s = half_life_s
        self.rng = rng
        self.stats_by_name: dict[str, ServerStats] = {}
        self.drained: frozenset[str] = frozenset()
        self.candidates: dict[str, list[Candidate]] = {}
        self.table_version = -1

    def stats(self, name: str) -> ServerStats:
        """Return the observations of a server, created on first use."""
        found = self.stats_by_name.get(name)
        if found is None:
            found = ServerStats(self.half_life_s)
            self.stats_by_name[name] = found
        return found

    def update_drained(self, drained: frozenset[str]) -> None:
        """Set the names of the nodes that operators drain, to exclude them."""
        self.drained = drained
        self.candidates.clear()

    def list_candidates(self, service: str) -> list[Candidate]:
        """Return the subset of a service to which this node sends requests.

        The list is cached until the member table or the drained nodes change.
        """
        if self.table_version != self.table.version:
            self.table_version = self.table.version
            self.candidates.clear()
        found = self.candidates.get(service)
        if found is None:
            usable = [
                state
                for state in self.table.find_usable_nodes(service)
                if state.name not in self.drained
            ]
            subset = choose_subset(self.table.own_name, self.zone, usable)
            found = [self.build_candidate(state) for state in subset]
            self.candidates[service] = found
        return found

    def build_candidate(self, state: NodeState) -> Candidate:
        """Return a candidate; its fields only change with the member table."""
        zone_penalty = 0 if state.zone == self.zone else CROSS_ZONE_LOAD
        return Candidate(
            state,
            self.stats(state.name),
            max(1, state.slots),
            zone_penalty,
        )

    def has_untried(self, service: str, tried: Collection[str]) -> bool:
        """Return whether a server is left that is neither tried nor ejected."""
        return any(
            candidate.state.name not in tried and not candidate.stats.is_ejected
            for candidate in self.list_candidates(service)
        )

    def choose(
        self,
        service: str,
        tried: Collection[str],
    ) -> NodeState | None:
        """Return a server for the next attempt, None if there is none.

        Servers in `tried` are only chosen again if there is no other.
        """
        candidates = self.list_candidates(service)
        if tried:
            untried = [
                candidate
                for candidate in candidates
                if candidate.state.name not in tried
            ]
            candidates = untried or candidates
        candidates = prefer_own_zone(exclude_ejected(candidates))
        return self.draw(candidates) if candidates else None

    def draw(self, candidates: list[Candidate]) -> NodeState:
        """Return a candidate at random, weighted by 1 / cost**COST_EXPONENT.

        The cost is the service time multiplied by the load and by a penalty
        for failed answers. A server whose service time is not known yet is
        assumed to have the mean of the others.
        """
        default_time = 0
        weights = []
        total: float = 0
        for candidate in candidates:
            stats = candidate.stats
            cost = BASE_LOAD + stats.load + candidate.zone_penalty
            cost += stats.in_flight / candidate.slots
            cost *= 1 + stats.failed_share * FAILED_SHARE_PENALTY
            if not stats.service_time_s:
                default_time = default_time or mean_service_time(candidates)
            cost *= stats.service_time_s or default_time
            total += cost**-COST_EXPONENT
            weights.append(total)
        point = self.rng.random() * total
        index = bisect.bisect(weights, point, 0, len(weights) - 1)
        return candidates[index].state

    def lowest_admission_level(self, service: str) -> float:
        """Return the lowest admission level reported by servers of a service.

        It is 0 unless every server has reported a level above 0.
        """
        lowest: float = 0
        for candidate in self.list_candidates(service):
            level = candidate.stats.level
            if not level.level:
                return 0
            lowest = min(lowest or level.read(), level.read())
        return lowest


def exclude_ejected(candidates: list[Candidate]) -> list[Candidate]:
    """Return the candidates that are not ejected.

    Return all candidates if too few would be left, since ejections are not
    trusted when they concern most of the servers.
    """
    now = clock.now()
    available = []
    for candidate in candidates:
        if now >= candidate.stats.ejected_until:
            available.append(candidate)
    if len(available) < len(candidates) * MIN_AVAILABLE_SHARE:
        return candidates
    return available


def prefer_own_zone(candidates: list[Candidate]) -> list[Candidate]:
    """Return the servers of the own zone that have room, or else all.

    Traffic between zones is dear, and slower. A zone whose servers are full,
    slow or failing uses those of all zones.
    """
    now = clock.now()
    mean_time_s = mean_service_time(candidates)
    local = []
    for candidate in candidates:
        if candidate.zone_penalty:
            break  # the servers of the own zone come first
        if candidate.has_local_room(mean_time_s, now):
            local.append(candidate)
    return local or candidates


def mean_service_time(candidates: list[Candidate]) -> float:
    """Return the mean of the known service times, 1 if none is known."""
    total_s: float = 0
    known_count = 0
    for candidate in candidates:
        service_time_s = candidate.stats.service_time_s
        if service_time_s:
            total_s += service_time_s
            known_count += 1
    return total_s / known_count if known_count else 1
