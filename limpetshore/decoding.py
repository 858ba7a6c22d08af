"""Decode JSON that other programs have written."""

import re
from typing import Annotated, Any

import msgspec

# The largest integer that all writers of JSON can represent.
MAX_COUNT = 9_007_199_254_740_991
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]

MAX_DEPTH = 64
BRACKETS_OR_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
OPENING = (b'[', b'{')
CLOSING = (b']', b'}')


def decode_json(encoded: bytes, message_class: Any = Any) -> Any:
    """Return a decoded message; raise `msgspec.MsgspecError` if it is invalid.

    Values that are nested too deeply count as null, so that they do not hide
    the values beside them.
    """
    try:
        return msgspec.json.decode(encoded, type=message_class)
    except RecursionError:
        pruned = prune_nesting(encoded)
    return msgspec.json.decode(pruned, type=message_class)


def prune_nesting(encoded: bytes, max_depth: int = MAX_DEPTH) -> bytes:
    """Replace the values that are nested more deeply than `max_depth`.

    >>> prune_nesting(b'[1,[2,[3,"]"]],{"a":{"b":4}}]', 2)
    b'[1,[2,null],{"a":null}]'
    """
    kept: list[bytes] = []
    kept_to = 0
    depth = 0
    for found in BRACKETS_OR_STRING.finditer(encoded):
        token = found.group()
        if token in OPENING:
            if depth == max_depth:
                kept.append(encoded[kept_to : found.start()])
                kept.append(b'null')
            depth += 1
        elif token in CLOSING:
            depth -= 1
            if depth == max_depth:
                kept_to = found.end()
    if depth <= max_depth:
        kept.append(encoded[kept_to:])
    return b''.join(kept)
