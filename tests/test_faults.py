"""Inject faults around running nodes and check the invariants."""

import http.client
import json
import signal
import socket
import threading

import pytest

from standins.local_fleet import (
    BACKEND_PORT,
    CONTROL_PORT,
    PEERS_PORT,
    STORE_PORT,
    LocalFleet,
    LoopbackNetwork,
    read_report,
    wait_until,
)
from tests.builders import KEY, LAYOUT, SHORT_FLEET_PERIODS, build_ticket_tables
from tests.support import call, new_request_id

NAMES = [row['name'] for row in LAYOUT]
SETTINGS = {
    **SHORT_FLEET_PERIODS,
    'call': {'silence_s': 0.5, 'graceful_s': 15, 'drain_notice_s': 1},
}
AUTHORIZATION = {'authorization': f'Bearer {KEY}'}


@pytest.fixture
def fleet():
    """Run four nodes behind the fault proxy with an accepted ticket."""
    with LocalFleet(LAYOUT, settings=SETTINGS, use_proxy=True) as running:
        assert running.apply(build_ticket_tables()).returncode == 0
        running.wait_ready(ticket=True)
        for name in NAMES:
            entry = running.callers_address(name)
            wait_until(
                lambda entry=entry: call(entry, '/yard').status == 200,
                'first answer',
            )
        wait_until(lambda: is_hold_served(running), 'first hold')
        yield running
        assert not find_violations(running)


def is_hold_served(fleet):
    """Tell whether a non-repeatable request is served."""
    headers = {'x-request-id': new_request_id()}
    return (
        call(fleet.callers_address('stock-1'), '/hold', headers=headers).status
        == 200
    )


def find_violations(fleet):
    """Return nodes whose log shows a failed assertion or a traceback."""
    logs = {name: (fleet.folder / f'{name}.log').read_text() for name in NAMES}
    return {
        name: log[-2000:]
        for name, log in logs.items()
        if 'AssertionError' in log or 'Traceback' in log
    }


def plan_non_repeatable_load(fleet, **changes):
    """Return a load plan of non-repeatable calls through two nodes."""
    return {
        'targets': [
            fleet.callers_address('yard-1'),
            fleet.callers_address('stock-1'),
        ],
        'rate': 60,
        'seconds': 6,
        'seed': 7,
        'path': '/hold',
        'headers': AUTHORIZATION,
        'ids': True,
        'keep_ids': True,
        **changes,
    }


def check_verdicts(fleet, report):
    """Assert that every answer and every verdict was correct.

    No answer is wrong, no request refused as "not run" has run, and no
    answered request has run twice.
    """
    runs = fleet.count_executions()
    assert report['wrong'] == 0
    assert [key for key in report['not_run_ids'] if runs.get(key)] == []
    twice = [key for key in report['whole_ids'] if runs.get(key, 1) > 1]
    assert twice == []


def run_load_with_faults(fleet, plan, *steps):
    """Send load, run the steps meanwhile, and return the load report."""
    load = fleet.start_load(plan)
    wait_until(
        lambda: sum(fleet.counts(name)['calls'] for name in NAMES) > 80,
        'load running',
    )
    for step in steps:
        step()
    return read_report(load)


def test_verdicts_are_correct_when_a_node_is_killed(fleet):
    """Kill a node under load of non-repeatable requests."""
    report = run_load_with_faults(
        fleet,
        plan_non_repeatable_load(fleet),
        lambda: fleet.kill('stock-2'),
    )
    check_verdicts(fleet, report)
    assert report['whole'] > report['sent'] / 3


def test_verdicts_are_correct_when_a_node_is_paused(fleet):
    """Pause a node under load for longer than its fencing time."""
    resumed = threading.Timer(
        3,
        lambda: fleet.signal('stock-2', signal.SIGCONT),
    )
    report = run_load_with_faults(
        fleet,
        plan_non_repeatable_load(fleet),
        lambda: fleet.signal('stock-2', signal.SIGSTOP),
        resumed.start,
    )
    resumed.join()
    wait_until(lambda: fleet.status('stock-2'), 'stock-2 back')
    check_verdicts(fleet, report)


def test_verdicts_are_correct_when_connections_are_cut(fleet):
    """Cut all connections between nodes and to servers repeatedly."""

    def cut():
        for port in (PEERS_PORT, BACKEND_PORT):
            for name in NAMES:
                fleet.set_fault('cut', name, port)
                fleet.set_fault('pass', name, port)

    report = run_load_with_faults(
        fleet, plan_non_repeatable_load(fleet), *([cut] * 10)
    )
    check_verdicts(fleet, report)
    assert report['whole'] > report['sent'] / 2


def test_silent_connection_between_nodes_is_replaced(fleet):
    """Serve a call although the pooled connection has become silent."""
    entry = fleet.callers_address('yard-1')
    for _ in range(4):
        assert call(entry, '/stock').status == 200
    for name in ('stock-1', 'stock-2'):
        fleet.set_fault('silent', name, PEERS_PORT)
    for path in ('/hold', '/stock'):
        assert call(entry, path).status == 200


def test_lost_answer_is_refused_as_may_have_run(fleet):
    """Refuse with "may have run" if the answer is lost; run only once."""
    entry = fleet.callers_address('yard-1')
    servers = set()
    while len(servers) < 2:
        # Repeat until a pooled connection to each possible id owner exists.
        headers = {'x-request-id': new_request_id()}
        reply = call(entry, '/hold', headers=headers)
        if reply.status == 200:
            servers.add(reply.table['server'])
    for name in ('stock-1', 'stock-2'):
        fleet.set_fault('silent_answers', name, PEERS_PORT)
    request_id = new_request_id()
    reply = call(entry, '/hold', headers={'x-request-id': request_id})
    assert (reply.reason, reply.verdict) == ('silent', 'may-have-run')
    assert fleet.count_executions()[request_id] == 1


def test_graceful_stop_fails_no_request(fleet):
    """Stop a node with SIGTERM under load without a failed call."""
    plan = plan_non_repeatable_load(
        fleet, ids=False, targets=[fleet.callers_address('yard-1')]
    )
    report = run_load_with_faults(
        fleet,
        plan,
        lambda: fleet.terminate('stock-2'),
    )
    assert report['broken'] == 0
    assert report['whole'] == report['sent']
    assert fleet.processes['stock-2'].returncode == 0


def test_draining_server_gets_no_new_calls(fleet):
    """Send all calls to other servers while an operator drains one."""
    store = fleet.store
    drained = fleet.command('drain', 'stock-2', '--store', store)
    assert drained.returncode == 0, drained.stderr
    wait_until(
        lambda: all(
            not fleet.status('stock-2')['accepts_work']
            and fleet.status(name)['ticket'] == 2
            for name in NAMES
        ),
        'drain applied',
    )
    before = fleet.counts('stock-2')['calls']
    for _ in range(30):
        assert call(fleet.callers_address('yard-1'), '/stock').status == 200
    assert fleet.counts('stock-2')['calls'] == before


def test_caller_disconnect_cancels_work_at_the_server(fleet):
    """Cancel the call at the server when the caller disconnects."""
    host, port = fleet.callers_address('yard-1').split(':')
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
            'call in flight',
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


def test_withdrawn_key_is_refused_on_an_open_connection(fleet):
    """Refuse a withdrawn key on a connection opened before."""
    host, port = fleet.callers_address('stock-1').split(':')
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


def test_traffic_continues_during_a_store_outage(fleet):
    """Keep serving and start a node while the store is down."""
    fleet.set_store_fault('down')
    fleet.kill('yard-2')
    fleet.start_node('yard-2')
    wait_until(lambda: fleet.status('yard-2')['ticket'] == 1, 'ticket by peers')
    wait_until(
        lambda: call(fleet.callers_address('yard-2'), '/stock').status == 200,
        'served in the outage',
    )
    refused = fleet.apply(build_ticket_tables(2))
    assert refused.returncode == 1
    assert 'may have taken effect' in refused.stderr
    fleet.set_store_fault('up')
    assert fleet.apply(build_ticket_tables(2)).returncode == 0
    for name in NAMES:
        wait_until(
            lambda name=name: fleet.status(name)['ticket'] == 2,
            'ticket after the outage',
        )


def test_lost_store_answer_creates_no_second_ticket(fleet):
    """Read the store back to find that the write took effect."""
    fleet.set_store_fault('lose_answers')
    done = fleet.apply(build_ticket_tables(2, rate=900))
    assert 'already in force' in done.stdout
    fleet.set_store_fault('up')
    again = fleet.apply(build_ticket_tables(2, rate=900))
    assert 'already in force' in again.stdout
    other = fleet.apply(build_ticket_tables(2, rate=901))
    assert other.returncode == 2
    assert 'was won by amina' in other.stderr
    lower = fleet.apply(build_ticket_tables(1, rate=901))
    assert lower.returncode == 2


def test_one_of_concurrent_operators_wins(fleet):
    """Apply the same ticket number from several operators at once."""
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
    """Relay a 200 MB download and a 20 MB upload in bounded memory."""

    def resident_mb():
        return {
            name: read_resident_mb(fleet.processes[name].pid) for name in NAMES
        }

    entry = fleet.callers_address('yard-1')
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
    """Return the resident memory of a process in MB."""
    with open(f'/proc/{pid}/statm') as statm:
        return int(statm.read().split()[1]) * 4096 / 1e6


def test_stalled_download_is_aborted(fleet):
    """Abort a download whose server stops sending."""
    reply = None
    with pytest.raises((http.client.HTTPException, OSError)):
        reply = call(
            fleet.callers_address('yard-1'),
            '/stock',
            headers={'x-size': '500000', 'x-stall': '1'},
            timeout_s=30,
        )
    assert reply is None


def test_partitioned_node_rejoins_the_fleet(fleet):
    """Block the control connections of a node and expect it to recover."""
    for name in NAMES[1:]:
        fleet.set_fault('refuse', name, CONTROL_PORT)
    fleet.set_fault('refuse', 'stock-1', CONTROL_PORT)
    fleet.set_fault('refuse', 'store', STORE_PORT)
    wait_until(lambda: fleet.status('stock-1')['is_cut_off'], 'cut off', 30)
    assert call(fleet.callers_address('stock-1'), '/stock').reason == 'cut_off'
    fleet.set_fault('pass')
    wait_until(
        lambda: call(fleet.callers_address('stock-1'), '/stock').status == 200,
        'healed',
        30,
    )
    fleet.wait_ready(ticket=True)


def test_fleets_beside_each_other_have_networks_of_their_own():
    """Share no address with another test run.

    A node of one run took the address of a node of another run.
    """
    networks = [LoopbackNetwork() for _ in range(3)]
    numbers = {network.number for network in networks}
    for network in networks:
        network.release()
    assert len(numbers) == len(networks)
