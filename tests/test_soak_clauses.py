"""Check which clause excuses a request without a whole answer."""

import random
import signal

import pytest

from standins.soak import Outcome, Planned, Record, Sent
from standins.soak_clauses import (
    GRACE_S,
    LATE_SHARE,
    LOSS_SLACK_S,
    Clause,
    Loss,
    ServerSide,
    find_clause,
    judge,
)

NODE = 'node-1'
OTHER_NODE = 'node-2'
REQUEST_ID = 'c0001'
SENT_AT = 100.0
LIMIT_S = 5.0
LAST_SIXTH_S = LATE_SHARE * GRACE_S


class StubSoak:
    """Hold what `judge` asks a soak for."""

    def __init__(self, *terms, is_disrupted=False):
        """Record SIGTERM signals, in seconds after the request was sent."""
        self.record = Record(random.Random(1))
        self.record.whole_at[REQUEST_ID] = SENT_AT
        self.record.planned = [
            Planned(NODE, signal.SIGTERM, SENT_AT + after_s)
            for after_s in terms
        ]
        self.has_disruption = is_disrupted

    def is_disrupted(self, sent_at, ended_at):
        """Tell what was asked for."""
        return self.has_disruption


def build_outcome(
    took_s=0.1, status=0, *, is_whole=False, is_sealed=False, is_first=True
):
    """Return an outcome; that of a connection that closes by default."""
    sent = Sent(REQUEST_ID, NODE, True, is_first, SENT_AT, LIMIT_S, '/a/1')
    return Outcome(sent, status, is_whole, SENT_AT + took_s, is_sealed)


def build_servers(arrived_s=None, ended_s=None, answered=None):
    """Return what the servers saw, in seconds after the request was sent."""

    def record(after_s):
        return {} if after_s is None else {REQUEST_ID: SENT_AT + after_s}

    statuses = {} if answered is None else {REQUEST_ID: answered}
    nodes = {} if arrived_s is None else {REQUEST_ID: OTHER_NODE}
    return ServerSide(record(arrived_s), record(ended_s), statuses, nodes)


def judge_one(soak, servers, **fields):
    """Return the loss of an outcome with these fields."""
    return judge(build_outcome(**fields), LIMIT_S, servers, soak)


def test_whole_answer_of_a_server_is_no_loss():
    """Count no loss, whatever status the server gave."""
    soak = StubSoak(0.05)
    servers = build_servers(0.01, 0.09, 500)
    for status in (200, 429, 500, 503, 504):
        fields = {'status': status, 'is_whole': True, 'is_sealed': True}
        assert judge_one(soak, servers, **fields) is None


@pytest.mark.parametrize('status', [429, 500, 502, 503, 504])
def test_own_refusal_of_what_was_not_passed_on_is_no_loss(status):
    """Count no loss if no server got the request."""
    soak = StubSoak(0.05)
    fields = {'status': status, 'is_whole': True}
    assert judge_one(soak, build_servers(), **fields) is None


@pytest.mark.parametrize('status', [429, 500, 502, 503, 504])
@pytest.mark.parametrize('answered', [None, 200, 500])
def test_own_failure_for_a_running_call_at_a_stop_has_no_clause(
    status, answered
):
    """Excuse no failure that replaces the answer, nor one that was given."""
    soak = StubSoak(0.05)
    servers = build_servers(0.01, 0.08, answered)
    loss = judge_one(soak, servers, status=status, is_whole=True)
    assert loss.clause is None
    assert loss.answered == answered
    assert loss.sent_since_term_s == pytest.approx(-0.05)


def test_disruption_excuses():
    """Name the disruption before any other clause."""
    soak = StubSoak(0.05, is_disrupted=True)
    loss = judge_one(soak, build_servers(0.01), took_s=LIMIT_S)
    assert loss.clause == Clause.DISRUPTED


@pytest.mark.parametrize('status', [0, 200, 502, 504])
def test_reached_limit_excuses(status):
    """Excuse what ends at its limit or after it, not a moment before."""
    soak = StubSoak(0.05)
    servers = build_servers(0.01)
    fields = {'status': status, 'is_whole': status > 200}
    reached = judge_one(soak, servers, took_s=LIMIT_S, **fields)
    early = judge_one(soak, servers, took_s=LIMIT_S - 0.0009, **fields)
    assert reached.clause == Clause.TIME_REACHED
    assert early.clause is None


def test_close_that_crosses_a_request_excuses():
    """Excuse a close soon after the last byte if no server got the request."""
    soak = StubSoak(0.05)
    quick = judge_one(soak, build_servers(), took_s=LOSS_SLACK_S - 0.01)
    slow = judge_one(soak, build_servers(), took_s=LOSS_SLACK_S + 0.01)
    passed_on = judge_one(soak, build_servers(0.01), took_s=0.05)
    assert quick.clause == Clause.CROSSED
    assert slow.clause is None
    assert passed_on.clause is None


def test_slack_counts_from_the_last_byte():
    """Excuse a close soon after the last byte of a slow body."""
    soak = StubSoak(0.05)
    soak.record.whole_at[REQUEST_ID] = SENT_AT + 2
    loss = judge_one(soak, build_servers(), took_s=2.1)
    assert loss.clause == Clause.CROSSED


def test_place_behind_another_excuses_what_was_not_passed_on():
    """Excuse a pipelined request only as long as no server got it."""
    soak = StubSoak(0.05)
    waiting = judge_one(soak, build_servers(), took_s=2.0, is_first=False)
    passed_on = judge_one(soak, build_servers(0.01), took_s=2.0, is_first=False)
    assert waiting.clause == Clause.BEHIND
    assert passed_on.clause is None


def test_failure_far_from_a_stop_excuses_but_a_cut_does_not():
    """Let a node give up at other times, but break nothing off."""
    soak = StubSoak()
    servers = build_servers(0.01)
    given_up = judge_one(soak, servers, status=502, is_whole=True)
    cut = judge_one(soak, servers)
    begun = judge_one(soak, servers, status=200)
    assert given_up.clause == Clause.NO_SIGTERM
    assert cut.clause is None
    assert begun.clause is None


@pytest.mark.parametrize(
    ('sent_since_term_s', 'took_s', 'ended_after_s', 'is_excused'),
    [
        (0, LAST_SIXTH_S, LAST_SIXTH_S, True),
        (0, LAST_SIXTH_S, None, True),
        (3, 2, 2, True),
        (-1, LAST_SIXTH_S + 1, LAST_SIXTH_S + 1, True),
        (3.01, 2, 2, False),
        (0, LAST_SIXTH_S - 0.01, LAST_SIXTH_S - 0.01, False),
        (0, LAST_SIXTH_S, LAST_SIXTH_S - 0.01, False),
        # The server worked on after the node had given the request up.
        (0, 1, LAST_SIXTH_S, False),
        (0, 1, None, False),
        (-1, LAST_SIXTH_S, LAST_SIXTH_S, False),
    ],
)
def test_work_in_the_last_sixth_of_the_grace_excuses(
    sent_since_term_s, took_s, ended_after_s, is_excused
):
    """Excuse early requests on which a server works late, nothing else."""
    loss = Loss(
        None, sent_since_term_s, took_s, LIMIT_S * 2, 0.01, ended_after_s, None
    )
    clause = find_clause(build_outcome(), loss, took_s, is_disrupted=False)
    assert clause == (Clause.LAST_SIXTH if is_excused else None)


def test_stop_just_before_the_end_counts():
    """Count a SIGTERM until the answer, also to a node that was restarted."""
    soak = StubSoak(-6.5, 0.09)
    loss = judge_one(soak, build_servers(0.01))
    assert loss.sent_since_term_s == pytest.approx(-0.09)
    assert loss.clause is None


def test_stop_after_the_end_does_not_count():
    """Let a node that is not yet told to stop give a request up."""
    soak = StubSoak(0.2)
    loss = judge_one(soak, build_servers(0.01), status=502, is_whole=True)
    assert loss.sent_since_term_s is None
    assert loss.clause == Clause.NO_SIGTERM


def test_process_started_again_counts_until_a_second_after_the_grace():
    """Excuse no failure of the next process while the window lasts."""
    servers = build_servers(0.01, 0.09, 200)
    fields = {'status': 502, 'is_whole': True}
    inside = judge_one(StubSoak(-GRACE_S - 0.9), servers, **fields)
    outside = judge_one(StubSoak(-GRACE_S - 1.2), servers, **fields)
    assert inside.clause is None
    assert outside.clause == Clause.NO_SIGTERM


def test_stop_of_the_node_of_the_server_is_named():
    """Name it where only the node beside the server was told to stop."""
    soak = StubSoak()
    soak.record.planned = [Planned(OTHER_NODE, signal.SIGTERM, SENT_AT - 2)]
    servers = build_servers(0.01)
    given_up = judge_one(soak, servers, status=502, is_whole=True)
    cut = judge_one(soak, servers)
    assert given_up.clause == Clause.OTHER_SIGTERM
    assert cut.clause is None
