"""Test weighted route splits and the choice of a route."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limpetshore.decisions.splits import Splitter
from limpetshore.importance import Importance
from limpetshore.state.policies import (
    PolicyIndex,
    RouteMatch,
    SplitPart,
)
from tests.builders import build_policy, build_route


def build_match(weights):
    """Return a match of a route that is split by weights."""
    parts = [
        SplitPart(f'part-{number}', weight)
        for number, weight in enumerate(weights)
    ]
    return RouteMatch(
        'lookup',
        build_route(split=parts),
        Importance.NORMAL,
        '/stock/',
    )


@given(
    st.lists(st.integers(1, 100), min_size=1, max_size=4),
    st.integers(1, 300),
)
def test_parts_stay_close_to_their_shares(weights, count):
    """Deviate from a share by at most as many requests as there are parts."""
    splitter = Splitter(random.Random(count))
    match = build_match(weights)
    chosen = [splitter.choose(match) for _ in range(count)]
    for number, weight in enumerate(weights):
        expected = count * weight / sum(weights)
        assert abs(chosen.count(f'part-{number}') - expected) <= len(weights)


@pytest.mark.parametrize('weights', [[50, 50], [60, 40], [75, 25], [80, 20]])
@pytest.mark.parametrize('count', [1, 2, 3])
def test_first_requests_of_many_nodes_keep_the_shares(weights, count):
    """Keep the shares of a split on which each node has had few requests.

    All nodes began with the same part, so that a new split of a large fleet
    sent all or most of its first requests there.
    """
    nodes = 194
    match = build_match(weights)
    first = 0
    for seed in range(nodes):
        splitter = Splitter(random.Random(seed))
        chosen = [splitter.choose(match) for _ in range(count)]
        first += chosen.count('part-0')
    wanted = weights[0] / sum(weights)
    assert abs(first / (nodes * count) - wanted) <= 0.1


def test_part_of_weight_zero_gets_no_requests():
    """Send no requests to a part of weight 0."""
    splitter = Splitter(random.Random(1))
    match = build_match([0, 3])
    assert {splitter.choose(match) for _ in range(20)} == {'part-1'}


def test_routes_are_found_by_host_and_longest_path():
    """Prefer routes for the request's host, then those of the longest path."""
    routes = {
        'any': build_route(path='/', methods=['*']),
        'here': build_route(path='/stock/', host='yard.example'),
        'deep': build_route(path='/stock/held/', host='yard.example'),
    }
    index = PolicyIndex(build_policy(routes=routes), 1)
    assert index.find_route('GET', '/stock/1', 'yard.example').name == 'here'
    deep = index.find_route('GET', '/stock/held/', 'yard.example')
    assert deep.name == 'deep'
    assert index.find_route('PUT', '/stock/1', 'yard.example').name == 'any'
    assert index.find_route('GET', '/stock', 'yard.example').name == 'any'
    assert index.find_route('GET', '/a//b', 'other').name == 'any'
