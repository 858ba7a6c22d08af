"""Test which store confirmations and policies a node takes from peers."""

import anyio

from limpetshore import clock
from limpetshore.coordination.fleet import POLICY_KIND, FleetState
from limpetshore.coordination.local_shards import LocalShards
from limpetshore.metrics import Metrics
from limpetshore.protocol.messages import AnswerMeta, Document
from limpetshore.state.fencing import FencingState
from limpetshore.state.members import MemberTable
from limpetshore.state.policies import encode_policy
from tests.builders import build_node_state, build_policy
from tests.mock_clock import run_on_mock_clock


def build_fleet_state():
    """Return the fleet state of a node with version 5 of the policy."""
    fencing = FencingState(
        'node-a', fence_s=8, cut_off_s=4.5, keys_need_store=True
    )
    local_shards = LocalShards(
        'node-a',
        fencing,
        validity_s=0.6,
        shards_per_customer=4,
    )
    table = MemberTable(build_node_state('node-a'))
    fleet = FleetState(table, fencing, local_shards, Metrics())
    fleet.adopt(POLICY_KIND, Document(5, encode_policy(build_policy())))
    return fleet


def build_answer_meta(version, age_s):
    """Return the metadata of an answer from another node."""
    return AnswerMeta(
        verdict='',
        reason='',
        retry_after_s=0,
        retries_spent=0,
        level=0,
        downstream_level=0,
        load=0,
        policy_version=version,
        store_age_s=age_s,
    )


def confirm_after_answer(version, age_s, waited_s):
    """Return whether the answerer has a newer policy and keys are accepted.

    The answer comes when this node has been unconfirmed for 10 s.
    """

    async def run():
        fleet = build_fleet_state()
        await anyio.sleep(10)
        is_newer = fleet.confirm_by_answer(
            build_answer_meta(version, age_s),
            build_node_state('node-b'),
            waited_s,
        )
        return is_newer, not fleet.fencing.is_cut_off

    return run_on_mock_clock(run)


def test_answer_of_peer_without_newer_policy_confirms_store():
    """Add the waiting time to the age of the confirmation."""
    assert confirm_after_answer(5, 1.0, 2.0) == (False, True)
    assert confirm_after_answer(4, 1.0, 2.0) == (False, True)
    assert confirm_after_answer(5, 3.0, 2.0) == (False, False)


def test_answer_of_peer_with_newer_policy_confirms_nothing():
    """Fetch the newer policy first, since it may withdraw a key."""
    assert confirm_after_answer(6, 0.1, 0.1) == (True, False)


def test_older_policy_is_ignored():
    """Ignore an older document, as a stale read of the store returns it."""

    async def run():
        fleet = build_fleet_state()
        older = Document(4, encode_policy(build_policy(number=9)))
        assert not fleet.adopt(POLICY_KIND, older)
        return fleet.version(POLICY_KIND), clock.now()

    assert run_on_mock_clock(run)[0] == 5
