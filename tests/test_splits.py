"""Check that a split keeps its weights over any run of requests."""

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
    """Return a route that is split by weights."""
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
def test_every_run_is_within_a_request_of_its_shares(weights, count):
    """Count each part against its share after some requests."""
    splitter = Splitter()
    match = build_match(weights)
    chosen = [splitter.choose(match) for _ in range(count)]
    for number, weight in enumerate(weights):
        wanted = count * weight / sum(weights)
        assert abs(chosen.count(f'part-{number}') - wanted) <= len(weights)


def test_part_of_no_weight_gets_nothing():
    """Send nothing to a part whose weight is zero."""
    splitter = Splitter()
    match = build_match([0, 3])
    assert {splitter.choose(match) for _ in range(20)} == {'part-1'}


def test_routes_are_found_by_host_and_longest_path():
    """Prefer the caller's host, then the longest path."""
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
