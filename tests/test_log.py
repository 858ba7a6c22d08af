"""Check that the log is bounded and never waits for its reader."""

import os

import logbook
import msgspec

from limpetshore.log import LINES_AT_ONCE, BoundedHandler

logger = logbook.Logger('test')


def open_pipe():
    """Return the ends of a pipe that does not block its writer."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.set_blocking(reader, False)
    return reader, writer


def test_lines_are_json_with_their_inputs():
    """Write the message and what decided it."""
    reader, writer = open_pipe()
    with BoundedHandler(writer, 'INFO').applicationbound():
        logger.info('refused: {0}', 'rate', extra={'request_id': 'one'})
    line = msgspec.json.decode(os.read(reader, 65536))
    assert (line['message'], line['request_id']) == ('refused: rate', 'one')


def test_reader_that_stands_still_does_not_stop_the_writer():
    """Fill the pipe, drop the rest, and say how much was dropped."""
    reader, writer = open_pipe()
    handler = BoundedHandler(writer, 'INFO')
    with handler.applicationbound():
        for number in range(LINES_AT_ONCE + 500):
            logger.info('line {0} {1}', number, 'x' * 200)
        assert handler.budget.dropped > 0
        while True:
            try:
                os.read(reader, 1 << 20)
            except BlockingIOError:
                break
            handler.flush()
        handler.budget.lines = 1
        logger.info('after')
    last = os.read(reader, 1 << 20).splitlines()[-1]
    assert msgspec.json.decode(last)['lines_dropped_before'] > 0


def test_reader_that_is_gone_does_not_end_the_writer():
    """Go on without a log."""
    reader, writer = open_pipe()
    os.close(reader)
    with BoundedHandler(writer, 'INFO').applicationbound():
        logger.info('nobody reads this')
