"""Test what a node does while the answer to a call is overdue."""

import pytest

from limpetshore.protocol.exchanges import InboundRequest
from limpetshore.verdicts import Reason
from tests.mock_clock import run_on_mock_clock
from tests.scripted_peers import GET, Script, ScriptedCall

SLOW = Script(delay_s=0.5)


def play(scripts, inbound=GET, **changes):
    """Return the call after its attempts, the failure and the answer."""

    async def run():
        call = ScriptedCall(scripts, **changes)
        failure, answer = await call.run(inbound)
        return call, failure, answer

    return run_on_mock_clock(run)


REFUSALS = {
    'overloaded': Script(status=503, reason=Reason.OVERLOADED),
    'draining': Script(status=503, reason=Reason.DRAINING),
    'cut': Script(is_cut=True),
    'cut later': Script(delay_s=0.2, is_cut=True),
    'truncated': Script(is_truncated=True),
}


@pytest.mark.parametrize('second', REFUSALS.values(), ids=REFUSALS)
def test_refusal_elsewhere_does_not_replace_a_running_call(second):
    """Deliver the answer of the first server once the second has refused.

    Calls that were overdue in a surge were given up and sent to a second
    server, which had no room either: callers got 502 while the first server
    was at work, also around a SIGTERM.
    """
    call, failure, answer = play({'a': SLOW, 'b': second})
    assert failure is None
    assert answer[:2] == (200, b'whole')
    assert call.attempts.tried == ['a', 'b']


def test_first_answer_wins():
    """Deliver the answer that comes first, and close the other exchange."""
    call, failure, answer = play({'a': SLOW, 'b': Script(delay_s=0.02)})
    assert failure is None
    assert answer[2] < SLOW.delay_s
    assert not any(pool.connection.is_open for pool in call.pools.values())
    assert all(stats.in_flight == 0 for stats in call.stats.values())
    assert call.stats['a'].failures == [Reason.SILENT]


def test_failure_of_a_late_server_counts_once():
    """Record one failure of a server that is late and then breaks off."""
    broken = Script(delay_s=0.2, is_cut=True)
    call, _, answer = play({'a': broken, 'b': Script(delay_s=0.3)})
    assert answer[:2] == (200, b'whole')
    assert call.stats['a'].failures == [Reason.BROKEN]


def test_answer_of_a_late_server_wins_over_a_later_one():
    """Deliver the answer of the first server if the second is slower."""
    call, _, answer = play({'a': SLOW, 'b': Script(delay_s=0.6)})
    assert answer[2] == pytest.approx(SLOW.delay_s)
    assert not call.stats['a'].failures


def test_silent_servers_are_awaited_until_the_deadline():
    """End a request that no server answers at its deadline, not before."""
    silent = Script(status=None)
    _, failure, answer = play({'a': silent, 'b': silent})
    assert answer is None
    assert failure.refusal.reason == Reason.DEADLINE


def test_request_with_a_body_under_way_is_not_given_up():
    """Wait for the answer to a body that can't be sent once more.

    The call was given up as overdue, and then not sent elsewhere: 502.
    """

    async def send_rest():
        yield b'rest'

    inbound = InboundRequest(b'GET', b'/stock', [], b'', send_rest(), b'4')
    inbound = inbound._replace(tasks=NoTasks())
    call, failure, answer = play({'a': SLOW, 'b': Script()}, inbound)
    assert failure is None
    assert answer[:2] == (200, b'whole')
    assert call.attempts.tried == ['a']


class NoTasks:
    """Start no task that sends a body."""

    def start_soon(self, *call):
        """Start nothing."""
