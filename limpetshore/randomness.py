"""Generate unpredictable text without a system call for each piece."""

import os

POOL_BYTES = 4096


class RandomPool:
    """Buffer random bytes of the operating system."""

    def __init__(self) -> None:
        """Start empty; the first use fills the buffer."""
        self.buffer = b''
        self.offset = 0

    def take_hex(self, size: int) -> str:
        """Return `size` random bytes as hexadecimal digits.

        >>> len(RandomPool().take_hex(8))
        16
        """
        if self.offset + size > len(self.buffer):
            self.buffer = os.urandom(POOL_BYTES)
            self.offset = 0
        start = self.offset
        self.offset += size
        return self.buffer[start : self.offset].hex()


random_pool = RandomPool()
