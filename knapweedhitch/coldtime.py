"""Until when the upstream is cold, told by sources whose messages may arrive late."""

from __future__ import annotations

import math

# An upstream that is cold for longer says so again.
MAX_COLD_MS = 3_600_000.0


class ColdTime:
    """Track the end of a cold time, as told by health responses, heartbeats and assumptions.

    A heartbeat does not tell when it was sent, so it never ends what a response told. A response
    was made after its request was sent, so it replaces only what was learnt before that.
    """

    def __init__(self) -> None:
        self._response_until_ms = -math.inf
        # The end that the newest heartbeat told or that was assumed, and when it was learnt.
        self._other_until_ms = -math.inf
        self._other_learnt_ms = -math.inf

    @property
    def until_ms(self) -> float:
        """Return the end of the cold time."""
        return max(self._response_until_ms, self._other_until_ms)

    def record_heartbeat(self, cold_ms: float, now_ms: float) -> None:
        """Record the cold time in a heartbeat that is newer than all before it."""
        self._other_until_ms, self._other_learnt_ms = _end_ms(cold_ms, now_ms), now_ms

    def record_response(self, cold_ms: float, requested_ms: float, now_ms: float) -> None:
        """Record the cold time in the response to a health request."""
        self._response_until_ms = _end_ms(cold_ms, now_ms)
        if requested_ms >= self._other_learnt_ms:
            self._other_until_ms = -math.inf

    def assume(self, cold_ms: float, now_ms: float) -> None:
        """Assume a cold time for an upstream that may have started, until it tells otherwise."""
        self._other_until_ms = max(self._other_until_ms, _end_ms(cold_ms, now_ms))
        self._other_learnt_ms = now_ms

    def start_incarnation(self) -> None:
        """Let whatever the next incarnation tells replace what the one before it told."""
        self._other_until_ms, self._other_learnt_ms = self.until_ms, -math.inf
        self._response_until_ms = -math.inf


def _end_ms(cold_ms: float, now_ms: float) -> float:
    return now_ms + min(cold_ms, MAX_COLD_MS)
