"""Test entries that another writer has left among those of this program."""

import anyio
import msgspec
import pytest

from limpetshore.coordination.fleet import POLICY_KIND, FleetState
from limpetshore.coordination.joining import merge_roster
from limpetshore.coordination.local_shards import LocalShards
from limpetshore.decoding import decode_json, prune_nesting
from limpetshore.errors import ConnectError
from limpetshore.metrics import Metrics
from limpetshore.platform import wire
from limpetshore.platform.store import PlatformStore, convert_configuration
from limpetshore.state.policies import decode_policy
from limpetshore.state.fencing import FencingState
from limpetshore.state.members import MemberTable
from limpetshore.state.roster import decode_roster
from limpetshore.state.store import StoredObject, StoreResponse
from limpetshore.transport.http_client import Address, connect
from tests.builders import CONFIGURATION, build_node_state
from tests.mock_clock import run_on_mock_clock
from tests.platform_store import PlatformStoreClient

DEPTH = 100_000
DEEP = b'[' * DEPTH + b']' * DEPTH
HUGE = b'1' + b'0' * 400
VALID = msgspec.json.encode(build_node_state('a'))
# What stands for the incarnation, the address of peers or a whole entry.
ODD_MEMBERS = {
    'deep': DEEP,
    'deep-in-a-field': VALID.replace(b',5,', b',%b,' % DEEP, 1),
    'deep-in-text': VALID.replace(b'"a"', b'{"\\"[":%b}' % DEEP, 1),
    'huge': VALID.replace(b',5,', b',%b,' % HUGE, 1),
    'beyond-64-bits': VALID.replace(b',5,', b',%d,' % 2**70, 1),
    'infinite': VALID.replace(b',5,', b',1e999,', 1),
    'negative': VALID.replace(b',5,', b',-5,', 1),
    'port-out-of-range': VALID.replace(b':7001', b':70010', 1),
    'port-zero': VALID.replace(b':7002', b':0', 1),
    'no-port': VALID.replace(b':7001', b'', 1),
    'octet-out-of-range': VALID.replace(b'10.0.0.1', b'10.0.0.256'),
    'status-without-a-name': VALID.replace(b',0,0,', b',0,7,', 1),
}


@pytest.mark.parametrize('odd', ODD_MEMBERS.values(), ids=ODD_MEMBERS)
def test_odd_member_of_the_roster_is_left_out(odd):
    """Use the members beside one that is nested deeply, huge or unreachable.

    Nodes that read such a list ended again and again, or no longer followed it.
    """

    async def run():
        table = MemberTable(build_node_state('own'))
        fencing = FencingState('own', fence_s=8, cut_off_s=4)
        shards = LocalShards(
            'own', fencing, validity_s=1, shards_per_customer=1
        )
        fleet = FleetState(table, fencing, shards, Metrics())
        content = b'[%b,%b,%b]' % (VALID, odd, VALID.replace(b'"a"', b'"b"'))
        merge_roster(fleet, StoredObject('roster', 'current', 3, content))
        return {state.name for state in table.states()}

    assert run_on_mock_clock(run) == {'own', 'a', 'b'}


def test_odd_entry_is_counted():
    """Count what was left out, so that operators see it."""
    roster = decode_roster(b'[%b,%b]' % (DEEP, VALID))
    assert (len(roster.members), roster.invalid_count) == (1, 1)


ODD_ENTRIES = [
    b'{"metadata":{"name":"odd","revision":%b},"spec":{}}' % HUGE,
    b'{"metadata":{"name":"odd"}}',
    b'{"metadata":%b}' % DEEP,
    b'{"metadata":{"name":"odd","revision":9},"spec":%b}' % DEEP,
    b'7',
    DEEP,
]


def read_kind(answer, *, is_watch):
    """Return the changes that a store with this answer reports."""

    class OddStoreClient(PlatformStoreClient):
        async def call(self, *arguments, **named):
            return StoreResponse(200, [], answer)

    async def run():
        store = PlatformStore(OddStoreClient())
        if is_watch:
            return await store.watch(1, 0.1)
        return await store.list_objects(POLICY_KIND)

    return anyio.run(run)


def build_entry(name='main'):
    """Return the encoded object of a configuration."""
    metadata = {'name': name, 'revision': 5}
    return msgspec.json.encode({'metadata': metadata, 'spec': CONFIGURATION})


@pytest.mark.parametrize('odd', ODD_ENTRIES)
def test_odd_object_hides_no_other(odd):
    """Follow the configuration beside an odd object, listed or watched."""
    listed = b'{"items":[%b,%b],"store_revision":9}' % (odd, build_entry())
    changes = read_kind(listed, is_watch=False)
    assert [stored.version for stored in changes.changed] == [5]
    event = b'{"object":%b,"removed":false}'
    watched = b'{"events":[%b,%b],"store_revision":9}' % (
        event % odd,
        event % build_entry(),
    )
    changes = read_kind(watched, is_watch=True)
    assert [stored.version for stored in changes.changed] == [5]


def test_only_one_object_is_the_configuration():
    """Take no object of another name for the configuration, however new."""
    listed = b'{"items":[%b],"store_revision":9}' % build_entry('other')
    assert read_kind(listed, is_watch=False).changed == []


@pytest.mark.parametrize('rate', [b'1e308', b'1e999', b'-1', b'"many"'])
def test_customer_with_an_odd_number_hides_no_other(rate):
    """Use the rest of a configuration; raise no error that ends the reading."""
    harbour = {'rate': None, 'burst': None}
    customers = {'harbour': harbour, 'quarry': {'keys': ['k']}}
    encoded = msgspec.json.encode({**CONFIGURATION, 'customers': customers})
    policy = convert_and_decode(encoded.replace(b'null', rate))
    assert policy.routes
    assert policy.customers['quarry'].key_hashes


# Fields of a route that other writers leave out, or set to something else.
ODD_FIELDS = [
    {'timeout_ms': None},
    {'timeout_ms': 0},
    {'timeout_ms': 1e12},
    {'target_ms': None},
    {'priority': None},
    {'attempts': None},
    {'is_open': None},
    {'split': None},
    {'host': 'yard.example:80'},
    {'host': 'yard_1.example'},
    {'path_prefix': f'/{"a" * 300}/'},
    {'service': 'Yard_2'},
    {'split': [{'service': 'yard', 'weight': 1e9}], 'service': None},
]


@pytest.mark.parametrize('fields', ODD_FIELDS)
def test_route_with_an_odd_field_is_active(fields):
    """Serve a route that the platform has accepted.

    One field out of the usual kept the whole version from being active, with
    the keys that it withdrew.
    """
    active = set(convert_with_route(fields).routes)
    assert active == {*CONFIGURATION['routes'], 'odd'}


UNREADABLE_FIELDS = [
    {'timeout_ms': 'soon'},
    {'path_prefix': 'stock'},
    {'path_prefix': None},
    {'service': None},
    {'split': [{'service': 'yard', 'weight': -1}]},
    {'split': [{'service': 'yard'}]},
    {'host': 'a b'},
]


@pytest.mark.parametrize('fields', UNREADABLE_FIELDS)
def test_route_that_cannot_be_read_hides_no_other(fields):
    """Leave out one route of a version, and make the rest active."""
    active = set(convert_with_route(fields).routes)
    assert active == set(CONFIGURATION['routes'])


def convert_with_route(fields):
    """Return the policy of a configuration with one more route."""
    route = {**CONFIGURATION['routes']['r-hold'], **fields}
    routes = {**CONFIGURATION['routes'], 'odd': route}
    encoded = msgspec.json.encode({**CONFIGURATION, 'routes': routes})
    return convert_and_decode(encoded)


def convert_and_decode(encoded):
    """Return the policy that nodes use for an encoded configuration."""
    return decode_policy(convert_configuration(encoded))


@pytest.mark.parametrize('field', ['born', 'sequence', 'slots'])
@pytest.mark.parametrize('odd', [DEEP, HUGE, b'1' * 6000, b'-1', b'1.5'])
def test_odd_heartbeat_cannot_be_decoded(field, odd):
    """Raise the error that is answered with 400."""
    values = {'born': b'1', 'sequence': b'2', 'slots': b'3', field: odd}
    encoded = b'{"service":"a","address":"b","state":"ready",%b}' % b','.join(
        b'"%b":%b' % (name.encode(), text) for name, text in values.items()
    )
    with pytest.raises(msgspec.MsgspecError):
        wire.decode(wire.Heartbeat, encoded)


def test_port_out_of_range_is_a_failed_connection():
    """Refuse a call instead of failing with an unexpected error."""

    async def run():
        with pytest.raises(ConnectError):
            await connect(Address('127.0.0.1', 70010))

    anyio.run(run)


@pytest.mark.parametrize('encoded', [b'[' * DEPTH, DEEP, b'{"a":' * DEPTH])
def test_deep_nesting_is_no_unexpected_error(encoded):
    """Decode what is left, or raise the usual error."""
    assert len(prune_nesting(encoded)) < 500
    try:
        decode_json(encoded)
    except msgspec.MsgspecError:
        return
