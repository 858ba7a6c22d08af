"""Speak HTTP/1.1 as a client, one request at a time on a kept connection."""

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import AsyncIterator
from typing import NamedTuple

import anyio
import httptools

from limpetshore import clock
from limpetshore.errors import ConnectError, ConnectionLostError, TruncatedError

Headers = list[tuple[bytes, bytes]]

HEADER_LINE = b'%b: %b\r\n'
MAX_BUFFERED_BYTES = 262144
CONNECT_TIMEOUT_S = 1.0
UNACKED_TIMEOUT_MS = 5000
LAST_INFORMATIONAL_STATUS = 199


class Address(NamedTuple):
    """Name a TCP endpoint by IP number and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `host:port`."""
        return f'{self.host}:{self.port}'


class ResponseHead(NamedTuple):
    """Hold the status and headers of an answer."""

    status: int
    headers: Headers


class Response:
    """Collect what the HTTP parser reports of one answer."""

    head: ResponseHead | None = None
    is_complete = False
    is_kept_alive = False

    def __init__(self) -> None:
        """Start before the first byte."""
        self.headers: Headers = []
        self.body: deque[bytes] = deque()


class ResponseReader:
    """Split what a server sends into answers.

    A server may send more answers than it was asked for; each is kept apart.
    """

    def __init__(self, *, is_bodyless: bool = False) -> None:
        """Start before the first byte; HEAD has answers without body."""
        self.is_bodyless = is_bodyless
        self.parser = httptools.HttpResponseParser(self)
        self.later: deque[Response] = deque()
        self.restart()

    def restart(self) -> None:
        """Expect the answer to another request, the last one being whole."""
        self.first = Response()
        self.last = self.first
        self.buffered = 0

    @property
    def has_extra(self) -> bool:
        """Tell whether more came than the answer that is read now."""
        return bool(self.later)

    def skip(self) -> None:
        """Drop the first answer, which is complete."""
        if not self.later:
            self.start_another()
        self.first = self.later.popleft()

    def start_another(self) -> None:
        """Receive a further answer from now on."""
        self.last = Response()
        self.later.append(self.last)

    def on_message_begin(self) -> None:
        """Start another answer once the one before is complete."""
        if self.last.is_complete:
            self.start_another()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep one header, its name in lower case."""
        self.last.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Publish the head, unless the status is only informational."""
        status = self.parser.get_status_code()
        response = self.last
        if status > LAST_INFORMATIONAL_STATUS:
            response.head = ResponseHead(status, response.headers)
            response.is_complete = self.is_bodyless
        response.headers = []

    def on_body(self, body: bytes) -> None:
        """Keep one piece of the body."""
        self.last.body.append(body)

    def on_message_complete(self) -> None:
        """Mark the answer whole."""
        response = self.last
        response.is_complete = response.head is not None
        response.is_kept_alive = self.parser.should_keep_alive()

    def finish(self) -> None:
        """Mark an answer whole that ends with its connection."""
        response = self.last
        if response.head and not is_self_delimited(response.head):
            response.is_complete = True


class HttpConnection(asyncio.Protocol):
    """Carry one request after the other over one TCP connection.

    A protocol of the event loop, since streams of anyio cost a call between
    nodes twice the processor time; see the design note on the data path.
    """

    def __init__(self, address: Address) -> None:
        """Start unconnected."""
        self.address = address
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.reader = ResponseReader()
        self.is_reusable = True
        self.is_lost = False
        self.is_dirty = False
        self.is_request_sent = True
        self.is_paused = False
        self.idle_since = clock.now()
        self.read_waiter: asyncio.Future[None] | None = None
        self.write_waiter: asyncio.Future[None] | None = None
        self.damage: httptools.HttpParserError | None = None
        self.pool: HttpPool | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Detect a peer that acknowledges nothing."""
        self.transport = transport
        transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKED_TIMEOUT_MS,
        )

    def data_received(self, received: bytes) -> None:
        """Feed the parser, and stop reading while much waits to be taken."""
        if self.is_reusable:
            self.is_dirty = True  # nothing was asked
            return
        if self.pool is not None:
            self.pool.last_received_at = clock.now()
        reader = self.reader
        try:
            reader.parser.feed_data(received)
        except httptools.HttpParserError as error:
            self.damage = error
        wake(self.read_waiter)
        reader.buffered += len(received)
        if reader.buffered > MAX_BUFFERED_BYTES and not self.is_paused:
            self.is_paused = True
            self.transport.pause_reading()

    def connection_lost(self, error: Exception | None) -> None:
        """Wake whoever waits; a clean end may complete an answer."""
        self.is_lost = True
        if error is None:
            self.reader.finish()
        wake(self.read_waiter)
        wake(self.write_waiter)

    def pause_writing(self) -> None:
        """Let senders wait while the send buffer is full."""
        self.write_waiter = self.loop.create_future()

    def resume_writing(self) -> None:
        """Let senders go on."""
        wake(self.write_waiter)
        self.write_waiter = None

    async def send_head(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes = b'',
    ) -> None:
        """Send the request line, the headers and a short body."""
        is_bodyless = method == b'HEAD'
        if is_bodyless or self.reader.is_bodyless:
            self.reader = ResponseReader(is_bodyless=is_bodyless)
        else:
            self.reader.restart()
        self.is_reusable = False
        lines = b''.join(map(HEADER_LINE.__mod__, headers))
        await self.send(
            b'%b %b HTTP/1.1\r\n%b\r\n%b' % (method, target, lines, body),
        )

    async def send(self, chunk: bytes) -> None:
        """Send raw bytes of the request."""
        if self.is_lost or self.transport.is_closing():
            raise ConnectionLostError(f'{self.address} hung up')
        self.transport.write(chunk)
        if self.write_waiter is not None:
            await self.write_waiter

    async def read_head(self, timeout_s: float | None = None) -> ResponseHead:
        """Wait for the head of the answer; raise TimeoutError after a while."""
        response = self.reader.first
        while response.head is None:
            await self.wait(ConnectionLostError, timeout_s)
        return response.head

    @property
    def has_chunk(self) -> bool:
        """Tell whether `read_chunk` returns without waiting."""
        response = self.reader.first
        return bool(response.body) or response.is_complete

    async def read_chunk(self, timeout_s: float | None = None) -> bytes:
        """Return the next piece of the body, empty at its end."""
        response = self.reader.first
        while not response.body and not response.is_complete:
            await self.wait(TruncatedError, timeout_s)
        if response.body:
            chunk = response.body.popleft()
            self.resume_reading(len(chunk))
            return chunk
        self.finish_answer(response)
        return b''

    def take_buffered_body(self) -> bytes | None:
        """Return the whole body if all of it is there, else None."""
        response = self.reader.first
        if not response.is_complete:
            return None
        body = b''.join(response.body)
        response.body.clear()
        self.resume_reading(len(body))
        self.finish_answer(response)
        return body

    def finish_answer(self, response: Response) -> None:
        """Tell whether the connection is fit for another request."""
        self.is_reusable = (
            response.is_kept_alive
            and self.is_request_sent
            and not self.reader.has_extra
            and not self.is_lost
        )

    async def skip_answer(self) -> None:
        """Read an answer to its end and go on to the next one."""
        await self.read_all()
        self.is_reusable = False
        self.reader.skip()

    def resume_reading(self, taken: int) -> None:
        """Read on once little waits to be taken."""
        reader = self.reader
        reader.buffered -= taken
        if self.is_paused and reader.buffered < MAX_BUFFERED_BYTES // 2:
            self.is_paused = False
            self.transport.resume_reading()

    async def read_all(self) -> bytes:
        """Return the body to its end."""
        chunks = []
        while chunk := await self.read_chunk():
            chunks.append(chunk)
        return b''.join(chunks)

    async def wait(
        self,
        error_class: type[ConnectionLostError | TruncatedError],
        timeout_s: float | None,
    ) -> None:
        """Wait until more was received; raise TimeoutError after a while."""
        if self.damage:
            raise error_class(f'{self.address} is not HTTP: {self.damage}')
        if self.is_lost:
            raise error_class(f'{self.address} ended early')
        waiter = self.loop.create_future()
        self.read_waiter = waiter
        timer = None
        if timeout_s is not None:
            timer = self.loop.call_later(timeout_s, time_out, waiter)
        try:
            await waiter
        finally:
            self.read_waiter = None
            if timer is not None:
                timer.cancel()

    def is_quiet(self) -> bool:
        """Tell that the peer neither closed nor sent anything unasked."""
        return not (
            self.is_lost or self.is_dirty or self.transport.is_closing()
        )

    def close(self) -> None:
        """Close at once, without waiting for the peer."""
        self.is_reusable = False
        self.transport.abort()


def wake(waiter: asyncio.Future[None] | None) -> None:
    """Wake whoever awaits a future."""
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


def time_out(waiter: asyncio.Future[None]) -> None:
    """Wake whoever awaits a future with a timeout."""
    if not waiter.done():
        waiter.set_exception(TimeoutError())


def is_self_delimited(head: ResponseHead) -> bool:
    """Tell whether the end of the body can be told from a lost connection.

    >>> is_self_delimited(ResponseHead(200, [(b'content-length', b'3')]))
    True
    >>> is_self_delimited(ResponseHead(200, []))
    False
    """
    if head.status in {204, 304}:
        return True
    return any(
        name in {b'content-length', b'transfer-encoding'}
        for name, _ in head.headers
    )


async def connect(
    address: Address,
    timeout_s: float = CONNECT_TIMEOUT_S,
) -> HttpConnection:
    """Open a new connection within the connect timeout."""
    loop = asyncio.get_running_loop()
    try:
        with anyio.fail_after(timeout_s):
            _, connection = await loop.create_connection(
                lambda: HttpConnection(address),
                address.host,
                address.port,
            )
    except (OSError, TimeoutError) as error:
        raise ConnectError(f'cannot connect to {address}: {error}') from error
    return connection


class HttpPool:
    """Keep idle connections to one address, the freshest first."""

    def __init__(
        self,
        address: Address,
        max_idle_s: float,
        connect_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        """Set how long a connection may idle and take to open."""
        self.address = address
        self.max_idle_s = max_idle_s
        self.connect_s = connect_s
        self.last_received_at = clock.now()
        self.idle: list[HttpConnection] = []

    async def acquire(self, max_idle_s: float | None = None) -> HttpConnection:
        """Return a kept connection that is still good, or a new one."""
        if max_idle_s is None:
            max_idle_s = self.max_idle_s
        oldest = clock.now() - max_idle_s
        while self.idle:
            connection = self.idle.pop()
            if connection.idle_since >= oldest and connection.is_quiet():
                return connection
            connection.close()
        connection = await connect(self.address, self.connect_s)
        connection.pool = self
        self.last_received_at = clock.now()
        return connection

    def release(self, connection: HttpConnection) -> None:
        """Keep the connection if its answer was read to the end."""
        if connection.is_reusable:
            connection.idle_since = clock.now()
            self.idle.append(connection)
        else:
            connection.close()

    @contextlib.asynccontextmanager
    async def connection(self) -> AsyncIterator[HttpConnection]:
        """Acquire a connection and release it at the end of the block."""
        connection = await self.acquire()
        try:  # noqa: WPS501
            yield connection
        finally:
            self.release(connection)

    def close_idle(self) -> None:
        """Close all idle connections, since one of them went silent."""
        while self.idle:
            self.idle.pop().close()
