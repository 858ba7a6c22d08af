"""Serve HTTP/1.1 calls on one address.

Calls between nodes are served without ASGI, which would cost more than the
rest of a call.
"""

import asyncio
import socket

from limpetshore import clock
from limpetshore.transport.http_client import Address
from limpetshore.transport.server_connection import CallApp, ServerConnection

HEADER_TIMEOUT_S = 10.0
KEEP_ALIVE_TIMEOUT_S = 75.0
SWEEP_INTERVAL_S = 5.0
STOP_POLL_INTERVAL_S = 0.05
# Who has just connected, or heard an answer, may be about to send.
IDLE_GRACE_S = 0.1
LISTEN_BACKLOG = 2048


def open_port(address: Address) -> socket.socket:
    """Return a socket that listens at an address."""
    port = socket.socket()
    port.setblocking(False)
    port.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    port.bind(address)
    port.listen(LISTEN_BACKLOG)
    return port


class CallServer:
    """Serve one application on one address until `stop` is called."""

    def __init__(
        self,
        app: CallApp,
        address: Address,
        *,
        graceful_s: float,
    ) -> None:
        """Set the address; `graceful_s` limits the wait for open requests."""
        self.app = app
        self.address = address
        self.graceful_s = graceful_s
        self.connections: set[ServerConnection] = set()
        self.is_stopping = False
        self.started = asyncio.Event()
        self.stop_requested = asyncio.Event()
        self.stopped = asyncio.Event()

    async def run_until_stopped(self) -> None:
        """Serve until `stop` is called, then finish the open requests."""
        loop = asyncio.get_running_loop()
        with open_port(self.address) as port:
            listener = await loop.create_server(
                self.build_connection, sock=port.dup(), backlog=LISTEN_BACKLOG
            )
            sweeper = loop.create_task(self.sweep())
            self.started.set()
            await self.stop_requested.wait()
            listener.close()
            await self.accept_pending(port)
        sweeper.cancel()
        await self.drain_connections()
        self.stopped.set()

    def build_connection(self) -> ServerConnection:
        """Return the protocol of a new connection."""
        return ServerConnection(self)

    async def accept_pending(self, port: socket.socket) -> None:
        """Accept who has connected so far, before the port is closed.

        The kernel resets connections that are not accepted by then.
        """
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted, _ = port.accept()
            except OSError:
                return
            await loop.connect_accepted_socket(self.build_connection, accepted)

    @property
    def open_request_count(self) -> int:
        """Return how many requests are open on all connections."""
        return sum(
            len(connection.open_requests) for connection in self.connections
        )

    async def drain_connections(self) -> None:
        """Close connections as they become idle, for at most `graceful_s`.

        The event loop may have accepted one that is not among them yet.
        """
        deadline = clock.now() + self.graceful_s
        await asyncio.sleep(STOP_POLL_INTERVAL_S)
        while self.connections and clock.now() < deadline:
            self.close_idle(IDLE_GRACE_S)
            await asyncio.sleep(STOP_POLL_INTERVAL_S)

    async def sweep(self) -> None:
        """Periodically close connections idle for too long."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.close_idle(KEEP_ALIVE_TIMEOUT_S)

    def close_idle(self, idle_s: float) -> None:
        """Close connections idle for some time.

        One that has sent part of a request head has its own time for the rest.
        """
        now = clock.now()
        for connection in list(self.connections):
            limit_s = HEADER_TIMEOUT_S if connection.has_begun_head else idle_s
            if now >= connection.idle_since + limit_s:
                connection.close_idle()

    async def wait_started(self) -> None:
        """Return once the port is open."""
        await self.started.wait()

    async def wait_stopped(self) -> None:
        """Return once the last open request has ended."""
        await self.stopped.wait()

    def disable_keep_alive(self) -> None:
        """Add `connection: close` to each answer from now on.

        Callers then open their next connection to another node.
        """
        self.is_stopping = True

    def stop(self) -> None:
        """Close the listener and let open requests finish, without waiting."""
        self.is_stopping = True
        self.stop_requested.set()
