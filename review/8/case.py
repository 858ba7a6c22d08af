# flake8: noqa
"""Let one server answer every 20th request with a body that has no end."""

import asyncio
import os
import signal
import sys
import time
import traceback
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))

from small_site import (  # noqa: E402
    Site,
    build_configuration,
    build_route,
    request,
    write_record,
)

IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'
TIMEOUTS_S = {'/stock/': 5.0, '/front/': 0.8}
SLACK_S = 0.5
TROUBLE_AT_S, TROUBLE_FOR_S, LOAD_FOR_S = 3, 5, 14
SEND_PERIOD_S = 0.01
MAX_HARNESS_LAG_S = 0.3
MAX_RUN_S = 100


class Case:
    def __init__(self):
        faulty = ['endless=0.05', 'piece=16', f'for={TROUBLE_FOR_S}']
        self.site = Site(
            [
                ('front', 'zone-a', []),
                ('front', 'zone-b', []),
                ('stock', 'zone-a', faulty),
                ('stock', 'zone-b', []),
            ]
        )
        self.results = []
        self.misses = []
        self.lag_s = 0.0
        self.started = 0.0

    def now(self):
        return time.monotonic() - self.started

    async def send(self, number, machine, prefix, work_ms):
        sent_at = self.now()
        path = f'{prefix}{number}?work={work_ms}'
        status, took_s, _ = await request(
            machine.host, 'GET', path, f'q{number}', 5000, 9
        )
        self.results.append(
            (f'q{number}', machine.name, sent_at, prefix, status, took_s)
        )

    async def watch_lag(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.05)
            self.lag_s = max(self.lag_s, time.monotonic() - before - 0.05)

    async def ask_ready(self, machine):
        asked_at = self.now()
        if not await machine.is_ready():
            self.misses.append((round(asked_at, 1), machine.name))

    async def ask_all_ready(self):
        while True:
            for machine in self.site.machines:
                asyncio.ensure_future(self.ask_ready(machine))
            await asyncio.sleep(1)

    async def play(self):
        routes = {
            'stock': build_route('/stock/', 'stock', timeout_ms=5000),
            'front': build_route('/front/', 'front', timeout_ms=800),
        }
        await self.site.start(
            build_configuration('r1', routes, ['front', 'stock'])
        )
        await asyncio.sleep(3)
        self.started = time.monotonic()
        watchers = [
            asyncio.ensure_future(self.watch_lag()),
            asyncio.ensure_future(self.ask_all_ready()),
        ]
        requests = []
        is_begun = not IS_TROUBLED
        while self.now() < LOAD_FOR_S:
            if not is_begun and self.now() >= TROUBLE_AT_S:
                is_begun = True
                self.site.machines[2].server.send_signal(signal.SIGUSR1)
            number = len(requests)
            machine = self.site.machines[number % 4]
            prefix = '/front/' if number // 4 % 2 else '/stock/'
            # Some requests outlast the time of their route in any case.
            work_ms = 1500 if prefix == '/front/' and number % 25 == 0 else 20
            requests.append(
                asyncio.ensure_future(
                    self.send(number, machine, prefix, work_ms)
                )
            )
            await asyncio.sleep(SEND_PERIOD_S)
        await asyncio.gather(*requests)
        for watcher in watchers:
            watcher.cancel()

    def judge(self):
        log = (self.site.folder / 'server-node-2.log').read_text().splitlines()
        endless = {
            line.split()[1] for line in log if line.startswith('endless')
        }
        counted = [one for one in self.results if one[0] not in endless]
        overdue = [one for one in counted if one[5] > TIMEOUTS_S[one[3]]]
        late = [one for one in overdue if one[5] > TIMEOUTS_S[one[3]] + SLACK_S]
        is_broken = len(late) > len(overdue) / 2
        lines = [
            f'sent: {len(self.results)}, of these answered without end: {len(endless)}',
            f'unanswered at the timeout of their route: {len(overdue)}',
            f'unanswered half a second later: {len(late)}',
            f'of these on the route of the other service: '
            f'{sum(one[3] == "/front/" for one in late)}',
            f'longest wait: {max(one[5] for one in counted):.2f} s',
            f'misses of the readiness check: {self.misses}',
            f'largest delay of this program: {self.lag_s:.3f} s',
            'broken' if is_broken else 'held',
            'id, node, sent at, route, status (0: no whole answer), seconds:',
        ]
        lines += sorted(self.results, key=lambda one: one[2])
        write_record(FOLDER, lines)
        print('\n'.join(lines[:8]))
        if self.lag_s > MAX_HARNESS_LAG_S:
            return 2
        return 1 if is_broken else 0


async def main():
    case = Case()
    try:
        async with asyncio.timeout(MAX_RUN_S):
            await case.play()
        return case.judge()
    except Exception:
        traceback.print_exc()
        return 2
    finally:
        await case.site.stop()


sys.exit(asyncio.run(main()))
