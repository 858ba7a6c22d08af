"""Check when a request is placed or given up at a server."""

from types import SimpleNamespace

import pytest

from limpetshore.decisions.retry_budgets import RetryBudget, RetryTokens
from limpetshore.metrics import Metrics
from limpetshore.protocol.dialects import RequestIdentity
from limpetshore.routing.attempts import Attempts, RoutedCall
from limpetshore.routing.authentication import Origin
from limpetshore.routing.calls import CallContext
from limpetshore.state.policies import PolicyIndex
from limpetshore.verdicts import Reason
from tests.builders import build_policy


def build_attempts(*, is_leaving=False, retries=2):
    """Return the attempts of a repeatable request with retries left."""
    match = PolicyIndex(build_policy(), 1).find_route('GET', '/stock')
    context = CallContext('harbour', match.importance, 5, 'id', 0)
    call = RoutedCall(
        match=match,
        origin=Origin(context, RetryBudget(retries), None),
        identity=RequestIdentity('id', is_from_caller=False, root='id'),
        service='stock',
        started_at=0,
        is_nested=False,
    )
    state = SimpleNamespace(
        guard=SimpleNamespace(is_leaving=is_leaving),
        metrics=Metrics(),
        retry_tokens={'stock': RetryTokens(5, 0.1)},
    )
    return Attempts(state, call, None)


@pytest.mark.parametrize('is_leaving', [False, True])
def test_node_that_leaves_gives_up_no_attempt(is_leaving):
    """Wait for an overdue answer to the end once the node leaves."""
    attempts = build_attempts(is_leaving=is_leaving)
    assert attempts.may_retry_elsewhere() is not is_leaving


def test_request_without_retries_takes_no_token_of_the_service():
    """Leave the service's token to a request that may use it."""
    attempts = build_attempts(retries=0)
    assert not attempts.spend_retry(Reason.SILENT)
    assert attempts.state.retry_tokens['stock'].tokens == 5
