"""Rank requests by importance."""

import enum


class Importance(enum.IntEnum):
    """Rank requests; the lowest are shed first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    CRITICAL = 3


def parse_importance(text: str) -> Importance:
    """Return the rank of an importance.

    >>> parse_importance('high') > parse_importance('low')
    True
    """
    return Importance[text.upper()]
