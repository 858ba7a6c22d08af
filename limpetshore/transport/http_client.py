"""Send HTTP/1.1 requests over pooled connections, one at a time on each."""

import asyncio
import socket
from collections.abc import Callable
from typing import NamedTuple

import anyio
import httptools

from limpetshore import clock
from limpetshore.errors import (
    ConnectError,
    ConnectionLostError,
    OverdueError,
    PortClosedError,
    TooLongError,
    TruncatedError,
)
from limpetshore.transport.responses import (
    Headers,
    Response,
    ResponseHead,
    ResponseReader,
)

HEADER_LINE_FORMAT = b'%b: %b\r\n'
MAX_BUFFERED_BYTES = 262144
# Of an answer to an earlier request, which is discarded.
MAX_SKIPPED_BYTES = 65536
MAX_BODY_BYTES = 16777216  # of a body that is read as a whole
CONNECT_TIMEOUT_S = 1.0
TCP_USER_TIMEOUT_MS = 5000
# An event loop takes some rounds from an open socket to its protocol.
CONNECT_POLLS = 3


class Address(NamedTuple):
    """Identify a TCP endpoint by IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `host:port`, as in settings and messages."""
        return f'{self.host}:{self.port}'


class HttpConnection(asyncio.Protocol):
    """Send requests over one TCP connection, one after the other.

    It implements asyncio.Protocol, since a call between nodes takes twice the
    processor time with anyio streams; see the design note on the data path.
    """

    def __init__(self, address: Address) -> None:
        """Create the protocol; the event loop connects it."""
        self.address = address
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.reader = ResponseReader()
        self.is_reusable = True
        self.is_disconnected = False
        self.is_given_up = False
        self.has_unsolicited_bytes = False
        self.is_request_sent = True
        self.is_paused = False
        self.idle_since = clock.now()
        self.read_waiter: asyncio.Future[None] | None = None
        self.write_waiter: asyncio.Future[None] | None = None
        self.parse_error: Exception | None = None
        self.must_close = False
        self.request_count = 0
        self.deadline = clock.NO_DEADLINE
        self.refused_ids: set[str] = set()
        self.on_received: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit how long sent bytes may stay unacknowledged."""
        self.transport = transport
        transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            TCP_USER_TIMEOUT_MS,
        )

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; pause reading while too many are buffered.

        A server that sends bytes without a request is cut off.
        """
        if self.is_reusable:
            self.has_unsolicited_bytes = True  # no request is open
            self.transport.abort()
            return
        if self.on_received is not None:
            self.on_received()
        reader = self.reader
        try:
            reader.feed(received)
        except (httptools.HttpParserError, TooLongError) as error:
            self.parse_error = error
            self.transport.pause_reading()
        wake_waiter(self.read_waiter)
        if reader.buffered_bytes > MAX_BUFFERED_BYTES and not self.is_paused:
            self.is_paused = True
            self.transport.pause_reading()

    def connection_lost(self, error: Exception | None) -> None:
        """Wake all waiters; a clean close may complete an answer."""
        self.is_disconnected = True
        if error is None and not self.is_given_up:
            self.reader.finish()
        wake_waiter(self.read_waiter)
        wake_waiter(self.write_waiter)

    def pause_writing(self) -> None:
        """Block senders while the send buffer is full."""
        self.write_waiter = self.loop.create_future()

    def resume_writing(self) -> None:
        """Unblock senders."""
        wake_waiter(self.write_waiter)
        self.write_waiter = None

    async def send_head(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes = b'',
    ) -> None:
        """Send the request line, the headers and the body, if one is given."""
        is_bodyless = method == b'HEAD'
        if is_bodyless or self.reader.is_bodyless:
            self.reader = ResponseReader(is_bodyless=is_bodyless)
        else:
            self.reader.reset()
        self.is_reusable = False
        self.request_count += 1
        lines = b''.join(map(HEADER_LINE_FORMAT.__mod__, headers))
        await self.send(
            b'%b %b HTTP/1.1\r\n%b\r\n%b' % (method, target, lines, body),
        )

    async def send(self, chunk: bytes) -> None:
        """Send bytes of the request; wait while the send buffer is full."""
        if self.is_disconnected or self.transport.is_closing():
            raise ConnectionLostError(f'{self.address} hung up')
        self.transport.write(chunk)
        if self.write_waiter is not None:
            await self.wait_writable(self.write_waiter)

    async def wait_writable(self, waiter: asyncio.Future[None]) -> None:
        """Wait until the send buffer has room; raise OverdueError if late."""
        timer = self.start_timer(waiter, self.deadline)
        try:
            await waiter
        except TimeoutError as error:
            raise OverdueError(
                f'{self.address} does not read its request'
            ) from error
        finally:
            if timer is not None:
                timer.cancel()

    def end_by(self, deadline: float) -> None:
        """Set when the exchange must have ended, on the local clock.

        All waits end then, and an answer that goes on is given up, however
        its body is framed.
        """
        self.deadline = deadline

    @property
    def is_overdue(self) -> bool:
        """Tell whether the deadline of the exchange has passed."""
        return clock.now() >= self.deadline

    async def read_head(self, timeout_s: float | None = None) -> ResponseHead:
        """Wait for the head of the answer, or raise TimeoutError."""
        response = self.reader.current
        deadline = self.find_deadline(timeout_s)
        while response.head is None:
            await self.wait_received(ConnectionLostError, deadline)
        return response.head

    @property
    def is_answer_complete(self) -> bool:
        """Tell whether all of the answer was received."""
        return self.reader.current.is_complete

    @property
    def has_chunk(self) -> bool:
        """Tell whether `read_chunk` returns without waiting."""
        response = self.reader.current
        return bool(response.body) or response.is_complete

    async def read_chunk(self, timeout_s: float | None = None) -> bytes:
        """Return the next chunk of the body, empty at its end.

        Raise OverdueError at the deadline unless all of the body is here.
        """
        response = self.reader.current
        if not response.is_complete and self.is_overdue:
            raise OverdueError(f'{self.address} does not end its answer')
        deadline = self.find_deadline(timeout_s)
        while not response.body and not response.is_complete:
            await self.wait_received(TruncatedError, deadline)
        if response.body:
            chunk = response.body.popleft()
            self.resume_reading(len(chunk))
            return chunk
        self.finish_answer(response)
        return b''

    def take_buffered_body(self) -> bytes | None:
        """Return the body if all of it was received, else None."""
        response = self.reader.current
        if not response.is_complete:
            return None
        body = b''.join(response.body)
        response.body.clear()
        self.resume_reading(len(body))
        self.finish_answer(response)
        return body

    def finish_answer(self, response: Response) -> None:
        """Set whether the connection can be reused after a complete answer."""
        is_faulty = self.parse_error or self.reader.has_queued_responses
        is_closing = self.must_close or self.is_disconnected
        self.is_reusable = (
            response.is_kept_alive
            and self.is_request_sent
            and not is_faulty
            and not is_closing
        )

    async def skip_answer(self, timeout_s: float) -> None:
        """Discard an answer to an earlier request and prepare for the next.

        The connection is not reused after that. Raise TimeoutError if the
        answer does not end in time, TooLongError if it is too long.
        """
        self.must_close = True
        with anyio.fail_after(timeout_s):
            await self.read_all(MAX_SKIPPED_BYTES)
        self.is_reusable = False
        self.reader.advance()

    def resume_reading(self, taken_bytes: int) -> None:
        """Resume reading once less than half of the buffer limit is in use."""
        reader = self.reader
        reader.buffered_bytes -= taken_bytes
        if self.is_paused and reader.buffered_bytes < MAX_BUFFERED_BYTES // 2:
            self.is_paused = False
            self.transport.resume_reading()

    async def read_all(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the rest of the body; raise TooLongError if it has more."""
        chunks = []
        body_bytes = 0
        while chunk := await self.read_chunk():
            chunks.append(chunk)
            body_bytes += len(chunk)
            if body_bytes > max_bytes:
                raise TooLongError(f'{self.address} sent a body too long')
        return b''.join(chunks)

    def find_deadline(self, timeout_s: float | None) -> float:
        """Return when a wait of `timeout_s` ends, on the local clock."""
        if timeout_s is None:
            return self.deadline
        return min(self.deadline, clock.now() + timeout_s)

    def start_timer(
        self, waiter: asyncio.Future[None], deadline: float
    ) -> asyncio.TimerHandle | None:
        """Fail a waiter at a deadline on the local clock, never earlier.

        What has arrived by then is read first: a process that had no processor
        time for a while runs its timers before it reads.
        """
        if deadline == clock.NO_DEADLINE:
            return None
        wait_s = clock.seconds_until(deadline)
        return self.loop.call_later(
            wait_s, call_after_poll, self.loop, fail_waiter, waiter
        )

    async def wait_received(
        self,
        error_class: type[ConnectionLostError | TruncatedError],
        deadline: float,
    ) -> None:
        """Wait for more bytes.

        Raise TimeoutError at the deadline, on the local clock, and
        `error_class` if the connection is closed or the server sent bytes that
        are not HTTP.
        """
        if self.parse_error:
            raise error_class(f'{self.address} is not HTTP: {self.parse_error}')
        if self.is_disconnected:
            raise error_class(f'{self.address} ended early')
        waiter = self.loop.create_future()
        self.read_waiter = waiter
        timer = self.start_timer(waiter, deadline)
        try:
            await waiter
        finally:
            self.read_waiter = None
            if timer is not None:
                timer.cancel()

    def is_usable(self) -> bool:
        """Tell whether the peer neither closed nor sent unsolicited bytes."""
        return not (
            self.is_disconnected
            or self.has_unsolicited_bytes
            or self.transport.is_closing()
        )

    def close(self) -> None:
        """Close at once; discard unsent bytes and the rest of an answer."""
        self.is_reusable = False
        self.is_given_up = True
        self.transport.abort()


def call_after_poll(
    loop: asyncio.AbstractEventLoop,
    callback: Callable[..., None],
    *arguments: object,
) -> None:
    """Call back after the event loop has looked at its sockets once more.

    It looks at them between two rounds of the calls that are due soon.
    """
    loop.call_soon(loop.call_soon, callback, *arguments)


def call_after_polls(
    loop: asyncio.AbstractEventLoop,
    polls: int,
    callback: Callable[[], None],
) -> None:
    """Call back after the event loop has looked at its sockets some times."""
    if polls:
        call_after_poll(loop, call_after_polls, loop, polls - 1, callback)
    else:
        callback()


def wake_waiter(waiter: asyncio.Future[None] | None) -> None:
    """Complete a future that some task may await."""
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


def fail_waiter(waiter: asyncio.Future[None]) -> None:
    """Raise TimeoutError in the task that awaits a future."""
    if not waiter.done():
        waiter.set_exception(TimeoutError())


async def connect(
    address: Address,
    timeout_s: float = CONNECT_TIMEOUT_S,
) -> HttpConnection:
    """Open a connection; raise ConnectError on failure or after the timeout."""
    try:
        connection = await open_within(address, timeout_s)
    except ConnectionRefusedError as error:
        raise PortClosedError(f'{address} is closed') from error
    except (OSError, OverflowError) as error:
        raise ConnectError(f'cannot connect to {address}: {error}') from error
    if connection is None:
        raise ConnectError(f'cannot connect to {address} in {timeout_s} s')
    return connection


async def open_within(
    address: Address, timeout_s: float
) -> HttpConnection | None:
    """Open a connection; return None if it is not open in time.

    A connection that has opened by then is taken, as in `start_timer`.
    """
    loop = asyncio.get_running_loop()
    with anyio.CancelScope() as scope:
        timer = loop.call_later(
            timeout_s, call_after_polls, loop, CONNECT_POLLS, scope.cancel
        )
        try:
            _, connection = await loop.create_connection(
                lambda: HttpConnection(address),
                address.host,
                address.port,
            )
        finally:
            timer.cancel()
        return connection
    return None
