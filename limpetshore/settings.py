"""Hold, check and explain every setting of a process."""

import tomllib
from pathlib import Path
from typing import Annotated, Any, NamedTuple, TypeVar, get_type_hints

import msgspec

from limpetshore.checks import Name, Seconds, build_record
from limpetshore.errors import SettingsError
from limpetshore.transport.http_client import Address

Section = TypeVar('Section')

MAX_PORT = 65535

AddressText = Annotated[
    str,
    msgspec.Meta(
        pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$',
        description='IP number and port',
    ),
]
HostText = Annotated[
    str,
    msgspec.Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}$', description='IP number'),
]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class NodeSection(NamedTuple):
    """Say which node this is and where it runs."""

    name: Name
    zone: Name
    region: Name = 'region'


class ListenSection(NamedTuple):
    """List the addresses the node serves, as `host:port`."""

    callers: AddressText
    peers: AddressText
    control: AddressText
    admin: AddressText
    peers_seen_as: AddressText | None = None
    control_seen_as: AddressText | None = None


class BackendSection(NamedTuple):
    """Say what is expected of the backend server beside the node."""

    service: Name
    address: AddressText
    calls_from: HostText | None = None
    max_slots: Count = 1000
    announce_lapse_s: Seconds = 6


class StoreSection(NamedTuple):
    """Say how to reach the object API of the platform."""

    address: AddressText
    timeout_s: Seconds = 2
    watch_s: Seconds = 2


class CallSection(NamedTuple):
    """Bound one call on its way through the node."""

    max_body_bytes: Count = 64 * 1024 * 1024
    replay_bytes: Annotated[int, msgspec.Meta(ge=0, le=1048576)] = 65536
    stall_s: Seconds = 10
    silence_s: Seconds = 2
    quiet_s: Seconds = 2
    connect_s: Seconds = 1
    max_idle_s: Seconds = 30
    max_depth: Annotated[int, msgspec.Meta(ge=1, le=64)] = 12
    graceful_s: Seconds = 30
    drain_notice_s: Seconds = 2


class AdmissionSection(NamedTuple):
    """Tune how the guard admits work for its backend server."""

    queue_per_slot: Annotated[float, msgspec.Meta(ge=0, le=100)] = 1
    max_wait_s: Seconds = 0.5
    limit: Annotated[str, msgspec.Meta(pattern='^(learned|announced)$')] = (
        'learned'
    )
    slot_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.95
    initial_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.2
    probe_s: Seconds = 5
    level_half_life_s: Seconds = 0.5
    retry_tokens: Annotated[float, msgspec.Meta(ge=0, le=10000)] = 20
    fleet_retry_tokens: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 0
    retry_earning: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1


class FleetSection(NamedTuple):
    """Tune what the nodes agree on among themselves."""

    seeds: list[AddressText] = []
    peers: Annotated[int, msgspec.Meta(ge=1, le=64)] = 8
    gossip_period_s: Seconds = 1
    suspicion_s: Seconds = 5
    fence_s: Seconds = 8
    takeover_s: Seconds = 30
    cut_off_s: Seconds = 4
    grant_validity_s: Seconds = 0.6
    grant_horizon_s: Seconds = 0.3
    grant_wait_s: Seconds = 0.4
    budgets: Annotated[str, msgspec.Meta(pattern='^(granted|conserved)$')] = (
        'granted'
    )
    shards_per_customer: Annotated[int, msgspec.Meta(ge=1, le=16)] = 4
    watchers_per_zone: Annotated[int, msgspec.Meta(ge=1, le=16)] = 2
    id_window_s: Seconds = 600
    clock_skew_s: Seconds = 2
    keys_need_store: bool = False


class PlatformSection(NamedTuple):
    """List the addresses that only the platform calls, as `host:port`."""

    heartbeats: AddressText | None = None
    readiness: AddressText | None = None


class LogSection(NamedTuple):
    """Tune the log, which goes to standard output as JSON lines."""

    level: Annotated[
        str,
        msgspec.Meta(pattern='^(DEBUG|INFO|NOTICE|WARNING|ERROR)$'),
    ] = 'INFO'


class NodeSettings(NamedTuple):
    """Hold all settings of a node."""

    node: NodeSection
    listen: ListenSection
    backend: BackendSection
    store: StoreSection
    call: CallSection = CallSection()
    admission: AdmissionSection = AdmissionSection()
    fleet: FleetSection = FleetSection()
    platform: PlatformSection = PlatformSection()
    log: LogSection = LogSection()


# Each line explains a setting; the reference page is made from them.
MEANINGS: dict[str, str] = {
    'node.name': 'Name of the node, unique in the fleet, kept over restarts',
    'node.zone': 'Availability zone the node runs in',
    'node.region': 'Region the zone belongs to',
    'listen.callers': 'Address for callers and the local backend server',
    'listen.peers': 'Address for calls from other nodes',
    'listen.control': 'Address for control messages from other nodes (gRPC)',
    'listen.admin': 'Address for metrics, status and announcements',
    'listen.peers_seen_as': 'Address under which other nodes reach `peers`',
    'listen.control_seen_as': 'Address under which they reach `control`',
    'backend.service': 'Service the local backend server belongs to',
    'backend.address': 'Address of the local backend server',
    'backend.calls_from': (
        'IP number nested calls come from, if not that of `address`'
    ),
    'backend.max_slots': 'Most slots believed of an announcement',
    'backend.announce_lapse_s': (
        'Seconds without an announcement until the backend server is gone'
    ),
    'store.address': 'Address of the object API',
    'store.timeout_s': 'Seconds to wait for one answer of the store',
    'store.watch_s': 'Seconds a watch waits for a change',
    'call.max_body_bytes': 'Largest request body accepted',
    'call.replay_bytes': 'Largest request body kept for a retry',
    'call.stall_s': 'Seconds a body may stand still before it is aborted',
    'call.silence_s': (
        'Seconds without an answer until the other node is asked on a new '
        'connection whether the call arrived'
    ),
    'call.quiet_s': (
        'Seconds without a byte from a node until it is asked whether it lives'
    ),
    'call.connect_s': 'Seconds a new connection may take to open',
    'call.max_idle_s': 'Seconds a connection may idle and still be used again',
    'call.max_depth': 'Deepest chain of nested calls',
    'call.graceful_s': 'Seconds a shutdown waits for open requests',
    'call.drain_notice_s': (
        'Seconds between saying that the node leaves and closing its ports'
    ),
    'admission.queue_per_slot': 'Waiting requests allowed for each slot',
    'admission.max_wait_s': 'Seconds a request may wait for a slot',
    'admission.limit': (
        'Where the number of requests at once comes from: learned from '
        'answers, or a share of the announced slots'
    ),
    'admission.slot_share': 'Share of the announced slots that is used',
    'admission.initial_share': 'Share of the slots used after a cold start',
    'admission.probe_s': (
        'Seconds between two changes of the limit that try for a better one'
    ),
    'admission.level_half_life_s': (
        'Seconds until a reported admission level counts half'
    ),
    'admission.retry_tokens': 'Most retries saved up for each service',
    'admission.fleet_retry_tokens': (
        'If above 0, most retries saved up for each service by all nodes '
        'together, which replaces `retry_tokens`'
    ),
    'admission.retry_earning': 'Retries earned by each whole answer',
    'fleet.seeds': 'Control addresses asked first after a start',
    'fleet.peers': 'Number of nodes this node exchanges state with',
    'fleet.gossip_period_s': 'Seconds between two exchanges',
    'fleet.suspicion_s': 'Seconds a silent node is suspected before it is dead',
    'fleet.fence_s': (
        'Seconds without a confirmation until the node grants no tokens and '
        'runs no request that may not be repeated'
    ),
    'fleet.takeover_s': 'Seconds a node is dead until its shards move',
    'fleet.cut_off_s': (
        'Seconds without store and majority until keys are refused'
    ),
    'fleet.grant_validity_s': 'Seconds a granted token may be spent',
    'fleet.grant_horizon_s': 'Seconds of demand asked for at a time',
    'fleet.grant_wait_s': 'Seconds a call waits for a token',
    'fleet.budgets': (
        'How budgets are shared: granted by holders of shards, or conserved '
        'in parts that nodes own and lend'
    ),
    'fleet.shards_per_customer': 'Nodes that share the budget of a customer',
    'fleet.watchers_per_zone': 'Nodes for each zone that watch the store',
    'fleet.id_window_s': 'Seconds a request id is remembered',
    'fleet.clock_skew_s': 'Largest difference of wall clocks allowed for',
    'fleet.keys_need_store': (
        'Refuse keys without word of the store, even if most nodes are alive'
    ),
    'platform.heartbeats': 'Address for announcements of the backend server',
    'platform.readiness': 'Address that tells whether callers may come',
    'log.level': 'Least severe message that is logged',
}


def parse_address(text: str) -> Address:
    """Split `host:port`.

    >>> parse_address('127.0.0.1:80').port
    80
    """
    host, _, port = text.rpartition(':')
    return Address(host, int(port))


def check_address(name: str, text: str, mistakes: list[str]) -> None:
    """Note an address whose numbers are out of range."""
    address = parse_address(text)
    octets = address.host.split('.')
    if any(int(octet) > 255 for octet in octets):  # noqa: WPS432
        mistakes.append(f'{name}: got {text!r}; each number is at most 255')
    if not 0 < address.port <= MAX_PORT:
        mistakes.append(f'{name}: got {text!r}; a port is 1 to {MAX_PORT}')


def check_settings(tables: dict[str, Any]) -> NodeSettings:
    """Return checked settings, or raise with every mistake."""
    mistakes: list[str] = []
    hints = get_type_hints(NodeSettings)
    for unknown in sorted(set(tables) - set(hints)):
        allowed = ', '.join(hints)
        mistakes.append(f'{unknown}: unknown table; allowed are {allowed}')
    sections = {
        name: build_record(section, tables.get(name, {}), name, mistakes)
        for name, section in hints.items()
    }
    for name, record in sections.items():
        check_addresses(name, record, mistakes)
    fleet = sections['fleet']
    if fleet and fleet.takeover_s < 3 * fleet.fence_s:
        mistakes.append(
            f'fleet.takeover_s: got {fleet.takeover_s}; at least three times '
            f'fleet.fence_s ({fleet.fence_s}) keeps two nodes from granting '
            'the same tokens',
        )
    if mistakes:
        raise SettingsError(mistakes)
    return NodeSettings(**sections)


def check_addresses(
    name: str,
    record: Any,
    mistakes: list[str],
) -> None:
    """Note every address of a section that cannot exist."""
    if record is None:
        return
    for field, hint in get_type_hints(
        type(record),
        include_extras=True,
    ).items():
        text = getattr(record, field)
        if text and hint in {AddressText, AddressText | None}:
            check_address(f'{name}.{field}', text, mistakes)


def load_settings(path: Path) -> NodeSettings:
    """Read and check a settings file."""
    try:
        tables = tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError([f'{path}: {error.strerror}']) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError([f'{path}: not TOML: {error}']) from error
    return check_settings(tables)


def describe_settings() -> str:
    """Return the reference page of all settings as Markdown."""
    lines = [
        '# Settings reference',
        '',
        'One TOML file for each node. `limpetshore check FILE` lists every',
        'mistake. Made by `limpetshore settings`.',
        '',
    ]
    for section_name, section in get_type_hints(NodeSettings).items():
        lines += [f'## `[{section_name}]`', '', f'{section.__doc__}', '']
        lines += ['| setting | default | meaning |', '| --- | --- | --- |']
        for field in section._fields:
            default = section._field_defaults.get(field, 'required')
            meaning = MEANINGS[f'{section_name}.{field}']
            lines.append(f'| `{field}` | `{default}` | {meaning} |')
        lines.append('')
    return '\n'.join(lines)
