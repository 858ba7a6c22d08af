"""Turn the configuration of the platform into a policy."""

from typing import NamedTuple

from limpetshore.importance import Importance
from limpetshore.platform.wire import (
    REPEATABLE_KINDS,
    Configuration,
    CustomerEntry,
    RouteEntry,
)
from limpetshore.state.policies import (
    ANY_METHOD,
    Customer,
    Policy,
    Route,
    ServiceRecord,
    SplitPart,
    hash_key,
)

MS_IN_S = 1000
UNLIMITED = 1_000_000
MOST_RETRIES = 10
WINDOW_S = 5
BURST_SHARE = 0.2
TOLERATED_SHARE = 0.04
TOLERATED = 8


def build_policy(configuration: Configuration) -> Policy:
    """Return the policy that a configuration describes."""
    return Policy(
        number=configuration.version,
        customers={
            name: build_customer(entry)
            for name, entry in configuration.customers.items()
        },
        services={
            name: ServiceRecord(entry.health_path)
            for name, entry in configuration.services.items()
        },
        routes={
            name: build_route(entry)
            for name, entry in configuration.routes.items()
        },
    )


def build_route(entry: RouteEntry) -> Route:
    """Return one route."""
    split = [SplitPart(part.service, part.weight) for part in entry.split]
    return Route(
        path=entry.path_prefix,
        service=entry.service or split[0].service,
        methods=[ANY_METHOD],
        host=entry.host.lower(),
        split=split,
        is_open=entry.is_open,
        is_repeatable=entry.kind in REPEATABLE_KINDS,
        importance=rank_priority(entry.priority),
        timeout_s=entry.timeout_ms / MS_IN_S,
        target_s=entry.target_ms / MS_IN_S,
        retries=max(0, min(MOST_RETRIES, entry.attempts - 1)),
    )


def build_customer(entry: CustomerEntry) -> Customer:
    """Return one customer, its keys hashed."""
    importance = None
    if entry.priority is not None:
        importance = rank_priority(entry.priority)
    limit = build_limit(entry)
    return Customer(
        rate=limit.rate,
        burst=limit.burst,
        importance=importance,
        key_hashes=[hash_key(key) for key in entry.keys],
    )


class Limit(NamedTuple):
    """Hold a rate in requests a second and a burst."""

    rate: float
    burst: int


def build_limit(entry: CustomerEntry) -> Limit:
    """Return the token bucket for a limit that counts in windows.

    The platform counts `rate * WINDOW_S + burst` in every window and tolerates
    a little more. A bucket with a smaller burst may refill faster and still
    stays below that.

    >>> build_limit(CustomerEntry(rate=100, burst=100))
    Limit(rate=102.4, burst=120)
    """
    if not entry.rate:
        return Limit(UNLIMITED, UNLIMITED)
    allowed = entry.rate * WINDOW_S + entry.burst
    burst = max(1, int(allowed * BURST_SHARE))
    used = allowed * (1 + TOLERATED_SHARE) + TOLERATED
    return Limit((used - burst) / WINDOW_S, burst)


def rank_priority(priority: int) -> str:
    """Return the importance for a priority, of which 0 is the highest.

    >>> rank_priority(0)
    'critical'
    """
    rank = max(Importance.LOW, Importance.CRITICAL - max(0, priority))
    return Importance(rank).name.lower()
