"""Keep a request that may not be repeated from running twice."""

from collections import OrderedDict
from typing import NamedTuple

import xxhash

from limpetshore import clock

MS_IN_S = 1000
MIN_RANDOM_LENGTH = 8
MAX_ID_LENGTH = 128
IDS_REMEMBERED = 500_000


class RequestId(NamedTuple):
    """Hold a request id and its time of birth in wall-clock seconds."""

    text: str
    issued_at: float


def parse_request_id(text: str) -> RequestId | None:
    """Read `<milliseconds since 1970>-<random>`; return None if it is not.

    >>> parse_request_id('1700000000000-k3v9x2a7').issued_at
    1700000000.0
    >>> parse_request_id('again') is None
    True
    """
    issued_at, dash, chance = text.partition('-')
    is_number = issued_at.isascii() and issued_at.isdigit()
    is_sized = len(chance) >= MIN_RANDOM_LENGTH and len(text) <= MAX_ID_LENGTH
    if not (dash and is_number and is_sized):
        return None
    return RequestId(text, int(issued_at) / MS_IN_S)


def rank(request_id: str, name: str) -> int:
    """Return the rank of a server for a request id; the highest owns it.

    Rendezvous hashing (Thaler and Ravishankar, 1998): a change of the set of
    servers moves only the ids of the server that came or went.
    """
    return xxhash.xxh3_64_intdigest(f'{request_id}\0{name}'.encode())


def find_owner(request_id: str, names: list[str]) -> str | None:
    """Return which server a request id belongs to.

    >>> find_owner('1', ['b', 'a']) == find_owner('1', ['a', 'b'])
    True
    """
    return max(names, key=lambda name: rank(request_id, name), default=None)


class RequestDeduplicator:
    """Remember the ids of requests that may not be repeated.

    What happened to an id that was born before `known_since` is unknown, so
    the id is refused as one that may have run.
    """

    def __init__(self, window_s: float, skew_s: float) -> None:
        """Start knowing nothing of earlier ids."""
        self.window_s = window_s
        self.skew_s = skew_s
        self.seen: OrderedDict[str, float] = OrderedDict()
        self.known_since = clock.wall_time() + skew_s

    def distrust_recent_ids(self, settle_s: float) -> None:
        """Distrust ids that another server may run before it has settled."""
        self.known_since = max(
            self.known_since,
            clock.wall_time() + self.skew_s + settle_s,
        )

    def claim(self, request_id: RequestId) -> bool:
        """Note that a request runs; return False if it may have run before."""
        now = clock.wall_time()
        self.forget(now)
        is_known = request_id.text in self.seen
        is_too_old = request_id.issued_at < max(
            self.known_since,
            now - self.window_s + self.skew_s,
        )
        is_from_future = request_id.issued_at > now + self.skew_s
        if is_known or is_too_old or is_from_future:
            return False
        self.seen[request_id.text] = now
        return True

    def release(self, request_id: RequestId) -> None:
        """Forget a claim of a request that surely did not run."""
        self.seen.pop(request_id.text, None)

    def forget(self, now: float) -> None:
        """Drop ids that are refused for their age alone."""
        while self.seen:
            oldest = next(iter(self.seen))
            is_young = self.seen[oldest] > now - 2 * self.window_s
            if is_young and len(self.seen) < IDS_REMEMBERED:
                return
            claimed = self.seen.pop(oldest)
            if is_young:
                self.known_since = max(
                    self.known_since,
                    claimed + self.skew_s,
                )
