"""Run one node, the process that runs beside a backend server."""

import gc
import random
from typing import Any

import anyio
from anyio.abc import TaskGroup
from logbook import Logger

from limpetshore import clock
from limpetshore.admin import AdminApp
from limpetshore.call_drain import CallDrain
from limpetshore.coordination.borrowing import BorrowingLimiter, RateLimiter
from limpetshore.coordination.fleet import FleetState, PolicyListener
from limpetshore.coordination.gossip import Gossip
from limpetshore.coordination.ledger_repair import LedgerRepair
from limpetshore.coordination.local_shards import LocalShards
from limpetshore.coordination.prefetching import PrefetchingLimiter
from limpetshore.coordination.roster_keeper import RosterKeeper
from limpetshore.coordination.store_sync import StoreSync
from limpetshore.coordination.token_clients import (
    FleetGrantClient,
    FleetLendClient,
)
from limpetshore.decisions.balancing import Balancer
from limpetshore.decisions.conserved_budgets import ConservedBudgets
from limpetshore.integrations import Integration, NativeIntegration
from limpetshore.metrics import Metrics
from limpetshore.protocol.control import ControlApp, ControlClient
from limpetshore.protocol.messages import AnswerMeta, NodeState
from limpetshore.routing.authentication import CallerAuthenticator
from limpetshore.routing.guard import Guard
from limpetshore.routing.ingress import Ingress
from limpetshore.routing.peer_app import PeerApp
from limpetshore.settings import (
    GRANTED_BUDGETS,
    NodeSettings,
    parse_address,
)
from limpetshore.signals import (
    STOP_SIGNALS,
    deliver_signals,
    hold_signals,
    log_hangups,
)
from limpetshore.stalls import LoopTicks, sleep_watchfully
from limpetshore.state.fencing import FencingState
from limpetshore.state.members import MemberTable, Status
from limpetshore.state.policies import PolicyIndex
from limpetshore.supervision import run_supervised
from limpetshore.transport.call_server import CallServer

logger = Logger(__name__)

UPDATE_PERIOD_S = 0.5
JOIN_POLL_S = 0.05
CONTROL_GRACE_S = 0.2
GC_THRESHOLDS = (20_000, 50, 100)


class Node(PolicyListener):
    """Assemble, start and stop the components of a node."""

    def __init__(
        self,
        settings: NodeSettings,
        tasks: TaskGroup,
        integration: Integration,
    ) -> None:
        """Build all components; `run` starts them."""
        self.settings = settings
        self.integration = integration
        self.tasks = tasks
        self.metrics = Metrics()
        self.rng = random.Random()  # noqa: S311
        fleet = settings.fleet
        self.fencing = FencingState(
            settings.node.name,
            fence_s=fleet.fence_s,
            cut_off_s=fleet.lapse_s,
            keys_need_store=fleet.keys_need_store,
        )
        self.guard = Guard(
            settings,
            self.metrics,
            self.fencing,
            integration.backend_dialect,
        )
        self.table = MemberTable(build_initial_state(settings))
        self.local_shards = LocalShards(
            settings.node.name,
            self.fencing,
            validity_s=fleet.grant_validity_s,
            shards_per_customer=fleet.shards_per_customer,
        )
        self.fleet = FleetState(
            self.table,
            self.fencing,
            self.local_shards,
            self.metrics,
        )
        self.gossip = Gossip(
            self.fleet, ControlClient(self.metrics), fleet, self.rng
        )
        self.store = integration.build_store(self.metrics)
        self.store_sync = StoreSync(
            self.store,
            self.fleet,
            self.gossip,
            fleet,
            settings.store.watch_s,
            self.rng,
        )
        self.ledger_repair = LedgerRepair(
            self.store, self.fleet, self.gossip, fleet
        )
        self.build_ingress()
        self.build_servers()
        self.fleet.policy_listeners.append(self)
        self.seen_members_version = -1

    def build_ingress(self) -> None:
        """Build the ingress and the components that it uses."""
        fleet = self.settings.fleet
        self.balancer = Balancer(
            self.table,
            self.settings.node.zone,
            self.settings.admission.level_half_life_s,
            self.rng,
        )
        self.budgets = ConservedBudgets(
            self.table, self.rng, fleet.restart_tokens
        )
        self.gossip.budgets = self.budgets
        self.fencing.reconnect_callbacks.append(self.budgets.clear)
        self.prefetching_limiter = PrefetchingLimiter(
            FleetGrantClient(self.fleet, self.gossip.client),
            self.tasks,
            validity_s=fleet.grant_validity_s,
            horizon_s=fleet.grant_horizon_s,
            wait_s=fleet.grant_wait_s,
        )
        self.ingress = Ingress(
            self.settings,
            self.metrics,
            self.guard,
            self.balancer,
            CallerAuthenticator(
                self.guard,
                self.fencing,
                self.choose_rate_limiter(),
                self.settings.call.max_depth,
                self.integration.caller_dialect,
            ),
            self.fencing,
            self.rng,
            self.confirm_by_answer,
        )

    def confirm_by_answer(
        self,
        meta: AnswerMeta,
        node: NodeState,
        waited_s: float,
    ) -> None:
        """Apply the store confirmation in an answer of `node`.

        If that node has a newer policy, start a gossip exchange with it.
        """
        if self.fleet.confirm_by_answer(meta, node, waited_s):
            self.gossip.newer_peers.append(node.control)
            self.gossip.request_push()

    @property
    def grants_budgets(self) -> bool:
        """Tell whether holders of shards grant tokens to the other nodes."""
        return self.settings.fleet.budgets == GRANTED_BUDGETS

    def choose_rate_limiter(self) -> RateLimiter:
        """Return the rate limiter that `fleet.budgets` selects."""
        fleet = self.settings.fleet
        if self.grants_budgets:
            return self.prefetching_limiter
        return BorrowingLimiter(
            self.budgets,
            FleetLendClient(self.fleet, self.gossip.client),
            self.tasks,
            fleet.grant_wait_s,
        )

    def build_servers(self) -> None:
        """Build the HTTP servers and those of the integration."""
        listen = self.settings.listen
        graceful_s = self.settings.call.graceful_s
        self.callers_server = CallServer(
            self.ingress,
            parse_address(listen.callers),
            graceful_s=graceful_s,
        )
        peers_server = CallServer(
            PeerApp(self.guard),
            parse_address(listen.peers),
            graceful_s=graceful_s,
        )
        admin_server = CallServer(
            AdminApp(
                self.guard,
                self.metrics,
                self.describe,
                self.publish_own_state,
            ),
            parse_address(listen.admin),
            graceful_s=1,
        )
        self.control_server = CallServer(
            ControlApp(self.gossip, self.metrics),
            parse_address(listen.control),
            graceful_s=CONTROL_GRACE_S,
        )
        self.extension = self.integration.extend(self)
        self.side_servers = [*self.extension.servers, admin_server]
        self.call_drain = CallDrain(
            self.guard,
            self.ingress.drain,
            self.callers_server,
            peers_server,
            self.side_servers,
        )

    def adopt_policy(self, index: PolicyIndex) -> None:
        """Apply a newer policy to all components."""
        self.ingress.index = index
        self.guard.policy_version = index.version
        self.budgets.update_customers(index.policy.customers)
        self.balancer.update_drained(index.drained)
        self.guard.admission.weights = {
            name: customer.weight
            for name, customer in index.policy.customers.items()
        }
        self.publish_own_state()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        # Further signals must not end the process before its open requests.
        with anyio.open_signal_receiver(*STOP_SIGNALS) as signals:
            await self.start()
            ticks = LoopTicks()
            self.tasks.start_soon(run_supervised, self.metrics, ticks.run)
            deliver_signals()
            logger.notice(
                'the node accepts calls',
                extra={'callers': self.settings.listen.callers},
            )
            await anext(signals)
            await self.leave(ticks.find_earliest_arrival())
            await self.stop_control()
            self.call_drain.log_left()
            # The receivers restore the default actions when they are closed.
            hold_signals()
        self.tasks.cancel_scope.cancel()

    async def leave(self, signalled_at: float) -> None:
        """Announce the departure, finish open requests, stop the servers.

        The signal came at `signalled_at` or later.
        """
        schedule = self.ingress.drain
        self.call_drain.start(signalled_at)
        self.announce_leaving()
        if self.grants_budgets:
            await self.ledger_repair.release()
        await anyio.sleep(schedule.remaining_notice_s)
        await self.call_drain.finish_calls(schedule.remaining_s)

    async def stop_control(self) -> None:
        """Stop serving and sending control messages."""
        self.control_server.stop()
        await self.control_server.wait_stopped()
        self.gossip.client.close()

    async def start(self) -> None:
        """Start the HTTP servers, then the background tasks."""
        servers = (
            self.control_server,
            *self.side_servers,
            self.call_drain.peers_server,
            self.callers_server,
        )
        for server in servers:
            self.tasks.start_soon(server.run_until_stopped)
        for server in servers:
            await server.wait_started()
        for loop in (
            self.store_sync.run,
            self.gossip.run,
            self.gossip.run_pushes,
            self.gossip.run_refreshes,
            RosterKeeper(self.store, self.fleet).run,
            self.run_periodic_updates,
            *self.extension.loops,
        ):
            self.tasks.start_soon(run_supervised, self.metrics, loop)
        if self.grants_budgets:
            for loop in (
                self.ledger_repair.run,
                self.prefetching_limiter.return_idle,
            ):
                self.tasks.start_soon(run_supervised, self.metrics, loop)
        tune_garbage_collector()

    def announce_leaving(self) -> None:
        """Gossip that the node is leaving."""
        self.local_shards.is_leaving = True
        backend = self.guard.backend
        self.table.update_own(Status.LEFT, backend.slots, backend.instance)
        if not self.table.is_joining:
            self.budgets.update_owners()
        self.fleet.disseminate(self.table.own_name)
        self.gossip.request_push()

    async def run_periodic_updates(self) -> None:
        """Update own status, membership, budgets and gauges periodically."""
        while True:
            self.publish_own_state()
            if self.seen_members_version != self.table.version:
                self.seen_members_version = self.table.version
                self.update_members()
            self.update_gauges()
            if self.table.is_joining:
                await anyio.sleep(JOIN_POLL_S)
                continue
            self.budgets.update_owners()
            await sleep_watchfully(self.metrics, UPDATE_PERIOD_S)

    def publish_own_state(self) -> None:
        """Publish whether the local server accepts work."""
        if self.guard.is_leaving:
            return
        accepts = self.guard.accepts_work
        status = Status.READY if accepts else Status.NOT_READY
        backend = self.guard.backend
        if self.table.update_own(status, backend.slots, backend.instance):
            self.fleet.disseminate(self.table.own_name)
            self.gossip.request_push()

    @property
    def is_ready(self) -> bool:
        """Tell whether callers should send requests to this node."""
        return (
            self.ingress.index is not None
            and not self.guard.is_leaving
            and not self.fencing.is_cut_off
        )

    def update_members(self) -> None:
        """Apply a change of the member table to the dependent components."""
        self.fleet.update_members()
        self.ingress.divide_retry_tokens(self.table.count_present())
        service = self.settings.backend.service
        owners = self.fencing.list_request_id_owners(service)
        if owners != self.fencing.local_service_owners:
            self.fencing.local_service_owners = owners
            self.guard.deduplicator.distrust_recent_ids(self.fencing.fence_s)

    def update_gauges(self) -> None:
        """Set gauges that change too often to be set on every call."""
        admission = self.guard.admission
        self.metrics.in_flight.set(admission.in_flight)
        self.metrics.limit.set(admission.limit.allowed)
        self.metrics.waiting.set(admission.queue.size)
        self.metrics.members_alive.set(self.table.count_alive())

    def describe(self) -> dict[str, Any]:
        """Return the status that the admin port serves to operators."""
        admission = self.guard.admission
        return {
            'node': self.settings.node.name,
            'zone': self.settings.node.zone,
            'service': self.settings.backend.service,
            'accepts_work': self.guard.accepts_work,
            'slots': self.guard.backend.slots,
            'limit': admission.limit.allowed,
            'in_flight': admission.in_flight,
            'waiting': admission.queue.size,
            'level': round(admission.level.read(), 3),
            'running_by_customer': dict(admission.running),
            **self.fleet.describe(),
        }


def build_initial_state(settings: NodeSettings) -> NodeState:
    """Return the member state of a node that has just started."""
    listen = settings.listen
    return NodeState(
        name=settings.node.name,
        incarnation=int(clock.wall_time()),
        revision=0,
        status=int(Status.NOT_READY),
        service=settings.backend.service,
        zone=settings.node.zone,
        region=settings.node.region,
        peers=listen.peers_seen_as or listen.peers,
        control=listen.control_seen_as or listen.control,
        slots=1,
    )


def tune_garbage_collector() -> None:
    """Prevent garbage collections of long-lived objects from delaying calls."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


async def serve(settings: NodeSettings, integration: Integration) -> None:
    """Run a node until SIGTERM or SIGINT, with the boot-time clock."""
    clock.use_boot_time()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(log_hangups)
        await Node(settings, tasks, integration).run()


def run(settings: NodeSettings, integration: Integration | None = None) -> None:
    """Run a node in a new event loop until SIGTERM or SIGINT.

    The native integration is used unless another one is given. Signals are
    held back until the node, and with it the threads of uvloop, has started.
    """
    hold_signals()
    anyio.run(
        serve,
        settings,
        integration or NativeIntegration(settings),
        backend_options={'use_uvloop': True},
    )
