"""Test who gets a slot, who waits and who is shed."""

import random

import anyio
import pytest

from limpetshore.decisions.admission import AdmissionController
from limpetshore.decisions.concurrency_limits import ConcurrencyLimit
from limpetshore.errors import RefusedError
from limpetshore.importance import Importance
from limpetshore.verdicts import Reason, Verdict
from tests.mock_clock import run_on_mock_clock


def build_admission(slots=2, queue_per_slot=2, max_wait_s=1):
    """Return an admission whose limit is its slots."""
    return AdmissionController(
        ConcurrencyLimit(slots, initial_share=1, probe_s=10**6),
        queue_per_slot=queue_per_slot,
        max_wait_s=max_wait_s,
    )


async def hold(admission, log, name, importance, customer='a', work_s=0.5):
    """Take a slot for a while and note what came of it."""
    deadline = anyio.current_time() + 10
    try:
        await admission.acquire(customer, importance, deadline)
    except RefusedError as error:
        assert error.refusal.verdict == Verdict.NOT_RUN
        log.append((name, error.refusal.reason))
        return
    log.append((name, 'ran'))
    await anyio.sleep(work_s)
    admission.release(customer)


def test_more_important_requests_go_first():
    """Give a free slot to the most important request that waits."""

    async def work():
        admission, log = build_admission(slots=1, queue_per_slot=5), []
        async with anyio.create_task_group() as tasks:
            for name in ('first', 'low', 'normal', 'critical'):
                importance = Importance[
                    'NORMAL' if name == 'first' else name.upper()
                ]
                tasks.start_soon(
                    hold,
                    admission,
                    log,
                    name,
                    importance,
                    'a',
                    0.1,
                )
                await anyio.sleep(0.001)
        return [name for name, _ in log]

    assert run_on_mock_clock(work) == ['first', 'critical', 'normal', 'low']


def test_full_queue_sheds_the_least_important():
    """Displace a waiting request of lower importance."""

    async def work():
        admission, log = build_admission(slots=1, queue_per_slot=1), []
        async with anyio.create_task_group() as tasks:
            for name, importance in (
                ('running', Importance.LOW),
                ('low', Importance.LOW),
                ('high', Importance.HIGH),
                ('later-low', Importance.LOW),
            ):
                tasks.start_soon(hold, admission, log, name, importance)
                await anyio.sleep(0.001)
        return dict(log)

    assert run_on_mock_clock(work) == {
        'running': 'ran',
        'low': Reason.OVERLOADED,
        'high': 'ran',
        'later-low': Reason.OVERLOADED,
    }


def test_large_customer_does_not_crowd_out_a_small_one():
    """Displace the customer that waits most, and serve in turn."""

    async def work():
        admission, log = build_admission(slots=2, queue_per_slot=4), []
        async with anyio.create_task_group() as tasks:
            for number in range(12):
                tasks.start_soon(
                    hold,
                    admission,
                    log,
                    f'large-{number}',
                    Importance.NORMAL,
                    'large',
                    0.1,
                )
                await anyio.sleep(0.001)
            for number in range(3):
                tasks.start_soon(
                    hold,
                    admission,
                    log,
                    f'small-{number}',
                    Importance.NORMAL,
                    'small',
                    0.1,
                )
                await anyio.sleep(0.001)
        return log

    log = run_on_mock_clock(work)
    small = [result for name, result in log if name.startswith('small')]
    assert small == ['ran'] * 3
    refused = [name for name, result in log if result != 'ran']
    assert refused
    assert all(name.startswith('large') for name in refused)


def test_no_work_starts_that_cannot_end_in_time():
    """Refuse what has less time left than the usual service takes."""

    async def work():
        admission = build_admission()
        admission.service_time_s = 1.0
        with pytest.raises(RefusedError) as caught:
            await admission.acquire(
                'a',
                Importance.HIGH,
                anyio.current_time() + 0.1,
            )
        return caught.value.refusal.reason

    assert run_on_mock_clock(work) == Reason.DEADLINE


async def run_randomly(seed):
    """Send, cancel and finish at random; check the books all along."""
    rng = random.Random(seed)
    admission = build_admission(slots=5, queue_per_slot=2)
    running = 0
    most = 0

    async def send():
        nonlocal running, most
        customer = rng.choice('abcd')
        importance = rng.choice(list(Importance))
        with anyio.move_on_after(rng.choice([0.01, 0.5, 5])):
            try:
                await admission.acquire(
                    customer,
                    importance,
                    anyio.current_time() + rng.uniform(0.01, 2),
                )
            except RefusedError:
                return
            running += 1
            most = max(most, running)
            try:
                await anyio.sleep(rng.expovariate(10))
            finally:
                running -= 1
                admission.release(customer)

    async with anyio.create_task_group() as tasks:
        for _ in range(5000):
            tasks.start_soon(send)
            await anyio.sleep(rng.expovariate(60))
            assert admission.queue.size <= 10
            assert admission.in_flight <= 5
            if rng.random() < 0.01:
                admission.limit.limit = rng.randint(1, 5)
                admission.admit_waiting()
    assert most == 5
    return admission


@pytest.mark.parametrize('seed', range(4))
def test_no_slot_is_lost_or_given_twice(seed):
    """Return every slot after a long random run."""
    admission = run_on_mock_clock(run_randomly, seed)
    assert admission.in_flight == 0
    assert admission.queue.size == 0
    assert not admission.running
