"""Convert the configuration of the platform into a policy."""

import re
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from logbook import Logger

from limpetshore.checks import MAX_SECONDS, Name
from limpetshore.importance import Importance
from limpetshore.platform.wire import (
    REPEATABLE_KINDS,
    Configuration,
    CustomerEntry,
    Entries,
    RouteEntry,
    ServiceEntry,
    decode,
)
from limpetshore.state.policies import (
    ANY_METHOD,
    MAX_RATE,
    Customer,
    Policy,
    Route,
    ServiceRecord,
    SplitPart,
    hash_key,
)

logger = Logger(__name__)

MS_PER_S = 1000
MIN_TIMEOUT_S = 0.001
# A customer with a higher rate per second has no limit; bursts are cut to it.
MAX_LIMIT = 500_000
MAX_RETRIES = 10
LIMIT_WINDOW_S = 5
BURST_SHARE = 0.2
TOLERATED_EXCESS_SHARE = 0.04
TOLERATED_EXCESS_COUNT = 8
DIGITS = re.compile(r'\d{1,15}')


def build_policy(configuration: Configuration) -> Policy:
    """Return the policy that a configuration describes.

    An entry that cannot be read is left out; the others are active.
    """
    return Policy(
        number=read_version(configuration.version),
        customers=build_records(
            configuration.customers, CustomerEntry, build_customer
        ),
        services=build_records(
            configuration.services, ServiceEntry, build_service
        ),
        routes=build_records(configuration.routes, RouteEntry, build_route),
    )


def read_version(version: float | str | None) -> int:
    """Return the number of a version, which only serves to name it.

    >>> read_version('r12'), read_version(7.0), read_version(None)
    (12, 7, 0)
    """
    digits = DIGITS.search(str(version))
    return int(digits.group()) if digits else 0


def build_records(
    entries: Entries | None,
    entry_class: type,
    build: Callable[[Any], NamedTuple],
) -> dict[str, Any]:
    """Return the records of a section, without those that are not valid."""
    records = {}
    for name, encoded in (entries or {}).items():
        try:
            records[check_name(name)] = check_record(
                build(decode(entry_class, encoded))
            )
        except (LookupError, ValueError, OverflowError) as error:
            logger.error(
                'left out {0} of the configuration ({1}): {2}',
                name,
                entry_class.__name__,
                error,
            )
    return records


def check_name(name: str) -> str:
    """Return a name; raise `msgspec.ValidationError` if it is not valid."""
    return msgspec.convert(name, Name)


def check_record(record: NamedTuple) -> NamedTuple:
    """Return a record; raise `msgspec.ValidationError` if it is not valid."""
    return msgspec.convert(tuple(record), type(record))


def build_service(entry: ServiceEntry) -> ServiceRecord:
    """Return the record for a configuration entry."""
    return ServiceRecord(entry.health_path)


def build_route(entry: RouteEntry) -> Route:
    """Return the route for a configuration entry, with times in seconds.

    Each attempt after the first send counts as a retry.
    """
    split = [
        check_record(SplitPart(part.service, part.weight))
        for part in entry.split or ()
    ]
    attempts = int(entry.attempts or 1)
    return Route(
        path=entry.path_prefix,
        service=entry.service or split[0].service,
        methods=[ANY_METHOD],
        host=entry.host.lower().partition(':')[0],
        split=split,
        is_open=bool(entry.is_open),
        is_repeatable=entry.kind in REPEATABLE_KINDS,
        importance=convert_priority(entry.priority or 0),
        timeout_s=convert_time(entry.timeout_ms),
        target_s=convert_time(entry.target_ms),
        retries=max(0, min(MAX_RETRIES, attempts - 1)),
    )


def convert_time(time_ms: float | None) -> float:
    """Return a time in seconds, the longest one if none is set.

    >>> convert_time(800), convert_time(None), convert_time(0)
    (0.8, 86400, 86400)
    """
    if not time_ms:
        return MAX_SECONDS
    return min(MAX_SECONDS, max(MIN_TIMEOUT_S, time_ms / MS_PER_S))


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
        key_hashes=[hash_key(key) for key in entry.keys or ()],
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
    is_limited = 0 < (entry.rate or 0) < MAX_LIMIT
    if not is_limited:
        return RateLimit(MAX_RATE, MAX_RATE)
    allowed_burst = min(MAX_LIMIT, max(0, entry.burst or 0))
    window_allowance = entry.rate * LIMIT_WINDOW_S + allowed_burst
    burst = max(1, int(window_allowance * BURST_SHARE))
    tolerated = (
        window_allowance * (1 + TOLERATED_EXCESS_SHARE) + TOLERATED_EXCESS_COUNT
    )
    return RateLimit((tolerated - burst) / LIMIT_WINDOW_S, burst)


def convert_priority(priority: float) -> str:
    """Return the name of the importance for a priority; 0 is the highest.

    Priorities below the lowest importance are mapped to the lowest.

    >>> convert_priority(0)
    'critical'
    """
    rank = max(Importance.LOW, Importance.CRITICAL - max(0, int(priority)))
    return Importance(rank).name.lower()
