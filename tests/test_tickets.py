"""Test the validation of tickets and the policy that they result in."""

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


def test_repeated_ticket_changes_nothing():
    """Accept a ticket of the same number and content again."""
    policy = apply_ticket(build_policy(number=0), build_ticket()).policy
    outcome = apply_ticket(policy, build_ticket())
    assert outcome.is_already_applied
    assert outcome.policy == policy


def test_same_number_and_other_content_is_rejected():
    """Name the operator whose ticket has the number."""
    policy = apply_ticket(build_policy(number=0), build_ticket()).policy
    other = build_ticket(customers={'harbour': build_customer(rate=7)})
    with pytest.raises(TicketError, match='won by amina'):
        apply_ticket(policy, other)


def test_lower_number_is_rejected():
    """Reject a ticket below the number of the current policy."""
    with pytest.raises(TicketError, match='not above 9'):
        apply_ticket(build_policy(number=9), build_ticket(4))


def test_repeated_earlier_ticket_changes_nothing():
    """Recognize a resent ticket after a later one was accepted.

    An operator resends a ticket if the answer to it was lost.
    """
    policy = apply_ticket(build_policy(number=0), build_ticket(1)).policy
    later = build_ticket(2, customers={'harbour': build_customer(rate=7)})
    policy = apply_ticket(policy, later).policy
    assert apply_ticket(policy, build_ticket(1)).is_already_applied
    assert policy.customers['harbour'].rate == 7


def test_ticket_keeps_unnamed_records():
    """Replace only the records that the ticket names."""
    policy = apply_ticket(
        build_policy(),
        build_ticket(2, customers={'quarry': build_customer(key_hashes=[])}),
    ).policy
    assert set(policy.customers) == {'harbour', 'quarry'}


@pytest.mark.parametrize(
    ('changes', 'expected'),
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
def test_conflicting_records_are_rejected(changes, expected):
    """Reject a ticket whose records conflict with the policy."""
    with pytest.raises(TicketError, match=expected):
        apply_ticket(build_policy(), build_ticket(2, **changes))


def test_all_mistakes_are_reported():
    """Report all mistakes of a ticket at once."""
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
    for expected in (
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
        assert expected in text


def test_policy_round_trip():
    """Decode an encoded policy to an equal one."""
    policy = apply_ticket(build_policy(number=0), build_ticket()).policy
    assert decode_policy(encode_policy(policy)) == policy


@settings(max_examples=300, deadline=None, derandomize=True)
@given(strategies.binary(max_size=200))
def test_random_bytes_raise_value_error(content):
    """Raise ValueError and no other exception for random bytes."""
    with pytest.raises(ValueError):
        decode_policy(content)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(strategies.integers(0, 400), strategies.binary(max_size=3))
def test_damaged_policy_raises_only_value_error(at, replacement):
    """Decode a policy with some bytes replaced, or raise ValueError."""
    encoded = encode_policy(build_policy())
    damaged = encoded[:at] + replacement + encoded[at + len(replacement) :]
    try:
        decode_policy(damaged)
    except ValueError:
        return


def test_unknown_format_is_rejected():
    """Raise ValueError for a policy of another format version."""
    encoded = encode_policy(build_policy())
    with pytest.raises(ValueError, match='format'):
        decode_policy(encoded.replace(b'"format":1', b'"format":2'))


def test_longest_route_path_matches():
    """Match whole path segments, the longest path first."""
    routes = {
        'short': build_route(path='/stock'),
        'long': build_route(path='/stock/held'),
    }
    index = PolicyIndex(build_policy(routes=routes), 1)
    assert index.find_route('GET', '/stock/held/3').name == 'long'
    assert index.find_route('GET', '/stock/3').name == 'short'
    assert index.find_route('GET', '/stocks') is None
    assert index.find_route('PUT', '/stock') is None


def test_customer_is_found_by_key():
    """Find the customer for the key, but not for its hash or an empty one."""
    index = PolicyIndex(build_policy(), 1)
    assert index.find_customer(KEY) == 'harbour'
    assert index.find_customer(hash_key(KEY)) is None
    assert index.find_customer('') is None
