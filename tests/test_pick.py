"""Tests of picking."""

from __future__ import annotations

import collections
import dataclasses

import trio

from knapweedhitch.model import CallResult, UpstreamState, Warmth
from knapweedhitch.pick import policies
from tests.decision_fakes import BAD, GOOD, SVC, TrioTestCase, kernel, picker, sample, target

NONE = frozenset[str]()


class PickTest(TrioTestCase):
    async def test_unfit_targets_are_never_picked(self) -> None:
        """Guards against new work on targets that leave, drain, are out or cold and full."""
        for name in policies():
            made = kernel()
            made.get("config").take_out("d9")
            pick = picker(made)
            svc = dataclasses.replace(SVC, policy=name)
            targets = (
                target(1, state=UpstreamState.LEAVING),
                dataclasses.replace(target(2), draining=True),
                target(3, domain="d9"),
                target(4),
                target(5),
                target(6),
            )
            config = made.get("config")
            config.current = dataclasses.replace(config.current, draining_nodes=frozenset({"n6"}))
            pick.observe("i4", sample(1, 1, warmth=Warmth.COLD))
            self.assertIsNone(pick.pick(svc, targets, frozenset({"i4", "i5"}), "d1", "n1").target)
            # Its gate knows whether the cold target is still full; this view is stale.
            last = pick.pick(svc, targets, frozenset({"i5"}), "d1", "n1")
            self.assertEqual(last.target, targets[3])
            for _ in range(50):
                got = pick.pick(svc, targets, NONE, "d1", "n1")
                self.assertEqual(got.target, targets[4])
            notes = {c.instance_id: c.note for c in got.considered}
            expected = ["draining", "draining", "domain-out", "cold-full", "", "draining"]
            self.assertEqual([notes[f"i{n}"] for n in range(1, 7)], expected)

    async def test_a_stale_configuration_stops_picking(self) -> None:
        """Guards against work in a domain that was taken out behind a partition."""
        made = kernel()
        made.get("config").fresh = False
        self.assertIsNone(picker(made).pick(SVC, (target(1),), NONE, "d1", "n1").target)

    async def test_panic_uses_ejected_targets_and_is_counted(self) -> None:
        """Guards against an outage that ejection itself causes."""
        made = kernel()
        pick = picker(made)
        targets = (target(1), target(2))
        for _ in range(40):
            got = pick.pick(SVC, targets, frozenset({"i2"}), "d1", "n1").target
            assert got is not None
            pick.record_start("i1")
            pick.record_finish("i1", BAD)
        self.assertGreater(made.get("counters").get("pick_panic", SVC.name), 0)
        self.assertEqual(pick.pick(SVC, targets, NONE, "d1", "n1").target, targets[1])

    async def test_a_returned_domain_is_unknown_again(self) -> None:
        """Guards against full load on a cold domain because of reports from before it left."""
        made = kernel()
        pick = picker(made)
        targets = (target(1), target(2, domain="d2"))
        for n in (1, 2):
            pick.observe(f"i{n}", sample())
        made.get("config").take_out("d2")
        pick.pick(SVC, targets, NONE, "d1", "n1")
        made.get("config").take_out()
        pick.record_start("i2")
        for _ in range(5):
            pick.record_start("i1")
        got = pick.pick(SVC, targets, NONE, "d1", "n1")
        self.assertEqual(got.target, targets[0])
        self.assertEqual(got.considered[1].note, "unknown-full")

    async def test_default_policy_leaves_a_slow_target(self) -> None:
        """Guards against a tail that one straggler makes."""
        made = kernel()
        pick = picker(made)
        targets = tuple(target(n) for n in (1, 2, 3))
        for t in targets:
            pick.observe(t.upstream.instance_id, sample())
        counts: collections.Counter[str] = collections.Counter()
        for _ in range(300):
            got = pick.pick(SVC, targets, NONE, "d1", "n1").target
            assert got is not None
            chosen = got.upstream.instance_id
            counts[chosen] += 1
            pick.record_start(chosen)
            await trio.sleep(0.001)
            pick.record_finish(chosen, CallResult(True, 200.0 if chosen == "i1" else 10.0, 200))
        self.assertLess(counts["i1"], 15)

    async def test_hedge_delay_is_the_percentile(self) -> None:
        """Guards against hedges before enough calls are known, or at the wrong delay."""
        pick = picker(kernel())
        pick.pick(SVC, (target(1),), NONE, "d1", "n1")
        self.assertIsNone(pick.hedge_delay_ms(SVC.name))
        for n in range(100):
            pick.record_finish("i1", dataclasses.replace(GOOD, service_ms=float(n)))
        self.assertEqual(pick.hedge_delay_ms(SVC.name), 95.0)
