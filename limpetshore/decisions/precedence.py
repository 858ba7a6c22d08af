"""Compute one precedence for all calls that are made for one request.

A request that needs six calls fails if one of them is refused. If guards refuse
a tenth of their calls independently, half of such requests fail; if all guards
refuse the calls of the same requests, only a tenth fail.
"""

import xxhash

MAX_PRECEDENCE = 255


def compute_precedence(root_request_id: str) -> int:
    """Return the precedence of a request's calls, the same on every node.

    Among the queued calls of a customer, those of lowest precedence are
    displaced first. The precedence is a hash of the id of the request at the
    root of the call graph, so that no caller has a lasting advantage.

    >>> compute_precedence('9c41d07b') == compute_precedence('9c41d07b')
    True
    >>> 0 <= compute_precedence('harbour') <= MAX_PRECEDENCE
    True
    """
    return xxhash.xxh32_intdigest(root_request_id.encode()) & MAX_PRECEDENCE
