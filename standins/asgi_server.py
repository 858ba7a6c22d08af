"""Serve ASGI applications with uvicorn, with limits on request heads."""

import contextlib
import logging
import socket
from collections.abc import Iterator
from typing import Any

import anyio
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from limpetshore.transport.http_client import TCP_USER_TIMEOUT_MS, Address

MAX_HEADER_BYTES = 32768
HEADER_TIMEOUT_S = 10.0
KEEP_ALIVE_TIMEOUT_S = 75
LISTEN_BACKLOG = 2048
START_POLL_INTERVAL_S = 0.005
HEADERS_TOO_LARGE_REFUSAL = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'connection: close\r\ncontent-length: 0\r\n'
    b'x-limpetshore-verdict: not-run\r\n'
    b'x-limpetshore-reason: bad_request\r\n\r\n'
)


class BoundedHttpProtocol(HttpToolsProtocol):
    """Limit the size of request heads and the time to receive the first."""

    header_bytes = 0
    is_in_headers = True
    header_timer: Any = None

    def connection_made(self, transport: Any) -> None:
        """Start the header timer; limit how long bytes stay unacknowledged."""
        super().connection_made(transport)
        raw_socket = transport.get_extra_info('socket')
        if raw_socket.family != socket.AF_UNIX:
            raw_socket.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                TCP_USER_TIMEOUT_MS,
            )
        self.header_timer = self.loop.call_later(
            HEADER_TIMEOUT_S,
            transport.close,
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the header timer."""
        self.header_timer.cancel()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count the bytes of the head; refuse a head that is too large."""
        if self.is_in_headers:
            self.header_bytes += len(data)
        super().data_received(data)
        if self.is_in_headers and self.header_bytes > MAX_HEADER_BYTES:
            self.transport.write(HEADERS_TOO_LARGE_REFUSAL)
            self.transport.close()

    def on_headers_complete(self) -> None:
        """Stop the timer and the count."""
        self.header_timer.cancel()
        self.is_in_headers = False
        self.header_bytes = 0
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Count the head of the next request on the connection."""
        self.is_in_headers = True
        super().on_message_complete()


class AsgiServer(uvicorn.Server):
    """Serve one ASGI application on one address until `stop` is called."""

    def __init__(
        self,
        application: Any,
        address: Address,
        *,
        graceful_s: float,
    ) -> None:
        """Configure uvicorn; `graceful_s` limits the wait for open requests."""
        self.stop_requested = anyio.Event()
        self.stopped = anyio.Event()
        logging.getLogger('uvicorn').setLevel(logging.CRITICAL)
        super().__init__(
            uvicorn.Config(
                application,
                host=address.host,
                port=address.port,
                http=BoundedHttpProtocol,
                ws='none',
                lifespan='off',
                interface='asgi3',
                log_config=None,
                access_log=False,
                proxy_headers=False,
                server_header=False,
                date_header=False,
                backlog=LISTEN_BACKLOG,
                timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
                timeout_graceful_shutdown=int(graceful_s) + 1,
            ),
        )

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers; the process handles signals itself."""
        yield

    async def main_loop(self) -> None:
        """Wait for `stop`; uvicorn would poll ten times a second instead."""
        await self.on_tick(0)
        await self.stop_requested.wait()

    async def run_until_stopped(self) -> None:
        """Serve until `stop` is called, then finish the open requests."""
        await self.serve()
        self.stopped.set()

    async def wait_stopped(self) -> None:
        """Return once the last open request has ended."""
        await self.stopped.wait()

    async def wait_started(self) -> None:
        """Return once the port is open."""
        while not self.started:
            # uvicorn sets a flag and has no event to wait for.
            await anyio.sleep(START_POLL_INTERVAL_S)

    def stop(self) -> None:
        """Close the listener and let open requests finish, without waiting."""
        self.should_exit = True
        self.stop_requested.set()
