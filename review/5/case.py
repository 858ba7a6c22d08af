# flake8: noqa
"""Kill most nodes at once; the operator then drops a route."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))
import harness as h  # noqa: E402

DOWN_S = 2.0
APPLY_S = h.BOUNDS['configApplyMs'] / 1000
RUN_S = 8
NODES = 17
SURVIVORS = 2
STORM = 8
STORM_GAP_S = 0.33
SPREAD_S = 0.1


async def send_requests(record, node, until, sent):
    """Send a request every 20 ms, each on a connection of its own."""

    async def ask(request_id):
        try:
            reader, writer = await asyncio.open_connection(
                *node.callers_address
            )
            sent[request_id] = time.monotonic()
            writer.write(h.build_request(request_id, '/promo/item?work=5'))
            first, _, _ = await h.read_message(reader)
        except (OSError, asyncio.IncompleteReadError):
            record(f'client: no answer to {request_id}')
            return
        record(f'client: {first.split()[1]} to {request_id}')
        writer.close()

    tasks = []
    while time.monotonic() < until:
        tasks.append(asyncio.ensure_future(ask(h.next_id('c'))))
        await asyncio.sleep(0.02)
    await asyncio.wait(tasks, timeout=4)


def find_survivors(fleet):
    """Return nodes that have not watched the store in the last 3 s."""
    found = []
    for node in fleet.nodes:
        watched_at = fleet.store.watched_at.get(node.store_address[0], 0)
        if watched_at < time.monotonic() - 3:
            found.append(node)
    if len(found) < SURVIVORS:
        raise h.CannotRun('too many nodes watch the store')
    return found[:SURVIVORS]


async def play(record, has_trouble):
    zones = ['zone-a', 'zone-b', 'zone-c', 'zone-d']
    fleet = h.Fleet(
        record, [('stock', zones[index % 4]) for index in range(NODES)]
    )
    stock = h.build_route('/stock/', 'stock', 'idempotent', 5000)
    promo = h.build_route('/promo/', 'stock', 'idempotent', 5000)
    routes = {'r-stock': stock, 'r-promo': promo}

    async def change(version, names):
        await fleet.store.write(
            ('config', 'main'),
            h.build_configuration(
                version, {name: routes[name] for name in names}, ['stock']
            ),
        )
        record(f'version {version} acknowledged: {", ".join(names)}')
        return time.monotonic()

    try:
        await fleet.start(
            h.build_configuration(7, {'r-promo': promo}, ['stock'])
        )
        await asyncio.sleep(6)
        survivors = find_survivors(fleet)
        node = survivors[0]
        for one in survivors:
            record(f'{one.name} does not watch the store')
        sent = {}
        until = time.monotonic() + RUN_S
        load = asyncio.ensure_future(send_requests(record, node, until, sent))
        await asyncio.sleep(2)
        # A storm of configurations, of which the last but one and the last
        # lie before and after the loss of the nodes.
        for version in range(9, 9 + STORM):
            await change(version, ['r-stock', 'r-promo'][version % 2 :])
            await asyncio.sleep(STORM_GAP_S)
        await change(9 + STORM, ['r-stock', 'r-promo'])
        await asyncio.sleep(SPREAD_S)
        if has_trouble:
            others = [one for one in fleet.nodes if one not in survivors]
            await asyncio.gather(*[other.kill() for other in others])
        dropped_at = await change(11 + STORM, ['r-stock'])
        if has_trouble:
            await asyncio.sleep(DOWN_S)
            await asyncio.gather(*[other.start() for other in others])
        await load
        ran = {
            request_id for one in fleet.servers for _, request_id in one.runs
        }
        if len(ran) < 50:
            raise h.CannotRun('too few requests were served')
        return [
            f'CONFIG: {request_id}, sent {sent_at - dropped_at:.3f} s after the '
            'version that drops its route was acknowledged, was run'
            for request_id, sent_at in sent.items()
            if sent_at > dropped_at + APPLY_S and request_id in ran
        ]
    finally:
        await fleet.stop()


h.run(HERE, play)
