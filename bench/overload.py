"""Overload a chain of four services and compare overload controls."""

import argparse
import json
import os
import threading
import time

from limpetshore.state.policies import hash_key
from standins.local_fleet import LocalFleet, read_report

CHAIN = ('edge', 'plan', 'stock', 'yard')
DEADLINE_S = 1.0
RATE_PER_S = 50.0
SLOT_COUNT = 4
LAST_SERVICE_SLOT_COUNT = 2
LAST_SERVICE_MS = 40
CUSTOMERS = [
    # Name, percentage of the load, highest importance it may claim.
    ('large-1', 30, 'critical'),
    ('large-2', 25, 'critical'),
    ('small-1', 10, 'critical'),
    ('small-2', 10, 'critical'),
    ('small-3', 10, 'critical'),
    ('small-4', 5, 'critical'),
    ('small-5', 5, 'critical'),
    ('small-6', 5, 'critical'),
]
LAYOUT = [
    {
        'name': f'{service}-{number}',
        'service': service,
        'zone': f'zone-{"ab"[number - 1]}',
        'slots': LAST_SERVICE_SLOT_COUNT if service == 'yard' else 12,
        'service_ms': LAST_SERVICE_MS if service == 'yard' else 2,
    }
    for service in CHAIN
    for number in (1, 2)
]
UNBOUNDED_SLOT_COUNT = 100_000
# Settings by side: no control, fixed limits, and the defaults of limpetshore.
CONTROL_SETTINGS = {
    'none': {
        'admission': {
            'initial_share': 1,
            'probe_s': 86400,
            'queue_per_slot': 100,
            'max_wait_s': 60,
            'level_half_life_s': 0.001,
            'retry_tokens': 10000,
            'retry_earning': 1,
        },
        'backend': {'max_slots': UNBOUNDED_SLOT_COUNT},
    },
    'fixed': {
        'admission': {
            'initial_share': 1,
            'probe_s': 86400,
            'level_half_life_s': 0.001,
        },
    },
    'ours': {},
}
TRIGGERS = ('slow', 'surge', 'retries', 'greedy')


def build_ticket():
    """Return a ticket with eight customers and the routes of the chain."""
    customers = {
        name: {
            'rate': max(2, RATE_PER_S * share / 100 * 1.5),
            'burst': max(4, round(RATE_PER_S * share / 100 * 2)),
            'most_important': importance,
            'key_hashes': [hash_key(f'ls_{name}')],
        }
        for name, share, importance in CUSTOMERS
    }
    routes = {
        service: {
            'path': f'/{service}',
            'service': service,
            'is_repeatable': True,
            'timeout_s': DEADLINE_S,
            'retries': 2,
        }
        for service in CHAIN
    }
    return {
        'number': 1,
        'operator': 'bench',
        'customers': customers,
        'routes': routes,
    }


def build_plan(fleet, trigger, seed, phases):
    """Return the plan of the load for one trigger."""
    before, during, after = phases
    plan = {
        'targets': [
            fleet.callers_address('edge-1'),
            fleet.callers_address('edge-2'),
        ],
        'rate': RATE_PER_S,
        'seconds': before + during + after,
        'seed': seed,
        'path': '/edge',
        'headers': {'x-nested': '/plan>/stock>/yard'},
        'callers': [
            [name, f'ls_{name}', share] for name, share, _ in CUSTOMERS
        ],
        'timeout_s': DEADLINE_S * 2,
        'deadline_s': DEADLINE_S,
        'tries': 3 if trigger == 'retries' else 1,
    }
    if trigger == 'surge':
        plan['surges'] = [[before, before + during, 3]]
    if trigger == 'greedy':
        plan['surges'] = [[before, before + during, 2.2]]
        plan['greed'] = [[before, before + during, 'large-1', 5]]
    return plan


def run_side(side, trigger, seed, phases):
    """Run one trigger against one overload control; return the results."""
    before, during, _ = phases
    layout = LAYOUT
    if side == 'none':
        layout = [
            {**row, 'announced_slots': UNBOUNDED_SLOT_COUNT} for row in LAYOUT
        ]
    with LocalFleet(layout, settings=CONTROL_SETTINGS[side]) as fleet:
        fleet.apply(build_ticket())
        fleet.wait_ready(ticket=True)
        warm_up(fleet, seed)
        calls_before = count_last_service_calls(fleet)
        load = fleet.start_load(build_plan(fleet, trigger, seed, phases))
        if trigger in {'slow', 'retries'}:
            start = threading.Timer(before + 0.4, set_slowdown, (fleet, 5))
            end = threading.Timer(
                before + during + 0.4, set_slowdown, (fleet, 1)
            )
            start.start()
            end.start()
        report = read_report(load)
        time.sleep(0.5)
        return evaluate_run(
            report,
            phases,
            trigger,
            count_last_service_calls(fleet) - calls_before,
        )


def warm_up(fleet, seed):
    """Send some load so that the concurrency limits adapt before the run."""
    plan = build_plan(fleet, 'none', seed + 1, (4, 0, 0))
    fleet.send(plan)


def set_slowdown(fleet, factor):
    """Multiply the service time of the last service of the chain."""
    for name in ('yard-1', 'yard-2'):
        fleet.slow_down(name, factor)


def count_last_service_calls(fleet):
    """Return how many calls reached the last service of the chain."""
    return sum(fleet.counts(name)['calls'] for name in ('yard-1', 'yard-2'))


def evaluate_run(report, phases, trigger, last_service_calls):
    """Return the results of one run.

    `phases` are the seconds before, during and after the trigger. Goodput is
    in requests per second and omits the first second of its phase.
    """
    before, during, after = phases
    rows = report['outcomes']
    end = before + during
    goodput_before = count_good(rows, 1, before) / (before - 1)
    goodput = count_good(rows, before + 1, end) / (during - 1)
    capacity_per_s = 2 * LAST_SERVICE_SLOT_COUNT / LAST_SERVICE_MS * 1000
    if trigger in {'slow', 'retries'}:
        capacity_per_s /= 5
    offered_per_s = count_all(rows, before + 1, end) / (during - 1)
    good_count = sum(is_good for _, _, is_good in rows)
    return {
        'goodput_before': round(goodput_before, 1),
        'goodput': round(goodput, 1),
        'goodput_ratio': round(goodput / min(capacity_per_s, offered_per_s), 3),
        'recovery_s': find_recovery(rows, end, end + after),
        'worst_customer': lowest_served_share(rows, before + 1, end, trigger),
        'worst_customer_after': lowest_served_share(
            rows, end + 3, end + after, ''
        ),
        'amplification': round(last_service_calls / len(rows), 3),
        'wasted_work': round(1 - good_count / max(1, last_service_calls), 3),
        'refused': report['refused'],
    }


def count_good(rows, start, end):
    """Count the requests due in an interval and answered by their deadline."""
    return sum(good for at, _, good in rows if start <= at < end)


def count_all(rows, start, end):
    """Count the requests due in an interval."""
    return sum(start <= at < end for at, _, _ in rows)


def find_recovery(rows, start, end):
    """Return the seconds until 95 % of requests within 1 s are good."""
    at = start
    while at + 1 <= end:
        total = count_all(rows, at, at + 1)
        if total and count_good(rows, at, at + 1) >= 0.95 * total:
            return round(at - start, 2)
        at += 0.1
    return None


def lowest_served_share(rows, start, end, trigger):
    """Return the lowest share of good requests; omit a greedy customer."""
    shares = []
    for name, _, _ in CUSTOMERS:
        if trigger == 'greedy' and name == 'large-1':
            continue
        customer_rows = [row for row in rows if row[1] == name]
        total = count_all(customer_rows, start, end)
        if total:
            shares.append(count_good(customer_rows, start, end) / total)
    return round(min(shares, default=0), 3)


def main():
    """Print one line of JSON for each run, then a summary."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--trigger', action='append', default=[])
    parser.add_argument('--side', action='append', default=[])
    options = parser.parse_args()
    quick = bool(os.environ.get('QUICK'))
    triggers = options.trigger or (('slow',) if quick else TRIGGERS)
    phases = (4, 5, 5) if quick else (6, 10, 12)
    results = {}
    for trigger in triggers:
        for side in options.side or CONTROL_SETTINGS:
            run_results = run_side(side, trigger, options.seed, phases)
            print(
                json.dumps({'trigger': trigger, 'side': side, **run_results}),
                flush=True,
            )
            results.setdefault(trigger, {})[side] = run_results
    print(
        json.dumps(
            {
                'bench': 'overload',
                'seed': options.seed,
                'results': results,
            }
        ),
    )


if __name__ == '__main__':
    main()
