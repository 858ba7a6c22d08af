"""Inject random faults into a fleet and measure rates, tickets and answers."""

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
    CONTROL_PORT,
    PEERS_PORT,
    LocalFleet,
    read_report,
    wait_until,
)

ZONES = ('zone-a', 'zone-b', 'zone-c', 'zone-d')
SERVICES = ('stock', 'yard', 'pour')
CUSTOMERS = {
    # Name: rate and burst of the policy, and the rate of the load.
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


def key_for(customer):
    """Return the key of a customer."""
    return f'ls_bench-{customer}'


def build_ticket(number, extra_rate=0, withdrawn=()):
    """Return a ticket with all customers; one key changes with `number`."""
    customers = {
        name: {
            'rate': rate,
            'burst': burst,
            'key_hashes': [hash_key(key_for(name))],
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


class TicketMonitor:
    """Poll ticket numbers on all nodes and measure how fast tickets spread."""

    def __init__(self, fleet):
        """Create a monitor of a fleet without tickets in progress."""
        self.fleet = fleet
        self.applied_at = {}
        self.max_delay_s = 0.0
        self.reverts = 0
        self.last_numbers = {}
        self.excluded = set()
        self.is_over = False
        self.lock = threading.Lock()

    def run(self):
        """Poll the status of all nodes until `is_over` is set."""
        while not self.is_over:
            for name in NAMES:
                try:
                    number = self.fleet.status(name)['ticket'] or 0
                except (OSError, ValueError):
                    self.last_numbers.pop(name, None)
                    continue
                if number < self.last_numbers.get(name, 0):
                    self.reverts += 1
                self.last_numbers[name] = number
            self.record_delays()
            time.sleep(0.1)

    def record_delays(self):
        """Record the delay of each ticket that is now active on all nodes."""
        with self.lock:
            included = [name for name in NAMES if name not in self.excluded]
            if not all(name in self.last_numbers for name in included):
                return
            lowest = min(self.last_numbers[name] for name in included)
            for number in [n for n in self.applied_at if n <= lowest]:
                delay_s = time.monotonic() - self.applied_at.pop(number)
                self.max_delay_s = max(self.max_delay_s, delay_s)

    def exclude(self, name):
        """Ignore a node while it is down, cut off or paused."""
        with self.lock:
            self.excluded.add(name)
            self.applied_at = {}

    def include(self, name):
        """Include a node that serves again; drop pending measurements."""
        with self.lock:
            self.excluded.discard(name)
            self.applied_at = {}


class FaultInjector:
    """Inject random faults and apply tickets in a seeded order."""

    def __init__(self, fleet, monitor, rng, outage_s):
        """Prepare steps for a fleet without faults."""
        self.fleet = fleet
        self.monitor = monitor
        self.rng = rng
        self.outage_s = outage_s
        self.ticket_number = 1
        self.store_up = True
        self.outages = []
        self.steps = []

    def record_step(self, what):
        """Record a step for the summary."""
        self.steps.append(what)

    def apply_ticket(self):
        """Apply the next ticket, unless the store is down."""
        if not self.store_up:
            return
        self.ticket_number += 1
        self.fleet.apply(build_ticket(self.ticket_number, self.ticket_number))
        with self.monitor.lock:
            self.monitor.applied_at[self.ticket_number] = time.monotonic()

    def crash_node(self):
        """Kill a node and restart it after up to 2 s."""
        name = self.rng.choice(NAMES)
        self.record_step(f'crash {name}')
        self.monitor.exclude(name)
        self.fleet.kill(name)
        time.sleep(self.rng.uniform(0.2, 2))
        self.fleet.start_node(name)
        self.await_recovery(name)

    def pause_node(self):
        """Pause a node, possibly past its fence (2 to 12 s), and resume it."""
        name = self.rng.choice(NAMES)
        self.record_step(f'pause {name}')
        self.monitor.exclude(name)
        self.fleet.signal(name, signal.SIGSTOP)
        time.sleep(self.rng.uniform(2, 12))
        self.fleet.signal(name, signal.SIGCONT)
        self.await_recovery(name)

    def cut_links(self):
        """Break the links of a node to its peers for up to 4 s."""
        name = self.rng.choice(NAMES)
        mode = self.rng.choice(('cut', 'silent', 'refuse'))
        self.record_step(f'{mode} {name}')
        self.monitor.exclude(name)
        for port in (PEERS_PORT, CONTROL_PORT):
            self.fleet.set_fault(mode, name, port)
        time.sleep(self.rng.uniform(0.5, 4))
        for port in (PEERS_PORT, CONTROL_PORT):
            self.fleet.set_fault('pass', name, port)
        self.await_recovery(name)

    def await_recovery(self, name):
        """Wait until a node has a ticket again, then include it."""
        wait_until(lambda: self.fleet.status(name)['ticket'], name, 30)
        time.sleep(2)
        self.monitor.include(name)

    def run_outage(self):
        """Take the store down for `outage_s` while other faults continue."""
        self.record_step(f'store down {self.outage_s} s')
        self.store_up = False
        with self.monitor.lock:
            self.monitor.applied_at = {}
        self.fleet.set_store_fault('down')
        started = time.time()
        end = time.monotonic() + self.outage_s
        while time.monotonic() < end:
            self.run_step(may_change=False)
        self.fleet.set_store_fault('up')
        self.outages.append((started, time.time()))
        self.store_up = True
        time.sleep(2)

    def run_step(self, *, may_change=True):
        """Run one random step; apply no ticket unless `may_change`."""
        steps = [self.crash_node, self.pause_node, self.cut_links]
        if may_change:
            steps += [self.apply_ticket] * 3
        self.rng.choice(steps)()
        time.sleep(self.rng.uniform(0.2, 1.0))


def evaluate_rates(reports, outages):
    """Compare all admissions with a single token bucket per customer.

    A refusal is wrongful if a bucket with the rate and burst of the policy
    had a token for it. For the greedy customer, which exceeds its rate, return
    instead the share by which its admissions fall short of that rate.
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
        counts_by_state = count_wrongful(events, rate, burst, outages)
        within_rate = sum(total for _, total in counts_by_state.values())
        if name == 'greedy':
            admitted = sum(kind == 'admitted' for _, _, kind in events)
            by_customer[name] = round(1 - admitted / within_rate, 5)
            continue
        refused = sum(count for count, _ in counts_by_state.values())
        by_customer[name] = round(refused / within_rate, 5)
        for state, (count, total) in counts_by_state.items():
            wrongful[state][0] += count
            wrongful[state][1] += total
    shares = {
        state: round(count / max(1, total), 5)
        for state, (count, total) in wrongful.items()
    }
    return excess, shares, by_customer


def count_excess(events, rate, burst):
    """Return how many admissions no order of spending tokens permits.

    A token is spent at an unknown time between request and answer: assume as
    late as possible, but earlier if the bucket would overflow before.
    """
    points = []
    for number, (asked, answered, kind) in enumerate(events):
        if kind == 'admitted':
            points += [(asked, 0, number), (answered, 1, number)]
    tokens, last, excess = float(burst), None, 0
    waiting, served = [], set()
    for at, is_end, number in sorted(points):
        if last is not None:
            tokens += (at - last) * rate
        last = at
        while tokens > burst and waiting:
            _, early_number = heapq.heappop(waiting)
            if early_number not in served:
                served.add(early_number)
                tokens -= 1
        tokens = min(tokens, burst)
        if not is_end:
            heapq.heappush(waiting, (events[number][1], number))
        elif number not in served:
            served.add(number)
            tokens -= 1
            if tokens < 0:
                excess += 1
                tokens = 0
    return excess


def count_wrongful(events, rate, burst, outages):
    """Return wrongful refusals and calls within the rate, by store state.

    A call is within the rate if a single bucket had a token for it.
    """
    tokens, last = float(burst), None
    counts_by_state = {'up': [0, 0], 'down': [0, 0]}
    for at, _, kind in events:
        if last is not None:
            tokens = min(burst, tokens + (at - last) * rate)
        last = at
        if tokens >= 1:
            is_down = any(start <= at <= end for start, end in outages)
            state = counts_by_state['down' if is_down else 'up']
            state[1] += 1
            tokens -= 1
            state[0] += kind == 'refused'
    return counts_by_state


def start_loads(fleet, seconds, seed):
    """Start a load sender for each customer; `small` calls a single node."""
    loads = {}
    for number, (name, (_, _, sent)) in enumerate(CUSTOMERS.items()):
        targets = [fleet.callers_address(node) for node in NAMES]
        if name == 'small':
            targets = targets[:1]
        plan = {
            'targets': targets,
            'rate': sent,
            'seconds': seconds,
            'seed': seed * 100 + number,
            'path': '/stock',
            'headers': {
                'authorization': f'Bearer {key_for(name)}',
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
    """Run the bench and print a summary in JSON as the last line."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    is_quick = bool(os.environ.get('QUICK'))
    seconds, outage_s = (24, 8) if is_quick else (150, 60)
    rng = random.Random(options.seed)
    settings = json.loads(os.environ.get('SETTINGS', '{}'))
    with LocalFleet(LAYOUT, settings=settings, use_proxy=True) as fleet:
        fleet.apply(build_ticket(1))
        fleet.wait_ready(ticket=True)
        time.sleep(3)
        idle_results = measure_idle(fleet, 5 if is_quick else 20)
        result = run_schedule(fleet, rng, seconds, outage_s, options.seed)
        result |= idle_results
    print(json.dumps({'bench': 'fleet', 'seed': options.seed, **result}))


def read_resource_use(fleet):
    """Return bytes of control traffic and processor seconds of each node."""
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


def measure_idle(fleet, seconds):
    """Measure control traffic, processor time and store calls without load."""
    before = read_resource_use(fleet)
    calls = sum(fleet.store_counts()['calls'].values())
    started = time.monotonic()
    time.sleep(seconds)
    took = time.monotonic() - started
    after = read_resource_use(fleet)
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
    """Send load, inject faults and evaluate the reports."""
    monitor = TicketMonitor(fleet)
    monitor_thread = threading.Thread(target=monitor.run)
    monitor_thread.start()
    injector = FaultInjector(fleet, monitor, rng, outage_s)
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
                injector.run_outage()
            injector.run_step()
        reports = {name: [read_report(load)] for name, load in loads.items()}
        withdrawal_s = measure_withdrawal(fleet, injector)
    finally:
        monitor.is_over = True
        monitor_thread.join()
    calls = sum(fleet.store_counts()['calls'].values()) - calls
    runs = fleet.count_executions()
    excess, shares, by_customer = evaluate_rates(reports, injector.outages)
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
        'config_in_force_s_max': round(monitor.max_delay_s, 2),
        'tickets': injector.ticket_number,
        'key_withdrawn_s_max': round(withdrawal_s, 2),
        'config_reverts': monitor.reverts,
        'double_runs': sum(count > 1 for count in runs.values()),
        'false_not_run': sum(
            bool(runs.get(key)) for row in rows for key in row['not_run_ids']
        ),
        'wrong_answers': sum(row['wrong'] for row in rows),
        'calls': sum(row['sent'] for row in rows),
        'store_calls_per_s': round(calls / seconds, 2),
        'steps': injector.steps,
    }


def measure_withdrawal(fleet, injector):
    """Return the longest time until all nodes refuse a withdrawn key, in s."""
    from tests.support import call

    longest_s = 0.0
    for _ in range(3):
        withdrawn_key = f'ls_number-{injector.ticket_number}'
        injector.apply_ticket()
        started = time.monotonic()
        for name in NAMES:
            wait_until(
                lambda name=name: (
                    call(
                        fleet.callers_address(name), '/stock', key=withdrawn_key
                    ).reason
                    == 'key_unknown'
                ),
                name,
                30,
            )
        longest_s = max(longest_s, time.monotonic() - started)
    return longest_s


if __name__ == '__main__':
    main()
