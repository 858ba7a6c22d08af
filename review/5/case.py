# flake8: noqa
"""Stop a node with SIGTERM while clients pipeline idempotent requests."""

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))
import harness as h  # noqa: E402

CLIENTS = 10
PIPELINED = 4
WORK_MS = 250
RUN_S = 8
TERM_AT_S = 3


class Client:
    """Keep a connection to one node; send further requests before answers."""

    def __init__(self, record, node, name):
        self.record = record
        self.node = node
        self.name = name
        # Time of sending, by request id, and what became of it.
        self.sent = {}
        self.answers = {}
        self.cut = {}

    async def run(self, until):
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(
                    *self.node.callers_address
                )
            except OSError:
                await asyncio.sleep(0.2)
                continue
            waiting = []
            try:
                await self.use(reader, writer, waiting, until)
            except (OSError, asyncio.IncompleteReadError) as error:
                for request_id in waiting:
                    self.cut[request_id] = time.monotonic()
                    self.record(
                        f'client {self.name}: no answer to {request_id}, the '
                        f'connection has ended ({type(error).__name__})'
                    )
            writer.close()

    async def use(self, reader, writer, waiting, until):
        is_closing = False
        while waiting or (not is_closing and time.monotonic() < until):
            while not is_closing and len(waiting) < PIPELINED:
                request_id = h.next_id(self.name)
                self.sent[request_id] = time.monotonic()
                self.record(f'client {self.name}: sends {request_id}')
                writer.write(
                    h.build_request(request_id, f'/stock/item?work={WORK_MS}')
                )
                waiting.append(request_id)
            first, headers, body = await h.read_message(reader)
            request_id = waiting.pop(0)
            self.answers[request_id] = int(first.split()[1])
            is_closing = headers.get('connection', '').lower() == 'close'
            self.record(
                f'client {self.name}: {first.split()[1]} to {request_id}'
                + (' with Connection: close' if is_closing else '')
            )


async def play(record, has_trouble):
    fleet = h.Fleet(
        record,
        [('front', 'zone-a'), ('stock', 'zone-a'), ('stock', 'zone-b')],
    )
    configuration = h.build_configuration(
        7,
        {'r-stock': h.build_route('/stock/', 'stock', 'idempotent', 5000)},
        ['front', 'stock'],
    )
    try:
        await fleet.start(configuration)
        await asyncio.sleep(4)
        node = fleet.nodes[0]
        clients = [Client(record, node, f'c{i}') for i in range(CLIENTS)]
        until = time.monotonic() + RUN_S
        tasks = [asyncio.ensure_future(one.run(until)) for one in clients]
        await asyncio.sleep(TERM_AT_S)
        termed_at = time.monotonic()
        if has_trouble:
            node.signal(signal.SIGTERM)
        await asyncio.wait(tasks, timeout=RUN_S + 4)
        for task in tasks:
            task.cancel()
        runs = {}
        for server in fleet.servers:
            for at, request_id in server.runs:
                runs.setdefault(request_id, at)
        answered = sum(
            status == 200 for one in clients for status in one.answers.values()
        )
        record(f'{answered} requests answered with 200')
        if answered < 100:
            raise h.CannotRun('too few requests were served')
        broken = []
        for one in clients:
            for request_id, cut_at in one.cut.items():
                age_s = cut_at - one.sent[request_id]
                if request_id in runs and age_s < 4.5:
                    broken.append(
                        f'LOST: {request_id} was passed on to a server and '
                        f'has no answer; its connection ended {age_s:.3f} s '
                        f'after it was sent, {cut_at - termed_at:.3f} s after '
                        'the SIGTERM'
                    )
        return broken
    finally:
        await fleet.stop()


h.run(HERE, play)
