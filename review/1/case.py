# flake8: noqa
"""Kill a node beside a server that leaves; an old heartbeat arrives late."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))
import harness as h  # noqa: E402

DRAIN_S = 2.0
DOWN_S = 0.5
STABLE_S = 3.0
LATE_S = 6.0
RUN_S = 14


async def send_requests(record, node, until, sent):
    """Send a request every 20 ms, each on a connection of its own."""

    async def ask(request_id):
        reader, writer = await asyncio.open_connection(*node.callers_address)
        writer.write(h.build_request(request_id, '/stock/item?work=5'))
        first, _, _ = await h.read_message(reader)
        record(f'client: {first.split()[1]} to {request_id}')
        writer.close()

    tasks = []
    while time.monotonic() < until:
        request_id = h.next_id('c')
        sent[request_id] = time.monotonic()
        tasks.append(asyncio.ensure_future(ask(request_id)))
        await asyncio.sleep(0.02)
    await asyncio.wait(tasks, timeout=3)


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
        front, node, _ = fleet.nodes
        server = fleet.servers[1]
        sent = {}
        until = time.monotonic() + RUN_S
        load = asyncio.ensure_future(send_requests(record, front, until, sent))
        await asyncio.sleep(1.5)
        if not server.runs:
            raise h.CannotRun('the server got no requests')
        # The server leaves: it sends DELETE, serves on for a while and exits.
        server.stop_beats()
        late_beat = server.describe()
        if not has_trouble:
            await server.send_beat(late_beat)
            record('heartbeat in time')
        if not await server.tell('DELETE'):
            raise h.CannotRun('the departure was not acknowledged')
        acknowledged_at = time.monotonic()
        server.state = 'draining'
        record(f'server {server.instance}: departure acknowledged')
        if has_trouble:
            await asyncio.sleep(0.2)
            await node.kill()
            await asyncio.sleep(DOWN_S)
            await node.start()
            started_at = time.monotonic()
            await asyncio.sleep(acknowledged_at + LATE_S - time.monotonic())
            accepted = await server.send_beat(late_beat)
            record(
                f'late heartbeat, sequence {late_beat["sequence"]}: '
                + ('acknowledged' if accepted else 'not acknowledged')
            )
        else:
            started_at = acknowledged_at
        await load
        broken = []
        for ran_at, request_id in server.runs:
            after_s = ran_at - acknowledged_at
            in_touch = not has_trouble or ran_at > started_at + STABLE_S
            if after_s > DRAIN_S and in_touch:
                broken.append(
                    f'DRAIN: {request_id} reached {server.instance} '
                    f'{after_s:.3f} s after its departure was acknowledged'
                )
        return broken
    finally:
        await fleet.stop()


h.run(HERE, play)
