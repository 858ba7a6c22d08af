"""Check what the platform folder translates, without a network."""

import re
import subprocess
import sys
from pathlib import Path

import anyio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from limpetshore import clock
from limpetshore.coordination.fleet import POLICY_KIND
from limpetshore.errors import (
    StoreConflictError,
    StoreError,
    StoreHistoryError,
)
from limpetshore.metrics import Metrics
from limpetshore.platform import wire
from limpetshore.platform.configuration import (
    WINDOW_S,
    build_limit,
    build_policy,
)
from limpetshore.platform.dialects import (
    PlatformBackendDialect,
    PlatformCallerDialect,
    find_status,
)
from limpetshore.platform.heartbeats import HeartbeatApp
from limpetshore.platform.store import PlatformStore
from limpetshore.protocol.dialects import BackendCall
from limpetshore.settings import check_settings
from limpetshore.state.backends import LocalBackend
from limpetshore.state.policies import PolicyIndex, decode_policy
from limpetshore.transport.http_client import ResponseHead
from limpetshore.verdicts import Reason, Refusal, Verdict
from tests.platform_store import PlatformStoreClient, build_response

ROOT = Path(__file__).parent.parent
ADDRESS = '10.0.0.9:8080'
CONFIGURATION = {
    'version': 7,
    'routes': {
        'r-lookup': {
            'host': 'Yard.example',
            'path_prefix': '/stock/',
            'kind': 'idempotent',
            'timeout_ms': 5000,
            'target_ms': 1200,
            'priority': 2,
            'split': [
                {'service': 'yard', 'weight': 90},
                {'service': 'spare', 'weight': 10},
            ],
            'attempts': 2,
            'is_open': False,
        },
        'r-hold': {
            'host': 'yard.example',
            'path_prefix': '/stock/hold/',
            'kind': 'non_idempotent',
            'timeout_ms': 800,
            'target_ms': 1500,
            'service': 'holds',
        },
    },
    'services': {'yard': {'health_path': '/healthz', 'protocol': 'h1'}},
    'customers': {
        'harbour': {'keys': ['k1'], 'priority': 1, 'rate': 100, 'burst': 50},
        'open': {'keys': []},
    },
    'limits': {'maxHeaderBytes': 16384},
}


def read_configuration():
    """Return the policy of the configuration above, as it is stored."""
    encoded = msgspec.json.encode(CONFIGURATION)
    return build_policy(wire.decode(wire.Configuration, encoded))


def test_configuration_becomes_a_policy():
    """Find routes by host and longest path, with kind and split."""
    index = PolicyIndex(read_configuration(), 1)
    lookup = index.find_route('GET', '/stock/7', 'yard.example')
    assert lookup.name == 'r-lookup'
    assert lookup.services == ['yard', 'spare']
    assert lookup.route.is_repeatable
    hold = index.find_route('DELETE', '/stock/hold/7', 'yard.example')
    assert (hold.name, hold.route.is_repeatable) == ('r-hold', False)
    assert index.find_route('GET', '/stock', 'yard.example') is None
    assert index.find_route('GET', '/stock/7', 'other.example') is None
    assert index.find_customer('k1') == 'harbour'


@given(st.floats(1, 1000), st.integers(0, 2000))
def test_limit_stays_inside_its_window(rate, burst):
    """Give no more in any window than the platform tolerates."""
    limit = build_limit(wire.CustomerEntry(rate=rate, burst=burst))
    most = limit.rate * WINDOW_S + limit.burst
    assert most <= (rate * WINDOW_S + burst) * 1.1 + 20
    assert most >= rate * WINDOW_S + burst


@pytest.mark.parametrize('reason', Reason)
def test_status_promises_no_more_than_the_verdict(reason):
    """Keep 429, 503, 408 and 421 for what has not run."""
    status = find_status(Refusal(reason, Verdict.MAY_HAVE_RUN))
    assert status in {502, 504}
    assert find_status(Refusal(reason)) not in {502, 504}


def test_forged_headers_do_not_pass():
    """Set tenant, caller and instance whatever the caller sent."""
    dropped = PlatformCallerDialect().dropped_headers
    assert {wire.TENANT, wire.CALLER_SERVICE, wire.EXPECTED_INSTANCE} <= dropped
    call = BackendCall('id', 'harbour', 'yard', 'token', 1.5)
    headers = dict(PlatformBackendDialect().build_headers(call, 'i-1'))
    assert headers == {
        wire.DEADLINE_MS: b'1500',
        wire.CALLER_SERVICE: b'yard',
        wire.TENANT: b'harbour',
        wire.EXPECTED_INSTANCE: b'i-1',
    }


@pytest.mark.parametrize(
    ('status', 'headers', 'is_fit'),
    [
        (200, [(wire.SEAL, b's'), (wire.REQUEST_ID, b'one')], True),
        (200, [(wire.REQUEST_ID, b'one')], False),
        (200, [(wire.SEAL, b's'), (wire.REQUEST_ID, b'two')], False),
        (200, [(wire.SEAL, b's'), (b'content-encoding', b'gzip')], False),
        (500, [(wire.REQUEST_ID, b'one')], True),
    ],
)
def test_only_sealed_own_answers_pass(status, headers, is_fit):
    """Hold back a success without a seal or for another request."""
    head = ResponseHead(status, headers)
    flaw = PlatformBackendDialect().find_answer_error(head, 'one')
    assert (not flaw) == is_fit


def test_server_that_did_not_run_a_request_is_believed():
    """Tell a shed and a misdirected request from an answer."""
    dialect = PlatformBackendDialect()
    shed = ResponseHead(503, [(wire.NOT_EXECUTED, b'1')])
    assert dialect.find_not_run_reason(shed) == Reason.SERVER_SHED
    assert (
        dialect.find_not_run_reason(ResponseHead(421, [])) == Reason.NOT_OWNER
    )
    assert dialect.find_not_run_reason(ResponseHead(503, [])) is None


def run_store(work):
    """Run some work with an empty store."""
    client = PlatformStoreClient()
    return anyio.run(work, client, PlatformStore(client))


def test_store_keeps_objects_under_conditions():
    """Write, conflict, list over pages and delete."""

    async def work(client, store):
        for name in ('a', 'b', 'c'):
            await store.put('nodes', name, b'{"x":1}', 0)
        with pytest.raises(StoreConflictError):
            await store.put('nodes', 'a', b'{}', 0)
        stored = await store.get('nodes', 'a')
        version = await store.put('nodes', 'a', b'{"x":2}', stored.version)
        with pytest.raises(StoreConflictError):
            await store.put('nodes', 'a', b'{}', stored.version)
        assert version > stored.version
        listed = await store.list_objects('nodes')
        assert [entry.name for entry in listed.changed] == ['a', 'b', 'c']
        await store.delete('nodes', 'a', version)
        assert await store.get('nodes', 'a') is None

    run_store(work)


def test_watch_moves_on_only_with_a_change():
    """Ask from before, so that changes held back are not passed over."""

    async def work(client, store):
        quiet = await store.watch(1, 0.01)
        assert (quiet.revision, quiet.changed) == (1, [])
        client.revision = 8  # changes that this watch does not hear of
        assert (await store.watch(1, 0.01)).revision == 1
        body = {'metadata': {}, 'spec': CONFIGURATION}
        client.write('config', 'main', body, new=True)
        changes = await store.watch(1, 0.01)
        assert changes.revision == client.revision
        policy = decode_policy(changes.changed[0].content)
        assert (changes.changed[0].kind, policy.number) == (POLICY_KIND, 7)
        client.oldest = 5
        with pytest.raises(StoreHistoryError):
            await store.watch(1, 0.01)

    run_store(work)


@given(st.binary(max_size=60))
def test_garbage_from_the_store_is_an_error(garbage):
    """Name what is unreadable, whatever bytes come."""

    class Garbled(PlatformStoreClient):
        async def call(self, *arguments, **named):
            return await build_response(200, garbage)

    async def work():
        with pytest.raises(StoreError):
            await PlatformStore(Garbled()).list_objects('nodes')

    anyio.run(work)


class GuardStandIn:
    """Hold what heartbeats need of a guard."""

    def __init__(self):
        """Start without a server."""
        self.settings = check_settings(
            {
                'node': {'name': 'n', 'zone': 'z'},
                'listen': {
                    name: '10.0.0.9:1'
                    for name in ('callers', 'peers', 'control', 'admin')
                },
                'backend': {'service': 'yard', 'address': ADDRESS},
                'store': {'address': '10.0.0.1:1'},
            }
        )
        self.metrics = Metrics()
        self.backend = LocalBackend(1000, 6)

    def apply_announcement(self, *, is_new):
        """Follow nothing."""


@pytest.fixture
def beats():
    """Take heartbeats on a clock that stands still."""
    before = clock.process_clock.source
    clock.process_clock.source = lambda: 100.0
    yield HeartbeatApp(GuardStandIn(), lambda: None)
    clock.process_clock.source = before


def build_beat(**changes):
    """Return a heartbeat of the local server."""
    values = {
        'service': 'yard',
        'address': ADDRESS,
        'slots': 20,
        'state': 'ready',
        'sequence': 4,
        'born': 1000,
        **changes,
    }
    return wire.Heartbeat(**values)


def test_late_heartbeat_of_a_departed_server_changes_nothing(beats):
    """Keep a server out that left, until it starts anew."""
    backend = beats.guard.backend
    beats.take_heartbeat('i-1', build_beat())
    assert backend.is_ready
    beats.take_departure('i-1')
    assert not backend.is_ready
    beats.take_heartbeat('i-1', build_beat(sequence=9))
    assert not backend.is_ready
    beats.take_heartbeat('i-1', build_beat(sequence=1, born=2000))
    assert backend.is_ready


def test_draining_server_is_not_ready_again(beats):
    """Ignore what a server said before it began to leave."""
    beats.take_heartbeat('i-1', build_beat(state='draining', sequence=8))
    beats.take_heartbeat('i-1', build_beat(sequence=7))
    beats.take_heartbeat('i-1', build_beat(sequence=9))
    assert not beats.guard.backend.is_ready


def test_heartbeat_of_an_earlier_birth_is_late(beats):
    """Believe the newest birth at the address."""
    beats.take_heartbeat('i-2', build_beat(born=2000, sequence=0))
    beats.take_heartbeat('i-1', build_beat(state='draining', sequence=90))
    assert beats.guard.backend.is_ready
    assert beats.guard.backend.instance == 'i-2'


@pytest.mark.parametrize(
    'changes',
    [{'address': '10.0.0.8:1'}, {'service': 'other'}, {'state': 'odd'}],
)
def test_forged_heartbeat_is_refused(beats, changes):
    """Refuse an announcement that is not of the local server."""
    assert beats.take_heartbeat('i-3', build_beat(**changes)) == 400
    assert not beats.guard.backend.is_ready


def test_no_platform_name_outside_its_folder():
    """Keep the platform's words where they are translated."""
    words = re.compile(
        'Limpetshore-|limpetshore-(request|deadline|response|tenant)|'
        'heartbeatAddr|coldRemainingMs|trafficSplit|apiKeys|ratePerS|'
        'pathPrefix|targetLatencyMs|/readyz|/instances/',
    )
    for path in (ROOT / 'limpetshore').rglob('*.py'):
        if path.parent.name != 'platform':
            assert not words.search(path.read_text()), path


def test_requirements_are_those_of_the_package():
    """Pin the same versions for the platform's build."""
    declared = (ROOT / 'pyproject.toml').read_text()
    for line in (ROOT / 'requirements.txt').read_text().split():
        assert f'"{line}"' in declared


def test_no_settings_file_is_a_clear_error():
    """Say what is missing when the platform names no settings."""
    done = subprocess.run(
        [sys.executable, '-m', 'limpetshore.platform'],
        cwd=ROOT,
        env={'LIMPETSHORE_BOOT': '/nowhere/settings'},
        capture_output=True,
        check=False,
    )
    assert done.returncode == 2
    assert b'/nowhere/settings' in done.stderr


@pytest.mark.parametrize(
    ('given_ms', 'timeout_s'),
    [
        (b'1200', 1.2),
        (b'1200.0', 1.2),
        (b'0', 0.001),
        (b'-5', 0.001),
        (b'soon', None),
        (b'inf', None),
    ],
)
def test_odd_deadline_denies_nobody(given_ms, timeout_s):
    """Read any number, and let the route decide where there is none."""
    headers = [(wire.DEADLINE_MS, given_ms)]
    assert PlatformCallerDialect().read_timeout_s(headers) == timeout_s


def test_id_of_a_call_eleven_deep_is_accepted():
    """Accept ids that grow with the depth of the call graph."""
    request_id = '.'.join(['9c41d07be2a35f68'] * 11)
    headers = [(wire.REQUEST_ID, request_id.encode())]
    assert PlatformCallerDialect().read_request_id(headers).text == request_id
