"""Set up the log of a process: JSON lines on standard error."""

import sys
from typing import Any

import logbook
import msgspec


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


def set_up(level: str, process: str) -> None:
    """Send records of this process at or above a level to standard error."""
    logbook.set_datetime_format('utc')
    handler = logbook.StreamHandler(sys.stderr, level=level)
    handler.formatter = format_json_line
    handler.push_application()
    processor = logbook.Processor(
        lambda record: record.extra.update(process=process),
    )
    processor.push_application()
