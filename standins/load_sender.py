"""Send calls with open-loop Poisson arrivals and check every answer."""

import json
import random
import time

import anyio

from limpetshore.errors import ConnectError, TransportError
from limpetshore.settings import parse_address
from limpetshore.transport.http_pool import HttpPool


class LoadStats:
    """Count the outcomes of the calls of one plan."""

    def __init__(self):
        """Set all counts to zero."""
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
        """Return the counts and the percentiles of latency in milliseconds."""
        ordered = sorted(self.latencies_ms)

        def percentile(share):
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
            'p50_ms': percentile(0.5),
            'p90_ms': percentile(0.9),
            'p99_ms': percentile(0.99),
            'p999_ms': percentile(0.999),
            'max_ms': percentile(1),
        }


async def send_load(plan):
    """Send calls according to a plan and return the report.

    Keys of the plan: `targets` (addresses), `rate` (calls per second),
    `seconds` (duration), `seed`, `path`, `headers`, `body` and `size` (bytes
    to send, least bytes to receive), `timeout_s` (per try), `ids` (send a
    request id with each call), `keep_ids` (report request ids and events),
    `move_s` (send all calls to one target and switch to the next one after
    so many seconds), `callers` (rows of name, key and weight, one drawn for
    each call), `tries` (most tries of a call, without delay between them),
    `deadline_s` (report for each call whether it succeeded within this time),
    `surges` (rows of start, end and factor on the rate), `greed` (rows of
    start, end, name and factor on the weight of a caller). Times are in
    seconds from the start.
    """
    rng = random.Random(plan.get('seed', 1))
    pools = [HttpPool(parse_address(target), 20) for target in plan['targets']]
    stats = LoadStats()
    started = time.monotonic()
    end = started + plan['seconds']
    due_at = started
    async with anyio.create_task_group() as tasks:
        while True:
            due_at += rng.expovariate(rate_at(plan, due_at - started))
            if due_at > end:
                break
            await anyio.sleep(max(0, due_at - time.monotonic()))
            stats.sent += 1
            pool = rng.choice(pools)
            if plan.get('move_s'):
                turn = int(time.monotonic() / plan['move_s'])
                pool = pools[turn % len(pools)]
            caller = draw_caller(plan, rng, due_at - started)
            tasks.start_soon(
                send_with_retries,
                pool,
                plan,
                stats,
                due_at,
                caller,
            )
    report = stats.report()
    if 'deadline_s' in plan:
        report['outcomes'] = stats.outcomes
    if plan.get('keep_ids'):
        report['not_run_ids'] = stats.not_run_ids
        report['whole_ids'] = stats.whole_ids
        report['events'] = stats.events
    return report


def rate_at(plan, elapsed_s):
    """Return the calls per second at a time of the plan, surges included."""
    rate = plan['rate']
    for start, end, factor in plan.get('surges', ()):
        if start <= elapsed_s < end:
            rate *= factor
    return rate


def draw_caller(plan, rng, elapsed_s):
    """Draw the row of the caller of the next call; None without callers."""
    rows = plan.get('callers')
    if not rows:
        return None
    weights = [row[2] for row in rows]
    for start, end, name, factor in plan.get('greed', ()):
        if start <= elapsed_s < end:
            weights = [
                weight * (factor if row[0] == name else 1)
                for row, weight in zip(rows, weights, strict=True)
            ]
    return rng.choices(rows, weights)[0]


async def send_with_retries(pool, plan, stats, due_at, caller):
    """Send one call; retry at once while it fails and tries are left."""
    succeeded = None
    for _ in range(plan.get('tries', 1)):
        succeeded = await send_one(pool, plan, stats, due_at, caller)
        if succeeded:
            break
    elapsed_s = time.monotonic() - due_at
    if 'deadline_s' in plan:
        is_good = bool(succeeded) and elapsed_s <= plan['deadline_s']
        name = caller[0] if caller else ''
        stats.outcomes.append((due_at - stats.started, name, is_good))


async def send_one(pool, plan, stats, due_at, caller):
    """Send one call and check its answer; measure latency from its due time."""
    number = stats.sent
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
    sent_at = time.time()
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
        stats.broken += 1
        kind = type(error).__name__
        stats.refused[kind] = stats.refused.get(kind, 0) + 1
        return False
    finally:
        if connection:
            pool.release(connection)
    refusal_reason = dict(head.headers).get(b'x-limpetshore-reason', b'')
    if head.status == 200 or not refusal_reason.startswith(b'rate'):
        outcome = 'admitted'
        if head.status != 200:
            outcome = 'failed'
        stats.events.append((sent_at, time.time(), outcome))
    else:
        stats.events.append((sent_at, time.time(), 'refused'))
    count_answer(head, content, echo, request_id, stats, plan)
    stats.latencies_ms.append((time.monotonic() - due_at) * 1000)
    return head.status == 200


def count_answer(head, content, echo, request_id, stats, plan):
    """Count an answer as complete, wrong or refused."""
    if head.status != 200:
        headers = dict(head.headers)
        reason = headers.get(b'x-limpetshore-reason', b'none').decode()
        verdict = headers.get(b'x-limpetshore-verdict', b'none').decode()
        kind = f'{head.status} {reason} {verdict}'
        stats.refused[kind] = stats.refused.get(kind, 0) + 1
        if verdict == 'not-run':
            stats.not_run_ids.append(request_id)
        return
    size = plan.get('size', 0)
    answer = json.loads(content.rstrip(b'.'))
    if answer['id'] != echo or len(content) < size:
        stats.wrong += 1
        return
    stats.whole += 1
    stats.whole_ids.append(request_id)
