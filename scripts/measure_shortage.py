"""Compare ways to order and refuse calls in a shortage, by kind of request and by customer.

    python -m scripts.measure_shortage [--loads a,b] [--ways a,b] [--seeds 1,2,3]

Times are simulated, so that the results of a seed repeat.
"""

from __future__ import annotations

import argparse
from collections import Counter
from collections.abc import Callable

from knapweedhitch.settings import AdmissionSettings
from knapweedhitch.workqueue import Work, WorkQueue
from scripts.queue_loads import LOADS
from scripts.queue_replay import RESULTS, Load, ShortageReplay

BEFORE = AdmissionSettings(slots_share=0.84, slow_moment_ms=300)
DECLINE = AdmissionSettings(slots_share=0.84, slow_moment_ms=300, decline_for_queue=True)
YIELD = AdmissionSettings(slots_share=0.84, slow_moment_ms=300, shortage_window_ms=2_000)
YIELD_AND_DECLINE = AdmissionSettings(
    slots_share=0.84, slow_moment_ms=300, decline_for_queue=True, shortage_window_ms=2_000
)
LATE_VALUE = 0.1
VALUES = {kind.name: kind.value for load in LOADS.values() for kind in load.kinds}
# Calls of running requests carry the value of the request, which fails without them.
CALL_VALUE = 1.0

Order = tuple[bool, bool, float, float]


class StrictPriorityQueue(WorkQueue):
    """Order calls by priority alone."""

    def _order(self, work: Work, now_ms: float) -> Order:
        return False, False, work.priority, work.objective_ms


class EarliestDeadlineQueue(WorkQueue):
    """Order calls by their objective alone."""

    def _order(self, work: Work, now_ms: float) -> Order:
        return False, False, 0, work.objective_ms

    def _is_sustained(self, now_ms: float) -> bool:
        return False


class ValueDensityQueue(WorkQueue):
    """Order calls by what their callers lose for each millisecond of work."""

    def _order(self, work: Work, now_ms: float) -> Order:
        value = VALUES.get(work.route, CALL_VALUE)
        if self._is_late(work, now_ms):
            value *= LATE_VALUE
        return False, False, -value / self.service_ms(work), work.objective_ms

    def _is_sustained(self, now_ms: float) -> bool:
        return False


WAYS: dict[str, Callable[[], WorkQueue]] = {
    "before": lambda: WorkQueue(BEFORE),
    "strict-priority": lambda: StrictPriorityQueue(BEFORE),
    "earliest-deadline": lambda: EarliestDeadlineQueue(BEFORE),
    "value-density": lambda: ValueDensityQueue(BEFORE),
    "decline": lambda: WorkQueue(DECLINE),
    "yield": lambda: WorkQueue(YIELD),
    "yield-and-decline": lambda: WorkQueue(YIELD_AND_DECLINE),
}


def _print_kinds(load: Load, replays: list[ShortageReplay]) -> None:
    results: Counter[tuple[str, str]] = sum((r.results for r in replays), Counter())
    earned = owed = 0.0
    for kind in load.kinds:
        n = max(1, sum(results[kind.name, result] for result in RESULTS))
        shares = [results[kind.name, result] / n for result in RESULTS]
        earned += kind.value * n * (shares[0] + LATE_VALUE * shares[1])
        owed += kind.value * n
        print(f"    {kind.name:<10}" + "".join(f"{share:>12.2f}" for share in shares))
    print(f"    credit {earned / owed:.3f}")


def _print_customers(load: Load, replays: list[ShortageReplay]) -> None:
    surging = {surge.customer for surge in load.surges if surge.customer}
    results: Counter[tuple[str, str]] = sum((r.by_customer for r in replays), Counter())
    groups = {"surging": surging, "others": {c for c, _ in load.customers} - surging}
    for name, customers in groups.items():
        of_group = Counter[str]()
        for (customer, result), n in results.items():
            if customer in customers:
                of_group[result] += n
        total = of_group.total()
        if total:
            timely, late = of_group["timely"] / total, of_group["late"] / total
            print(f"    {name:<10}{timely:>12.2f}{late:>12.2f}  of {total} requests in the surge")


def main() -> None:
    """Replay the chosen loads with the chosen ways and print tables."""
    parser = argparse.ArgumentParser(description="Compare ways to refuse calls in a shortage.")
    parser.add_argument("--loads", default=",".join(LOADS))
    parser.add_argument("--ways", default=",".join(WAYS))
    parser.add_argument("--seeds", default="1,2,3")
    args = parser.parse_args()
    print(" " * 14 + "".join(f"{result[:11]:>12}" for result in RESULTS))
    for name in args.loads.split(","):
        load = LOADS[name]
        for way in args.ways.split(","):
            print(f"{name}, {way}")
            seeds = [int(seed) for seed in args.seeds.split(",")]
            replays = [ShortageReplay(load, WAYS[way], seed).run() for seed in seeds]
            _print_kinds(load, replays)
            if len(load.customers) > 1:
                _print_customers(load, replays)


if __name__ == "__main__":
    main()
