"""Test that the outcome of a request is explained from logs."""

import json

from typer.testing import CliRunner

from limpetshore.cli import app
from limpetshore.explaining import explain, render

START = '2026-12-04T10:00:0'


def build_line(second, process, message, **extra):
    """Return one log line, written at a second of the minute `START`."""
    return json.dumps(
        {
            'time': f'{START}{second}.5',
            'level': 'INFO',
            'logger': 'limpetshore',
            'message': message,
            'process': process,
            **extra,
        }
    )


LINES = [
    build_line(
        5, 'yard-1', 'the store is unavailable: down', last_word_s_ago=1.2
    ),
    'not JSON at all',
    '  5.5 yard-2 ' + build_line(5, 'yard-2', 'server i-1 is draining'),
    build_line(4, 'stock-9', 'of no concern'),
    build_line(6, 'yard-1', 'refused: rate', request_id='two'),
    build_line(
        6,
        'yard-1',
        'refused: draining',
        request_id='one',
        tried=['yard-2'],
    ),
]


def test_explanation_contains_nearby_lines_of_the_nodes():
    """Show the refusal and lines of the nodes that served the request."""
    text = '\n'.join(render(explain(LINES, 'one')))
    assert '> 10:00:06.500000 yard-1: refused: draining' in text
    assert 'yard-2: server i-1 is draining' in text
    assert 'the store is unavailable' in text
    assert 'of no concern' not in text
    assert 'rate' not in text


def test_unknown_request_is_reported(tmp_path):
    """Exit with status 1 if no line mentions the request."""
    log = tmp_path / 'node.log'
    log.write_text('\n'.join(LINES))
    done = CliRunner().invoke(app, ['explain', 'three', str(log)])
    assert done.exit_code == 1
    assert 'mentions request three' in done.output
    done = CliRunner().invoke(app, ['explain', 'one', str(log)])
    assert done.exit_code == 0
    assert 'refused: draining' in done.output
