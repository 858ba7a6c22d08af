"""Test that the log is bounded and never waits for its reader."""

import fcntl
import os
import subprocess
import sys
import threading

import logbook
import msgspec
import pytest

from limpetshore import log
from limpetshore.log import (
    MAX_BURST_LINES,
    MAX_QUEUED_LINES,
    RESERVED_QUEUE_LINES,
    NonBlockingHandler,
)

logger = logbook.Logger('test')

LONG_S = 60


def open_pipe():
    """Return the read and write ends of a non-blocking pipe."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.set_blocking(reader, False)
    return reader, writer


def test_lines_are_json_with_message_and_extra_fields():
    """Write the message and the fields of `extra` as JSON."""
    reader, writer = open_pipe()
    with NonBlockingHandler(writer, 'INFO').applicationbound():
        logger.info('refused: {0}', 'rate', extra={'request_id': 'one'})
    line = msgspec.json.decode(os.read(reader, 65536))
    assert (line['message'], line['request_id']) == ('refused: rate', 'one')


def test_blocked_reader_does_not_block_the_writer():
    """Drop lines while the pipe is full, then log how many were dropped."""
    reader, writer = open_pipe()
    handler = NonBlockingHandler(writer, 'INFO')
    with handler.applicationbound():
        for number in range(MAX_BURST_LINES + 500):
            logger.info('line {0} {1}', number, 'x' * 200)
        assert handler.dropped_count > 0
        while True:
            try:
                os.read(reader, 1 << 20)
            except BlockingIOError:
                break
            handler.flush()
        handler.rate_limiter.tokens = 1
        logger.info('after')
    last = os.read(reader, 1 << 20).splitlines()[-1]
    assert msgspec.json.decode(last)['lines_dropped_before'] > 0


def read_lines(reader, handler):
    """Return the lines of a handler, read until nothing is left."""
    received = b''
    while True:
        handler.flush()
        try:
            received += os.read(reader, 1 << 20)
        except BlockingIOError:
            return [msgspec.json.decode(line) for line in received.splitlines()]


@pytest.mark.parametrize('level', ['NOTICE', 'WARNING', 'ERROR'])
def test_flood_of_ordinary_lines_drops_no_reserved_line(level):
    """Write lines on lost work though refusals have used up their tokens."""
    reader, writer = open_pipe()
    handler = NonBlockingHandler(writer, 'INFO')
    with handler.applicationbound():
        for _ in range(MAX_BURST_LINES * 3):
            logger.info('refused')
            handler.rate_limiter.tokens = 0
        for _ in range(MAX_BURST_LINES // 2):
            logger.log(level, 'lost')
    lines = read_lines(reader, handler)
    lost = [line for line in lines if line['message'] == 'lost']
    assert len(lost) == MAX_BURST_LINES // 2
    assert lost[0]['lines_dropped_before'] > 0
    assert 'reserved_lines_dropped_before' not in lost[0]


def test_full_queue_has_room_for_reserved_lines():
    """Keep lines on lost work though the reader has not read the others."""
    reader, writer = open_pipe()
    handler = NonBlockingHandler(writer, 'INFO')
    with handler.applicationbound():
        for _ in range(MAX_QUEUED_LINES + 500):
            handler.rate_limiter.tokens = 1
            logger.info('refused {0}', 'x' * 200)
        assert len(handler.queue) == MAX_QUEUED_LINES
        for _ in range(RESERVED_QUEUE_LINES + 5):
            handler.reserved_limiter.tokens = 1
            logger.notice('lost')
        assert len(handler.queue) == MAX_QUEUED_LINES + RESERVED_QUEUE_LINES
        lines = read_lines(reader, handler)
        handler.rate_limiter.tokens = 1
        logger.info('after')
    lost = [line for line in lines if line['message'] == 'lost']
    assert len(lost) == RESERVED_QUEUE_LINES
    after = read_lines(reader, handler)[-1]
    assert after['reserved_lines_dropped_before'] == 5


def test_number_of_reserved_lines_is_bounded(monkeypatch):
    """Drop reserved lines once their tokens and the others are used up."""
    reader, writer = open_pipe()
    handler = NonBlockingHandler(writer, 'INFO')
    handler.reserved_limiter.tokens = 2
    handler.rate_limiter.tokens = 3
    monkeypatch.setattr(log, 'LINES_PER_S', 0)
    with handler.applicationbound():
        for _ in range(9):
            logger.notice('lost')
    assert handler.reserved_dropped_count == handler.dropped_count == 4


def fill_pipe(handler, reader):
    """Queue more than the pipe holds; return the number of lines."""
    capacity = fcntl.fcntl(reader, fcntl.F_GETPIPE_SZ)
    count = capacity * 3 // 1000
    with handler.applicationbound():
        for _ in range(count):
            logger.info('x' * 1000)
    assert handler.queue or handler.unsent
    return count


def test_queued_lines_are_written_at_exit(monkeypatch):
    """Wait for a reader that still reads."""
    monkeypatch.setattr(log, 'MAX_EXIT_WAIT_S', LONG_S)
    reader, writer = open_pipe()
    os.set_blocking(reader, True)
    handler = NonBlockingHandler(writer, 'INFO')
    count = fill_pipe(handler, reader)
    received = []

    def read_all():
        while chunk := os.read(reader, 65536):
            received.append(chunk)

    slow_reader = threading.Thread(target=read_all)
    slow_reader.start()
    handler.flush_at_exit()
    os.close(writer)
    slow_reader.join()
    assert b''.join(received).count(b'\n') == count


def test_exit_does_not_hang_without_a_reader():
    """Give up after the bounded wait if nobody reads, or the pipe is gone."""
    reader, writer = open_pipe()
    handler = NonBlockingHandler(writer, 'INFO')
    fill_pipe(handler, reader)
    handler.flush_at_exit()
    assert handler.queue or handler.unsent
    os.close(reader)
    handler.flush_at_exit()
    assert not handler.queue
    assert not handler.unsent


EXITING_PROGRAM = """
import sys
import logbook
from limpetshore import log

log.MAX_EXIT_WAIT_S = 60
log.set_up('INFO', 'program')
logger = logbook.Logger('program')
for _ in range(900):
    logger.info('x' * 1000)
logger.info('last')
sys.stderr.write('logged\\n')
raise SystemExit(3)
"""


def test_process_writes_its_last_lines_to_a_slow_reader():
    """Write what is queued when the process ends.

    The lines that a reader had not read when the process ended were lost.
    """
    with subprocess.Popen(
        [sys.executable, '-c', EXITING_PROGRAM],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    ) as program:
        assert program.stderr.readline() == b'logged\n'
        received = program.stdout.read()
    assert program.returncode == 3
    assert msgspec.json.decode(received.splitlines()[-1])['message'] == 'last'


def test_closed_reader_does_not_stop_the_writer():
    """Discard lines when the read end of the pipe is closed."""
    reader, writer = open_pipe()
    os.close(reader)
    with NonBlockingHandler(writer, 'INFO').applicationbound():
        logger.info('nobody reads this')
