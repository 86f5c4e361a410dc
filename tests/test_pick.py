"""Tests of the picker."""

from __future__ import annotations

import collections

import trio
from msgspec import structs

from knapweedhitch.model import CallResult, UpstreamState, Warmth
from knapweedhitch.policies import policies
from tests.decision_fakes import BAD, GOOD, SVC, TrioTestCase, kernel, picker, sample, target

NO_EXCLUSIONS = frozenset[str]()


class PickTest(TrioTestCase):
    async def test_unfit_targets_are_never_picked(self) -> None:
        """Guards against calls to targets that leave, drain, are out, or are cold and full."""
        for name in policies():
            node_kernel = kernel()
            node_kernel.get("config").take_out("d9")
            pick = picker(node_kernel)
            svc = structs.replace(SVC, policy=name)
            targets = (
                target(1, state=UpstreamState.LEAVING),
                structs.replace(target(2), draining=True),
                target(3, domain="d9"),
                target(4),
                target(5),
                target(6),
            )
            config = node_kernel.get("config")
            config.current = structs.replace(config.current, draining_nodes=frozenset({"n6"}))
            pick.observe("i4", sample(1, 1, warmth=Warmth.COLD))
            self.assertIsNone(pick.pick(svc, targets, frozenset({"i4", "i5"}), "d1", "n1").target)
            # The load view is stale; only admission at the cold target knows if it is still full.
            fallback = pick.pick(svc, targets, frozenset({"i5"}), "d1", "n1")
            self.assertEqual(fallback.target, targets[3])
            for _ in range(50):
                result = pick.pick(svc, targets, NO_EXCLUSIONS, "d1", "n1")
                self.assertEqual(result.target, targets[4])
            notes = {c.instance_id: c.note for c in result.considered}
            expected = ["draining", "draining", "domain-out", "cold-full", "", "draining"]
            self.assertEqual([notes[f"i{n}"] for n in range(1, 7)], expected)

    async def test_cold_target_without_a_recent_report_is_tried(self) -> None:
        """Guards against a restarted target that stays cold: it got 60 of 9,483 calls in 20 s,
        as its old report faded to the calls in flight at the warm targets.
        """
        pick = picker(kernel())
        targets = tuple(target(n) for n in range(1, 6))
        pick.observe("i1", sample(0, 1, warmth=Warmth.COLD))
        picks = collections.Counter[str]()
        for _ in range(2_000):
            await trio.sleep(0.002)
            for n in range(2, 6):
                pick.observe(f"i{n}", sample(4))
            chosen = pick.pick(SVC, targets, NO_EXCLUSIONS, "d1", "n1").target
            picks[chosen.upstream.instance_id] += 1
        # Its limit is 1 of 37, so it should get about 54 calls.
        self.assertGreater(picks["i1"], 27)

    async def test_a_stale_configuration_stops_picking(self) -> None:
        """Guards against calls to a domain that was taken out while this node was partitioned."""
        node_kernel = kernel()
        node_kernel.get("config").fresh = False
        self.assertIsNone(
            picker(node_kernel).pick(SVC, (target(1),), NO_EXCLUSIONS, "d1", "n1").target
        )

    async def test_panic_uses_ejected_targets_and_is_counted(self) -> None:
        """Guards against an outage because all targets are ejected."""
        node_kernel = kernel()
        pick = picker(node_kernel)
        targets = (target(1), target(2))
        for _ in range(40):
            picked = pick.pick(SVC, targets, frozenset({"i2"}), "d1", "n1").target
            assert picked is not None
            pick.record_start("i1")
            pick.record_finish("i1", BAD)
        self.assertGreater(node_kernel.get("counters").get("pick_panic", SVC.name), 0)
        self.assertEqual(pick.pick(SVC, targets, NO_EXCLUSIONS, "d1", "n1").target, targets[1])

    async def test_a_returned_domain_is_unknown_again(self) -> None:
        """Guards against full load on a cold domain due to reports from before it went out."""
        node_kernel = kernel()
        pick = picker(node_kernel)
        targets = (target(1), target(2, domain="d2"))
        for n in (1, 2):
            pick.observe(f"i{n}", sample())
        node_kernel.get("config").take_out("d2")
        pick.pick(SVC, targets, NO_EXCLUSIONS, "d1", "n1")
        node_kernel.get("config").take_out()
        pick.record_start("i2")
        for _ in range(5):
            pick.record_start("i1")
        result = pick.pick(SVC, targets, NO_EXCLUSIONS, "d1", "n1")
        self.assertEqual(result.target, targets[0])
        self.assertEqual(result.considered[1].note, "unknown-full")

    async def test_default_policy_avoids_a_slow_target(self) -> None:
        """Guards against tail latency caused by one slow target."""
        node_kernel = kernel()
        pick = picker(node_kernel)
        targets = tuple(target(n) for n in (1, 2, 3))
        for t in targets:
            pick.observe(t.upstream.instance_id, sample())
        counts: collections.Counter[str] = collections.Counter()
        for _ in range(300):
            picked = pick.pick(SVC, targets, NO_EXCLUSIONS, "d1", "n1").target
            assert picked is not None
            chosen = picked.upstream.instance_id
            counts[chosen] += 1
            pick.record_start(chosen)
            await trio.sleep(0.001)
            pick.record_finish(chosen, CallResult(True, 200.0 if chosen == "i1" else 10.0, 200))
        self.assertLess(counts["i1"], 15)

    async def test_hedge_delay_is_the_percentile(self) -> None:
        """Guards against hedging before enough calls ended, or at the wrong delay."""
        pick = picker(kernel())
        pick.pick(SVC, (target(1),), NO_EXCLUSIONS, "d1", "n1")
        self.assertIsNone(pick.hedge_delay_ms(SVC.name))
        for n in range(100):
            pick.record_finish("i1", structs.replace(GOOD, service_ms=float(n)))
        self.assertEqual(pick.hedge_delay_ms(SVC.name), 95.0)
