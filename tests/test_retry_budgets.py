"""Test that retries are bounded through the whole graph."""

import random

import pytest

from limpetshore.decisions.retry_budgets import (
    RetryBudget,
    RetryTokens,
    is_retry_safe,
)
from limpetshore.verdicts import RETRYABLE_REASONS, Reason


def walk(budget, rng, depth):
    """Spend and lend at random down a call graph; return the retries made."""
    retries = 0
    for _ in range(rng.randint(1, 4)):
        if rng.random() < 0.6:
            retries += budget.spend()
        if depth:
            lent = budget.lend()
            deeper = RetryBudget(lent)
            retries += walk(deeper, rng, depth - 1)
            lost = rng.random() < 0.2
            budget.settle(lent, lent if lost else deeper.spent)
    return retries


@pytest.mark.parametrize('seed', range(50))
def test_graph_makes_no_more_retries_than_granted(seed):
    """Conserve the budget however deep and wide the graph."""
    rng = random.Random(seed)
    granted = rng.randint(0, 10)
    budget = RetryBudget(granted)
    retries = walk(budget, rng, rng.randint(0, 10))
    assert retries <= granted
    assert budget.remaining + budget.spent == granted


def test_closed_budget_lends_nothing():
    """Lend nothing once what was spent has been reported."""
    budget = RetryBudget(8)
    budget.close()
    assert budget.lend() == 0
    assert not budget.spend()


def test_retries_die_out_while_all_calls_fail():
    """Stop retrying a service that answers nothing, and earn it back."""
    tokens = RetryTokens(5, 0.1)
    assert sum(tokens.spend() for _ in range(100)) == 5
    for _ in range(11):
        tokens.earn()
    assert tokens.spend()


@pytest.mark.parametrize('reason', list(Reason))
def test_overload_is_never_retried(reason):
    """Retry only what another server may do better, and only if safe."""
    allowed = is_retry_safe(reason, has_run=True, is_repeatable=True)
    assert allowed == (reason in RETRYABLE_REASONS)
    assert not is_retry_safe(reason, has_run=True, is_repeatable=False)
    assert Reason.OVERLOADED not in RETRYABLE_REASONS
