"""Test that member tables converge when they merge the same states."""

import random

import pytest
from hypothesis import given, settings, strategies

from limpetshore import clock
from limpetshore.state.members import MemberTable, Status
from tests.builders import build_node_state as build_state


@pytest.fixture(scope='module', autouse=True)
def frozen_clock():
    """Freeze the clock, because no event loop runs in these tests."""
    original = clock.process_clock.source
    clock.process_clock.source = lambda: 0.0
    yield
    clock.process_clock.source = original


def build_table(own='node-a'):
    """Return the table of one node, on the frozen clock."""
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
def test_merge_is_commutative_and_idempotent(received, seed):
    """Merge the same states in another order, twice, into an equal table."""
    first, second = build_table(), build_table()
    for state in received:
        first.merge(state)
    shuffled = received * 2
    random.Random(seed).shuffle(shuffled)
    for state in shuffled:
        second.merge(state)
    assert sorted(first.states()) == sorted(second.states())
    assert first.members_hash == second.members_hash


def test_node_refutes_a_wrong_state_of_itself():
    """Raise the own revision above that of the wrong state."""
    table = build_table()
    wrong = build_state(status=int(Status.DEAD), revision=4)
    assert table.merge(wrong)
    assert table.own.status == Status.READY
    assert table.own.revision == 5


def test_joining_node_supersedes_an_earlier_incarnation():
    """Exceed the incarnation that peers remember.

    Incarnations come from the wall clock. If the clock has jumped back before
    a restart, the new incarnation is lower than the remembered one.
    """
    table = build_table()
    table.merge(build_state(incarnation=900, status=int(Status.LEFT)))
    assert table.own.incarnation == 901


def test_second_process_of_a_name_is_a_conflict_after_joining():
    """Count a conflict, or two processes would raise it in turn for ever."""
    table = build_table()
    table.is_joining = False
    table.merge(build_state(incarnation=900))
    assert table.own.incarnation == 5
    assert table.name_conflicts == 1


def test_dead_nodes_are_returned_if_no_other_is_left():
    """Keep the last known nodes of a service if all of them disappear."""
    table = build_table('node-x')
    for name in ('node-b', 'node-c'):
        table.merge(build_state(name, service='yard'))
    table.mark('node-b', Status.DEAD)
    found = [state.name for state in table.find_usable_nodes('yard')]
    assert found == ['node-c']
    table.mark('node-c', Status.DEAD)
    found = [state.name for state in table.find_usable_nodes('yard')]
    assert found == ['node-b', 'node-c']


def test_left_nodes_are_not_returned():
    """Send no requests to a node that has left."""
    table = build_table('node-x')
    table.merge(build_state('node-b', service='yard'))
    table.mark('node-b', Status.LEFT)
    assert table.find_usable_nodes('yard') == []


def test_node_at_a_reused_address_displaces_the_earlier_one():
    """Send no requests to a node whose address a newer node uses."""
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
