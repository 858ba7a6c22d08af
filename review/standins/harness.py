# flake8: noqa
"""Stand-ins for the scripts: store, backend servers, clients, and the nodes.

Only the standard library is used. The store, the servers and the clients run
in the process of the script; every node is a process of its own, started with
the command and the template of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
BOUNDS = {
    'stableWindowMs': 3000,
    'ackMs': 4000,
    'drainMs': 2000,
    'graceS': 6,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'strictRevocation': True,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'retryBudgetBase': 50,
    'quotaWindowS': 5,
    'quotaOver': 0.1,
    'quotaSlack': 20,
}
KEY = 'k9x2mmd81abzq0rt5wvu'


# -- HTTP -------------------------------------------------------------------


async def read_message(reader):
    """Return (first line, headers, body) or None at a clean end."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            line = await reader.readuntil(b'\r\n')
            size = int(line.split(b';')[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
            body += chunk
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return lines[0], headers, body


def build_answer(status, body=b'', headers=()):
    """Return the bytes of an answer."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


async def call(address, method, path, headers=(), body=b'', timeout_s=1.0):
    """Send one request on a new connection; return (status, headers, body)."""
    host, port = address
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f'{method} {path} HTTP/1.1', f'Host: {host}']
            lines += [f'{name}: {value}' for name, value in headers]
            if body or method in {'PUT', 'POST'}:
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            first, answer_headers, content = await read_message(reader)
            return int(first.split()[1]), answer_headers, content
        finally:
            writer.transport.abort()


# -- the record -------------------------------------------------------------


class Record:
    """Write what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = path.open('w')
        self.start = time.monotonic()

    def __call__(self, text):
        now = time.monotonic() - self.start
        self.file.write(f'{now:8.3f} {text}\n')
        self.file.flush()


# -- the platform's store ---------------------------------------------------


class Store:
    """Keep objects by kind and name; answer reads, writes and watches."""

    def __init__(self, address):
        self.address = address
        self.objects = {}
        self.revision = 1
        self.changed = asyncio.Condition()
        self.log = []
        # Time of the latest watch, by the address at which it came in.
        self.watched_at = {}

    async def start(self):
        await self.listen(self.address)

    async def listen(self, address):
        """Serve at a further address too."""
        await asyncio.start_server(self.serve, *address)

    async def serve(self, reader, writer):
        try:
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(' ')
                if 'watch=' in target:
                    host = writer.get_extra_info('sockname')[0]
                    self.watched_at[host] = time.monotonic()
                status, answer = await self.answer(method, target, body)
                writer.write(
                    build_answer(
                        status,
                        json.dumps(answer).encode(),
                        [('Content-Type', 'application/json')],
                    )
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        parts = urlsplit(target)
        path = [unquote(part) for part in parts.path.strip('/').split('/')][1:]
        query = dict(parse_qsl(parts.query))
        if method == 'GET' and len(path) == 2:
            found = self.objects.get(tuple(path))
            return (200, found) if found else (404, None)
        if method == 'GET' and 'watch' in query:
            return await self.watch(path[0], query)
        if method == 'GET':
            items = [
                entry
                for (kind, name), entry in sorted(self.objects.items())
                if kind == path[0] and name > query.get('after', '')
            ]
            return 200, {
                'items': items,
                'has_more': False,
                'store_revision': self.revision,
            }
        message = json.loads(body) if body else {}
        if method == 'POST':
            key = (path[0], message['metadata']['name'])
            if key in self.objects:
                return 409, self.objects[key]
            return 201, await self.write(key, message['spec'])
        key = (path[0], path[1])
        known = self.objects.get(key)
        if known is None:
            return 404, None
        expected = message.get('metadata', {}).get('revision')
        if method == 'DELETE':
            expected = int(query['revision']) if 'revision' in query else None
        if expected not in {None, known['metadata']['revision']}:
            return 409, known
        if method == 'DELETE':
            self.revision += 1
            return 200, self.objects.pop(key)
        if known['spec'] == message['spec']:
            return 200, known
        return 200, await self.write(key, message['spec'])

    async def write(self, key, spec):
        self.revision += 1
        entry = {
            'metadata': {
                'name': key[1],
                'revision': self.revision,
                'createdAt': 1,
                'finalizers': [],
                'deletionRequested': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects[key] = entry
        self.log.append((key, entry))
        async with self.changed:
            self.changed.notify_all()
        return entry

    async def watch(self, kind, query):
        since = int(query['watch'])
        deadline = time.monotonic() + int(query.get('wait_ms', '0')) / 1000
        while True:
            events = [
                {'object': entry, 'removed': False}
                for key, entry in self.log
                if key[0] == kind and entry['metadata']['revision'] > since
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'store_revision': self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s), self.changed:
                    await self.changed.wait()


# -- a backend server -------------------------------------------------------


class Server:
    """Serve requests; a query `work=MS` says how long one takes.

    `runs` lists (time, request id, tenant) of all requests that began to run.
    """

    def __init__(self, record, node, instance, service=None, slots=40):
        self.record = record
        self.node = node
        self.instance = instance
        self.service = service or node.service
        self.slots = slots
        self.writers = set()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.is_faulty = False
        self.runs = []
        self.finished = set()
        self.tasks = []

    async def start(self):
        self.listener = await asyncio.start_server(
            self.serve, *self.node.app_address
        )
        self.tasks.append(asyncio.ensure_future(self.beat()))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, _ = await read_message(reader)
                method, target, _ = first.split(' ')
                if target.split('?')[0] == '/healthz':
                    status = 200 if self.state == 'ready' else 503
                    writer.write(
                        build_answer(
                            status,
                            headers=[
                                ('Limpetshore-Instance-Id', self.instance)
                            ],
                        )
                    )
                    continue
                request_id = headers.get('limpetshore-request-id', '')
                expected = headers.get('limpetshore-expected-instance')
                if expected not in {None, self.instance}:
                    self.record(
                        f'server {self.instance} of {self.service} answers 421 '
                        f'to {request_id}, expected instance {expected}'
                    )
                    writer.write(
                        build_answer(
                            421,
                            headers=[
                                ('Limpetshore-Instance-Id', self.instance)
                            ],
                        )
                    )
                    continue
                self.runs.append((time.monotonic(), request_id))
                self.record(
                    f'server {self.instance} of {self.service} runs '
                    f'{request_id} {method} {target}, expected instance '
                    f'{expected}'
                )
                query = dict(parse_qsl(urlsplit(target).query))
                left_s = (
                    int(headers.get('limpetshore-deadline-ms', '9999')) / 1000
                )
                work_s = int(query.get('work', '5')) / 1000
                # Most servers drop a request when its connection closes.
                gone = asyncio.ensure_future(reader.read(1))
                done, _ = await asyncio.wait(
                    [gone], timeout=min(work_s, left_s)
                )
                if done:
                    self.record(
                        f'server {self.instance} drops {request_id}: the caller '
                        'has closed the connection'
                    )
                    return
                gone.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await gone
                if self.is_faulty and 'spoil' in query:
                    await self.answer_without_end(writer, request_id)
                    return
                self.finished.add(request_id)
                status = 200 if work_s <= left_s else 504
                body = f'answer to {request_id}'.encode()
                writer.write(
                    build_answer(
                        status,
                        body,
                        [
                            ('Limpetshore-Request-Id', request_id),
                            ('Limpetshore-Response-Seal', f'seal.{request_id}'),
                            ('Keep-Alive', 'timeout=10'),
                        ],
                    )
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer_without_end(self, writer, request_id):
        """Send a head and a body that goes on until the caller closes."""
        self.record(f'server {self.instance}: endless body for {request_id}')
        writer.write(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
            b'Limpetshore-Request-Id: %b\r\n'
            b'Limpetshore-Response-Seal: seal.%b\r\n\r\n'
            % (request_id.encode(), request_id.encode())
        )
        while not writer.transport.is_closing():
            writer.write(b'64\r\n' + b'?' * 100 + b'\r\n')
            await writer.drain()
            await asyncio.sleep(0.05)
        self.record(
            f'server {self.instance}: the caller has closed the connection of '
            f'{request_id}'
        )

    def describe(self):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        host, port = self.node.app_address
        return {
            'service': self.service,
            'address': f'{host}:{port}',
            'zone': self.node.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def send_beat(self, content):
        """Send one heartbeat; return whether it was acknowledged."""
        return await self.tell('PUT', json.dumps(content).encode())

    async def tell(self, method, body=b''):
        try:
            status, _, _ = await call(
                self.node.control_address,
                method,
                f'/instances/{self.instance}',
                [('Content-Type', 'application/json')],
                body,
            )
        except (OSError, EOFError, TimeoutError):
            return False
        return 200 <= status < 300

    async def beat(self):
        while True:
            await self.send_beat(self.describe())
            await asyncio.sleep(HEARTBEAT_S)

    def stop_beats(self):
        for task in self.tasks:
            task.cancel()

    def crash(self):
        """End as a killed process does: its connections are reset."""
        self.record(f'server {self.instance} of {self.service} crashes')
        self.stop_beats()
        self.listener.close()
        for writer in self.writers:
            writer.transport.abort()


# -- a node -----------------------------------------------------------------


class Node:
    """Run one process of the project beside a server."""

    def __init__(self, fleet, index, service, zone):
        self.fleet = fleet
        self.name = f'node-{index}'
        self.service = service
        self.zone = zone
        self.ip = f'{fleet.net}.{10 + index}'
        self.process = None
        self.store_address = fleet.store.address

    def address(self, port):
        return (self.ip, port)

    @property
    def callers_address(self):
        return self.address(8548)

    @property
    def control_address(self):
        return self.address(8540)

    @property
    def app_address(self):
        return self.address(8547)

    def settings(self):
        """Return the fields that the platform fills in."""
        host, port = self.store_address
        return {
            'node': self.name,
            'ip': self.ip,
            'zone': self.zone,
            'region': 'region-1',
            'listen': {
                'inbound': f'{self.ip}:8543',
                'outbound': f'{self.ip}:8548',
                'ready': f'{self.ip}:8546',
                'control': f'{self.ip}:8540',
            },
            'internalPorts': [7000, 7015],
            'appAddr': f'{self.ip}:8547',
            'service': self.service,
            'platform': {'address': f'{host}:{port}'},
            'bounds': BOUNDS,
        }

    def write_settings(self, template='deploy/node.toml'):
        """Fill in the template of the deploy file; return the path."""
        path = self.fleet.folder / f'{self.name}.settings'
        text = (ROOT / template).read_text()
        path.write_text(render(text, self.settings()))
        return path

    async def start(self):
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['node']
        path = self.write_settings(role['template'])
        log = (self.fleet.folder / f'{self.name}.log').open('ab')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= {
            'LIMPETSHORE_BOOT': str(path),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        self.process = await asyncio.create_subprocess_exec(
            *role['run'].split(),
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.fleet.record(f'{self.name} started')

    def signal(self, number):
        self.fleet.record(f'{self.name} gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        """Ask as the platform does."""
        try:
            status, _, _ = await call(self.address(8546), 'GET', '/readyz')
        except (OSError, EOFError, TimeoutError):
            return False
        return status == 200


def render(text, fields):
    """Fill in a template of the deploy file (plain values only)."""

    def fill(match):
        name, _, form = match.group(1).partition('|')
        value = fields
        for part in name.split('.'):
            value = value[int(part)] if part.isdigit() else value[part]
        return json.dumps(value) if form == 'json' else str(value)

    return re.sub(r'\{\{([^{}]+)\}\}', fill, text)


# -- all together -----------------------------------------------------------


class Fleet:
    """Hold the store, the nodes and the servers beside them."""

    def __init__(self, record, layout, slots=40):
        """Prepare a node for each (service, zone) of `layout`."""
        self.record = record
        self.slots = slots
        self.net = find_net()
        self.folder = Path(tempfile.mkdtemp(prefix='limpetshore-review-'))
        self.store = Store((f'{self.net}.250', 8545))
        self.nodes = [
            Node(self, index, service, zone)
            for index, (service, zone) in enumerate(layout)
        ]
        self.servers = []

    async def start(self, configuration):
        await self.store.start()
        await self.store.write(('config', 'main'), configuration)
        for index, node in enumerate(self.nodes):
            # Each node has an address of its own for the store.
            node.store_address = (f'{self.net}.{150 + index}', 8545)
            await self.store.listen(node.store_address)
            await node.start()
            server = Server(
                self.record, node, f'i-{index:04x}', slots=self.slots
            )
            self.servers.append(server)
            await server.start()
        await self.wait_ready()

    async def wait_ready(self, nodes=None, timeout_s=20):
        deadline = time.monotonic() + timeout_s
        for node in nodes or self.nodes:
            while not await node.is_ready():
                if time.monotonic() > deadline:
                    raise CannotRun(f'{node.name} does not become ready')
                await asyncio.sleep(0.1)

    async def stop(self):
        """End all nodes and remove the temporary folder."""
        for server in self.servers:
            server.stop_beats()
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                await node.process.wait()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


class CannotRun(Exception):
    """Report that a case could not be played."""


def find_net():
    """Return a loopback network of which the ports are free."""
    for number in range(20, 200):
        net = f'127.{20 + (os.getpid() + number) % 200}.{number % 200}'
        try:
            for host in (10, 250):
                for port in (7000, 7001, 8540, 8543, 8545, 8546, 8547, 8548):
                    with socket.socket() as probe:
                        probe.setsockopt(
                            socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
                        )
                        probe.bind((f'{net}.{host}', port))
        except OSError:
            continue
        return net
    raise CannotRun('no free loopback addresses')


def build_route(prefix, service, kind, timeout_ms, **more):
    """Return a route of the configuration, in the names of the wire file."""
    return {
        'host': 'shop.example',
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': timeout_ms,
        'target_ms': 1500,
        'priority': 2,
        'service': service,
        'attempts': 2,
        'is_open': False,
        **more,
    }


def build_configuration(version, routes, services, customers=None):
    """Return a whole configuration."""
    return {
        'version': version,
        'routes': routes,
        'services': {
            name: {
                'health_path': '/healthz',
                'maxConnections': 900,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        },
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'customers': customers
        or {'tenant-1': {'keys': [KEY], 'priority': 1, 'rate': 0, 'burst': 0}},
    }


request_count = 0


def next_id(label):
    """Return a new request id."""
    global request_count
    request_count += 1
    return f'{label}-{request_count:05d}'


def build_request(request_id, path, deadline_ms=5000, method='GET', key=KEY):
    """Return the bytes of a client's request without a body."""
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: shop.example',
        f'Limpetshore-Request-Id: {request_id}',
        f'Limpetshore-Deadline-Ms: {deadline_ms}',
        f'Authorization: Bearer {key}',
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


def run(folder, play):
    """Play a case; exit with 1 if the rule was broken, 0 if not, else 2.

    `play` gets the record and whether there is a disruption, and returns a
    list of what broke the rule.
    """
    record = Record(Path(folder) / 'record.txt')
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record(f'disruption: {"yes" if has_trouble else "no"}')

    async def limited():
        async with asyncio.timeout(115):
            return await play(record, has_trouble)

    try:
        broken = asyncio.run(limited())
    except (CannotRun, TimeoutError, OSError) as error:
        record(f'the case could not be played: {error!r}')
        print(f'could not be played: {error!r}')
        sys.exit(2)
    for line in broken:
        record(f'BROKEN: {line}')
    verdict = f'{len(broken)} breaks of the rule' if broken else 'the rule held'
    record(verdict)
    print(verdict)
    sys.exit(1 if broken else 0)
