# flake8: noqa
"""Let a faulty server send bodies that have no end."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))
import harness as h  # noqa: E402

TIMEOUT_MS = 800
DEADLINE_MS = 5000
REQUESTS = 200
SPOILED_EVERY = 10  # one request in so many meets a spoiled answer


async def ask(record, node, request_id, path):
    """Send a request; return the seconds until its final answer, or None.

    The end of the connection counts as a final answer here.
    """
    reader, writer = await asyncio.open_connection(*node.callers_address)
    sent_at = time.monotonic()
    record(f'client: sends {request_id} {path}')
    writer.write(h.build_request(request_id, path, DEADLINE_MS))
    outcome = None
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            first, _, _ = await h.read_message(reader)
            outcome = first.split()[1]
    except TimeoutError:
        record(f'client: no final answer to {request_id} at its deadline')
        return None
    except (OSError, asyncio.IncompleteReadError, ValueError):
        outcome = 'connection ended'
    finally:
        writer.transport.abort()
    took_s = time.monotonic() - sent_at
    record(f'client: {outcome} to {request_id} after {took_s:.3f} s')
    return took_s


async def play(record, has_trouble):
    fleet = h.Fleet(
        record,
        [('front', 'zone-a'), ('stock', 'zone-a'), ('stock', 'zone-b')],
    )
    configuration = h.build_configuration(
        7,
        {
            'r-stock': h.build_route(
                '/stock/', 'stock', 'idempotent', TIMEOUT_MS
            )
        },
        ['front', 'stock'],
    )
    try:
        await fleet.start(configuration)
        await asyncio.sleep(4)
        for server in fleet.servers:
            server.is_faulty = has_trouble
        tasks = []
        for number in range(REQUESTS):
            spoil = '' if number % SPOILED_EVERY else '&spoil=1'
            tasks.append(
                asyncio.ensure_future(
                    ask(
                        record,
                        fleet.nodes[0],
                        h.next_id('c'),
                        f'/stock/item?work=5{spoil}',
                    )
                )
            )
            await asyncio.sleep(0.03)
        times_s = await asyncio.gather(*tasks)
        timeout_s = TIMEOUT_MS / 1000
        open_at_timeout = [
            one for one in times_s if one is None or one > timeout_s
        ]
        late = [
            one
            for one in open_at_timeout
            if one is None or one > timeout_s + 0.5
        ]
        record(
            f'{len(times_s)} requests; {len(open_at_timeout)} unanswered at the '
            f'timeout of the route, {len(late)} half a second later'
        )
        if len(times_s) - len(open_at_timeout) < REQUESTS / 2:
            raise h.CannotRun('too few requests were served')
        # Eight or more, and more than half of those open at the timeout.
        if len(late) < 8 or len(late) * 2 <= len(open_at_timeout):
            return []
        return [
            f'CONFIG: {len(late)} of {len(open_at_timeout)} requests that were '
            'unanswered at timeoutMs have no answer half a second later'
        ]
    finally:
        await fleet.stop()


h.run(HERE, play)
