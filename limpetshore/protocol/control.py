"""Exchange control messages between nodes: HTTP calls, MessagePack bodies."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import anyio
import msgspec
from logbook import Logger

from limpetshore.errors import (
    PeerError,
    TransportError,
    UnexpectedStatusError,
)
from limpetshore.metrics import Metrics
from limpetshore.protocol.messages import (
    Document,
    FetchRequest,
    GossipMessage,
    GrantReply,
    GrantRequest,
    LendReply,
    LendRequest,
    encode,
)
from limpetshore.transport.server_connection import CallApp
from limpetshore.transport.http_client import Address, HttpConnection
from limpetshore.transport.http_pool import HttpPool
from limpetshore.transport.server_request import ServerRequest

logger = Logger(__name__)

PATH_PREFIX = '/limpetshore/control/'
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# Less than the server's timeout of idle connections.
MAX_IDLE_S = 30
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
CONTENT_TOO_LARGE = 413
FAILED_CALL_ERRORS = (
    TransportError,
    TimeoutError,
    ValueError,
    RecursionError,
)


class ControlHandler(ABC):
    """Define the methods that answer control messages."""

    @abstractmethod
    async def exchange(self, request: GossipMessage) -> GossipMessage:
        """Merge the gossip of a peer and return that of this node."""

    @abstractmethod
    async def fetch(self, request: FetchRequest) -> Document:
        """Return a document of the store, empty if the peer is up to date."""

    @abstractmethod
    async def grant(self, request: GrantRequest) -> GrantReply:
        """Grant tokens of the shards that this node holds."""

    async def lend(self, request: LendRequest) -> LendReply:
        """Transfer tokens of this node to a peer; by default none."""
        return LendReply(0)


class ControlMethod(NamedTuple):
    """Hold the decoder of a kind of message, and what answers it."""

    decoder: msgspec.msgpack.Decoder
    serve: Callable[[Any], Awaitable[Any]]


class ControlApp(CallApp):
    """Serve the control messages of other nodes."""

    def __init__(self, handler: ControlHandler, metrics: Metrics) -> None:
        """Register the methods."""
        self.metrics = metrics
        self.received = metrics.control_bytes.labels('received')
        self.sent = metrics.control_bytes.labels('sent')
        messages = {
            'Exchange': (GossipMessage, handler.exchange),
            'Fetch': (FetchRequest, handler.fetch),
            'Grant': (GrantRequest, handler.grant),
            'Lend': (LendRequest, handler.lend),
        }
        self.methods = {
            PATH_PREFIX + name: ControlMethod(
                msgspec.msgpack.Decoder(request_class), serve
            )
            for name, (request_class, serve) in messages.items()
        }

    async def serve(self, request: ServerRequest) -> None:
        """Answer one message; refuse one that cannot be decoded."""
        method = self.methods.get(request.path)
        if method is None:
            send_reply(request, NOT_FOUND)
            return
        encoded = await request.read_whole_body(MAX_MESSAGE_BYTES)
        if encoded is None:
            send_reply(request, CONTENT_TOO_LARGE)
            return
        self.received.inc(len(encoded))
        try:
            message = method.decoder.decode(encoded)
        except (msgspec.MsgspecError, RecursionError) as error:
            logger.info('refused a malformed control message: {0}', error)
            self.metrics.bad_input.labels('peer_message').inc()
            send_reply(request, BAD_REQUEST)
            return
        await self.answer(request, method, message)

    async def answer(
        self, request: ServerRequest, method: ControlMethod, message: Any
    ) -> None:
        """Send the reply to a message."""
        try:
            reply = encode(await method.serve(message))
        except Exception:
            self.metrics.report_defect('control')
            raise
        self.sent.inc(len(reply))
        send_reply(request, OK, reply)


def send_reply(
    request: ServerRequest, status: int, encoded: bytes = b''
) -> None:
    """Send a complete answer."""
    headers = [(b'content-length', b'%d' % len(encoded))]
    request.send_complete(status, headers, encoded)


class ControlClient:
    """Send control messages to other nodes, over kept connections."""

    def __init__(self, metrics: Metrics) -> None:
        """Create the client; connections are opened by the first calls."""
        self.metrics = metrics
        self.pools: dict[str, HttpPool] = {}

    async def call(  # noqa: WPS211
        self,
        address: str,
        method: str,
        request: Any,
        reply_class: type,
        timeout_s: float,
    ) -> Any:
        """Send a message and return the reply, or raise PeerError.

        A failed call closes the kept connections: they may never deliver
        anything again, while a new one to the same address works. ValueError
        stands for a malformed reply or address.
        """
        encoded = encode(request)
        byte_counters = self.metrics.control_bytes
        byte_counters.labels('sent').inc(len(encoded))
        try:
            with anyio.fail_after(timeout_s):
                reply = await self.send(address, method, encoded)
            decoded = msgspec.msgpack.decode(reply, type=reply_class)
        except FAILED_CALL_ERRORS as error:
            self.metrics.control_calls.labels(method, 'failed').inc()
            self.forget(address)
            raise PeerError(f'{address}: {error!r}') from error
        self.metrics.control_calls.labels(method, 'ok').inc()
        byte_counters.labels('received').inc(len(reply))
        return decoded

    async def send(self, address: str, method: str, encoded: bytes) -> bytes:
        """Send an encoded message; return the encoded reply."""
        async with self.get_pool(address).connection() as connection:
            await connection.send_head(
                b'POST',
                (PATH_PREFIX + method).encode(),
                [
                    (b'host', b'peer'),
                    (b'content-length', b'%d' % len(encoded)),
                ],
                encoded,
            )
            return await read_reply(connection)

    def get_pool(self, address: str) -> HttpPool:
        """Return the connection pool of an address."""
        pool = self.pools.get(address)
        if pool is None:
            host, _, port = address.rpartition(':')
            pool = HttpPool(Address(host, int(port)), MAX_IDLE_S)
            self.pools[address] = pool
        return pool

    def forget(self, address: str) -> None:
        """Close the kept connections to an address."""
        pool = self.pools.pop(address, None)
        if pool is not None:
            pool.close_idle()

    def close(self) -> None:
        """Close all kept connections."""
        for address in list(self.pools):
            self.forget(address)


async def read_reply(connection: HttpConnection) -> bytes:
    """Return the body of a reply; raise UnexpectedStatusError if refused."""
    head = await connection.read_head()
    body = await connection.read_all(MAX_MESSAGE_BYTES)
    if head.status != OK:
        raise UnexpectedStatusError(f'status {head.status}')
    return body
