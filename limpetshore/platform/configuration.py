"""Convert the configuration of the platform into a policy."""

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

MS_PER_S = 1000
# Rate and burst of a customer without a rate limit.
UNLIMITED_TOKENS = 1_000_000
MAX_RETRIES = 10
LIMIT_WINDOW_S = 5
BURST_SHARE = 0.2
TOLERATED_EXCESS_SHARE = 0.04
TOLERATED_EXCESS_COUNT = 8


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
    """Return the route for a configuration entry, with times in seconds.

    Each attempt after the first send counts as a retry.
    """
    split = [SplitPart(part.service, part.weight) for part in entry.split]
    return Route(
        path=entry.path_prefix,
        service=entry.service or split[0].service,
        methods=[ANY_METHOD],
        host=entry.host.lower(),
        split=split,
        is_open=entry.is_open,
        is_repeatable=entry.kind in REPEATABLE_KINDS,
        importance=convert_priority(entry.priority),
        timeout_s=entry.timeout_ms / MS_PER_S,
        target_s=entry.target_ms / MS_PER_S,
        retries=max(0, min(MAX_RETRIES, entry.attempts - 1)),
    )


def build_customer(entry: CustomerEntry) -> Customer:
    """Return the customer for a configuration entry, with its keys hashed."""
    importance = None
    if entry.priority is not None:
        importance = convert_priority(entry.priority)
    limit = build_limit(entry)
    return Customer(
        rate=limit.rate,
        burst=limit.burst,
        importance=importance,
        key_hashes=[hash_key(key) for key in entry.keys],
    )


class RateLimit(NamedTuple):
    """Hold a rate in requests per second and a burst in requests."""

    rate: float
    burst: int


def build_limit(entry: CustomerEntry) -> RateLimit:
    """Return the token bucket that satisfies the platform's window limit.

    In every window of `LIMIT_WINDOW_S` seconds, the platform allows
    `rate * LIMIT_WINDOW_S + burst` requests and tolerates a small excess.
    A token bucket with a smaller burst can refill faster without exceeding
    that limit.

    >>> build_limit(CustomerEntry(rate=100, burst=100))
    RateLimit(rate=102.4, burst=120)
    """
    if not entry.rate:
        return RateLimit(UNLIMITED_TOKENS, UNLIMITED_TOKENS)
    window_allowance = entry.rate * LIMIT_WINDOW_S + entry.burst
    burst = max(1, int(window_allowance * BURST_SHARE))
    tolerated = (
        window_allowance * (1 + TOLERATED_EXCESS_SHARE) + TOLERATED_EXCESS_COUNT
    )
    return RateLimit((tolerated - burst) / LIMIT_WINDOW_S, burst)


def convert_priority(priority: int) -> str:
    """Return the name of the importance for a priority; 0 is the highest.

    Priorities below the lowest importance are mapped to the lowest.

    >>> convert_priority(0)
    'critical'
    """
    rank = max(Importance.LOW, Importance.CRITICAL - max(0, priority))
    return Importance(rank).name.lower()
