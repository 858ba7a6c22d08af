"""Serve operators and the local backend server on the admin port."""

from collections.abc import Callable
from typing import Any

import msgspec

from limpetshore.backends import read_announcement
from limpetshore.bodies import AnswerSender, CallerGoneError, RequestBody
from limpetshore.errors import RefusedError
from limpetshore.guard import Guard
from limpetshore.metrics import Metrics

MAX_ANNOUNCEMENT_BYTES = 4096
STALL_S = 5
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
        """Serve what `describe` returns as the status."""
        self.guard = guard
        self.metrics = metrics
        self.describe = describe
        self.on_announcement = on_announcement

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        sender = AnswerSender(send, STALL_S)
        try:
            status, body = await self.answer(scope, receive)
        except (RefusedError, CallerGoneError) as error:
            status, body = BAD_REQUEST, str(error).encode()
        await sender.start(status, [(b'content-length', b'%d' % len(body))])
        await sender.send_body(body, is_last=True)

    async def answer(self, scope: Any, receive: Any) -> tuple[int, bytes]:
        """Return the status and body for a request."""
        path = scope['path']
        if path == '/metrics':
            return OK, self.metrics.expose()
        if path == '/status':
            return OK, msgspec.json.encode(self.describe())
        if path == '/announce' and scope['method'] in {'POST', 'PUT'}:
            return await self.take_announcement(scope, receive)
        return NOT_FOUND, b'paths are /metrics, /status and /announce\n'

    async def take_announcement(
        self,
        scope: Any,
        receive: Any,
    ) -> tuple[int, bytes]:
        """Follow the local backend server, or tell it what is wrong."""
        body = RequestBody(
            scope,
            receive,
            max_bytes=MAX_ANNOUNCEMENT_BYTES,
            stall_s=STALL_S,
        )
        content = await body.read_first(MAX_ANNOUNCEMENT_BYTES)
        announcement, mistakes = read_announcement(content)
        if announcement is None:
            self.metrics.bad_input.labels('announcement').inc()
            return BAD_REQUEST, '\n'.join(mistakes).encode()
        is_new = self.guard.backend.take(announcement)
        self.guard.follow_backend(is_new=is_new)
        self.on_announcement()
        return OK, b'{}'
