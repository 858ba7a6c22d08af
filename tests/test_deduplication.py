"""Test that a request id runs once."""

import pytest

from limpetshore import clock
from limpetshore.state.deduplication import (
    RequestDeduplicator,
    RequestId,
    find_owner,
)


@pytest.fixture
def wall(monkeypatch):
    """Return a wall clock that the test sets."""
    times = [1000.0]
    monkeypatch.setattr(clock, 'wall_time', lambda: times[0])
    return times


def build_log(wall):
    """Return a log that knows its range already."""
    log = RequestDeduplicator(window_s=600, skew_s=2)
    wall[0] += 10
    return log


def born(wall, text='id', ago=0.0):
    """Return an id born some time ago."""
    return RequestId(text, wall[0] - ago)


def test_second_claim_is_refused(wall):
    """Run an id once."""
    log = build_log(wall)
    assert log.claim(born(wall))
    assert not log.claim(born(wall))


def test_released_id_may_run_again(wall):
    """Forget a claim of a request that did not run."""
    log = build_log(wall)
    request_id = born(wall)
    assert log.claim(request_id)
    log.release(request_id)
    assert log.claim(request_id)


def test_id_from_before_the_start_is_refused(wall):
    """Refuse what an earlier life of the guard may have run."""
    log = build_log(wall)
    assert not log.claim(born(wall, ago=9))


def test_id_is_refused_after_a_change_of_owners(wall):
    """Refuse what another owner may still run."""
    log = build_log(wall)
    log.distrust_recent_ids(settle_s=8)
    assert not log.claim(born(wall))
    wall[0] += 11
    assert log.claim(born(wall, 'new'))


def test_id_older_than_the_window_or_from_the_future_is_refused(wall):
    """Refuse ids whose history is not remembered, or that cannot be."""
    log = build_log(wall)
    wall[0] += 1000
    assert not log.claim(born(wall, ago=599))
    assert not log.claim(born(wall, ago=-3))


def test_forgotten_id_is_too_old_by_then(wall):
    """Never run an id again, however long its owner lives."""
    log = build_log(wall)
    request_id = born(wall)
    assert log.claim(request_id)
    for _ in range(400):
        wall[0] += 7
        log.claim(born(wall, f'other-{wall[0]}'))
        assert not log.claim(request_id)
    assert len(log.seen) < 400


def test_clock_that_jumps_back_runs_nothing_twice(wall):
    """Refuse an id again after the wall clock has gone back."""
    log = build_log(wall)
    request_id = born(wall)
    assert log.claim(request_id)
    wall[0] -= 300
    assert not log.claim(request_id)


def test_owner_moves_only_with_its_server():
    """Keep the owner of an id while its server stays."""
    names = ['a', 'b', 'c', 'd']
    for number in range(200):
        owner = find_owner(str(number), names)
        left = [name for name in names if name != 'd']
        if owner != 'd':
            assert find_owner(str(number), left) == owner
