"""Treat all calls made for one request alike, wherever they go.

A request that needs six calls fails if one of them is turned away. Guards that
refuse a tenth of their calls at random fail half of such requests; guards that
agree on whose calls go first fail a tenth.
"""

import xxhash

MAX_PRECEDENCE = 255


def compute_precedence(root: str) -> int:
    """Return how early the calls of a request come, the same on every node.

    The number is drawn by hashing the id of the request at the root of the
    calls, so that no caller has an advantage for long.

    >>> compute_precedence('9c41d07b') == compute_precedence('9c41d07b')
    True
    >>> 0 <= compute_precedence('harbour') <= MAX_PRECEDENCE
    True
    """
    return xxhash.xxh32_intdigest(root.encode()) & MAX_PRECEDENCE
