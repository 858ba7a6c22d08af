"""Test the order of admission, displacement and fairness among customers."""

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
    """Return an admission controller that allows `slots` requests."""
    return AdmissionController(
        ConcurrencyLimit(slots, initial_share=1, probe_s=10**6),
        queue_per_slot=queue_per_slot,
        max_wait_s=max_wait_s,
    )


async def run_request(
    admission,
    log,
    name,
    importance,
    customer='a',
    work_s=0.5,
):
    """Acquire a slot for `work_s` seconds; append the outcome to `log`."""
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


def test_requests_are_admitted_by_importance():
    """Admit the waiting request of highest importance to a free slot."""

    async def work():
        admission, log = build_admission(slots=1, queue_per_slot=5), []
        async with anyio.create_task_group() as tasks:
            for name in ('first', 'low', 'normal', 'critical'):
                importance = Importance[
                    'NORMAL' if name == 'first' else name.upper()
                ]
                tasks.start_soon(
                    run_request,
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


def test_full_queue_displaces_the_least_important():
    """Displace a queued request of lower importance, but not the reverse."""

    async def work():
        admission, log = build_admission(slots=1, queue_per_slot=1), []
        async with anyio.create_task_group() as tasks:
            for name, importance in (
                ('running', Importance.LOW),
                ('low', Importance.LOW),
                ('high', Importance.HIGH),
                ('later-low', Importance.LOW),
            ):
                tasks.start_soon(run_request, admission, log, name, importance)
                await anyio.sleep(0.001)
        return dict(log)

    assert run_on_mock_clock(work) == {
        'running': 'ran',
        'low': Reason.OVERLOADED,
        'high': 'ran',
        'later-low': Reason.OVERLOADED,
    }


def test_large_customer_does_not_crowd_out_a_small_one():
    """Displace requests of the customer with the longest queue."""

    async def work():
        admission, log = build_admission(slots=2, queue_per_slot=4), []
        async with anyio.create_task_group() as tasks:
            for number in range(12):
                tasks.start_soon(
                    run_request,
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
                    run_request,
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


def test_request_that_cannot_finish_in_time_is_refused():
    """Refuse a request with less than half the service time left."""

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


async def run_random_requests(seed):
    """Send, cancel and finish requests at random; check limits meanwhile."""
    rng = random.Random(seed)
    admission = build_admission(slots=5, queue_per_slot=2)
    running_count = 0
    max_running = 0

    async def send():
        nonlocal running_count, max_running
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
            running_count += 1
            max_running = max(max_running, running_count)
            try:
                await anyio.sleep(rng.expovariate(10))
            finally:
                running_count -= 1
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
    assert max_running == 5
    return admission


@pytest.mark.parametrize('seed', range(4))
def test_no_slot_is_leaked_or_granted_twice(seed):
    """Release every slot, also of requests cancelled while they wait or run."""
    admission = run_on_mock_clock(run_random_requests, seed)
    assert admission.in_flight == 0
    assert admission.queue.size == 0
    assert not admission.running
