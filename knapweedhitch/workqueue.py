"""The admission queue of one upstream, which sheds load when a burst exceeds its capacity.

Calls that cannot finish within their deadline are refused on arrival, and calls that can still meet
their latency objective run first, in order of priority.
"""

from __future__ import annotations

import dataclasses
import math

from knapweedhitch.clock import MS_PER_S
from knapweedhitch.pacing import StartPacer
from knapweedhitch.ratewindow import RateWindow
from knapweedhitch.settings import AdmissionSettings
from knapweedhitch.shortage import Shortage, YieldReason

# EWMA weight of the newest service time.
MEAN_WEIGHT = 0.05
# Long enough for several starts, short enough to follow a burst.
RATE_WINDOW_MS = 500.0
# A call that arrives after its latency objective may wait for this share of its deadline.
LATE_WAIT_SHARE = 0.5
MAX_PRIORITIES = 64
MAX_ROUTES = 1_000
# Calls may wait for the end of a slow period if the slowdown is at least this factor.
MIN_SLOWDOWN = 2.0
# After this many times the usual slow period, the machine is expected to stay slow.
MAX_SLOW_PERIODS = 3
# Share of slow periods that end at the expected time.
ON_TIME_END_SHARE = 0.75
# A slowdown of a shared machine has probably ended if its report is older.
MAX_LOAD_AGE_MS = 150.0
# After this time, a report no longer tells which calls run.
MAX_UNKNOWN_AGE_MS = 500.0
# Mean service time that is assumed before any call has ended.
INITIAL_MEAN_MS = 50.0


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Work:
    """Describe one call to be scheduled; times are on the monotonic clock.

    Compares by identity, because two calls may have the same fields.
    """

    priority: int
    arrived_ms: float
    deadline_ms: float
    # The latency objective as a point in time.
    objective_ms: float
    # Name of the route; calls of one route have similar service times.
    route: str = ""
    # Name of the customer; empty for calls without one.
    customer: str = ""
    # Whether a running request makes this call.
    is_call: bool = False


def is_late_on_arrival(work: Work) -> bool:
    """Return whether the latency objective had passed on arrival, as for a caller that retries."""
    return work.objective_ms <= work.arrived_ms


class WorkQueue:
    """Schedule the calls to one upstream by its concurrency limit and mean service times."""

    def __init__(self, cfg: AdmissionSettings) -> None:
        self._cfg = cfg
        self.limit = 1
        self.running = 0
        self.mean_ms = INITIAL_MEAN_MS
        self.waiting: list[Work] = []
        self._start_rates: dict[int, RateWindow] = {}
        self._mean_ms_by_route: dict[str, float] = {}
        self._nonempty_since_ms: float | None = None
        # The reported ratio of current to normal service time, the start of the slow period, and
        # the time of the report.
        self.slowdown = 1.0
        self._slow_since_ms = math.inf
        self._slowdown_reported_ms = -math.inf
        self._starts = RateWindow(MS_PER_S)
        self._cold_until_ms = -math.inf
        self._cold_per_s = math.inf
        # Follows the requests per second that the upstream has named as its limit.
        self._pacer = StartPacer()
        # Slots not taken by calls unknown to this queue, and when that was reported.
        self._slots_left = 0
        self._slots_left_ms = -math.inf
        self._shortage = Shortage(cfg.shortage_window_ms) if cfg.shortage_window_ms else None

    def set_rate_limit(
        self, per_s: float | None, now_ms: float, unknown_before_ms: float = -math.inf
    ) -> None:
        """Set the starts per second that the upstream allows, None if it names no limit.

        Until `unknown_before_ms`, it may have had calls that this queue does not know.
        """
        self._pacer.set_rate(per_s, now_ms, unknown_before_ms)

    def starts_per_s(self, now_ms: float) -> float:
        """Return the rate of starts in the last second."""
        return self._starts.per_ms(now_ms) * MS_PER_S

    def set_slowdown(self, slowdown: float, now_ms: float) -> None:
        """Set the reported slowdown of the upstream's machine."""
        if slowdown < MIN_SLOWDOWN:
            self._slow_since_ms = math.inf
        elif self.slowdown < MIN_SLOWDOWN:
            self._slow_since_ms = now_ms
        self.slowdown, self._slowdown_reported_ms = slowdown, now_ms

    def pause_ms(self, work: Work, now_ms: float) -> float:
        """Return how long a call should wait for the end of a slow period, zero to start now.

        The speed of the machine at the start of a call determines its service time, so a long call
        finishes earlier if it starts after the slow period.
        """
        period_ms = self._cfg.slow_moment_ms
        elapsed_ms = now_ms - self._slow_since_ms
        if not 0 <= elapsed_ms < MAX_SLOW_PERIODS * period_ms:
            return 0.0
        if now_ms - self._slowdown_reported_ms > MAX_LOAD_AGE_MS:
            return 0.0
        left_ms = period_ms - elapsed_ms % period_ms
        service_ms = self.service_ms(work)
        gain_ms = (self.slowdown - 1.0) * service_ms * ON_TIME_END_SHARE
        is_timely = now_ms + left_ms + service_ms < work.deadline_ms
        return left_ms if left_ms < gain_ms and is_timely else 0.0

    def expected_slowdown(self, work: Work, now_ms: float) -> float:
        """Return the ratio of expected to normal time for a call that arrives now."""
        pause_ms = self.pause_ms(work, now_ms)
        return 1.0 + pause_ms / self.service_ms(work) if pause_ms else self.slowdown

    def set_cold(self, until_ms: float, per_s: float) -> None:
        """Limit the starts per second until the upstream is warm."""
        self._cold_until_ms, self._cold_per_s = until_ms, per_s

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the rate of starts is limited now."""
        return now_ms < self._cold_until_ms

    def start_wait_ms(self, now_ms: float) -> float:
        """Return the time until the rate limits of the upstream allow a start."""
        return self._rate_wait_ms(now_ms, ahead=0)

    def _rate_wait_ms(self, now_ms: float, ahead: int) -> float:
        """Return the time until the rate limits allow a start behind `ahead` queued calls."""
        wait_ms = self._pacer.wait_ms(now_ms, ahead)
        if self.is_cold(now_ms):
            wait_ms = max(wait_ms, self._cold_wait_ms(now_ms, ahead))
        return wait_ms

    def _cold_wait_ms(self, now_ms: float, ahead: int) -> float:
        """Return the time until the rate of a cold upstream allows a start behind `ahead` calls."""
        warm_in_ms = self._cold_until_ms - now_ms
        if self._cold_per_s <= 0:
            return warm_in_ms
        turn_ms = self._starts.wait_ms(now_ms, self._cold_per_s)
        return min(warm_in_ms, turn_ms + ahead * MS_PER_S / self._cold_per_s)

    def expected_rate_delay(self, work: Work, now_ms: float) -> float:
        """Return the wait for the rate limits in service times, for a call that arrives now."""
        wait_ms = self._rate_wait_ms(now_ms, self._count_ahead(work, now_ms))
        return wait_ms / max(1.0, self.service_ms(work))

    def expected_delay(self, work: Work, now_ms: float) -> float:
        """Return the expected time of a call that arrives now relative to its service time.

        It excludes a change of speed, which `expected_slowdown` tells.
        """
        delay = self.expected_rate_delay(work, now_ms)
        if self._cfg.decline_for_queue:
            delay += self._slot_wait_ms(now_ms, work) / max(1.0, self.service_ms(work))
        return delay

    def record_arrival(self, work: Work, now_ms: float) -> None:
        """Record a call that asks for a slot."""
        if self._shortage is not None and not is_late_on_arrival(work):
            self._shortage.record_arrival(work, self.service_ms(work), now_ms)

    def record_refusal(self, work: Work, now_ms: float) -> None:
        """Record that a call was refused on arrival."""
        if self._shortage is not None and not is_late_on_arrival(work):
            self._shortage.record_refusal(work, now_ms)

    def yield_reason(self, work: Work, now_ms: float) -> YieldReason | None:
        """Return why a call leaves its place to others, None if it need not."""
        if self._shortage is None or self.running < self.limit - 1:
            return None
        reason = self._shortage.yield_reason(work, now_ms)
        # A slot that is left free for an urgent call is often left unused.
        is_free = reason is YieldReason.LESS_URGENT and self.running < self.limit
        return None if is_free else reason

    def may_start(self, work: Work, now_ms: float) -> bool:
        """Return whether a call that arrives now may start without a wait."""
        if self.waiting or not self.has_room(now_ms) or self.pause_ms(work, now_ms):
            return False
        return self.yield_reason(work, now_ms) is None

    def has_room(self, now_ms: float) -> bool:
        """Return whether the limits allow a call to start now."""
        return self.running < self._usable_limit(now_ms) and self.start_wait_ms(now_ms) <= 0

    def set_slots_left(self, slots: int, now_ms: float) -> None:
        """Set how many slots are not taken by calls unknown to this queue.

        These are cancelled calls that still run, calls of an earlier process and of other senders.
        """
        self._slots_left, self._slots_left_ms = slots, now_ms

    def forget_slots_left(self) -> None:
        """Forget the report of an earlier start of the upstream."""
        self._slots_left_ms = -math.inf

    def awaits_report(self, now_ms: float) -> bool:
        """Return whether calls wait only for slots that unknown calls were reported to use."""
        return self._usable_limit(now_ms) <= self.running < self.limit

    def _usable_limit(self, now_ms: float) -> int:
        if now_ms - self._slots_left_ms > MAX_UNKNOWN_AGE_MS:
            return self.limit
        return min(self.limit, self._slots_left)

    def expected_wait_ms(self, now_ms: float, work: Work | None = None) -> float:
        """Return the expected queueing time of a call, or of one at the end of the queue."""
        pause_ms = self.pause_ms(work, now_ms) if work is not None else 0.0
        if self.has_room(now_ms) and not self.waiting:
            return pause_ms
        ahead = self._count_ahead(work, now_ms)
        wait_ms = self._slot_wait_ms(now_ms, work)
        return max(wait_ms, self._rate_wait_ms(now_ms, ahead), pause_ms)

    def _slot_wait_ms(self, now_ms: float, work: Work | None) -> float:
        """Return the expected time until a slot is free for a call."""
        if self.running < self._usable_limit(now_ms):
            return 0.0
        wait_ms = (self._count_ahead(work, now_ms) + 1) * self.mean_ms / max(1, self.limit)
        if work is not None and self._is_sustained(now_ms):
            wait_ms = max(wait_ms, self._overtaken_wait_ms(work, now_ms))
        return wait_ms

    def retry_after_ms(self, now_ms: float, work: Work) -> float:
        """Return the time after which a refused call is expected to find room."""
        wait_ms = self.expected_wait_ms(now_ms, work)
        if self.yield_reason(work, now_ms) is None:
            return max(1.0, wait_ms)
        # The slot that it left is taken for the length of another call.
        return max(wait_ms, self.mean_ms)

    def _count_ahead(self, work: Work | None, now_ms: float) -> int:
        """Return the number of queued calls that run before a call, all of them for None."""
        if work is None:
            return len(self.waiting)
        order = self._order(work, now_ms)
        return sum(1 for other in self.waiting if self._order(other, now_ms) <= order)

    def _is_sustained(self, now_ms: float) -> bool:
        """Return whether the queue has been non-empty for longer than a burst."""
        since_ms = self._nonempty_since_ms
        return since_ms is not None and now_ms - since_ms >= RATE_WINDOW_MS

    def _overtaken_wait_ms(self, work: Work, now_ms: float) -> float:
        """Return the expected wait from the rate at which calls of this priority start.

        The queue position alone underestimates it, because later calls of higher priority overtake.
        """
        rate = self._start_rates.get(work.priority)
        order = self._order(work, now_ms)
        same = sum(
            1
            for other in self.waiting
            if other.priority == work.priority and self._order(other, now_ms) <= order
        )
        per_ms = rate.per_ms(now_ms) if rate is not None else 1.0 / RATE_WINDOW_MS
        return (same + 1) / per_ms

    def enqueue(self, work: Work) -> None:
        """Add a call to the queue."""
        if not self.waiting:
            self._nonempty_since_ms = work.arrived_ms
        self.waiting.append(work)

    def drop(self, work: Work) -> None:
        """Remove a call from the queue if it is queued."""
        if work in self.waiting:
            self.waiting.remove(work)
        if not self.waiting:
            self._nonempty_since_ms = None

    def may_wait(self, work: Work, now_ms: float) -> bool:
        """Return whether a call that arrives now is likely to finish in time."""
        if len(self.waiting) >= self._cfg.max_queue:
            return False
        if self.yield_reason(work, now_ms) is not None:
            return False
        done_ms = now_ms + self.expected_wait_ms(now_ms, work) + self.service_ms(work)
        return done_ms <= min(work.deadline_ms, self._finish_by_ms(work))

    def start(self, now_ms: float, priority: int = 0) -> None:
        """Record the start of a call."""
        self.running += 1
        self._starts.record_start(now_ms)
        self._pacer.record_start(now_ms)
        if priority not in self._start_rates and len(self._start_rates) < MAX_PRIORITIES:
            self._start_rates[priority] = RateWindow(RATE_WINDOW_MS)
        if priority in self._start_rates:
            self._start_rates[priority].record_start(now_ms)

    def finish(self, service_ms: float | None, route: str = "") -> None:
        """Record the end of a call, with its service time unless it is not representative."""
        self.running -= 1
        if service_ms is None:
            return
        self.mean_ms += MEAN_WEIGHT * (service_ms - self.mean_ms)
        mean_ms = self._mean_ms_by_route.get(route)
        if mean_ms is not None:
            self._mean_ms_by_route[route] = mean_ms + MEAN_WEIGHT * (service_ms - mean_ms)
        elif len(self._mean_ms_by_route) < MAX_ROUTES:
            self._mean_ms_by_route[route] = service_ms

    def service_ms(self, work: Work) -> float:
        """Return the mean service time of calls of the same route."""
        return self._mean_ms_by_route.get(work.route, self.mean_ms)

    def next(self, now_ms: float) -> Work | None:
        """Remove and return the call to start now, or None if none may start."""
        if not self.waiting or not self.has_room(now_ms):
            return None
        eligible = [work for work in self.waiting if not self.pause_ms(work, now_ms)]
        if not eligible:
            return None
        first = min(eligible, key=lambda work: self._order(work, now_ms))
        self.drop(first)
        return first

    def _order(self, work: Work, now_ms: float) -> tuple[bool, bool, int, float]:
        # Calls that can still meet their objective run before late ones.
        is_over_share = self._shortage is not None and self._shortage.is_over_share(work, now_ms)
        return self._is_late(work, now_ms), is_over_share, work.priority, work.objective_ms

    def _is_late(self, work: Work, now_ms: float) -> bool:
        return is_late_on_arrival(work) or self._misses_wait_limit(work, now_ms)

    def _misses_wait_limit(self, work: Work, now_ms: float) -> bool:
        return now_ms + self.service_ms(work) > self._finish_by_ms(work)

    def _finish_by_ms(self, work: Work) -> float:
        """Return the time by which a call must finish to be worth queueing."""
        if is_late_on_arrival(work):
            # Late calls only use the slots that calls within their objective leave free.
            return work.arrived_ms + LATE_WAIT_SHARE * (work.deadline_ms - work.arrived_ms)
        return max(work.objective_ms, work.arrived_ms + self._cfg.min_patience_ms)

    def drop_overdue(self, now_ms: float) -> list[Work]:
        """Remove and return the calls to refuse now.

        These are calls without enough time left. In a lasting overload they also include calls that
        have become late, and the oldest calls of a queue that is longer than the limit.
        """
        limit_ms = now_ms + self._cfg.min_service_ms
        overdue = [work for work in self.waiting if work.deadline_ms < limit_ms]
        if self._is_sustained(now_ms):
            overdue += [w for w in self.waiting if self._misses_wait_limit(w, now_ms)]
            overdue += self._oldest_excess(now_ms)
        dropped = list(dict.fromkeys(overdue))
        for work in dropped:
            self.drop(work)
        return dropped

    def _oldest_excess(self, now_ms: float) -> list[Work]:
        """Return the oldest calls of each route beyond the limit, so that newer calls are in time.

        A queue longer than one service time makes every call wait until it barely meets its
        objective, so that slightly more load makes all calls late.
        """
        by_route: dict[str, list[Work]] = {}
        for work in self.waiting:
            if not self._is_late(work, now_ms):
                by_route.setdefault(work.route, []).append(work)
        newest_first = (sorted(k, key=lambda w: -w.objective_ms) for k in by_route.values())
        return [work for works in newest_first for work in works[max(1, self.limit) :]]
