"""Serve operators and the local backend server on the admin port."""

from collections.abc import Callable
from typing import Any

import msgspec

from limpetshore.metrics import Metrics
from limpetshore.routing.guard import Guard
from limpetshore.state.backends import parse_announcement
from limpetshore.transport.server_connection import CallApp
from limpetshore.transport.server_request import ServerRequest

MAX_ANNOUNCEMENT_BYTES = 4096
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
WRITE_METHODS = frozenset((b'POST', b'PUT'))


class AdminApp(CallApp):
    """Serve /metrics, /status and /announce."""

    def __init__(
        self,
        guard: Guard,
        metrics: Metrics,
        describe: Callable[[], dict[str, Any]],
        on_announcement: Callable[[], None],
    ) -> None:
        """Serve the result of `describe` as the status."""
        self.guard = guard
        self.metrics = metrics
        self.describe = describe
        self.on_announcement = on_announcement

    async def serve(self, request: ServerRequest) -> None:
        """Serve one request."""
        status, body = await self.answer(request)
        headers = [(b'content-length', b'%d' % len(body))]
        request.send_complete(status, headers, body)

    async def answer(self, request: ServerRequest) -> tuple[int, bytes]:
        """Handle a request; return the HTTP status and body."""
        if request.path == '/metrics':
            return OK, self.metrics.expose()
        if request.path == '/status':
            return OK, msgspec.json.encode(self.describe())
        if request.path == '/announce' and request.method in WRITE_METHODS:
            return await self.handle_announcement(request)
        return NOT_FOUND, b'paths are /metrics, /status and /announce\n'

    async def handle_announcement(
        self,
        request: ServerRequest,
    ) -> tuple[int, bytes]:
        """Apply an announcement of the local backend server.

        For an invalid announcement, return status 400 and its mistakes.
        """
        content = await request.read_whole_body(MAX_ANNOUNCEMENT_BYTES)
        if content is None:
            return BAD_REQUEST, b'announcement is too long\n'
        announcement, mistakes = parse_announcement(content)
        if announcement is None:
            self.metrics.bad_input.labels('announcement').inc()
            return BAD_REQUEST, '\n'.join(mistakes).encode()
        is_new = self.guard.backend.update(announcement)
        self.guard.apply_announcement(is_new=is_new)
        self.on_announcement()
        return OK, b'{}'
