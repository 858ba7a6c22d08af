"""Admit requests to the local backend server, by importance, then fairness."""

from collections import Counter, deque

import anyio

from limpetshore import clock
from limpetshore.decisions.admission_levels import AdmissionLevel
from limpetshore.decisions.concurrency_limits import ConcurrencyLimit
from limpetshore.errors import RefusedError, refuse
from limpetshore.importance import Importance
from limpetshore.verdicts import Reason, Refusal

SERVICE_TIME_WEIGHT = 0.1


class Waiter:
    """Wait for a slot on behalf of one request."""

    def __init__(
        self,
        customer: str,
        importance: Importance,
        deadline: float,
        precedence: int,
    ) -> None:
        """Start waiting now; `deadline` is on the local clock."""
        self.precedence = precedence
        self.customer = customer
        self.importance = importance
        self.deadline = deadline
        self.since = clock.now()
        self.decided = anyio.Event()
        self.refusal: Refusal | None = None
        self.is_admitted = False


Waiting = dict[str, deque[Waiter]]


def read_precedence(waiter: Waiter) -> int:
    """Return the precedence by which waiting requests are displaced."""
    return waiter.precedence


class AdmissionQueue:
    """Keep waiting requests by importance and customer."""

    def __init__(self) -> None:
        """Start empty."""
        self.queues: dict[Importance, Waiting] = {
            importance: {} for importance in reversed(Importance)
        }
        self.size = 0

    def add(self, waiter: Waiter) -> None:
        """Queue a request behind those of its customer."""
        customers = self.queues[waiter.importance]
        customers.setdefault(waiter.customer, deque()).append(waiter)
        self.size += 1

    def remove(self, waiter: Waiter) -> None:
        """Drop a request that no longer waits."""
        customers = self.queues[waiter.importance]
        waiting = customers[waiter.customer]
        waiting.remove(waiter)
        if not waiting:
            customers.pop(waiter.customer)
        self.size -= 1

    def pop_next(self, served: Counter[str]) -> Waiter | None:
        """Take the most important request of the least served customer."""
        for customers in self.queues.values():
            if customers:
                customer = min(customers, key=served.__getitem__)
                waiter = customers[customer][0]
                self.remove(waiter)
                return waiter
        return None

    def find_victim(self, importance: Importance) -> Waiter | None:
        """Return the one of lowest precedence of who waits most.

        Only requests of at most the given importance are looked at, the
        least important first.
        """
        for level in Importance:
            if level > importance:
                return None
            customers = self.queues[level]
            if customers:
                longest = max(customers.values(), key=len)
                return min(reversed(longest), key=read_precedence)
        return None

    def count(self, importance: Importance, customer: str) -> int:
        """Return how many requests of a customer wait at an importance."""
        return len(self.queues[importance].get(customer, ()))


class AdmissionController:
    """Share the slots of the local backend server."""

    def __init__(
        self,
        limit: ConcurrencyLimit,
        *,
        queue_per_slot: float,
        max_wait_s: float,
    ) -> None:
        """Start without requests."""
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
        """Return requests running and waiting for each allowed slot."""
        return (self.in_flight + self.queue.size) / self.limit.allowed

    async def acquire(
        self,
        customer: str,
        importance: Importance,
        deadline: float,
        precedence: int = 0,
    ) -> None:
        """Take a slot, or raise why the request must not run."""
        if self.in_flight < self.limit.allowed and not self.queue.size:
            self.check_deadline(deadline)
            self.start(customer)
            self.level.count_admitted(importance)
            return
        waiter = Waiter(customer, importance, deadline, precedence)
        self.make_room(waiter)
        self.queue.add(waiter)
        await self.wait(waiter)

    async def wait(self, waiter: Waiter) -> None:
        """Wait until the request is admitted, displaced or out of time."""
        patience = min(self.max_wait_s, waiter.deadline - clock.now())
        try:
            with anyio.move_on_after(max(0, patience)):
                await waiter.decided.wait()
        except BaseException:
            self.give_up(waiter)
            raise
        if waiter.is_admitted:
            self.level.count_admitted(waiter.importance)
            return
        self.give_up(waiter)
        self.level.count_refused(waiter.importance)
        raise RefusedError(waiter.refusal or self.explain_wait(waiter))

    def explain_wait(self, waiter: Waiter) -> Refusal:
        """Return why a request that waited in vain is refused."""
        if clock.now() >= waiter.deadline:
            return Refusal(Reason.DEADLINE, detail='waited until the deadline')
        return Refusal(
            Reason.OVERLOADED,
            retry_after_s=self.max_wait_s,
            detail='waited too long for a slot',
        )

    def give_up(self, waiter: Waiter) -> None:
        """Take back what the request holds: a place or a slot."""
        if waiter.is_admitted:
            self.release(waiter.customer)
        elif waiter.refusal is None:
            self.queue.remove(waiter)

    def make_room(self, newcomer: Waiter) -> None:
        """Displace a less deserving request if the queue is full."""
        room = max(1, int(self.queue_per_slot * self.limit.allowed))
        if self.queue.size < room:
            return
        victim = self.queue.find_victim(newcomer.importance)
        if victim is None or not self.is_more_deserving(newcomer, victim):
            self.level.count_refused(newcomer.importance)
            raise refuse(
                Reason.OVERLOADED,
                'the queue is full',
                retry_after_s=self.max_wait_s,
            )
        self.queue.remove(victim)
        victim.refusal = Refusal(Reason.OVERLOADED, detail='displaced')
        victim.decided.set()

    def is_more_deserving(self, newcomer: Waiter, victim: Waiter) -> bool:
        """Tell whether a newcomer should wait in place of another request."""
        if newcomer.importance != victim.importance:
            return newcomer.importance > victim.importance
        if newcomer.customer == victim.customer:
            return newcomer.precedence > victim.precedence
        importance = newcomer.importance
        return (
            self.queue.count(importance, newcomer.customer) + 1
        ) / self.weigh(newcomer.customer) < self.queue.count(
            importance,
            victim.customer,
        ) / self.weigh(victim.customer)

    def weigh(self, customer: str) -> float:
        """Return the weight of a customer, 1 if none is set."""
        return self.weights.get(customer, 1)

    def check_deadline(self, deadline: float) -> None:
        """Raise if the usual service time does not fit before a deadline."""
        if clock.now() + self.service_time_s / 2 > deadline:
            self.level.count_admitted(Importance.CRITICAL)
            raise refuse(Reason.DEADLINE, 'too late to start')

    def start(self, customer: str) -> None:
        """Count a request that takes a slot."""
        self.in_flight += 1
        self.running[customer] += 1

    def release(self, customer: str) -> None:
        """Give a slot back and admit whoever is next."""
        self.in_flight -= 1
        self.running[customer] -= 1
        if not self.running[customer]:
            self.running.pop(customer)
        if self.in_flight < 0:
            raise AssertionError('more slots given back than taken')
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Start waiting requests while there are free slots."""
        while self.queue.size and self.in_flight < self.limit.allowed:
            waiter = self.queue.pop_next(self.weighted_running())
            if waiter is None:
                return
            if clock.now() + self.service_time_s / 2 > waiter.deadline:
                waiter.refusal = Refusal(
                    Reason.DEADLINE,
                    detail='too late to start',
                )
            else:
                waiter.is_admitted = True
                self.start(waiter.customer)
            waiter.decided.set()

    def weighted_running(self) -> Counter[str]:
        """Return what each customer has running, divided by its weight."""
        return Counter(
            {
                customer: running / self.weigh(customer)
                for customer, running in self.running.items()
            }
        )

    def observe(self, latency: float) -> None:
        """Learn from a whole answer that took `latency` seconds."""
        if not self.service_time_s:
            self.service_time_s = latency
        self.service_time_s += (
            latency - self.service_time_s
        ) * SERVICE_TIME_WEIGHT
        self.limit.observe(latency, self.in_flight)
