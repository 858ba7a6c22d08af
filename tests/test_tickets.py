"""Test which tickets are accepted."""

import pytest
from hypothesis import given, settings, strategies

from limpetshore.errors import TicketError
from limpetshore.state.policies import (
    PolicyIndex,
    decode_policy,
    encode_policy,
    hash_key,
)
from limpetshore.state.tickets import apply_ticket, check_ticket
from tests.builders import (
    KEY,
    build_customer,
    build_policy,
    build_route,
    build_ticket,
)


def test_same_number_and_content_is_already_done():
    """Accept the same ticket again without a change."""
    policy = apply_ticket(build_policy(number=0), build_ticket()).policy
    outcome = apply_ticket(policy, build_ticket())
    assert outcome.is_already_applied
    assert outcome.policy == policy


def test_same_number_and_other_content_is_refused():
    """Name the operator who won the number."""
    policy = apply_ticket(build_policy(number=0), build_ticket()).policy
    other = build_ticket(customers={'harbour': build_customer(rate=7)})
    with pytest.raises(TicketError, match='won by amina'):
        apply_ticket(policy, other)


def test_lower_number_is_refused():
    """Refuse a ticket that was overtaken."""
    with pytest.raises(TicketError, match='not above 9'):
        apply_ticket(build_policy(number=9), build_ticket(4))


def test_earlier_ticket_found_again_is_already_done():
    """Recognise a ticket whose answer was lost, also after later ones."""
    policy = apply_ticket(build_policy(number=0), build_ticket(1)).policy
    later = build_ticket(2, customers={'harbour': build_customer(rate=7)})
    policy = apply_ticket(policy, later).policy
    assert apply_ticket(policy, build_ticket(1)).is_already_applied
    assert policy.customers['harbour'].rate == 7


def test_what_a_ticket_does_not_name_stays():
    """Replace only the records that are named."""
    policy = apply_ticket(
        build_policy(),
        build_ticket(2, customers={'quarry': build_customer(key_hashes=[])}),
    ).policy
    assert set(policy.customers) == {'harbour', 'quarry'}


@pytest.mark.parametrize(
    ('changes', 'named'),
    [
        ({'customers': {'other': build_customer()}}, 'key of harbour'),
        ({'routes': {'twin': build_route()}}, 'same path and method'),
        (
            {'routes': {'r': build_route(path='/r', customers=['nobody'])}},
            'no customer',
        ),
        (
            {'routes': {'r': build_route(path='/r', methods=[])}},
            'at least one',
        ),
    ],
)
def test_contradictions_are_named(changes, named):
    """Refuse a ticket that would contradict the rest."""
    with pytest.raises(TicketError, match=named):
        apply_ticket(build_policy(), build_ticket(2, **changes))


def test_every_mistake_is_listed():
    """List all mistakes of a ticket at once."""
    with pytest.raises(TicketError) as caught:
        check_ticket(
            {
                'number': True,
                'operator': 'Not A Name',
                'colour': 1,
                'customers': {'a': {'rate': 0, 'burst': 0, 'size': 1}, 'b': 3},
                'routes': {'r': {'path': 'x', 'importance': 'dire'}},
                'drained': 'node',
                'remove': {'keys': []},
            }
        )
    text = str(caught.value)
    for named in (
        'number',
        'operator',
        'colour',
        'customers.a.rate',
        'customers.a.burst',
        'customers.a.size',
        'customers.b',
        'routes.r.path',
        'routes.r.service',
        'routes.r.importance',
        'drained',
        'remove',
    ):
        assert named in text


def test_policy_survives_the_store():
    """Read back what was written."""
    policy = apply_ticket(build_policy(number=0), build_ticket()).policy
    assert decode_policy(encode_policy(policy)) == policy


@settings(max_examples=300, deadline=None, derandomize=True)
@given(strategies.binary(max_size=200))
def test_damaged_policy_raises_one_error(content):
    """Raise ValueError, and nothing else, for any damage."""
    with pytest.raises(ValueError):
        decode_policy(content)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(strategies.integers(0, 400), strategies.binary(max_size=3))
def test_cut_policy_is_damaged_or_sound(at, replacement):
    """Decode a policy with some bytes replaced, or raise ValueError."""
    encoded = encode_policy(build_policy())
    damaged = encoded[:at] + replacement + encoded[at + len(replacement) :]
    try:
        decode_policy(damaged)
    except ValueError:
        return


def test_newer_format_is_refused():
    """Refuse a record of a format that is not known."""
    encoded = encode_policy(build_policy())
    with pytest.raises(ValueError, match='format'):
        decode_policy(encoded.replace(b'"format":1', b'"format":2'))


def test_longest_route_wins():
    """Match whole path segments, the longest route first."""
    routes = {
        'short': build_route(path='/stock'),
        'long': build_route(path='/stock/held'),
    }
    index = PolicyIndex(build_policy(routes=routes), 1)
    assert index.find_route('GET', '/stock/held/3').name == 'long'
    assert index.find_route('GET', '/stock/3').name == 'short'
    assert index.find_route('GET', '/stocks') is None
    assert index.find_route('PUT', '/stock') is None


def test_key_is_known_by_its_hash():
    """Find the customer of a key and of no other text."""
    index = PolicyIndex(build_policy(), 1)
    assert index.find_customer(KEY) == 'harbour'
    assert index.find_customer(hash_key(KEY)) is None
    assert index.find_customer('') is None
