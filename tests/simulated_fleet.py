"""Simulate a fleet of nodes in memory, for runs on a mock clock."""

import random

import anyio
import msgspec

from limpetshore import clock
from limpetshore.coordination.fleet import FleetState, PolicyListener
from limpetshore.coordination.gossip import Gossip
from limpetshore.coordination.ledger_repair import LedgerRepair
from limpetshore.coordination.local_shards import LocalShards
from limpetshore.coordination.policy_updates import write_ticket
from limpetshore.coordination.prefetching import PrefetchingLimiter
from limpetshore.coordination.roster_keeper import RosterKeeper
from limpetshore.coordination.store_sync import StoreSync
from limpetshore.coordination.token_clients import FleetGrantClient
from limpetshore.errors import (
    PeerError,
    RefusedError,
    StoreConflictError,
    StoreUnavailableError,
)
from limpetshore.metrics import Metrics
from limpetshore.protocol.messages import NodeState, encode
from limpetshore.settings import FleetSection
from limpetshore.state.fencing import FencingState
from limpetshore.state.members import MemberTable, Status
from limpetshore.state.store import Changes, ObjectStore, StoredObject
from tests.reference import ReferenceBucket

DELAY_S = 0.003


class SimulatedStore:
    """Hold objects in memory, with outages and lost answers."""

    def __init__(self):
        """Start empty."""
        self.objects = {}
        self.revision = 0
        self.is_down = False
        self.loses_answers = False
        self.calls = 0
        self.blocked_names = set()

    async def delay_or_fail(self, name):
        """Count and delay a call of a node, or fail it if a fault is set."""
        self.calls += 1
        await self.delay_or_fail_uncounted(name)

    async def delay_or_fail_uncounted(self, name):
        """Delay one of the polls of a watch, or fail it if a fault is set."""
        await anyio.sleep(DELAY_S)
        if self.is_down or name in self.blocked_names:
            raise StoreUnavailableError('down')


class SimulatedStoreClient(ObjectStore):
    """Call the simulated store on behalf of one node."""

    def __init__(self, store, name, gate):
        """Set the node; its calls wait while its gate is closed."""
        self.store = store
        self.name = name
        self.gate = gate

    async def get(self, kind, name, *, allow_stale=False):
        """Return an object, None if there is none."""
        await self.gate.wait_open()
        await self.store.delay_or_fail(self.name)
        return self.store.objects.get((kind, name))

    async def put(self, kind, name, content, expected_version):
        """Write an object if its version is the expected one."""
        await self.gate.wait_open()
        await self.store.delay_or_fail(self.name)
        current = self.store.objects.get((kind, name))
        if (current.version if current else 0) != expected_version:
            raise StoreConflictError('version')
        self.store.revision += 1
        version = self.store.revision
        stored = StoredObject(kind, name, version, content)
        self.store.objects[kind, name] = stored
        if self.store.loses_answers:
            raise StoreUnavailableError('lost')
        return version

    async def delete(self, kind, name, expected_version):
        """Delete an object, whatever its version."""
        await self.store.delay_or_fail(self.name)
        self.store.objects.pop((kind, name), None)

    async def list_objects(self, kind):
        """Return all objects of a kind."""
        await self.gate.wait_open()
        await self.store.delay_or_fail(self.name)
        found = [
            stored
            for (stored_kind, _), stored in self.store.objects.items()
            if stored_kind == kind
        ]
        return Changes(self.store.revision, found)

    async def watch(self, since, wait_s):
        """Poll until an object changes or `wait_s` is over: one call."""
        await self.gate.wait_open()
        self.store.calls += 1
        end = clock.now() + wait_s
        while True:
            await self.store.delay_or_fail_uncounted(self.name)
            found = [
                stored
                for stored in self.store.objects.values()
                if stored.version > since
            ]
            if found or clock.now() >= end:
                await self.gate.wait_open()
                return Changes(self.store.revision, found)
            await anyio.sleep(0.1)


class PauseGate:
    """Block the calls of a node while it is paused."""

    def __init__(self):
        """Start with the node running."""
        self.opened = anyio.Event()
        self.opened.set()

    def close(self):
        """Pause the node, as SIGSTOP would."""
        self.opened = anyio.Event()

    def open(self):
        """Resume the node."""
        self.opened.set()

    async def wait_open(self):
        """Return once the node is not paused."""
        await self.opened.wait()


class SimulatedNetwork:
    """Deliver control messages with delays, losses and partitions."""

    def __init__(self, rng):
        """Start without nodes and faults."""
        self.rng = rng
        self.nodes = {}
        self.names = {}
        self.partitions = {}
        self.loss = 0.0

    def is_partitioned(self, one, other):
        """Tell whether two nodes are in different partitions."""
        return self.partitions.get(one) != self.partitions.get(other)

    async def call(self, sender, address, method, request, timeout_s):
        """Deliver a message and its reply; raise PeerError on a timeout."""
        with anyio.move_on_after(timeout_s):
            await sender.gate.wait_open()
            await self.deliver(sender, address)
            receiver = self.nodes[address]
            await receiver.gate.wait_open()
            handler = getattr(receiver.gossip, method.lower())
            copied = msgspec.msgpack.decode(
                encode(request),
                type=type(request),
            )
            reply = await handler(copied)
            await self.deliver(sender, address)
            await sender.gate.wait_open()
            return reply
        raise PeerError(f'no reply from {address}')

    async def deliver(self, sender, address):
        """Wait for the delay of one way, without end if the message is lost."""
        await anyio.sleep(self.rng.expovariate(1 / DELAY_S))
        receiver = self.nodes.get(address)
        is_lost = self.rng.random() < self.loss
        if (
            receiver is None
            or is_lost
            or self.is_partitioned(sender.name, address)
        ):
            await anyio.sleep_forever()


class SimulatedControlClient:
    """Replace the control client of one node."""

    def __init__(self, network, node):
        """Send messages of a node over the simulated network."""
        self.network = network
        self.node = node

    async def call(self, address, method, request, reply_class, timeout_s):
        """Send a message and return the reply."""
        return await self.network.call(
            self.node,
            self.network.names[address],
            method,
            request,
            timeout_s,
        )


def build_address(name):
    """Return the address of a node, by the number in its name."""
    high, low = divmod(int(name.rpartition('-')[2]), 250)
    return f'10.0.{high}.{low + 1}:7000'


class SimulatedNode(PolicyListener):
    """Combine the real components of a node without its ports."""

    def __init__(self, fleet, name, zone, incarnation, tasks):
        """Build the components as `limpetshore.node.Node` does."""
        self.name = name
        self.gate = PauseGate()
        self.versions = []
        seeds = [build_address(name) for name in fleet.names]
        section = FleetSection(seeds=seeds, **fleet.settings)
        own = NodeState(
            name,
            incarnation,
            0,
            int(Status.NOT_READY),
            'stock',
            zone,
            'region',
            build_address(name),
            build_address(name),
            10,
        )
        self.fencing = FencingState(name, fence_s=8, cut_off_s=4)
        self.table = MemberTable(own)
        self.local_shards = LocalShards(
            name,
            self.fencing,
            validity_s=0.6,
            shards_per_customer=4,
        )
        self.fleet = FleetState(
            self.table,
            self.fencing,
            self.local_shards,
            Metrics(),
        )
        self.fleet.policy_listeners.append(self)
        client = SimulatedControlClient(fleet.network, self)
        self.gossip = Gossip(self.fleet, client, section, fleet.rng)
        self.store_sync = StoreSync(
            SimulatedStoreClient(fleet.store, name, self.gate),
            self.fleet,
            self.gossip,
            section,
            2,
            fleet.rng,
        )
        self.roster_keeper = RosterKeeper(self.store_sync.store, self.fleet)
        self.ledger_repair = LedgerRepair(
            self.store_sync.store,
            self.fleet,
            self.gossip,
            section,
        )
        self.limiter = PrefetchingLimiter(
            FleetGrantClient(self.fleet, client),
            tasks,
            validity_s=0.6,
            horizon_s=0.3,
            wait_s=0.4,
        )

    def adopt_policy(self, index):
        """Check that policy versions only increase."""
        assert not self.versions or index.version > self.versions[-1]
        self.versions.append(index.version)

    async def run(self):
        """Run the background tasks of the node."""
        self.table.update_own(Status.READY, 10)
        async with anyio.create_task_group() as tasks:
            for loop in (
                self.store_sync.run,
                self.ledger_repair.run,
                self.roster_keeper.run,
                self.gossip.run_refreshes,
                self.gossip.run,
                self.gossip.run_pushes,
                self.limiter.return_idle,
            ):
                tasks.start_soon(loop)


class SimulatedFleet:
    """Run several nodes, inject faults and count admitted calls."""

    def __init__(self, seed, tasks, *, count=6, rate=30, burst=40, **settings):
        """Set `count` nodes that share the rate and burst of one customer.

        `settings` are those of the section `fleet` that differ from default.
        """
        self.settings = settings
        self.rng = random.Random(seed)
        self.tasks = tasks
        self.store = SimulatedStore()
        self.network = SimulatedNetwork(self.rng)
        self.names = [f'node-{number}' for number in range(count)]
        self.network.names = {build_address(name): name for name in self.names}
        self.scopes = {}
        self.incarnation = 1
        self.reference = ReferenceBucket(rate, burst)
        self.refused = []
        self.served = 0

    def start_all(self):
        """Start all nodes."""
        for name in self.names:
            self.start(name)

    def start(self, name):
        """Start a node, in a new incarnation after a crash."""
        self.incarnation += 1
        zone = f'zone-{self.names.index(name) % 3}'
        scope = anyio.CancelScope()
        node = SimulatedNode(self, name, zone, self.incarnation, self.tasks)
        self.network.nodes[name] = node
        self.scopes[name] = scope
        self.tasks.start_soon(self.run_node, node, scope)

    async def run_node(self, node, scope):
        """Run a node until it crashes."""
        with scope:
            await node.run()

    def crash(self, name):
        """End a node without a notice to its peers."""
        self.scopes[name].cancel()
        self.network.nodes[name].gate.close()
        self.network.nodes.pop(name)

    async def write_ticket(self, ticket):
        """Apply a ticket to the store as an operator does."""
        return await write_ticket(
            SimulatedStoreClient(self.store, 'operator', PauseGate()), ticket
        )

    async def spend(self, name):
        """Spend a token at a node; check it against the reference bucket."""
        node = self.network.nodes.get(name)
        if node is None:
            return
        await node.gate.wait_open()
        try:
            await node.limiter.spend('harbour')
        except RefusedError as error:
            self.refused.append((clock.now(), error.refusal.reason))
            return
        self.served += 1
        self.reference.spend(clock.now())

    async def offer_calls(self, rate, seconds):
        """Send calls to random nodes at a mean of `rate` per second."""
        end = clock.now() + seconds
        while clock.now() < end:
            await anyio.sleep(self.rng.expovariate(rate))
            self.tasks.start_soon(self.spend, self.rng.choice(self.names))

    async def wait_until_all(self, check, seconds=60):
        """Wait until a check holds on every running node, or fail."""
        end = clock.now() + seconds
        while clock.now() < end:
            if all(check(node) for node in self.network.nodes.values()):
                return
            await anyio.sleep(0.1)
        raise AssertionError('check not fulfilled on all nodes in time')
