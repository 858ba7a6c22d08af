# flake8: noqa
"""Stop a node with SIGTERM while its server works on one long request."""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))
import harness as h  # noqa: E402

CLIENTS = 12
WORK_MS = 1200
LONG_WORK_MS = 4800
DEADLINE_MS = 5000
RUN_S = 10


class Client:
    """Send one request after the other on a kept connection."""

    def __init__(self, record, node, name):
        self.record = record
        self.node = node
        self.name = name
        self.sent = {}
        self.answers = {}
        self.cut = {}

    async def run(self, delay_s, until):
        await asyncio.sleep(delay_s)
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(
                    *self.node.callers_address
                )
            except OSError:
                await asyncio.sleep(0.1)
                continue
            is_closing = False
            while not is_closing and time.monotonic() < until:
                is_closing = await self.ask(
                    reader, writer, f'/stock/item?work={WORK_MS}'
                )
            writer.close()

    async def ask(self, reader, writer, path):
        """Send a request; return whether the connection ends after it."""
        request_id = h.next_id(self.name)
        self.sent[request_id] = time.monotonic()
        self.record(f'client {self.name}: sends {request_id} {path}')
        try:
            writer.write(h.build_request(request_id, path, DEADLINE_MS))
            first, headers, _ = await h.read_message(reader)
        except (OSError, asyncio.IncompleteReadError) as error:
            self.cut[request_id] = time.monotonic()
            self.record(
                f'client {self.name}: no answer to {request_id}, the '
                f'connection has ended ({type(error).__name__})'
            )
            return True
        self.answers[request_id] = int(first.split()[1])
        self.record(f'client {self.name}: {first.split()[1]} to {request_id}')
        return headers.get('connection', '').lower() == 'close'

    async def ask_once(self, path):
        reader, writer = await asyncio.open_connection(
            *self.node.callers_address
        )
        await self.ask(reader, writer, path)
        writer.close()


async def play(record, has_trouble):
    # The only node of zone-a is stopped: fewer than half of its nodes are in,
    # so the platform does not take its clients away.
    fleet = h.Fleet(
        record,
        [('desk', 'zone-a'), ('stock', 'zone-b'), ('stock', 'zone-c')],
    )
    configuration = h.build_configuration(
        7,
        {
            'r-desk': h.build_route(
                '/desk/', 'desk', 'idempotent', DEADLINE_MS
            ),
            'r-stock': h.build_route(
                '/stock/', 'stock', 'idempotent', DEADLINE_MS
            ),
        },
        ['desk', 'stock'],
    )
    try:
        await fleet.start(configuration)
        await asyncio.sleep(4)
        node = fleet.nodes[0]
        clients = [Client(record, node, f'c{i}') for i in range(CLIENTS)]
        until = time.monotonic() + RUN_S
        # The clients do not start at the same time, so that at any moment some
        # of them send.
        tasks = [
            asyncio.ensure_future(
                one.run(number * WORK_MS / 1000 / CLIENTS, until)
            )
            for number, one in enumerate(clients)
        ]
        await asyncio.sleep(1.9)
        long_client = Client(record, node, 'long')
        tasks.append(
            asyncio.ensure_future(
                long_client.ask_once(f'/desk/report?work={LONG_WORK_MS}')
            )
        )
        await asyncio.sleep(0.1)
        termed_at = time.monotonic()
        if has_trouble:
            node.signal(signal.SIGTERM)
            await asyncio.sleep(6)
            if node.process.returncode is None:
                node.signal(signal.SIGKILL)
        await asyncio.wait(tasks, timeout=until - time.monotonic() + 3)
        for task in tasks:
            task.cancel()
        passed_on = {
            request_id
            for server in fleet.servers
            for _, request_id in server.runs
        }
        answered = sum(
            status == 200 for one in clients for status in one.answers.values()
        )
        record(f'{answered} requests answered with 200')
        if answered < 20:
            raise h.CannotRun('too few requests were served')
        broken = []
        for one in clients:
            for request_id, cut_at in one.cut.items():
                sent_s = one.sent[request_id] - termed_at
                cut_s = cut_at - termed_at
                # Excused are requests sent up to 3 s after the SIGTERM at
                # which a server is at work in the last sixth of `graceS`, and
                # what ends later than 1 s after `graceS`.
                if request_id in passed_on and sent_s > 3 and cut_s < 7:
                    broken.append(
                        f'LOST: {request_id}, sent {sent_s:.3f} s after the '
                        'SIGTERM and passed on to a server, has no answer; its '
                        f'connection ended {cut_s - sent_s:.3f} s later'
                    )
        return broken
    finally:
        await fleet.stop()


h.run(HERE, play)
