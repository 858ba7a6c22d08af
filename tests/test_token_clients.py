"""Test the requests for tokens that nodes send each other."""

import anyio
import pytest

from limpetshore.coordination.token_clients import FleetLendClient
from limpetshore.errors import PeerError
from limpetshore.metrics import Metrics
from limpetshore.protocol.messages import LendReply, LendRequest
from limpetshore.state.members import MemberTable
from tests.builders import build_node_state


class FixedControlClient:
    """Return a fixed reply to each message, or fail."""

    def __init__(self, reply):
        """Fail if the reply is None."""
        self.reply = reply
        self.metrics = Metrics()

    async def call(self, address, method, request, reply_class, timeout_s):
        """Return the reply."""
        if self.reply is None:
            raise PeerError('no reply')
        return self.reply


class FleetWithOneMember:
    """Know one other node."""

    def __init__(self):
        """Start with the member."""
        self.table = MemberTable(build_node_state('own'))
        self.table.merge(build_node_state('other'))


@pytest.mark.parametrize(
    ('lent', 'accepted'), [(0, 0), (3, 3), (4, 0), (-1, 0), (10**9, 0)]
)
def test_no_more_tokens_are_taken_than_were_asked_for(lent, accepted):
    """Ignore a reply that names fewer than none, or more than were wanted."""

    async def run():
        client = FixedControlClient(LendReply(lent))
        lender = FleetLendClient(FleetWithOneMember(), client)
        return await lender.ask('other', LendRequest('harbour', 3))

    assert anyio.run(run) == accepted


@pytest.mark.parametrize('name', ['other', 'unknown'])
def test_lender_without_a_reply_lends_nothing(name):
    """Return no tokens if the lender does not answer or is unknown."""

    async def run():
        lender = FleetLendClient(FleetWithOneMember(), FixedControlClient(None))
        return await lender.ask(name, LendRequest('harbour', 3))

    assert anyio.run(run) == 0
