"""Report answers that cannot be sent, as their connection is closing."""

from collections.abc import Iterable
from typing import Protocol

from logbook import Logger

from limpetshore.transport.server_request import ServerRequest

logger = Logger(__name__)

ENDED_BY_NODE = 'node'
ENDED_BY_CALLER = 'caller'


class CountingApp(Protocol):
    """Declare the part of an application that counts."""

    def count_lost_answer(self, ended_by: str) -> None:
        """Count an answer whose bytes are dropped."""


class CountingServer(Protocol):
    """Declare the part of a server that the report uses."""

    @property
    def app(self) -> CountingApp:
        """Return the application that is served."""


class ClosingConnection(Protocol):
    """Declare the part of a connection that the report names."""

    peer_host: str
    is_disconnected: bool
    is_ended_here: bool
    is_lingering: bool

    @property
    def server(self) -> CountingServer:
        """Return the server of the connection."""


def report_unsent(
    connection: ClosingConnection, requests: Iterable[ServerRequest]
) -> None:
    """Report handled requests whose answers are still queued."""
    for request in requests:
        if request.is_handled and request.queued_output:
            report_dropped(connection, request, request.queued_output)


def report_dropped(
    connection: ClosingConnection,
    request: ServerRequest | None,
    chunks: Iterable[bytes],
) -> None:
    """Log and count dropped bytes of an answer, once for each request.

    An answer is not lost if its caller has disconnected. One that has closed
    its side has most likely left, too, but may still read.
    """
    if connection.is_disconnected:
        return
    if request is not None:
        if request.has_lost_bytes:
            return
        request.has_lost_bytes = True
    is_ended_here = connection.is_ended_here
    ended_by = ENDED_BY_NODE if is_ended_here else ENDED_BY_CALLER
    connection.server.app.count_lost_answer(ended_by)
    logger.log(
        'NOTICE' if is_ended_here else 'INFO',
        'bytes of an answer were dropped, the connection is closing',
        extra={
            'request_id': request.request_id if request else '',
            'peer': connection.peer_host,
            'dropped_bytes': sum(map(len, chunks)),
            'ended_by': ended_by,
            'is_lingering': connection.is_lingering,
        },
    )
