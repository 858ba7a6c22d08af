"""Measure the latency that two nodes add to a call, against direct calls."""

import argparse
import json
import os
import time

from standins.local_fleet import BACKEND_PORT, DIRECT, LocalFleet
from tests.builders import KEY, build_ticket_tables

LAYOUT = [
    {'name': 'near-1', 'service': 'yard', 'zone': 'zone-a', 'slots': 100},
    {'name': 'far-1', 'service': 'stock', 'zone': 'zone-a', 'slots': 100},
]
RATE_PER_S = 200
CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def cpu_seconds(process):
    """Return the processor time of a process, user and system, in seconds."""
    with open(f'/proc/{process.pid}/stat') as stat:
        fields = stat.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def memory_mb(process):
    """Return the resident memory of a process in megabytes."""
    with open(f'/proc/{process.pid}/statm') as statm:
        return int(statm.read().split()[1]) * 4096 / 1e6


def measure(fleet, options):
    """Send the same load directly and through two nodes, alternating."""
    plan = {
        'rate': RATE_PER_S,
        'seconds': options.seconds,
        'path': '/stock',
        'size': 1024,
        'body': 1024,
        'headers': {'authorization': f'Bearer {KEY}', 'x-work-ms': '0'},
    }
    direct_address = fleet.address(fleet.host('far-1'), BACKEND_PORT, DIRECT)
    ways = {
        'direct': direct_address,
        'two nodes': fleet.callers_address('near-1'),
    }
    reports = {way: [] for way in ways}
    cpu_s = dict.fromkeys(fleet.processes, 0.0)
    for turn in range(options.turns + 1):
        for way, target in ways.items():
            before = {
                key: cpu_seconds(process)
                for key, process in fleet.processes.items()
            }
            seed = options.seed * 1000 + turn
            report = fleet.send({**plan, 'targets': [target], 'seed': seed})
            if not turn:
                continue  # The first turn is a warm-up.
            reports[way].append(report)
            if way == 'two nodes':
                for key, process in fleet.processes.items():
                    cpu_s[key] += cpu_seconds(process) - before[key]
    return reports, cpu_s


def median(values):
    """Return the median; of an even count, the upper middle value."""
    return sorted(values)[len(values) // 2]


def main():
    """Print one line of JSON for each turn, then a summary."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=8)
    parser.add_argument('--turns', type=int, default=3)
    options = parser.parse_args()
    if os.environ.get('QUICK'):
        options.seconds, options.turns = 4, 2
    with LocalFleet(LAYOUT) as fleet:
        fleet.apply(build_ticket_tables(rate=5000, burst=5000))
        fleet.wait_ready(ticket=True)
        time.sleep(2)
        reports, cpu_s = measure(fleet, options)
        memory = {
            key: round(memory_mb(process), 1)
            for key, process in fleet.processes.items()
        }
    for way, rows in reports.items():
        for row in rows:
            print(json.dumps({'way': way, **row}))
    routed = reports['two nodes']
    pairs = list(zip(reports['direct'], routed, strict=True))
    calls = sum(row['sent'] for row in routed)
    print(
        json.dumps(
            {
                'bench': 'path',
                'seed': options.seed,
                'added_ms_p50': median(
                    [
                        round(row['p50_ms'] - direct['p50_ms'], 3)
                        for direct, row in pairs
                    ]
                ),
                'added_ms_p99': median(
                    [
                        round(row['p99_ms'] - direct['p99_ms'], 3)
                        for direct, row in pairs
                    ]
                ),
                'added_ms_p99_worst_turn': max(
                    round(row['p99_ms'] - direct['p99_ms'], 3)
                    for direct, row in pairs
                ),
                'cpu_ms_per_call': {
                    'ingress': round(cpu_s['near-1'] * 1000 / calls, 3),
                    'guard': round(cpu_s['far-1'] * 1000 / calls, 3),
                },
                'memory_mb': memory,
                'calls': calls,
                'whole_answers': sum(row['whole'] for row in routed),
                'wrong_answers': sum(row['wrong'] for row in routed),
                'refused': [row['refused'] for row in routed],
            }
        ),
    )


if __name__ == '__main__':
    main()
