"""Track the calls that run at the local backend server."""

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
    """Hold what a nested call inherits from its parent call.

    `deadline` is on the local clock. `precedence` is the same for all calls
    of one root request.
    """

    customer: str
    importance: Importance
    deadline: float
    request_id: str
    depth: int
    precedence: int = 0


class RunningCall:
    """Track one call while the backend server processes it."""

    def __init__(self, context: CallContext, retries_left: int) -> None:
        """Start without nested calls."""
        self.context = context
        self.budget = RetryBudget(retries_left)
        self.downstream_level: float = 0

    def report_downstream_level(self, level: float) -> None:
        """Record an admission level met downstream; the highest is kept."""
        self.downstream_level = max(self.downstream_level, level)


class RunningCalls:
    """Map call tokens to the calls running at the local backend server."""

    def __init__(self) -> None:
        """Start without calls."""
        self.calls: dict[str, RunningCall] = {}

    def start(self, call: RunningCall) -> str:
        """Register a call; return the random token of its nested calls."""
        token = random_pool.take_hex(TOKEN_BYTES)
        self.calls[token] = call
        return token

    def finish(self, token: str) -> None:
        """Remove a call; its token is refused from now on."""
        self.calls.pop(token, None)

    def find(self, token: str) -> RunningCall | None:
        """Return the running call of a token, None if there is none."""
        return self.calls.get(token)

    def __len__(self) -> int:
        """Return the number of running calls."""
        return len(self.calls)


class ArrivalLog:
    """Record which calls have arrived and which are voided.

    An ingress that receives no answer probes on a new connection. A call that
    has not arrived at the time of the probe is voided: it is refused if its
    bytes arrive late, so the verdict "not run" stays true.
    """

    def __init__(self) -> None:
        """Start empty; the arrival of calls sent earlier is unknown."""
        self.arrived: OrderedDict[str, float] = OrderedDict()
        self.voided: OrderedDict[str, float] = OrderedDict()
        self.known_since = clock.now()

    def record_arrival(self, call_id: str) -> bool:
        """Record an arrival; return False if the call is voided."""
        if call_id in self.voided:
            return False
        self.arrived[call_id] = clock.now()
        if len(self.arrived) > MAX_ARRIVED_COUNT:
            self.known_since = self.arrived.popitem(last=False)[1]
        return True

    def void(self, call_id: str, age_s: float) -> bool:
        """Void a call sent `age_s` seconds ago; return False if it may run.

        The call may also run if it was sent before the period that the log
        covers, or while the log holds its maximum of voided calls.
        """
        now = clock.now()
        if call_id in self.arrived or now - age_s <= self.known_since:
            return False
        self.expire_voided(now)
        if len(self.voided) >= MAX_VOIDED_COUNT:
            return False
        self.voided[call_id] = now
        return True

    def expire_voided(self, now: float) -> None:
        """Drop voided calls that no open connection can still deliver."""
        while self.voided:
            oldest = next(iter(self.voided))
            if self.voided[oldest] > now - VOIDED_TTL_S:
                return
            self.voided.pop(oldest)
