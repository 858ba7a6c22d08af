"""Set up the log of a process: JSON lines on standard output."""

import os
import sys
from collections import deque
from typing import Any

import logbook
import msgspec

from limpetshore import clock

MAX_WAITING_LINES = 5000
LINES_A_SECOND = 50
LINES_AT_ONCE = 1000
FLUSH_BYTES = 65536


def format_json_line(record: Any, handler: Any) -> str:
    """Return one log record as a line of JSON."""
    line = {
        'time': record.time.isoformat(),
        'level': record.level_name,
        'logger': record.channel,
        'message': record.message,
    }
    line.update(record.extra)
    if record.exc_info:
        line['exception'] = record.formatted_exception
    return msgspec.json.encode(line, enc_hook=str).decode()


class LineBudget:
    """Bound how many lines are written, so that load cannot flood the log."""

    def __init__(self) -> None:
        """Start with all lines allowed at once."""
        self.lines: float = LINES_AT_ONCE
        self.updated = clock.boot_time()
        self.dropped = 0

    def take(self) -> bool:
        """Spend a line; count it as dropped if there is none."""
        now = clock.boot_time()
        earned = (now - self.updated) * LINES_A_SECOND
        self.lines = min(LINES_AT_ONCE, self.lines + earned)
        self.updated = now
        if self.lines < 1:
            self.dropped += 1
            return False
        self.lines -= 1
        return True

    def take_dropped(self) -> int:
        """Return how many lines were dropped since the last question."""
        dropped = self.dropped
        self.dropped = 0
        return dropped


class BoundedHandler(logbook.Handler):
    """Write lines without ever waiting for whoever reads them."""

    def __init__(self, descriptor: int, level: str) -> None:
        """Write to a descriptor, which must not block."""
        super().__init__(level=level)
        self.formatter = format_json_line
        self.descriptor = descriptor
        self.budget = LineBudget()
        self.waiting: deque[bytes] = deque()
        self.unsent = b''

    def emit(self, record: Any) -> None:
        """Queue one record and write what the reader takes."""
        if not self.budget.take():
            return
        dropped = self.budget.take_dropped()
        if dropped:
            record.extra['lines_dropped_before'] = dropped
        if len(self.waiting) < MAX_WAITING_LINES:
            self.waiting.append(self.format(record).encode())
        else:
            self.budget.dropped += 1
        self.flush()

    def flush(self) -> None:
        """Write as much as can be written now."""
        while self.waiting or self.unsent:
            while self.waiting and len(self.unsent) < FLUSH_BYTES:
                self.unsent += b'%b\n' % self.waiting.popleft()
            try:
                written = os.write(self.descriptor, self.unsent)
            except BlockingIOError:
                return
            except OSError:
                self.waiting.clear()  # nobody reads any more
                self.unsent = b''
                return
            self.unsent = self.unsent[written:]


def set_up(level: str, process: str) -> None:
    """Send records of this process at or above a level to standard output."""
    logbook.set_datetime_format('utc')
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    BoundedHandler(descriptor, level).push_application()
    processor = logbook.Processor(
        lambda record: record.extra.update(process=process),
    )
    processor.push_application()
