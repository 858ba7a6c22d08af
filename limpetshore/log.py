"""Set up the log of a process, written as JSON lines to standard output."""

import atexit
import os
import select
import sys
from collections import deque
from typing import Any

import logbook
import msgspec

from limpetshore import clock

MAX_QUEUED_LINES = 5000
# Room in the queue that only reserved lines use.
RESERVED_QUEUE_LINES = 1000
LINES_PER_S = 50
MAX_BURST_LINES = 1000
FLUSH_BYTES = 65536
# At this level and above, lines have a reserved budget.
MIN_RESERVED_LEVEL = logbook.NOTICE
# The node is killed if it takes long to exit.
MAX_EXIT_WAIT_S = 0.2
MS_PER_S = 1000


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

    def take_token(self) -> bool:
        """Take the token for one line; return False if none is left."""
        now = clock.boot_time()
        earned = (now - self.refilled_at) * LINES_PER_S
        self.tokens = min(MAX_BURST_LINES, self.tokens + earned)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class NonBlockingHandler(logbook.Handler):
    """Write log lines without waiting for their reader.

    Lines that the reader has not read yet are queued up to a limit; further
    lines are dropped and counted. Lines of level NOTICE and above, those on
    lost work among them, have tokens and room of their own.
    """

    def __init__(self, descriptor: int, level: str) -> None:
        """Write to a file descriptor in non-blocking mode."""
        super().__init__(level=level)
        self.formatter = format_json_line
        self.descriptor = descriptor
        self.rate_limiter = LineRateLimiter()
        self.reserved_limiter = LineRateLimiter()
        self.dropped_count = 0
        self.reserved_dropped_count = 0
        self.queue: deque[bytes] = deque()
        self.unsent = b''

    def emit(self, record: Any) -> None:
        """Queue one record and write as many queued lines as possible."""
        is_reserved = record.level >= MIN_RESERVED_LEVEL
        if self.may_queue(is_reserved=is_reserved):
            self.add_dropped_counts(record)
            self.queue.append(self.format(record).encode())
        else:
            self.dropped_count += 1
            self.reserved_dropped_count += is_reserved
        self.flush()

    def may_queue(self, *, is_reserved: bool) -> bool:
        """Tell whether to queue a line; take its token.

        A reserved line may also take the token of another line.
        """
        max_lines = MAX_QUEUED_LINES
        if is_reserved:
            max_lines += RESERVED_QUEUE_LINES
        if len(self.queue) >= max_lines:
            return False
        if is_reserved and self.reserved_limiter.take_token():
            return True
        return self.rate_limiter.take_token()

    def add_dropped_counts(self, record: Any) -> None:
        """Add the numbers of lines dropped since the last line."""
        if self.dropped_count:
            record.extra['lines_dropped_before'] = self.dropped_count
        if self.reserved_dropped_count:
            record.extra['reserved_lines_dropped_before'] = (
                self.reserved_dropped_count
            )
        self.dropped_count = 0
        self.reserved_dropped_count = 0

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

    def flush_at_exit(self) -> None:
        """Write queued lines; wait for the reader up to `MAX_EXIT_WAIT_S`."""
        poller = select.poll()
        poller.register(self.descriptor, select.POLLOUT)
        give_up_at = clock.boot_time() + MAX_EXIT_WAIT_S
        self.flush()
        while self.queue or self.unsent:
            remaining_s = give_up_at - clock.boot_time()
            if remaining_s <= 0 or not poller.poll(remaining_s * MS_PER_S):
                return
            self.flush()


def set_up(level: str, process: str) -> None:
    """Log records at or above `level` to standard output.

    `process` is the process name added to every line.
    """
    logbook.set_datetime_format('utc')
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = NonBlockingHandler(descriptor, level)
    handler.push_application()
    atexit.register(handler.flush_at_exit)
    processor = logbook.Processor(
        lambda record: record.extra.update(process=process),
    )
    processor.push_application()
