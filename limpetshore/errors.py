"""Exceptions of the package."""

from limpetshore.verdicts import Reason, Refusal, Verdict


class LimpetshoreError(Exception):
    """Base class of all exceptions of this package."""


class SettingsError(LimpetshoreError):
    """Invalid settings, with all mistakes found in the file."""

    def __init__(self, mistakes: list[str]) -> None:
        """Store the mistakes; the message has one per line."""
        super().__init__('\n'.join(mistakes))
        self.mistakes = mistakes


class TicketError(LimpetshoreError):
    """Rejected ticket, with all mistakes found in it."""

    def __init__(self, mistakes: list[str]) -> None:
        """Store the mistakes; the message has one per line."""
        super().__init__('\n'.join(mistakes))
        self.mistakes = mistakes


class StoreError(LimpetshoreError):
    """Failed call to the object API of the platform."""


class StoreUnavailableError(StoreError):
    """No usable answer from the store; a write may have taken effect."""


class StoreConflictError(StoreError):
    """Conditional write rejected because the expected version is stale."""


class StoreHistoryError(StoreError):
    """Watch from a revision whose changes the store no longer keeps."""


class TransportError(LimpetshoreError):
    """Base class of the failures of one HTTP exchange."""


class ConnectError(TransportError):
    """Failure to open a connection; nothing has been sent."""


class ConnectionLostError(TransportError):
    """Connection lost before the first byte of the answer."""


class TruncatedError(TransportError):
    """Answer that ended or stalled before it was complete."""


class PeerError(LimpetshoreError):
    """Failed control call to another node."""


class RefusedError(LimpetshoreError):
    """Exception that carries a refusal to the code that answers the caller."""

    def __init__(self, refusal: Refusal) -> None:
        """Store the refusal; the message is its reason."""
        super().__init__(refusal.reason.value)
        self.refusal = refusal


def refuse(
    reason: Reason,
    detail: str = '',
    *,
    verdict: Verdict = Verdict.NOT_RUN,
    retry_after_s: float = 0,
) -> RefusedError:
    """Return an exception that refuses a request, to be raised.

    `retry_after_s` is 0 for no advice.
    """
    return RefusedError(Refusal(reason, verdict, retry_after_s, detail))
