"""Check that the layers of the package import in one direction only."""

import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / 'limpetshore'
# From the lowest to the highest; a layer may import only lower ones.
LAYERS = (
    'transport',
    'protocol',
    'state',
    'decisions',
    'coordination',
    'routing',
)
IMPORT = re.compile(r'^(?:from|import) limpetshore\.(\w+)', re.MULTILINE)
COMMON_MODULES = (
    'checks',
    'clock',
    'decoding',
    'errors',
    'importance',
    'randomness',
    'verdicts',
)


@pytest.mark.parametrize('layer', LAYERS)
def test_layer_imports_only_lower_ones(layer):
    """Guard against imports of higher layers, the node or the platform."""
    higher = LAYERS[LAYERS.index(layer) + 1 :]
    for path in (PACKAGE / layer).glob('*.py'):
        imported = set(IMPORT.findall(path.read_text()))
        assert imported.isdisjoint({*higher, 'node', 'platform'}), path


def test_decisions_use_no_transport_and_no_store():
    """Guard against input and output in the modules that decide."""
    for path in (PACKAGE / 'decisions').glob('*.py'):
        text = path.read_text()
        assert 'transport' not in IMPORT.findall(text), path
        assert 'asyncio' not in text, path
        assert 'state.store' not in text, path


@pytest.mark.parametrize('module', COMMON_MODULES)
def test_common_modules_import_no_layer(module):
    """Guard against cycles: common modules import only each other."""
    text = (PACKAGE / f'{module}.py').read_text()
    assert set(IMPORT.findall(text)) <= {*COMMON_MODULES}
