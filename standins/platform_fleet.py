"""Run nodes on the platform integration, beside a store and backend servers.

The store and the servers run in this process; each node is a process of its
own, with the template of its settings filled in.
"""

import asyncio
import json
import os
import re
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl, unquote, urlsplit

from limpetshore.transport.call_server import CallServer
from limpetshore.transport.server_connection import CallApp
from limpetshore.transport.http_client import Address
from limpetshore.transport.http_pool import HttpPool

ROOT = Path(__file__).parent.parent
KEY = 'k9x2mmd81abzq0rt5wvu'
HOST = 'shop.example'
HEARTBEAT_S = 1.5
STORE_PORT = 8545
MAX_SILENCE_S = 30
SERVER_GRACE_S = 6
# A server that gets no acknowledgement leaves anyway after so many attempts.
MAX_REPORTS = 3
BOUNDS = {
    'drainMs': 2000,
    'graceS': 6,
    'configApplyMs': 2000,
    'strictRevocation': True,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'retryBudgetBase': 50,
    'quotaWindowS': 5,
    'quotaOver': 0.1,
    'quotaSlack': 20,
}


class PlatformStore(CallApp):
    """Keep objects by kind and name; answer reads, writes and watches."""

    def __init__(self):
        """Start empty, with a revision above 0."""
        self.objects = {}
        self.revision = 1
        self.changed = asyncio.Event()

    async def serve(self, request):
        """Answer one call."""
        body = await request.read_whole_body(1 << 20)
        parts = urlsplit(request.target.decode())
        path = [unquote(part) for part in parts.path.strip('/').split('/')][1:]
        query = dict(parse_qsl(parts.query))
        message = json.loads(body) if body else {}
        if 'watch' in query:
            status, answer = await self.watch(path[0], query)
        elif request.method == b'GET':
            status, answer = self.read(path)
        else:
            status, answer = self.change(request.method, path, message)
        send_json(request, status, answer)

    def read(self, path):
        """Return one object, or all of a kind."""
        if len(path) == 2:
            found = self.objects.get(tuple(path))
            return (200, found) if found else (404, None)
        items = [
            entry
            for (kind, _), entry in sorted(self.objects.items())
            if kind == path[0]
        ]
        return 200, {'items': items, 'store_revision': self.revision}

    def change(self, method, path, message):
        """Create or replace an object if its revision is as expected."""
        metadata = message['metadata']
        key = (path[0], metadata['name'])
        known = self.objects.get(key)
        if method == b'POST':
            if known:
                return 409, known
            return 201, self.write(key, message['spec'])
        if known is None:
            return 404, None
        if metadata.get('revision') not in {
            None,
            known['metadata']['revision'],
        }:
            return 409, known
        return 200, self.write(key, message['spec'])

    def write(self, key, spec):
        """Write an object and wake the watches."""
        self.revision += 1
        self.objects[key] = {
            'metadata': {'name': key[1], 'revision': self.revision},
            'spec': spec,
        }
        self.changed.set()
        self.changed = asyncio.Event()
        return self.objects[key]

    async def watch(self, kind, query):
        """Return the changes of a kind as soon as there are some."""
        end = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            events = [
                {'object': entry, 'removed': False}
                for (known_kind, _), entry in self.objects.items()
                if known_kind == kind
                and entry['metadata']['revision'] > int(query['watch'])
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'store_revision': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue


class StoreAccess(CallApp):
    """Let one node use the store, or turn it away.

    `refusal` is a status, `silent` or `reset`; empty while the store answers.
    """

    def __init__(self, store):
        """Start with a store that answers."""
        self.store = store
        self.refusal = ''

    async def serve(self, request):
        """Answer one call, or do to it what `refusal` says."""
        if self.refusal == 'reset':
            request.connection.abort()
        elif self.refusal == 'silent':
            await asyncio.sleep(MAX_SILENCE_S)
        elif self.refusal:
            send_json(request, int(self.refusal), None)
        else:
            await self.store.serve(request)


class PlatformServer(CallApp):
    """Run requests: `work` in the query is their time in ms.

    With `size`, the body is so long and sent in chunks over the time of the
    work; with `calls`, so many pipelined calls are made to `path` first.
    """

    slots = 40

    def __init__(self, node, instance):
        """Serve beside a node, under an instance id."""
        self.node = node
        self.instance = instance
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.calls = None
        # Time at which each request began and ended here, None while it runs.
        self.runs = {}
        self.ends = {}
        # What was received, by request, and the status of each whole answer.
        self.arrivals = []
        self.answered = {}
        # Time at which a node acknowledged that this server leaves.
        self.drained_at = None

    async def serve(self, request):
        """Answer one request, or a health check."""
        headers = dict(request.headers)
        if request.path == '/healthz':
            status = 200 if self.state == 'ready' else 503
            send_json(
                request,
                status,
                None,
                [(b'limpetshore-instance-id', self.instance.encode())],
            )
            return
        request_id = headers[b'limpetshore-request-id']
        expected = headers.get(b'limpetshore-expected-instance', b'').decode()
        if expected and expected != self.instance:
            send_json(request, 421, None)
            return
        await request.read_whole_body(1 << 20)
        self.runs.setdefault(request_id.decode(), []).append(time.monotonic())
        try:
            await self.run(request, request_id)
        finally:
            self.ends[request_id.decode()] = time.monotonic()

    async def run(self, request, request_id):
        """Work on a request and answer it."""
        query = dict(parse_qsl(request.target.partition(b'?')[2].decode()))
        work_s = int(query.get('work', '5')) / 1000
        count = int(query.get('calls', '0'))
        statuses = []
        if count and self.calls:
            statuses = await self.calls(request_id.decode(), query, count)
        size = int(query.get('size', '0'))
        answer_headers = [
            (b'limpetshore-request-id', request_id),
            (b'limpetshore-response-seal', b'seal.' + request_id),
        ]
        has_failed = any(status != 200 for status in statuses)
        if not size:
            await asyncio.sleep(work_s)
            body = b'of ' + request_id
            length = (b'content-length', b'%d' % len(body))
            request.send_complete(
                500 if has_failed else 200, [*answer_headers, length], body
            )
            return
        request.start_answer(200, answer_headers)
        for _ in range(10):
            request.send_body(b'.' * (size // 10), is_last=False)
            await request.drain()
            await asyncio.sleep(work_s / 10)
        request.send_body(b'', is_last=True)

    def list_arrivals(self):
        """Return the id and the time of each request that came."""
        if self.arrivals:
            return [(one, arrival.at) for one, arrival in self.arrivals]
        return [(one, times[0]) for one, times in self.runs.items()]

    async def beat(self):
        """Send heartbeats until cancelled."""
        pool = HttpPool(self.node.address(8540), 5)
        while True:
            await self.send_beat(pool)
            await asyncio.sleep(HEARTBEAT_S)

    async def send_beat(self, pool):
        """Send one heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        content = json.dumps(
            {
                'service': self.node.service,
                'address': str(self.node.address(8547)),
                'slots': self.slots,
                'state': self.state,
                'sequence': self.sequence,
                'born': self.born,
            }
        ).encode()
        return await self.call_registry(pool, b'PUT', content)

    async def send_departure(self, pool):
        """Report that this server leaves; return whether it is acknowledged."""
        return await self.call_registry(pool, b'DELETE', b'')

    async def call_registry(self, pool, method, content):
        """Send a call about this server; return whether it was acknowledged."""
        try:
            async with asyncio.timeout(1), pool.connection() as connection:
                await connection.send_head(
                    method,
                    b'/instances/' + self.instance.encode(),
                    [(b'content-length', b'%d' % len(content))],
                    content,
                )
                head = await connection.read_head()
                await connection.read_all()
                return head.status == 200
        except Exception:
            return False

    async def report(self, address, send):
        """Send a report until it is acknowledged; return when, None if not."""
        pool = HttpPool(address, 0)
        for _ in range(MAX_REPORTS):
            if await send(pool):
                return time.monotonic()
            await asyncio.sleep(0.2)
        return None


def send_json(request, status, answer, headers=()):
    """Send an answer with a JSON body."""
    body = json.dumps(answer).encode()
    length = (b'content-length', b'%d' % len(body))
    request.send_complete(status, [length, *headers], body)


class PlatformNode:
    """Run one node as a process, again after each end."""

    def __init__(self, fleet, index, service, zone):
        """Prepare a node beside a server of a service."""
        self.fleet = fleet
        self.name = f'node-{index}'
        self.service = service
        self.zone = zone
        self.host = f'{fleet.net}.{10 + index}'
        self.process = None
        self.started_at = 0
        self.store_access = StoreAccess(fleet.store)
        self.replacements = 0
        self.server = None
        self.server_tasks = []
        self.build_server()

    def build_server(self):
        """Build the next server beside this node, under a new id."""
        self.replacements += 1
        instance = f'i-{self.name}-{self.replacements}'
        self.server = self.fleet.server_class(self, instance)
        self.fleet.servers.append(self.server)

    def address(self, port):
        """Return an address of this VM."""
        return Address(self.host, port)

    def write_settings(self):
        """Fill in the template of the settings; return the path."""
        fields = {
            'node': self.name,
            'ip': self.host,
            'zone': self.zone,
            'region': 'region-1',
            'listen': {
                'inbound': f'{self.host}:8543',
                'outbound': f'{self.host}:8548',
                'ready': f'{self.host}:8546',
                'control': f'{self.host}:8540',
            },
            'internalPorts': [7000, 7015],
            'appAddr': f'{self.host}:8547',
            'service': self.service,
            'platform': {'address': str(self.address(STORE_PORT))},
            'bounds': self.fleet.bounds,
        }
        path = self.fleet.folder / f'{self.name}.toml'
        template = (ROOT / 'deploy/node.toml').read_text()
        path.write_text(fill_template(template, fields))
        return path

    async def start(self):
        """Start the process."""
        environment = {
            **os.environ,
            'LIMPETSHORE_BOOT': str(self.write_settings()),
        }
        with (self.fleet.folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'limpetshore.platform',
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.started_at = time.monotonic()

    async def is_ready(self):
        """Ask for the readiness as the platform does."""
        try:
            async with asyncio.timeout(1):
                pool = HttpPool(self.address(8546), 0)
                async with pool.connection() as connection:
                    await connection.send_head(
                        b'GET', b'/readyz', [(b'host', b'x')]
                    )
                    return (await connection.read_head()).status == 200
        except Exception:
            return False


class PlatformFleet:
    """Hold the store, the nodes and the servers beside them."""

    def __init__(self, layout, bounds=None, server_class=PlatformServer):
        """Prepare a node for each service and zone of `layout`."""
        self.server_class = server_class
        self.servers = []
        self.net = find_net()
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.folder = Path(tempfile.mkdtemp(prefix='limpetshore-'))
        self.store = PlatformStore()
        self.nodes = [
            PlatformNode(self, index, service, zone)
            for index, (service, zone) in enumerate(layout)
        ]
        self.tasks = []

    async def serve(self, app, address):
        """Serve an application of this process."""
        server = CallServer(app, address, graceful_s=0.1)
        self.tasks.append(asyncio.ensure_future(server.run_until_stopped()))
        await server.wait_started()

    async def start(self, configuration):
        """Start all and wait until all nodes are ready."""
        self.configure(configuration)
        for node in self.nodes:
            await self.serve(node.store_access, node.address(STORE_PORT))
            await self.start_server(node)
            await node.start()
        for node in self.nodes:
            await self.wait_ready(node)

    async def start_server(self, node):
        """Start the server beside a node, with its heartbeats."""
        server = CallServer(
            node.server, node.address(8547), graceful_s=SERVER_GRACE_S
        )
        node.server_tasks = [
            asyncio.ensure_future(server.run_until_stopped()),
            asyncio.ensure_future(node.server.beat()),
        ]
        self.tasks += node.server_tasks
        await server.wait_started()
        node.call_server = server

    async def end_server(self, node, served_s):
        """Drain the server beside a node, let it leave, and end it.

        It goes on serving for `served_s` seconds after it reported that.
        """
        server = node.server
        server.state = 'draining'
        server.drained_at = await server.report(
            node.address(8540), server.send_beat
        )
        await asyncio.sleep(served_s)
        await server.report(node.address(8540), server.send_departure)
        node.server_tasks[1].cancel()
        node.call_server.stop()
        await node.call_server.wait_stopped()

    async def wait_ready(self, node, timeout_s=30):
        """Wait until a node is ready."""
        async with asyncio.timeout(timeout_s):
            while not await node.is_ready():
                await asyncio.sleep(0.05)

    def configure(self, configuration):
        """Write a configuration as the operator does."""
        self.store.write(('config', 'main'), configuration)

    async def stop(self):
        """Kill all nodes that still run."""
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        for task in self.tasks:
            task.cancel()


def find_net():
    """Return a loopback network of this process, which no `LocalFleet` uses.

    That one uses 0 and 1 as the third number of its addresses.
    """
    high, low = divmod(os.getpid(), 200)
    return f'127.{20 + low}.{2 + high % 250}'


def fill_template(text, fields):
    """Replace the placeholders of a template of the platform.

    >>> fill_template('{{a.b}} {{c|json}}', {'a': {'b': 1}, 'c': True})
    '1 true'
    """

    def fill(match):
        name, _, form = match.group(1).partition('|')
        value = fields
        for part in name.split('.'):
            value = value[int(part) if part.isdigit() else part]
        return json.dumps(value) if form == 'json' else str(value)

    return re.sub(r'\{\{([^{}]+)\}\}', fill, text)


def build_route(prefix, service, kind='idempotent', **changes):
    """Return a route of the configuration."""
    return {
        'host': HOST,
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': 5000,
        'target_ms': 1500,
        'priority': 2,
        'service': service,
        'attempts': 2,
        **changes,
    }


def build_configuration(version, routes, services):
    """Return a whole configuration with one customer."""
    return {
        'version': version,
        'routes': routes,
        'services': {name: {'health_path': '/healthz'} for name in services},
        'customers': {'tenant-1': {'keys': [KEY], 'priority': 1}},
    }
