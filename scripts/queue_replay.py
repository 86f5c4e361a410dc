"""Replay loads beyond the capacity of a service on simulated time.

Entry nodes pick the least loaded gate of a sample by a report that is up to 50 ms old, and try up
to four gates. Each gate has the queue of the product; callers return after Retry-After.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable, Iterable

from knapweedhitch.workqueue import Work, WorkQueue

HOP_MS = 1.5
REPORT_INTERVAL_MS = 50.0
CANDIDATES = 6
MAX_TRIES = 4
MAX_DECLINES = 2
DECLINE_MARGIN = 0.5
TICK_MS = 20.0
# A shared machine is slow in this share of its periods.
SLOW_SHARE = 0.25
SLOW_FACTOR = 4.0
SLOW_PERIOD_MS = 300.0
# A refusal within this time after the request was sent counts as one on arrival.
ARRIVAL_MS = 50.0
RESULTS = ("timely", "late", "refused", "refused after a wait", "expired", "call refused")

QueueFactory = Callable[[], WorkQueue]


@dataclasses.dataclass(frozen=True)
class CallKind:
    """Describe the calls that a running request makes, one after the other."""

    service: str
    times: int
    work_ms: float
    objective_ms: float
    deadline_ms: float
    priority: int
    share: float = 0.7


@dataclasses.dataclass(frozen=True)
class Surge:
    """Multiply the rate of a kind, or of a customer, in a span of time."""

    start_ms: float
    end_ms: float
    factor: float
    kind: str = ""
    customer: str = ""


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """Describe one kind of request; times are in milliseconds."""

    name: str
    service: str
    per_s: float
    work_ms: float
    objective_ms: float
    deadline_ms: float
    priority: int
    value: float = 1.0
    retries: int = 1
    calls: CallKind | None = None


@dataclasses.dataclass(frozen=True)
class Load:
    """Describe a load; `services` maps a service to its gates and the limit of each."""

    services: dict[str, tuple[int, int]]
    kinds: tuple[RequestKind, ...]
    surges: tuple[Surge, ...] = ()
    seconds: float = 20.0
    # Share of each customer in the requests of every kind, and its own kinds if not all.
    customers: tuple[tuple[str, float], ...] = (("", 1.0),)
    customer_kinds: tuple[tuple[str, str], ...] = ()
    # A customer whose own priority is above that of all kinds.
    urgent: str = ""

    def is_surge(self, now_ms: float) -> bool:
        """Return whether a surge goes on."""
        return any(surge.start_ms <= now_ms < surge.end_ms for surge in self.surges)


@dataclasses.dataclass(eq=False)
class Request:
    """Track one request, or one call of a running request."""

    name: str
    service: str
    customer: str
    priority: int
    work_ms: float
    first_ms: float
    objective_ms: float
    deadline_ms: float
    retries: int
    on_end: Callable[[Request, str, float], None]
    calls: CallKind | None = None
    tried: set[int] = dataclasses.field(default_factory=set)
    tries: int = 0
    declines: int = 0
    sent_ms: float = 0.0
    waited: bool = False


class Gate:
    """Hold the queue of one upstream and the speed of its machine."""

    def __init__(self, queue: WorkQueue, limit: int, rng: random.Random) -> None:
        self.queue = queue
        self.queue.limit = limit
        self.requests: dict[int, Request] = {}
        self.in_flight = 0
        self.wait_ms = 0.0
        self._rng = rng
        self._slow_periods: dict[int, bool] = {}

    def slowdown(self, now_ms: float) -> float:
        """Return the slowdown of work that starts now."""
        period = int(now_ms // SLOW_PERIOD_MS)
        if period not in self._slow_periods:
            self._slow_periods[period] = self._rng.random() < SLOW_SHARE
        return SLOW_FACTOR if self._slow_periods[period] else 1.0

    def report(self, now_ms: float) -> None:
        """Refresh what entry nodes know of this gate."""
        self.in_flight = self.queue.running + len(self.queue.waiting)
        self.wait_ms = self.queue.expected_wait_ms(now_ms)

    def score(self, now_ms: float) -> float:
        """Return the expected time by the last report, in service times."""
        used = (self.in_flight + 1.0) / self.queue.limit
        slowdown = self.slowdown(now_ms - REPORT_INTERVAL_MS / 2)
        return slowdown * (1.0 + max(0.0, used - 1.0)) + 0.25 * used + self.wait_ms / 150.0


class ShortageReplay:
    """Replay a load and count the results by kind and by customer."""

    def __init__(self, load: Load, make_queue: QueueFactory, seed: int) -> None:
        self.load = load
        self.results: Counter[tuple[str, str]] = Counter()
        self.by_customer: Counter[tuple[str, str]] = Counter()
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._numbers = itertools.count()
        self.gates: dict[str, list[Gate]] = {
            service: [Gate(make_queue(), limit, self._rng) for _ in range(count)]
            for service, (count, limit) in load.services.items()
        }

    def run(self) -> ShortageReplay:
        """Replay the load and all that follows from it; return this replay."""
        for gates in self.gates.values():
            for gate in gates:
                self._at(self._rng.uniform(0, REPORT_INTERVAL_MS), self._report, gate)
                self._at(self._rng.uniform(0, TICK_MS), self._tick, gate)
        for kind in self.load.kinds:
            for customer, share in self.load.customers:
                self._schedule_arrivals(kind, customer, share)
        end_ms = self.load.seconds * 1_000 + 6_000
        while self._events and self._events[0][0] <= end_ms:
            now_ms, _, fn, args = heapq.heappop(self._events)
            fn(now_ms, *args)
        return self

    def share(self, name: str, *results: str) -> float:
        """Return the share of the requests of a kind with one of these results."""
        return _share(self.results, name, results)

    def customer_share(self, name: str, *results: str) -> float:
        """Return the share of the requests of a customer with one of these results."""
        return _share(self.by_customer, name, results)

    def _schedule_arrivals(self, kind: RequestKind, customer: str, share: float) -> None:
        own_kinds = [name for who, name in self.load.customer_kinds if who == customer]
        if own_kinds and kind.name not in own_kinds:
            return
        at_ms = 0.0
        while True:
            rate = kind.per_s * share * self._factor(kind, customer, at_ms)
            at_ms += self._rng.expovariate(rate / 1_000) if rate else 1_000.0
            if at_ms >= self.load.seconds * 1_000:
                return
            self._at(at_ms, self._arrive, kind, customer)

    def _factor(self, kind: RequestKind, customer: str, now_ms: float) -> float:
        factor = 1.0
        for surge in self.load.surges:
            is_meant = surge.kind in ("", kind.name) and surge.customer in ("", customer)
            if is_meant and surge.start_ms <= now_ms < surge.end_ms:
                factor *= surge.factor
        return factor

    def _at(self, at_ms: float, fn: Callable[..., None], *args: object) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), fn, args))

    def _report(self, now_ms: float, gate: Gate) -> None:
        gate.report(now_ms)
        self._at(now_ms + REPORT_INTERVAL_MS, self._report, gate)

    def _tick(self, now_ms: float, gate: Gate) -> None:
        gate.queue.set_slowdown(gate.slowdown(now_ms), now_ms)
        if gate.queue.waiting:
            self._dispatch(now_ms, gate)
        self._at(now_ms + TICK_MS, self._tick, gate)

    def _arrive(self, now_ms: float, kind: RequestKind, customer: str) -> None:
        priority = 0 if customer and customer == self.load.urgent else kind.priority
        request = Request(
            kind.name, kind.service, customer, priority,
            kind.work_ms * self._rng.uniform(0.7, 1.3), now_ms, now_ms + kind.objective_ms,
            now_ms + kind.deadline_ms, kind.retries, self._end_request, kind.calls,
        )  # fmt: skip
        self._send(now_ms, request)

    def _end_request(self, request: Request, result: str, now_ms: float) -> None:
        self.results[request.name, result] += 1
        if self.load.is_surge(request.first_ms):
            self.by_customer[request.customer, result] += 1

    def _send(self, now_ms: float, request: Request) -> None:
        request.sent_ms, request.waited = now_ms, False
        request.tried.clear()
        request.tries = request.declines = 0
        self._try_next(now_ms, request, 100.0)

    def _try_next(self, now_ms: float, request: Request, retry_after_ms: float) -> None:
        gates = self.gates[request.service]
        untried = [n for n in range(len(gates)) if n not in request.tried]
        if not untried or request.tries >= MAX_TRIES:
            self._refuse(now_ms, request, retry_after_ms)
            return
        sample = self._rng.sample(untried, min(CANDIDATES, len(untried)))
        scores = sorted((gates[n].score(now_ms), self._rng.random(), n) for n in sample)
        chosen = scores[0][2]
        decline_above = math.inf
        if request.tries == request.declines < MAX_DECLINES and len(scores) > 1:
            decline_above = scores[1][0] + DECLINE_MARGIN
        request.tried.add(chosen)
        request.tries += 1
        self._at(now_ms + HOP_MS, self._admit, request, gates[chosen], chosen, decline_above)

    def _admit(
        self, now_ms: float, request: Request, gate: Gate, number: int, decline_above: float
    ) -> None:
        queue = gate.queue
        queue.set_slowdown(gate.slowdown(now_ms), now_ms)
        work = Work(
            request.priority, now_ms, request.deadline_ms,
            max(now_ms, min(request.objective_ms, request.deadline_ms)), request.name,
            request.customer, request.name.startswith("call of "),
        )  # fmt: skip
        if work.deadline_ms <= now_ms:
            self._finish(now_ms, request, "expired")
        elif _expected_delay(queue, work, now_ms) > decline_above:
            gate.report(now_ms)
            request.declines += 1
            request.tried.discard(number)
            self._try_next(now_ms + HOP_MS, request, 100.0)
        elif self._record_arrival(now_ms, queue, work) and queue.may_start(work, now_ms):
            self._start(now_ms, gate, work, request)
        elif queue.may_wait(work, now_ms):
            gate.requests[id(work)] = request
            queue.enqueue(work)
            self._at(work.deadline_ms, self._expire, gate, work)
            self._dispatch(now_ms, gate)
        else:
            queue.record_refusal(work, now_ms)
            retry_after_ms = max(1.0, queue.retry_after_ms(now_ms, work))
            self._try_next(now_ms + HOP_MS, request, retry_after_ms)

    @staticmethod
    def _record_arrival(now_ms: float, queue: WorkQueue, work: Work) -> bool:
        queue.record_arrival(work, now_ms)
        return True

    def _start(self, now_ms: float, gate: Gate, work: Work, request: Request) -> None:
        gate.queue.start(now_ms, work.priority)
        service_ms = request.work_ms * gate.slowdown(now_ms)
        self._at(now_ms + service_ms, self._make_calls, gate, work, request, now_ms, 0)

    def _make_calls(
        self, now_ms: float, gate: Gate, work: Work, request: Request, started_ms: float, made: int
    ) -> None:
        calls = request.calls
        if calls is None or made >= calls.times or self._rng.random() > calls.share:
            self._end_run(now_ms, gate, work, request, started_ms, "")
            return

        def on_end(ended: Request, result: str, end_ms: float) -> None:
            self.results[ended.name, result] += 1
            if result in ("timely", "late"):
                self._make_calls(end_ms, gate, work, request, started_ms, made + 1)
            else:
                self._end_run(end_ms, gate, work, request, started_ms, "call refused")

        call = Request(
            f"call of {request.name}", calls.service, request.customer, calls.priority,
            calls.work_ms * self._rng.uniform(0.7, 1.3), now_ms, now_ms + calls.objective_ms,
            now_ms + calls.deadline_ms, 0, on_end,
        )  # fmt: skip
        self._send(now_ms, call)

    def _end_run(
        self, now_ms: float, gate: Gate, work: Work, request: Request, started_ms: float, error: str
    ) -> None:
        gate.queue.finish(None if error else now_ms - started_ms, work.route)
        if now_ms > request.deadline_ms:
            error = error or "expired"
        self._finish(
            now_ms, request, error or ("timely" if now_ms <= request.objective_ms else "late")
        )
        self._dispatch(now_ms, gate)

    def _dispatch(self, now_ms: float, gate: Gate) -> None:
        for overdue in gate.queue.drop_overdue(now_ms):
            request = gate.requests.pop(id(overdue))
            request.waited = True
            retry_after_ms = max(1.0, gate.queue.retry_after_ms(now_ms, overdue))
            self._try_next(now_ms + HOP_MS, request, retry_after_ms)
        while (work := gate.queue.next(now_ms)) is not None:
            self._start(now_ms, gate, work, gate.requests.pop(id(work)))

    def _expire(self, now_ms: float, gate: Gate, work: Work) -> None:
        if work in gate.queue.waiting:
            gate.queue.drop(work)
            self._finish(now_ms, gate.requests.pop(id(work)), "expired")

    def _refuse(self, now_ms: float, request: Request, retry_after_ms: float) -> None:
        back_ms = now_ms + max(100.0, retry_after_ms) * self._rng.uniform(1.0, 1.1)
        if request.retries and back_ms + request.work_ms < request.deadline_ms:
            request.retries -= 1
            self._at(back_ms, self._send, request)
            return
        has_waited = request.waited and now_ms - request.sent_ms > ARRIVAL_MS
        self._finish(now_ms, request, "refused after a wait" if has_waited else "refused")

    @staticmethod
    def _finish(now_ms: float, request: Request, result: str) -> None:
        request.on_end(request, result, now_ms)


def _expected_delay(queue: WorkQueue, work: Work, now_ms: float) -> float:
    return queue.expected_slowdown(work, now_ms) + queue.expected_delay(work, now_ms)


def _share(counts: Counter[tuple[str, str]], name: str, results: Iterable[str]) -> float:
    total = sum(n for (key, _), n in counts.items() if key == name)
    return sum(counts[name, result] for result in results) / max(1, total)
