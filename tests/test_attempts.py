"""Check when a request is placed or given up at a server."""

from types import SimpleNamespace

import pytest

from limpetshore.decisions.budgets import RetryBudget, RetryTokens
from limpetshore.protocol.dialects import RequestName
from limpetshore.routing.attempts import Attempts, EnteredCall
from limpetshore.routing.callers import Origin
from limpetshore.routing.calls import CallContext
from limpetshore.state.policies import PolicyIndex
from tests.builders import build_policy


def build_attempts(*, is_leaving):
    """Return the attempts of a repeatable request with retries left."""
    match = PolicyIndex(build_policy(), 1).find_route('GET', '/stock')
    context = CallContext('harbour', match.importance, 5, 'id', 0)
    call = EnteredCall(
        match=match,
        origin=Origin(context, RetryBudget(2), None),
        name=RequestName('id', is_from_caller=False, root='id'),
        service='stock',
        started=0,
        is_nested=False,
    )
    state = SimpleNamespace(
        guard=SimpleNamespace(is_leaving=is_leaving),
        retry_tokens={'stock': RetryTokens(5, 0.1)},
    )
    return Attempts(state, call, None)


@pytest.mark.parametrize('is_leaving', [False, True])
def test_node_that_leaves_gives_up_no_attempt(is_leaving):
    """Wait for an overdue answer to the end once the node leaves."""
    attempts = build_attempts(is_leaving=is_leaving)
    assert attempts.may_abandon() is not is_leaving
