"""Judge what a soak saw by the rules of the platform."""

from collections import Counter
from typing import NamedTuple

APPLY_S = 2.0
OUTER_S = 5.0
DRAIN_S = 2.0
IN_TOUCH_S = 3.0
LATE_S = 0.5
MIN_LATE_COUNT = 8
MAX_LATE_SHARE = 0.25
MIN_SPLIT_COUNT = 200
MAX_SPLIT_OFFSET = 0.2
MAX_DENIED_COUNT = 5
MAX_DENIED_SHARE = 1 / 500
ROUTES = {
    '/stock/': {'stock'},
    '/hold/': {'holds'},
    '/draw/': {'plans'},
    '/pour/': {'dispatch'},
    '/ledger/': {'holds'},
    '/index/': {'plans'},
    '/roster/': {'dispatch'},
    '/split/': {'stock', 'holds'},
    '/slow/': {'plans'},
}
TIMEOUTS_S = {
    '/hold/': 4,
    '/ledger/': 2.5,
    '/index/': 2,
    '/roster/': 0.7,
}
DEFAULT_TIMEOUT_S = 5
OPEN_ROUTES = frozenset(('/ledger/', '/index/', '/roster/'))


class Version(NamedTuple):
    """Record what a version of the configuration says, and since when."""

    since: float
    number: int
    moved_to: str
    weights: tuple[int, int]
    slow_ms: int


def find_prefix(path):
    """Return the part of a path that selects its route.

    >>> find_prefix('/stock/1?work=5')
    '/stock/'
    """
    return '/'.join(path.split('/')[:2]) + '/'


def find_timeout(sent, versions):
    """Return the shortest time in seconds after which a request may end."""
    prefix = find_prefix(sent.path)
    route_s = TIMEOUTS_S.get(prefix, DEFAULT_TIMEOUT_S)
    if prefix == '/slow/':
        route_s = min(version.slow_ms for version in versions) / 1000
    return min(sent.timeout_s, route_s)


class SiteChecks:
    """Check the outcomes and arrivals of one played seed."""

    def __init__(self, soak):
        """Take over what the soak recorded."""
        self.soak = soak
        self.record = soak.record
        self.broken = []
        self.arrivals = sorted(
            (arrival.at, request_id, arrival)
            for server in soak.fleet.servers
            for request_id, arrival in server.arrivals
        )
        self.service_of = {node.name: node.service for node in soak.fleet.nodes}

    def run(self):
        """Return a line for each broken promise."""
        self.check_arrivals()
        self.check_timeouts()
        self.check_splits()
        self.check_denied()
        return self.broken

    def check_arrivals(self):
        """Check where each request went, with which headers, and when."""
        drained_at = {
            server.instance: server.drained_at
            for server in self.soak.fleet.servers
        }
        for at, request_id, arrival in self.arrivals:
            sent = self.record.sent.get(request_id)
            if sent is None:
                self.broken.append(f'UNASKED: {request_id} was not sent')
                continue
            prefix = find_prefix(arrival.path)
            allowed = ROUTES.get(prefix, {'stock'})
            if prefix == '/move/':
                allowed = self.find_moved(sent.sent_at, at)
            if arrival.service not in allowed:
                self.broken.append(
                    f'CONFIG/ROUTE: {request_id} to {prefix} ran at '
                    f'{arrival.service}, not {sorted(allowed)}'
                )
            left_s = drained_at[arrival.instance]
            if left_s and at > left_s + DRAIN_S + LATE_S / 5:
                self.broken.append(
                    f'DRAIN: {request_id} came {at - left_s:.2f} s after '
                    f'{arrival.instance} drained'
                )
            self.check_headers(request_id, sent, arrival, prefix)

    def check_headers(self, request_id, sent, arrival, prefix):
        """Check what a server was told of a request."""
        if arrival.remaining_s > sent.timeout_s + LATE_S:
            self.broken.append(
                f'BUDGET: {request_id} has {arrival.remaining_s} s, '
                f'its caller waits {sent.timeout_s} s'
            )
        if arrival.caller_service != self.service_of[sent.node]:
            self.broken.append(
                f'UNASKED: {request_id} comes from {arrival.caller_service!r}'
            )
        is_open = prefix in OPEN_ROUTES
        if is_open == bool(arrival.customer):
            self.broken.append(
                f'UNASKED: {request_id} has customer {arrival.customer!r}'
            )

    def find_moved(self, sent_at, ran_at):
        """Return the services that may run a request on the moved route."""
        versions = self.soak.versions
        bound_s = (
            APPLY_S + OUTER_S if 'store' in self.soak.troubles else APPLY_S
        )
        allowed = set()
        for index, version in enumerate(versions):
            is_last = index + 1 == len(versions)
            until = float('inf') if is_last else versions[index + 1].since
            if version.since <= ran_at and until + bound_s >= sent_at:
                allowed.add(version.moved_to)
        return allowed

    def check_timeouts(self):
        """Check that requests end half a second after their route's timeout."""
        overdue = late = 0
        for outcome in self.record.outcomes:
            sent = outcome.sent
            prefix = find_prefix(sent.path)
            if not sent.is_first or self.soak.is_disrupted(
                sent.sent_at, outcome.ended_at
            ):
                continue
            route_s = TIMEOUTS_S.get(prefix, DEFAULT_TIMEOUT_S)
            if prefix == '/slow/':
                slow = [version.slow_ms for version in self.soak.versions]
                route_s = max(slow) / 1000
            took_s = outcome.ended_at - sent.sent_at
            limit_s = min(sent.timeout_s, route_s)
            overdue += took_s > limit_s
            late += took_s > limit_s + LATE_S
        if late >= MIN_LATE_COUNT and late > MAX_LATE_SHARE * overdue:
            self.broken.append(
                f'CONFIG: {late} of {overdue} requests that outlast their '
                f'timeout end over {LATE_S} s after it'
            )

    def check_splits(self):
        """Check the shares of the parts of the split route in each period."""
        versions = self.soak.versions
        start = 0
        for index, version in enumerate(versions):
            is_last = index + 1 == len(versions)
            if not is_last and versions[index + 1].weights == version.weights:
                continue
            until = float('inf') if is_last else versions[index + 1].since
            self.check_period(versions[start].since + APPLY_S, until, version)
            start = index + 1

    def check_period(self, since, until, version):
        """Check the shares in one period of steady weights."""
        counts = Counter(
            arrival.service
            for at, request_id, arrival in self.arrivals
            if find_prefix(arrival.path) == '/split/'
            and since < at < until
            and request_id.startswith('q')
        )
        total = counts.total()
        if total < MIN_SPLIT_COUNT:
            return
        share = counts['stock'] / total
        wanted = version.weights[0] / sum(version.weights)
        if abs(share - wanted) > MAX_SPLIT_OFFSET:
            self.broken.append(
                f'CONFIG: {share:.3f} of {total} requests went to a part with '
                f'a weight of {wanted}, version {version.number}'
            )

    def check_denied(self):
        """Check that proper requests are not refused as wrong."""
        statuses = Counter(one.status for one in self.record.outcomes)
        denied = statuses[401] + statuses[403] + statuses[404]
        bound = MAX_DENIED_COUNT + MAX_DENIED_SHARE * statuses.total()
        if denied > bound:
            self.broken.append(f'DENIED: {denied} requests')
