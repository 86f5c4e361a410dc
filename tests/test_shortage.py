"""Tests of what is refused in a shortage, by replays of loads beyond the capacity."""

from __future__ import annotations

import dataclasses
import functools
import unittest

from knapweedhitch.customershares import MAX_CUSTOMERS, CustomerShares
from knapweedhitch.decayedsum import DecayedSum
from knapweedhitch.settings import AdmissionSettings
from knapweedhitch.shortage import Shortage, YieldReason
from knapweedhitch.workqueue import Work, WorkQueue
from scripts.queue_loads import LOADS
from scripts.queue_replay import ShortageReplay

SEEDS = (1, 2, 3)
WINDOW_MS = 2_000
LOOKUP = Work(1, 0.0, 1_000.0, 400.0, "lookup")
BOOKING = Work(2, 0.0, 1_200.0, 800.0, "booking")
CALL = Work(2, 0.0, 400.0, 120.0, "roster", is_call=True)


@functools.cache
def replay(
    name: str, seed: int, window_ms: int = WINDOW_MS, seconds: float = 11.0
) -> ShortageReplay:
    """Replay the first part of a load, with its surge; each is needed by several tests."""
    cfg = AdmissionSettings(
        slots_share=0.84, decline_for_queue=True, slow_moment_ms=300, shortage_window_ms=window_ms
    )
    load = dataclasses.replace(LOADS[name], seconds=seconds)
    return ShortageReplay(load, lambda: WorkQueue(cfg), seed).run()


class UrgencyTest(unittest.TestCase):
    def test_kind_that_may_wait_does_not_take_the_places_of_an_urgent_one(self) -> None:
        """Guards against refusing urgent requests, which can't wait, beside less urgent ones that
        are nearly all served: 0.40 of the lookups in time and 0.91 of the bookings.
        """
        for seed in SEEDS:
            before, now = replay("rides-crowd", seed, 0), replay("rides-crowd", seed)
            served = [
                [r.share(kind, "timely", "late") for kind in ("lookup", "booking")]
                for r in (before, now)
            ]
            lead_before, lead_now = (booking - lookup for lookup, booking in served)
            self.assertGreater(lead_before, 0.15)
            self.assertLess(lead_now, lead_before / 2)
            self.assertGreater(served[1][0], served[0][0])
            # Nor does the less urgent kind starve.
            self.assertGreater(served[1][1], 0.5)

    def test_who_yields_is_refused_on_arrival(self) -> None:
        """Guards against less urgent requests that wait for nothing while others overtake them."""
        for seed in SEEDS:
            result = replay("rides-crowd", seed)
            at_once = result.share("booking", "refused")
            self.assertLess(result.share("booking", "refused after a wait", "expired"), at_once / 2)

    def test_nothing_yields_without_a_shortage(self) -> None:
        """Guards against refusals while there is room for all."""
        result = replay("rides-usual", 1)
        for kind in ("lookup", "booking", "settle", "eta"):
            self.assertGreater(result.share(kind, "timely", "late"), 0.99)

    def test_order_of_urgency(self) -> None:
        """Guards against yielding to less urgent kinds, and of calls that running requests make."""
        same_priority = dataclasses.replace(BOOKING, priority=1)
        less_urgent_first = dataclasses.replace(BOOKING, priority=0)
        for refused, asks, expected in (
            (LOOKUP, BOOKING, YieldReason.LESS_URGENT),
            (LOOKUP, same_priority, YieldReason.LESS_URGENT),
            (LOOKUP, less_urgent_first, None),
            (BOOKING, LOOKUP, None),
            (LOOKUP, CALL, None),
            # A customer's own priority takes no places of others, nor of anonymous requests.
            (dataclasses.replace(BOOKING, priority=0, customer="c1"), LOOKUP, None),
            (LOOKUP, dataclasses.replace(BOOKING, customer="c1"), YieldReason.LESS_URGENT),
        ):
            shortage = Shortage(WINDOW_MS)
            shortage.record_arrival(asks, 190.0, 0.0)
            for now_ms in range(0, 1_000, 100):
                shortage.record_arrival(refused, 140.0, now_ms)
                shortage.record_refusal(refused, now_ms)
            self.assertEqual(shortage.yield_reason(asks, 1_000.0), expected)
            self.assertIsNone(shortage.yield_reason(asks, 60_000.0))

    def test_repeated_request_does_not_make_its_kind_urgent(self) -> None:
        """Guards against a kind that others yield to for good, since the first of its calls at an
        upstream came from a caller that had used up most of its time.
        """
        for customer in ("", "c1"):
            lookup = dataclasses.replace(LOOKUP, customer=customer)
            booking = dataclasses.replace(BOOKING, priority=1, customer=customer)
            shortage = Shortage(WINDOW_MS)
            shortage.record_arrival(dataclasses.replace(booking, objective_ms=100.0), 50.0, 0.0)
            shortage.record_arrival(lookup, 140.0, 0.0)
            for now_ms in range(0, 1_000, 100):
                shortage.record_arrival(booking, 190.0, now_ms)
                shortage.record_refusal(booking, now_ms)
            self.assertIsNone(shortage.yield_reason(lookup, 1_000.0), customer)

    def test_yielding_ends_at_equal_shares(self) -> None:
        """Guards against a less urgent kind that starves beside an urgent one over the capacity."""
        shortage = Shortage(WINDOW_MS)
        for now_ms in range(0, 1_000, 100):
            for work in (LOOKUP, BOOKING):
                shortage.record_arrival(work, 150.0, now_ms)
                shortage.record_refusal(work, now_ms)
        self.assertIsNone(shortage.yield_reason(BOOKING, 1_000.0))


class CustomerShareTest(unittest.TestCase):
    def test_surging_customers_take_nobody_elses_place(self) -> None:
        """Guards against customers at eight times their usual load that crowd the others out."""
        for name in ("largest-surge", "three-surges"):
            for seed in SEEDS[:2]:
                surging = {surge.customer for surge in LOADS[name].surges}
                before, now = replay(name, seed, 0), replay(name, seed)
                others = [c for c, _ in LOADS[name].customers if c not in surging]
                self.assertGreater(_mean(now, others), _mean(before, others) + 0.15, (name, seed))
                # No customer is served less than a quarter as often as all.
                everyone = _mean(now, [c for c, _ in LOADS[name].customers])
                for customer in surging:
                    self.assertGreater(_mean(now, [customer]), everyone / 4)

    def test_priority_of_a_surging_customer_takes_no_place(self) -> None:
        """Guards against a customer of high priority that crowds the others out by many times its
        usual load.
        """
        others = [c for c, _ in LOADS["urgent-surge"].customers if c != "c4"]
        for name in ("one-surge", "urgent-surge"):
            timely = [
                sum(
                    _mean(replay(name, seed, window_ms, 20.0), others, ("timely",))
                    for seed in SEEDS
                )
                for window_ms in (0, WINDOW_MS)
            ]
            self.assertGreater(timely[1], timely[0], name)

    def test_share_counts_work(self) -> None:
        """Guards against long calls that count as little as short ones."""
        shares = _usual_shares()
        for now_ms in range(10_000, 12_000, 100):
            shares.record_arrival("dear", 1_000.0, now_ms)
            shares.record_arrival("cheap", 10.0, now_ms)
            for n in range(8):
                shares.record_arrival(f"c{n}", 100.0, now_ms)
        self.assertTrue(shares.is_over("dear", 12_000.0))
        self.assertFalse(shares.is_over("cheap", 12_000.0))

    def test_surge_of_all_customers_puts_none_over_its_share(self) -> None:
        """Guards against refusing customers by chance when everyone asks for more."""
        shares = _usual_shares()
        for now_ms in range(10_000, 14_000, 100):
            for n in range(8):
                for _ in range(4):
                    shares.record_arrival(f"c{n}", 100.0, now_ms)
        self.assertFalse(any(shares.is_over(f"c{n}", 14_000.0) for n in range(8)))

    def test_long_surge_does_not_become_usual(self) -> None:
        """Guards against a customer whose surge counts as its usual load after some time."""
        shares = _usual_shares()
        for now_ms in range(10_000, 300_000, 100):
            for n in range(8):
                for _ in range(8 if n == 3 else 1):
                    shares.record_arrival(f"c{n}", 100.0, now_ms)
            is_over = shares.is_over("c3", now_ms)
        self.assertTrue(is_over)

    def test_customers_are_bounded(self) -> None:
        """Guards against memory that grows with the number of customers."""
        shares = CustomerShares(WINDOW_MS)
        for n in range(2 * MAX_CUSTOMERS):
            shares.record_arrival(f"c{n}", 100.0, n)
        self.assertLessEqual(len(shares._demands), MAX_CUSTOMERS)

    def test_calls_without_a_customer_keep_their_order(self) -> None:
        """Guards against changed decisions where no customers are configured."""
        for name in ("catalogue-crowd", "cafe-crowd"):
            before, now = replay(name, 1, 0), replay(name, 1)
            if name == "catalogue-crowd":
                self.assertEqual(before.results, now.results)
            self.assertFalse(any(c for c, _ in now.by_customer if c))


def _mean(
    result: ShortageReplay, customers: list[str], results: tuple[str, ...] = ("timely", "late")
) -> float:
    """Return the share of all requests of these customers in the surge with these results."""
    counts = {(c, r): n for (c, r), n in result.by_customer.items() if c in customers}
    served = sum(n for (_, r), n in counts.items() if r in results)
    return served / max(1, sum(counts.values()))


def _usual_shares() -> CustomerShares:
    """Return shares after 10 s in which eight customers asked for the same."""
    shares = CustomerShares(WINDOW_MS)
    for now_ms in range(0, 10_000, 100):
        for n in range(8):
            shares.record_arrival(f"c{n}", 100.0, now_ms)
            shares.is_over(f"c{n}", now_ms)
    return shares


class DecayedSumTest(unittest.TestCase):
    def test_values_fade(self) -> None:
        """Guards against old values that count like new ones, and against clocks that step back."""
        total = DecayedSum(1_000.0)
        total.add(1.0, 0.0)
        self.assertAlmostEqual(total.total(1_000.0), 0.3679, places=4)
        self.assertEqual(total.total(-1.0), 1.0)


if __name__ == "__main__":
    unittest.main()
