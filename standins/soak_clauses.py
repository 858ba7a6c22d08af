"""Name the clause of the rules that excuses a request without an answer."""

import enum
from typing import NamedTuple

GRACE_S = 6.0
LOSS_SLACK_S = 0.2
# A SIGTERM excuses what was sent this soon after it and still ran late.
EXCUSED_SENT_S = 3.0
LATE_SHARE = 5 / 6
MIN_SERVER_ERROR_STATUS = 500
TOO_MANY_REQUESTS = 429


class Clause(enum.StrEnum):
    """Name why a request may end without the whole answer of a server."""

    DISRUPTED = 'unplanned disruption'
    TIME_REACHED = 'deadline or timeout reached'
    CROSSED = 'not passed on, connection closed at once'
    BEHIND = 'not passed on, behind another'
    LAST_SIXTH = 'at work in the last sixth of the grace'
    NO_SIGTERM = 'given up, no SIGTERM'
    OTHER_SIGTERM = 'given up, SIGTERM only of the node of its server'


class Loss(NamedTuple):
    """Describe a request that got no whole answer of a server.

    `clause` is None if no rule excuses that. Times are in seconds; those of
    the server are since the request was sent.
    """

    clause: Clause | None
    sent_since_term_s: float | None
    took_s: float
    limit_s: float
    arrived_after_s: float | None
    ended_after_s: float | None
    answered: int | None
    is_other_stopping: bool = False

    def describe(self) -> str:
        """Return the caller's side and the server's side as text."""
        shown = [
            f'{name} {value:.3f}' if isinstance(value, float) else
            f'{name} {value}'
            for name, value in self._asdict().items()
            if name != 'clause'
        ]  # fmt: skip
        return ', '.join(shown)


class ServerSide(NamedTuple):
    """Hold what the servers recorded, by request id."""

    arrived: dict[str, float]
    ends: dict[str, float]
    answered: dict[str, int]
    # Names of the nodes beside the servers.
    nodes: dict[str, str]


def is_given_up(outcome):
    """Tell whether the node answered a failure of its own."""
    is_failure = (
        outcome.status >= MIN_SERVER_ERROR_STATUS
        or outcome.status == TOO_MANY_REQUESTS
    )
    return outcome.is_whole and is_failure and not outcome.is_sealed


def judge(outcome, limit_s, servers, soak):
    """Return the loss of an outcome; None if its request was answered.

    A failure of the node's own counts only if the request was passed on.
    """
    sent = outcome.sent
    arrived_at = servers.arrived.get(sent.request_id)
    if outcome.is_whole and not (is_given_up(outcome) and arrived_at):
        return None
    term_at = soak.record.find_sigterm(
        sent.node, sent.sent_at, outcome.ended_at
    )
    other_term_at = soak.record.find_sigterm(
        servers.nodes.get(sent.request_id), sent.sent_at, outcome.ended_at
    )
    ended_at = servers.ends.get(sent.request_id)

    def since_sent(at):
        return None if at is None else at - sent.sent_at

    took_s = outcome.ended_at - sent.sent_at
    loss = Loss(
        None,
        None if term_at is None else sent.sent_at - term_at,
        took_s,
        limit_s,
        since_sent(arrived_at),
        since_sent(ended_at),
        servers.answered.get(sent.request_id),
        other_term_at is not None,
    )
    is_disrupted = soak.is_disrupted(sent.sent_at, outcome.ended_at)
    waited_s = outcome.ended_at - soak.record.whole_at[sent.request_id]
    return loss._replace(
        clause=find_clause(outcome, loss, waited_s, is_disrupted=is_disrupted)
    )


def find_clause(outcome, loss, waited_s, *, is_disrupted):
    """Return the clause that excuses a loss, None if there is none."""
    if is_disrupted:
        return Clause.DISRUPTED
    if loss.took_s >= loss.limit_s:
        return Clause.TIME_REACHED
    if loss.arrived_after_s is None:
        if not outcome.sent.is_first:
            return Clause.BEHIND
        return Clause.CROSSED if waited_s <= LOSS_SLACK_S else None
    if loss.sent_since_term_s is None:
        if not outcome.is_whole:
            return None
        is_other = loss.is_other_stopping
        return Clause.OTHER_SIGTERM if is_other else Clause.NO_SIGTERM
    is_excused = loss.sent_since_term_s <= EXCUSED_SENT_S
    # A server may work on after the node has given its request up.
    ended_s = min(loss.took_s, loss.ended_after_s or loss.took_s)
    if is_excused and loss.sent_since_term_s + ended_s >= LATE_SHARE * GRACE_S:
        return Clause.LAST_SIXTH
    return None
