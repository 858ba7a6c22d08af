"""Define what nodes say to each other, and its encoding."""

import functools
from typing import Any, NamedTuple, TypeVar

import msgspec

from limpetshore.importance import Importance
from limpetshore.transport.http_client import Headers

Message = TypeVar('Message')

CALL_HEADER = b'x-limpetshore-call'
ANSWER_HEADER = b'x-limpetshore-answer'
TOKEN_HEADER = b'x-limpetshore-token'
CUSTOMER_HEADER = b'x-limpetshore-customer'
REQUEST_ID_HEADER = b'x-request-id'
TIMEOUT_HEADER = b'x-request-timeout-ms'
VERDICT_HEADER = b'x-limpetshore-verdict'
REASON_HEADER = b'x-limpetshore-reason'
PREFIX = b'x-limpetshore-'

HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    )
)


MAX_STORE_AGE_S = 1e9
KEPT_CONNECTION_LINES = 64


class CallMeta(NamedTuple):
    """Travel with a call from the ingress to the guard."""

    call_id: str
    request_id: str
    customer: str
    route: str
    importance: Importance
    timeout_ms: int
    retries_left: int
    depth: int
    is_repeatable: bool
    is_id_from_caller: bool
    service: str
    caller_service: str
    precedence: int = 0


class AnswerMeta(NamedTuple):
    """Travel with an answer from the guard to the ingress.

    `verdict` and `reason` are empty for an answer of the backend server.
    `service_time` is what the server takes for a request, in seconds, and
    `confirmed_age` how long ago the store was known to be up.
    """

    verdict: str
    reason: str
    retry_after_s: float
    retries_spent: int
    level: float
    downstream_level: float
    load: float
    service_time_s: float = 0
    policy_version: int = 0
    store_age_s: float = MAX_STORE_AGE_S


class NodeState(NamedTuple):
    """Spread by gossip: one node as its peers know it.

    `revision` is raised by the node itself, `incarnation` at each start;
    `instance` is the id of its backend server, empty if that has none.
    """

    name: str
    incarnation: int
    revision: int
    status: int
    service: str
    zone: str
    region: str
    peers: str
    control: str
    slots: int
    instance: str = ''


class Digest(NamedTuple):
    """Sum up what a node knows, to see whether it must be exchanged.

    `confirmed_age` is in seconds since the store was known to be up.
    """

    sender: str
    incarnation: int
    policy_version: int
    ledger_version: int
    store_age_s: float
    members_hash: int


class GossipMessage(NamedTuple):
    """Carry a digest and the latest changes between two nodes."""

    digest: Digest
    changes: list[NodeState]
    wants_full_state: bool = False


class Document(NamedTuple):
    """Hold an object of the store as one node passes it to another."""

    version: int
    content: bytes


class FetchRequest(NamedTuple):
    """Ask a peer for a document newer than a version."""

    name: str
    known_version: int


class ProbeRequest(NamedTuple):
    """Ask a guard whether a call arrived, and void it if it did not.

    `age` is the time in seconds since the call was sent.
    """

    call_id: str
    age_s: float


class ProbeReply(NamedTuple):
    """Tell whether the call had reached the guard and still runs there."""

    has_arrived: bool
    is_running: bool


class TokenRequest(NamedTuple):
    """Ask for tokens of one customer from one shard, or return some.

    `holding` is how many earlier tokens of the shard are still unspent, and
    `sequence` grows with each ask, so that a late one is ignored.
    """

    shard: int
    customer: str
    wanted: int
    unspent: int
    returned: int
    sequence: int


class TokenGrant(NamedTuple):
    """Grant tokens; `retry_after` in seconds is set if there are too few."""

    shard: int
    customer: str
    granted: int
    retry_after_s: float


class GrantRequest(NamedTuple):
    """Ask one node for tokens of several shards."""

    sender: str
    token_requests: list[TokenRequest]


class GrantReply(NamedTuple):
    """Answer each ask; shards not held here are left out."""

    grants: list[TokenGrant]


class LendRequest(NamedTuple):
    """Ask another node for tokens of one customer."""

    customer: str
    wanted: int


class LendReply(NamedTuple):
    """Say how many tokens were subtracted for the asker."""

    given: int


class Empty(NamedTuple):
    """Carry nothing."""


call_decoder = msgspec.json.Decoder(CallMeta)
answer_decoder = msgspec.json.Decoder(AnswerMeta)
json_encoder = msgspec.json.Encoder()


def encode(message: Any) -> bytes:
    """Return a control message in MessagePack."""
    return msgspec.msgpack.encode(message)


def get_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the only header of a name.

    >>> get_header([(b'a', b'1')], b'a')
    b'1'
    """
    for header, value in headers:
        if header == name:
            return value
    return None


def strip_hop_headers(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    """Return headers that may pass to the next hop.

    >>> strip_hop_headers([(b'te', b'x'), (b'a', b'1')], frozenset())
    [(b'a', b'1')]
    """
    unwanted = find_unwanted(get_header(headers, b'connection'), dropped)
    kept = []
    for header in headers:
        name = header[0]
        if name not in unwanted and not name.startswith(PREFIX):
            kept.append(header)
    return kept


@functools.lru_cache(maxsize=KEPT_CONNECTION_LINES)
def find_unwanted(
    connection: bytes | None,
    dropped: frozenset[bytes],
) -> frozenset[bytes]:
    """Return the names of headers that concern only one connection.

    >>> b'x-hop' in find_unwanted(b'close, X-Hop', frozenset())
    True
    """
    named = [token.strip().lower() for token in (connection or b'').split(b',')]
    return HOP_BY_HOP | dropped | frozenset(named)
