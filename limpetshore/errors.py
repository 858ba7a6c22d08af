"""Hold the exception tree of the package."""

from limpetshore.verdicts import Reason, Refusal, Verdict


class LimpetshoreError(Exception):
    """Base every error of this package."""


class SettingsError(LimpetshoreError):
    """Report every mistake found in a settings file."""

    def __init__(self, mistakes: list[str]) -> None:
        """Keep the list of mistakes."""
        super().__init__('\n'.join(mistakes))
        self.mistakes = mistakes


class TicketError(LimpetshoreError):
    """Report a ticket that is not accepted."""

    def __init__(self, mistakes: list[str]) -> None:
        """Keep the list of mistakes."""
        super().__init__('\n'.join(mistakes))
        self.mistakes = mistakes


class StoreError(LimpetshoreError):
    """Report a failed call to the object API of the platform."""


class StoreUnavailableError(StoreError):
    """Report that the store gave no answer; a write may have happened."""


class StoreConflictError(StoreError):
    """Report a conditional update whose expected version was stale."""


class StoreHistoryError(StoreError):
    """Report that the store has forgotten the changes asked for."""


class TransportError(LimpetshoreError):
    """Base the failures of one HTTP exchange."""


class ConnectError(TransportError):
    """Report that no connection could be opened, so nothing was sent."""


class ConnectionLostError(TransportError):
    """Report a connection lost before the answer began."""


class TruncatedError(TransportError):
    """Report an answer that ended or stalled before it was whole."""


class PeerError(LimpetshoreError):
    """Report a failed control call to another node."""


class RefusedError(LimpetshoreError):
    """Carry a refusal up to where it is sent to the caller."""

    def __init__(self, refusal: Refusal) -> None:
        """Keep the refusal."""
        super().__init__(refusal.reason.value)
        self.refusal = refusal


def refuse(
    reason: Reason,
    detail: str = '',
    *,
    verdict: Verdict = Verdict.NOT_RUN,
    retry_after_s: float = 0,
) -> RefusedError:
    """Build the error that refuses a request."""
    return RefusedError(Refusal(reason, verdict, retry_after_s, detail))
