"""Send calls with open-loop Poisson arrivals and judge every answer."""

import json
import random
import time

import anyio

from limpetshore.errors import ConnectError, TransportError
from limpetshore.settings import parse_address
from limpetshore.transport.http_client import HttpPool


class Tally:
    """Count what came of the calls of one plan."""

    def __init__(self):
        """Start at zero."""
        self.sent = 0
        self.whole = 0
        self.wrong = 0
        self.broken = 0
        self.refused = {}
        self.latencies_ms = []
        self.not_run_ids = []
        self.whole_ids = []
        self.events = []
        self.outcomes = []
        self.started = time.monotonic()

    def report(self):
        """Return the figures."""
        ordered = sorted(self.latencies_ms)

        def at(share):
            if not ordered:
                return None
            return round(
                ordered[min(len(ordered) - 1, int(len(ordered) * share))], 3
            )

        return {
            'sent': self.sent,
            'whole': self.whole,
            'wrong': self.wrong,
            'broken': self.broken,
            'refused': self.refused,
            'p50_ms': at(0.5),
            'p90_ms': at(0.9),
            'p99_ms': at(0.99),
            'p999_ms': at(0.999),
            'max_ms': at(1),
        }


async def send_load(plan):
    """Send calls as a plan says and return the report.

    The plan: `targets` (addresses), `rate`, `seconds`, `seed`, `path`,
    `headers`, `size`, `timeout_s`, `ids` (send a request id with each call),
    `move_s` (send all to one target, the next one after so many seconds),
    `callers` (rows of name, key and weight, one drawn for each call),
    `tries` (send again at once after a failure), `surges` (rows of start,
    end and factor on the rate), all times in seconds from the start.
    """
    rng = random.Random(plan.get('seed', 1))
    pools = [HttpPool(parse_address(target), 20) for target in plan['targets']]
    tally = Tally()
    started = time.monotonic()
    end = started + plan['seconds']
    due = started
    async with anyio.create_task_group() as tasks:
        while True:
            due += rng.expovariate(rate_at(plan, due - started))
            if due > end:
                break
            await anyio.sleep(max(0, due - time.monotonic()))
            tally.sent += 1
            pool = rng.choice(pools)
            if plan.get('move_s'):
                turn = int(time.monotonic() / plan['move_s'])
                pool = pools[turn % len(pools)]
            caller = draw_caller(plan, rng, due - started)
            tasks.start_soon(
                send_until_whole,
                pool,
                plan,
                tally,
                due,
                caller,
            )
    report = tally.report()
    if 'deadline_s' in plan:
        report['outcomes'] = tally.outcomes
    if plan.get('keep_ids'):
        report['not_run_ids'] = tally.not_run_ids
        report['whole_ids'] = tally.whole_ids
        report['events'] = tally.events
    return report


def rate_at(plan, second):
    """Return the rate at a time of the plan."""
    rate = plan['rate']
    for start, end, factor in plan.get('surges', ()):
        if start <= second < end:
            rate *= factor
    return rate


def draw_caller(plan, rng, second):
    """Return name and key of the caller of the next call."""
    rows = plan.get('callers')
    if not rows:
        return None
    weights = [row[2] for row in rows]
    for start, end, name, factor in plan.get('greed', ()):
        if start <= second < end:
            weights = [
                weight * (factor if row[0] == name else 1)
                for row, weight in zip(rows, weights, strict=True)
            ]
    return rng.choices(rows, weights)[0]


async def send_until_whole(pool, plan, tally, due, caller):
    """Send one call, again at once while it fails and tries are left."""
    whole_before = None
    for _ in range(plan.get('tries', 1)):
        whole_before = await send_one(pool, plan, tally, due, caller)
        if whole_before:
            break
    took = time.monotonic() - due
    if 'deadline_s' in plan:
        is_good = bool(whole_before) and took <= plan['deadline_s']
        name = caller[0] if caller else ''
        tally.outcomes.append((due - tally.started, name, is_good))


async def send_one(pool, plan, tally, due, caller):
    """Send one call and judge its answer; latency counts from its due time."""
    number = tally.sent
    echo = f'{plan.get("seed", 1)}-{number}-{random.getrandbits(40):x}'
    request_id = f'{int(time.time() * 1000)}-{echo.replace("-", "x"):0>12}'
    headers = [(b'host', b'limpetshore'), (b'x-echo', echo.encode())]
    for name, value in plan.get('headers', {}).items():
        headers.append((name.encode(), value.encode()))
    if caller:
        headers.append((b'authorization', f'Bearer {caller[1]}'.encode()))
    if plan.get('size'):
        headers.append((b'x-size', str(plan['size']).encode()))
    if plan.get('ids'):
        headers.append((b'x-request-id', request_id.encode()))
    body = b'b' * plan.get('body', 0)
    headers.append((b'content-length', str(len(body)).encode()))
    connection = None
    asked_at = time.time()
    try:
        with anyio.fail_after(plan.get('timeout_s', 10)):
            connection = await pool.acquire()
            await connection.send_head(
                b'POST',
                plan['path'].encode(),
                headers,
                body,
            )
            head = await connection.read_head()
            content = await connection.read_all()
    except (ConnectError, TransportError, TimeoutError) as error:
        tally.broken += 1
        kind = type(error).__name__
        tally.refused[kind] = tally.refused.get(kind, 0) + 1
        return False
    finally:
        if connection:
            pool.release(connection)
    is_rate = dict(head.headers).get(b'x-limpetshore-reason', b'')
    if head.status == 200 or not is_rate.startswith(b'rate'):
        answered = 'admitted'
        if head.status != 200:
            answered = 'failed'
        tally.events.append((asked_at, time.time(), answered))
    else:
        tally.events.append((asked_at, time.time(), 'refused'))
    judge(head, content, echo, request_id, tally, plan)
    tally.latencies_ms.append((time.monotonic() - due) * 1000)
    return head.status == 200


def judge(head, content, echo, request_id, tally, plan):
    """Count an answer as whole, wrong or refused."""
    if head.status != 200:
        answer = dict(head.headers)
        reason = answer.get(b'x-limpetshore-reason', b'none').decode()
        verdict = answer.get(b'x-limpetshore-verdict', b'none').decode()
        kind = f'{head.status} {reason} {verdict}'
        tally.refused[kind] = tally.refused.get(kind, 0) + 1
        if verdict == 'not-run':
            tally.not_run_ids.append(request_id)
        return
    size = plan.get('size', 0)
    own = json.loads(content.rstrip(b'.'))
    if own['id'] != echo or len(content) < size:
        tally.wrong += 1
        return
    tally.whole += 1
    tally.whole_ids.append(request_id)
