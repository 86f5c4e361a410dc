"""Limits on rates, of retries, hedges, bytes and events, and on bytes in memory."""

from __future__ import annotations

from collections.abc import Callable


class TokenBucket:
    """Limit a rate by tokens that refill at a constant rate up to the burst size."""

    def __init__(
        self, rate_per_s: float, burst: float, now_ms: Callable[[], float], *, full: bool = True
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._now_ms = now_ms
        self._tokens = burst if full else 0.0
        self._updated_ms = now_ms()

    @property
    def tokens(self) -> float:
        """Return the number of available tokens."""
        self._refill()
        return self._tokens

    def set_limits(self, rate_per_s: float, burst: float) -> None:
        """Change the refill rate and the burst size; tokens beyond the burst are lost."""
        self._refill()
        self.rate_per_s, self.burst = rate_per_s, burst
        self._tokens = min(burst, self._tokens)

    def deposit(self, n: float) -> None:
        """Add tokens, up to the burst."""
        self._refill()
        self._tokens = min(self.burst, self._tokens + n)

    def take(self, n: float = 1.0) -> bool:
        """Take n tokens and return True, or return False if fewer are available."""
        self._refill()
        if self._tokens < n:
            return False
        self._tokens -= n
        return True

    def _refill(self) -> None:
        now = self._now_ms()
        elapsed_ms = max(0.0, now - self._updated_ms)
        self._updated_ms = now
        self._tokens = min(self.burst, self._tokens + self.rate_per_s * elapsed_ms / 1_000.0)


class ByteBudget:
    """Limit the bytes that several users hold in memory together."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0

    def reserve(self, n_bytes: int) -> bool:
        """Reserve bytes and return True, or return False if they are over the limit."""
        if self.used_bytes + n_bytes > self.max_bytes:
            return False
        self.used_bytes += n_bytes
        return True

    def free(self, n_bytes: int) -> None:
        """Release reserved bytes."""
        self.used_bytes -= n_bytes
