"""Know which calls run at the local backend server."""

from collections import OrderedDict
from typing import NamedTuple

from limpetshore import clock
from limpetshore.decisions.retry_budgets import RetryBudget
from limpetshore.importance import Importance
from limpetshore.randomness import random_pool

TOKEN_BYTES = 16
MAX_VOIDED_COUNT = 4096
MAX_ARRIVED_COUNT = 16384
VOIDED_TTL_S = 3600


class CallContext(NamedTuple):
    """Hold what a nested call inherits; `deadline` is on the local clock.

    `precedence` is the same for all calls of one request.
    """

    customer: str
    importance: Importance
    deadline: float
    request_id: str
    depth: int
    precedence: int = 0


class RunningCall:
    """Track one call while the backend server works on it."""

    def __init__(self, context: CallContext, retries_left: int) -> None:
        """Start without nested calls."""
        self.context = context
        self.budget = RetryBudget(retries_left)
        self.downstream_level: float = 0

    def report_downstream_level(self, level: float) -> None:
        """Remember the highest admission level met further down."""
        self.downstream_level = max(self.downstream_level, level)


class RunningCalls:
    """Map tokens to the calls now running at the local backend server."""

    def __init__(self) -> None:
        """Start without calls."""
        self.calls: dict[str, RunningCall] = {}

    def start(self, call: RunningCall) -> str:
        """Return a fresh token that names the call while it runs."""
        token = random_pool.take_hex(TOKEN_BYTES)
        self.calls[token] = call
        return token

    def finish(self, token: str) -> None:
        """Forget the call, so that its token is refused."""
        self.calls.pop(token, None)

    def find(self, token: str) -> RunningCall | None:
        """Return the running call a token names."""
        return self.calls.get(token)

    def __len__(self) -> int:
        """Return the number of calls that run."""
        return len(self.calls)


class ArrivalLog:
    """Remember which calls arrived, and which must not run any more.

    An ingress that hears nothing asks on a new connection. A call that has
    not arrived by then is voided, so that "not run" stays true should its
    bytes come late.
    """

    def __init__(self) -> None:
        """Start empty; calls sent before this moment are unknown."""
        self.arrived: OrderedDict[str, float] = OrderedDict()
        self.voided: OrderedDict[str, float] = OrderedDict()
        self.known_since = clock.now()

    def record_arrival(self, call_id: str) -> bool:
        """Note an arrival; return False if the call was voided."""
        if call_id in self.voided:
            return False
        self.arrived[call_id] = clock.now()
        if len(self.arrived) > MAX_ARRIVED_COUNT:
            self.known_since = self.arrived.popitem(last=False)[1]
        return True

    def void(self, call_id: str, age_s: float) -> bool:
        """Forbid a call sent `age` seconds ago; return False if it may run."""
        now = clock.now()
        if call_id in self.arrived or now - age_s <= self.known_since:
            return False
        self.expire_voided(now)
        if len(self.voided) >= MAX_VOIDED_COUNT:
            return False
        self.voided[call_id] = now
        return True

    def expire_voided(self, now: float) -> None:
        """Drop calls that no connection can still deliver."""
        while self.voided:
            oldest = next(iter(self.voided))
            if self.voided[oldest] > now - VOIDED_TTL_S:
                return
            self.voided.pop(oldest)
