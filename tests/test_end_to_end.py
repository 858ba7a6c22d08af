"""Test the path of a request end to end, through real processes."""

import pytest

from standins.local_fleet import LocalFleet, wait_until
from tests.builders import LAYOUT, SHORT_FLEET_PERIODS, build_ticket_tables
from tests.support import call, new_request_id, send_raw


@pytest.fixture(scope='module')
def fleet():
    """Run four nodes with an accepted ticket."""
    with LocalFleet(LAYOUT, settings=SHORT_FLEET_PERIODS) as running:
        assert running.apply(build_ticket_tables()).returncode == 0
        running.wait_ready(ticket=True)
        entry = running.callers_address('stock-1')
        wait_until(lambda: call(entry, '/stock').status == 200, 'first answer')
        yield running


def test_answer_belongs_to_its_request(fleet):
    """Relay the answer of the server to the body that was sent."""
    reply = call(fleet.callers_address('stock-1'), '/stock/1', body=b'abc')
    assert reply.status == 200
    assert reply.table['id'] == 'echo'
    assert reply.table['received'] == 3


def test_call_reaches_another_service_through_its_node(fleet):
    """Forward a call to a node that serves another service."""
    reply = call(fleet.callers_address('stock-1'), '/yard/1')
    assert reply.table['server'] in {'yard-1', 'yard-2'}


def test_nested_calls_inherit_the_customer(fleet):
    """Accept nested calls of a server that carry its call token."""
    reply = call(
        fleet.callers_address('stock-1'),
        '/yard',
        headers={'x-nested': '/stock>/yard'},
    )
    assert reply.status == 200
    assert reply.table['nested'] == [200]


@pytest.mark.parametrize(
    ('path', 'key', 'headers', 'reason'),
    [
        ('/stock', None, {}, 'key_missing'),
        ('/stock', 'ls_wrong', {}, 'key_unknown'),
        ('/stock', 'k' * 600, {}, 'key_unknown'),
        ('/stockpile', 'ls_wrong', {}, 'route_unknown'),
        ('/stock', None, {'x-limpetshore-token': 'f' * 32}, 'token_unknown'),
        ('/stock', None, {'x-limpetshore-token': ''}, 'token_unknown'),
        ('/stock', 'ls_test-key', {'x-request-timeout-ms': '0'}, 'bad_request'),
        ('/stock', 'ls_test-key', {'x-request-timeout-ms': 'x'}, 'bad_request'),
        ('/stock', 'ls_test-key', {'x-request-id': 'i' * 200}, 'request_id'),
        ('/hold', 'ls_test-key', {'x-request-id': 'birthless'}, 'request_id'),
        ('/stock/ls_test-key', 'ls_test-key', {}, 'bad_request'),
    ],
)
def test_bad_request_is_refused_with_its_reason(
    fleet,
    path,
    key,
    headers,
    reason,
):
    """Refuse an invalid request with its reason and "not run"."""
    reply = call(
        fleet.callers_address('stock-1'), path, key=key, headers=headers
    )
    assert (reply.reason, reply.verdict) == (reason, 'not-run')
    assert reply.table['reason'] == reason


def test_open_route_needs_no_key(fleet):
    """Serve an open route without an API key."""
    assert (
        call(fleet.callers_address('stock-1'), '/open', key=None).status == 200
    )


def test_keys_are_not_forwarded_to_servers(fleet):
    """Remove the API key from the request, whichever header carries it."""
    entry = fleet.callers_address('stock-1')
    for path in ('/stock', '/yard'):
        call(entry, path)
        call(entry, path, key=None, headers={'x-api-key': 'ls_test-key'})
    names = [row['name'] for row in LAYOUT]
    assert sum(fleet.counts(name)['keys_seen'] for name in names) == 0


def test_truncated_long_answer_is_aborted(fleet):
    """Abort the answer to the caller when the server truncates it."""
    import http.client

    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        call(
            fleet.callers_address('stock-1'),
            '/yard',
            headers={'x-size': '3000000', 'x-cut': '200000'},
        )


def test_truncated_short_answer_is_refused(fleet):
    """Refuse a truncated short answer instead of relaying its beginning."""
    reply = call(
        fleet.callers_address('stock-1'),
        '/yard',
        headers={'x-size': '60000', 'x-cut': '1'},
    )
    assert (reply.reason, reply.verdict) == ('truncated', 'may-have-run')


def test_own_answer_to_a_request_that_was_passed_on_is_counted(fleet):
    """Count the answer under its reason, apart from refusals in general."""

    def count():
        counts = fleet.metrics('stock-1')
        labels = '{leaving="false",reason="truncated"}'
        return counts.get(f'limpetshore_own_answers_total{labels}', 0)

    before = count()
    headers = {'x-size': '60000', 'x-cut': '1'}
    call(fleet.callers_address('stock-1'), '/yard', headers=headers)
    assert count() == before + 1


def test_non_repeatable_request_runs_once(fleet):
    """Refuse a second request with the same id at every ingress."""

    def first_request_succeeds():
        nonlocal request_id
        request_id = new_request_id()
        reply = call(
            fleet.callers_address('stock-1'),
            '/hold',
            headers={'x-request-id': request_id},
        )
        return reply.status == 200

    request_id = ''
    wait_until(first_request_succeeds, 'hold')
    for name in ('stock-1', 'stock-2', 'yard-1'):
        again = call(
            fleet.callers_address(name),
            '/hold',
            headers={'x-request-id': request_id},
        )
        assert (again.reason, again.verdict) == ('repeated', 'may-have-run')
    runs = [
        fleet.counts(row['name'])['runs'].get(request_id, 0) for row in LAYOUT
    ]
    assert sum(runs) == 1


@pytest.mark.parametrize(
    'request_bytes',
    [
        b'GET /stock HTTP/1.1\r\nhost: a\r\nx: ' + b'y' * 70000 + b'\r\n\r\n',
        b'POST /stock HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n'
        b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
        b'POST /stock HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n'
        b'content-length: 4\r\n\r\nabcd',
        b'POST /stock HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n',
        b'POST /stock HTTP/1.1\r\nhost: a\r\n'
        b'transfer-encoding: xchunked\r\n\r\n',
        b'POST /stock HTTP/1.1\r\nhost : a\r\n\r\n',
        b'\x00\x01\x02\r\n\r\n',
        b'GET /stock HTTP/9.9\r\n\r\n',
    ],
)
def test_malformed_requests_are_refused(fleet, request_bytes):
    """Answer malformed and smuggled requests with 4xx and keep serving."""
    received = send_raw(fleet.callers_address('stock-1'), request_bytes)
    assert received.startswith((b'HTTP/1.1 4', b'HTTP/1.0 4')), received
    assert call(fleet.callers_address('stock-1'), '/stock').status == 200


def test_body_over_the_limit_is_refused(fleet):
    """Refuse a body by its content length, before reading it."""
    received = send_raw(
        fleet.callers_address('stock-1'),
        b'POST /open HTTP/1.1\r\nhost: a\r\n'
        b'content-length: 99999999999\r\n\r\n',
    )
    assert received.startswith(b'HTTP/1.1 413')
    assert b'x-limpetshore-verdict: not-run' in received


def test_check_commands_report_every_mistake(fleet, tmp_path):
    """Exit with status 2 and name each invalid entry."""
    path = tmp_path / 'node.toml'
    path.write_text('[node]\nname = "Bad Name"\n[listen]\nport = 3\n')
    checked = fleet.command('check', str(path))
    assert checked.returncode == 2
    for named in ('node.name', 'node.zone', 'listen.port', 'store.address'):
        assert named in checked.stderr
    path.write_text('number = 0\n[customers.a]\nrate = -1\n')
    checked = fleet.command('check-ticket', str(path))
    assert checked.returncode == 2
    for named in ('number', 'customers.a.rate', 'customers.a.burst'):
        assert named in checked.stderr
