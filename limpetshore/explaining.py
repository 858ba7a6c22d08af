"""Explain the outcome of a request from the logs of nodes."""

import json
from collections.abc import Iterable
from datetime import datetime
from typing import Any, NamedTuple

MAX_CONTEXT_DISTANCE_S = 3.0
PREFIX_FIELDS = frozenset(('time', 'level', 'logger', 'message', 'process'))


class LogLine(NamedTuple):
    """Hold one log line; `extra` holds the inputs of the logged decision."""

    logged_at: datetime
    process: str
    message: str
    request_id: str
    extra: dict[str, Any]


class Explanation(NamedTuple):
    """Hold the lines about a request and nearby lines of its nodes."""

    request_lines: list[LogLine]
    context: list[LogLine]


def parse_line(text: str) -> LogLine | None:
    """Return a parsed log line, or None if it was not written by a node."""
    try:
        table = json.loads(text[text.index('{') :])
        return LogLine(
            datetime.fromisoformat(table['time']),
            table['process'],
            table['message'],
            table.get('request_id', ''),
            {
                name: value
                for name, value in table.items()
                if name not in PREFIX_FIELDS
            },
        )
    except (LookupError, TypeError, ValueError):
        return None


def explain(lines: Iterable[str], request_id: str) -> Explanation:
    """Return the log lines that explain a request, sorted by time."""
    request_lines: list[LogLine] = []
    node_lines: list[LogLine] = []
    for text in lines:
        line = parse_line(text)
        if line is None:
            continue
        if line.request_id == request_id:
            request_lines.append(line)
        elif not line.request_id:
            node_lines.append(line)
    request_lines.sort(key=get_time)
    return Explanation(request_lines, select_context(request_lines, node_lines))


def select_context(
    request_lines: list[LogLine],
    node_lines: list[LogLine],
) -> list[LogLine]:
    """Return lines without a request id, logged at about the same time.

    Only lines of nodes that logged the request or were tried for it are
    returned.
    """
    nodes = {line.process for line in request_lines}
    for line in request_lines:
        nodes.update(line.extra.get('tried', ()))
    nearby_lines = [
        node_line
        for node_line in node_lines
        if node_line.process in nodes
        and any(is_near(node_line, line) for line in request_lines)
    ]
    return sorted(nearby_lines, key=get_time)


def is_near(node_line: LogLine, line: LogLine) -> bool:
    """Tell whether `node_line` was logged shortly before or after `line`."""
    return (
        abs((node_line.logged_at - line.logged_at).total_seconds())
        <= MAX_CONTEXT_DISTANCE_S
    )


def get_time(line: LogLine) -> datetime:
    """Return the time of a line, as the sort key."""
    return line.logged_at


def render(explanation: Explanation) -> list[str]:
    """Return an explanation as text lines.

    Lines about the request start with `>`.
    """
    shown = [
        *(('  ', line) for line in explanation.context),
        *(('> ', line) for line in explanation.request_lines),
    ]
    shown.sort(key=lambda entry: entry[1].logged_at)
    return [marker + render_line(line) for marker, line in shown]


def render_line(line: LogLine) -> str:
    """Return one log line as text."""
    inputs = render_extra(line.extra)
    time = line.logged_at.time()
    return f'{time} {line.process}: {line.message}{inputs}'


def render_extra(extra: dict[str, Any]) -> str:
    """Return the inputs of a decision as text, without empty ones.

    >>> render_extra({'service': 'yard', 'detail': ''})
    ' (service=yard)'
    """
    rendered = [f'{name}={value}' for name, value in extra.items() if value]
    return ' ({0})'.format(', '.join(rendered)) if rendered else ''
