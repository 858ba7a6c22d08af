"""Break what surrounds the nodes and check what must still hold."""

import http.client
import json
import signal
import socket
import threading

import pytest

from standins.local_fleet import (
    BACKEND,
    CONTROL,
    PEERS,
    STORE,
    LocalFleet,
    read_report,
    wait_until,
)
from tests.builders import KEY, LAYOUT, QUICK_FLEET, build_ticket_tables
from tests.support import call, new_request_id

NAMES = [row['name'] for row in LAYOUT]
SETTINGS = {
    **QUICK_FLEET,
    'call': {'silence_s': 0.5, 'graceful_s': 15, 'drain_notice_s': 1},
}
AUTHORIZATION = {'authorization': f'Bearer {KEY}'}


@pytest.fixture
def fleet():
    """Run four nodes behind the proxy with a ticket in force."""
    with LocalFleet(LAYOUT, settings=SETTINGS, use_proxy=True) as running:
        assert running.apply(build_ticket_tables()).returncode == 0
        running.wait_ready(ticket=True)
        for name in NAMES:
            entry = running.callers(name)
            wait_until(
                lambda entry=entry: call(entry, '/yard').status == 200,
                'first answer',
            )
        wait_until(lambda: can_hold(running), 'first hold')
        yield running
        assert not find_violations(running)


def can_hold(fleet):
    """Tell whether a request that may not be repeated is served."""
    headers = {'x-request-id': new_request_id()}
    return (
        call(fleet.callers('stock-1'), '/hold', headers=headers).status == 200
    )


def find_violations(fleet):
    """Return nodes whose log shows a broken invariant or a crash."""
    logs = {name: (fleet.folder / f'{name}.log').read_text() for name in NAMES}
    return {
        name: log[-2000:]
        for name, log in logs.items()
        if 'AssertionError' in log or 'Traceback' in log
    }


def plan_holds(fleet, **changes):
    """Return a plan of calls that may not be repeated, through two nodes."""
    return {
        'targets': [fleet.callers('yard-1'), fleet.callers('stock-1')],
        'rate': 60,
        'seconds': 6,
        'seed': 7,
        'path': '/hold',
        'headers': AUTHORIZATION,
        'ids': True,
        'keep_ids': True,
        **changes,
    }


def check_truth(fleet, report):
    """Assert that no answer was wrong and no refusal untrue."""
    runs = fleet.runs()
    assert report['wrong'] == 0
    assert [key for key in report['not_run_ids'] if runs.get(key)] == []
    twice = [key for key in report['whole_ids'] if runs.get(key, 1) > 1]
    assert twice == []


def start_and_break(fleet, plan, *steps):
    """Send load, take the steps while it runs, and return the report."""
    load = fleet.start_load(plan)
    wait_until(
        lambda: sum(fleet.counts(name)['calls'] for name in NAMES) > 80,
        'load under way',
    )
    for step in steps:
        step()
    return read_report(load)


def test_killed_node_leaves_refusals_true(fleet):
    """Kill a node under load of requests that may not be repeated."""
    report = start_and_break(
        fleet,
        plan_holds(fleet),
        lambda: fleet.kill('stock-2'),
    )
    check_truth(fleet, report)
    assert report['whole'] > report['sent'] / 3


def test_paused_node_leaves_refusals_true(fleet):
    """Stop and continue a node past its fences under load."""
    resumed = threading.Timer(
        3,
        lambda: fleet.signal('stock-2', signal.SIGCONT),
    )
    report = start_and_break(
        fleet,
        plan_holds(fleet),
        lambda: fleet.signal('stock-2', signal.SIGSTOP),
        resumed.start,
    )
    resumed.join()
    wait_until(lambda: fleet.status('stock-2'), 'stock-2 back')
    check_truth(fleet, report)


def test_cut_connections_leave_refusals_true(fleet):
    """Cut all connections between nodes and servers again and again."""

    def cut():
        for port in (PEERS, BACKEND):
            for name in NAMES:
                fleet.set_fault('cut', name, port)
                fleet.set_fault('pass', name, port)

    report = start_and_break(fleet, plan_holds(fleet), *([cut] * 10))
    check_truth(fleet, report)
    assert report['whole'] > report['sent'] / 2


def test_silent_connection_between_nodes_is_replaced(fleet):
    """Serve a call though the kept connection has gone silent."""
    entry = fleet.callers('yard-1')
    for _ in range(4):
        assert call(entry, '/stock').status == 200
    for name in ('stock-1', 'stock-2'):
        fleet.set_fault('silent', name, PEERS)
    for path in ('/hold', '/stock'):
        assert call(entry, path).status == 200


def test_lost_answer_is_told_as_may_have_run(fleet):
    """Say "may have run" when the answer is lost, and run it once."""
    entry = fleet.callers('yard-1')
    servers = set()
    while len(servers) < 2:
        # Until there is a kept connection to each owner an id may have.
        headers = {'x-request-id': new_request_id()}
        reply = call(entry, '/hold', headers=headers)
        if reply.status == 200:
            servers.add(reply.table['server'])
    for name in ('stock-1', 'stock-2'):
        fleet.set_fault('silent_answers', name, PEERS)
    request_id = new_request_id()
    reply = call(entry, '/hold', headers={'x-request-id': request_id})
    assert (reply.reason, reply.verdict) == ('silent', 'may-have-run')
    assert fleet.runs()[request_id] == 1


def test_graceful_stop_cuts_no_request(fleet):
    """Stop two nodes by SIGTERM under load without a failed call."""
    plan = plan_holds(fleet, ids=False, targets=[fleet.callers('yard-1')])
    report = start_and_break(
        fleet,
        plan,
        lambda: fleet.terminate('stock-2'),
    )
    assert report['broken'] == 0
    assert report['whole'] == report['sent']
    assert fleet.processes['stock-2'].returncode == 0


def test_draining_server_gets_nothing_new(fleet):
    """Send all calls elsewhere while an operator drains a server."""
    store = fleet.store
    drained = fleet.command('drain', 'stock-2', '--store', store)
    assert drained.returncode == 0, drained.stderr
    wait_until(
        lambda: all(
            not fleet.status('stock-2')['accepts_work']
            and fleet.status(name)['ticket'] == 2
            for name in NAMES
        ),
        'drain in force',
    )
    before = fleet.counts('stock-2')['calls']
    for _ in range(30):
        assert call(fleet.callers('yard-1'), '/stock').status == 200
    assert fleet.counts('stock-2')['calls'] == before


def test_hang_up_reaches_the_server(fleet):
    """Cancel the work at the server once the caller hangs up."""
    host, port = fleet.callers('yard-1').split(':')
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(
            b'POST /stock HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n'
            b'authorization: Bearer ' + KEY.encode() + b'\r\n'
            b'x-work-ms: 60000\r\n\r\n',
        )
        wait_until(
            lambda: any(
                fleet.status(name)['in_flight']
                for name in ('stock-1', 'stock-2')
            ),
            'call under way',
        )
    wait_until(
        lambda: any(
            fleet.counts(name)['cancelled'] for name in ('stock-1', 'stock-2')
        ),
        'cancellation',
    )
    wait_until(
        lambda: not any(fleet.status(name)['in_flight'] for name in NAMES),
        'slots free',
    )


def test_withdrawn_key_stops_on_an_open_connection(fleet):
    """Refuse a withdrawn key on a connection that was opened before."""
    host, port = fleet.callers('stock-1').split(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=20)

    def ask():
        connection.request('POST', '/stock', headers=AUTHORIZATION)
        response = connection.getresponse()
        response.read()
        return response.getheader('x-limpetshore-reason')

    assert ask() is None
    own_socket = connection.sock
    done = fleet.command(
        'withdraw-key',
        'harbour',
        KEY,
        '--store',
        fleet.store,
    )
    assert done.returncode == 0, done.stderr
    wait_until(lambda: ask() == 'key_unknown', 'withdrawal')
    assert connection.sock is own_socket
    connection.close()


def test_store_outage_stops_no_traffic(fleet):
    """Serve on, and start a node, while the store is down."""
    fleet.set_store('down')
    fleet.kill('yard-2')
    fleet.start_node('yard-2')
    wait_until(lambda: fleet.status('yard-2')['ticket'] == 1, 'ticket by peers')
    wait_until(
        lambda: call(fleet.callers('yard-2'), '/stock').status == 200,
        'served in the outage',
    )
    refused = fleet.apply(build_ticket_tables(2))
    assert refused.returncode == 1
    assert 'may have taken effect' in refused.stderr
    fleet.set_store('up')
    assert fleet.apply(build_ticket_tables(2)).returncode == 0
    for name in NAMES:
        wait_until(
            lambda name=name: fleet.status(name)['ticket'] == 2,
            'ticket after the outage',
        )


def test_lost_answer_of_the_store_is_no_second_ticket(fleet):
    """Find out by reading that a write took effect."""
    fleet.set_store('lose_answers')
    done = fleet.apply(build_ticket_tables(2, rate=900))
    assert 'already in force' in done.stdout
    fleet.set_store('up')
    again = fleet.apply(build_ticket_tables(2, rate=900))
    assert 'already in force' in again.stdout
    other = fleet.apply(build_ticket_tables(2, rate=901))
    assert other.returncode == 2
    assert 'was won by amina' in other.stderr
    lower = fleet.apply(build_ticket_tables(1, rate=901))
    assert lower.returncode == 2


def test_of_racing_operators_one_wins(fleet):
    """Let several operators apply the same number at once."""
    results = []

    def apply(rate):
        results.append(fleet.apply(build_ticket_tables(2, rate=rate)))

    racing = [
        threading.Thread(target=apply, args=(700 + turn,)) for turn in range(4)
    ]
    for thread in racing:
        thread.start()
    for thread in racing:
        thread.join()
    assert sorted(done.returncode for done in results) == [0, 2, 2, 2]
    losers = [done.stderr for done in results if done.returncode]
    assert all('number 2' in text for text in losers)


def test_memory_stays_bounded_for_large_bodies(fleet):
    """Pass a 200 MB download and a 20 MB upload in bounded memory."""

    def resident_mb():
        return {
            name: read_resident_mb(fleet.processes[name].pid) for name in NAMES
        }

    entry = fleet.callers('yard-1')
    call(entry, '/stock', headers={'x-size': '1000000'})
    before = resident_mb()
    host, port = entry.split(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=60)
    headers = {**AUTHORIZATION, 'x-size': '200000000'}
    connection.request('POST', '/stock', headers=headers)
    response = connection.getresponse()
    total = 0
    while chunk := response.read(1 << 20):
        total += len(chunk)
    assert total == 200_000_000
    upload = call(entry, '/stock', body=b'u' * 20_000_000)
    assert json.loads(upload.body)['received'] == 20_000_000
    after = resident_mb()
    assert {
        name: after[name] - before[name]
        for name in NAMES
        if after[name] - before[name] >= 16
    } == {}


def read_resident_mb(pid):
    """Return the resident memory of a process."""
    with open(f'/proc/{pid}/statm') as statm:
        return int(statm.read().split()[1]) * 4096 / 1e6


def test_stalled_download_reaches_the_caller_as_an_abort(fleet):
    """Cut a download whose server stands still."""
    reply = None
    with pytest.raises((http.client.HTTPException, OSError)):
        reply = call(
            fleet.callers('yard-1'),
            '/stock',
            headers={'x-size': '500000', 'x-stall': '1'},
            timeout_s=30,
        )
    assert reply is None


def test_split_halves_merge_again(fleet):
    """Cut the control links of a node and see the table heal."""
    for name in NAMES[1:]:
        fleet.set_fault('refuse', name, CONTROL)
    fleet.set_fault('refuse', 'stock-1', CONTROL)
    fleet.set_fault('refuse', 'store', STORE)
    wait_until(lambda: fleet.status('stock-1')['is_cut_off'], 'cut off', 30)
    assert call(fleet.callers('stock-1'), '/stock').reason == 'cut_off'
    fleet.set_fault('pass')
    wait_until(
        lambda: call(fleet.callers('stock-1'), '/stock').status == 200,
        'healed',
        30,
    )
    fleet.wait_ready(ticket=True)
