"""Spend tokens of customers, borrowed from other nodes when short."""

from abc import ABC, abstractmethod

import anyio
from anyio.abc import TaskGroup

from limpetshore import clock
from limpetshore.decisions.conserved_budgets import ConservedBudgets
from limpetshore.decisions.retry_schedule import RetrySchedule
from limpetshore.errors import refuse
from limpetshore.protocol.messages import LendRequest
from limpetshore.verdicts import Reason

ROUND_LENDERS = 3
LEAST_WANTED = 2
DEMAND_S = 0.25
DRY_S = 0.1
OWN_TOKEN_POLL_S = 0.02


class RateLimiter(ABC):
    """Let a request pass if its customer is inside its rate and burst."""

    @abstractmethod
    async def spend(self, customer: str) -> None:
        """Spend a token, or raise that the customer is over its rate."""

    @abstractmethod
    def refund(self, customer: str) -> None:
        """Take back the token of a request that has not run."""


class LendClient(ABC):
    """Reach the nodes that may lend tokens."""

    @abstractmethod
    async def ask(self, name: str, request: LendRequest) -> int:
        """Return how many tokens a node gave, 0 if it did not answer."""


class Account:
    """Follow one customer's demand and borrowing at this node."""

    def __init__(self, rate: float) -> None:
        """Start without demand."""
        self.recent: float = 0
        self.at = clock.now()
        self.is_borrowing = False
        self.changed = anyio.Event()
        self.dry_until: float = 0
        self.retry_schedule = RetrySchedule(rate)

    def count(self) -> None:
        """Count a request into the demand, which fades with time."""
        now = clock.now()
        self.recent *= max(0, 1 - (now - self.at) / DEMAND_S)
        self.recent += 1
        self.at = now


class BorrowingLimiter(RateLimiter):
    """Spend own tokens first and borrow before they run out."""

    def __init__(
        self,
        budgets: ConservedBudgets,
        lender: LendClient,
        tasks: TaskGroup,
        wait_s: float,
    ) -> None:
        """Borrow in the task group of the node; requests wait `wait_s`."""
        self.budgets = budgets
        self.lender = lender
        self.tasks = tasks
        self.wait_s = wait_s
        self.accounts: dict[str, Account] = {}

    async def spend(self, customer: str) -> None:
        """Spend a token, or raise that the customer is over its rate."""
        account = self.find_account(customer)
        account.count()
        if self.budgets.take_token(customer):
            self.refill_ahead(customer, account)
            return
        if clock.now() >= account.dry_until:
            with anyio.move_on_after(self.wait_s):
                await self.wait_for_token(customer, account)
                return
        raise refuse(
            Reason.RATE,
            f'{customer} is over its rate and burst',
            retry_after_s=account.retry_schedule.next_delay(),
        )

    def refund(self, customer: str) -> None:
        """Take back the token of a request that has not run."""
        self.budgets.add_tokens(customer, 1)

    def find_account(self, customer: str) -> Account:
        """Return the account of a customer."""
        account = self.accounts.get(customer)
        if account is None:
            record = self.budgets.customers[customer]
            account = Account(record.rate)
            self.accounts[customer] = account
        return account

    def refill_ahead(self, customer: str, account: Account) -> None:
        """Borrow while there are still tokens, if they will not last."""
        bucket = self.budgets.buckets[customer]
        is_short = bucket.tokens < min(account.recent, bucket.share.burst / 2)
        if is_short and clock.now() >= account.dry_until:
            self.start_borrowing(customer, account)

    async def wait_for_token(self, customer: str, account: Account) -> None:
        """Borrow until there is a token."""
        while not self.budgets.take_token(customer):
            dry_s = account.dry_until - clock.now()
            if dry_s > 0:
                await anyio.sleep(min(dry_s, OWN_TOKEN_POLL_S))
                continue
            self.start_borrowing(customer, account)
            await account.changed.wait()

    def start_borrowing(self, customer: str, account: Account) -> None:
        """Ask some nodes, unless they are being asked."""
        if not account.is_borrowing:
            account.is_borrowing = True
            self.tasks.start_soon(self.borrow, customer, account)

    async def borrow(self, customer: str, account: Account) -> None:
        """Ask a few nodes one after the other until one gives."""
        wanted = int(max(LEAST_WANTED, account.recent))
        request = LendRequest(customer, wanted)
        given = 0
        try:
            for name in self.budgets.choose_lenders(customer, ROUND_LENDERS):
                given = await self.lender.ask(name, request)
                if given:
                    self.budgets.add_tokens(customer, given)
                    break
        finally:
            account.is_borrowing = False
            if not given:
                account.dry_until = clock.now() + DRY_S
            account.changed.set()
            account.changed = anyio.Event()
