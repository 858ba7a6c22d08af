"""Draw unguessable text without a system call for each."""

import os

POOL_BYTES = 4096


class RandomPool:
    """Hold bytes of the system's generator that were read ahead."""

    def __init__(self) -> None:
        """Start empty."""
        self.ahead = b''
        self.used = 0

    def take_hex(self, size: int) -> str:
        """Return `size` random bytes as hexadecimal text.

        >>> len(RandomPool().take_hex(8))
        16
        """
        if self.used + size > len(self.ahead):
            self.ahead = os.urandom(POOL_BYTES)
            self.used = 0
        start = self.used
        self.used += size
        return self.ahead[start : self.used].hex()


random_pool = RandomPool()
