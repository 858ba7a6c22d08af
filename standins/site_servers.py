"""Serve as the backend servers of a site whose services call each other."""

import asyncio
import random
import time
from types import MappingProxyType
from typing import NamedTuple
from urllib.parse import parse_qsl

from standins.platform_fleet import PlatformServer

DEFAULT_WORK_MS = 20
MS_PER_S = 1000


class Service(NamedTuple):
    """Describe the servers of a service."""

    name: str
    slots: int
    share: int


class NestedCalls(NamedTuple):
    """Describe calls that a server makes while it runs a request."""

    prefix: str
    count: int
    is_concurrent: bool


SERVICES = (
    Service('stock', 141, 5),
    Service('holds', 176, 4),
    Service('plans', 176, 4),
    Service('dispatch', 24, 4),
)
CALLS = {
    '/stock/': NestedCalls('/ledger/', 1, is_concurrent=True),
    '/hold/': NestedCalls('/index/', 2, is_concurrent=True),
    '/ledger/': NestedCalls('/index/', 1, is_concurrent=False),
    '/index/': NestedCalls('/roster/', 4, is_concurrent=False),
}
QUEUE_SHARE = 1.0


class Arrival(NamedTuple):
    """Record what a server received with a request."""

    at: float
    instance: str
    service: str
    path: str
    remaining_s: float
    caller_service: str
    customer: str


class SiteServer(PlatformServer):
    """Run requests in a limited number of slots; make nested calls.

    A request that finds no place in the queue gets no answer, and neither
    does any other on its connection.
    """

    slots = 40
    # Replaces the slots of some services.
    slots_of = MappingProxyType({})

    def __init__(self, node, instance):
        """Serve beside a node, under an instance id."""
        super().__init__(node, instance)
        found = [one for one in SERVICES if one.name == node.service]
        slots = found[0].slots if found else self.slots
        self.slots = self.slots_of.get(node.service, slots)
        # How many times longer than planned its work takes, and how far single
        # requests stray from that.
        self.slowness = 1
        self.speed = 1
        self.spread = 0
        # Whether requests find no place in the queue, and the ids of those.
        self.is_holding = False
        self.held = []
        self.free = asyncio.Semaphore(self.slots)
        self.waiting = 0

    async def serve(self, request):
        """Answer one request, or a health check."""
        headers = dict(request.headers)
        expected = headers.get(b'limpetshore-expected-instance', b'').decode()
        if request.path == '/healthz' or expected not in {'', self.instance}:
            await super().serve(request)
            return
        request_id = headers[b'limpetshore-request-id'].decode()
        self.arrivals.append((request_id, self.build_arrival(request, headers)))
        if self.is_holding or self.waiting > QUEUE_SHARE * self.slots:
            self.held.append(request_id)
            await asyncio.Event().wait()
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            await self.serve_in_slot(request, headers, request_id)
        finally:
            self.free.release()

    async def serve_in_slot(self, request, headers, request_id):
        """Run a request that has a slot, until its deadline at most."""
        await request.read_whole_body(1 << 24)
        started_at = time.monotonic()
        self.runs.setdefault(request_id, []).append(started_at)
        remaining_s = int(headers[b'limpetshore-deadline-ms']) / MS_PER_S
        try:
            async with asyncio.timeout(remaining_s):
                await self.work(request, request_id, started_at + remaining_s)
        except TimeoutError:
            self.answer(request, request_id, 504, b'')
        finally:
            self.ends[request_id] = time.monotonic()

    async def work(self, request, request_id, deadline):
        """Make the calls of a request, work on it and answer it."""
        query = dict(parse_qsl(request.target.partition(b'?')[2].decode()))
        prefix = '/'.join(request.path.split('/')[:2]) + '/'
        calls = CALLS.get(prefix)
        statuses = []
        if calls and self.calls:
            statuses = await self.calls(request_id, calls, deadline)
        work_s = int(query.get('work', DEFAULT_WORK_MS)) / MS_PER_S
        await asyncio.sleep(work_s * self.draw_slowness())
        has_failed = any(status != 200 for status in statuses)
        size = int(query.get('size', '0'))
        body = b'of ' + request_id.encode() + b'.' * size
        if query.get('framing') == 'chunks' and not has_failed:
            pause_s = int(query.get('pause', '5')) / MS_PER_S
            await self.stream(request, request_id, body, pause_s)
        else:
            self.answer(request, request_id, 500 if has_failed else 200, body)

    def draw_slowness(self):
        """Return how many times longer than planned one request takes."""
        stray = random.lognormvariate(-(self.spread**2) / 2, self.spread)
        return self.slowness / self.speed * stray

    async def stream(self, request, request_id, body, pause_s):
        """Send an answer in pieces, with a pause after each."""
        request.start_answer(200, self.build_headers(request_id))
        for start in range(0, len(body), 16384):
            request.send_body(body[start : start + 16384], is_last=False)
            await request.drain()
            await asyncio.sleep(pause_s)
        request.send_body(b'', is_last=True)
        self.answered[request_id] = 200

    def answer(self, request, request_id, status, body):
        """Send an answer at once."""
        if request.has_started:
            return
        length = (b'content-length', b'%d' % len(body))
        headers = [*self.build_headers(request_id), length]
        request.send_complete(status, headers, body)
        self.answered[request_id] = status

    def build_headers(self, request_id):
        """Return the headers of each answer of this server."""
        encoded = request_id.encode()
        return [
            (b'limpetshore-request-id', encoded),
            (b'limpetshore-response-seal', b'seal.' + encoded),
        ]

    def build_arrival(self, request, headers):
        """Return the record of a request as it came."""

        def read(name):
            return headers.get(name, b'').decode()

        return Arrival(
            time.monotonic(),
            self.instance,
            self.node.service,
            request.path,
            float(read(b'limpetshore-deadline-ms') or 'inf') / MS_PER_S,
            read(b'limpetshore-caller-service'),
            read(b'limpetshore-tenant-id'),
        )


class CrowdedServer(SiteServer):
    """Have just enough room for the innermost calls of the usual load."""

    slots_of = MappingProxyType({'dispatch': 10})
