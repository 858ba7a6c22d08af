"""Test which log lines and counts the end of a request leaves."""

import itertools
import random
from types import SimpleNamespace

import anyio
import logbook
import pytest

from limpetshore import clock
from limpetshore.decisions.drain_schedule import DrainSchedule
from limpetshore.decisions.retry_budgets import RetryBudget
from limpetshore.metrics import Metrics
from limpetshore.protocol.dialects import (
    NativeCallerDialect,
    RequestIdentity,
)
from limpetshore.routing.attempts import RoutedCall
from limpetshore.routing.authentication import Origin
from limpetshore.routing.calls import CallContext
from limpetshore.routing.ingress import Ingress, RequestHandler
from limpetshore.routing.peer_app import PeerApp
from limpetshore.state.policies import PolicyIndex
from limpetshore.transport.server_request import ServerRequest
from limpetshore.verdicts import Reason, Refusal, Verdict
from tests.builders import build_policy
from tests.mock_clock import run_on_mock_clock

TIMEOUT_S = 5
LEAVING_S = 2
CUT_MESSAGE = 'connection closed without a complete answer'


def build_state():
    """Return the part of the state of an ingress that the end uses."""
    return SimpleNamespace(
        authenticator=SimpleNamespace(
            dialect=NativeCallerDialect(), refund=lambda origin: None
        ),
        drain=DrainSchedule(6, 2),
        metrics=Metrics(),
        rng=random.Random(1),
        settings=SimpleNamespace(call=SimpleNamespace(stall_s=1)),
    )


def build_handler(state, started_at, tried=('yard-1',)):
    """Return the handler of a request that was passed on to `tried`."""
    connection = SimpleNamespace(
        is_disconnected=False,
        is_ended_here=False,
        may_stay_open=lambda request: True,
        peer_host='',
        write=lambda chunk: None,
    )
    request = ServerRequest(connection)
    request.is_oldest = True
    handler = RequestHandler(state, request)
    match = PolicyIndex(build_policy(), 1).find_route('GET', '/stock')
    context = CallContext(
        'harbour', match.importance, started_at + TIMEOUT_S, 'id', 0
    )
    handler.identity = RequestIdentity('id', is_from_caller=False, root='id')
    handler.call = RoutedCall(
        match=match,
        origin=Origin(context, RetryBudget(2), None),
        identity=handler.identity,
        service='stock',
        started_at=started_at,
        is_nested=False,
    )
    if tried is not None:
        handler.attempts = SimpleNamespace(tried=list(tried))
    return handler


def end_request(end, *, after_s=1, tried=('yard-1',), is_leaving=False):
    """End a request; return the fields of its line and what was counted."""
    state = build_state()

    async def run():
        handler = build_handler(state, anyio.current_time(), tried)
        if is_leaving:
            await anyio.sleep(after_s - LEAVING_S)
            state.drain.start(clock.now())
            await anyio.sleep(LEAVING_S)
        else:
            await anyio.sleep(after_s)
        end(handler)

    with logbook.TestHandler().applicationbound() as log_handler:
        run_on_mock_clock(run)
    record = log_handler.records[-1]
    return record.level_name, record.extra, list_own_answers(state.metrics)


def list_own_answers(metrics):
    """Return the counts of the node's own answers, by reason and leaving."""
    return {
        (sample.labels['reason'], sample.labels['leaving']): sample.value
        for family in metrics.own_answers.collect()
        for sample in family.samples
        if sample.name.endswith('_total')
    }


def refuse_with(reason, verdict=Verdict.MAY_HAVE_RUN):
    """Return a function that ends a request with a refusal."""
    refusal = Refusal(reason, verdict, 0, 'why')
    return lambda handler: handler.finish_refused(refusal)


@pytest.mark.parametrize('is_leaving', [False, True])
def test_refusal_of_a_request_that_was_passed_on_is_told(is_leaving):
    """Name what a reader needs to judge an answer of the node's own."""
    level, fields, counts = end_request(
        refuse_with(Reason.SILENT),
        after_s=3,
        tried=('yard-1', 'yard-2'),
        is_leaving=is_leaving,
    )
    assert level == 'NOTICE'
    assert fields['request_id'] == 'id'
    assert fields['detail'] == 'why'
    assert fields['verdict'] == 'may-have-run'
    assert fields['tried'] == ['yard-1', 'yard-2']
    assert (fields['after_s'], fields['left_s']) == (3, TIMEOUT_S - 3)
    assert fields['leaving_for_s'] == (LEAVING_S if is_leaving else None)
    assert counts == {('silent', str(is_leaving).lower()): 1}


ORDINARY_REFUSALS = [
    (Reason.OVERLOADED, Verdict.NOT_RUN, ('yard-1',)),
    (Reason.SILENT, Verdict.NOT_RUN, ('yard-1',)),
    (Reason.RATE, Verdict.NOT_RUN, None),
    (Reason.BROKEN, Verdict.MAY_HAVE_RUN, ()),
    (Reason.REPEATED, Verdict.MAY_HAVE_RUN, ('yard-1',)),
]


@pytest.mark.parametrize(('reason', 'verdict', 'tried'), ORDINARY_REFUSALS)
def test_refusal_of_a_request_that_has_not_run_is_ordinary(
    reason, verdict, tried
):
    """Leave the reserved lines to requests that a server may have begun."""
    level, fields, counts = end_request(
        refuse_with(reason, verdict), tried=tried
    )
    assert (level, counts) == ('INFO', {})
    assert fields['left_s'] == TIMEOUT_S - 1


@pytest.mark.parametrize(
    ('reason', 'after_s', 'level'),
    [
        (Reason.DEADLINE, TIMEOUT_S, 'INFO'),
        (Reason.DEADLINE, TIMEOUT_S - 1, 'NOTICE'),
        (Reason.BROKEN, TIMEOUT_S, 'NOTICE'),
    ],
)
def test_deadline_that_was_reached_is_ordinary(reason, after_s, level):
    """Count an end at the deadline, but write it as an ordinary line."""
    told_level, _, counts = end_request(refuse_with(reason), after_s=after_s)
    assert told_level == level
    assert counts == {(reason.value, 'false'): 1}


def cut(handler):
    """End a request without a complete answer."""
    handler.cut_detail = 'cut by the server'
    handler.log_cut()


def stop(handler):
    """End a request with the process."""
    handler.log_cut()


def abort_earlier(handler):
    """End a request with the connection, which an earlier answer closes."""
    handler.request.connection.is_ended_here = True
    handler.request.connection.is_disconnected = True
    handler.log_cut()


@pytest.mark.parametrize(
    ('end', 'detail'),
    [
        (cut, 'cut by the server'),
        (stop, 'the node stops'),
        (abort_earlier, 'an earlier answer closed the connection'),
    ],
)
@pytest.mark.parametrize('is_leaving', [False, True])
def test_cut_of_a_request_that_was_passed_on_is_told(end, detail, is_leaving):
    """Name the request, its time and the state of the node."""
    level, fields, counts = end_request(end, after_s=3, is_leaving=is_leaving)
    assert (level, fields['detail']) == ('NOTICE', detail)
    assert fields['request_id'] == 'id'
    assert (fields['after_s'], fields['left_s']) == (3, TIMEOUT_S - 3)
    assert fields['leaving_for_s'] == (LEAVING_S if is_leaving else None)
    assert counts == {('cut', str(is_leaving).lower()): 1}


def disconnect(handler):
    """End a request because its caller has left."""
    handler.request.connection.is_disconnected = True
    handler.log_cut()


@pytest.mark.parametrize(
    ('end', 'after_s', 'tried', 'expected'),
    [
        (disconnect, 1, ('yard-1',), {}),
        (cut, 1, None, {}),
        (cut, 1, (), {}),
        (cut, TIMEOUT_S, ('yard-1',), {('cut', 'false'): 1}),
    ],
)
def test_other_cuts_are_ordinary(end, after_s, tried, expected):
    """Leave the reserved lines to work that is lost."""
    level, _, counts = end_request(end, after_s=after_s, tried=tried)
    assert (level, counts) == ('INFO', expected)


def test_refusal_after_a_begun_answer_is_counted_once():
    """Count the cut, not the refusal that could not be sent."""

    def end(handler):
        handler.request.start_answer(200, [])
        handler.finish_refused(Refusal(Reason.BROKEN, Verdict.MAY_HAVE_RUN))
        handler.log_cut()

    _, _, counts = end_request(end)
    assert counts == {('cut', 'false'): 1}


def test_line_before_the_call_is_known_has_no_remaining_time():
    """Tell no deadline of a request whose route is unknown."""

    def end(handler):
        handler.call = None
        handler.finish_refused(Refusal(Reason.ROUTE_UNKNOWN))

    level, fields, _ = end_request(end, tried=None)
    assert (level, fields['left_s']) == ('INFO', None)


def test_own_answers_are_exposed():
    """Show the counter under the name that the page of operators has."""
    metrics = Metrics()
    reasons = itertools.chain(Reason, ('cut',))
    for reason in reasons:
        metrics.own_answers.labels(reason, 'true').inc()
    line = b'limpetshore_own_answers_total{leaving="true",reason="cut"} 1.0'
    assert line in metrics.expose()


def test_lost_answers_are_counted_by_role():
    """Tell answers to callers from answers to other nodes."""
    metrics = Metrics()
    holder = SimpleNamespace(metrics=metrics)
    Ingress.count_lost_answer(holder, 'node')
    PeerApp(holder).count_lost_answer('caller')
    for labels in (
        b'{ended_by="node",role="ingress"}',
        b'{ended_by="caller",role="guard"}',
    ):
        line = b'limpetshore_lost_answers_total%b 1.0' % labels
        assert line in metrics.expose()
