"""Test that retries are bounded over the whole call graph."""

import random

import pytest

from limpetshore.decisions.retry_budgets import (
    RetryBudget,
    RetryTokens,
    is_retry_safe,
)
from limpetshore.verdicts import RETRYABLE_REASONS, Reason


def spend_randomly(budget, rng, depth):
    """Spend and lend at random down a call graph; return the retries made.

    A fifth of the reports are lost; a lost one counts the whole loan as spent.
    """
    retries = 0
    for _ in range(rng.randint(1, 4)):
        if rng.random() < 0.6:
            retries += budget.spend()
        if depth:
            lent = budget.lend()
            nested = RetryBudget(lent)
            retries += spend_randomly(nested, rng, depth - 1)
            is_report_lost = rng.random() < 0.2
            budget.settle(lent, lent if is_report_lost else nested.spent)
    return retries


@pytest.mark.parametrize('seed', range(50))
def test_call_graph_makes_no_more_retries_than_granted(seed):
    """Conserve the budget for any depth and width of the call graph."""
    rng = random.Random(seed)
    granted = rng.randint(0, 10)
    budget = RetryBudget(granted)
    retries = spend_randomly(budget, rng, rng.randint(0, 10))
    assert retries <= granted
    assert budget.remaining + budget.spent == granted


def test_closed_budget_lends_nothing():
    """Lend no retries once the spent ones have been reported."""
    budget = RetryBudget(8)
    budget.close()
    assert budget.lend() == 0
    assert not budget.spend()


def test_retries_stop_while_all_calls_fail():
    """Stop retries while no call succeeds, and resume after enough answers."""
    tokens = RetryTokens(5, 0.1)
    assert sum(tokens.spend() for _ in range(100)) == 5
    for _ in range(11):
        tokens.earn()
    assert tokens.spend()


@pytest.mark.parametrize('reason', list(Reason))
def test_only_safe_and_retryable_requests_are_retried(reason):
    """Retry only if safe and for retryable reasons, never for overload."""
    allowed = is_retry_safe(reason, has_run=True, is_repeatable=True)
    assert allowed == (reason in RETRYABLE_REASONS)
    assert not is_retry_safe(reason, has_run=True, is_repeatable=False)
    assert Reason.OVERLOADED not in RETRYABLE_REASONS
