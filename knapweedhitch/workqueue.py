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
# Long enough for several starts, short enough to follow a burst.
RATE_WINDOW_MS = 500.0
# The share of its deadline for which a call waits whose objective had passed when it came.
LATE_PATIENCE_SHARE = 0.5
MAX_PRIORITIES = 64
MAX_KINDS = 1_000
# From this slowdown on a call may wait for the end of the slow moment.
SLOW_FACTOR = 2.0
# A machine that has been slow for this many slow moments is taken to stay slow.
MAX_SLOW_MOMENTS = 3
# The share of slow moments that end when they are expected to.
SLOW_END_SHARE = 0.75
# An older slowdown of a shared machine is probably over.
MAX_LOAD_AGE_MS = 150.0
# The mean before any call has ended.
INITIAL_MEAN_MS = 50.0


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Work:
    """Hold what decides about one call; times are on the monotonic clock in milliseconds.

    Two calls may be alike in all fields, so only the same object is equal.
    """

    priority: int
    arrived_ms: float
    deadline_ms: float
    # The moment until which the answer is worth most.
    goal_ms: float
    # Calls of one kind take about the same time.
    kind: str = ""


def came_late(work: Work) -> bool:
    """Tell whether the objective of a call had passed when it came, as its caller came back."""
    return work.goal_ms <= work.arrived_ms


class RateWindow:
    """Count the starts of a sliding window."""

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._starts_ms: collections.deque[float] = collections.deque()

    def note(self, now_ms: float) -> None:
        """Count a start."""
        self._starts_ms.append(now_ms)
        self._trim(now_ms)

    def per_ms(self, now_ms: float) -> float:
        """Return the starts for each millisecond of the window, at least one in the window."""
        self._trim(now_ms)
        return max(1, len(self._starts_ms)) / self._window_ms

    def wait_ms(self, now_ms: float, allowed: float) -> float:
        """Return the time until another start keeps the window within a number of starts."""
        self._trim(now_ms)
        if allowed == math.inf:
            return 0.0
        allowed = max(1, int(allowed))
        if len(self._starts_ms) < allowed:
            return 0.0
        return self._starts_ms[-allowed] + self._window_ms - now_ms

    def _trim(self, now_ms: float) -> None:
        while self._starts_ms and self._starts_ms[0] <= now_ms - self._window_ms:
            self._starts_ms.popleft()


class WorkQueue:
    """Decide about the calls to one upstream from its limit and its mean service time."""

    def __init__(self, cfg: AdmissionSettings) -> None:
        self._cfg = cfg
        self.limit = 1
        self.running = 0
        self.mean_ms = INITIAL_MEAN_MS
        self.waiting: list[Work] = []
        self._rates: dict[int, RateWindow] = {}
        self._means_ms: dict[str, float] = {}
        self._queued_since_ms: float | None = None
        # How many times longer than usual work takes now, as the upstream says, since when it
        # is slow, and when it said so.
        self.slowdown = 1.0
        self._slow_since_ms = math.inf
        self._told_ms = -math.inf
        self._starts = RateWindow(MS_PER_S)
        self._cold_until_ms = -math.inf
        self._cold_per_s = math.inf

    def set_slowdown(self, slowdown: float, now_ms: float) -> None:
        """Take the present slowdown of the upstream's machine."""
        if slowdown < SLOW_FACTOR:
            self._slow_since_ms = math.inf
        elif self.slowdown < SLOW_FACTOR:
            self._slow_since_ms = now_ms
        self.slowdown, self._told_ms = slowdown, now_ms

    def pause_ms(self, work: Work, now_ms: float) -> float:
        """Return how long a call should wait for the end of a slow moment, zero to start now.

        The time of a call is settled by the speed at its start, so a long call ends sooner if it
        starts behind the slow moment.
        """
        moment_ms = self._cfg.slow_moment_ms
        slow_ms = now_ms - self._slow_since_ms
        if not 0 <= slow_ms < MAX_SLOW_MOMENTS * moment_ms:
            return 0.0
        if now_ms - self._told_ms > MAX_LOAD_AGE_MS:
            return 0.0
        left_ms = moment_ms - slow_ms % moment_ms
        service_ms = self.service_ms(work)
        gain_ms = (self.slowdown - 1.0) * service_ms * SLOW_END_SHARE
        is_timely = now_ms + left_ms + service_ms < work.deadline_ms
        return left_ms if left_ms < gain_ms and is_timely else 0.0

    def slowdown_of(self, work: Work, now_ms: float) -> float:
        """Return how many times longer a call takes that arrives now, with its pause."""
        pause_ms = self.pause_ms(work, now_ms)
        return 1.0 + pause_ms / self.service_ms(work) if pause_ms else self.slowdown

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

    def expected_wait_ms(self, now_ms: float, work: Work | None = None) -> float:
        """Return the time until a call would start now; without one, behind all that wait."""
        pause_ms = self.pause_ms(work, now_ms) if work is not None else 0.0
        if self.has_room(now_ms) and not self.waiting:
            return pause_ms
        ahead = len(self.waiting)
        if work is not None:
            order = self._order(work, now_ms)
            ahead = sum(1 for other in self.waiting if self._order(other, now_ms) <= order)
        wait_ms = 0.0
        if self.running >= self.limit:
            wait_ms = (ahead + 1) * self.mean_ms / max(1, self.limit)
            if work is not None and self._is_lasting(now_ms):
                wait_ms = max(wait_ms, self._overtaken_wait_ms(work, now_ms))
        if self.is_cold(now_ms):
            wait_ms = max(wait_ms, self.start_wait_ms(now_ms) + ahead * MS_PER_S / self._cold_per_s)
        return max(wait_ms, pause_ms)

    def _is_lasting(self, now_ms: float) -> bool:
        """Tell whether an overload has lasted for longer than a burst."""
        since_ms = self._queued_since_ms
        return since_ms is not None and now_ms - since_ms >= RATE_WINDOW_MS

    def _overtaken_wait_ms(self, work: Work, now_ms: float) -> float:
        """Return the wait at the rate at which calls of this priority start.

        More urgent calls that arrive later overtake a waiting one, so its place tells too little.
        """
        rate = self._rates.get(work.priority)
        order = self._order(work, now_ms)
        same = sum(
            1
            for other in self.waiting
            if other.priority == work.priority and self._order(other, now_ms) <= order
        )
        per_ms = rate.per_ms(now_ms) if rate is not None else 1.0 / RATE_WINDOW_MS
        return (same + 1) / per_ms

    def enqueue(self, work: Work) -> None:
        """Let a call wait."""
        if not self.waiting:
            self._queued_since_ms = work.arrived_ms
        self.waiting.append(work)

    def drop(self, work: Work) -> None:
        """Take a call out of the queue if it waits there."""
        if work in self.waiting:
            self.waiting.remove(work)
        if not self.waiting:
            self._queued_since_ms = None

    def may_wait(self, work: Work, now_ms: float) -> bool:
        """Tell whether a call that arrives now is likely to be answered in time."""
        if len(self.waiting) >= self._cfg.max_queue:
            return False
        done_ms = now_ms + self.expected_wait_ms(now_ms, work) + self.service_ms(work)
        return done_ms <= min(work.deadline_ms, self._patience_ms(work))

    def start(self, now_ms: float, priority: int = 0) -> None:
        """Count a call that starts."""
        self.running += 1
        self._starts.note(now_ms)
        if priority not in self._rates and len(self._rates) < MAX_PRIORITIES:
            self._rates[priority] = RateWindow(RATE_WINDOW_MS)
        if priority in self._rates:
            self._rates[priority].note(now_ms)

    def finish(self, service_ms: float | None, kind: str = "") -> None:
        """Count a call that ended, with its service time if that tells something."""
        self.running -= 1
        if service_ms is None:
            return
        self.mean_ms += MEAN_WEIGHT * (service_ms - self.mean_ms)
        known = self._means_ms.get(kind)
        if known is not None:
            self._means_ms[kind] = known + MEAN_WEIGHT * (service_ms - known)
        elif len(self._means_ms) < MAX_KINDS:
            self._means_ms[kind] = service_ms

    def service_ms(self, work: Work) -> float:
        """Return how long calls of this kind take on average."""
        return self._means_ms.get(work.kind, self.mean_ms)

    def next(self, now_ms: float) -> Work | None:
        """Return the call to start now and drop it from the queue; None if none may start."""
        if not self.waiting or not self.has_room(now_ms):
            return None
        ready = [work for work in self.waiting if not self.pause_ms(work, now_ms)]
        if not ready:
            return None
        best = min(ready, key=lambda work: self._order(work, now_ms))
        self.drop(best)
        return best

    def _order(self, work: Work, now_ms: float) -> tuple[bool, int, float]:
        # What is late already gives way to what can still be timely.
        return self._is_late(work, now_ms), work.priority, work.goal_ms

    def _is_late(self, work: Work, now_ms: float) -> bool:
        return came_late(work) or self._is_past_patience(work, now_ms)

    def _is_past_patience(self, work: Work, now_ms: float) -> bool:
        return now_ms + self.service_ms(work) > self._patience_ms(work)

    def _patience_ms(self, work: Work) -> float:
        """Return the moment until which a call may wait for its answer."""
        if came_late(work):
            # It can't be timely any more; it takes the slots that timely calls leave over.
            return work.arrived_ms + LATE_PATIENCE_SHARE * (work.deadline_ms - work.arrived_ms)
        return max(work.goal_ms, work.arrived_ms + self._cfg.min_patience_ms)

    def hopeless(self, now_ms: float) -> list[Work]:
        """Drop and return the calls that will not be answered: they are told at once.

        These are the calls without time left. In a lasting overload they are also those that have
        become late, and the oldest ones of a queue that is longer than the slots.
        """
        limit_ms = now_ms + self._cfg.min_service_ms
        over = [work for work in self.waiting if work.deadline_ms < limit_ms]
        if self._is_lasting(now_ms):
            over += [w for w in self.waiting if self._is_past_patience(w, now_ms)]
            over += self._displaced(now_ms)
        found = list(dict.fromkeys(over))
        for work in found:
            self.drop(work)
        return found

    def _displaced(self, now_ms: float) -> list[Work]:
        """Return the calls that leave the queue so that newer ones of their kind are timely.

        A queue that holds more than a service time makes all calls wait until they are barely
        timely, and a little more load makes all of them late.
        """
        kinds: dict[str, list[Work]] = {}
        for work in self.waiting:
            if not self._is_late(work, now_ms):
                kinds.setdefault(work.kind, []).append(work)
        newest_first = (sorted(k, key=lambda w: -w.goal_ms) for k in kinds.values())
        return [work for works in newest_first for work in works[max(1, self.limit) :]]
