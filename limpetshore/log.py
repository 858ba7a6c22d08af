"""Set up the log of a process, written as JSON lines to standard output."""

import os
import sys
from collections import deque
from typing import Any

import logbook
import msgspec

from limpetshore import clock

MAX_QUEUED_LINES = 5000
LINES_PER_S = 50
MAX_BURST_LINES = 1000
FLUSH_BYTES = 65536


def format_json_line(record: Any, handler: Any) -> str:
    """Return one log record as one line of JSON."""
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


class LineRateLimiter:
    """Limit the rate of log lines with a token bucket.

    The limit keeps a high load from flooding the log.
    """

    def __init__(self) -> None:
        """Start with a full bucket."""
        self.tokens: float = MAX_BURST_LINES
        self.refilled_at = clock.boot_time()
        self.dropped_count = 0

    def take_token(self) -> bool:
        """Take the token for one line; if none is left, count a drop."""
        now = clock.boot_time()
        earned = (now - self.refilled_at) * LINES_PER_S
        self.tokens = min(MAX_BURST_LINES, self.tokens + earned)
        self.refilled_at = now
        if self.tokens < 1:
            self.dropped_count += 1
            return False
        self.tokens -= 1
        return True

    def pop_dropped_count(self) -> int:
        """Return the number of lines dropped since the last call."""
        dropped_count = self.dropped_count
        self.dropped_count = 0
        return dropped_count


class NonBlockingHandler(logbook.Handler):
    """Write log lines without waiting for their reader.

    Lines that the reader has not read yet are queued up to a limit; further
    lines are dropped and counted.
    """

    def __init__(self, descriptor: int, level: str) -> None:
        """Write to a file descriptor in non-blocking mode."""
        super().__init__(level=level)
        self.formatter = format_json_line
        self.descriptor = descriptor
        self.rate_limiter = LineRateLimiter()
        self.queue: deque[bytes] = deque()
        self.unsent = b''

    def emit(self, record: Any) -> None:
        """Queue one record and write as many queued lines as possible."""
        if not self.rate_limiter.take_token():
            return
        dropped_count = self.rate_limiter.pop_dropped_count()
        if dropped_count:
            record.extra['lines_dropped_before'] = dropped_count
        if len(self.queue) < MAX_QUEUED_LINES:
            self.queue.append(self.format(record).encode())
        else:
            self.rate_limiter.dropped_count += 1
        self.flush()

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self.queue or self.unsent:
            while self.queue and len(self.unsent) < FLUSH_BYTES:
                self.unsent += b'%b\n' % self.queue.popleft()
            try:
                written = os.write(self.descriptor, self.unsent)
            except BlockingIOError:
                return
            except OSError:
                self.queue.clear()  # the reader has closed the pipe
                self.unsent = b''
                return
            self.unsent = self.unsent[written:]


def set_up(level: str, process: str) -> None:
    """Log records at or above `level` to standard output.

    `process` is the process name added to every line.
    """
    logbook.set_datetime_format('utc')
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    NonBlockingHandler(descriptor, level).push_application()
    processor = logbook.Processor(
        lambda record: record.extra.update(process=process),
    )
    processor.push_application()
