"""Test the list of members that is kept in the store."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetshore.state.roster import (
    MAX_MEMBERS,
    decode_roster,
    encode_roster,
    summarize_roster,
)
from tests.builders import build_node_state


def test_roster_is_read_as_it_was_written():
    """Return the members sorted by name, with no invalid entry."""
    members = [build_node_state('b'), build_node_state('a')]
    roster = decode_roster(encode_roster(members))
    assert roster.members == sorted(members)
    assert not roster.invalid_count


def test_entries_of_another_form_are_counted():
    """Use the valid entries beside those of another writer."""
    valid = msgspec.json.encode(build_node_state('a'))
    encoded = b'[%b,{"name":"b"},["c",1],null]' % valid
    roster = decode_roster(encoded)
    assert [state.name for state in roster.members] == ['a']
    assert roster.invalid_count == 3


def test_roster_of_any_size_is_bounded():
    """Ignore the entries beyond the limit."""
    encoded = b'[%b]' % b','.join([b'0'] * (MAX_MEMBERS + 5))
    roster = decode_roster(encoded)
    assert not roster.members
    assert roster.invalid_count == MAX_MEMBERS + 5


@pytest.mark.parametrize('encoded', [b'', b'{}', b'[', b'\xff', b'7'])
def test_what_is_no_list_is_an_error(encoded):
    """Raise the error that the callers log and count."""
    with pytest.raises(msgspec.MsgspecError):
        decode_roster(encoded)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=80))
def test_any_bytes_are_a_roster_or_an_error(encoded):
    """Raise no other error, whatever the store holds."""
    try:
        roster = decode_roster(encoded)
    except msgspec.MsgspecError:
        return
    assert roster.invalid_count >= 0


def test_status_alone_does_not_make_a_roster_outdated():
    """Write no roster because a server became ready."""
    state = build_node_state('a', status=0)
    suspected = state._replace(status=2, revision=9)
    assert summarize_roster([state]) == summarize_roster([suspected])
    moved = state._replace(peers='10.9.9.9:1')
    assert summarize_roster([state]) != summarize_roster([moved])
