"""Let the decisions of several nodes talk in memory, on a paused clock."""

import random

import anyio
import msgspec

from limpetshore import clock
from limpetshore.coordination.fleet import FleetState, PolicyListener
from limpetshore.coordination.gossip import Gossip
from limpetshore.coordination.local_shards import LocalShards
from limpetshore.coordination.policy_updates import write_ticket
from limpetshore.coordination.prefetching import PrefetchingLimiter
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


class MemoryStore:
    """Hold objects in memory; may be down, and lose answers."""

    def __init__(self):
        """Start empty."""
        self.objects = {}
        self.revision = 0
        self.is_down = False
        self.loses_answers = False
        self.calls = 0
        self.cut_off = set()

    async def reach(self, name):
        """Wait as a call takes, or fail as the faults say."""
        self.calls += 1
        await anyio.sleep(DELAY_S)
        if self.is_down or name in self.cut_off:
            raise StoreUnavailableError('down')


class StoreClient(ObjectStore):
    """Reach the memory store on behalf of one node."""

    def __init__(self, store, name, gate):
        """Name the node, whose calls wait while it is paused."""
        self.store = store
        self.name = name
        self.gate = gate

    async def get(self, kind, name):
        """Return an object."""
        await self.gate.passed()
        await self.store.reach(self.name)
        return self.store.objects.get((kind, name))

    async def put(self, kind, name, content, expected_version):
        """Write conditionally."""
        await self.gate.passed()
        await self.store.reach(self.name)
        held = self.store.objects.get((kind, name))
        if (held.version if held else 0) != expected_version:
            raise StoreConflictError('version')
        self.store.revision += 1
        version = self.store.revision
        stored = StoredObject(kind, name, version, content)
        self.store.objects[kind, name] = stored
        if self.store.loses_answers:
            raise StoreUnavailableError('lost')
        return version

    async def delete(self, kind, name, expected_version):
        """Delete."""
        await self.store.reach(self.name)
        self.store.objects.pop((kind, name), None)

    async def list_objects(self, kind):
        """Return all objects of a kind."""
        await self.gate.passed()
        await self.store.reach(self.name)
        found = [
            stored
            for (held, _), stored in self.store.objects.items()
            if held == kind
        ]
        return Changes(self.store.revision, found)

    async def watch(self, since, wait_s):
        """Poll for changes."""
        await self.gate.passed()
        end = clock.now() + wait_s
        while True:
            await self.store.reach(self.name)
            found = [
                stored
                for stored in self.store.objects.values()
                if stored.version > since
            ]
            if found or clock.now() >= end:
                await self.gate.passed()
                return Changes(self.store.revision, found)
            await anyio.sleep(0.1)


class Gate:
    """Hold back what a paused node does."""

    def __init__(self):
        """Start open."""
        self.opened = anyio.Event()
        self.opened.set()

    def close(self):
        """Pause the node."""
        self.opened = anyio.Event()

    def open(self):
        """Continue the node."""
        self.opened.set()

    async def passed(self):
        """Wait while the node is paused."""
        await self.opened.wait()


class Network:
    """Deliver control messages, slowly, or not at all."""

    def __init__(self, rng):
        """Start without faults."""
        self.rng = rng
        self.nodes = {}
        self.groups = {}
        self.loss = 0.0

    def is_cut(self, one, other):
        """Tell whether two nodes are in different halves."""
        return self.groups.get(one) != self.groups.get(other)

    async def call(self, sender, address, method, request, timeout_s):
        """Carry one message there and its reply back."""
        with anyio.move_on_after(timeout_s):
            await sender.gate.passed()
            await self.travel(sender, address)
            receiver = self.nodes[address]
            await receiver.gate.passed()
            handler = getattr(receiver.gossip, method.lower())
            copied = msgspec.msgpack.decode(
                encode(request),
                type=type(request),
            )
            reply = await handler(copied)
            await self.travel(sender, address)
            await sender.gate.passed()
            return reply
        raise PeerError(f'{address} is silent')

    async def travel(self, sender, address):
        """Take the time of one way, for ever if the link is cut."""
        await anyio.sleep(self.rng.expovariate(1 / DELAY_S))
        receiver = self.nodes.get(address)
        is_lost = self.rng.random() < self.loss
        if receiver is None or is_lost or self.is_cut(sender.name, address):
            await anyio.sleep_forever()


class MemoryClient:
    """Stand in for the control client of one node."""

    def __init__(self, network, node):
        """Send over the network as a node."""
        self.network = network
        self.node = node

    async def call(self, address, method, request, reply_class, timeout_s):
        """Send a message and return the reply."""
        return await self.network.call(
            self.node,
            address,
            method,
            request,
            timeout_s,
        )


class MemoryNode(PolicyListener):
    """Put the decisions of one node together."""

    def __init__(self, fleet, name, zone, incarnation, tasks):
        """Build what the node daemon builds, without its ports."""
        self.name = name
        self.gate = Gate()
        self.versions = []
        section = FleetSection(seeds=fleet.names)
        own = NodeState(
            name,
            incarnation,
            0,
            int(Status.NOT_READY),
            'stock',
            zone,
            'region',
            name,
            name,
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
        client = MemoryClient(fleet.network, self)
        self.gossip = Gossip(self.fleet, client, section, fleet.rng)
        self.store_sync = StoreSync(
            StoreClient(fleet.store, name, self.gate),
            self.fleet,
            self.gossip,
            section,
            2,
            fleet.rng,
        )
        self.purses = PrefetchingLimiter(
            FleetGrantClient(self.fleet, client),
            tasks,
            validity_s=0.6,
            horizon_s=0.3,
            wait_s=0.4,
        )

    def adopt_policy(self, index):
        """Note each version, which must never go back."""
        assert not self.versions or index.version > self.versions[-1]
        self.versions.append(index.version)

    async def run(self):
        """Run the loops of the node."""
        self.table.update_own(Status.READY, 10)
        async with anyio.create_task_group() as tasks:
            for loop in (
                self.store_sync.run,
                self.store_sync.run_ledger_repair,
                self.gossip.run,
                self.gossip.run_pushes,
                self.purses.return_idle,
            ):
                tasks.start_soon(loop)


class MemoryFleet:
    """Run several nodes and break them."""

    def __init__(self, seed, tasks, *, count=6, rate=30, burst=40):
        """Build the nodes; `start` runs them."""
        self.rng = random.Random(seed)
        self.tasks = tasks
        self.store = MemoryStore()
        self.network = Network(self.rng)
        self.names = [f'node-{number}' for number in range(count)]
        self.scopes = {}
        self.incarnation = 1
        self.reference = ReferenceBucket(rate, burst)
        self.refused = []
        self.served = 0

    def start_all(self):
        """Start every node."""
        for name in self.names:
            self.start(name)

    def start(self, name):
        """Start a node, anew after a crash."""
        self.incarnation += 1
        zone = f'zone-{self.names.index(name) % 3}'
        scope = anyio.CancelScope()
        node = MemoryNode(self, name, zone, self.incarnation, self.tasks)
        self.network.nodes[name] = node
        self.scopes[name] = scope
        self.tasks.start_soon(self.run_node, node, scope)

    async def run_node(self, node, scope):
        """Run a node until it crashes."""
        with scope:
            await node.run()

    def crash(self, name):
        """End a node without a word."""
        self.scopes[name].cancel()
        self.network.nodes[name].gate.close()
        self.network.nodes.pop(name)

    async def write_ticket(self, ticket):
        """Apply a ticket as an operator."""
        return await write_ticket(
            StoreClient(self.store, 'operator', Gate()), ticket
        )

    async def spend(self, name):
        """Spend a token at one node and check it."""
        node = self.network.nodes.get(name)
        if node is None:
            return
        await node.gate.passed()
        try:
            await node.purses.spend('harbour')
        except RefusedError as error:
            self.refused.append((clock.now(), error.refusal.reason))
            return
        self.served += 1
        self.reference.spend(clock.now())

    async def offer(self, rate, seconds):
        """Send calls to random nodes."""
        end = clock.now() + seconds
        while clock.now() < end:
            await anyio.sleep(self.rng.expovariate(rate))
            self.tasks.start_soon(self.spend, self.rng.choice(self.names))

    async def settle(self, check, seconds=60):
        """Wait until a check holds for every node that runs."""
        end = clock.now() + seconds
        while clock.now() < end:
            if all(check(node) for node in self.network.nodes.values()):
                return
            await anyio.sleep(0.1)
        raise AssertionError('not settled in time')
