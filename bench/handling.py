"""Measure the processor time that a node takes to handle a call.

Transports in memory replace sockets: the node receives the bytes of calls,
and its own calls are answered at once, so that only its code is timed.
"""

import argparse
import asyncio
import cProfile
import json
import pstats
import time

import anyio

from limpetshore import clock
from limpetshore.node import Node
from limpetshore.platform.integration import PlatformIntegration
from limpetshore.protocol.messages import AnswerMeta, CallMeta, json_encoder
from limpetshore.settings import check_settings
from limpetshore.state.backends import Announcement
from limpetshore.state.members import Status
from limpetshore.state.policies import Customer, PolicyIndex, Route, hash_key
from limpetshore.transport import http_pool
from limpetshore.transport.server_connection import ServerConnection
from limpetshore.transport.http_client import HttpConnection
from tests.builders import KEY, build_node_state, build_policy

REQUEST_ID = b'9c41d07be2a35f68'
BODY = b'x' * 400
CALL_COUNT = 3000
TURN_COUNT = 5
SETTINGS = {
    'node': {'name': 'near-1', 'zone': 'zone-a'},
    'listen': {
        'callers': '10.0.0.9:1',
        'peers': '10.0.0.9:2',
        'control': '10.0.0.9:3',
        'admin': '10.0.0.9:4',
    },
    'backend': {
        'service': 'stock',
        'address': '10.0.0.9:5',
        'announce_lapse_s': 600,
    },
    'store': {'address': '10.0.0.8:1'},
    'admission': {'limit': 'announced'},
    'fleet': {'budgets': 'conserved', 'keys_need_store': True},
    'platform': {'heartbeats': '10.0.0.9:6', 'readiness': '10.0.0.9:7'},
}
ANSWER_META = json_encoder.encode(
    AnswerMeta('', '', 0, 0, 0, 0, 0.41, 0.0215, 1, 0.2),
)
SERVER_HEADERS = (
    b'HTTP/1.1 200 OK\r\ncontent-length: 400\r\n'
    b'content-type: application/octet-stream\r\n'
    b'Limpetshore-Request-Id: %b\r\n'
    b'Limpetshore-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n'
)


class MemoryTransport(asyncio.Transport):
    """Answer every write with fixed bytes, or only record the write."""

    def __init__(self, protocol, answer=b''):
        """Create a transport that passes `answer`, if any, to a protocol."""
        super().__init__()
        self.protocol = protocol
        self.answer = answer
        self.last_write = b''
        self.loop = asyncio.get_running_loop()
        self.done = asyncio.Event()

    def get_extra_info(self, name, default=None):
        """Return the peer address, or this object in place of the socket."""
        return ('10.0.0.9', 1) if name == 'peername' else self

    def setsockopt(self, *options):
        """Ignore a socket option."""

    def is_closing(self):
        """Return False: the transport is never closed."""
        return False

    def write(self, chunk):
        """Schedule the fixed answer, or signal that a write took place."""
        self.last_write = chunk
        if self.answer:
            self.loop.call_soon(self.protocol.data_received, self.answer)
        else:
            self.done.set()

    def abort(self):
        """Do nothing."""

    close = abort


def build_node(tasks):
    """Return a node with four servers of another service and its own one."""
    settings = check_settings(SETTINGS)
    node = Node(settings, tasks, PlatformIntegration(settings))
    for number in range(4):
        node.table.merge(
            build_node_state(
                f'far-{number}',
                service='deep',
                status=int(Status.READY),
                peers=f'10.0.1.{number}:1',
                slots=24,
            ),
        )
    policy = build_policy(
        customers={
            'harbour': Customer(
                rate=1e6,
                burst=1_000_000,
                key_hashes=[hash_key(KEY)],
            ),
        },
        routes={
            'near': Route(path='/near', service='deep', is_repeatable=True),
            'nested': Route(
                path='/nested',
                service='deep',
                is_repeatable=True,
                is_open=True,
            ),
        },
    )
    node.adopt_policy(PolicyIndex(policy, 1))
    node.fencing.confirm_store()
    node.budgets.update_owners()
    node.budgets.add_tokens('harbour', 200_000)
    node.guard.backend.update(Announcement('ready', 24, instance='i-7f3a91c2'))
    node.guard.apply_announcement(is_new=True)
    return node


def build_requests():
    """Return the bytes of a client's call, a nested call and a peer's call."""
    common = (
        b'Host: hulo84.example\r\nLimpetshore-Request-Id: %b\r\n'
        b'Limpetshore-Deadline-Ms: 6000\r\n' % REQUEST_ID
    )
    key = b'Authorization: Bearer %b\r\n' % KEY.encode()
    meta = CallMeta(
        '0123456789abcdef01',
        REQUEST_ID.decode(),
        'harbour',
        'near',
        2,
        6000,
        0,
        0,
        True,
        False,
        'stock',
        'yard',
    )
    call = b'x-limpetshore-call: %b\r\n' % json_encoder.encode(meta)
    return {
        'entry': b'GET /near/2f HTTP/1.1\r\n%b%b\r\n' % (common, key),
        'nested': b'GET /nested/2f HTTP/1.1\r\n%b\r\n' % common,
        'guard': b'GET /near/2f HTTP/1.1\r\n%b%b\r\n' % (common, call),
    }


async def handle(connection, transport, request, count):
    """Let the node handle a request several times in sequence."""
    for _ in range(count):
        transport.done.clear()
        connection.data_received(request)
        await transport.done.wait()


async def measure(options, report):
    """Fill in the processor time per call, in microseconds, by kind of call."""
    head = SERVER_HEADERS % REQUEST_ID
    peer_answer = b'%bx-limpetshore-answer: %b\r\n\r\n%b' % (
        head,
        ANSWER_META,
        BODY,
    )
    server_answer = b'%b\r\n%b' % (head, BODY)

    async def connect(address, timeout_s=0):
        connection = HttpConnection(address)
        is_server = str(address) == SETTINGS['backend']['address']
        answer = server_answer if is_server else peer_answer
        connection.connection_made(MemoryTransport(connection, answer))
        return connection

    http_pool.connect = connect
    clock.use_boot_time()
    async with anyio.create_task_group() as tasks:
        node = build_node(tasks)
        servers = {
            'entry': node.callers_server,
            'nested': node.callers_server,
            'guard': node.call_drain.peers_server,
        }
        for kind, request in build_requests().items():
            connection = ServerConnection(servers[kind])
            transport = MemoryTransport(connection)
            connection.connection_made(transport)
            await handle(connection, transport, request, CALL_COUNT // 4)
            if b' 200 OK' not in transport.last_write:
                raise SystemExit(f'{kind}: {transport.last_write}')
            if options.profile == kind:
                profile = cProfile.Profile()
                profile.enable()
                await handle(connection, transport, request, CALL_COUNT)
                profile.disable()
                pstats.Stats(profile).sort_stats('tottime').print_stats(60)
            call_times_s = []
            for _ in range(TURN_COUNT):
                started = time.process_time()
                await handle(connection, transport, request, CALL_COUNT)
                call_times_s.append(
                    (time.process_time() - started) / CALL_COUNT
                )
            report[kind] = round(min(call_times_s) * 1e6, 1)
        tasks.cancel_scope.cancel()


def main():
    """Print the processor time per call by kind of call."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--profile', default='')
    options = parser.parse_args()
    report = {'bench': 'handling', 'unit': 'us of processor time'}
    anyio.run(measure, options, report, backend_options={'use_uvloop': True})
    print(json.dumps(report))


if __name__ == '__main__':
    main()
