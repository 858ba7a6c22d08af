"""Test how the shards of budgets are first assigned to nodes."""

import anyio
import pytest

from limpetshore.state.ledger import (
    Holder,
    Ledger,
    must_wait_for_members,
    reassign_shards,
)
from limpetshore.state.members import MemberTable, Status
from tests.builders import build_node_state

TAKEOVER_S = 30


def build_table(*statuses):
    """Return a member table with one node for each status."""
    table = MemberTable(build_node_state('node-0', status=int(statuses[0])))
    for number, status in enumerate(statuses[1:], start=1):
        table.merge(build_node_state(f'node-{number}', status=int(status)))
    return table


@pytest.mark.parametrize(
    ('statuses', 'must_wait'),
    [
        ((Status.READY, Status.READY), False),
        ((Status.READY, Status.NOT_READY), True),
        ((Status.READY, Status.DEAD, Status.LEFT), False),
    ],
)
def test_first_assignment_waits_for_starting_nodes(statuses, must_wait):
    """Wait while a node starts, which is to hold some of the shards.

    A node that was ready a second before the others held all shards for good;
    when it was killed, no request of any customer was served for 30 s.
    """

    async def run():
        table = build_table(*statuses)
        return must_wait_for_members(Ledger(), table)

    assert anyio.run(run) == must_wait


def test_later_assignments_do_not_wait():
    """Replace a holder that has left while another node starts."""

    async def run():
        table = build_table(Status.READY, Status.NOT_READY, Status.LEFT)
        gone = Holder('node-2', 1, is_predecessor_stopped=False)
        ledger = Ledger((gone, *Ledger().holders[1:]))
        planned = reassign_shards(ledger, table, TAKEOVER_S)
        return must_wait_for_members(ledger, table), planned.holders[0].name

    assert anyio.run(run) == (False, 'node-0')
