"""Limit rates with own tokens, and borrow from other nodes when short."""

from abc import ABC, abstractmethod

import anyio
from anyio.abc import TaskGroup

from limpetshore import clock
from limpetshore.decisions.conserved_budgets import ConservedBudgets
from limpetshore.decisions.retry_schedule import RetrySchedule
from limpetshore.errors import refuse
from limpetshore.protocol.messages import LendRequest
from limpetshore.verdicts import Reason

MAX_LENDERS_PER_ROUND = 3
MIN_REQUESTED_TOKENS = 1
DEMAND_WINDOW_S = 0.25
EMPTY_BACKOFF_S = 0.1  # pause after a round in which no node lent tokens
OWN_TOKEN_POLL_S = 0.02  # own tokens accrue while borrowing is paused


class RateLimiter(ABC):
    """Limit each customer to its rate and burst, one token per request."""

    @abstractmethod
    async def spend(self, customer: str) -> None:
        """Spend a token, or raise RefusedError when none can be obtained."""

    @abstractmethod
    def refund(self, customer: str) -> None:
        """Undo `spend` for a request that did not run."""


class LendClient(ABC):
    """Send lend requests to other nodes."""

    @abstractmethod
    async def ask(self, name: str, request: LendRequest) -> int:
        """Return the number of tokens lent by a node, 0 without an answer."""


class BorrowingState:
    """Track the demand and the borrowing of one customer at this node."""

    def __init__(self, rate: float) -> None:
        """Start without demand; `rate` is in requests a second."""
        self.recent_requests: float = 0
        self.counted_at = clock.now()
        self.is_borrowing = False
        self.round_ended = anyio.Event()
        self.backoff_until: float = 0
        self.retry_schedule = RetrySchedule(rate)

    def count_request(self) -> None:
        """Count a request; the count decays to 0 within `DEMAND_WINDOW_S`."""
        now = clock.now()
        self.recent_requests *= max(
            0, 1 - (now - self.counted_at) / DEMAND_WINDOW_S
        )
        self.recent_requests += 1
        self.counted_at = now


class BorrowingLimiter(RateLimiter):
    """Spend own tokens, and borrow more before they run out."""

    def __init__(
        self,
        budgets: ConservedBudgets,
        lend_client: LendClient,
        tasks: TaskGroup,
        wait_s: float,
    ) -> None:
        """Borrow in `tasks`; a request waits at most `wait_s` for a token."""
        self.budgets = budgets
        self.lend_client = lend_client
        self.tasks = tasks
        self.wait_s = wait_s
        self.states: dict[str, BorrowingState] = {}

    async def spend(self, customer: str) -> None:
        """Spend a token; raise RefusedError if there is none after `wait_s`."""
        state = self.find_state(customer)
        state.count_request()
        if self.budgets.take_token(customer):
            self.borrow_ahead(customer, state)
            return
        if clock.now() >= state.backoff_until:
            with anyio.move_on_after(self.wait_s):
                await self.wait_for_token(customer, state)
                return
        raise refuse(
            Reason.RATE,
            f'{customer} is over its rate and burst',
            retry_after_s=state.retry_schedule.next_delay(),
        )

    def refund(self, customer: str) -> None:
        """Return the token of a request that did not run to the budget."""
        self.budgets.add_tokens(customer, 1)

    def find_state(self, customer: str) -> BorrowingState:
        """Return the borrowing state of a customer, created on first use."""
        state = self.states.get(customer)
        if state is None:
            record = self.budgets.customers[customer]
            state = BorrowingState(record.rate)
            self.states[customer] = state
        return state

    def borrow_ahead(self, customer: str, state: BorrowingState) -> None:
        """Start borrowing early if the tokens left do not cover the demand."""
        bucket = self.budgets.buckets[customer]
        is_short = bucket.tokens < min(
            state.recent_requests, bucket.share.burst / 2
        )
        if is_short and clock.now() >= state.backoff_until:
            self.start_borrowing(customer, state)

    async def wait_for_token(
        self, customer: str, state: BorrowingState
    ) -> None:
        """Borrow round after round until a token can be spent."""
        while not self.budgets.take_token(customer):
            backoff_s = state.backoff_until - clock.now()
            if backoff_s > 0:
                await anyio.sleep(min(backoff_s, OWN_TOKEN_POLL_S))
                continue
            self.start_borrowing(customer, state)
            await state.round_ended.wait()

    def start_borrowing(self, customer: str, state: BorrowingState) -> None:
        """Start a borrowing round unless one is running."""
        if not state.is_borrowing:
            state.is_borrowing = True
            self.tasks.start_soon(self.borrow, customer, state)

    async def borrow(self, customer: str, state: BorrowingState) -> None:
        """Ask a few nodes one after the other until one lends tokens."""
        wanted = int(max(MIN_REQUESTED_TOKENS, state.recent_requests))
        request = LendRequest(customer, wanted)
        lent = 0
        try:
            for name in self.budgets.choose_lenders(
                customer, MAX_LENDERS_PER_ROUND
            ):
                lent = await self.lend_client.ask(name, request)
                if lent:
                    self.budgets.add_tokens(customer, lent)
                    break
        finally:
            state.is_borrowing = False
            if not lent:
                state.backoff_until = clock.now() + EMPTY_BACKOFF_S
            state.round_ended.set()
            state.round_ended = anyio.Event()
