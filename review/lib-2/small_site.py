# flake8: noqa
"""Start nodes as the deploy file says, beside a store and server processes."""

import asyncio
import json
import os
import shutil
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))
sys.path.insert(0, str(ROOT / 'target/deps'))

from limpetshore import clock  # noqa: E402
from limpetshore.transport.call_server import CallServer  # noqa: E402
from limpetshore.transport.http_client import Address  # noqa: E402
from standins.platform_fleet import (  # noqa: E402
    BOUNDS,
    HOST,
    KEY,
    STORE_PORT,
    PlatformStore,
    StoreAccess,
    build_configuration,
    build_route,
    fill_template,
    find_net,
)

__all__ = ['HOST', 'KEY', 'Site', 'build_configuration', 'build_route']


class Machine:
    """Hold one machine: its node process and its server process."""

    def __init__(self, site, index, service, zone, server_arguments):
        self.site = site
        self.name = f'node-{index}'
        self.service = service
        self.zone = zone
        self.host = f'{site.net}.{10 + index}'
        self.instance = f'i-{self.name}'
        self.server_arguments = server_arguments
        self.node = None
        self.server = None

    def write_settings(self):
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
            'platform': {'address': f'{self.host}:{STORE_PORT}'},
            'bounds': BOUNDS,
        }
        path = self.site.folder / f'{self.name}.toml'
        template = (ROOT / 'deploy/node.toml').read_text()
        path.write_text(fill_template(template, fields))
        return path

    async def start_node(self):
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['LIMPETSHORE_BOOT'] = str(self.write_settings())
        with (self.site.folder / f'{self.name}.log').open('ab') as log:
            self.node = await asyncio.create_subprocess_exec(
                'python3',
                '-m',
                'limpetshore.platform',
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def start_server(self):
        with (self.site.folder / f'server-{self.name}.log').open('ab') as log:
            self.server = await asyncio.create_subprocess_exec(
                sys.executable,
                str(Path(__file__).with_name('server.py')),
                self.host,
                self.service,
                self.instance,
                *self.server_arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self, timeout_s=1.0):
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(self.host, 8546)
                writer.write(b'GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n')
                line = await reader.readline()
                writer.close()
                return line.split()[1:2] == [b'200']
        except (OSError, TimeoutError):
            return False


class Site:
    """Hold the store and the machines, all on loopback addresses."""

    def __init__(self, layout):
        """Take a layout of (service, zone, server arguments)."""
        self.net = find_net()
        self.folder = Path(tempfile.mkdtemp(prefix='limpetshore-review-'))
        self.store = PlatformStore()
        self.machines = [
            Machine(self, index, *entry) for index, entry in enumerate(layout)
        ]
        self.tasks = []

    async def start(self, configuration, timeout_s=30):
        clock.use_boot_time()
        self.store.write(('config', 'main'), configuration)
        for machine in self.machines:
            access = StoreAccess(self.store)
            server = CallServer(
                access, Address(machine.host, STORE_PORT), graceful_s=0.1
            )
            self.tasks.append(asyncio.ensure_future(server.run_until_stopped()))
            await server.wait_started()
            await machine.start_server()
            await machine.start_node()
        async with asyncio.timeout(timeout_s):
            for machine in self.machines:
                while not await machine.is_ready():
                    await asyncio.sleep(0.05)

    async def stop(self):
        for machine in self.machines:
            for process in (machine.node, machine.server):
                if process and process.returncode is None:
                    process.kill()
                    await process.wait()
        for task in self.tasks:
            task.cancel()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)


async def request(
    host, method, path, request_id, timeout_ms, wait_s, body=None, headers=()
):
    """Send one request on a new connection; return (status, took_s, head).

    The status is 0 if there is no whole answer within `wait_s`.
    """
    started = time.monotonic()
    writer = None
    status, sealed = 0, False
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(host, 8548)
            lines = [
                f'{method} {path} HTTP/1.1',
                f'host: {HOST}',
                f'authorization: Bearer {KEY}',
                f'limpetshore-request-id: {request_id}',
                f'limpetshore-deadline-ms: {timeout_ms}',
                *headers,
            ]
            if body is not None:
                lines.append(f'content-length: {len(body)}')
            writer.write('\r\n'.join([*lines, '', '']).encode() + (body or b''))
            head = await reader.readuntil(b'\r\n\r\n')
            fields = dict(
                line.lower().split(b': ', 1)
                for line in head.split(b'\r\n')[1:]
                if b': ' in line
            )
            sealed = b'limpetshore-response-seal' in fields
            if b'content-length' in fields:
                await reader.readexactly(int(fields[b'content-length']))
            else:
                while True:
                    size = int(await reader.readline(), 16)
                    await reader.readexactly(size + 2)
                    if not size:
                        break
            status = int(head.split()[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        status = 0
    finally:
        if writer is not None:
            writer.transport.abort()
    return status, time.monotonic() - started, sealed


def write_record(folder, lines):
    """Write the record of a case beside its script."""
    text = '\n'.join(
        line if isinstance(line, str) else json.dumps(line) for line in lines
    )
    Path(folder, 'record.txt').write_text(text + '\n')
