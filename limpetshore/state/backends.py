"""Track the state that the local backend server announces."""

from collections import deque
from typing import Annotated, NamedTuple

import msgspec

from limpetshore.decoding import decode_json
from limpetshore import clock
from limpetshore.checks import build_record

MAX_BOOT_LENGTH = 64
MAX_REMEMBERED_BOOTS = 16
UNREACHABLE_BACKOFF_S = 0.3
READY = 'ready'
DRAINING = 'draining'


class Announcement(NamedTuple):
    """Describe the state that a backend server reports of itself.

    `boot` differs after each restart of the server. `instance` is the id of
    the server, empty if it reports none.
    """

    state: Annotated[str, msgspec.Meta(pattern='^(starting|ready|draining)$')]
    slots: Annotated[int, msgspec.Meta(ge=1)]
    boot: Annotated[
        str, msgspec.Meta(min_length=1, max_length=MAX_BOOT_LENGTH)
    ] = 'first'
    instance: str = ''


class LocalBackend:
    """Hold the latest announcement of the backend server beside this node."""

    def __init__(self, max_slots: int, lapse_s: float) -> None:
        """Start without a server; an announcement expires after `lapse_s`."""
        self.max_slots = max_slots
        self.lapse_s = lapse_s
        self.announcement: Announcement | None = None
        self.draining_boots: deque[str] = deque(maxlen=MAX_REMEMBERED_BOOTS)
        self.unreachable_until = float('-inf')
        self.announced_at: float = 0

    def update(self, announcement: Announcement) -> bool:
        """Store an announcement; return True if its boot id is new.

        A server that reports an id and has once announced that it drains is
        treated as draining until it restarts, whatever it announces later.
        """
        previous = self.announcement
        if announcement.state == DRAINING and announcement.instance:
            self.draining_boots.append(announcement.boot)
        elif announcement.boot in self.draining_boots:
            announcement = announcement._replace(state=DRAINING)
        self.announcement = announcement
        self.announced_at = clock.now()
        return previous is None or previous.boot != announcement.boot

    @property
    def slots(self) -> int:
        """Return the announced slots, at most `max_slots`; 1 if unknown."""
        if self.announcement is None:
            return 1
        return min(self.announcement.slots, self.max_slots)

    @property
    def instance(self) -> str:
        """Return the id of the server, empty if it reports none."""
        return self.announcement.instance if self.announcement else ''

    @property
    def has_lapsed(self) -> bool:
        """Return whether no announcement of the last `lapse_s` is known."""
        is_old = clock.now() - self.announced_at > self.lapse_s
        return self.announcement is None or is_old

    @property
    def is_ready(self) -> bool:
        """Return whether new requests may be sent to the server."""
        return (
            not self.has_lapsed
            and self.announcement.state == READY
            and clock.now() >= self.unreachable_until
        )

    def forget_announcement(self) -> None:
        """Drop the announcement; the server is unknown until its next one."""
        self.announcement = None

    def mark_unreachable(self) -> None:
        """Send no requests for a short time after a failed connection."""
        self.unreachable_until = clock.now() + UNREACHABLE_BACKOFF_S


def parse_announcement(body: bytes) -> tuple[Announcement | None, list[str]]:
    """Return the announcement in a request body, and the mistakes in it."""
    mistakes: list[str] = []
    try:
        table = decode_json(body)
    except msgspec.DecodeError as error:
        return None, [f'not JSON: {error}']
    record = build_record(Announcement, table, 'announcement', mistakes)
    return record, mistakes
