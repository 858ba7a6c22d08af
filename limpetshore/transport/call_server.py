"""Serve HTTP/1.1 calls, one task for each open request.

Answers of calls between nodes are written here without ASGI, which costs more
than the rest of a call; the parser is the one that uvicorn uses.
"""

import asyncio
import http
import socket
from abc import ABC, abstractmethod
from collections import deque

import httptools
from logbook import Logger

from limpetshore import clock
from limpetshore.transport.http_client import (
    HEADER_LINE,
    UNACKED_TIMEOUT_MS,
    Address,
    Headers,
    wake,
)

logger = Logger(__name__)

MAX_HEADER_BYTES = 32768
HEADER_TIMEOUT_S = 10.0
KEEP_ALIVE_S = 75.0
SWEEP_S = 5.0
STOP_POLL_S = 0.05
BACKLOG = 2048
MAX_BUFFERED_BYTES = 65536
MAX_PIPELINED = 8
BODYLESS_STATUSES = frozenset((204, 304))
CHUNKED = (b'transfer-encoding', b'chunked')
EXPECT_CONTINUE = (b'expect', b'100-continue')
CLOSE_LINE = b'connection: close\r\n'
REFUSE_SYNTAX = (
    b'HTTP/1.1 %d %b\r\n'
    b'connection: close\r\ncontent-length: 0\r\n'
    b'x-limpetshore-verdict: not-run\r\n'
    b'x-limpetshore-reason: bad_request\r\n\r\n'
)
STATUS_LINES = {
    status.value: b'HTTP/1.1 %d %b\r\n' % (status, status.phrase.encode())
    for status in http.HTTPStatus
}


class ServerRequest:
    """Hold one request, the part of its body that has come, and its answer."""

    # Most requests never change these, so that they live on the class.
    method = b''
    target = b''
    path = ''
    buffered = 0
    is_body_complete = False
    is_body_unwanted = False
    is_kept_alive = True
    expects_continue = False
    survives_disconnect = False
    has_started = False
    is_answered = False
    is_chunked_answer = False
    unsent_head = b''
    is_first = False
    is_done = False
    task: asyncio.Task[None] | None = None
    turn: asyncio.Future[None] | None = None
    waiter: asyncio.Future[None] | None = None

    def __init__(self, connection: 'ServerConnection') -> None:
        """Start before the first byte."""
        self.connection = connection
        self.headers: Headers = []
        self.body: deque[bytes] = deque()
        self.held_back: list[bytes] = []

    @property
    def is_gone(self) -> bool:
        """Tell whether the caller has hung up."""
        return self.connection.is_gone

    @property
    def peer_host(self) -> str:
        """Return the IP number the request came from."""
        return self.connection.peer_host

    def add_body(self, piece: bytes) -> None:
        """Take in a piece of the body."""
        if self.is_body_unwanted:
            return
        self.body.append(piece)
        self.buffered += len(piece)
        if self.buffered > MAX_BUFFERED_BYTES:
            self.connection.pause_reading()
        wake(self.waiter)

    async def read_body(self) -> bytes:
        """Return what has come of the body, empty at its end or if gone."""
        if self.expects_continue:
            self.expects_continue = False
            self.connection.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        while not self.body and not self.is_body_complete and not self.is_gone:
            self.waiter = self.connection.loop.create_future()
            await self.waiter
        taken = b''.join(self.body)
        self.body.clear()
        self.buffered = 0
        self.connection.resume_reading()
        return taken

    async def wait_turn(self) -> None:
        """Wait until every request before this one is answered."""
        while not self.is_first and not self.is_gone:
            self.turn = self.connection.loop.create_future()
            await self.turn

    def become_first(self) -> None:
        """Write what was answered before it was this request's turn."""
        self.is_first = True
        for chunk in self.held_back:
            self.connection.write(chunk)
        self.held_back.clear()
        wake(self.turn)

    def write(self, chunk: bytes) -> None:
        """Write a part of the answer, or hold it back until its turn."""
        if self.is_first:
            self.connection.write(chunk)
        else:
            self.held_back.append(chunk)

    async def drain(self) -> None:
        """Wait while the caller takes no more of the answer."""
        if not self.is_first:
            await self.wait_turn()
        await self.connection.drain()

    def start_answer(self, status: int, headers: Headers) -> None:
        """Prepare the head, which goes out with the first piece of body."""
        self.has_started = True
        is_bodyless = status in BODYLESS_STATUSES
        is_sized = b'content-length' in dict(headers)
        lines = [STATUS_LINES.get(status) or b'HTTP/1.1 %d \r\n' % status]
        lines += map(HEADER_LINE.__mod__, headers)
        self.is_chunked_answer = not is_sized and not is_bodyless
        if self.is_chunked_answer:
            lines.append(HEADER_LINE % CHUNKED)
        if not self.connection.may_stay_open(self):
            self.is_kept_alive = False
            lines.append(CLOSE_LINE)
        lines.append(b'\r\n')
        self.unsent_head = b''.join(lines)

    def send_body(self, piece: bytes, *, is_last: bool) -> None:
        """Write a piece of the answer; the caller awaits `drain` after it."""
        if self.method == b'HEAD':
            piece = b''
        elif self.is_chunked_answer:
            piece = frame_chunk(piece, is_last=is_last)
        head = self.unsent_head
        if head:
            self.unsent_head = b''
            piece = head + piece
        if piece:
            self.write(piece)
        self.is_answered = is_last

    def flush_head(self) -> None:
        """Write the head at once, since the body is not there yet."""
        if self.unsent_head:
            self.write(self.unsent_head)
            self.unsent_head = b''

    def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole answer at once."""
        self.start_answer(status, headers)
        self.send_body(body, is_last=True)


class CallApp(ABC):
    """Answer requests."""

    @abstractmethod
    async def serve(self, request: ServerRequest) -> None:
        """Answer one request; one left without an end is cut."""


class ServerConnection(asyncio.Protocol):
    """Carry the requests of one caller, one after the other."""

    def __init__(self, server: 'CallServer') -> None:
        """Start unconnected."""
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.peer_host = ''
        self.open: deque[ServerRequest] = deque()
        self.receiving = ServerRequest(self)
        self.writable: asyncio.Future[None] | None = None
        self.idle_since = clock.now()
        self.header_bytes = 0
        self.is_in_headers = True
        self.is_paused = False
        self.is_gone = False
        self.is_damaged = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Detect callers that acknowledge nothing."""
        self.transport = transport
        self.peer_host = transport.get_extra_info('peername')[0]
        transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKED_TIMEOUT_MS,
        )
        self.server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Stop the work for the caller, unless it must come to its end."""
        self.is_gone = True
        self.server.connections.discard(self)
        wake(self.writable)
        for request in self.open:
            wake(request.waiter)
            wake(request.turn)
            if not request.survives_disconnect:
                request.task.cancel()

    def data_received(self, received: bytes) -> None:
        """Parse requests; answer what is no HTTP and close."""
        if self.is_damaged:
            return
        if self.is_in_headers:
            self.header_bytes += len(received)
        try:
            self.parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self.receiving.is_kept_alive = False
        except httptools.HttpParserError as error:
            logger.info('request is not HTTP: {0}', error)
            self.refuse_syntax(http.HTTPStatus.BAD_REQUEST)
            return
        if self.is_in_headers and self.header_bytes > MAX_HEADER_BYTES:
            self.refuse_syntax(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def refuse_syntax(self, status: http.HTTPStatus) -> None:
        """Refuse bytes that are no request, after what was asked before."""
        self.is_damaged = True
        if not self.open:
            line = REFUSE_SYNTAX % (status, status.phrase.encode())
            self.write(line)
            self.close()

    def on_message_begin(self) -> None:
        """Start a request."""
        self.receiving = ServerRequest(self)

    def on_url(self, url: bytes) -> None:
        """Keep the request target, or a part of it."""
        self.receiving.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep one header, its name in lower case."""
        self.receiving.headers.append((name.lower(), value.rstrip(b' \t')))

    def on_headers_complete(self) -> None:
        """Start a task for the request."""
        self.is_in_headers = False
        self.header_bytes = 0
        request = self.receiving
        request.method = self.parser.get_method()
        request.is_kept_alive = self.parser.should_keep_alive()
        request.path = request.target.partition(b'?')[0].decode('latin-1')
        if EXPECT_CONTINUE in request.headers:
            request.expects_continue = True
        request.is_first = not self.open
        self.open.append(request)
        if len(self.open) >= MAX_PIPELINED:
            self.pause_reading()
        request.task = self.loop.create_task(self.run(request))

    def on_body(self, body: bytes) -> None:
        """Pass a piece of the body on."""
        self.receiving.add_body(body)

    def on_message_complete(self) -> None:
        """Mark the request whole."""
        self.receiving.is_body_complete = True
        self.is_in_headers = True
        wake(self.receiving.waiter)

    async def run(self, request: ServerRequest) -> None:
        """Answer one request; requests of one caller may run side by side."""
        try:
            await self.server.app.serve(request)
        except asyncio.CancelledError:
            if not self.is_gone:
                raise
        except Exception:
            logger.exception('a request ended by a defect')
        finally:
            request.is_done = True
            request.is_body_unwanted = True
            self.finish_done()

    def finish_done(self) -> None:
        """Send answers in the order of their requests, or close."""
        while self.open and self.open[0].is_done:
            request = self.open.popleft()
            if not request.is_answered:
                self.abort()
                return
            if not request.is_kept_alive:
                self.close()
                return
            if self.open:
                self.open[0].become_first()
        self.resume_reading()
        if not self.open:
            self.idle_since = clock.now()
            if self.is_damaged:
                self.close()

    def may_stay_open(self, request: ServerRequest) -> bool:
        """Tell whether the connection serves more requests after this one."""
        return request.is_kept_alive and not self.server.is_stopping

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is open."""
        return not self.open

    def pause_reading(self) -> None:
        """Take no more bytes for now."""
        if not self.is_paused and not self.is_gone:
            self.is_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Take bytes again."""
        if self.is_paused and not self.is_gone:
            self.is_paused = False
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        """Let senders wait while the send buffer is full."""
        self.writable = self.loop.create_future()

    def resume_writing(self) -> None:
        """Let senders go on."""
        wake(self.writable)
        self.writable = None

    def write(self, chunk: bytes) -> None:
        """Write bytes, unless the caller is gone."""
        if not self.is_gone and not self.transport.is_closing():
            self.transport.write(chunk)

    async def drain(self) -> None:
        """Wait while the send buffer is full."""
        if self.writable is not None:
            await self.writable

    def close(self) -> None:
        """Close once what was written is sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once, so that an unfinished answer looks unfinished."""
        if self.transport is not None:
            self.transport.abort()


class CallServer:
    """Serve one application on one address until told to stop."""

    def __init__(
        self,
        app: CallApp,
        address: Address,
        *,
        graceful_s: float,
    ) -> None:
        """Set the address; `graceful_s` bounds the wait for open requests."""
        self.app = app
        self.address = address
        self.graceful_s = graceful_s
        self.connections: set[ServerConnection] = set()
        self.is_stopping = False
        self.started = asyncio.Event()
        self.stop_wanted = asyncio.Event()
        self.stopped = asyncio.Event()

    async def run_until_stopped(self) -> None:
        """Serve until `stop`, then finish the open requests."""
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            lambda: ServerConnection(self),
            self.address.host,
            self.address.port,
            backlog=BACKLOG,
        )
        sweeper = loop.create_task(self.sweep())
        self.started.set()
        await self.stop_wanted.wait()
        listener.close()
        sweeper.cancel()
        await self.finish_open()
        self.stopped.set()

    async def finish_open(self) -> None:
        """Close idle connections and wait for the others."""
        deadline = clock.now() + self.graceful_s
        while self.connections and clock.now() < deadline:
            for connection in list(self.connections):
                if connection.is_idle:
                    connection.close()
            await asyncio.sleep(STOP_POLL_S)

    async def sweep(self) -> None:
        """Close connections that idle or hold back a head, for ever."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now = clock.now()
            for connection in list(self.connections):
                is_begun = connection.is_in_headers and connection.header_bytes
                limit_s = HEADER_TIMEOUT_S if is_begun else KEEP_ALIVE_S
                if connection.is_idle and now > connection.idle_since + limit_s:
                    connection.close()

    async def wait_started(self) -> None:
        """Return once the port is open."""
        await self.started.wait()

    async def wait_stopped(self) -> None:
        """Return once the last open request has ended."""
        await self.stopped.wait()

    def disable_keep_alive(self) -> None:
        """Let callers take new connections from now on."""
        self.is_stopping = True

    def stop(self) -> None:
        """Close the listener, let open requests finish, then return."""
        self.is_stopping = True
        self.stop_wanted.set()


def frame_chunk(piece: bytes, *, is_last: bool) -> bytes:
    r"""Return a piece of a body in chunked encoding.

    >>> frame_chunk(b'abc', is_last=True)
    b'3\r\nabc\r\n0\r\n\r\n'
    """
    framed = b'%x\r\n%b\r\n' % (len(piece), piece) if piece else b''
    return b'%b0\r\n\r\n' % framed if is_last else framed
