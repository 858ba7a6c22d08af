"""Find in the logs of nodes why a request ended as it did."""

import json
from collections.abc import Iterable
from datetime import datetime
from typing import Any, NamedTuple

CONTEXT_S = 3.0
SHOWN_APART = frozenset(('time', 'level', 'logger', 'message', 'process'))


class LogLine(NamedTuple):
    """Hold one line of a log; `extra` are the inputs of the decision."""

    at: datetime
    process: str
    message: str
    request_id: str
    extra: dict[str, Any]


class Explanation(NamedTuple):
    """Hold the lines about a request and what its nodes learned meanwhile."""

    own: list[LogLine]
    context: list[LogLine]


def read_line(text: str) -> LogLine | None:
    """Return one line, or None if it is not one of a node's."""
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
                if name not in SHOWN_APART
            },
        )
    except (LookupError, TypeError, ValueError):
        return None


def explain(lines: Iterable[str], request_id: str) -> Explanation:
    """Return what the logs say of a request, in the order of time."""
    own: list[LogLine] = []
    beliefs: list[LogLine] = []
    for text in lines:
        line = read_line(text)
        if line is None:
            continue
        if line.request_id == request_id:
            own.append(line)
        elif not line.request_id:
            beliefs.append(line)
    own.sort(key=read_time)
    return Explanation(own, select_context(own, beliefs))


def select_context(
    own: list[LogLine],
    beliefs: list[LogLine],
) -> list[LogLine]:
    """Return what was learned near a request by the nodes that served it."""
    nodes = {line.process for line in own}
    for line in own:
        nodes.update(line.extra.get('tried', ()))
    chosen = [
        belief
        for belief in beliefs
        if belief.process in nodes
        and any(is_near(belief, line) for line in own)
    ]
    return sorted(chosen, key=read_time)


def is_near(belief: LogLine, line: LogLine) -> bool:
    """Tell whether something was learned shortly before or after."""
    return abs((belief.at - line.at).total_seconds()) <= CONTEXT_S


def read_time(line: LogLine) -> datetime:
    """Return the time of a line, by which lines are sorted."""
    return line.at


def render(explanation: Explanation) -> list[str]:
    """Return an explanation as lines to read."""
    shown = [
        *(('  ', line) for line in explanation.context),
        *(('> ', line) for line in explanation.own),
    ]
    shown.sort(key=lambda entry: entry[1].at)
    return [mark + render_line(line) for mark, line in shown]


def render_line(line: LogLine) -> str:
    """Return one line to read."""
    inputs = render_extra(line.extra)
    time = line.at.time()
    return f'{time} {line.process}: {line.message}{inputs}'


def render_extra(extra: dict[str, Any]) -> str:
    """Return the inputs of a decision.

    >>> render_extra({'service': 'yard', 'detail': ''})
    ' (service=yard)'
    """
    known = [f'{name}={value}' for name, value in extra.items() if value]
    return ' ({0})'.format(', '.join(known)) if known else ''
