"""Keep connections to one address for reuse."""

import contextlib
from collections.abc import AsyncIterator

from limpetshore import clock
from limpetshore.transport.http_client import (
    CONNECT_TIMEOUT_S,
    Address,
    HttpConnection,
    connect,
)


class HttpPool:
    """Keep idle connections to one address; reuse the last released first."""

    def __init__(
        self,
        address: Address,
        max_idle_s: float,
        connect_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        """Set how long a connection may stay idle and may take to open."""
        self.address = address
        self.max_idle_s = max_idle_s
        self.connect_s = connect_s
        self.last_received_at = float('-inf')
        self.idle: list[HttpConnection] = []

    async def acquire(self, max_idle_s: float | None = None) -> HttpConnection:
        """Return an idle connection that is still usable, or a new one."""
        if max_idle_s is None:
            max_idle_s = self.max_idle_s
        idle_cutoff = clock.now() - max_idle_s
        while self.idle:
            connection = self.idle.pop()
            if connection.idle_since >= idle_cutoff and connection.is_usable():
                return connection
            connection.close()
        connection = await connect(self.address, self.connect_s)
        connection.on_received = self.record_bytes
        self.record_bytes()
        return connection

    def record_bytes(self) -> None:
        """Record that bytes came from this address."""
        self.last_received_at = clock.now()

    def release(self, connection: HttpConnection) -> None:
        """Keep the connection if it can be reused, else close it."""
        connection.deadline = clock.NO_DEADLINE
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
        """Close all idle connections, after one to this address went silent."""
        while self.idle:
            self.idle.pop().close()
