"""Wait in two ways for the answer to one request; the first answer wins."""

import anyio

from limpetshore.errors import RefusedError
from limpetshore.verdicts import Verdict


class Lane:
    """Hold one of two ways to an answer; the first one that has it wins.

    A short answer must be complete, a longer one must have begun.
    """

    def __init__(self) -> None:
        """Start without a rival; `oppose` sets it."""
        self.scope = anyio.CancelScope()
        self.rival: Lane | None = None
        self.has_won = False
        self.failure: Exception | None = None

    def claim(self) -> bool:
        """Cancel the rival; return False if it has an answer already."""
        if self.rival.has_won:
            return False
        self.has_won = True
        self.rival.scope.cancel()
        return True


def oppose() -> tuple[Lane, Lane]:
    """Return two lanes, each the rival of the other."""
    first, second = Lane(), Lane()
    first.rival = second
    second.rival = first
    return first, second


def find_failure(first: Lane, second: Lane) -> Exception | None:
    """Return the failure of the lane that won, or the first one's.

    The request may have run if either failure says so.
    """
    if second.has_won:
        return second.failure
    failure = first.failure
    other = second.failure
    is_undecided = not first.has_won and isinstance(failure, RefusedError)
    if is_undecided and isinstance(other, RefusedError):
        if other.refusal.verdict == Verdict.MAY_HAVE_RUN:
            return RefusedError(
                failure.refusal._replace(verdict=Verdict.MAY_HAVE_RUN)
            )
    return failure
