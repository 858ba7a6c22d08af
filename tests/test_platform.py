"""Test the platform integration without a network."""

import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import anyio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from limpetshore.coordination.fleet import POLICY_KIND
from limpetshore.errors import (
    StoreConflictError,
    StoreError,
    StoreHistoryError,
)
from limpetshore.platform import wire
from limpetshore.platform.configuration import (
    LIMIT_WINDOW_S,
    build_limit,
    build_policy,
)
from limpetshore.platform.dialects import (
    PlatformBackendDialect,
    PlatformCallerDialect,
    choose_status,
)
from limpetshore.platform.store import PlatformStore
from limpetshore.protocol.dialects import BackendCall
from limpetshore.state.policies import PolicyIndex, decode_policy
from limpetshore.state.store import StoreResponse
from limpetshore.transport.responses import ResponseHead
from limpetshore.verdicts import Reason, Refusal, Verdict
from tests.builders import CONFIGURATION
from tests.platform_store import PlatformStoreClient

ROOT = Path(__file__).parent.parent


def decode_configured_policy():
    """Return the policy built from the JSON form of `CONFIGURATION`."""
    encoded = msgspec.json.encode(CONFIGURATION)
    return build_policy(wire.decode(wire.Configuration, encoded))


def test_configuration_is_converted_to_a_policy():
    """Find routes by host and longest path prefix, with kind and split."""
    index = PolicyIndex(decode_configured_policy(), 1)
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
def test_token_bucket_respects_the_window_limit(rate, burst):
    """Allow the window limit, and no more than the platform tolerates."""
    limit = build_limit(wire.CustomerEntry(rate=rate, burst=burst))
    max_per_window = limit.rate * LIMIT_WINDOW_S + limit.burst
    assert max_per_window <= (rate * LIMIT_WINDOW_S + burst) * 1.1 + 20
    assert max_per_window >= rate * LIMIT_WINDOW_S + burst


@pytest.mark.parametrize('reason', Reason)
def test_status_agrees_with_the_verdict(reason):
    """Use 502 and 504 exactly for requests that may have run.

    Callers interpret 429, 503, 408 and 421 as "not run".
    """
    status = choose_status(Refusal(reason, Verdict.MAY_HAVE_RUN))
    assert status in {502, 504}
    assert choose_status(Refusal(reason)) not in {502, 504}


def test_forged_headers_are_not_forwarded():
    """Replace tenant, caller and instance headers sent by the caller."""
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
    ('status', 'headers', 'is_forwarded'),
    [
        (200, [(wire.SEAL, b's'), (wire.REQUEST_ID, b'one')], True),
        (200, [(wire.REQUEST_ID, b'one')], False),
        (200, [(wire.SEAL, b's'), (wire.REQUEST_ID, b'two')], False),
        (200, [(wire.SEAL, b's'), (b'content-encoding', b'gzip')], False),
        (500, [(wire.REQUEST_ID, b'one')], True),
    ],
)
def test_only_sealed_answers_to_the_request_are_forwarded(
    status, headers, is_forwarded
):
    """Reject a success without a seal or with the id of another request."""
    head = ResponseHead(status, headers)
    answer_error = PlatformBackendDialect().find_answer_error(head, 'one')
    assert (not answer_error) == is_forwarded


def test_not_run_reason_of_shed_and_misdirected_requests():
    """Distinguish a shed and a misdirected request from an answer."""
    dialect = PlatformBackendDialect()
    shed = ResponseHead(503, [(wire.NOT_EXECUTED, b'1')])
    assert dialect.find_not_run_reason(shed) == Reason.SERVER_SHED
    assert (
        dialect.find_not_run_reason(ResponseHead(421, [])) == Reason.NOT_OWNER
    )
    assert dialect.find_not_run_reason(ResponseHead(503, [])) is None


def run_with_store(scenario):
    """Run a scenario with an empty store."""
    client = PlatformStoreClient()
    return anyio.run(scenario, client, PlatformStore(client))


def test_store_writes_conditionally():
    """Write, detect conflicts, list over several pages and delete."""

    async def scenario(client, store):
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

    run_with_store(scenario)


def test_watch_advances_its_revision_only_with_a_change():
    """Keep the revision without a change, so that late changes are seen.

    The store may raise its revision before it delivers the changes.
    """

    async def scenario(client, store):
        unchanged = await store.watch(1, 0.01)
        assert (unchanged.revision, unchanged.changed) == (1, [])
        client.revision = 8  # changes that the store has not delivered yet
        assert (await store.watch(1, 0.01)).revision == 1
        body = {'metadata': {}, 'spec': CONFIGURATION}
        client.write('config', 'main', body, new=True)
        changes = await store.watch(1, 0.01)
        assert changes.revision == client.revision
        policy = decode_policy(changes.changed[0].content)
        assert (changes.changed[0].kind, policy.number) == (POLICY_KIND, 7)
        client.oldest_revision = 5
        with pytest.raises(StoreHistoryError):
            await store.watch(1, 0.01)

    run_with_store(scenario)


@given(st.binary(max_size=60))
def test_undecodable_store_answer_raises_store_error(garbage):
    """Raise `StoreError` for any bytes that are not a valid answer."""

    class GarblingStoreClient(PlatformStoreClient):
        async def call(self, *arguments, **named):
            return StoreResponse(200, [], garbage)

    async def scenario():
        with pytest.raises(StoreError):
            await PlatformStore(GarblingStoreClient()).list_objects('nodes')

    anyio.run(scenario)


def test_platform_names_occur_only_in_the_platform_folder():
    """Keep the wire names of the platform out of the other folders."""
    words = re.compile(
        'Limpetshore-|limpetshore-(request|deadline|response|tenant)|'
        'heartbeatAddr|coldRemainingMs|trafficSplit|apiKeys|ratePerS|'
        'pathPrefix|targetLatencyMs|/readyz|/instances/',
    )
    for path in (ROOT / 'limpetshore').rglob('*.py'):
        if path.parent.name != 'platform':
            assert not words.search(path.read_text()), path


def test_requirements_match_the_package():
    """Pin the versions of `pyproject.toml` in the platform's build too."""
    declared = (ROOT / 'pyproject.toml').read_text()
    for line in (ROOT / 'requirements.txt').read_text().split():
        assert f'"{line}"' in declared


def test_missing_settings_file_is_reported():
    """Print the path of a missing settings file and exit with status 2."""
    done = subprocess.run(
        [sys.executable, '-m', 'limpetshore.platform'],
        cwd=ROOT,
        env={'LIMPETSHORE_BOOT': '/nowhere/settings'},
        capture_output=True,
        check=False,
    )
    assert done.returncode == 2
    assert b'/nowhere/settings' in done.stderr


def test_hangup_during_the_start_is_ignored(tmp_path):
    """Survive a SIGHUP that comes before the settings have been read.

    It ended the process until the handler was set, 0.3 s after the start.
    """
    path = tmp_path / 'settings'
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, '-m', 'limpetshore.platform'],
        cwd=ROOT,
        env={'LIMPETSHORE_BOOT': str(path)},
        stderr=subprocess.PIPE,
    )
    with path.open('w') as settings:  # once the process reads them
        process.send_signal(signal.SIGHUP)
        settings.write('not = "settings"')
    _, errors = process.communicate(timeout=20)
    assert process.returncode == 2
    assert b'node.name' in errors


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
def test_unusual_deadline_is_accepted(given_ms, timeout_s):
    """Accept any finite number; otherwise the route sets the timeout."""
    headers = [(wire.DEADLINE_MS, given_ms)]
    assert PlatformCallerDialect().read_timeout_s(headers) == timeout_s


def test_request_id_of_eleven_nested_calls_is_accepted():
    """Accept request ids that grow with the depth of the call graph."""
    request_id = '.'.join(['9c41d07be2a35f68'] * 11)
    headers = [(wire.REQUEST_ID, request_id.encode())]
    assert PlatformCallerDialect().read_request_id(headers).text == request_id
