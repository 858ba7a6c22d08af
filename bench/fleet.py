"""Break a fleet by a random schedule and measure what the nodes agree on."""

import argparse
import heapq
import itertools
import json
import os
import random
import signal
import threading
import time

from bench.path import cpu_seconds
from limpetshore.state.policies import hash_key
from standins.local_fleet import (
    CONTROL,
    PEERS,
    LocalFleet,
    read_report,
    wait_until,
)

ZONES = ('zone-a', 'zone-b', 'zone-c', 'zone-d')
SERVICES = ('stock', 'yard', 'pour')
CUSTOMERS = {
    # name: rate and burst of the policy, and the rate really sent
    'small': (20, 20, 14),
    'moving': (40, 20, 30),
    'large': (80, 60, 60),
    'greedy': (30, 30, 150),
}
LAYOUT = [
    {'name': f'{service}-{zone[-1]}', 'service': service, 'zone': zone}
    for service, zone in itertools.product(SERVICES, ZONES)
]
NAMES = [row['name'] for row in LAYOUT]
CHANGE_PERIOD_S = 4


def key_of(customer):
    """Return the key of a customer."""
    return f'ls_bench-{customer}'


def build_ticket(number, extra_rate=0, withdrawn=()):
    """Return a ticket with all customers; key of the number comes and goes."""
    customers = {
        name: {
            'rate': rate,
            'burst': burst,
            'key_hashes': [hash_key(key_of(name))],
        }
        for name, (rate, burst, _) in CUSTOMERS.items()
    }
    customers['changing'] = {
        'rate': 1000 + extra_rate,
        'burst': 1000,
        'key_hashes': [hash_key(f'ls_number-{number}')],
    }
    routes = {
        service: {'path': f'/{service}', 'service': service, 'timeout_s': 3}
        for service in SERVICES
    }
    return {
        'number': number,
        'operator': 'bench',
        'customers': customers,
        'routes': routes,
    }


class Watch:
    """Follow ticket numbers on all nodes and time how fast they spread."""

    def __init__(self, fleet):
        """Start without tickets."""
        self.fleet = fleet
        self.applied = {}
        self.worst_s = 0.0
        self.reverts = 0
        self.last = {}
        self.excused = set()
        self.is_over = False
        self.lock = threading.Lock()

    def run(self):
        """Poll the status of all nodes until told to end."""
        while not self.is_over:
            for name in NAMES:
                try:
                    number = self.fleet.status(name)['ticket'] or 0
                except (OSError, ValueError):
                    self.last.pop(name, None)
                    continue
                if number < self.last.get(name, 0):
                    self.reverts += 1
                self.last[name] = number
            self.judge()
            time.sleep(0.1)

    def judge(self):
        """Take the time of each ticket that is now in force everywhere."""
        with self.lock:
            waited_for = [name for name in NAMES if name not in self.excused]
            if not all(name in self.last for name in waited_for):
                return
            lowest = min(self.last[name] for name in waited_for)
            for number in [n for n in self.applied if n <= lowest]:
                took = time.monotonic() - self.applied.pop(number)
                self.worst_s = max(self.worst_s, took)

    def excuse(self, name):
        """Leave a node out while it is down, cut off or paused."""
        with self.lock:
            self.excused.add(name)
            self.applied = {}

    def expect(self, name):
        """Count a node again."""
        with self.lock:
            self.excused.discard(name)
            self.applied = {}


class Schedule:
    """Take random steps against the fleet, by a seed."""

    def __init__(self, fleet, watch, rng, outage_s):
        """Start with a sound fleet."""
        self.fleet = fleet
        self.watch = watch
        self.rng = rng
        self.outage_s = outage_s
        self.number = 1
        self.store_up = True
        self.outages = []
        self.log = []

    def note(self, what):
        """Remember a step for the last line."""
        self.log.append(what)

    def change(self):
        """Apply a ticket; sometimes two operators race for its number."""
        if not self.store_up:
            return
        self.number += 1
        self.fleet.apply(build_ticket(self.number, self.number))
        with self.watch.lock:
            self.watch.applied[self.number] = time.monotonic()

    def crash(self):
        """Kill a node and start it again."""
        name = self.rng.choice(NAMES)
        self.note(f'crash {name}')
        self.watch.excuse(name)
        self.fleet.kill(name)
        time.sleep(self.rng.uniform(0.2, 2))
        self.fleet.start_node(name)
        self.recover(name)

    def pause(self):
        """Stop a node past its fences and continue it."""
        name = self.rng.choice(NAMES)
        self.note(f'pause {name}')
        self.watch.excuse(name)
        self.fleet.signal(name, signal.SIGSTOP)
        time.sleep(self.rng.uniform(2, 12))
        self.fleet.signal(name, signal.SIGCONT)
        self.recover(name)

    def cut(self):
        """Cut the links of a node for a while."""
        name = self.rng.choice(NAMES)
        mode = self.rng.choice(('cut', 'silent', 'refuse'))
        self.note(f'{mode} {name}')
        self.watch.excuse(name)
        for port in (PEERS, CONTROL):
            self.fleet.set_fault(mode, name, port)
        time.sleep(self.rng.uniform(0.5, 4))
        for port in (PEERS, CONTROL):
            self.fleet.set_fault('pass', name, port)
        self.recover(name)

    def recover(self, name):
        """Wait until a node serves again, then count it again."""
        wait_until(lambda: self.fleet.status(name)['ticket'], name, 30)
        time.sleep(2)
        self.watch.expect(name)

    def outage(self):
        """Take the store down for long."""
        self.note(f'store down {self.outage_s} s')
        self.store_up = False
        with self.watch.lock:
            self.watch.applied = {}
        self.fleet.set_store('down')
        started = time.time()
        end = time.monotonic() + self.outage_s
        while time.monotonic() < end:
            self.step(may_change=False)
        self.fleet.set_store('up')
        self.outages.append((started, time.time()))
        self.store_up = True
        time.sleep(2)

    def step(self, *, may_change=True):
        """Take one random step."""
        steps = [self.crash, self.pause, self.cut]
        if may_change:
            steps += [self.change] * 3
        self.rng.choice(steps)()
        time.sleep(self.rng.uniform(0.2, 1.0))


def judge_rates(reports, outages):
    """Compare all admissions with one bucket per customer.

    A refusal is wrongful when the bucket of the policy had a token for it.
    The greedy customer is over its rate, so that there it is only told how
    much less than its rate it got.
    """
    excess = {}
    wrongful = {'up': [0, 0], 'down': [0, 0]}
    by_customer = {}
    for name, (rate, burst, _) in CUSTOMERS.items():
        events = sorted(
            tuple(event)
            for report in reports[name]
            for event in report['events']
        )
        excess[name] = count_excess(events, rate, burst)
        counted = count_wrongful(events, rate, burst, outages)
        inside = sum(total for _, total in counted.values())
        if name == 'greedy':
            admitted = sum(kind == 'admitted' for _, _, kind in events)
            by_customer[name] = round(1 - admitted / inside, 5)
            continue
        refused = sum(count for count, _ in counted.values())
        by_customer[name] = round(refused / inside, 5)
        for state, (count, total) in counted.items():
            wrongful[state][0] += count
            wrongful[state][1] += total
    shares = {
        state: round(count / max(1, total), 5)
        for state, (count, total) in wrongful.items()
    }
    return excess, shares, by_customer


def count_excess(events, rate, burst):
    """Return how many admissions no order of spending can explain.

    Each token was spent some time between asking and answer: as late as
    possible, unless the bucket would overflow meanwhile.
    """
    points = []
    for number, (asked, answered, kind) in enumerate(events):
        if kind == 'admitted':
            points += [(asked, 0, number), (answered, 1, number)]
    tokens, last, above = float(burst), None, 0
    waiting, served = [], set()
    for at, is_end, number in sorted(points):
        if last is not None:
            tokens += (at - last) * rate
        last = at
        while tokens > burst and waiting:
            _, early = heapq.heappop(waiting)
            if early not in served:
                served.add(early)
                tokens -= 1
        tokens = min(tokens, burst)
        if not is_end:
            heapq.heappush(waiting, (events[number][1], number))
        elif number not in served:
            served.add(number)
            tokens -= 1
            if tokens < 0:
                above += 1
                tokens = 0
    return above


def count_wrongful(events, rate, burst, outages):
    """Return refusals a single bucket would not have made, and all calls.

    They are told apart by whether the store was up.
    """
    tokens, last = float(burst), None
    counted = {'up': [0, 0], 'down': [0, 0]}
    for at, _, kind in events:
        if last is not None:
            tokens = min(burst, tokens + (at - last) * rate)
        last = at
        if tokens >= 1:
            is_down = any(start <= at <= end for start, end in outages)
            state = counted['down' if is_down else 'up']
            state[1] += 1
            tokens -= 1
            state[0] += kind == 'refused'
    return counted


def start_loads(fleet, seconds, seed):
    """Start a load for each customer over its entry nodes."""
    loads = {}
    for number, (name, (_, _, sent)) in enumerate(CUSTOMERS.items()):
        targets = [fleet.callers(node) for node in NAMES]
        if name == 'small':
            targets = targets[:1]
        plan = {
            'targets': targets,
            'rate': sent,
            'seconds': seconds,
            'seed': seed * 100 + number,
            'path': '/stock',
            'headers': {
                'authorization': f'Bearer {key_of(name)}',
                'x-work-ms': '2',
            },
            'ids': True,
            'keep_ids': True,
            'keep_events': True,
            'timeout_s': 8,
            'move_s': 1 if name == 'moving' else 0,
        }
        loads[name] = fleet.start_load(plan)
    return loads


def main():
    """Print a summary as the last line."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    quick = bool(os.environ.get('QUICK'))
    seconds, outage_s = (24, 8) if quick else (150, 60)
    rng = random.Random(options.seed)
    settings = json.loads(os.environ.get('SETTINGS', '{}'))
    with LocalFleet(LAYOUT, settings=settings, use_proxy=True) as fleet:
        fleet.apply(build_ticket(1))
        fleet.wait_ready(ticket=True)
        time.sleep(3)
        quiet = measure_quiet(fleet, 5 if quick else 20)
        result = run_schedule(fleet, rng, seconds, outage_s, options.seed)
        result |= quiet
    print(json.dumps({'bench': 'fleet', 'seed': options.seed, **result}))


def control_use(fleet):
    """Return control bytes and processor seconds of all nodes."""
    used = {}
    for name in NAMES:
        metrics = fleet.metrics(name)
        sent = 'limpetshore_control_bytes_total{direction="sent"}'
        received = 'limpetshore_control_bytes_total{direction="received"}'
        used[name] = (
            metrics.get(sent, 0) + metrics.get(received, 0),
            cpu_seconds(fleet.processes[name]),
        )
    return used


def measure_quiet(fleet, seconds):
    """Measure control traffic and processor time without calls."""
    before = control_use(fleet)
    calls = sum(fleet.store_counts()['calls'].values())
    started = time.monotonic()
    time.sleep(seconds)
    took = time.monotonic() - started
    after = control_use(fleet)
    calls = sum(fleet.store_counts()['calls'].values()) - calls
    return {
        'quiet_control_bytes_per_s': round(
            max((after[name][0] - before[name][0]) / took for name in NAMES)
        ),
        'quiet_cpu_share': round(
            max((after[name][1] - before[name][1]) / took for name in NAMES), 4
        ),
        'quiet_store_calls_per_s': round(calls / took, 2),
    }


def run_schedule(fleet, rng, seconds, outage_s, seed):
    """Send load, break the fleet, and judge what came of it."""
    watch = Watch(fleet)
    follower = threading.Thread(target=watch.run)
    follower.start()
    schedule = Schedule(fleet, watch, rng, outage_s)
    loads = start_loads(fleet, seconds, seed)
    calls = sum(fleet.store_counts()['calls'].values())
    end = time.monotonic() + seconds
    try:
        time.sleep(2)
        outage_at = end - seconds * 0.8
        had_outage = False
        while time.monotonic() < end - 4:
            if not had_outage and time.monotonic() > outage_at:
                had_outage = True
                schedule.outage()
            schedule.step()
        reports = {name: [read_report(load)] for name, load in loads.items()}
        key_s = measure_withdrawal(fleet, schedule)
    finally:
        watch.is_over = True
        follower.join()
    calls = sum(fleet.store_counts()['calls'].values()) - calls
    runs = fleet.runs()
    excess, shares, by_customer = judge_rates(reports, schedule.outages)
    rows = [row for rows in reports.values() for row in rows]
    return {
        'excess': sum(excess.values()),
        'excess_by_customer': excess,
        'wrongful_refusals': shares['up'],
        'wrongful_refusals_store_down': shares['down'],
        'wrongful_by_customer': by_customer,
        'refused': {
            name: report[0]['refused'] for name, report in reports.items()
        },
        'config_in_force_s_max': round(watch.worst_s, 2),
        'tickets': schedule.number,
        'key_withdrawn_s_max': round(key_s, 2),
        'config_reverts': watch.reverts,
        'double_runs': sum(count > 1 for count in runs.values()),
        'false_not_run': sum(
            bool(runs.get(key)) for row in rows for key in row['not_run_ids']
        ),
        'wrong_answers': sum(row['wrong'] for row in rows),
        'calls': sum(row['sent'] for row in rows),
        'store_calls_per_s': round(calls / seconds, 2),
        'steps': schedule.log,
    }


def measure_withdrawal(fleet, schedule):
    """Withdraw keys and time until every node refuses them."""
    from tests.support import call

    worst = 0.0
    for _ in range(3):
        old = f'ls_number-{schedule.number}'
        schedule.change()
        started = time.monotonic()
        for name in NAMES:
            wait_until(
                lambda name=name: (
                    call(fleet.callers(name), '/stock', key=old).reason
                    == 'key_unknown'
                ),
                name,
                30,
            )
        worst = max(worst, time.monotonic() - started)
    return worst


if __name__ == '__main__':
    main()
