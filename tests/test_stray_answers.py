"""Test the guard against servers that write more than one answer."""

import asyncio

import pytest

from limpetshore import clock
from limpetshore.errors import TooLongError, TruncatedError
from limpetshore.platform import wire
from limpetshore.platform.health import query_instance
from limpetshore.routing.guard_exchange import GuardExchange
from limpetshore.state.backends import Announcement
from limpetshore.transport.http_client import MAX_BUFFERED_BYTES, Address
from limpetshore.transport.responses import ResponseReader
from limpetshore.verdicts import Verdict
from tests.faulty_server import (
    HOST,
    PORT,
    REFUSED,
    RUN,
    build_answer,
    build_request,
    run_against_server,
    send,
)


CHUNKED_HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    + wire.REQUEST_ID
    + b': one\r\n'
    + wire.SEAL
    + b': s\r\ntransfer-encoding: chunked\r\n\r\n'
)


async def send_one_and_two(guard):
    """Return the outcomes of two requests, one after the other."""
    first = await send(guard, 'one')
    await asyncio.sleep(0.05)
    return first, await send(guard, 'two')


@pytest.mark.parametrize('request_id', [b'one', None])
@pytest.mark.parametrize('status', [REFUSED, RUN])
def test_copy_of_earlier_answer_is_not_the_next_one(status, request_id):
    """Never take an earlier answer or refusal for that of the next request.

    A server wrote an earlier refusal once more, when it already ran the next
    request: its caller was told that the request had not run.
    """
    script = [
        [build_answer(RUN, b'one')],
        [build_answer(status, request_id, b'old'), build_answer(RUN, b'two')],
    ]
    outcome = run_against_server(script, send_one_and_two)
    assert outcome in {(RUN, RUN), (RUN, Verdict.MAY_HAVE_RUN)}


@pytest.mark.parametrize(
    'framing', [b'content-length: 4', b'transfer-encoding: chunked', b'x: y']
)
def test_head_that_breaks_off_is_no_answer(framing):
    """Never forward a success of which the server sent half a head.

    Callers of other systems got a 200 with an empty or short body.
    """
    lines = [
        b'HTTP/1.1 200 OK',
        wire.REQUEST_ID + b': one',
        wire.SEAL + b': s',
        framing,
        b'\r\n',
    ]
    head = b'\r\n'.join(lines)
    script = [[head[:cut], None] for cut in range(1, len(head))]

    async def work(guard):
        return {await send(guard, 'one') for _ in script}

    assert run_against_server(script, work) == {Verdict.MAY_HAVE_RUN}


def test_refused_request_is_sent_again_on_another_connection():
    """Use the connection of a refusal for other requests only.

    A second copy of the refusal, however late, would name the same request.
    """

    async def work(guard):
        outcomes = [await send(guard, 'one')]
        first = guard.pool.idle[-1]
        outcomes.append(await send(guard, 'two'))
        assert guard.pool.idle == [first]
        outcomes.append(await send(guard, 'one'))
        assert first not in guard.pool.idle
        return outcomes

    script = [
        [build_answer(REFUSED, b'one')],
        [build_answer(RUN, b'two')],
        [build_answer(RUN, b'one')],
    ]
    assert run_against_server(script, work) == [Verdict.NOT_RUN, RUN, RUN]


def test_waiting_request_is_not_sent_to_another_server():
    """Refuse what waits for a slot once another server answers.

    After the first 421 the requests that waited were sent without the instance
    that they expect, and a server of another service ran them.
    """

    async def work(guard):
        guard.backend.update(Announcement('ready', 1, 'i-1.0', 'i-1'))
        guard.apply_announcement(is_new=True)
        return await asyncio.gather(*[send(guard, name) for name in 'abc'])

    misdirected = b'HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n'
    script = [[misdirected], [build_answer(RUN, b'b')]]
    assert run_against_server(script, work) == [Verdict.NOT_RUN] * 3


def test_connection_with_a_stray_answer_is_not_used_again():
    """Close a connection after an answer that no request waited for."""

    async def work(guard):
        return await send(guard, 'one'), len(guard.pool.idle)

    script = [[build_answer(RUN, b'zero'), build_answer(RUN, b'one')]]
    assert run_against_server(script, work) == (RUN, 0)


def build_endless_head():
    """Return the lines of a head that goes on."""
    return b'x-more: %s\r\n' % (b'a' * 1000)


def build_endless_line():
    """Return a part of a header line that goes on."""
    return b'a' * 1000


def build_endless_interim_answers():
    """Return informational answers."""
    return b'HTTP/1.1 100 Continue\r\n\r\n' * 40


ENDLESS_HEADS = [
    [b'HTTP/1.1 200 OK\r\n', build_endless_head],
    [b'HTTP/1.1 200 OK\r\nx-long: ', build_endless_line],
    [build_endless_interim_answers],
]


@pytest.mark.parametrize('pieces', ENDLESS_HEADS)
def test_head_without_end_is_given_up(pieces):
    """Close the connection soon, long before the deadline of the request."""

    async def work(guard):
        started_at = clock.now()
        outcome = await send(guard, 'one', timeout_s=20)
        return outcome, clock.now() - started_at < 10

    outcome = run_against_server([pieces], work)
    assert outcome == (Verdict.MAY_HAVE_RUN, True)


ENDLESS_FRAMES = {
    'trailer-line': (b'0\r\nx: ', build_endless_line),
    'trailers': (b'0\r\n', build_endless_head),
    'chunk-extension': (b'1;', build_endless_line),
}


@pytest.mark.parametrize('frame', ENDLESS_FRAMES.values(), ids=ENDLESS_FRAMES)
def test_bytes_after_a_body_are_not_kept(frame):
    """Keep no trailer, and give up a body soon in which no body comes.

    A server sent lines after the last piece of a body without end; they were
    kept as headers until the memory of the process ran out.
    """

    async def work(guard):
        started_at = clock.now()
        outcome = await send(guard, 'one', timeout_s=20)
        return outcome, clock.now() - started_at < 10

    script = [[CHUNKED_HEAD + frame[0], frame[1]]]
    assert run_against_server(script, work) == (TruncatedError, True)


def test_trailers_are_no_headers():
    """Count bytes after a body, and drop the trailers among them."""
    reader = ResponseReader()
    reader.feed(b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n')
    reader.feed(b'3\r\nabc\r\n0\r\n')
    for _ in range(60):
        reader.feed(build_endless_head())
    assert reader.current.headers == []
    with pytest.raises(TooLongError):
        for _ in range(10):
            reader.feed(build_endless_head())


def test_idle_connection_is_closed_when_bytes_come():
    """Read no bytes without end on a connection that no request uses."""

    async def work(guard):
        await send(guard, 'one')
        idle = guard.pool.idle[0]
        while not idle.is_disconnected:
            await asyncio.sleep(0.01)
        return idle.reader.buffered_bytes

    script = [[build_answer(RUN, b'one'), lambda: b'b' * 1000]]
    assert run_against_server(script, work) == 0


def test_stray_answer_without_end_is_given_up():
    """Discard no more than some kilobytes of an answer to another request."""
    head = b'HTTP/1.1 200 OK\r\n' + wire.REQUEST_ID + b': zero\r\n\r\n'

    async def work(guard):
        return await send(guard, 'one', timeout_s=20)

    script = [[head, lambda: b'b' * 1000]]
    assert run_against_server(script, work) == Verdict.MAY_HAVE_RUN


def test_body_without_end_is_given_up():
    """Abort an answer that is still coming long after the deadline."""

    async def work(guard):
        return await send(guard, 'one', timeout_s=0.3)

    script = [[CHUNKED_HEAD, lambda: b'3e8\r\n' + b'b' * 1000 + b'\r\n']]
    assert run_against_server(script, work) is TruncatedError


def test_unread_body_without_end_is_not_kept():
    """Stop reading while the caller does not take what has come."""
    head = (
        b'HTTP/1.1 200 OK\r\n'
        + wire.REQUEST_ID
        + b': one\r\n'
        + wire.SEAL
        + b': s\r\n\r\n'
    )

    async def work(guard):
        exchange = GuardExchange(guard)
        await exchange.open(build_request('one'))
        await asyncio.sleep(0.3)
        buffered = exchange.connection.reader.buffered_bytes
        await exchange.close()
        return buffered

    script = [[head, lambda: b'b' * 1000]]
    assert run_against_server(script, work) <= 2 * MAX_BUFFERED_BYTES


def test_health_answer_with_undecodable_id_ends_no_process():
    """Take an instance id for text, whatever bytes a server sends."""
    answer = (
        b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n'
        + wire.INSTANCE
        + b': \xff\xfe\r\n\r\n'
    )

    async def work(guard):
        return await query_instance(Address(HOST, PORT), '/health')

    assert run_against_server([[answer]], work) == '\xff\xfe'
