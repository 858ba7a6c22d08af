"""Test that the balancer avoids failing, slow, full and distant servers.

A server that refuses or fails at once has a low latency and load, and would
attract all requests if these alone decided.
"""

import random

import pytest

from limpetshore import clock
from limpetshore.decisions.balancing import Balancer
from limpetshore.protocol.messages import AnswerMeta
from limpetshore.state.members import MemberTable, Status
from limpetshore.verdicts import Reason
from tests.builders import build_node_state

IDLE = AnswerMeta('', '', 0, 0, 0, 0, 0)


class ManualClock:
    """Provide a time that tests advance explicitly."""

    def __init__(self):
        """Start at 1 s."""
        self.now = 1.0

    def __call__(self):
        """Return the current time in seconds."""
        return self.now


@pytest.fixture
def manual_clock():
    """Replace the process clock by one that tests advance explicitly."""
    before = clock.process_clock.source
    clock.process_clock.source = ManualClock()
    yield clock.process_clock.source
    clock.process_clock.source = before


def build_balancer(count=4):
    """Return a balancer with `count` known servers of one service."""
    names = [f'node-{number}' for number in range(count)]
    table = MemberTable(
        build_node_state('entry', service='other', peers='10.0.0.9:1'),
    )
    for index, name in enumerate(names):
        table.merge(
            build_node_state(
                name,
                status=int(Status.READY),
                peers=f'10.0.1.{index}:1',
            )
        )
    return Balancer(table, 'zone-a', 0.5, random.Random(1))


@pytest.mark.parametrize(
    'reason',
    [Reason.NOT_OWNER, Reason.DRAINING, Reason.UNREACHABLE],
)
def test_server_that_refuses_at_once_is_ejected(manual_clock, reason):
    """Eject a server whose quick refusals make it look idle."""
    balancer = build_balancer()
    for other in ('node-1', 'node-2', 'node-3'):
        balancer.stats(other).load = 0.9
    balancer.stats('node-0').record_refusal(IDLE, reason)
    chosen = {balancer.choose('stock', []).name for _ in range(200)}
    assert chosen == {'node-1', 'node-2', 'node-3'}


def test_server_is_chosen_again_after_ejection(manual_clock):
    """Choose a server again once its ejection has ended."""
    balancer = build_balancer()
    balancer.stats('node-0').eject()
    manual_clock.now += 1.5
    chosen = {balancer.choose('stock', []).name for _ in range(200)}
    assert 'node-0' in chosen


def test_ejections_of_most_servers_are_ignored(manual_clock):
    """Ignore ejections when they concern most of the servers."""
    balancer = build_balancer()
    for name in ('node-0', 'node-1', 'node-2'):
        balancer.stats(name).eject()
    chosen = {balancer.choose('stock', []).name for _ in range(200)}
    assert len(chosen) == 4


def measure_shares(balancer, count=2000):
    """Return the share of requests that each server receives."""
    names = [balancer.choose('stock', []).name for _ in range(count)]
    return {name: names.count(name) / count for name in set(names)}


def test_much_slower_server_gets_few_requests(manual_clock):
    """Weigh servers by service time, not only by load."""
    balancer = build_balancer()
    for name, service_time_s in (('node-0', 0.26), ('node-1', 0.02)):
        answer = IDLE._replace(load=0.5, service_time_s=service_time_s)
        balancer.stats(name).record_answer(answer, has_failed=False)
    for name in ('node-2', 'node-3'):
        answer = IDLE._replace(load=0.6, service_time_s=0.025)
        balancer.stats(name).record_answer(answer, has_failed=False)
    shares = measure_shares(balancer)
    assert shares.get('node-0', 0) < 0.02
    assert min(shares[name] for name in ('node-1', 'node-2', 'node-3')) > 0.15


def test_server_that_fails_quickly_gets_few_requests(manual_clock):
    """Penalize a server whose quick failures make it look fast."""
    balancer = build_balancer()
    for number in range(4):
        stats = balancer.stats(f'node-{number}')
        for _ in range(60):
            answer = IDLE._replace(load=0.5, service_time_s=0.02)
            stats.record_answer(answer, has_failed=number == 0)
    assert measure_shares(balancer).get('node-0', 0) < 0.05


def test_servers_in_own_zone_are_preferred_unless_full(manual_clock):
    """Prefer servers in the own zone unless they are overloaded."""
    balancer = build_balancer()
    table = balancer.table
    for name in ('node-2', 'node-3'):
        table.merge(table.get(name)._replace(zone='zone-b', revision=3))
    assert measure_shares(balancer)['node-0'] > 0.35
    for name in ('node-0', 'node-1'):
        full = IDLE._replace(load=2, service_time_s=0.02)
        balancer.stats(name).record_answer(full, has_failed=False)
    assert measure_shares(balancer).get('node-0', 0) < 0.1


def test_server_that_sheds_requests_gets_few_requests(manual_clock):
    """Count requests that the backend server sheds as failed."""
    balancer = build_balancer()
    for number in range(4):
        stats = balancer.stats(f'node-{number}')
        answer = IDLE._replace(load=0.5, service_time_s=0.02)
        stats.record_answer(answer, has_failed=False)
        for _ in range(40 if number == 0 else 0):
            stats.record_refusal(answer, Reason.SERVER_SHED)
    assert measure_shares(balancer).get('node-0', 0) < 0.05


def build_zoned_balancer(zones):
    """Return a balancer in zone-a with one server in each of `zones`."""
    table = MemberTable(
        build_node_state('entry', service='other', peers='10.0.0.9:1'),
    )
    for index, zone in enumerate(zones):
        table.merge(
            build_node_state(
                f'node-{index}', zone=zone, peers=f'10.0.1.{index}:1'
            )
        )
    balancer = Balancer(table, 'zone-a', 0.5, random.Random(1))
    for index in range(len(zones)):
        balancer.stats(f'node-{index}').service_time_s = 0.1
    return balancer


def list_chosen(balancer, count=200):
    """Return the names of the servers chosen for some requests."""
    return {balancer.choose('stock', []).name for _ in range(count)}


def test_own_zone_is_used_while_it_has_room(manual_clock):
    """Send nothing to other zones at moderate load.

    Two fifths of the calls went to other zones with an idle server at hand;
    the bytes between zones were the highest price of all days on further.
    """
    balancer = build_zoned_balancer(['zone-a', 'zone-b', 'zone-c', 'zone-d'])
    balancer.stats('node-0').load = 0.6
    balancer.stats('node-0').load_reported_at = manual_clock.now
    assert list_chosen(balancer) == {'node-0'}


def test_full_zone_spills_to_others(manual_clock):
    """Use all zones once the own one is nearly full, and return later."""
    balancer = build_zoned_balancer(['zone-a', 'zone-b', 'zone-c', 'zone-d'])
    balancer.stats('node-0').load = 0.9
    balancer.stats('node-0').load_reported_at = manual_clock.now
    assert len(list_chosen(balancer)) > 1
    manual_clock.now += 1.1
    assert list_chosen(balancer) == {'node-0'}


def test_calls_in_flight_fill_a_zone(manual_clock):
    """Count own calls, which no report of the server contains yet."""
    balancer = build_zoned_balancer(['zone-a', 'zone-b'])
    balancer.stats('node-0').in_flight = 8
    assert list_chosen(balancer) == {'node-0', 'node-1'}


@pytest.mark.parametrize(
    ('name', 'value'), [('service_time_s', 0.8), ('failed_share', 0.3)]
)
def test_zone_of_slow_or_failing_server_uses_others(manual_clock, name, value):
    """Avoid a much slower or failing server though it is near."""
    balancer = build_zoned_balancer(['zone-a', 'zone-b', 'zone-c', 'zone-d'])
    setattr(balancer.stats('node-0'), name, value)
    assert {'node-1', 'node-2', 'node-3'} <= list_chosen(balancer)


def test_ejected_local_server_is_avoided(manual_clock):
    """Use other zones at once after the local server became unreachable."""
    balancer = build_zoned_balancer(['zone-a', 'zone-b', 'zone-c', 'zone-d'])
    balancer.stats('node-0').eject()
    assert 'node-0' not in list_chosen(balancer)
