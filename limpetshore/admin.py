"""Serve operators and the local backend server on the admin port."""

from collections.abc import Callable
from typing import Any

import msgspec

from limpetshore.metrics import Metrics
from limpetshore.routing.guard import Guard
from limpetshore.state.backends import parse_announcement

MAX_ANNOUNCEMENT_BYTES = 4096
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404


class AdminApp:
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

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one ASGI request."""
        status, body = await self.answer(scope, receive)
        headers = [(b'content-length', b'%d' % len(body))]
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )
        await send({'type': 'http.response.body', 'body': body})

    async def answer(self, scope: Any, receive: Any) -> tuple[int, bytes]:
        """Handle a request; return the HTTP status and body."""
        path = scope['path']
        if path == '/metrics':
            return OK, self.metrics.expose()
        if path == '/status':
            return OK, msgspec.json.encode(self.describe())
        if path == '/announce' and scope['method'] in {'POST', 'PUT'}:
            return await self.handle_announcement(receive)
        return NOT_FOUND, b'paths are /metrics, /status and /announce\n'

    async def handle_announcement(
        self,
        receive: Any,
    ) -> tuple[int, bytes]:
        """Apply an announcement of the local backend server.

        For an invalid announcement, return status 400 and its mistakes.
        """
        content = await read_body(receive)
        if len(content) > MAX_ANNOUNCEMENT_BYTES:
            return BAD_REQUEST, b'announcement is too long\n'
        announcement, mistakes = parse_announcement(content)
        if announcement is None:
            self.metrics.bad_input.labels('announcement').inc()
            return BAD_REQUEST, '\n'.join(mistakes).encode()
        is_new = self.guard.backend.update(announcement)
        self.guard.apply_announcement(is_new=is_new)
        self.on_announcement()
        return OK, b'{}'


async def read_body(receive: Any) -> bytes:
    """Return a request body.

    Reading stops when the body exceeds `MAX_ANNOUNCEMENT_BYTES`.
    """
    content = b''
    while len(content) <= MAX_ANNOUNCEMENT_BYTES:
        message = await receive()
        content += message.get('body', b'')
        if not message.get('more_body'):
            break
    return content
