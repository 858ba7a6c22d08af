"""Define the verdicts and reasons of refusals."""

import enum
from typing import NamedTuple


class Verdict(enum.StrEnum):
    """State whether a request may have run at a backend server."""

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    ANSWERED = 'answered'


class Reason(enum.StrEnum):
    """Name the cause of a refusal."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    BROKEN = 'broken'
    CUT_OFF = 'cut_off'
    DEADLINE = 'deadline'
    DRAINING = 'draining'
    FORBIDDEN = 'forbidden'
    KEY_MISSING = 'key_missing'
    KEY_UNKNOWN = 'key_unknown'
    NO_POLICY = 'no_policy'
    NO_SERVER = 'no_server'
    NOT_OWNER = 'not_owner'
    OVERLOADED = 'overloaded'
    RATE = 'rate'
    RATE_UNKNOWN = 'rate_unknown'
    REPEATED = 'repeated'
    REQUEST_ID = 'request_id'
    ROUTE_UNKNOWN = 'route_unknown'
    SERVER_SHED = 'server_shed'
    SILENT = 'silent'
    TOKEN_UNKNOWN = 'token_unknown'
    TOO_DEEP = 'too_deep'
    TRUNCATED = 'truncated'
    UNREACHABLE = 'unreachable'


HTTP_STATUS: dict[Reason, int] = {
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.BROKEN: 502,
    Reason.CUT_OFF: 503,
    Reason.DEADLINE: 504,
    Reason.DRAINING: 503,
    Reason.FORBIDDEN: 403,
    Reason.KEY_MISSING: 401,
    Reason.KEY_UNKNOWN: 401,
    Reason.NO_POLICY: 503,
    Reason.NO_SERVER: 503,
    Reason.NOT_OWNER: 503,
    Reason.OVERLOADED: 503,
    Reason.RATE: 429,
    Reason.RATE_UNKNOWN: 503,
    Reason.REPEATED: 409,
    Reason.REQUEST_ID: 400,
    Reason.ROUTE_UNKNOWN: 404,
    Reason.SERVER_SHED: 503,
    Reason.SILENT: 502,
    Reason.TOKEN_UNKNOWN: 401,
    Reason.TOO_DEEP: 508,
    Reason.TRUNCATED: 502,
    Reason.UNREACHABLE: 503,
}

# Only requests refused for these reasons are retried at another server: for
# all other reasons the retry would fail as well.
RETRYABLE_REASONS = frozenset(
    (
        Reason.BROKEN,
        Reason.DRAINING,
        Reason.NOT_OWNER,
        Reason.SILENT,
        Reason.SERVER_SHED,
        Reason.TRUNCATED,
        Reason.UNREACHABLE,
    )
)


# A request refused for one of these reasons has not reached a backend server.
UNSENT_REASONS = frozenset(
    (Reason.DRAINING, Reason.NOT_OWNER, Reason.UNREACHABLE),
)

# For these reasons no complete answer came from a server, or no server was
# reached.
UNANSWERED_REASONS = frozenset(
    (
        Reason.BROKEN,
        Reason.SILENT,
        Reason.TRUNCATED,
        Reason.UNREACHABLE,
    )
)


class Refusal(NamedTuple):
    """Describe a refused request; `retry_after_s` is 0 for no advice."""

    reason: Reason
    verdict: Verdict = Verdict.NOT_RUN
    retry_after_s: float = 0
    detail: str = ''

    @property
    def status(self) -> int:
        """Return the HTTP status of an answer with this reason."""
        return HTTP_STATUS[self.reason]
