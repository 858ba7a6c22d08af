"""Run a request that may not be repeated at most once, by its id."""

from collections import OrderedDict
from typing import NamedTuple

import xxhash

from limpetshore import clock

MS_PER_S = 1000
MIN_RANDOM_LENGTH = 8
MAX_ID_LENGTH = 128
MAX_REMEMBERED_IDS = 500_000


class RequestId(NamedTuple):
    """Hold a request id and its time of issue in wall-clock seconds."""

    text: str
    issued_at: float


def parse_request_id(text: str) -> RequestId | None:
    """Parse `<milliseconds since 1970>-<random>`; return None if malformed.

    >>> parse_request_id('1700000000000-k3v9x2a7').issued_at
    1700000000.0
    >>> parse_request_id('again') is None
    True
    """
    issued_ms, dash, random_part = text.partition('-')
    is_number = issued_ms.isascii() and issued_ms.isdigit()
    has_valid_length = (
        len(random_part) >= MIN_RANDOM_LENGTH and len(text) <= MAX_ID_LENGTH
    )
    if not (dash and is_number and has_valid_length):
        return None
    return RequestId(text, int(issued_ms) / MS_PER_S)


def rendezvous_rank(request_id: str, name: str) -> int:
    """Return the rank of a node for a request id; the highest is the owner.

    Rendezvous hashing (Thaler and Ravishankar, 1998): when a node is added or
    removed, only the ids owned by this node move.
    """
    return xxhash.xxh3_64_intdigest(f'{request_id}\0{name}'.encode())


def find_owner(request_id: str, names: list[str]) -> str | None:
    """Return the node that owns a request id, None if there are no nodes.

    >>> find_owner('1', ['b', 'a']) == find_owner('1', ['a', 'b'])
    True
    """
    return max(
        names, key=lambda name: rendezvous_rank(request_id, name), default=None
    )


class RequestDeduplicator:
    """Remember the ids of recent requests that may not be repeated.

    Whether an id issued before `known_since` has run is unknown, so such an id
    is refused as one that may have run.
    """

    def __init__(self, window_s: float, skew_s: float) -> None:
        """Refuse all ids issued before the start.

        Ids are remembered for `window_s`; wall clocks differ by at most
        `skew_s`. An earlier process may have run ids issued before now.
        """
        self.window_s = window_s
        self.skew_s = skew_s
        self.claims: OrderedDict[str, float] = OrderedDict()
        self.known_since = clock.wall_time() + skew_s

    def distrust_recent_ids(self, settle_s: float) -> None:
        """Refuse ids issued until `settle_s` from now.

        The earlier owner may run them until it has noticed the change.
        """
        self.known_since = max(
            self.known_since,
            clock.wall_time() + self.skew_s + settle_s,
        )

    def claim(self, request_id: RequestId) -> bool:
        """Record a request as run; return False if it may have run before."""
        now = clock.wall_time()
        self.evict_expired(now)
        is_claimed = request_id.text in self.claims
        is_too_old = request_id.issued_at < max(
            self.known_since,
            now - self.window_s + self.skew_s,
        )
        is_from_future = request_id.issued_at > now + self.skew_s
        if is_claimed or is_too_old or is_from_future:
            return False
        self.claims[request_id.text] = now
        return True

    def release(self, request_id: RequestId) -> None:
        """Remove the claim of a request that certainly did not run."""
        self.claims.pop(request_id.text, None)

    def evict_expired(self, now: float) -> None:
        """Remove the ids that are refused for their age alone.

        If the table is full, the oldest id is removed earlier, and all ids
        issued before `skew_s` after its claim are refused from then on.
        """
        while self.claims:
            oldest = next(iter(self.claims))
            is_recent = self.claims[oldest] > now - 2 * self.window_s
            if is_recent and len(self.claims) < MAX_REMEMBERED_IDS:
                return
            claimed_at = self.claims.pop(oldest)
            if is_recent:
                self.known_since = max(
                    self.known_since,
                    claimed_at + self.skew_s,
                )
