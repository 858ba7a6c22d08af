"""Define the messages between nodes and their encoding.

A NamedTuple is encoded as an array, so the order of its fields is part of the
protocol between nodes and their names are not.
"""

import functools
from typing import Annotated, Any, NamedTuple, TypeVar

import msgspec

from limpetshore.decoding import Count
from limpetshore.importance import Importance
from limpetshore.transport.responses import Headers

Message = TypeVar('Message')

StatusNumber = Annotated[int, msgspec.Meta(ge=0, le=4)]  # see state.members

CALL_HEADER = b'x-limpetshore-call'
ANSWER_HEADER = b'x-limpetshore-answer'
TOKEN_HEADER = b'x-limpetshore-token'
CUSTOMER_HEADER = b'x-limpetshore-customer'
REQUEST_ID_HEADER = b'x-request-id'
TIMEOUT_HEADER = b'x-request-timeout-ms'
VERDICT_HEADER = b'x-limpetshore-verdict'
REASON_HEADER = b'x-limpetshore-reason'
INTERNAL_HEADER_PREFIX = b'x-limpetshore-'

HOP_BY_HOP_HEADERS = frozenset(
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

# Reported as the age of a store that was never confirmed, as JSON has no
# infinity.
MAX_STORE_AGE_S = 1e9
REMOVED_HEADERS_CACHE_SIZE = 64


class CallMeta(NamedTuple):
    """Describe a call in the header that the ingress sends to the guard."""

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
    """Describe an answer in the header that the guard sends to the ingress.

    `verdict` and `reason` are empty for an answer of the backend server.
    `level` is the admission level of the guard and `downstream_level` the
    highest that nested calls met. `service_time_s` is a moving average of the
    time the server takes for a request, and `store_age_s` the time since the
    last confirmed read of the store.
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
    """Describe one node to its peers; spread by gossip.

    The node raises `revision` when its state changes and `incarnation` at
    each start. `peers` and `control` are addresses. `instance` is the id of
    the backend server, empty if the server has none.
    """

    name: str
    incarnation: Count
    revision: Count
    status: StatusNumber
    service: str
    zone: str
    region: str
    peers: str
    control: str
    slots: Count
    instance: str = ''


class Digest(NamedTuple):
    """Summarize the state of a node, so that peers see whether theirs differs.

    `store_age_s` is the time since the last confirmed read of the store.
    """

    sender: str
    incarnation: int
    policy_version: int
    ledger_version: int
    store_age_s: float
    members_hash: int


class GossipMessage(NamedTuple):
    """Carry the digest and the latest membership changes of the sender.

    With `wants_full_state`, the reply lists all nodes.
    """

    digest: Digest
    changes: list[NodeState]
    wants_full_state: bool = False


class Document(NamedTuple):
    """Carry an object of the store from one node to another."""

    version: int
    content: bytes


class FetchRequest(NamedTuple):
    """Request a document if the peer has one newer than `known_version`."""

    name: str
    known_version: int


class ProbeRequest(NamedTuple):
    """Ask a guard whether a call arrived; if not, void the call.

    A voided call is refused if it arrives later. `age_s` is the time since the
    call was sent.
    """

    call_id: str
    age_s: float


class ProbeReply(NamedTuple):
    """Tell whether a call reached the guard and whether it still runs."""

    has_arrived: bool
    is_running: bool


class TokenRequest(NamedTuple):
    """Request tokens of one customer from one shard, or return unused ones.

    `unspent` is the number of tokens granted earlier that are still unspent.
    `sequence` grows with each request, so that one delivered late is ignored.
    """

    shard: int
    customer: str
    wanted: int
    unspent: int
    returned: int
    sequence: int


class TokenGrant(NamedTuple):
    """Grant tokens, or state in `retry_after_s` how long to wait."""

    shard: int
    customer: str
    granted: int
    retry_after_s: float


class GrantRequest(NamedTuple):
    """Request tokens of several shards that one node holds."""

    sender: str
    token_requests: list[TokenRequest]


class GrantReply(NamedTuple):
    """Answer token requests, except for shards that the node does not hold."""

    grants: list[TokenGrant]


class LendRequest(NamedTuple):
    """Ask another node to transfer tokens of one customer."""

    customer: str
    wanted: int


class LendReply(NamedTuple):
    """Return how many tokens were subtracted from the lender's budget."""

    lent: int


class Empty(NamedTuple):
    """Carry no fields."""


call_decoder = msgspec.json.Decoder(CallMeta)
answer_decoder = msgspec.json.Decoder(AnswerMeta)
json_encoder = msgspec.json.Encoder()


def encode(message: Any) -> bytes:
    """Return a control message encoded in MessagePack."""
    return msgspec.msgpack.encode(message)


def get_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header of a name, or None.

    >>> get_header([(b'a', b'1')], b'a')
    b'1'
    """
    for header, value in headers:
        if header == name:
            return value
    return None


def strip_hop_headers(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    """Return the headers to forward, without hop-by-hop and internal ones.

    >>> strip_hop_headers([(b'te', b'x'), (b'a', b'1')], frozenset())
    [(b'a', b'1')]
    """
    removed = find_removed_headers(get_header(headers, b'connection'), dropped)
    kept = []
    for header in headers:
        name = header[0]
        if name not in removed and not name.startswith(INTERNAL_HEADER_PREFIX):
            kept.append(header)
    return kept


@functools.lru_cache(maxsize=REMOVED_HEADERS_CACHE_SIZE)
def find_removed_headers(
    connection: bytes | None,
    dropped: frozenset[bytes],
) -> frozenset[bytes]:
    """Return the names of headers that must not be forwarded.

    These are the hop-by-hop headers, those that the Connection header lists
    and the `dropped` ones.

    >>> b'x-hop' in find_removed_headers(b'close, X-Hop', frozenset())
    True
    """
    listed = [
        token.strip().lower() for token in (connection or b'').split(b',')
    ]
    return HOP_BY_HOP_HEADERS | dropped | frozenset(listed)
