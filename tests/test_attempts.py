"""Test when an attempt is abandoned and what a retry is charged to."""

from types import SimpleNamespace

import pytest

from limpetshore.decisions.retry_budgets import RetryBudget, RetryTokens
from limpetshore.metrics import Metrics
from limpetshore.protocol.dialects import RequestIdentity
from limpetshore.routing.attempt import RoutedCall
from limpetshore.routing.attempts import Attempts
from limpetshore.routing.authentication import Origin
from limpetshore.routing.calls import CallContext
from limpetshore.state.policies import PolicyIndex
from limpetshore.verdicts import Reason
from tests.builders import build_policy


def build_attempts(*, is_leaving=False, retries=2, servers=('a', 'b')):
    """Return the attempts of a repeatable request, the first under way."""
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
        balancer=SimpleNamespace(
            has_untried=lambda service, tried: set(servers) > set(tried)
        ),
        guard=SimpleNamespace(is_leaving=is_leaving),
        metrics=Metrics(),
        retry_tokens={'stock': RetryTokens(5, 0.1)},
    )
    attempts = Attempts(state, call, None)
    attempts.tried.append('a')
    return attempts


@pytest.mark.parametrize('is_leaving', [False, True])
def test_leaving_node_abandons_no_overdue_attempt(is_leaving):
    """Keep waiting for an overdue answer while the node is leaving."""
    attempts = build_attempts(is_leaving=is_leaving)
    assert attempts.may_retry_elsewhere() is not is_leaving


@pytest.mark.parametrize('servers', ['a', 'ab'])
def test_overdue_attempt_is_given_up_only_for_another_server(servers):
    """Do not end work at the only server, to begin it there again.

    While the other servers of a service restarted, calls that were late were
    given up and sent to the same server, or failed.
    """
    attempts = build_attempts(servers=servers)
    assert attempts.may_retry_elsewhere() is (len(servers) > 1)


def test_request_without_retries_spends_no_service_token():
    """Leave the token of the service to requests that have retries left."""
    attempts = build_attempts(retries=0)
    assert not attempts.spend_retry(Reason.SILENT)
    assert attempts.state.retry_tokens['stock'].tokens == 5
