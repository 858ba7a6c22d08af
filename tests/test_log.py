"""Test that the log is bounded and never waits for its reader."""

import os

import logbook
import msgspec

from limpetshore.log import MAX_BURST_LINES, NonBlockingHandler

logger = logbook.Logger('test')


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
        assert handler.rate_limiter.dropped_count > 0
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


def test_closed_reader_does_not_stop_the_writer():
    """Discard lines when the read end of the pipe is closed."""
    reader, writer = open_pipe()
    os.close(reader)
    with NonBlockingHandler(writer, 'INFO').applicationbound():
        logger.info('nobody reads this')
