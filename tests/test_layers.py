"""Check that the layers of the package import in one direction only."""

import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / 'limpetshore'
# From the lowest to the highest; each may import those before it.
LAYERS = (
    'transport',
    'protocol',
    'state',
    'decisions',
    'coordination',
    'routing',
)
IMPORT = re.compile(r'^(?:from|import) limpetshore\.(\w+)', re.MULTILINE)
LEAST_DEPENDENT = (
    'checks',
    'clock',
    'errors',
    'importance',
    'randomness',
    'verdicts',
)


@pytest.mark.parametrize('layer', LAYERS)
def test_layer_imports_only_lower_ones(layer):
    """Find no import of a higher layer."""
    higher = LAYERS[LAYERS.index(layer) + 1 :]
    for path in (PACKAGE / layer).glob('*.py'):
        imported = set(IMPORT.findall(path.read_text()))
        assert imported.isdisjoint({*higher, 'node', 'platform'}), path


def test_decisions_know_no_sockets_and_no_store():
    """Keep what decides apart from input and output."""
    for path in (PACKAGE / 'decisions').glob('*.py'):
        text = path.read_text()
        assert 'transport' not in IMPORT.findall(text), path
        assert 'asyncio' not in text, path
        assert 'state.store' not in text, path


@pytest.mark.parametrize('module', LEAST_DEPENDENT)
def test_common_modules_import_no_layer(module):
    """Let every layer use what stands below all of them."""
    text = (PACKAGE / f'{module}.py').read_text()
    assert set(IMPORT.findall(text)) <= {*LEAST_DEPENDENT}
