"""Speak HTTP/1.1 as a client, one request at a time on a kept connection."""

import contextlib
import select
import socket
from collections import deque
from collections.abc import AsyncIterator
from typing import NamedTuple

import anyio
import httptools
from anyio.abc import SocketStream

from limpetshore import clock
from limpetshore.errors import BrokenError, ConnectError, TruncatedError

Headers = list[tuple[bytes, bytes]]

READ_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0
UNACKED_TIMEOUT_MS = 5000
LAST_INFORMATIONAL_STATUS = 199
CHUNKED = (b'transfer-encoding', b'chunked')


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


class ResponseReader:
    """Collect what the HTTP parser reports of one answer."""

    def __init__(self, *, is_bodyless: bool = False) -> None:
        """Start before the first byte; HEAD has answers without body."""
        self.is_bodyless = is_bodyless
        self.parser = httptools.HttpResponseParser(self)
        self.headers: Headers = []
        self.head: ResponseHead | None = None
        self.body: deque[bytes] = deque()
        self.is_complete = False
        self.is_kept_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep one header, its name in lower case."""
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Publish the head, unless the status is only informational."""
        status = self.parser.get_status_code()
        if status > LAST_INFORMATIONAL_STATUS:
            self.head = ResponseHead(status, self.headers)
            self.is_complete = self.is_bodyless
        self.headers = []

    def on_body(self, body: bytes) -> None:
        """Keep one piece of the body."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Mark the answer whole."""
        self.is_complete = self.head is not None
        self.is_kept_alive = self.parser.should_keep_alive()


class HttpConnection:
    """Carry one request after the other over one TCP connection."""

    def __init__(self, stream: SocketStream, address: Address) -> None:
        """Wrap a connected stream."""
        self.stream = stream
        self.address = address
        self.reader = ResponseReader()
        self.is_reusable = True
        self.idle_since = clock.now()
        self.file_number = stream.extra(
            anyio.abc.SocketAttribute.raw_socket,
        ).fileno()

    async def send_head(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes = b'',
    ) -> None:
        """Send the request line, the headers and a short body."""
        self.reader = ResponseReader(is_bodyless=method == b'HEAD')
        self.is_reusable = False
        lines = [b'%b: %b\r\n' % header for header in headers]
        await self.send(
            b'%b %b HTTP/1.1\r\n%b\r\n%b'
            % (method, target, b''.join(lines), body),
        )

    async def send(self, chunk: bytes) -> None:
        """Send raw bytes of the request."""
        try:
            await self.stream.send(chunk)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise BrokenError(f'{self.address} hung up') from error

    async def read_head(self) -> ResponseHead:
        """Wait for the status and headers of the answer."""
        reader = self.reader
        while reader.head is None:
            await self.feed(BrokenError)
        if not is_self_delimited(reader.head):
            raise TruncatedError(f'{self.address} sent no length of its answer')
        return reader.head

    async def read_chunk(self) -> bytes:
        """Return the next piece of the body, empty at its end."""
        reader = self.reader
        while not reader.body and not reader.is_complete:
            await self.feed(TruncatedError)
        if reader.body:
            return reader.body.popleft()
        self.is_reusable = reader.is_kept_alive
        return b''

    async def read_all(self) -> bytes:
        """Return the body to its end."""
        chunks = []
        while chunk := await self.read_chunk():
            chunks.append(chunk)
        return b''.join(chunks)

    async def feed(
        self,
        error_class: type[BrokenError | TruncatedError],
    ) -> None:
        """Read once from the network into the parser."""
        try:
            received = await self.stream.receive(READ_BYTES)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            raise error_class(f'{self.address} ended early') from error
        try:
            self.reader.parser.feed_data(received)
        except httptools.HttpParserError as error:
            raise error_class(f'{self.address} is not HTTP: {error}') from error

    def is_quiet(self) -> bool:
        """Tell that the peer neither closed nor sent anything unasked."""
        poll = select.poll()
        poll.register(self.file_number, select.POLLIN | select.POLLRDHUP)
        return not poll.poll(0)

    async def close(self) -> None:
        """Close at once, without waiting for the peer."""
        self.is_reusable = False
        await anyio.aclose_forcefully(self.stream)


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


async def connect(address: Address) -> HttpConnection:
    """Open a new connection within the connect timeout."""
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(address.host, address.port)
    except (OSError, TimeoutError) as error:
        raise ConnectError(f'cannot connect to {address}: {error}') from error
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw_socket.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        UNACKED_TIMEOUT_MS,
    )
    return HttpConnection(stream, address)


class HttpPool:
    """Keep idle connections to one address, the freshest first."""

    def __init__(self, address: Address, max_idle_s: float) -> None:
        """Set the address and how long a connection may idle."""
        self.address = address
        self.max_idle_s = max_idle_s
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
            await connection.close()
        return await connect(self.address)

    async def release(self, connection: HttpConnection) -> None:
        """Keep the connection if its answer was read to the end."""
        if not connection.is_reusable:
            await connection.close()
            return
        connection.idle_since = clock.now()
        self.idle.append(connection)

    @contextlib.asynccontextmanager
    async def lend(self) -> AsyncIterator[HttpConnection]:
        """Acquire a connection and release it at the end of the block."""
        connection = await self.acquire()
        try:  # noqa: WPS501
            yield connection
        finally:
            with anyio.CancelScope(shield=True):
                await self.release(connection)

    async def retire(self) -> None:
        """Close all idle connections, since one of them went silent."""
        while self.idle:
            await self.idle.pop().close()
