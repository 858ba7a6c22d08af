"""Define, check and describe the settings of a process."""

import tomllib
from pathlib import Path
from typing import Annotated, Any, NamedTuple, TypeVar, get_type_hints

import msgspec

from limpetshore.checks import Name, Seconds, build_record, check_value
from limpetshore.errors import SettingsError
from limpetshore.transport.http_client import Address

Section = TypeVar('Section')

MAX_PORT = 65535
GRANTED_BUDGETS = 'granted'
# What remains is for requests with a key that wait when a node is cut off.
REVOKE_SHARE = 0.9

AddressText = Annotated[
    str,
    msgspec.Meta(
        pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$',
        description='IPv4 address and port',
    ),
]
HostText = Annotated[
    str,
    msgspec.Meta(
        pattern=r'^\d{1,3}(\.\d{1,3}){3}$', description='IPv4 address'
    ),
]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class NodeSection(NamedTuple):
    """Identify the node and the place where it runs."""

    name: Name
    zone: Name
    region: Name = 'region'


class ListenSection(NamedTuple):
    """Set the addresses on which the node listens, as `host:port`."""

    callers: AddressText
    peers: AddressText
    control: AddressText
    admin: AddressText
    peers_seen_as: AddressText | None = None
    control_seen_as: AddressText | None = None


class BackendSection(NamedTuple):
    """Describe the local backend server, which runs beside the node."""

    service: Name
    address: AddressText
    calls_from: HostText | None = None
    max_slots: Count = 1000
    announce_lapse_s: Seconds = 6


class StoreSection(NamedTuple):
    """Configure the client of the platform's object API."""

    address: AddressText
    timeout_s: Seconds = 2
    watch_s: Seconds = 2


class CallSection(NamedTuple):
    """Limit the size, duration and depth of calls through the node."""

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
    """Tune admission control for the local backend server, and retries."""

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
    """Tune gossip, fencing and the rate limits that the nodes share."""

    seeds: list[AddressText] = []
    peers: Annotated[int, msgspec.Meta(ge=1, le=64)] = 8
    gossip_period_s: Seconds = 1
    suspicion_s: Seconds = 5
    fence_s: Seconds = 8
    takeover_s: Seconds = 30
    cut_off_s: Seconds = 4
    revoke_s: Seconds | None = None
    grant_validity_s: Seconds = 0.6
    grant_horizon_s: Seconds = 0.3
    grant_wait_s: Seconds = 0.4
    budgets: Annotated[str, msgspec.Meta(pattern='^(granted|conserved)$')] = (
        'granted'
    )
    restart_tokens: Annotated[float, msgspec.Meta(ge=0, le=1000)] = 0
    shards_per_customer: Annotated[int, msgspec.Meta(ge=1, le=16)] = 4
    watchers: Annotated[int, msgspec.Meta(ge=1, le=64)] = 3
    apply_s: Seconds = 4
    id_window_s: Seconds = 600
    clock_skew_s: Seconds = 2
    keys_need_store: bool = False

    @property
    def reading_bound_s(self) -> float:
        """Return the longest time in which the store must have been read."""
        return min(self.apply_s, self.lapse_s)

    @property
    def lapse_s(self) -> float:
        """Return the seconds without contact until keys are refused."""
        if self.revoke_s is None:
            return self.cut_off_s
        return REVOKE_SHARE * self.revoke_s


class PlatformSection(NamedTuple):
    """Set the addresses that only the platform calls, as `host:port`."""

    heartbeats: AddressText | None = None
    readiness: AddressText | None = None


class LogSection(NamedTuple):
    """Configure the log, which goes to standard output as JSON lines."""

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


# Descriptions of the settings, printed into the reference page.
MEANINGS: dict[str, str] = {
    'node.name': 'Name of the node, unique in the fleet and kept over restarts',
    'node.zone': 'Availability zone in which the node runs',
    'node.region': 'Region to which the availability zone belongs',
    'listen.callers': 'Address for callers and the local backend server',
    'listen.peers': 'Address for calls from other nodes',
    'listen.control': 'Address for control messages from other nodes',
    'listen.admin': 'Address for metrics, status and announcements',
    'listen.peers_seen_as': (
        'Address at which other nodes reach `peers`, if not the same'
    ),
    'listen.control_seen_as': (
        'Address at which other nodes reach `control`, if not the same'
    ),
    'backend.service': 'Service to which the local backend server belongs',
    'backend.address': 'Address of the local backend server',
    'backend.calls_from': (
        'IP address from which nested calls come, if not that of `address`'
    ),
    'backend.max_slots': (
        'Maximum number of slots; a higher announced number is reduced to it'
    ),
    'backend.announce_lapse_s': (
        'Seconds without an announcement until the backend server is '
        'considered not ready'
    ),
    'store.address': 'Address of the object API',
    'store.timeout_s': 'Maximum seconds to wait for an answer of the store',
    'store.watch_s': 'Maximum seconds that a watch waits for a change',
    'call.max_body_bytes': 'Maximum size of a request body in bytes',
    'call.replay_bytes': (
        'Maximum size in bytes of a request body that is kept for a retry'
    ),
    'call.stall_s': 'Seconds without progress until a body is aborted',
    'call.silence_s': (
        'Seconds without an answer until the other node is asked on a new '
        'connection whether the call arrived'
    ),
    'call.quiet_s': (
        'Seconds without a byte from another node until it is probed for '
        'being alive'
    ),
    'call.connect_s': 'Maximum seconds to open a connection',
    'call.max_idle_s': 'Maximum idle seconds of a connection that is reused',
    'call.max_depth': 'Maximum depth of nested calls',
    'call.graceful_s': 'Maximum seconds a shutdown waits for open requests',
    'call.drain_notice_s': (
        'Seconds between announcing that the node leaves and closing its ports'
    ),
    'admission.queue_per_slot': 'Maximum number of waiting requests per slot',
    'admission.max_wait_s': 'Maximum seconds that a request waits for a slot',
    'admission.limit': (
        'Source of the concurrency limit: learned from answers, or a share of '
        'the announced slots'
    ),
    'admission.slot_share': (
        'Share of the announced slots that an announced limit uses'
    ),
    'admission.initial_share': (
        'Share of the slots that a learned limit allows to a server that has '
        'just started'
    ),
    'admission.probe_s': (
        'Seconds between two trials of another value of a learned limit'
    ),
    'admission.level_half_life_s': (
        'Half-life in seconds of a reported admission level'
    ),
    'admission.retry_tokens': 'Maximum number of retry tokens per service',
    'admission.fleet_retry_tokens': (
        'If above 0, maximum number of retry tokens per service of all nodes '
        'together; replaces `retry_tokens`'
    ),
    'admission.retry_earning': 'Retry tokens earned by each complete answer',
    'fleet.seeds': 'Control addresses that are contacted first after a start',
    'fleet.peers': 'Number of nodes with which this node exchanges gossip',
    'fleet.gossip_period_s': 'Seconds between two gossip exchanges',
    'fleet.suspicion_s': (
        'Seconds that a suspected node has to answer before it is declared dead'
    ),
    'fleet.fence_s': (
        'Seconds without a confirmation until the node grants no tokens and '
        'runs no request that may not be repeated'
    ),
    'fleet.takeover_s': (
        'Seconds after the death of a node until its shards are reassigned'
    ),
    'fleet.cut_off_s': (
        'Seconds without contact to either the store or a majority of nodes '
        'until keys are refused'
    ),
    'fleet.revoke_s': (
        'If set, seconds after which no withdrawn key may be used anywhere; '
        'keys are refused after nine tenths of it, instead of `cut_off_s`'
    ),
    'fleet.grant_validity_s': 'Seconds until a granted token expires',
    'fleet.grant_horizon_s': 'Seconds of demand covered by one token request',
    'fleet.grant_wait_s': 'Maximum seconds that a call waits for a token',
    'fleet.budgets': (
        'How nodes share rate budgets: granted by the holders of shards, or '
        'conserved in shares that nodes own and lend'
    ),
    'fleet.restart_tokens': (
        'Tokens with which the owners of a conserved budget start together, '
        'which may exceed the burst by as much'
    ),
    'fleet.shards_per_customer': (
        'Maximum number of nodes among which the budget of a customer is '
        'divided'
    ),
    'fleet.watchers': (
        'Number of nodes in the fleet that watch the store; others take over '
        'while these cannot'
    ),
    'fleet.apply_s': (
        'Seconds within which a policy is active on each node that reaches the '
        'store; the nodes read it as often as this needs'
    ),
    'fleet.id_window_s': (
        'Seconds for which a request id is remembered to detect repeats'
    ),
    'fleet.clock_skew_s': 'Maximum tolerated difference between wall clocks',
    'fleet.keys_need_store': (
        'Refuse keys without recent confirmation of the store, even if most '
        'nodes are alive'
    ),
    'platform.heartbeats': 'Address for heartbeats of the local backend server',
    'platform.readiness': 'Address for readiness checks',
    'log.level': 'Minimum severity of logged messages',
}


def parse_address(text: str) -> Address:
    """Split `host:port`.

    >>> parse_address('127.0.0.1:80').port
    80
    """
    host, _, port = text.rpartition(':')
    return Address(host, int(port))


def is_address(text: str) -> bool:
    """Tell whether a text is an IPv4 address and a port, both in range.

    >>> [is_address(text) for text in ('10.0.0.1:80', '10.0.0.1:65536', '')]
    [True, False, False]
    """
    mistakes: list[str] = []
    check_value(text, AddressText, '', mistakes)
    if not mistakes:
        check_address('', text, mistakes)
    return not mistakes


def check_address(name: str, text: str, mistakes: list[str]) -> None:
    """Append a mistake if the host or port of an address is out of range."""
    address = parse_address(text)
    octets = address.host.split('.')
    if any(int(octet) > 255 for octet in octets):  # noqa: WPS432
        mistakes.append(f'{name}: got {text!r}; each number is at most 255')
    if not 0 < address.port <= MAX_PORT:
        mistakes.append(f'{name}: got {text!r}; a port is 1 to {MAX_PORT}')


def check_settings(tables: dict[str, Any]) -> NodeSettings:
    """Return checked settings.

    Raise `SettingsError` with every mistake if any setting is invalid.
    """
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
            f'fleet.fence_s ({fleet.fence_s}) prevents two nodes from granting '
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
    """Append a mistake for each invalid address of a section."""
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
    """Read and check a TOML settings file.

    Raise `SettingsError` if the file cannot be read or is not valid.
    """
    try:
        tables = tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError([f'{path}: {error.strerror}']) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError([f'{path}: invalid TOML: {error}']) from error
    return check_settings(tables)


def describe_settings() -> str:
    """Return the reference page of all settings as Markdown."""
    lines = [
        '# Settings reference',
        '',
        'Each node reads one TOML file. `limpetshore check FILE` reports every',
        'mistake in it. This page is generated by `limpetshore settings`.',
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
