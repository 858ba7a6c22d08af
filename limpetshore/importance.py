"""Define the importance of requests, by which overload control sheds them."""

import enum


class Importance(enum.IntEnum):
    """Rank requests by importance; the lowest is shed first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    CRITICAL = 3


def parse_importance(text: str) -> Importance:
    """Return the importance of a name; letter case is ignored.

    >>> parse_importance('high') > parse_importance('low')
    True
    """
    return Importance[text.upper()]
