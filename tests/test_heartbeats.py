"""Test which heartbeats of the local backend server a node believes."""

import anyio
import pytest

from limpetshore.metrics import Metrics
from limpetshore.platform import wire
from limpetshore.platform.heartbeats import HeartbeatApp
from limpetshore.routing.local_server import LocalServer
from limpetshore.settings import check_settings
from limpetshore.state.backends import LocalBackend
from limpetshore.state.members import MemberTable
from tests.builders import build_node_state
from tests.mock_clock import run_on_mock_clock

ADDRESS = '10.0.0.9:8080'
LAPSE_S = 6
MAX_BORN = 2**63


class FakeGuard:
    """Provide the attributes of a guard that heartbeats concern."""

    def __init__(self):
        """Start without an announcement of the backend server."""
        self.settings = check_settings(
            {
                'node': {'name': 'n', 'zone': 'z'},
                'listen': {
                    name: '10.0.0.9:1'
                    for name in ('callers', 'peers', 'control', 'admin')
                },
                'backend': {'service': 'yard', 'address': ADDRESS},
                'store': {'address': '10.0.0.1:1'},
            }
        )
        self.metrics = Metrics()
        self.backend = LocalBackend(1000, LAPSE_S)

    def apply_announcement(self, *, is_new):
        """Ignore the announcement."""


class StartedNode:
    """Run what a node knows of its server since its start."""

    def __init__(self, previous=''):
        """Remember an instance id from before the start, if one is given.

        `healthy` is the id that the health check of the server answers, None
        if the server is not ready, and `health_delay_s` how long it takes.
        """
        self.healthy = None
        self.health_delay_s = 0.01
        self.queries = 0
        self.table = MemberTable(build_node_state())
        self.table.is_joining = False
        if previous:
            self.table.previous_own = build_node_state(instance=previous)
        self.guard = FakeGuard()
        self.local_server = LocalServer(
            self.guard, self.table, self.query, lambda: None
        )
        self.app = HeartbeatApp(self.guard, self.local_server)

    async def query(self):
        """Answer as the server does when the query arrives."""
        self.queries += 1
        healthy = self.healthy
        await anyio.sleep(self.health_delay_s)
        return healthy

    def beat(self, instance, **changes):
        """Receive a heartbeat; return the HTTP status."""
        return self.app.handle_heartbeat(instance, build_heartbeat(**changes))

    @property
    def used(self):
        """Return the id of the server that gets calls, None without one."""
        backend = self.guard.backend
        return backend.instance if backend.is_ready else None


def build_heartbeat(**changes):
    """Return a heartbeat of the local server, with some values replaced."""
    values = {
        'service': 'yard',
        'address': ADDRESS,
        'slots': 20,
        'state': 'ready',
        'sequence': 4,
        'born': 1000,
        **changes,
    }
    return wire.Heartbeat(**values)


def run_node(scenario, **options):
    """Run a scenario with a node that has just started, on a mock clock."""

    async def run():
        node = StartedNode(**options)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(node.local_server.run)
            await scenario(node)
            tasks.cancel_scope.cancel()

    run_on_mock_clock(run)


async def use_server(node, instance='i-1', **changes):
    """Have a node use a server that is ready."""
    node.healthy = instance
    node.beat(instance, **changes)
    await anyio.sleep(0.5)
    assert node.used == instance


def test_late_heartbeat_after_a_restart_is_ignored():
    """Use no server that departed before the node was killed and restarted.

    The node acknowledged the departure, was killed, and took a late heartbeat
    of the departed server for the newest: its calls went there again.
    """

    async def scenario(node):
        for sequence in (4, 5, 6):
            assert node.beat('i-1', sequence=sequence) == 200
            assert node.used is None
            await anyio.sleep(LAPSE_S / 2)
            assert node.used is None

    run_node(scenario)
    run_node(scenario, previous='i-1')


def test_server_is_used_again_soon_after_a_restart():
    """Use a server that serves, before or after its next heartbeat."""

    async def without_heartbeat(node):
        node.healthy = 'i-1'
        await anyio.sleep(0.1)
        assert node.used == 'i-1'
        node.beat('i-1', sequence=9)
        assert node.used == 'i-1'
        assert node.queries == 1

    async def without_memory(node):
        await use_server(node)
        node.beat('i-1', sequence=5)
        assert node.queries == 1

    run_node(without_heartbeat, previous='i-1')
    run_node(without_memory)


def test_server_that_is_slow_to_confirm_is_used():
    """Ask again while the server has no room for its health check."""

    async def scenario(node):
        node.beat('i-1')
        await anyio.sleep(2)
        assert node.used is None
        node.healthy = 'i-1'
        await anyio.sleep(2)
        assert node.used == 'i-1'

    run_node(scenario)


def test_departure_during_a_health_query_counts():
    """Use no server that departs while it is asked whether it is ready."""

    async def scenario(node):
        node.health_delay_s = 0.3
        node.healthy = 'i-1'
        await anyio.sleep(0.1)
        node.local_server.depart('i-1')
        node.healthy = None
        await anyio.sleep(1)
        assert node.used is None

    async def scenario_draining(node):
        node.health_delay_s = 0.3
        node.healthy = 'i-1'
        node.beat('i-1')
        await anyio.sleep(0.1)
        node.beat('i-1', state='draining', sequence=5)
        node.healthy = None
        await anyio.sleep(1)
        assert node.used is None

    run_node(scenario, previous='i-1')
    run_node(scenario_draining)


def test_departure_before_the_first_heartbeat_counts():
    """Ignore late heartbeats of a server that was found by its health."""

    async def scenario(node):
        node.healthy = 'i-1'
        await anyio.sleep(0.1)
        assert node.used == 'i-1'
        node.local_server.depart('i-1')
        node.healthy = None
        node.beat('i-1', sequence=3)
        await anyio.sleep(1)
        assert node.used is None

    run_node(scenario, previous='i-1')


def test_late_heartbeat_of_a_departed_server_is_ignored():
    """Keep a departed server not ready until it has restarted."""

    async def scenario(node):
        await use_server(node)
        node.local_server.depart('i-1')
        node.healthy = None
        assert node.used is None
        node.beat('i-1', sequence=9)
        await anyio.sleep(1)
        assert node.used is None
        node.healthy = 'i-1'
        node.beat('i-1', sequence=1, born=2000)
        await anyio.sleep(0.5)
        assert node.used == 'i-1'

    run_node(scenario)


def test_late_heartbeat_after_the_address_has_changed_hands():
    """Ask before a server is used that another one has answered for."""

    async def scenario(node):
        await use_server(node)
        node.guard.backend.forget_announcement()
        node.healthy = 'i-9'
        node.beat('i-1', sequence=9)
        await anyio.sleep(1)
        assert node.used is None

    run_node(scenario)


def test_late_heartbeat_after_a_lapse_is_ignored():
    """Use no server again that has sent nothing for long, unless it serves."""

    async def scenario(node):
        await use_server(node)
        node.healthy = None
        await anyio.sleep(LAPSE_S + 1)
        node.beat('i-1', sequence=5)
        await anyio.sleep(1)
        assert node.used is None
        node.healthy = 'i-1'
        await anyio.sleep(2)
        assert node.used == 'i-1'

    run_node(scenario)


def test_draining_server_does_not_become_ready():
    """Ignore ready heartbeats, late or new, of a server that drains."""

    async def scenario(node):
        node.healthy = 'i-1'
        node.beat('i-1', state='draining', sequence=8)
        node.beat('i-1', sequence=7)
        node.beat('i-1', sequence=9)
        await anyio.sleep(1)
        assert node.used is None

    run_node(scenario)


def test_heartbeat_of_an_earlier_server_process_is_ignored():
    """Accept heartbeats only of the server started last at the address."""

    async def scenario(node):
        await use_server(node, 'i-2', born=2000, sequence=0)
        node.beat('i-1', state='draining', sequence=90)
        node.beat('i-1', sequence=91)
        await anyio.sleep(1)
        assert node.used == 'i-2'

    run_node(scenario)


@pytest.mark.parametrize('born', [900, 2000])
def test_restarted_server_is_used_whatever_its_clock_says(born):
    """Use a server that started anew, also if the clock was set back."""

    async def scenario(node):
        await use_server(node)
        node.local_server.depart('i-1')
        await anyio.sleep(LAPSE_S + 1)
        await use_server(node, 'i-1', born=born, sequence=0)

    run_node(scenario)


@pytest.mark.parametrize(
    'changes',
    [{'address': '10.0.0.8:1'}, {'service': 'other'}, {'state': 'odd'}],
)
def test_forged_heartbeat_is_rejected(changes):
    """Reject a heartbeat that does not match the local server."""

    async def scenario(node):
        node.healthy = 'i-3'
        assert node.beat('i-3', **changes) == 400
        await anyio.sleep(1)
        assert node.used is None

    run_node(scenario)


def test_forged_start_keeps_out_no_server():
    """Use the server although someone announced a later start of another."""

    async def scenario(node):
        await use_server(node)
        node.beat('i-3', born=MAX_BORN)
        await anyio.sleep(1)
        node.beat('i-1', sequence=5)
        assert node.used == 'i-1'

    run_node(scenario)
