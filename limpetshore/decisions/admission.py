"""Admit requests to the local backend server by importance, then fairly.

Requests of higher importance are admitted first; among requests of the same
importance, slots are divided among customers by weight.
"""

from collections import Counter, deque

import anyio

from limpetshore import clock
from limpetshore.decisions.admission_levels import AdmissionLevel
from limpetshore.decisions.concurrency_limits import ConcurrencyLimit
from limpetshore.errors import RefusedError, refuse
from limpetshore.importance import Importance
from limpetshore.verdicts import Reason, Refusal

SERVICE_TIME_GAIN = 0.1


class QueuedRequest:
    """Hold a request that waits for a slot of the backend server."""

    def __init__(
        self,
        customer: str,
        importance: Importance,
        deadline: float,
        precedence: int,
    ) -> None:
        """Record the request as queued now; `deadline` is on the local clock.

        `decided` is set once the request is admitted or refused.
        """
        self.precedence = precedence
        self.customer = customer
        self.importance = importance
        self.deadline = deadline
        self.queued_at = clock.now()
        self.decided = anyio.Event()
        self.refusal: Refusal | None = None
        self.is_admitted = False


CustomerQueues = dict[str, deque[QueuedRequest]]


def get_precedence(request: QueuedRequest) -> int:
    """Return the sort key for displacement: the lowest is displaced first."""
    return request.precedence


class AdmissionQueue:
    """Queue requests for a slot, in one FIFO per importance and customer."""

    def __init__(self) -> None:
        """Create an empty queue for each importance, the highest first."""
        self.queues: dict[Importance, CustomerQueues] = {
            importance: {} for importance in reversed(Importance)
        }
        self.size = 0

    def add(self, request: QueuedRequest) -> None:
        """Append a request to the FIFO of its importance and customer."""
        by_customer = self.queues[request.importance]
        by_customer.setdefault(request.customer, deque()).append(request)
        self.size += 1

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request that was admitted, displaced or has timed out."""
        by_customer = self.queues[request.importance]
        queue = by_customer[request.customer]
        queue.remove(request)
        if not queue:
            by_customer.pop(request.customer)
        self.size -= 1

    def pop_next(self, running: Counter[str]) -> QueuedRequest | None:
        """Remove and return the request to admit next, None if empty.

        It is the oldest request, at the highest importance with waiting
        requests, of the customer with the lowest count in `running`.
        """
        for by_customer in self.queues.values():
            if by_customer:
                customer = min(by_customer, key=running.__getitem__)
                request = by_customer[customer][0]
                self.remove(request)
                return request
        return None

    def find_victim(self, importance: Importance) -> QueuedRequest | None:
        """Return the request to displace for a new one of an importance.

        It is the request of lowest precedence, the newest on a tie, of the
        customer with the longest queue, at the lowest importance with waiting
        requests. Requests above the given importance are never displaced.
        """
        for level in Importance:
            if level > importance:
                return None
            by_customer = self.queues[level]
            if by_customer:
                longest = max(by_customer.values(), key=len)
                return min(reversed(longest), key=get_precedence)
        return None

    def count(self, importance: Importance, customer: str) -> int:
        """Return how many requests of a customer wait at an importance."""
        return len(self.queues[importance].get(customer, ()))


class AdmissionController:
    """Admit requests up to the concurrency limit and queue the rest.

    `queue_per_slot` is the number of queued requests per allowed slot;
    `max_wait_s` is the longest time a request waits in the queue.
    """

    def __init__(
        self,
        limit: ConcurrencyLimit,
        *,
        queue_per_slot: float,
        max_wait_s: float,
    ) -> None:
        """Start without requests; customers weigh 1 until `weights` is set."""
        self.limit = limit
        self.queue_per_slot = queue_per_slot
        self.max_wait_s = max_wait_s
        self.queue = AdmissionQueue()
        self.in_flight = 0
        self.running: Counter[str] = Counter()
        self.weights: dict[str, float] = {}
        self.service_time_s: float = 0
        self.level = AdmissionLevel()

    @property
    def load(self) -> float:
        """Return running and queued requests per allowed slot."""
        return (self.in_flight + self.queue.size) / self.limit.allowed

    async def acquire(
        self,
        customer: str,
        importance: Importance,
        deadline: float,
        precedence: int = 0,
    ) -> None:
        """Acquire a slot, waiting in the queue if none is free.

        Raise RefusedError if the queue is full, if the request is displaced
        or if the wait exceeds `max_wait_s` or the deadline.
        """
        if self.in_flight < self.limit.allowed and not self.queue.size:
            self.check_deadline(deadline)
            self.occupy_slot(customer)
            self.level.count_admitted(importance)
            return
        request = QueuedRequest(customer, importance, deadline, precedence)
        self.ensure_queue_space(request)
        self.queue.add(request)
        await self.wait(request)

    async def wait(self, request: QueuedRequest) -> None:
        """Wait for admission; raise RefusedError on displacement or timeout."""
        remaining_s = clock.seconds_until(request.deadline)
        try:
            with anyio.move_on_after(min(self.max_wait_s, remaining_s)):
                await request.decided.wait()
        except BaseException:
            self.withdraw(request)
            raise
        if request.is_admitted:
            self.level.count_admitted(request.importance)
            return
        self.withdraw(request)
        self.level.count_refused(request.importance)
        raise RefusedError(request.refusal or self.build_timeout(request))

    def build_timeout(self, request: QueuedRequest) -> Refusal:
        """Return the refusal of a request that timed out in the queue."""
        if clock.now() >= request.deadline:
            return Refusal(
                Reason.DEADLINE,
                detail='waited until the deadline',
            )
        return Refusal(
            Reason.OVERLOADED,
            retry_after_s=self.max_wait_s,
            detail='waited too long for a slot',
        )

    def withdraw(self, request: QueuedRequest) -> None:
        """Release the slot or the place in the queue of a request."""
        if request.is_admitted:
            self.release(request.customer)
        elif request.refusal is None:
            self.queue.remove(request)

    def ensure_queue_space(self, incoming: QueuedRequest) -> None:
        """Displace a queued request if the queue is full.

        Raise RefusedError if no queued request may be displaced.
        """
        max_size = max(1, int(self.queue_per_slot * self.limit.allowed))
        if self.queue.size < max_size:
            return
        victim = self.queue.find_victim(incoming.importance)
        if victim is None or not self.should_displace(incoming, victim):
            self.level.count_refused(incoming.importance)
            raise refuse(
                Reason.OVERLOADED,
                'the queue is full',
                retry_after_s=self.max_wait_s,
            )
        self.queue.remove(victim)
        victim.refusal = Refusal(Reason.OVERLOADED, detail='displaced')
        victim.decided.set()

    def should_displace(
        self,
        incoming: QueuedRequest,
        victim: QueuedRequest,
    ) -> bool:
        """Decide whether an incoming request replaces a queued one.

        Importance decides first. Within a customer, precedence decides;
        between customers, the one with fewer queued requests per weight wins.
        """
        if incoming.importance != victim.importance:
            return incoming.importance > victim.importance
        if incoming.customer == victim.customer:
            return incoming.precedence > victim.precedence
        importance = incoming.importance
        return (
            self.queue.count(importance, incoming.customer) + 1
        ) / self.find_weight(incoming.customer) < self.queue.count(
            importance,
            victim.customer,
        ) / self.find_weight(victim.customer)

    def find_weight(self, customer: str) -> float:
        """Return the fair-share weight of a customer, 1 if none is set."""
        return self.weights.get(customer, 1)

    def check_deadline(self, deadline: float) -> None:
        """Refuse a request with less than half the mean service time left."""
        if clock.now() + self.service_time_s / 2 > deadline:
            self.level.count_admitted(Importance.CRITICAL)
            raise refuse(Reason.DEADLINE, 'too late to start')

    def occupy_slot(self, customer: str) -> None:
        """Count a request that starts to run."""
        self.in_flight += 1
        self.running[customer] += 1

    def release(self, customer: str) -> None:
        """Release the slot of a finished request and admit queued ones."""
        self.in_flight -= 1
        self.running[customer] -= 1
        if not self.running[customer]:
            self.running.pop(customer)
        if self.in_flight < 0:
            raise AssertionError('more slots released than acquired')
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Admit queued requests while slots are free.

        Also called when the limit has risen.
        """
        while self.queue.size and self.in_flight < self.limit.allowed:
            request = self.queue.pop_next(self.weighted_running())
            if request is None:
                return
            if clock.now() + self.service_time_s / 2 > request.deadline:
                request.refusal = Refusal(
                    Reason.DEADLINE,
                    detail='too late to start',
                )
            else:
                request.is_admitted = True
                self.occupy_slot(request.customer)
            request.decided.set()

    def weighted_running(self) -> Counter[str]:
        """Return the running requests of each customer, per unit of weight."""
        return Counter(
            {
                customer: running / self.find_weight(customer)
                for customer, running in self.running.items()
            }
        )

    def observe(self, latency_s: float) -> None:
        """Record the latency in seconds of an answer received in full."""
        if not self.service_time_s:
            self.service_time_s = latency_s
        self.service_time_s += (
            latency_s - self.service_time_s
        ) * SERVICE_TIME_GAIN
        self.limit.observe(latency_s, self.in_flight)
