"""Hold one request that a server has received, and send its answer."""

import asyncio
import http
from collections import deque
from typing import Protocol

from limpetshore.transport.http_client import HEADER_LINE_FORMAT, wake_waiter
from limpetshore.transport.responses import Headers

MAX_BUFFERED_BYTES = 65536
BODYLESS_STATUSES = frozenset((204, 304))
CHUNKED_HEADER = (b'transfer-encoding', b'chunked')
CONNECTION_CLOSE_LINE = b'connection: close\r\n'
STATUS_LINES = {
    status.value: b'HTTP/1.1 %d %b\r\n' % (status, status.phrase.encode())
    for status in http.HTTPStatus
}


class RequestConnection(Protocol):
    """Declare the part of a connection that its requests use."""

    loop: asyncio.AbstractEventLoop
    is_disconnected: bool
    is_ended_here: bool
    peer_host: str
    write_waiter: asyncio.Future[None] | None

    def may_stay_open(self, request: 'ServerRequest') -> bool:
        """Tell whether the connection stays open after a request."""

    def pause_reading(self) -> None:
        """Stop reading from the socket."""

    def resume_reading(self) -> None:
        """Continue to read from the socket."""

    def write(self, chunk: bytes) -> None:
        """Write bytes, unless the connection is closed or closing."""

    async def drain(self) -> None:
        """Wait while the send buffer is full."""


class ServerRequest:
    """Hold one request, the received part of its body, and its answer."""

    # Defaults are class attributes, since most requests never change them.
    # The application sets the id for log lines.
    request_id = ''
    method = b''
    target = b''
    path = ''
    buffered_bytes = 0
    is_body_complete = False
    is_body_discarded = False
    is_kept_alive = True
    expects_continue = False
    survives_disconnect = False
    has_started = False
    is_answered = False
    is_chunked_answer = False
    unsent_head = b''
    is_oldest = False
    is_handled = False
    has_lost_bytes = False
    task: asyncio.Task[None] | None = None
    turn_waiter: asyncio.Future[None] | None = None
    body_waiter: asyncio.Future[None] | None = None

    def __init__(self, connection: RequestConnection) -> None:
        """Create a request of which nothing was received."""
        self.connection = connection
        self.headers: Headers = []
        self.body: deque[bytes] = deque()
        self.queued_output: list[bytes] = []

    @property
    def is_disconnected(self) -> bool:
        """Tell whether the caller has disconnected."""
        return self.connection.is_disconnected

    @property
    def is_ended_here(self) -> bool:
        """Tell whether this side, not the caller, ends the connection."""
        return self.connection.is_ended_here

    @property
    def peer_host(self) -> str:
        """Return the IP address that the request came from."""
        return self.connection.peer_host

    def add_body(self, chunk: bytes) -> None:
        """Buffer a chunk of the body; pause reading at the buffer limit."""
        if self.is_body_discarded:
            return
        self.body.append(chunk)
        self.buffered_bytes += len(chunk)
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            self.connection.pause_reading()
        wake_waiter(self.body_waiter)

    def abandon(self) -> None:
        """Cancel the task, unless it survives a disconnect."""
        wake_waiter(self.body_waiter)
        wake_waiter(self.turn_waiter)
        if not self.survives_disconnect:
            self.task.cancel()

    async def read_body(self) -> bytes:
        """Return the received bytes of the body, or wait for some.

        Return no bytes at the end of the body or if the caller disconnects.
        A caller that expects 100 Continue is sent it first.
        """
        if self.expects_continue:
            self.expects_continue = False
            self.connection.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        while (
            not self.body
            and not self.is_body_complete
            and not self.is_disconnected
        ):
            self.body_waiter = self.connection.loop.create_future()
            await self.body_waiter
        received = b''.join(self.body)
        self.body.clear()
        self.buffered_bytes = 0
        self.connection.resume_reading()
        return received

    async def read_whole_body(self, max_bytes: int) -> bytes | None:
        """Return the body, or None if it is longer than `max_bytes`."""
        chunks: list[bytes] = []
        body_bytes = 0
        while not self.is_disconnected:
            chunks.append(await self.read_body())
            body_bytes += len(chunks[-1])
            if body_bytes > max_bytes:
                self.is_kept_alive = False
                return None
            if self.is_body_complete and not self.body:
                break
        return b''.join(chunks)

    async def wait_turn(self) -> None:
        """Wait until all earlier requests of the connection are answered."""
        while not self.is_oldest and not self.is_disconnected:
            self.turn_waiter = self.connection.loop.create_future()
            await self.turn_waiter

    def become_oldest(self) -> None:
        """Write the queued output, as all earlier requests are answered."""
        self.is_oldest = True
        for chunk in self.queued_output:
            self.connection.write(chunk)
        self.queued_output.clear()
        wake_waiter(self.turn_waiter)

    def write(self, chunk: bytes) -> None:
        """Write bytes of the answer, or queue them behind earlier answers."""
        if self.is_oldest:
            self.connection.write(chunk)
        else:
            self.queued_output.append(chunk)

    async def drain(self) -> None:
        """Wait until the send buffer can take more of the answer."""
        if not self.is_oldest:
            await self.wait_turn()
        await self.connection.drain()

    def start_answer(self, status: int, headers: Headers) -> None:
        """Build the head, which is sent together with the first chunk."""
        self.has_started = True
        is_bodyless = status in BODYLESS_STATUSES
        is_sized = b'content-length' in dict(headers)
        lines = [STATUS_LINES.get(status) or b'HTTP/1.1 %d \r\n' % status]
        lines += map(HEADER_LINE_FORMAT.__mod__, headers)
        self.is_chunked_answer = not is_sized and not is_bodyless
        if self.is_chunked_answer:
            lines.append(HEADER_LINE_FORMAT % CHUNKED_HEADER)
        if not self.connection.may_stay_open(self):
            self.is_kept_alive = False
            lines.append(CONNECTION_CLOSE_LINE)
        lines.append(b'\r\n')
        self.unsent_head = b''.join(lines)

    def send_body(self, chunk: bytes, *, is_last: bool) -> None:
        """Write a chunk of the body; `drain` must be awaited after it."""
        if self.method == b'HEAD':
            chunk = b''
        elif self.is_chunked_answer:
            chunk = encode_chunk(chunk, is_last=is_last)
        head = self.unsent_head
        if head:
            self.unsent_head = b''
            chunk = head + chunk
        if chunk:
            self.write(chunk)
        self.is_answered = is_last

    def flush_head(self) -> None:
        """Write the head without waiting for the first chunk of the body."""
        if self.unsent_head:
            self.write(self.unsent_head)
            self.unsent_head = b''

    def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete answer."""
        self.start_answer(status, headers)
        self.send_body(body, is_last=True)


def encode_chunk(chunk: bytes, *, is_last: bool) -> bytes:
    r"""Return a chunk of a body in chunked transfer encoding.

    >>> encode_chunk(b'abc', is_last=True)
    b'3\r\nabc\r\n0\r\n\r\n'
    """
    encoded = b'%x\r\n%b\r\n' % (len(chunk), chunk) if chunk else b''
    return b'%b0\r\n\r\n' % encoded if is_last else encoded
