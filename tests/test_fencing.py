"""Test when a node takes itself for cut off, and for connected again."""

import anyio
import pytest

from limpetshore.state.fencing import FencingState
from tests.mock_clock import run_on_mock_clock


def count_reconnections(*, keys_need_store, steps):
    """Return how often a node was connected again after some steps.

    Each step is a pause in seconds and what is confirmed after it.
    """
    counted = []

    async def run():
        fencing = FencingState(
            'a', fence_s=8, cut_off_s=4, keys_need_store=keys_need_store
        )
        fencing.reconnect_callbacks.append(lambda: counted.append(1))
        for pause_s, confirmed in steps:
            await anyio.sleep(pause_s)
            if confirmed == 'store':
                fencing.confirm_store()
            else:
                fencing.confirm_majority()

    run_on_mock_clock(run)
    return len(counted)


@pytest.mark.parametrize('keys_need_store', [True, False])
def test_start_is_no_reconnection(keys_need_store):
    """Keep the budgets of a node that sees a majority before the store.

    Of 194 nodes that started after a loss of power, most exchanged with others
    before they heard of the store. They then dropped the tokens with which they
    had started, and accrued none for two seconds.
    """
    steps = [(0.1, 'majority'), (0.2, 'majority'), (0.3, 'store')]
    assert not count_reconnections(keys_need_store=keys_need_store, steps=steps)


@pytest.mark.parametrize('keys_need_store', [True, False])
def test_silence_ends_with_one_reconnection(keys_need_store):
    """Notice once that others may have taken over in the meantime."""
    steps = [(0.1, 'store'), (9, 'store'), (1, 'store'), (1, 'majority')]
    found = count_reconnections(keys_need_store=keys_need_store, steps=steps)
    assert found == 1


@pytest.mark.parametrize('keys_need_store', [True, False])
def test_outage_of_the_store_is_no_reconnection(keys_need_store):
    """Keep the budgets of nodes that saw each other all the time.

    All nodes dropped their tokens at the end of each outage of the store.
    """
    steps = [(0.1, 'store'), *[(1, 'majority')] * 9, (0.5, 'store')]
    assert not count_reconnections(keys_need_store=keys_need_store, steps=steps)
