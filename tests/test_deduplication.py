"""Test that a request id runs at most once."""

import pytest

from limpetshore import clock
from limpetshore.state.deduplication import (
    RequestDeduplicator,
    RequestId,
    find_owner,
)


@pytest.fixture
def wall_clock(monkeypatch):
    """Replace the wall clock by a list whose only item is the time."""
    times = [1000.0]
    monkeypatch.setattr(clock, 'wall_time', lambda: times[0])
    return times


def build_deduplicator(wall_clock):
    """Return a deduplicator that started 10 s ago, more than the skew."""
    deduplicator = RequestDeduplicator(window_s=600, skew_s=2)
    wall_clock[0] += 10
    return deduplicator


def issue_id(wall_clock, text='id', ago=0.0):
    """Return an id issued `ago` seconds before the current time."""
    return RequestId(text, wall_clock[0] - ago)


def test_second_claim_is_refused(wall_clock):
    """Refuse an id that has been claimed."""
    deduplicator = build_deduplicator(wall_clock)
    assert deduplicator.claim(issue_id(wall_clock))
    assert not deduplicator.claim(issue_id(wall_clock))


def test_released_id_can_be_claimed_again(wall_clock):
    """Remove the claim of a request that did not run."""
    deduplicator = build_deduplicator(wall_clock)
    request_id = issue_id(wall_clock)
    assert deduplicator.claim(request_id)
    deduplicator.release(request_id)
    assert deduplicator.claim(request_id)


def test_id_issued_before_the_start_is_refused(wall_clock):
    """Refuse ids that the guard may have run before its restart."""
    deduplicator = build_deduplicator(wall_clock)
    assert not deduplicator.claim(issue_id(wall_clock, ago=9))


def test_id_is_refused_after_a_change_of_owners(wall_clock):
    """Refuse ids that the earlier owner may still run."""
    deduplicator = build_deduplicator(wall_clock)
    deduplicator.distrust_recent_ids(settle_s=8)
    assert not deduplicator.claim(issue_id(wall_clock))
    wall_clock[0] += 11
    assert deduplicator.claim(issue_id(wall_clock, 'new'))


def test_id_outside_the_window_is_refused(wall_clock):
    """Refuse ids older than the window, and ids issued in the future."""
    deduplicator = build_deduplicator(wall_clock)
    wall_clock[0] += 1000
    assert not deduplicator.claim(issue_id(wall_clock, ago=599))
    assert not deduplicator.claim(issue_id(wall_clock, ago=-3))


def test_id_is_too_old_when_its_claim_is_evicted(wall_clock):
    """Refuse a claimed id for ever, while the claims stay bounded."""
    deduplicator = build_deduplicator(wall_clock)
    request_id = issue_id(wall_clock)
    assert deduplicator.claim(request_id)
    for _ in range(400):
        wall_clock[0] += 7
        deduplicator.claim(issue_id(wall_clock, f'other-{wall_clock[0]}'))
        assert not deduplicator.claim(request_id)
    assert len(deduplicator.claims) < 400


def test_clock_jump_back_does_not_allow_a_second_claim(wall_clock):
    """Refuse a claimed id after the wall clock has jumped back 300 s."""
    deduplicator = build_deduplicator(wall_clock)
    request_id = issue_id(wall_clock)
    assert deduplicator.claim(request_id)
    wall_clock[0] -= 300
    assert not deduplicator.claim(request_id)


def test_removing_a_node_moves_only_its_ids():
    """Keep the owner of an id while this node remains."""
    names = ['a', 'b', 'c', 'd']
    for number in range(200):
        owner = find_owner(str(number), names)
        remaining = [name for name in names if name != 'd']
        if owner != 'd':
            assert find_owner(str(number), remaining) == owner
