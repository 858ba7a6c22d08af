"""Describe what operators allow: customers, routes and drained nodes."""

import functools
import hashlib
import hmac
import secrets
from typing import Annotated, Any, NamedTuple

import msgspec

from limpetshore.checks import Name, Seconds, build_record, check_value
from limpetshore.importance import Importance, parse_importance

FORMAT = 1
KEY_BYTES = 32
KEY_PREFIX = 'ls_'
INDEX_LENGTH = 16
EVERYONE = '*'
ANY_METHOD = '*'
ANY_HOST = ''
MAX_REMEMBERED_TICKETS = 256
MAX_POLICY_BYTES = 900_000

KeyHash = Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]
Method = Annotated[str, msgspec.Meta(pattern=r'^([A-Z]{3,10}|\*)$')]
HostName = Annotated[str, msgspec.Meta(pattern='^[a-z0-9.-]{0,253}$')]
Path = Annotated[str, msgspec.Meta(pattern='^/[!-~]{0,200}$')]


ImportanceText = Annotated[
    str,
    msgspec.Meta(pattern='^(low|normal|high|critical)$'),
]


class Customer(NamedTuple):
    """Say what one customer may send, in requests a second."""

    rate: Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]
    burst: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    weight: Annotated[float, msgspec.Meta(ge=0.01, le=100)] = 1
    most_important: ImportanceText = 'critical'
    importance: ImportanceText | None = None
    key_hashes: list[KeyHash] = []


class SplitPart(NamedTuple):
    """Give a service its share of the requests on a route."""

    service: Name
    weight: Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]


class Route(NamedTuple):
    """Say who may call a path and how its requests are treated.

    An empty `host` stands for every host. A `split` goes before `service`.
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
    """Say how to ask a server of a service whether it is well."""

    health_path: Path


class AcceptedTicket(NamedTuple):
    """Remember a ticket that was accepted."""

    number: int
    digest: str
    operator: str


class Policy(NamedTuple):
    """Hold the whole configuration as of one ticket."""

    number: int = 0
    customers: dict[str, Customer] = {}
    routes: dict[str, Route] = {}
    drained: tuple[str, ...] = ()
    accepted: tuple[AcceptedTicket, ...] = ()
    services: dict[str, ServiceRecord] = {}


class KeyOwner(NamedTuple):
    """Tie the hash of a key to its customer."""

    key_hash: str
    customer: str


class ImportanceCap(NamedTuple):
    """Bound the importance of a customer's requests, or fix it."""

    most: Importance
    is_fixed: bool


class RouteMatch(NamedTuple):
    """Hold a route with its name and rank at hand."""

    name: str
    route: Route
    importance: Importance
    subtree: str

    @property
    def services(self) -> list[str]:
        """Return every service that may serve the route."""
        if self.route.split:
            return [part.service for part in self.route.split]
        return [self.route.service]

    def accepts(self, method: str) -> bool:
        """Tell whether the route serves a method."""
        methods = self.route.methods
        return method in methods or ANY_METHOD in methods


def issue_key() -> str:
    """Return a new secret key."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def hash_key(key: str) -> str:
    """Return the hash under which a policy knows a key.

    A fast hash is enough, since keys are random and 256 bits long.
    """
    return hashlib.sha256(key.encode()).hexdigest()


RoutesByPath = dict[str, list[RouteMatch]]


class PolicyIndex:
    """Answer the questions of the hot path about one policy."""

    def __init__(self, policy: Policy, version: int) -> None:
        """Build the look-up tables."""
        self.policy = policy
        self.version = version
        self.drained = frozenset(policy.drained)
        self.owners: dict[str, list[KeyOwner]] = {}
        for name, customer in policy.customers.items():
            for key_hash in customer.key_hashes:
                self.owners.setdefault(key_hash[:INDEX_LENGTH], []).append(
                    KeyOwner(key_hash, name),
                )
        self.hosts: dict[str, RoutesByPath] = {}
        for name, route in sorted(policy.routes.items()):
            subtree = '{0}/'.format(route.path.rstrip('/'))
            importance = parse_importance(route.importance)
            paths = self.hosts.setdefault(route.host, {})
            paths.setdefault(subtree, []).append(
                RouteMatch(name, route, importance, subtree),
            )
        self.find_route = functools.lru_cache(maxsize=4096)(self.match_route)
        self.known_keys: dict[str, str] = {}
        self.caps = {
            name: find_cap(customer)
            for name, customer in policy.customers.items()
        }

    def find_customer(self, key: str) -> str | None:
        """Return whose key this is; only keys of customers are remembered."""
        found = self.known_keys.get(key)
        if found is None:
            found = self.compare_hashes(hash_key(key))
            if found is not None:
                self.known_keys[key] = found
        return found

    def compare_hashes(self, key_hash: str) -> str | None:
        """Return whose key has a hash, comparing in constant time."""
        found = None
        for owner in self.owners.get(key_hash[:INDEX_LENGTH], ()):
            if hmac.compare_digest(owner.key_hash, key_hash):
                found = owner.customer
        return found

    def match_route(
        self,
        method: str,
        path: str,
        host: str = ANY_HOST,
    ) -> RouteMatch | None:
        """Return the route with the longest path that matches."""
        for name in dict.fromkeys((host, ANY_HOST)):
            found = self.match_path(self.hosts.get(name, {}), method, path)
            if found:
                return found
        return None

    def match_path(
        self,
        paths: RoutesByPath,
        method: str,
        path: str,
    ) -> RouteMatch | None:
        """Look a path up, then each shorter one that it lies below."""
        for subtree in list_subtrees(path):
            for match in paths.get(subtree, ()):
                is_below = path.startswith(subtree) or path == match.route.path
                if is_below and match.accepts(method):
                    return match
        return None

    def is_allowed(self, match: RouteMatch, customer: str) -> bool:
        """Tell whether a customer may use a route."""
        allowed = match.route.customers
        return EVERYONE in allowed or customer in allowed

    def cap_importance(self, customer: str, wanted: Importance) -> Importance:
        """Return the importance a customer has or may claim."""
        cap = self.caps.get(customer)
        if cap is None:
            return wanted
        return cap.most if cap.is_fixed else min(wanted, cap.most)


def find_cap(customer: Customer) -> ImportanceCap:
    """Return how important requests of a customer may be."""
    if customer.importance:
        return ImportanceCap(parse_importance(customer.importance), True)
    return ImportanceCap(parse_importance(customer.most_important), False)


def list_subtrees(path: str) -> list[str]:
    """Return every prefix of a path that ends with a slash, longest first.

    >>> list_subtrees('/a/b')
    ['/a/b/', '/a/', '/']
    """
    subtrees = [f'{path}/']
    end = path.rfind('/')
    while end >= 0:
        subtrees.append(path[: end + 1])
        end = path.rfind('/', 0, end)
    return subtrees


def encode_policy(policy: Policy) -> bytes:
    """Return the policy as it is kept in the store."""
    return msgspec.json.encode(
        {
            'format': FORMAT,
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
    """Return the policy kept in the store; raise ValueError if damaged."""
    tables = msgspec.json.decode(encoded)
    if not isinstance(tables, dict) or tables.get('format') != FORMAT:
        raise ValueError(f'policy is not of format {FORMAT}')
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
    """Build every named record of a section, noting the mistakes."""
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
