"""Play several kinds of trouble at once on a fleet like that of a real site.

Run `python -m standins.soak_site --seed 1 --seconds 30 --nodes 17`. It ends
with status 1 and a line for each broken promise. Four services call each
other, four deep. Beside the planned work of `standins.soak`, whole VMs are
restarted, a store turns some nodes away, nodes are paused or killed, a service
gets more requests than it can serve, and configurations move, split, add and
drop routes and keys and change timeouts. `--trouble` selects some of these.
It also knows `roll` (nodes stop in turn, so that stops overlap), `burst` (all
callers at once ask more than the servers of the innermost calls can queue),
`slow` (the servers of a service take longer), `choke` (nodes get processor time
in slices), `hold` (some servers answer no new request), `uneven` (servers
differ in speed, and so do requests) and `manners` (callers use their
connections in several ways).
"""

import argparse
import asyncio
import json
import signal
import subprocess
import sys
import time
from collections import Counter

import anyio

from standins.platform_fleet import (
    KEY,
    PlatformFleet,
    build_configuration,
    build_route,
)
from standins.blocking_caller import BlockingCalls
from standins.site_servers import SERVICES, CrowdedServer, SiteServer
from standins.soak import (
    APPLY_S,
    GRACE_S,
    IN_TOUCH_S,
    MAX_DOWN_S,
    PLAIN,
    ZONES,
    KeptConnection,
    Manner,
    Soak,
)
from standins.soak_clauses import LATE_SHARE
from standins.soak_checks import (
    SiteChecks,
    Version,
    find_prefix,
    find_timeout,
)

TROUBLES = (
    'stop',
    'machine',
    'hangup',
    'change',
    'store',
    'surge',
    'pause',
    'kill',
    'starve',
    'roll',
    'burst',
    'slow',
    'manners',
    'choke',
    'uneven',
    'hold',
)
STORE_REFUSALS = ('503', '429', 'reset', 'silent')
DRAIN_S = 2.0
SLOW_WORK_MS = 2500
# Takes about as long, but begins at once.
SLOW_ANSWER = '/slow/2?work=5&size=400000&framing=chunks&pause=100'
SLOW_TIMEOUTS_MS = (400, 700, 1000)
LAG_PERIOD_S = 0.02
# Of the requests on the split route, over the whole fleet.
SPLIT_PER_S = 150
SPLIT_WEIGHTS = ((90, 10), (50, 50), (60, 40), (75, 25), (30, 70))
MAX_EXTRA_ROUTES = 350
ROLL_GAP_S = (1.0, 1.5)
LONG_WORK_MS = (1000, 3600)
LONG_TIMEOUT_S = 5
BURST_GAP_S = (1.0, 4.0)
BURST_S = (2.0, 5.0)
MAX_STARVED_BEFORE_S = 0.6
CHOKED_SHARE = (0.1, 0.5)
CHOKED_S = (1.0, 5.0)
PAUSE_S = (0.02, 0.15)
SLICE_S = (0.02, 0.1)
SPEEDS = (0.5, 1, 1, 1.5)
# Standard deviation of the logarithm of the time of work.
WORK_SPREAD = 0.5
SLOWED_SERVICES = ('dispatch', 'dispatch', 'stock', 'holds', 'plans')
HOLDING_SERVICES = ('dispatch', 'dispatch', 'plans', 'holds')
MANNERS = (
    PLAIN,
    Manner(is_eager=True),
    Manner(max_wait_s=0.15),
    Manner(segment_bytes=90),
    Manner(is_eager=True, segment_bytes=90, is_gathered=True),
)


class SiteSoak(Soak):
    """Play one seed on a fleet of four services."""

    def __init__(self, seed, seconds, count, troubles, callers):
        """Prepare a fleet of `count` nodes with `callers` callers each."""
        super().__init__(seed, seconds, count, has_kills='kill' in troubles)
        self.troubles = troubles
        self.callers = callers
        names = [one.name for one in SERVICES for _ in range(one.share)]
        layout = [
            (names[index * 7 % len(names)], ZONES[index % 3])
            for index in range(count)
        ]
        server = CrowdedServer if 'burst' in troubles else SiteServer
        self.fleet = PlatformFleet(layout, server_class=server)
        self.versions = []
        self.keys = []
        self.withdrawn = []
        self.moved_to = 'stock'
        self.weights = SPLIT_WEIGHTS[0]
        self.slow_ms = SLOW_TIMEOUTS_MS[0]
        self.extra_routes = 0
        # Who was disturbed, or '' for the store, from when to when.
        self.disturbances = []
        self.max_lag_s = 0
        # Parent id, node and time of each nested call that found no open port.
        self.unconnected = []

    async def run(self):
        """Play the seed; return the broken promises."""
        for node in self.fleet.nodes:
            self.equip_server(node)
        try:
            await self.fleet.start(self.build_configuration())
            self.changed_at = time.monotonic()
            self.note_version()
            await asyncio.sleep(IN_TOUCH_S)
            await self.play()
        finally:
            await self.fleet.stop()
        self.check_outcomes()
        self.check_unconnected()
        self.record.broken += SiteChecks(self).run()
        return self.record.broken

    def check_unconnected(self):
        """Check that a node takes the calls of requests that still run."""
        ended_at = {
            outcome.sent.request_id: outcome.ended_at
            for outcome in self.record.outcomes
        }
        for parent_id, name, at in self.unconnected:
            planned_at = self.record.find_sigterm(name, at, at)
            is_early = planned_at and at < planned_at + LATE_SHARE * GRACE_S
            if is_early and ended_at.get(parent_id, 0) > at:
                self.record.broken.append(
                    f'PORT: {name} takes no call of {parent_id}, which still '
                    f'runs {at - planned_at:.3f} s after the SIGTERM'
                )

    def equip_server(self, node):
        """Let the server beside a node make calls, at a speed of its own."""
        node.server.calls = self.build_caller(node)
        if 'uneven' in self.troubles:
            node.server.speed = self.rng.choice(SPEEDS)
            node.server.spread = WORK_SPREAD

    async def play(self):
        """Run load, probes and troubles beside each other."""
        until = time.monotonic() + self.seconds
        load = [
            KeptConnection(
                self.record, node, f'c{index}n', manner=self.find_manner(node)
            ).run(self.draw_requests, until + GRACE_S)
            for node in self.fleet.nodes
            for index in range(self.callers)
        ]
        for node in self.fleet.nodes:
            load.append(self.send_alone(node, until + GRACE_S))
            load.append(self.send_split(node, until))
            if 'roll' in self.troubles:
                load.append(
                    KeptConnection(self.record, node, 'l').run(
                        self.draw_long, until + GRACE_S
                    )
                )
        probes = [self.probe_routes(node, until) for node in self.fleet.nodes]
        plays = {
            'stop': [self.stop_nodes(until), self.stop_nodes(until)],
            'machine': [self.restart_machines(until)],
            'hangup': [self.hang_up(until)],
            'change': [self.change_configuration(until)],
            'store': [self.refuse_nodes(until)],
            'surge': [self.surge(until)],
            'pause': [self.pause_nodes(until)],
            'kill': [self.kill_nodes(until)],
            'roll': [self.roll_nodes(until)],
            'burst': [self.burst(until)],
            'slow': [self.slow_services(until)],
            'choke': [self.choke_nodes(until)],
            'hold': [self.hold_requests(until)],
        }
        chosen = []
        for name, parts in plays.items():
            if name in self.troubles:
                chosen += parts
            else:
                for part in parts:
                    part.close()
        lag = asyncio.ensure_future(self.measure_lag())
        await asyncio.gather(*load, *probes, *chosen)
        lag.cancel()

    async def measure_lag(self):
        """Record how late this process is, which limits what it can judge."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_PERIOD_S)
            lag_s = time.monotonic() - before - LAG_PERIOD_S
            self.max_lag_s = max(self.max_lag_s, lag_s)
            if lag_s > LAG_PERIOD_S:
                self.lags.append((time.monotonic(), lag_s))

    def build_configuration(self):
        """Return the current configuration."""
        moved = build_route('/move/', self.moved_to)
        split = build_route('/split/', '')
        del split['service']
        split['split'] = [
            {'service': service, 'weight': weight}
            for service, weight in zip(
                ('stock', 'holds'), self.weights, strict=True
            )
        ]
        routes = {
            'stock': build_route('/stock/', 'stock'),
            'hold': build_route(
                '/hold/', 'holds', 'non_idempotent', timeout_ms=4000
            ),
            'draw': build_route('/draw/', 'plans', 'download'),
            'pour': build_route('/pour/', 'dispatch', 'non_idempotent'),
            'ledger': build_route(
                '/ledger/', 'holds', is_open=True, timeout_ms=2500
            ),
            'index': build_route(
                '/index/', 'plans', is_open=True, timeout_ms=2000
            ),
            'roster': build_route(
                '/roster/', 'dispatch', is_open=True, timeout_ms=700
            ),
            'promo': build_route(self.added, 'stock'),
            'moved': moved,
            'split': split,
            'slow': build_route('/slow/', 'plans', timeout_ms=self.slow_ms),
        }
        for index in range(self.extra_routes):
            prefix = f'/extra-{index}/'
            routes[f'extra-{index}'] = build_route(prefix, 'plans')
        configuration = build_configuration(
            self.version, routes, [one.name for one in SERVICES]
        )
        configuration['customers']['tenant-2'] = {
            'keys': list(self.keys),
            'priority': 1,
        }
        return configuration

    def note_version(self):
        """Record what the configuration that was just written allows."""
        self.versions.append(
            Version(
                time.monotonic(),
                self.version,
                self.moved_to,
                self.weights,
                self.slow_ms,
            )
        )

    def draw_requests(self):
        """Draw one request, or several to be pipelined."""
        rng = self.rng
        kind = rng.randrange(100)
        if kind < 40:
            count = rng.choice((1, 1, 1, 2, 4))
            return [('GET', '/stock/1?work=90', 5)] * count
        if kind < 55:
            return [('POST', '/hold/1?work=120', 5)]
        if kind < 63:
            size = rng.choice((6000, 90000, 400000))
            return [('GET', f'/draw/1?work=72&size={size}&framing=chunks', 3)]
        if kind < 70:
            return [('DELETE', '/pour/1?work=72', 1)]
        if kind < 73:
            return [('GET', f'/slow/1?work={SLOW_WORK_MS}', 5)]
        if kind < 76:
            return [('GET', SLOW_ANSWER, 5)]
        return [('GET', '/move/1?work=5', 5)]

    async def send_split(self, node, until):
        """Send requests on the split route at a steady rate."""
        kept = KeptConnection(self.record, node, 'q')
        period_s = len(self.fleet.nodes) / SPLIT_PER_S
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(
                    *node.address(8548)
                )
            except OSError:
                await asyncio.sleep(0.1)
                continue
            is_open = True
            while is_open and time.monotonic() < until:
                await asyncio.sleep(period_s * self.rng.uniform(0.5, 1.5))
                _, is_open = await kept.exchange(
                    reader, writer, [('GET', '/split/1?work=5', 2)]
                )
            writer.transport.abort()

    async def send_alone(self, node, until):
        """Send each request on a connection of its own, with a slow body."""
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))
            kept = KeptConnection(self.record, node, 'f')
            try:
                reader, writer = await asyncio.open_connection(
                    *node.address(8548)
                )
            except OSError:
                continue
            size = self.rng.choice((0, 4000, 200000))
            path = self.rng.choice(('/hold/2?work=120', '/pour/2?work=72'))
            await kept.exchange(
                reader, writer, [('POST', path, 4)], b'.' * size, pause_s=0.02
            )
            writer.transport.abort()

    def find_manner(self, node):
        """Return how the callers at a node use their connections."""
        if 'manners' not in self.troubles:
            return PLAIN
        index = self.fleet.nodes.index(node)
        return MANNERS[index % len(MANNERS)]

    def build_caller(self, node):
        """Return what makes the calls of the server beside a node."""
        connections = []
        manner = self.find_manner(node)
        blocking = BlockingCalls(self.record, node)
        is_blocking = manner is PLAIN and 'manners' in self.troubles

        def note_unconnected(parent_id):
            self.unconnected.append((parent_id, node.name, time.monotonic()))

        async def call_once(parent_id, prefix, deadline):
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                return [504]
            label = f'{parent_id}.'
            if is_blocking:
                path = f'{prefix}1?work=15'
                status = await blocking.call(label, path, left_s)
                if status is None:
                    note_unconnected(parent_id)
                return [status or 0]
            kept = KeptConnection(self.record, node, label, manner=manner)
            try:
                pair = take_open(connections)
                reader, writer = pair or await asyncio.open_connection(
                    *node.address(8548)
                )
            except OSError:
                note_unconnected(parent_id)
                return [0]
            is_open = False
            try:
                statuses, is_open = await kept.exchange(
                    reader, writer, [('GET', f'{prefix}1?work=15', left_s)]
                )
            finally:
                if not is_open:
                    writer.transport.abort()
            if is_open:
                connections.append((reader, writer))
            return statuses

        async def make_calls(parent_id, calls, deadline):
            statuses = []
            if calls.is_concurrent:
                found = await asyncio.gather(
                    *(
                        call_once(parent_id, calls.prefix, deadline)
                        for _ in range(calls.count)
                    )
                )
                return [one[0] for one in found]
            for _ in range(calls.count):
                statuses += await call_once(parent_id, calls.prefix, deadline)
                if statuses[-1] != 200:
                    break
            return statuses

        return make_calls

    async def restart_machines(self, until):
        """Restart whole VMs: the server drains and leaves, then its node."""
        rng = self.rng
        while time.monotonic() < until - GRACE_S:
            await asyncio.sleep(rng.uniform(0.2, 3))
            node = rng.choice(self.fleet.nodes)
            if node in self.stopping:
                continue
            self.stopping.add(node)
            self.disturbances.append(
                [node.name, time.monotonic(), float('inf'), 'machine']
            )
            entry = self.disturbances[-1]
            await self.fleet.end_server(node, DRAIN_S + rng.uniform(0, 2))
            await self.stop_node(node, is_restarted=False)
            await asyncio.sleep(rng.uniform(0, MAX_DOWN_S))
            node.build_server()
            self.equip_server(node)
            await self.fleet.start_server(node)
            await node.start()
            await self.wait_ready(node)
            entry[2] = time.monotonic()
            self.stopping.discard(node)

    async def stop_node(self, node, *, is_restarted=True):
        """Stop a node; take its processor away for moments, if so chosen."""
        if 'starve' not in self.troubles:
            await super().stop_node(node, is_restarted=is_restarted)
            return
        starving = asyncio.ensure_future(self.starve(node.process))
        await asyncio.sleep(self.rng.uniform(0, MAX_STARVED_BEFORE_S))
        await super().stop_node(node, is_restarted=is_restarted)
        await starving

    async def starve(self, process):
        """Give a process no processor time for moments until it ends.

        This counts as load, not as a disruption that excuses anything.
        """
        while process.returncode is None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.1, 0.35))
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
            await asyncio.sleep(self.rng.uniform(0.05, 0.3))

    async def choke_nodes(self, until):
        """Give some nodes processor time only in slices for some seconds.

        This counts as load, not as a disruption that excuses anything.
        """
        rng = self.rng
        while time.monotonic() < until:
            await asyncio.sleep(rng.uniform(0, 2))
            share = rng.uniform(*CHOKED_SHARE)
            chosen = rng.sample(
                self.fleet.nodes, max(1, int(share * len(self.fleet.nodes)))
            )
            end_at = time.monotonic() + rng.uniform(*CHOKED_S)
            await asyncio.gather(*(self.choke(node, end_at) for node in chosen))

    async def choke(self, node, end_at):
        """Let a node run only in slices, also after a restart."""
        rng = self.rng
        while time.monotonic() < end_at:
            process = node.process
            if process.returncode is None:
                process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(*PAUSE_S))
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
            await asyncio.sleep(rng.uniform(*SLICE_S))

    def find_limit_s(self, sent):
        """Return the time that its route or its caller allows a request."""
        return find_timeout(sent, self.versions)

    async def refuse_nodes(self, until):
        """Let the store turn some nodes away for some seconds."""
        rng = self.rng
        while time.monotonic() < until:
            await asyncio.sleep(rng.uniform(0.5, 4))
            share = rng.choice((0.1, 0.35, 0.35, 0.6))
            count = max(1, int(share * len(self.fleet.nodes)))
            chosen = rng.sample(self.fleet.nodes, count)
            refusal = rng.choice(STORE_REFUSALS)
            entry = ['', time.monotonic(), float('inf'), 'store']
            self.disturbances.append(entry)
            for node in chosen:
                node.store_access.refusal = refusal
            await asyncio.sleep(rng.uniform(1, 9))
            for node in chosen:
                node.store_access.refusal = ''
            entry[2] = time.monotonic()

    async def surge(self, until):
        """Send one service more than it can serve for some seconds."""
        rng = self.rng
        while time.monotonic() < until - 3:
            await asyncio.sleep(rng.uniform(1, 6))
            path = rng.choice(
                ('/pour/3?work=300', '/split/3?work=800', '/slow/3?work=600')
            )
            method = 'DELETE' if 'pour' in path else 'GET'
            end_at = min(until, time.monotonic() + rng.uniform(1, 4))
            await asyncio.gather(
                *(
                    KeptConnection(self.record, node, 's').run(
                        lambda: [(method, path, 2)], end_at
                    )
                    for node in rng.sample(
                        self.fleet.nodes, len(self.fleet.nodes) // 2
                    )
                    for _ in range(6)
                )
            )

    async def roll_nodes(self, until):
        """Stop the nodes in turn, without waiting for the one before."""
        rng = self.rng
        waiting = []
        restarts = []
        while time.monotonic() < until - GRACE_S:
            await asyncio.sleep(rng.uniform(*ROLL_GAP_S))
            for _ in range(rng.choice((1, 1, 1, 2))):
                if not waiting:
                    waiting = list(self.fleet.nodes)
                node = waiting.pop(0)
                if node not in self.stopping:
                    restarts.append(
                        asyncio.ensure_future(self.restart_node(node))
                    )
        await asyncio.gather(*restarts)

    def draw_long(self):
        """Draw a request that outlasts the notice of the node it runs at."""
        work_ms = int(self.rng.uniform(*LONG_WORK_MS))
        method, prefix = self.rng.choice((('GET', 'draw'), ('POST', 'hold')))
        return [(method, f'/{prefix}/5?work={work_ms}', LONG_TIMEOUT_S)]

    async def burst(self, until):
        """Let all callers ask several times as much for some seconds."""
        rng = self.rng
        while time.monotonic() < until - 3:
            await asyncio.sleep(rng.uniform(*BURST_GAP_S))
            end_at = min(until, time.monotonic() + rng.uniform(*BURST_S))
            factor = rng.randint(2, 5)
            await asyncio.gather(
                *(
                    KeptConnection(
                        self.record, node, 'b', manner=self.find_manner(node)
                    ).run(self.draw_crowding, end_at)
                    for node in self.fleet.nodes
                    for _ in range((factor - 1) * self.callers)
                )
            )

    def draw_crowding(self):
        """Draw a request that ends at the servers of the innermost calls."""
        kind = self.rng.randrange(10)
        if kind < 3:
            return [('DELETE', '/pour/4?work=72', 1)]
        if kind < 8:
            return [('GET', '/stock/4?work=5', 3)]
        return [('POST', '/hold/4?work=5', 3)]

    async def slow_services(self, until):
        """Let the servers of one service take longer for some seconds."""
        rng = self.rng
        while time.monotonic() < until:
            await asyncio.sleep(rng.uniform(1, 4))
            service = rng.choice(SLOWED_SERVICES)
            slowed = [
                server
                for server in self.fleet.servers
                if server.node.service == service
            ]
            slowness = rng.uniform(3, 10)
            for server in slowed:
                server.slowness = slowness
            await asyncio.sleep(rng.uniform(1, 4))
            for server in slowed:
                server.slowness = 1

    async def hold_requests(self, until):
        """Let some servers hold what comes for a moment, without an answer."""
        rng = self.rng
        while time.monotonic() < until:
            await asyncio.sleep(rng.uniform(0.5, 3))
            service = rng.choice(HOLDING_SERVICES)
            beside = [
                server
                for server in self.fleet.servers
                if server.node.service == service
            ]
            holding = rng.sample(beside, rng.randint(1, len(beside)))
            for server in holding:
                server.is_holding = True
            await asyncio.sleep(rng.uniform(0.2, 1.5))
            for server in holding:
                server.is_holding = False

    async def pause_nodes(self, until):
        """Pause single nodes for some seconds."""
        rng = self.rng
        while time.monotonic() < until - GRACE_S:
            await asyncio.sleep(rng.uniform(2, 8))
            node = rng.choice(self.fleet.nodes)
            if node in self.stopping:
                continue
            self.stopping.add(node)
            self.killed_at.append(time.monotonic())
            node.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.5, 5))
            node.process.send_signal(signal.SIGCONT)
            self.killed_at.append(time.monotonic())
            node.started_at = time.monotonic()
            self.stopping.discard(node)

    async def change_configuration(self, until):
        """Change routes, splits, timeouts and keys, at times in series."""
        rng = self.rng
        while time.monotonic() < until:
            await asyncio.sleep(rng.choice((0.33, 0.33, 3, 4, 6, 8)))
            self.version += rng.randint(1, 4)
            self.dropped, self.added = self.added, f'/promo-{self.version}/'
            if rng.random() < 0.4:
                self.moved_to = rng.choice([one.name for one in SERVICES])
            if rng.random() < 0.4:
                self.weights = rng.choice(SPLIT_WEIGHTS)
            if rng.random() < 0.4:
                self.slow_ms = rng.choice(SLOW_TIMEOUTS_MS)
            if rng.random() < 0.1:
                self.extra_routes = rng.choice((0, MAX_EXTRA_ROUTES))
            if rng.random() < 0.5 and self.keys:
                key = self.keys.pop(0)
                self.withdrawn.append((time.monotonic(), key))
            else:
                self.keys.append(f'k{self.version:08d}abcdefghijk')
            self.changed_before_at = self.changed_at
            self.changed_at = time.monotonic()
            self.fleet.configure(self.build_configuration())
            self.note_version()

    @property
    def is_store_stable(self):
        """Tell whether the store has answered all nodes for a while."""
        since = time.monotonic() - IN_TOUCH_S
        return all(
            name or end_at < since for name, _, end_at, _ in self.disturbances
        )

    async def probe_routes(self, node, until):
        """Ask a node for new and dropped routes and keys."""
        pause_s = 0.02 * len(self.fleet.nodes)
        while time.monotonic() < until:
            await asyncio.sleep(pause_s)
            added, dropped, keys = self.added, self.dropped, list(self.keys)
            changed_at, sent_at = self.changed_at, time.monotonic()
            bound_s = APPLY_S if self.is_store_stable else APPLY_S + 5
            is_running = (
                node not in self.stopping
                and sent_at > node.started_at + IN_TOUCH_S
            )
            if is_running and sent_at > changed_at + bound_s:
                asked = [(added, KEY, 404), (dropped, KEY, 200)]
                asked += [('/stock/9', key, 401) for key in keys[-1:]]
                for path, key, bad_status in asked:
                    if path and changed_at == self.changed_at:
                        await self.probe_one(node, path, key, bad_status)
            await self.probe_withdrawn(node)

    async def probe_one(self, node, path, key, bad_status):
        """Report an answer that only an older version allows."""
        changed_at, sent_at = self.changed_at, time.monotonic()
        status = await self.ask_with(node, path, key)
        is_old = status == bad_status and changed_at == self.changed_at
        if is_old and node not in self.stopping:
            self.record.broken.append(
                f'CONFIG: {node.name} acts on an older version than '
                f'{self.version}, {sent_at - changed_at:.2f} s after it: '
                f'{status} for {path}'
            )

    async def probe_withdrawn(self, node):
        """Send a request with a key that was withdrawn long enough ago."""
        if not self.withdrawn:
            return
        sent_at = time.monotonic()
        due = [key for at, key in self.withdrawn if sent_at > at + 5]
        if due and await self.ask_with(node, '/stock/8', due[-1]) == 200:
            self.record.broken.append(
                f'CONFIG: {node.name} took a withdrawn key after 5 s'
            )

    async def ask_with(self, node, path, key):
        """Return the status of one request, 0 without an answer."""
        kept = KeptConnection(self.record, node, 'p', key)
        try:
            reader, writer = await asyncio.open_connection(*node.address(8548))
        except OSError:
            return 0
        statuses, _ = await kept.exchange(
            reader, writer, [('GET', path, 3)], is_judged=False
        )
        writer.transport.abort()
        return statuses[0]


def take_open(connections):
    """Take a connection that the node has not closed, None if there is none."""
    while connections:
        reader, writer = connections.pop()
        if not reader.at_eof():
            return reader, writer
        writer.transport.abort()
    return None


def count_routes(soak):
    """Return the requests and the losses by clause, by route."""
    routes = {}
    for outcome in soak.record.outcomes:
        prefix = find_prefix(outcome.sent.path)
        routes.setdefault(prefix, Counter())['sent'] += 1
    for outcome, loss in soak.losses:
        routes[find_prefix(outcome.sent.path)][str(loss.clause)] += 1
    return routes


async def play_seed(options, seed):
    """Play a seed and print what was seen; return the broken promises."""
    troubles = options.trouble.split(',') if options.trouble else TROUBLES[:6]
    soak = SiteSoak(
        seed, options.seconds, options.nodes, troubles, options.callers
    )
    soak.ignored_early_s = options.ignore_early_ms / 1000
    broken = await soak.run()
    statuses = {}
    for outcome in soak.record.outcomes:
        key = outcome.status if outcome.is_whole else f'cut {outcome.status}'
        statuses[str(key)] = statuses.get(str(key), 0) + 1
    report = {
        'seed': seed,
        'nodes': options.nodes,
        'troubles': list(troubles),
        'statuses': statuses,
        'sigterms': sum(
            planned.signal == signal.SIGTERM for planned in soak.record.planned
        ),
        'machines': sum(one[3] == 'machine' for one in soak.disturbances),
        'versions': len(soak.versions),
        'max_lag_s': round(soak.max_lag_s, 3),
        'losses': {str(key): count for key, count in soak.clauses.items()},
        'routes': count_routes(soak),
        'held': sum(len(server.held) for server in soak.fleet.servers),
        'early': len(soak.early_lines),
        'broken': len(broken),
        'logs': str(soak.fleet.folder),
    }
    print(json.dumps(report), flush=True)
    shown = [line for line in broken if line not in soak.early_lines]
    for line in shown[: options.lines]:
        print(line, flush=True)
    return broken


def main():
    """Play seeds one after the other; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=30)
    parser.add_argument('--nodes', type=int, default=17)
    parser.add_argument('--callers', type=int, default=2)
    parser.add_argument('--busy', type=int, default=0)
    parser.add_argument('--lines', type=int, default=30)
    parser.add_argument('--trouble', default='')
    parser.add_argument(
        '--ignore-early-ms',
        type=float,
        default=0,
        help='print no line of a loss that ends so little before its limit; '
        'it is broken all the same',
    )
    options = parser.parse_args()
    busy = [
        subprocess.Popen([sys.executable, '-c', 'while True: pass'])
        for _ in range(options.busy)
    ]
    has_broken = False
    try:
        for seed in range(options.seed, options.seed + options.seeds):
            broken = anyio.run(
                play_seed, options, seed, backend_options={'use_uvloop': True}
            )
            has_broken = has_broken or bool(broken)
    finally:
        for process in busy:
            process.kill()
    return int(has_broken)


if __name__ == '__main__':
    sys.exit(main())
