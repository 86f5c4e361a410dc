"""Tests of reported upstream load, and of the policy that uses it."""

from __future__ import annotations

import random
import unittest

from knapweedhitch.expectedtime import ExpectedTimePolicy
from knapweedhitch.loadtable import LoadTable, LoadView
from knapweedhitch.model import Address, LoadSample, Target, UpstreamRecord, Warmth
from knapweedhitch.policies import Candidate, PickContext
from knapweedhitch.settings import RoutingSettings
from knapweedhitch.upstreamload import UpstreamLoad, parse_load


class ParseTest(unittest.TestCase):
    def test_values_of_the_load_header_are_parsed(self) -> None:
        """Guards against reading a load from the wrong value or from a malformed header."""
        cases: list[tuple[bytes, UpstreamLoad | None]] = [
            (b"3,0,8", UpstreamLoad(3, 0, 8, 1.0)),
            (b"3, 1, 8, 400", UpstreamLoad(3, 1, 8, 4.0)),
            (b"3,0", None),
            (b"", None),
            (b"a,b,c", None),
            (b"3,0,8,nan", None),
            (b"-1,0,8", None),
            (b"1,2,3,4,5", None),
            (b"1,2,1e300", None),
        ]
        for value, expected in cases:
            with self.subTest(value):
                self.assertEqual(parse_load(value), expected)


def view(in_flight: int = 0, slowdown: float = 1.0, wait_ms: float = 0.0) -> LoadView:
    return LoadView(in_flight, 0.0, 100.0, 100.0, 5, Warmth.WARM, False, 10.0, slowdown, wait_ms)


def candidate(name: str, load: LoadView, *, local: bool = True, own: bool = False) -> Candidate:
    upstream = UpstreamRecord("s", Address("10.0.0.1", 1), 6, 100, name, 1)
    return Candidate(Target(name, "d1", upstream), load, local, False, own)


class ExpectedTimeTest(unittest.TestCase):
    def pick(self, *candidates: Candidate, body_bytes: int = 0) -> str:
        ctx = PickContext("s", RoutingSettings(), random.Random(1), 100.0, body_bytes)
        return ExpectedTimePolicy().pick(candidates, ctx).target.node_id

    def test_busy_machine_is_avoided_while_others_have_room(self) -> None:
        """Guards against calls to a machine that is four times slower."""
        busy, used = candidate("busy", view(0, 4.0)), candidate("used", view(4, 1.0))
        self.assertEqual(self.pick(busy, used), "used")

    def test_queue_at_a_quick_machine_is_weighed_against_a_slow_one(self) -> None:
        """Guards against all nodes overloading the single fastest target."""
        slow, crowded = candidate("slow", view(0, 1.5)), candidate("crowded", view(9, 1.0))
        self.assertEqual(self.pick(slow, crowded), "slow")

    def test_reported_wait_of_a_cold_target_is_considered(self) -> None:
        """Guards against calls that wait at a cold target while a warm one is free."""
        cold, warm = candidate("cold", view(0, 1.0, 300.0)), candidate("warm", view(2, 1.0))
        self.assertEqual(self.pick(cold, warm), "warm")

    def test_large_body_stays_in_its_domain(self) -> None:
        """Guards against sending uploads across domains to save a few milliseconds."""
        near = candidate("near", view(3, 1.0))
        far = candidate("far", view(0, 1.0), local=False)
        self.assertEqual(self.pick(near, far, body_bytes=60_000), "near")
        self.assertEqual(self.pick(near, far), "far")

    def test_calls_stay_in_their_domain_at_similar_load(self) -> None:
        """Guards against responses of a few kB that cross domains for no gain in time."""
        near, far = candidate("near", view(2)), candidate("far", view(1), local=False)
        self.assertEqual(self.pick(near, far, body_bytes=1_500), "near")
        slow = candidate("slow", view(0, 1.6))
        self.assertEqual(self.pick(slow, far, body_bytes=1_500), "far")

    def test_own_upstream_is_preferred_at_equal_load(self) -> None:
        """Guards against an extra hop to a target with equal load."""
        own = candidate("own", view(1), own=True)
        self.assertEqual(self.pick(candidate("other", view(1)), own), "own")


class SlowdownAgeTest(unittest.TestCase):
    def test_slowdown_of_an_old_report_decays(self) -> None:
        """Guards against giving a short slowdown full weight for seconds."""
        now = [0.0]
        table = LoadTable(RoutingSettings(), lambda: now[0])
        table.observe("a", LoadSample(0, 0, 5, 100.0, Warmth.WARM, slowdown=4.0))
        fresh = table.views(["a"])["a"].slowdown
        now[0] = 2_000.0
        old = table.views(["a"])["a"].slowdown
        self.assertAlmostEqual(fresh, 4.0, places=3)
        self.assertLess(old, 1.4)
