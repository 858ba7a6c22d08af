"""Test who is charged for a request."""

from types import SimpleNamespace

import anyio
import pytest

from limpetshore.coordination.borrowing import RateLimiter
from limpetshore.platform.configuration import build_customer
from limpetshore.platform.dialects import PlatformCallerDialect
from limpetshore.platform.wire import CustomerEntry
from limpetshore.protocol.dialects import RequestIdentity
from limpetshore.routing.authentication import CallerAuthenticator
from limpetshore.state.policies import PolicyIndex
from tests.builders import KEY, build_policy

IDENTITY = RequestIdentity('id', is_from_caller=False, root='id')


class CountingLimiter(RateLimiter):
    """Count the tokens that are taken and returned."""

    def __init__(self):
        """Start with none taken."""
        self.spent = []

    async def spend(self, customer):
        """Take a token."""
        self.spent.append(customer)

    def refund(self, customer):
        """Return a token."""
        self.spent.remove(customer)


@pytest.mark.parametrize(
    ('rate', 'is_counted'),
    [(None, False), (0, False), (1e9, False), (0.5, True), (100, True)],
)
def test_customer_without_a_limit_is_not_counted(rate, is_counted):
    """Refuse no request of a customer without a limit as above its rate.

    Its budget was divided among the nodes like any other, and was empty at
    nodes that had just started.
    """
    entry = CustomerEntry(keys=[KEY], rate=rate, burst=5)
    policy = build_policy(customers={'harbour': build_customer(entry)})
    index = PolicyIndex(policy, 1)
    limiter = CountingLimiter()
    authenticator = CallerAuthenticator(
        None,
        SimpleNamespace(is_cut_off=False),
        limiter,
        8,
        PlatformCallerDialect(),
    )
    request = SimpleNamespace(
        headers=[(b'authorization', b'Bearer ' + KEY.encode())], path='/stock'
    )
    match = index.find_route('GET', '/stock')
    origin = anyio.run(authenticator.identify, request, index, match, IDENTITY)
    assert origin.context.customer == 'harbour'
    assert limiter.spent == ['harbour'] * is_counted
    authenticator.refund(origin)
    assert not limiter.spent
