"""Parse the bytes that a server sends into separate answers."""

from collections import deque
from typing import NamedTuple

import httptools

from limpetshore.errors import TooLongError

Headers = list[tuple[bytes, bytes]]

# Of a head, and of all between two pieces of a body or after the last one.
MAX_HEAD_BYTES = 65536
MAX_QUEUED_RESPONSES = 4
MAX_INFORMATIONAL_STATUS = 199


class ResponseHead(NamedTuple):
    """Hold the status and headers of an answer."""

    status: int
    headers: Headers


class Response:
    """Collect what the HTTP parser reports about one answer."""

    head: ResponseHead | None = None
    is_complete = False
    is_kept_alive = False

    def __init__(self) -> None:
        """Create an answer of which nothing was received."""
        self.headers: Headers = []
        self.body: deque[bytes] = deque()


class ResponseReader:
    """Parse the bytes that a server sends into separate answers.

    A server may send more answers than there were requests. `current` is the
    answer being read, `receiving` the one being parsed, and `queued` holds the
    answers after `current`.
    """

    def __init__(self, *, is_bodyless: bool = False) -> None:
        """Create the parser; `is_bodyless` is set for answers to HEAD."""
        self.is_bodyless = is_bodyless
        self.parser = httptools.HttpResponseParser(self)
        self.queued: deque[Response] = deque()
        self.reset()

    def reset(self) -> None:
        """Prepare for the next answer; the previous one must be complete."""
        self.current = Response()
        self.receiving = self.current
        self.buffered_bytes = 0
        self.overhead_bytes = 0

    def feed(self, received: bytes) -> None:
        """Parse received bytes.

        Raise HttpParserError if they are not HTTP, and TooLongError if a head,
        a trailer, the framing of a body or a train of answers has no end.
        """
        self.overhead_bytes += len(received)
        self.parser.feed_data(received)
        if self.overhead_bytes > MAX_HEAD_BYTES:
            raise TooLongError('the head or trailer of an answer is too long')
        if len(self.queued) > MAX_QUEUED_RESPONSES:
            raise TooLongError('too many answers to one request')

    @property
    def has_queued_responses(self) -> bool:
        """Tell whether the server sent bytes beyond the current answer."""
        return bool(self.queued)

    def advance(self) -> None:
        """Replace the current answer, which is complete, by the next one."""
        if not self.queued:
            self.add_response()
        self.current = self.queued.popleft()

    def add_response(self) -> None:
        """Add an answer to the queue; parsed bytes go to it from now on."""
        self.receiving = Response()
        self.queued.append(self.receiving)

    def on_message_begin(self) -> None:
        """Add an answer if the last one is complete, as no 1xx answer is."""
        if self.receiving.is_complete:
            self.add_response()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, its name in lower case; drop those after a body."""
        if self.receiving.head is None:
            self.receiving.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Set the head, unless the status is informational (1xx)."""
        status = self.parser.get_status_code()
        response = self.receiving
        if status > MAX_INFORMATIONAL_STATUS:
            response.head = ResponseHead(status, response.headers)
            response.is_complete = self.is_bodyless
            self.overhead_bytes = 0
        response.headers = []

    def on_body(self, body: bytes) -> None:
        """Add a chunk of the body."""
        self.overhead_bytes = 0
        self.receiving.body.append(body)
        self.buffered_bytes += len(body)

    def on_message_complete(self) -> None:
        """Mark the answer complete, unless it is informational (1xx)."""
        response = self.receiving
        response.is_complete = response.head is not None
        response.is_kept_alive = self.parser.should_keep_alive()
        if response.is_complete:
            self.overhead_bytes = 0

    def finish(self) -> None:
        """Complete an answer whose end is the end of its connection."""
        response = self.receiving
        if response.head and not is_self_delimited(response.head):
            response.is_complete = True


def is_self_delimited(head: ResponseHead) -> bool:
    """Tell whether an answer states where its body ends.

    The body of any other answer ends when the server closes the connection.

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
