"""Replay servers that refuse quickly, and check that work goes elsewhere."""

import random

import pytest

from limpetshore import clock
from limpetshore.decisions.balancing import Balancer
from limpetshore.protocol.messages import AnswerMeta
from limpetshore.state.members import MemberTable, Status
from limpetshore.verdicts import Reason
from tests.builders import build_node_state

IDLE = AnswerMeta('', '', 0, 0, 0, 0, 0)


class StillClock:
    """Hold a time that a test moves."""

    def __init__(self):
        """Start at a second after zero."""
        self.now = 1.0

    def __call__(self):
        """Return the time."""
        return self.now


@pytest.fixture
def still_clock():
    """Let the clock stand still between steps of a test."""
    before = clock.process_clock.source
    clock.process_clock.source = StillClock()
    yield clock.process_clock.source
    clock.process_clock.source = before


def build_balancer(count=4):
    """Return a balancer that knows some servers of one service."""
    names = [f'node-{number}' for number in range(count)]
    table = MemberTable(
        build_node_state('entry', service='other', peers='10.0.0.9:1'),
    )
    for at, name in enumerate(names):
        table.merge(
            build_node_state(
                name,
                status=int(Status.READY),
                peers=f'10.0.1.{at}:1',
            )
        )
    return Balancer(table, 'zone-a', 0.5, random.Random(1))


@pytest.mark.parametrize(
    'reason',
    [Reason.NOT_OWNER, Reason.DRAINING, Reason.UNREACHABLE],
)
def test_server_that_refuses_at_once_gets_no_work(still_clock, reason):
    """Keep a quick refusal from making a server look idle."""
    balancer = build_balancer()
    for other in ('node-1', 'node-2', 'node-3'):
        balancer.stats(other).load = 0.9
    balancer.stats('node-0').record_refusal(IDLE, reason)
    chosen = {balancer.choose('stock', []).name for _ in range(200)}
    assert chosen == {'node-1', 'node-2', 'node-3'}


def test_server_put_aside_is_tried_again(still_clock):
    """Come back to a server once its time aside is over."""
    balancer = build_balancer()
    balancer.stats('node-0').eject()
    still_clock.now += 1.5
    chosen = {balancer.choose('stock', []).name for _ in range(200)}
    assert 'node-0' in chosen


def test_most_are_never_put_aside_at_once(still_clock):
    """Trust none of the signs when they say that most servers are bad."""
    balancer = build_balancer()
    for name in ('node-0', 'node-1', 'node-2'):
        balancer.stats(name).eject()
    chosen = {balancer.choose('stock', []).name for _ in range(200)}
    assert len(chosen) == 4


def draw(balancer, count=2000):
    """Return the share of requests that each server gets."""
    names = [balancer.choose('stock', []).name for _ in range(count)]
    return {name: names.count(name) / count for name in set(names)}


def test_server_that_is_twelve_times_slower_gets_next_to_nothing(still_clock):
    """Draw by what a request would take, not by how many are there."""
    balancer = build_balancer()
    for name, service_time_s in (('node-0', 0.26), ('node-1', 0.02)):
        answer = IDLE._replace(load=0.5, service_time_s=service_time_s)
        balancer.stats(name).record_answer(answer, has_failed=False)
    for name in ('node-2', 'node-3'):
        answer = IDLE._replace(load=0.6, service_time_s=0.025)
        balancer.stats(name).record_answer(answer, has_failed=False)
    shares = draw(balancer)
    assert shares.get('node-0', 0) < 0.02
    assert min(shares[name] for name in ('node-1', 'node-2', 'node-3')) > 0.15


def test_server_that_fails_quickly_gets_less(still_clock):
    """Keep quick failures from looking like a fast server."""
    balancer = build_balancer()
    for number in range(4):
        stats = balancer.stats(f'node-{number}')
        for _ in range(60):
            answer = IDLE._replace(load=0.5, service_time_s=0.02)
            stats.record_answer(answer, has_failed=number == 0)
    assert draw(balancer).get('node-0', 0) < 0.05


def test_near_servers_get_more_while_they_have_room(still_clock):
    """Prefer the own zone, but not when its servers are full."""
    balancer = build_balancer()
    table = balancer.table
    for name in ('node-2', 'node-3'):
        table.merge(table.get(name)._replace(zone='zone-b', revision=3))
    assert draw(balancer)['node-0'] > 0.35
    for name in ('node-0', 'node-1'):
        full = IDLE._replace(load=2, service_time_s=0.02)
        balancer.stats(name).record_answer(full, has_failed=False)
    assert draw(balancer).get('node-0', 0) < 0.1


def test_server_that_sheds_by_itself_gets_less(still_clock):
    """Count what a server refuses with room as failed."""
    balancer = build_balancer()
    for number in range(4):
        stats = balancer.stats(f'node-{number}')
        answer = IDLE._replace(load=0.5, service_time_s=0.02)
        stats.record_answer(answer, has_failed=False)
        for _ in range(40 if number == 0 else 0):
            stats.record_refusal(answer, Reason.SERVER_SHED)
    assert draw(balancer).get('node-0', 0) < 0.05
