"""Define and check the settings of a process."""

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
