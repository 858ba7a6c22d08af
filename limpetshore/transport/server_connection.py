"""Serve the requests of one connection, with one task for each open request.

The parser, httptools, is the one that uvicorn uses.
"""

import asyncio
import http
import socket
from abc import ABC, abstractmethod
from collections import deque
from typing import Protocol

import httptools
from logbook import Logger

from limpetshore import clock
from limpetshore.transport.connection_end import ConnectionEnd
from limpetshore.transport.http_client import TCP_USER_TIMEOUT_MS, wake_waiter
from limpetshore.transport.lost_answers import report_dropped, report_unsent
from limpetshore.transport.server_request import ServerRequest

logger = Logger(__name__)

MAX_HEADER_BYTES = 32768
LINGER_S = 0.2
MAX_PIPELINED_REQUESTS = 8
EXPECT_CONTINUE_HEADER = (b'expect', b'100-continue')
MALFORMED_REFUSAL_FORMAT = (
    b'HTTP/1.1 %d %b\r\n'
    b'connection: close\r\ncontent-length: 0\r\n'
    b'x-limpetshore-verdict: not-run\r\n'
    b'x-limpetshore-reason: bad_request\r\n\r\n'
)


class CallApp(ABC):
    """Define an application that answers requests."""

    @abstractmethod
    async def serve(self, request: ServerRequest) -> None:
        """Answer one request.

        If the answer is incomplete at the end, the connection is cut.
        """

    def count_lost_answer(self, ended_by: str) -> None:
        """Count an answer whose bytes were dropped; not counted by default.

        `ended_by` is `node` or `caller`.
        """


class ConnectionServer(Protocol):
    """Declare the part of a server that its connections use."""

    app: CallApp
    connections: set['ServerConnection']
    is_stopping: bool


class ServerConnection(asyncio.Protocol):
    """Serve the requests of one caller; pipelined ones run concurrently."""

    def __init__(self, server: ConnectionServer) -> None:
        """Create the protocol; the event loop connects it."""
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.end: ConnectionEnd | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.peer_host = ''
        self.open_requests: deque[ServerRequest] = deque()
        self.receiving = ServerRequest(self)
        self.write_waiter: asyncio.Future[None] | None = None
        self.idle_since = clock.now()
        self.discarded_at = clock.now()
        self.header_bytes = 0
        self.is_in_headers = True
        self.has_begun_head = False
        self.is_paused = False
        self.is_disconnected = False
        self.is_malformed = False
        self.is_discarding = False
        self.is_lingering = False
        self.is_ended_here = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit how long sent bytes may stay unacknowledged."""
        self.transport = transport
        self.end = ConnectionEnd(transport)
        # A caller that has already reset the connection has no name.
        peer_name = transport.get_extra_info('peername') or ('', 0)
        self.peer_host = peer_name[0]
        transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            TCP_USER_TIMEOUT_MS,
        )
        self.server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel open requests, except those that survive a disconnect."""
        self.is_disconnected = True
        self.server.connections.discard(self)
        wake_waiter(self.write_waiter)
        for request in self.open_requests:
            request.abandon()

    def data_received(self, received: bytes) -> None:
        """Parse requests; refuse bytes that are not HTTP, and close."""
        if self.is_malformed or self.is_discarding:
            self.discarded_at = clock.now()
            return
        self.header_bytes += len(received)
        try:
            self.parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self.receiving.is_kept_alive = False
        except httptools.HttpParserError as error:
            logger.info('received bytes are not HTTP, closing: {0}', error)
            self.refuse_malformed(http.HTTPStatus.BAD_REQUEST)
            return
        if self.header_bytes > MAX_HEADER_BYTES:
            self.refuse_malformed(
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            )

    def refuse_malformed(self, status: http.HTTPStatus) -> None:
        """Refuse malformed bytes and close the connection.

        While requests are open, it closes after their answers instead.
        """
        self.is_malformed = True
        if not self.open_requests:
            line = MALFORMED_REFUSAL_FORMAT % (status, status.phrase.encode())
            self.write(line)
            self.close()

    def on_message_begin(self) -> None:
        """Create the next request."""
        self.receiving = ServerRequest(self)
        self.has_begun_head = True
        self.idle_since = clock.now()

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which may arrive in parts."""
        self.receiving.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, its name in lower case; drop those after a body."""
        if not self.is_in_headers:
            return
        self.receiving.headers.append((name.lower(), value.rstrip(b' \t')))

    def on_headers_complete(self) -> None:
        """Start the task that answers the request, if it is taken."""
        self.has_begun_head = False
        if not self.may_take_request:
            self.is_discarding = True
        if self.is_discarding:
            self.receiving.is_body_discarded = True
            return
        self.is_in_headers = False
        self.header_bytes = 0
        request = self.receiving
        request.method = self.parser.get_method()
        request.is_kept_alive = self.parser.should_keep_alive()
        request.path = request.target.partition(b'?')[0].decode('latin-1')
        if EXPECT_CONTINUE_HEADER in request.headers:
            request.expects_continue = True
        request.is_oldest = not self.open_requests
        self.open_requests.append(request)
        if len(self.open_requests) >= MAX_PIPELINED_REQUESTS:
            self.pause_reading()
        request.task = self.loop.create_task(self.run(request))

    def on_body(self, body: bytes) -> None:
        """Add a chunk to the body of the request."""
        self.header_bytes = 0
        self.receiving.add_body(body)

    def on_message_complete(self) -> None:
        """Mark the body of the request complete."""
        self.header_bytes = 0
        self.receiving.is_body_complete = True
        self.is_in_headers = True
        wake_waiter(self.receiving.body_waiter)

    async def run(self, request: ServerRequest) -> None:
        """Answer one request, concurrently with others of the connection."""
        try:
            await self.server.app.serve(request)
        except asyncio.CancelledError:
            if not self.is_disconnected:
                raise
        except Exception:
            logger.exception('unhandled exception while serving a request')
        finally:
            request.is_handled = True
            request.is_body_discarded = True
            self.finish_handled()

    def finish_handled(self) -> None:
        """Remove handled requests in order, so that the next one can send.

        An incomplete answer cuts the connection, and an answer with
        `connection: close` closes it.
        """
        while self.open_requests and self.open_requests[0].is_handled:
            request = self.open_requests.popleft()
            report_unsent(self, (request,))
            if not request.is_answered:
                self.cut()
                return report_unsent(self, self.open_requests)
            self.end.mark_whole()
            if not request.is_kept_alive:
                self.close()
                return report_unsent(self, self.open_requests)
            if self.open_requests:
                self.open_requests[0].become_oldest()
        self.resume_reading()
        if not self.open_requests:
            self.idle_since = clock.now()
            if self.is_malformed or self.is_discarding:
                self.close()

    def may_stay_open(self, request: ServerRequest) -> bool:
        """Tell whether the connection stays open after a request.

        Requests taken behind it are answered before the server stops.
        """
        is_last = request is self.open_requests[-1]
        is_closing = self.server.is_stopping and is_last
        return request.is_kept_alive and not is_closing

    @property
    def may_take_request(self) -> bool:
        """Tell whether to take a request that arrives now.

        While the server stops, none is taken behind one that is not answered:
        its caller sends it again when the connection has closed. The caller of
        a complete answer sends the next one before the task has ended.
        """
        if self.open_requests and not self.open_requests[-1].is_kept_alive:
            return False
        return not self.server.is_stopping or all(
            request.is_answered for request in self.open_requests
        )

    def pause_reading(self) -> None:
        """Stop reading from the socket, so that TCP slows the caller down."""
        if not self.is_paused and not self.is_disconnected:
            self.is_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Continue to read from the socket."""
        if self.is_paused and not self.is_disconnected:
            self.is_paused = False
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        """Block senders while the send buffer is full."""
        self.write_waiter = self.loop.create_future()

    def resume_writing(self) -> None:
        """Unblock senders."""
        wake_waiter(self.write_waiter)
        self.write_waiter = None

    def write(self, chunk: bytes) -> None:
        """Write bytes, unless the connection is closed or closing."""
        if self.is_lingering or self.transport.is_closing():
            request = self.open_requests[0] if self.open_requests else None
            report_dropped(self, request, (chunk,))
        elif not self.is_disconnected:
            self.end.written_bytes += len(chunk)
            self.transport.write(chunk)

    async def drain(self) -> None:
        """Wait while the send buffer is full."""
        if self.write_waiter is not None:
            await self.write_waiter

    def close_idle(self) -> None:
        """Close if no request is open and none has arrived unread."""
        if self.open_requests or self.is_lingering:
            return
        if self.transport.is_closing():
            return
        if self.end.has_unread_bytes:
            logger.info(
                'an idle connection of {0} stays open: bytes are unread',
                self.peer_host,
            )
            return
        self.close()

    def close(self) -> None:
        """Close after all written bytes are received; discard what comes.

        A socket that is closed earlier, or with unread bytes, may reset the
        connection, and its caller may lose the end of an answer.
        """
        if self.is_lingering or self.transport.is_closing():
            return
        self.is_lingering = True
        self.is_ended_here = True
        self.is_discarding = True
        self.resume_reading()
        self.end.send_end()
        self.loop.call_later(LINGER_S, self.end_linger)

    def end_linger(self) -> None:
        """Close the socket once all is received and nothing comes any more."""
        if self.transport.is_closing():
            return
        is_quiet = clock.now() >= self.discarded_at + LINGER_S
        if is_quiet and not self.end.unreceived_bytes:
            self.transport.close()
        else:
            self.loop.call_later(LINGER_S, self.end_linger)

    def cut(self) -> None:
        """End the connection behind an incomplete answer.

        It is aborted, so that its caller sees at once that the answer is
        truncated, unless whole answers are still on their way.
        """
        if self.transport.is_closing():
            return
        if not self.end.has_unreceived_answers:
            self.abort()
            return
        self.close()
        for request in self.open_requests:
            request.abandon()

    def abort(self) -> None:
        """Close at once; discard what is not sent yet."""
        if not self.is_disconnected:
            self.is_ended_here = True
        if self.transport is not None:
            self.transport.abort()
