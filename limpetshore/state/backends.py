"""Know the backend server beside the node by what it announces."""

from collections import deque
from typing import Annotated, NamedTuple

import msgspec

from limpetshore import clock
from limpetshore.checks import build_record

MAX_BOOT_LENGTH = 64
BOOTS_REMEMBERED = 16
UNREACHABLE_S = 0.3
DRAINING = 'draining'


class Announcement(NamedTuple):
    """Hold what a backend server says of itself."""

    state: Annotated[str, msgspec.Meta(pattern='^(starting|ready|draining)$')]
    slots: Annotated[int, msgspec.Meta(ge=1)]
    boot: Annotated[
        str, msgspec.Meta(min_length=1, max_length=MAX_BOOT_LENGTH)
    ] = 'first'
    instance: str = ''


class LocalBackend:
    """Follow the announcements of one backend server."""

    def __init__(self, max_slots: int, lapse_s: float) -> None:
        """Start without a server; `lapse_s` is how long one stays known."""
        self.max_slots = max_slots
        self.lapse_s = lapse_s
        self.announcement: Announcement | None = None
        self.left_boots: deque[str] = deque(maxlen=BOOTS_REMEMBERED)
        self.unreachable_until = float('-inf')
        self.heard_at: float = 0

    def update(self, announcement: Announcement) -> bool:
        """Keep an announcement; return True if the server is a new one.

        A server with an id that began to leave stays so until it starts anew.
        """
        earlier = self.announcement
        if announcement.state == DRAINING and announcement.instance:
            self.left_boots.append(announcement.boot)
        elif announcement.boot in self.left_boots:
            announcement = announcement._replace(state=DRAINING)
        self.announcement = announcement
        self.heard_at = clock.now()
        return earlier is None or earlier.boot != announcement.boot

    @property
    def slots(self) -> int:
        """Return the slots announced, within what is believed."""
        if self.announcement is None:
            return 1
        return min(self.announcement.slots, self.max_slots)

    @property
    def instance(self) -> str:
        """Return the id the server gave itself, empty if it gave none."""
        return self.announcement.instance if self.announcement else ''

    @property
    def is_ready(self) -> bool:
        """Tell whether the server may be given new work."""
        return (
            self.announcement is not None
            and self.announcement.state == 'ready'
            and clock.now() - self.heard_at <= self.lapse_s
            and clock.now() >= self.unreachable_until
        )

    def forget_announcement(self) -> None:
        """Believe nothing until the server announces itself again."""
        self.announcement = None

    def mark_unreachable(self) -> None:
        """Give the server nothing for a moment, since it took no connection."""
        self.unreachable_until = clock.now() + UNREACHABLE_S


def parse_announcement(body: bytes) -> tuple[Announcement | None, list[str]]:
    """Return the announcement in a request body and what is wrong with it."""
    mistakes: list[str] = []
    try:
        table = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        return None, [f'not JSON: {error}']
    record = build_record(Announcement, table, 'announcement', mistakes)
    return record, mistakes
