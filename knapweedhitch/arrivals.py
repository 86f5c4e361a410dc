"""When the bytes of a connection arrived."""

from __future__ import annotations

from collections import deque

import trio

# Reads beyond these are taken together with the next later one.
MAX_READS = 64


class Arrivals:
    """Track the arrival of bytes by their position in a connection."""

    def __init__(self) -> None:
        self.received_bytes = 0
        # The position after the last byte of each read, and its time on the trio clock.
        self._reads: deque[tuple[int, float]] = deque([(0, trio.current_time())], MAX_READS)

    def record(self, n_bytes: int) -> None:
        """Record a read."""
        self.received_bytes += n_bytes
        self._reads.append((self.received_bytes, trio.current_time()))

    def time_of(self, end: int) -> float:
        """Return when the bytes up to a position had arrived; forgets those before it."""
        while len(self._reads) > 1 and self._reads[0][0] < end:
            self._reads.popleft()
        return self._reads[0][1]
