"""Test token budgets with static shares per node and lending between nodes."""

import random

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetshore import clock
from limpetshore.coordination.borrowing import BorrowingLimiter, LendClient
from limpetshore.decisions.conserved_budgets import (
    ConservedBudgets,
    find_owners,
)
from limpetshore.errors import RefusedError
from limpetshore.platform.configuration import build_limit
from limpetshore.platform.wire import CustomerEntry
from limpetshore.protocol.messages import LendRequest
from limpetshore.state.members import MemberTable, Status
from limpetshore.state.policies import Customer
from limpetshore.verdicts import Reason
from tests.builders import build_node_state
from tests.mock_clock import run_on_mock_clock

WINDOW_S = 5


class InMemoryLendClient(LendClient):
    """Reach budgets in memory and lose some of their replies."""

    def __init__(self, budgets, rng, loss=0.0):
        """Serve `budgets` by node name; `loss` is the share of lost replies."""
        self.budgets = budgets
        self.rng = rng
        self.loss = loss

    async def ask(self, name, request):
        """Return the tokens that a node lent; a lost reply loses them."""
        await anyio.sleep(0.003)
        lent = self.budgets[name].lend(request).lent
        return 0 if self.rng.random() < self.loss else lent


def build_budgets(count, customer, rng, restart_tokens=0):
    """Return the budgets of several nodes, all members of one fleet."""
    names = [f'node-{number}' for number in range(count)]
    found = {}
    for name in names:
        table = MemberTable(build_node_state(name=name))
        for other in names:
            table.merge(build_node_state(name=other, status=int(Status.READY)))
        budgets = ConservedBudgets(table, rng, restart_tokens)
        budgets.update_owners()
        budgets.update_customers({'harbour': customer})
        found[name] = budgets
    return found


async def simulate(
    rng,
    *,
    nodes,
    customer,
    rates,
    seconds,
    loss=0.0,
    refused_share=0.0,
):
    """Send requests to each node; return the times of admission and refusal.

    A `refused_share` of the admitted requests is refused later, after a wait;
    their tokens are refunded.
    """
    budgets = build_budgets(nodes, customer, rng)
    admitted, refused = [], []

    async def send_requests(borrower, rate):
        while True:
            await anyio.sleep(rng.expovariate(rate))
            tasks.start_soon(send_one, borrower)

    async def send_one(borrower):
        try:
            await borrower.spend('harbour')
        except RefusedError as error:
            assert error.refusal.reason == Reason.RATE
            refused.append(clock.now())
            return
        if rng.random() < refused_share:
            await anyio.sleep(0.25)
            borrower.refund('harbour')
            return
        admitted.append(clock.now())

    async with anyio.create_task_group() as tasks:
        lender = InMemoryLendClient(budgets, rng, loss)
        for rate, own in zip(rates, budgets.values(), strict=True):
            borrower = BorrowingLimiter(own, lender, tasks, 0.05)
            if rate:
                tasks.start_soon(send_requests, borrower, rate)
        await anyio.sleep(seconds)
        tasks.cancel_scope.cancel()
    return admitted, refused


def max_in_window(times):
    """Return the maximum number of events in any window of WINDOW_S."""
    maximum, first = 0, 0
    for last, now in enumerate(times):
        while times[first] < now - WINDOW_S:
            first += 1
        maximum = max(maximum, last - first + 1)
    return maximum


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('loss', [0, 0.3])
def test_admissions_stay_within_rate_and_burst(seed, loss):
    """Stay within the bound when a customer sends seven times its rate."""
    rng = random.Random(seed)
    customer = Customer(rate=50, burst=60)
    rates = [rng.choice([0, 5, 60, 100]) for _ in range(8)]

    async def run():
        return await simulate(
            rng,
            nodes=8,
            customer=customer,
            rates=rates,
            seconds=30,
            loss=loss,
        )

    admitted, _ = run_on_mock_clock(run)
    assert max_in_window(sorted(admitted)) <= 50 * WINDOW_S + 60


@pytest.mark.parametrize('seed', range(4))
def test_customer_within_its_rate_is_rarely_refused(seed):
    """Refuse at most 0.5 % when all requests reach two of eight nodes."""
    rng = random.Random(seed)
    customer = Customer(rate=50, burst=60)

    async def run():
        return await simulate(
            rng,
            nodes=8,
            customer=customer,
            rates=[20, 10, 0, 0, 0, 0, 0, 0],
            seconds=60,
        )

    admitted, refused = run_on_mock_clock(run)
    assert len(refused) <= 0.005 * len(admitted + refused)


@pytest.mark.parametrize('seed', range(4))
def test_requests_that_did_not_run_cost_no_tokens(seed):
    """Refund the tokens of requests that no server has run.

    During an overload, half of the admitted requests are refused later. Without
    refunds, a customer within its rate would then be refused for its rate.
    """
    rng = random.Random(seed)
    customer = Customer(rate=50, burst=60)

    async def run():
        return await simulate(
            rng,
            nodes=4,
            customer=customer,
            rates=[20, 15, 15, 10],
            seconds=60,
            refused_share=0.5,
        )

    admitted, refused = run_on_mock_clock(run)
    # Budgets start empty, therefore the first second is not counted.
    started = min(admitted) + 1
    late_refusals = [time for time in refused if time > started]
    assert len(late_refusals) <= 0.005 * len(admitted + refused)


@pytest.mark.parametrize('seed', range(4))
def test_refunds_stay_within_the_tolerated_bound(seed):
    """Stay within the tolerated bound at seven times the rate with refunds."""
    rng = random.Random(seed)
    entry = CustomerEntry(rate=50, burst=40)
    limit = build_limit(entry)

    async def run():
        return await simulate(
            rng,
            nodes=8,
            customer=Customer(rate=limit.rate, burst=limit.burst),
            rates=[60, 5, 100, 5, 60, 60, 30, 30],
            seconds=30,
            refused_share=0.6,
        )

    admitted, _ = run_on_mock_clock(run)
    allowed = entry.rate * WINDOW_S + entry.burst
    assert max_in_window(sorted(admitted)) <= allowed * 1.1 + 20


def test_restarted_node_starts_empty():
    """Start empty, so that a restarted node cannot spend its burst twice."""

    async def run():
        budgets = build_budgets(
            1,
            Customer(rate=10, burst=100),
            random.Random(1),
        )
        return budgets['node-0'].take_token('harbour')

    assert run_on_mock_clock(run) is False


def test_lender_subtracts_lent_tokens():
    """Subtract lent tokens at the lender and cap them at the borrower."""

    async def run():
        budgets = build_budgets(
            2,
            Customer(rate=10, burst=100),
            random.Random(1),
        )
        await anyio.sleep(20)
        lender, borrower = budgets.values()
        lent = lender.lend(LendRequest('harbour', 20)).lent
        borrower.add_tokens('harbour', lent)
        return [own.buckets['harbour'].tokens for own in budgets.values()]

    kept, received = run_on_mock_clock(run)
    assert kept == 30
    assert received == 50  # capped at the share of one owner


@settings(max_examples=60, deadline=None)
@given(
    st.integers(1, 400),
    st.lists(st.text('abc', min_size=1), min_size=1, unique=True),
)
def test_owners_are_a_deterministic_subset_of_members(burst, names):
    """Choose at least one of the members, and the same ones each time."""
    names = sorted(names)
    owners = find_owners('harbour', burst, names)
    assert 1 <= len(owners.names) <= len(names)
    assert owners.names <= set(names)
    assert find_owners('harbour', burst, names[::-1]) == owners


def test_node_without_member_records_accrues_no_tokens():
    """Accrue no tokens before the member records were read.

    A node that knows no other member would own the whole budget: when all nodes
    were killed while a customer exceeded its rate, each restarted node refilled
    at the full rate for half a second (broke rule QUOTA in the benchmark run
    qaytaru trouble-3).
    """

    async def run():
        table = MemberTable(build_node_state('node-0'))
        budgets = ConservedBudgets(table, random.Random(1))
        budgets.update_customers({'harbour': Customer(rate=100, burst=100)})
        await anyio.sleep(5)
        return budgets.take_token('harbour')

    assert run_on_mock_clock(run) is False


def test_leaving_node_gives_up_its_share():
    """Stop spending before the others take over, so that none counts twice."""

    async def run():
        budgets = build_budgets(
            4,
            Customer(rate=40, burst=40),
            random.Random(1),
        )
        leaver, other = budgets['node-1'], budgets['node-0']
        await anyio.sleep(5)
        leaver.table.update_own(Status.LEFT, 10)
        leaver.update_owners()
        assert not leaver.take_token('harbour')
        other.table.mark('node-1', Status.LEFT)
        other.update_owners()
        before = other.buckets['harbour'].share.rate
        await anyio.sleep(1.1)
        other.update_owners()
        return before, other.buckets['harbour'].share.rate

    assert run_on_mock_clock(run) == (10, 40 / 3)


def measure_share_without_dead(dead_count):
    """Return a node's share 5 s after some of its four peers died."""

    async def run():
        own = build_budgets(5, Customer(rate=60, burst=60), random.Random(1))[
            'node-0'
        ]
        for number in range(1, dead_count + 1):
            own.table.mark(f'node-{number}', Status.DEAD)
        await anyio.sleep(5)
        own.update_owners()
        return own.buckets['harbour'].share.rate

    return run_on_mock_clock(run)


def test_share_of_dead_node_returns():
    """Divide the budget among the living, or a customer loses rate for good.

    All nodes lost power shortly after some machines had been taken away; the
    shares of these were not refilled until the end of the day.
    """
    assert measure_share_without_dead(1) == 15


def test_minority_takes_over_no_share():
    """Keep to the own share in a network partition.

    The nodes on the other side may be alive and spend theirs.
    """
    assert measure_share_without_dead(3) == 12


def test_customer_of_dead_owner_is_served_by_the_other():
    """Serve half of a small budget at once, all of it after the takeover."""

    async def run():
        customer = Customer(rate=6, burst=6)
        budgets = build_budgets(20, customer, random.Random(1))
        asker = next(
            own
            for own in budgets.values()
            if not own.buckets['harbour'].share.rate
        )
        dead = sorted(asker.owners['harbour'].names)[0]
        await anyio.sleep(5)
        asker.table.mark(dead, Status.SUSPECT)
        while_suspect = asker.choose_lenders('harbour', 3)
        asker.table.mark(dead, Status.DEAD)
        await anyio.sleep(1.1)
        asker.update_owners()
        return dead, while_suspect, asker.choose_lenders('harbour', 3)

    dead, while_suspect, after = run_on_mock_clock(run)
    assert len(while_suspect) == 2
    assert while_suspect[1] == dead
    assert len(after) == 2
    assert dead not in after


def test_reconnected_node_drops_its_tokens():
    """Start empty after a cut, in which others took over the share."""

    async def run():
        own = build_budgets(2, Customer(rate=10, burst=10), random.Random(1))[
            'node-0'
        ]
        await anyio.sleep(20)
        own.clear()
        at_once = own.take_token('harbour')
        await anyio.sleep(1.9)
        before_delay = own.take_token('harbour')
        await anyio.sleep(1)
        return at_once, before_delay, own.take_token('harbour')

    assert run_on_mock_clock(run) == (False, False, True)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.integers(1, 60),
    st.lists(st.sets(st.integers(0, 30), min_size=1), min_size=2, max_size=6),
)
def test_owners_after_changes_are_those_of_a_fresh_node(burst, memberships):
    """Agree on the owners, whatever changes each node went through."""

    async def run():
        table = MemberTable(build_node_state('node-0'))
        budgets = ConservedBudgets(table, random.Random(1))
        budgets.update_customers({'harbour': Customer(rate=5, burst=burst)})
        for numbers in memberships:
            names = sorted(f'node-{number}' for number in numbers)
            budgets.change_members(names)
            fresh = find_owners('harbour', burst, names)
            assert budgets.owners['harbour'] == fresh

    run_on_mock_clock(run)


class EmptyLendClient(LendClient):
    """Receive no tokens and count the requests."""

    def __init__(self):
        """Start with a count of 0."""
        self.request_count = 0

    async def ask(self, name, request):
        """Return 0 tokens after a network delay of 3 ms."""
        self.request_count += 1
        await anyio.sleep(0.003)
        return 0


@pytest.mark.parametrize('nodes', [1, 8])
def test_nodes_without_tokens_are_asked_rarely(nodes):
    """Ask at most three nodes ten times per second, at any request rate."""

    async def run():
        rng = random.Random(1)
        budgets = build_budgets(
            nodes,
            Customer(rate=1, burst=32),
            rng,
        )['node-0']
        lender = EmptyLendClient()

        async def send_one():
            try:
                await borrower.spend('harbour')
            except RefusedError:
                return

        async with anyio.create_task_group() as tasks:
            borrower = BorrowingLimiter(budgets, lender, tasks, 0.05)
            for _ in range(400):
                await anyio.sleep(0.005)
                tasks.start_soon(send_one)
        return lender.request_count

    assert run_on_mock_clock(run) <= 3 * 10 * 2 + 3


RESTART_TOKENS = 6


async def restart_all(rng, *, nodes, entry, offered_rate, restarts):
    """Send requests to all nodes, which restart together some times.

    Requests that came while the nodes were down are sent again right after.
    Return the times of admission, and those of refusal after the last restart.
    """
    limit = build_limit(entry)
    customer = Customer(rate=limit.rate, burst=limit.burst)
    admitted, refused = [], []
    for started_at, stopped_at in restarts:
        await anyio.sleep(max(0, started_at - clock.now()))
        refused.clear()
        async with anyio.create_task_group() as tasks:
            budgets = build_budgets(nodes, customer, rng, RESTART_TOKENS)
            lender = InMemoryLendClient(budgets, rng)
            borrowers = [
                BorrowingLimiter(own, lender, tasks, 0.05)
                for own in budgets.values()
            ]

            async def send_one():
                try:
                    await rng.choice(borrowers).spend('harbour')
                except RefusedError:
                    refused.append(clock.now())
                    return
                admitted.append(clock.now())

            for _ in range(int(offered_rate * 1.5)):
                await anyio.sleep(rng.expovariate(offered_rate * 3))
                tasks.start_soon(send_one)
            while clock.now() < stopped_at:
                await anyio.sleep(rng.expovariate(offered_rate))
                tasks.start_soon(send_one)
            tasks.cancel_scope.cancel()
    return admitted, refused


def test_customers_within_their_quota_are_served_after_a_restart_of_all():
    """Serve the callers that return at once after a loss of power.

    The nodes started with empty buckets: on a day with 194 nodes, 257 of
    the 311 requests lost were refused for their rate within 4 s of the restart.
    """
    entry = CustomerEntry(rate=3, burst=3)
    refused_count, admitted_count = 0, 0
    for seed in range(40):
        rng = random.Random(seed)

        async def run(rng=rng):
            return await restart_all(
                rng,
                nodes=30,
                entry=entry,
                offered_rate=1.8,
                restarts=[(10, 14)],
            )

        admitted, refused = run_on_mock_clock(run)
        refused_count += len(refused)
        admitted_count += len(admitted)
    assert refused_count <= 0.02 * (refused_count + admitted_count)


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize(('rate', 'burst'), [(3, 3), (40, 60)])
def test_two_restarts_within_a_window_stay_within_the_tolerance(
    seed, rate, burst
):
    """Stay within the tolerated bound at many times the rate."""
    rng = random.Random(seed)
    entry = CustomerEntry(rate=rate, burst=burst)

    async def run():
        return await restart_all(
            rng,
            nodes=12,
            entry=entry,
            offered_rate=rate * 8,
            restarts=[(1, 11), (11.5, 13), (13.5, 20)],
        )

    admitted, _ = run_on_mock_clock(run)
    tolerated = (rate * WINDOW_S + burst) * 1.1 + 20
    assert max_in_window(sorted(admitted)) <= tolerated


def test_suspected_owners_are_asked_last():
    """Borrow from suspected owners, but only after those known to be alive.

    After a loss of power, nodes suspect those that start a moment later; the
    owners with the tokens of a customer were then not asked at all.
    """

    async def run():
        customer = Customer(rate=40, burst=40)
        budgets = build_budgets(5, customer, random.Random(1))['node-0']
        for name in ('node-1', 'node-2'):
            budgets.table.mark(name, Status.SUSPECT)
        budgets.table.mark('node-3', Status.DEAD)
        return [budgets.choose_lenders('harbour', 3) for _ in range(20)]

    for lenders in run_on_mock_clock(run):
        assert lenders[0] == 'node-4'
        assert set(lenders[1:]) == {'node-1', 'node-2'}
