"""Carry control messages between nodes by gRPC, with MessagePack inside."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from grpc import (
    StatusCode,
    aio,
    method_handlers_generic_handler,
    unary_unary_rpc_method_handler,
)

from limpetshore.errors import PeerError
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

SERVICE = 'limpetshore.Control'
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
STOP_GRACE_S = 0.2

CHANNEL_OPTIONS = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.enable_retries', 0),
    # A channel of its own is a connection of its own; see internals.
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
)
SERVER_OPTIONS = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.so_reuseport', 0),
)


class ControlHandler(ABC):
    """Answer control messages."""

    @abstractmethod
    async def exchange(self, request: GossipMessage) -> GossipMessage:
        """Compare state with another node."""

    @abstractmethod
    async def fetch(self, request: FetchRequest) -> Document:
        """Pass on a document of the store."""

    @abstractmethod
    async def grant(self, request: GrantRequest) -> GrantReply:
        """Grant tokens."""

    async def lend(self, request: LendRequest) -> LendReply:
        """Give tokens of this node away, if it owns any."""
        return LendReply(0)


class ControlServer:
    """Serve control messages."""

    def __init__(
        self,
        handler: ControlHandler,
        address: str,
        metrics: Metrics,
    ) -> None:
        """Register each method; nothing is served before `start`."""
        self.metrics = metrics
        self.server = aio.server(options=SERVER_OPTIONS)
        methods = {
            'Exchange': self.build_method(GossipMessage, handler.exchange),
            'Fetch': self.build_method(FetchRequest, handler.fetch),
            'Grant': self.build_method(GrantRequest, handler.grant),
            'Lend': self.build_method(LendRequest, handler.lend),
        }
        self.server.add_generic_rpc_handlers(
            (method_handlers_generic_handler(SERVICE, methods),)
        )
        self.server.add_insecure_port(address)

    def build_method(
        self,
        request_class: type,
        serve: Callable[[Any], Awaitable[Any]],
    ) -> Any:
        """Return a gRPC handler that counts bytes and rejects damage."""
        decoder = msgspec.msgpack.Decoder(request_class)
        received = self.metrics.control_bytes.labels('received')
        sent = self.metrics.control_bytes.labels('sent')

        async def serve_bytes(  # noqa: WPS430
            encoded: bytes,
            context: Any,
        ) -> bytes:
            received.inc(len(encoded))
            try:
                request = decoder.decode(encoded)
            except msgspec.MsgspecError as error:
                self.metrics.bad_input.labels('peer_message').inc()
                await context.abort(
                    StatusCode.INVALID_ARGUMENT,
                    str(error),
                )
            reply = encode(await serve(request))
            sent.inc(len(reply))
            return reply

        return unary_unary_rpc_method_handler(serve_bytes)

    async def start(self) -> None:
        """Open the port."""
        await self.server.start()

    async def stop(self) -> None:
        """Close the port."""
        await self.server.stop(STOP_GRACE_S)


class ControlClient:
    """Send control messages to other nodes, one channel to each address."""

    def __init__(self, metrics: Metrics) -> None:
        """Start without channels."""
        self.metrics = metrics
        self.channels: dict[str, aio.Channel] = {}

    async def call(  # noqa: WPS211
        self,
        address: str,
        method: str,
        request: Any,
        reply_class: type,
        timeout_s: float,
    ) -> Any:
        """Send a message and return the reply, or raise PeerError.

        A channel that gives no answer is closed, since its connection may be
        silent for good while a new one works.
        """
        encoded = encode(request)
        counters = self.metrics.control_bytes
        counters.labels('sent').inc(len(encoded))
        try:
            reply = await self.channel(address).unary_unary(
                f'/{SERVICE}/{method}',
            )(encoded, timeout=timeout_s)
            decoded = msgspec.msgpack.decode(reply, type=reply_class)
        except asyncio.CancelledError as error:
            if asyncio.current_task().cancelling():
                raise
            # gRPC cancels the calls of a channel that another call closed.
            raise PeerError(f'{address}: the channel was closed') from error
        except (aio.AioRpcError, msgspec.MsgspecError) as error:
            self.metrics.control_calls.labels(method, 'failed').inc()
            await self.drop(address)
            raise PeerError(f'{address}: {error}') from error
        self.metrics.control_calls.labels(method, 'ok').inc()
        counters.labels('received').inc(len(reply))
        return decoded

    def channel(self, address: str) -> aio.Channel:
        """Return the channel to an address."""
        found = self.channels.get(address)
        if found is None:
            found = aio.insecure_channel(address, options=CHANNEL_OPTIONS)
            self.channels[address] = found
        return found

    async def drop(self, address: str) -> None:
        """Close the channel to an address."""
        channel = self.channels.pop(address, None)
        if channel is not None:
            await channel.close()

    async def close(self) -> None:
        """Close all channels."""
        for address in list(self.channels):
            await self.drop(address)
