"""Test that member tables merge the same way everywhere."""

import random

import pytest
from hypothesis import given, settings, strategies

from limpetshore import clock
from limpetshore.state.members import MemberTable, Status
from tests.builders import build_node_state as build_state


@pytest.fixture(scope='module', autouse=True)
def still_clock():
    """Let the clock stand still, since no event loop runs here."""
    before = clock.process_clock.source
    clock.process_clock.source = lambda: 0.0
    yield
    clock.process_clock.source = before


def build_table(own='node-a'):
    """Return the table of one node on a clock that stands still."""
    return MemberTable(build_state(own))


states = strategies.builds(
    build_state,
    name=strategies.sampled_from(['node-b', 'node-c', 'node-d']),
    incarnation=strategies.integers(1, 3),
    revision=strategies.integers(0, 3),
    status=strategies.sampled_from([int(status) for status in Status]),
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(strategies.lists(states, max_size=20), strategies.integers())
def test_order_and_repetition_do_not_matter(heard, seed):
    """Reach the same table whatever the order of the same words."""
    first, second = build_table(), build_table()
    for state in heard:
        first.merge(state)
    shuffled = heard * 2
    random.Random(seed).shuffle(shuffled)
    for state in shuffled:
        second.merge(state)
    assert sorted(first.states()) == sorted(second.states())
    assert first.members_hash == second.members_hash


def test_suspected_node_contradicts():
    """Raise the own revision above a wrong word."""
    table = build_table()
    wrong = build_state(status=int(Status.DEAD), revision=4)
    assert table.merge(wrong)
    assert table.own.status == Status.READY
    assert table.own.revision == 5


def test_earlier_incarnation_of_a_clock_gone_back_is_outdone():
    """Rise above what peers remember, also after a jump of the clock."""
    table = build_table()
    table.merge(build_state(incarnation=900, status=int(Status.LEFT)))
    assert table.own.incarnation == 901


def test_second_process_of_a_name_is_told_apart_after_joining():
    """Count a conflict instead of outbidding another process for ever."""
    table = build_table()
    table.is_joining = False
    table.merge(build_state(incarnation=900))
    assert table.own.incarnation == 5
    assert table.conflicts == 1


def test_mass_disappearance_keeps_the_last_known_servers():
    """Return dead servers when no other is left."""
    table = build_table('node-x')
    for name in ('node-b', 'node-c'):
        table.merge(build_state(name, service='yard'))
    table.mark('node-b', Status.DEAD)
    found = [state.name for state in table.find_usable_nodes('yard')]
    assert found == ['node-c']
    table.mark('node-c', Status.DEAD)
    found = [state.name for state in table.find_usable_nodes('yard')]
    assert found == ['node-b', 'node-c']


def test_left_servers_get_nothing():
    """Never return a server that has left."""
    table = build_table('node-x')
    table.merge(build_state('node-b', service='yard'))
    table.mark('node-b', Status.LEFT)
    assert table.find_usable_nodes('yard') == []


def test_node_at_a_reused_address_displaces_the_one_before():
    """Send nothing to a name whose address belongs to another node now."""
    table = MemberTable(build_state(peers='10.0.0.9:7001'))
    table.merge(build_state('node-b', peers='10.0.0.2:7001'))
    assert [state.name for state in table.find_usable_nodes('stock')] == [
        'node-a',
        'node-b',
    ]
    newer = build_state('node-c', peers='10.0.0.2:7001', incarnation=9)
    table.merge(newer)
    table.merge(build_state('node-b', peers='10.0.0.2:7001', revision=4))
    assert [state.name for state in table.find_usable_nodes('stock')] == [
        'node-a',
        'node-c',
    ]
