"""Test what a node that stops still takes."""

import contextlib
import http.client
import itertools
import json
import signal
import threading
from types import SimpleNamespace

import anyio
import pytest

from limpetshore import clock
from limpetshore.call_drain import CallDrain
from limpetshore.decisions.drain_schedule import DrainSchedule
from limpetshore.protocol.messages import TIMEOUT_HEADER
from standins.local_fleet import (
    PEERS_PORT,
    LocalFleet,
    can_connect,
    wait_until,
)
from tests.builders import KEY, SHORT_FLEET_PERIODS, build_ticket_tables
from tests.mock_clock import run_on_mock_clock
from tests.support import call, new_request_id

LAYOUT = [
    {'name': 'stock-1', 'service': 'stock', 'zone': 'zone-a'},
    {'name': 'yard-1', 'service': 'yard', 'zone': 'zone-a'},
]
SETTINGS = {
    **SHORT_FLEET_PERIODS,
    'call': {'graceful_s': 4, 'drain_notice_s': 1},
}
WORK_MS = 600
TOLERANCE_S = 1e-6  # of floating-point sums
# Of the requests that come late, and of one that keeps the ports open.
TIMEOUT_MS = 900
LONG_WORK_MS = 5000


@pytest.mark.parametrize(
    ('after_s', 'lasts_s', 'is_taken'),
    [
        (0, 60, True),
        (1.9, 5, True),
        (2.1, 5, False),
        (2.1, 3, True),
        (4.6, 0.7, True),
        (4.6, 0.9, False),
    ],
)
def test_request_is_taken_if_it_ends_before_the_exit(
    after_s, lasts_s, is_taken
):
    """Take any request during the notice, then those that surely end in time.

    Requests that came late in the grace time were passed on to servers and cut
    off when the node exited.
    """

    async def run():
        schedule = DrainSchedule(6, 2)
        schedule.start(clock.now())
        await anyio.sleep(after_s)
        return schedule.may_take(clock.now() + lasts_s)

    assert run_on_mock_clock(run) == is_taken


def test_node_with_time_to_spare_takes_requests():
    """Take requests for most of a long grace time."""

    async def run():
        schedule = DrainSchedule(60, 2)
        schedule.start(clock.now())
        await anyio.sleep(48)
        return schedule.may_take(clock.now() + 5)

    assert run_on_mock_clock(run)


def test_short_grace_time_is_not_spent_on_the_notice():
    """Leave most of a short grace time to open requests."""

    async def run():
        schedule = DrainSchedule(1.5, 2)
        schedule.start(clock.now())
        await anyio.sleep(schedule.remaining_notice_s)
        return schedule.remaining_s

    assert run_on_mock_clock(run) >= 0.8


@pytest.mark.parametrize(
    ('late_s', 'after_s', 'lasts_s', 'is_taken'),
    [
        (0.9, 1.9, 60, True),
        (1.5, 1.4, 60, True),
        (1.5, 1.6, 60, False),
        (1.5, 1.6, 2.2, True),
        (1.5, 1.6, 2.5, True),
        (1.5, 1.6, 2.7, False),
        (5.5, 0, 0.3, False),
    ],
)
def test_grace_time_counts_from_the_signal(late_s, after_s, lasts_s, is_taken):
    """Leave time to end what is taken, though the signal was handled late.

    The notice gives way only if it would take more than half of the time.
    """

    async def run():
        schedule = DrainSchedule(6, 2)
        schedule.start(clock.now() - late_s)
        await anyio.sleep(after_s)
        return schedule.may_take(clock.now() + lasts_s)

    assert run_on_mock_clock(run) == is_taken


@pytest.mark.parametrize('late_s', [0, 0.2, 0.5, 0.7])
def test_doubt_about_the_signal_shortens_no_grace(late_s):
    """Exit within the grace time, but not long before its end.

    A short stall before the signal dated that back, so that requests at work
    were cut 0.7 s earlier than callers have to expect.
    """

    async def run():
        schedule = DrainSchedule(6, 2)
        schedule.start(clock.now() - late_s)
        return schedule.exit_at - clock.now()

    remaining_s = run_on_mock_clock(run)
    assert remaining_s >= 5 - TOLERANCE_S
    assert remaining_s + late_s <= 5.7 + TOLERANCE_S


class StoppableServer:
    """Record when a server is stopped."""

    def __init__(self):
        """Start as a server that runs."""
        self.is_stopped = False

    def disable_keep_alive(self):
        """Accept that callers are told to connect elsewhere."""

    def stop(self):
        """Record the stop."""
        self.is_stopped = True

    async def wait_stopped(self):
        """Return at once."""


def test_ports_stay_open_while_a_call_waits_for_its_server():
    """Keep the ports while a call is admitted that its server has not begun.

    Only calls that a server was at work on kept the port open through which it
    makes its own, and none the port at which other nodes ask for the call.
    """

    async def run():
        servers = [StoppableServer(), StoppableServer()]
        guard = SimpleNamespace(
            open_calls={'queued'}, running_calls=SimpleNamespace(calls={})
        )
        drain = CallDrain(guard, DrainSchedule(6, 2), *servers, [])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(drain.finish_calls, 10)
            await anyio.sleep(5)
            stopped_early = [server.is_stopped for server in servers]
            guard.open_calls.clear()
        return stopped_early, [server.is_stopped for server in servers]

    assert run_on_mock_clock(run) == ([False, False], [True, True])


def test_node_can_be_asked_for_a_call_until_that_ends(fleet):
    """Accept connections of other nodes while one of their calls runs.

    The port closed at the end of the notice. Probes for the call failed, and
    the other node gave it up.
    """
    entry = fleet.callers_address('stock-1')
    long_call = threading.Thread(
        target=call,
        args=(entry, '/yard'),
        kwargs={'headers': {'x-work-ms': '2500'}},
    )
    long_call.start()
    wait_until(lambda: fleet.status('yard-1')['in_flight'], 'long call')
    fleet.signal('yard-1', signal.SIGTERM)
    host = fleet.address(fleet.host('yard-1'), PEERS_PORT).split(':')[0]
    refusals = 0
    while long_call.is_alive():
        threading.Event().wait(0.02)
        try:
            can_connect(host, PEERS_PORT)
        except OSError:
            refusals += is_call_running(fleet)
    long_call.join()
    assert not refusals


def is_call_running(fleet):
    """Tell whether a call runs at yard-1; False once the node is gone."""
    try:
        return fleet.status('yard-1')['in_flight'] > 0
    except OSError:
        return False


def test_further_signals_cut_off_no_request(fleet):
    """Finish open requests though SIGTERM and SIGHUP come again and again.

    The handler of SIGTERM was removed by the first one, so that the second
    ended the process with all its requests.
    """
    entry = fleet.callers_address('yard-1')
    answers = []
    open_call = threading.Thread(
        target=lambda: answers.append(
            call(entry, '/stock', headers={'x-work-ms': '1500'}).status
        )
    )
    open_call.start()
    wait_until(lambda: fleet.status('stock-1')['in_flight'], 'open call')
    process = fleet.processes['yard-1']
    numbers = itertools.cycle((signal.SIGTERM, signal.SIGHUP, signal.SIGINT))
    while process.poll() is None:
        fleet.signal('yard-1', next(numbers))
        threading.Event().wait(0.002)
    open_call.join()
    assert answers == [200]
    assert process.returncode == 0


@pytest.fixture
def fleet():
    """Run one node for each of two services."""
    with LocalFleet(LAYOUT, settings=SETTINGS) as running:
        assert running.apply(build_ticket_tables()).returncode == 0
        running.wait_ready(ticket=True)
        for path in ('/stock', '/yard'):
            entry = running.callers_address('yard-1')
            wait_until(
                lambda path=path, entry=entry: call(entry, path).status == 200,
                'first answer',
            )
        yield running


class KeptConnection(threading.Thread):
    """Send one request after the other on a connection until it ends."""

    more_headers = {}

    def __init__(self, address, delay_s):
        """Send to a node, the first request after a delay."""
        super().__init__()
        self.address = address
        self.delay_s = delay_s
        self.answers = {}

    def run(self):
        """Record the status of each answer by request id, None without one."""
        host, port = self.address.split(':')
        threading.Event().wait(self.delay_s)
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        request_id = ''
        try:
            while True:
                request_id = new_request_id()
                self.answers[request_id] = None
                connection.request(
                    'POST',
                    '/stock',
                    headers={
                        'authorization': f'Bearer {KEY}',
                        'x-request-id': request_id,
                        'x-work-ms': str(WORK_MS),
                        **self.more_headers,
                    },
                )
                response = connection.getresponse()
                response.read()
                self.answers[request_id] = response.status
        except (http.client.HTTPException, OSError):
            return


def test_request_taken_late_is_not_cut_off(fleet):
    """Answer each request that reaches a server, however late it came.

    A long call beside the node keeps the port of callers open, and callers use
    their connections until the process is gone.
    """
    entry = fleet.callers_address('yard-1')
    long_call = threading.Thread(
        target=call,
        args=(entry, '/yard'),
        kwargs={'headers': {'x-work-ms': '3200'}},
    )
    long_call.start()
    wait_until(lambda: fleet.status('yard-1')['in_flight'], 'long call')
    fleet.signal('yard-1', signal.SIGTERM)
    callers = [
        KeptConnection(entry, number * WORK_MS / 1000 / 6)
        for number in range(6)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    long_call.join()
    fleet.processes['yard-1'].wait(10)
    runs = fleet.counts('stock-1')['runs']
    answers = {}
    for caller in callers:
        answers.update(caller.answers)
    assert [key for key in runs if answers.get(key, 0) is None] == []
    assert sum(status == 200 for status in answers.values()) >= 6
    assert fleet.processes['yard-1'].returncode == 0


class ReturningCaller(KeptConnection):
    """Send one request after the other, on new connections as old ones end."""

    more_headers = {TIMEOUT_HEADER.decode(): str(TIMEOUT_MS)}

    def __init__(self, address, process):
        """Send to a node until its process has ended."""
        super().__init__(address, 0)
        self.process = process

    def run(self):
        """Send until the process has ended."""
        while self.process.poll() is None:
            super().run()
            threading.Event().wait(0.02)


def test_request_is_not_cut_off_when_the_signal_is_handled_late(fleet):
    """Count the time to the kill from when the signal can have come.

    A process that stood still counted it from when it handled the signal. It
    took requests that were cut off when it was killed.
    """
    entry = fleet.callers_address('yard-1')
    process = fleet.processes['yard-1']
    long_call = threading.Thread(
        target=call_until_cut, args=(entry, '/yard', LONG_WORK_MS)
    )
    long_call.start()
    wait_until(lambda: fleet.status('yard-1')['in_flight'], 'long call')
    killer = threading.Timer(
        SETTINGS['call']['graceful_s'], fleet.kill, ('yard-1',)
    )
    fleet.signal('yard-1', signal.SIGSTOP)
    fleet.signal('yard-1', signal.SIGTERM)
    killer.start()
    threading.Event().wait(1.2)
    fleet.signal('yard-1', signal.SIGCONT)
    callers = [ReturningCaller(entry, process) for _ in range(6)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    killer.join()
    long_call.join()
    runs = fleet.counts('stock-1')['runs']
    answers = {}
    for caller in callers:
        answers.update(caller.answers)
    assert [key for key in runs if answers.get(key, 0) is None] == []
    assert 200 in answers.values()


def call_until_cut(address, path, work_ms):
    """Send a request that need not be answered."""
    try:
        call(address, path, headers={'x-work-ms': str(work_ms)})
    except (http.client.HTTPException, OSError):
        return


def read_log(fleet, name):
    """Return the log lines of a node that has ended."""
    lines = (fleet.folder / f'{name}.log').read_text().splitlines()
    return [json.loads(line) for line in lines if line.startswith('{')]


def find_line(lines, message):
    """Return the only line with a message."""
    (line,) = [line for line in lines if line['message'] == message]
    return line


def test_log_tells_what_a_stop_cuts(fleet):
    """Count what is open at the SIGTERM and what is cut, and name each cut.

    The lines of the last moments were lost with the process.
    """
    tables = build_ticket_tables(2)
    for route in tables['routes'].values():
        route['timeout_s'] = 60
    assert fleet.apply(tables).returncode == 0
    wait_until(lambda: fleet.status('yard-1')['ticket'] == 2, 'second ticket')
    entry = fleet.callers_address('yard-1')
    request_ids = {'/stock': new_request_id(), '/yard': new_request_id()}

    def send(path):
        headers = {'x-work-ms': '30000', 'x-request-id': request_ids[path]}
        with contextlib.suppress(OSError, http.client.HTTPException):
            call(entry, path, headers=headers)

    callers = [
        threading.Thread(target=send, args=(path,)) for path in request_ids
    ]
    for caller in callers:
        caller.start()
    for name in ('stock-1', 'yard-1'):
        wait_until(
            lambda name=name: fleet.status(name)['in_flight'], 'open call'
        )
    assert fleet.terminate('yard-1') == 0
    for caller in callers:
        caller.join()
    lines = read_log(fleet, 'yard-1')
    leaving = find_line(lines, 'the node is leaving the fleet')
    assert (leaving['open_requests'], leaving['open_running_calls']) == (2, 1)
    left = find_line(lines, 'the node has left the fleet')
    assert (left['aborted_requests'], left['aborted_running_calls']) == (2, 1)
    assert left['leaving_for_s'] > 0
    cuts = {
        line['request_id']: line
        for line in lines
        if line['message'] == 'connection closed without a complete answer'
    }
    assert set(cuts) == set(request_ids.values())
    for line in cuts.values():
        assert (line['level'], line['detail']) == ('NOTICE', 'the node stops')
        assert line['left_s'] > 0
        assert line['leaving_for_s'] >= left['leaving_for_s']
    assert cuts[request_ids['/stock']]['tried'] == ['stock-1']
