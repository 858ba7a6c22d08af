"""Define the policy set by operators: customers, routes, drained nodes."""

import functools
import hashlib
import hmac
import secrets
from typing import Annotated, Any, NamedTuple

import msgspec

from limpetshore.decoding import decode_json
from limpetshore.checks import Name, Seconds, build_record, check_value
from limpetshore.importance import Importance, parse_importance

FORMAT_VERSION = 1
KEY_BYTES = 32
KEY_PREFIX = 'ls_'
KEY_HASH_PREFIX_LENGTH = 16
EVERYONE = '*'
ANY_METHOD = '*'
ANY_HOST = ''
MAX_REMEMBERED_TICKETS = 256
MAX_POLICY_BYTES = 900_000
# Requests per second; a customer with this rate has no limit.
MAX_RATE = 1_000_000

KeyHash = Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]
Method = Annotated[str, msgspec.Meta(pattern=r'^([A-Z]{3,10}|\*)$')]
HostName = Annotated[str, msgspec.Meta(pattern='^[a-z0-9._*-]{0,253}$')]
Path = Annotated[str, msgspec.Meta(pattern='^/[!-~]{0,8000}$')]


ImportanceText = Annotated[
    str,
    msgspec.Meta(pattern='^(low|normal|high|critical)$'),
]


class Customer(NamedTuple):
    """Limit the requests of one customer; `rate` is in requests per second.

    With a rate of `MAX_RATE` its requests are not counted.
    `weight` divides the queue of a guard between customers of equal importance.
    If `importance` is set, all requests have it; otherwise a caller may claim
    any importance up to `most_important`.
    """

    rate: Annotated[float, msgspec.Meta(gt=0, le=MAX_RATE)]
    burst: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    weight: Annotated[float, msgspec.Meta(ge=0.01, le=100)] = 1
    most_important: ImportanceText = 'critical'
    importance: ImportanceText | None = None
    key_hashes: list[KeyHash] = []


class SplitPart(NamedTuple):
    """Give a service its relative share of the requests on a split route."""

    service: Name
    weight: Annotated[float, msgspec.Meta(ge=0, le=1e12)]


class Route(NamedTuple):
    """Set the access to one path and the treatment of its requests.

    An empty `host` matches every host. A non-empty `split` takes precedence
    over `service`.
    """

    path: Path
    service: Name
    methods: list[Method] = ['GET', 'POST']
    host: HostName = ''
    split: list[SplitPart] = []
    customers: list[str] = [EVERYONE]
    is_open: bool = False
    is_repeatable: bool = False
    importance: ImportanceText = 'normal'
    timeout_s: Seconds = 10
    target_s: Seconds = 1
    retries: Annotated[int, msgspec.Meta(ge=0, le=10)] = 2


class ServiceRecord(NamedTuple):
    """Configure the health check of the backend servers of a service."""

    health_path: Path


class AcceptedTicket(NamedTuple):
    """Record the number, content hash and operator of an accepted ticket."""

    number: int
    digest: str
    operator: str


class Policy(NamedTuple):
    """Hold the whole configuration after the ticket `number`."""

    number: int = 0
    customers: dict[str, Customer] = {}
    routes: dict[str, Route] = {}
    drained: tuple[str, ...] = ()
    accepted: tuple[AcceptedTicket, ...] = ()
    services: dict[str, ServiceRecord] = {}


class KeyOwner(NamedTuple):
    """Map the hash of a key to the customer that owns the key."""

    key_hash: str
    customer: str


class ImportanceCap(NamedTuple):
    """Cap the importance of a customer's requests, or fix it."""

    highest: Importance
    is_fixed: bool


class RouteMatch(NamedTuple):
    """Hold a route with its precomputed importance and path prefix."""

    name: str
    route: Route
    importance: Importance
    path_prefix: str

    @property
    def services(self) -> list[str]:
        """Return the names of all services that may serve the route."""
        if self.route.split:
            return [part.service for part in self.route.split]
        return [self.route.service]

    def accepts(self, method: str) -> bool:
        """Return whether the route serves an HTTP method."""
        methods = self.route.methods
        return method in methods or ANY_METHOD in methods


def issue_key() -> str:
    """Return a new random API key."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def hash_key(key: str) -> str:
    """Return the SHA-256 under which a policy stores a key.

    A fast hash is sufficient, because keys are random and 256 bits long.
    """
    return hashlib.sha256(key.encode()).hexdigest()


RoutesByPath = dict[str, list[RouteMatch]]


class PolicyIndex:
    """Look up routes and customers of one policy on every request."""

    def __init__(self, policy: Policy, version: int) -> None:
        """Build the tables; `version` is that of the stored policy."""
        self.policy = policy
        self.version = version
        self.drained = frozenset(policy.drained)
        self.key_owners: dict[str, list[KeyOwner]] = {}
        for name, customer in policy.customers.items():
            for key_hash in customer.key_hashes:
                self.key_owners.setdefault(
                    key_hash[:KEY_HASH_PREFIX_LENGTH], []
                ).append(
                    KeyOwner(key_hash, name),
                )
        self.routes_by_host: dict[str, RoutesByPath] = {}
        for name, route in sorted(policy.routes.items()):
            path_prefix = '{0}/'.format(route.path.rstrip('/'))
            importance = parse_importance(route.importance)
            paths = self.routes_by_host.setdefault(route.host, {})
            paths.setdefault(path_prefix, []).append(
                RouteMatch(name, route, importance, path_prefix),
            )
        self.find_route = functools.lru_cache(maxsize=4096)(self.match_route)
        self.customers_by_key: dict[str, str] = {}
        self.importance_caps = {
            name: build_importance_cap(customer)
            for name, customer in policy.customers.items()
        }

    def find_customer(self, key: str) -> str | None:
        """Return the customer of a key; only valid keys are cached."""
        found = self.customers_by_key.get(key)
        if found is None:
            found = self.find_key_owner(hash_key(key))
            if found is not None:
                self.customers_by_key[key] = found
        return found

    def find_key_owner(self, key_hash: str) -> str | None:
        """Return the customer of a key hash, comparing in constant time."""
        found = None
        for owner in self.key_owners.get(key_hash[:KEY_HASH_PREFIX_LENGTH], ()):
            if hmac.compare_digest(owner.key_hash, key_hash):
                found = owner.customer
        return found

    def match_route(
        self,
        method: str,
        path: str,
        host: str = ANY_HOST,
    ) -> RouteMatch | None:
        """Return the matching route with the longest path.

        Routes of the given host precede those of every host.
        """
        for name in dict.fromkeys((host, ANY_HOST)):
            found = self.match_path(
                self.routes_by_host.get(name, {}), method, path
            )
            if found:
                return found
        return None

    def match_path(
        self,
        paths: RoutesByPath,
        method: str,
        path: str,
    ) -> RouteMatch | None:
        """Match a path and a method, trying the longest path prefix first."""
        for path_prefix in list_path_prefixes(path):
            for match in paths.get(path_prefix, ()):
                is_below = (
                    path.startswith(path_prefix) or path == match.route.path
                )
                if is_below and match.accepts(method):
                    return match
        return None

    def is_limited(self, customer: str) -> bool:
        """Return whether the requests of a customer are counted."""
        return self.policy.customers[customer].rate < MAX_RATE

    def is_allowed(self, match: RouteMatch, customer: str) -> bool:
        """Return whether a customer may call a route."""
        allowed = match.route.customers
        return EVERYONE in allowed or customer in allowed

    def cap_importance(self, customer: str, wanted: Importance) -> Importance:
        """Return the fixed importance of a customer, or cap the claimed one."""
        cap = self.importance_caps.get(customer)
        if cap is None:
            return wanted
        return cap.highest if cap.is_fixed else min(wanted, cap.highest)


def build_importance_cap(customer: Customer) -> ImportanceCap:
    """Return the importance cap that a customer record sets."""
    if customer.importance:
        return ImportanceCap(parse_importance(customer.importance), True)
    return ImportanceCap(parse_importance(customer.most_important), False)


def list_path_prefixes(path: str) -> list[str]:
    """Return every prefix of a path that ends with a slash, longest first.

    >>> list_path_prefixes('/a/b')
    ['/a/b/', '/a/', '/']
    """
    prefixes = [f'{path}/']
    end = path.rfind('/')
    while end >= 0:
        prefixes.append(path[: end + 1])
        end = path.rfind('/', 0, end)
    return prefixes


def encode_policy(policy: Policy) -> bytes:
    """Return the policy in the encoding of the store."""
    return msgspec.json.encode(
        {
            'format': FORMAT_VERSION,
            'number': policy.number,
            'customers': {
                name: record._asdict()
                for name, record in policy.customers.items()
            },
            'routes': {
                name: record._asdict() for name, record in policy.routes.items()
            },
            'drained': policy.drained,
            'accepted': [ticket._asdict() for ticket in policy.accepted],
            'services': {
                name: record._asdict()
                for name, record in policy.services.items()
            },
        }
    )


def decode_policy(encoded: bytes) -> Policy:
    """Decode a stored policy; raise ValueError if it is invalid."""
    tables = decode_json(encoded)
    if not isinstance(tables, dict) or tables.get('format') != FORMAT_VERSION:
        raise ValueError(f'policy does not match format {FORMAT_VERSION}')
    mistakes: list[str] = []
    policy = Policy(
        number=check_value(tables.get('number'), int, 'number', mistakes),
        customers=build_records(Customer, tables, 'customers', mistakes),
        routes=build_records(Route, tables, 'routes', mistakes),
        drained=check_value(
            tables.get('drained', []),
            tuple[str, ...],
            'drained',
            mistakes,
        ),
        services=build_records(ServiceRecord, tables, 'services', mistakes),
        accepted=tuple(
            build_record(AcceptedTicket, ticket, 'accepted', mistakes)
            for ticket in tables.get('accepted', [])
        ),
    )
    if mistakes:
        raise ValueError('; '.join(mistakes))
    return policy


def build_records(
    record_class: Any,
    tables: dict[str, Any],
    section: str,
    mistakes: list[str],
) -> dict[str, Any]:
    """Build all named records of a section; append to `mistakes`."""
    named = tables.get(section, {})
    if not isinstance(named, dict):
        mistakes.append(f'{section}: got {named!r}; a table is needed')
        return {}
    for name in named:
        check_value(name, Name, f'{section}.{name}', mistakes)
    return {
        name: build_record(record_class, table, f'{section}.{name}', mistakes)
        for name, table in named.items()
    }
