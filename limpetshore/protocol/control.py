"""Exchange control messages between nodes: gRPC calls, MessagePack bodies."""

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

GRPC_SERVICE = 'limpetshore.Control'
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
STOP_GRACE_S = 0.2

CHANNEL_OPTIONS = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.enable_retries', 0),
    # Each channel opens a connection of its own: from the global pool, a new
    # channel to an address would reuse a connection that delivers nothing.
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
)
SERVER_OPTIONS = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.so_reuseport', 0),
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


class ControlServer:
    """Serve control messages over gRPC."""

    def __init__(
        self,
        handler: ControlHandler,
        address: str,
        metrics: Metrics,
    ) -> None:
        """Register the methods; calls are served only after `start`."""
        self.metrics = metrics
        self.server = aio.server(options=SERVER_OPTIONS)
        methods = {
            'Exchange': self.build_method_handler(
                GossipMessage, handler.exchange
            ),
            'Fetch': self.build_method_handler(FetchRequest, handler.fetch),
            'Grant': self.build_method_handler(GrantRequest, handler.grant),
            'Lend': self.build_method_handler(LendRequest, handler.lend),
        }
        self.server.add_generic_rpc_handlers(
            (method_handlers_generic_handler(GRPC_SERVICE, methods),)
        )
        self.server.add_insecure_port(address)

    def build_method_handler(
        self,
        request_class: type,
        serve: Callable[[Any], Awaitable[Any]],
    ) -> Any:
        """Return a gRPC handler that counts bytes and decodes requests.

        A request that cannot be decoded is answered with INVALID_ARGUMENT.
        """
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
        """Accept calls from now on."""
        await self.server.start()

    async def stop(self) -> None:
        """Close the port; open calls get `STOP_GRACE_S` seconds to finish."""
        await self.server.stop(STOP_GRACE_S)


class ControlClient:
    """Send control messages to other nodes, over one channel per address."""

    def __init__(self, metrics: Metrics) -> None:
        """Create the client; channels are opened by the first call."""
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

        A failed call closes the channel: its connection may never deliver
        anything again, while a new connection to the same address works.
        """
        encoded = encode(request)
        byte_counters = self.metrics.control_bytes
        byte_counters.labels('sent').inc(len(encoded))
        try:
            reply = await self.get_channel(address).unary_unary(
                f'/{GRPC_SERVICE}/{method}',
            )(encoded, timeout=timeout_s)
            decoded = msgspec.msgpack.decode(reply, type=reply_class)
        except asyncio.CancelledError as error:
            if asyncio.current_task().cancelling():
                raise
            # Not a cancellation of this task: another call closed the shared
            # channel, and gRPC cancels all open calls of a closed channel.
            raise PeerError(f'{address}: the channel was closed') from error
        except (aio.AioRpcError, msgspec.MsgspecError) as error:
            self.metrics.control_calls.labels(method, 'failed').inc()
            await self.close_channel(address)
            raise PeerError(f'{address}: {error}') from error
        self.metrics.control_calls.labels(method, 'ok').inc()
        byte_counters.labels('received').inc(len(reply))
        return decoded

    def get_channel(self, address: str) -> aio.Channel:
        """Return the open channel to an address, or a new one."""
        channel = self.channels.get(address)
        if channel is None:
            channel = aio.insecure_channel(address, options=CHANNEL_OPTIONS)
            self.channels[address] = channel
        return channel

    async def close_channel(self, address: str) -> None:
        """Close the channel to an address, if there is one."""
        channel = self.channels.pop(address, None)
        if channel is not None:
            await channel.close()

    async def close(self) -> None:
        """Close all channels; calls that are still open fail."""
        for address in list(self.channels):
            await self.close_channel(address)
