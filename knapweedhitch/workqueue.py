"""The queue in front of one upstream: who runs, who waits, who is refused at once.

Answers a burst over the capacity of an upstream: work that cannot be served in the time that its
caller has left is refused on arrival, and the most urgent work that can still be timely runs first.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from knapweedhitch.settings import AdmissionSettings

MS_PER_S = 1_000.0
# Weight of the newest service time in the mean.
MEAN_WEIGHT = 0.05
# The mean before any call has ended.
INITIAL_MEAN_MS = 50.0


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Hold what decides about one call; times are on the monotonic clock in milliseconds."""

    priority: int
    arrived_ms: float
    deadline_ms: float
    # The moment until which the answer is worth most; infinite when none is known.
    goal_ms: float = math.inf


class RateWindow:
    """Count the starts of the last second, so that no sliding second holds more than a limit."""

    def __init__(self) -> None:
        self._starts_ms: collections.deque[float] = collections.deque()

    def note(self, now_ms: float) -> None:
        """Count a start."""
        self._starts_ms.append(now_ms)
        self._trim(now_ms)

    def wait_ms(self, now_ms: float, per_s: float) -> float:
        """Return the time until another start keeps the limit, zero if it may be now."""
        self._trim(now_ms)
        if per_s == math.inf:
            return 0.0
        allowed = max(1, int(per_s))
        if len(self._starts_ms) < allowed:
            return 0.0
        return self._starts_ms[-allowed] + MS_PER_S - now_ms

    def _trim(self, now_ms: float) -> None:
        while self._starts_ms and self._starts_ms[0] <= now_ms - MS_PER_S:
            self._starts_ms.popleft()


class WorkQueue:
    """Decide about the calls to one upstream from its limit and its mean service time."""

    def __init__(self, cfg: AdmissionSettings) -> None:
        self._cfg = cfg
        self.limit = 1
        self.running = 0
        self.mean_ms = INITIAL_MEAN_MS
        self.waiting: list[Work] = []
        # How many times longer than usual work takes now, as the upstream says.
        self.slowdown = 1.0
        self._starts = RateWindow()
        self._cold_until_ms = -math.inf
        self._cold_per_s = math.inf

    def set_cold(self, until_ms: float, per_s: float) -> None:
        """Limit the starts of each second until the upstream is warm."""
        self._cold_until_ms, self._cold_per_s = until_ms, per_s

    def is_cold(self, now_ms: float) -> bool:
        """Tell whether the starts are limited now."""
        return now_ms < self._cold_until_ms

    def start_wait_ms(self, now_ms: float) -> float:
        """Return how long the limit of a cold upstream holds the next start back."""
        return self._starts.wait_ms(now_ms, self._cold_per_s) if self.is_cold(now_ms) else 0.0

    def has_room(self, now_ms: float) -> bool:
        """Tell whether a call may start now."""
        return self.running < self.limit and self.start_wait_ms(now_ms) <= 0

    def expected_wait_ms(self, priority: int, now_ms: float) -> float:
        """Return the time until a call that arrives now would start."""
        if self.has_room(now_ms) and not self.waiting:
            return 0.0
        ahead = sum(1 for work in self.waiting if work.priority <= priority)
        rounds = (ahead + 1) / max(1, self.limit)
        wait_ms = rounds * self.mean_ms if self.running >= self.limit else 0.0
        if self.is_cold(now_ms):
            wait_ms = max(wait_ms, self.start_wait_ms(now_ms) + ahead * MS_PER_S / self._cold_per_s)
        return wait_ms

    def may_wait(self, work: Work, now_ms: float) -> bool:
        """Tell whether a call that arrives now is likely to be answered in time."""
        if len(self.waiting) >= self._cfg.max_queue:
            return False
        done_ms = now_ms + self.expected_wait_ms(work.priority, now_ms) + self.mean_ms
        return done_ms <= min(work.deadline_ms, work.goal_ms)

    def start(self, now_ms: float) -> None:
        """Count a call that starts."""
        self.running += 1
        self._starts.note(now_ms)

    def finish(self, service_ms: float | None) -> None:
        """Count a call that ended, with its service time if that tells something."""
        self.running -= 1
        if service_ms is not None:
            self.mean_ms += MEAN_WEIGHT * (service_ms - self.mean_ms)

    def next(self, now_ms: float) -> Work | None:
        """Return the call to start now and drop it from the queue; None if none may start."""
        if not self.waiting or not self.has_room(now_ms):
            return None
        best = min(self.waiting, key=lambda work: self._order(work, now_ms))
        self.waiting.remove(best)
        return best

    def _order(self, work: Work, now_ms: float) -> tuple[bool, int, float]:
        is_late = now_ms + self.mean_ms > work.goal_ms
        return is_late, work.priority, work.arrived_ms

    def hopeless(self, now_ms: float) -> list[Work]:
        """Drop and return the calls whose deadline passes before they could be answered."""
        limit_ms = now_ms + self._cfg.min_service_ms
        late = [work for work in self.waiting if work.deadline_ms < limit_ms]
        for work in late:
            self.waiting.remove(work)
        return late
