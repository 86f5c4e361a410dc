"""Tests of heartbeats: which of them sets the current record of the local upstream."""

from __future__ import annotations

import dataclasses
import unittest
from types import SimpleNamespace

import trio
from msgspec import structs
from trio.testing import MockClock

from knapweedhitch.announce import Announce
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import AnnouncementInvalid, AnnouncementStale
from knapweedhitch.items import ItemPatch, Items, merge
from knapweedhitch.kernel import Kernel
from knapweedhitch.messages import UpstreamDeparted
from knapweedhitch.model import (
    UNKNOWN_INCARNATION,
    Address,
    Configuration,
    UpstreamRecord,
    UpstreamState,
)
from knapweedhitch.settings import (
    ControlMember,
    ControlSettings,
    Listener,
    ListenSettings,
    NodeSettings,
    SecretSettings,
    Settings,
    UpstreamSettings,
)
from knapweedhitch.timers import Timers
from knapweedhitch.upstreamload import UpstreamReport
from tests.test_items import backend

OLD = UpstreamRecord("robes", Address("10.0.0.1", 80), 6, 100, "i-1", 1_000)
NEW = structs.replace(OLD, instance_id="i-2", incarnation=2_000)
PROBE_RECORD = structs.replace(OLD, incarnation=UNKNOWN_INCARNATION)
# The sequence of a step that passes on a probe result instead of a heartbeat.
PROBED = -1
# The sequences of steps that use the announcement interface instead of a heartbeat.
PUT = -2
WITHDRAWN = -3
# A time in seconds is a wait.
Step = UpstreamRecord | str | UpstreamReport | UpstreamDeparted | Configuration | float
FOREIGN = structs.replace(NEW, service="unknown")
CONFIG = Configuration(
    version=1, items=merge(Items(), ItemPatch((), (backend("robes"),), None, (), ()))
)
LEAVING = structs.replace(OLD, state=UpstreamState.LEAVING)
WITHDRAWAL = (
    b'{"service":"robes","address":"10.0.0.1:80","slots":6,"connections":100,'
    b'"instance_id":"i-1","incarnation":1000}'
)


class HeartbeatTest(unittest.TestCase):
    def make_announce(self) -> Announce:
        cfg = Settings(
            node=NodeSettings(id="n1", domain="d1"),
            secrets=SecretSettings("", ""),
            control=ControlSettings(members=(ControlMember("c1", "127.0.0.1", 1),)),
            listen=ListenSettings(announce=Listener(enabled=False)),
            upstream=UpstreamSettings(announcement_ttl_ms=3_000),
        )
        kernel = Kernel(cfg)
        self.kernel = kernel
        self.counters = Counters()
        self.announced: list[UpstreamRecord | None] = []
        self.cold_ms: list[float] = []
        kernel.add("counters", self.counters)
        kernel.add("timers", Timers(kernel))
        kernel.add("config", SimpleNamespace(subscribe=lambda fn: None))
        kernel.add("membership", SimpleNamespace(announce_local=self.announced.append))
        admission = SimpleNamespace(
            set_upstream=lambda record: None,
            record_heartbeat=lambda record, cold_ms: self.cold_ms.append(cold_ms),
        )
        kernel.add("admission", admission)
        return Announce(kernel)

    async def run_step(self, announce: Announce, record: Step, sequence: int) -> None:
        if isinstance(record, str):
            announce.deregister(record, sequence or None)
        elif isinstance(record, UpstreamReport):
            sent_ms = trio.current_time() * 1_000 + record.requested_ms
            announce.record_report(dataclasses.replace(record, requested_ms=sent_ms))
        elif isinstance(record, UpstreamDeparted):
            await announce._on_departed("n2", record)
        elif isinstance(record, Configuration):
            announce._on_config(record)
        elif isinstance(record, float):
            await trio.sleep(record)
        elif sequence == PROBED:
            announce.accept_probe_result(record)
        elif sequence == PUT:
            announce.put(record)
        elif sequence == WITHDRAWN:
            announce.withdraw(WITHDRAWAL)
        else:
            announce.record_heartbeat(record, sequence, 0.0)

    def run_steps(self, *steps: tuple[Step, int]) -> Announce:
        """Apply heartbeats (record, sequence), deregistrations (id, incarnation or 0), reports of
        responses and messages of other nodes.
        """
        announce = self.make_announce()
        self.refused = 0

        async def main() -> None:
            await announce.start()
            for record, sequence in steps:
                try:
                    await self.run_step(announce, record, sequence)
                except (AnnouncementInvalid, AnnouncementStale):
                    self.refused += 1

        async def run_in_nursery() -> None:
            async with trio.open_nursery() as nursery:
                self.kernel._nursery = nursery
                await main()
                nursery.cancel_scope.cancel()

        trio.run(run_in_nursery, clock=MockClock(autojump_threshold=0))
        return announce

    def test_late_heartbeat_of_an_earlier_incarnation_is_ignored(self) -> None:
        """Guards against a dead incarnation that is restored by a delayed heartbeat."""
        self.assertEqual(self.run_steps((OLD, 5), (NEW, 1), (OLD, 9)).current, NEW)

    def test_heartbeats_of_one_incarnation_are_ordered_by_sequence(self) -> None:
        """Guards against a delayed heartbeat that undoes the report that the upstream leaves."""
        self.assertEqual(self.run_steps((OLD, 4), (LEAVING, 6), (OLD, 5)).current, LEAVING)

    def test_late_heartbeat_sets_no_cold_time(self) -> None:
        """Guards against a cold upstream that counts as warm by a heartbeat which is delivered
        late, or twice, behind a newer one.
        """
        self.run_steps((OLD, 4), (OLD, 6), (OLD, 5), (OLD, 6))
        self.assertEqual(len(self.cold_ms), 2)

    def test_leaving_lasts_for_the_whole_incarnation(self) -> None:
        """Guards against new calls to an upstream that has reported leaving."""
        self.assertEqual(self.run_steps((LEAVING, 6), (OLD, 7)).current, LEAVING)

    def test_foreign_upstream_is_dropped_when_its_service_is_not_named(self) -> None:
        """Guards against a heartbeat from another writer, before the first configuration, that
        keeps out the upstream for good, so that no request is served (review case 14).
        """
        steps: tuple[tuple[Step, int], ...] = ((OLD, 5), (FOREIGN, 1), (OLD, 6))
        self.assertEqual(self.run_steps(*steps).current, FOREIGN)
        announce = self.run_steps(*steps, (CONFIG, 0))
        self.assertEqual((announce.current, self.announced[-1]), (None, None))
        self.assertEqual(self.run_steps(*steps, (CONFIG, 0), (OLD, 7)).current, OLD)
        # An upstream of a named service stays, also without any item.
        for config in (CONFIG, Configuration(version=1)):
            self.assertEqual(self.run_steps((OLD, 5), (NEW, 1), (config, 0)).current, NEW)

    def test_silent_upstream_does_not_keep_out_an_earlier_one(self) -> None:
        """Guards against the same by an entry of a named service, and against an upstream that is
        never used because it started after its clock was put back.
        """
        later = structs.replace(NEW, incarnation=1 << 47)
        self.assertEqual(self.run_steps((OLD, 5), (later, 1), (2.9, 0), (OLD, 6)).current, later)
        self.assertEqual(self.run_steps((OLD, 5), (later, 1), (3.1, 0), (OLD, 6)).current, OLD)
        # While it sends heartbeats, the later one holds.
        steps = ((OLD, 5), (NEW, 1), (2.9, 0), (NEW, 2), (2.9, 0), (OLD, 6))
        self.assertEqual(self.run_steps(*steps).current, NEW)
        # What has departed stays so, and late heartbeats of one sender stay late.
        for first in (LEAVING, OLD):
            steps = ((first, 6), (4.0, 0), (OLD, 5 if first is OLD else 7))
            self.assertEqual(self.run_steps(*steps).current, first)
            self.assertEqual(self.counters.get("heartbeats_late"), 1)

    def test_restart_under_the_same_id_is_a_new_incarnation(self) -> None:
        """Guards against a restarted upstream whose first heartbeats are ignored as late."""
        restarted = structs.replace(OLD, incarnation=3_000)
        self.assertEqual(self.run_steps((LEAVING, 60), (restarted, 1)).current, restarted)

    def test_heartbeat_of_a_deregistered_incarnation_is_ignored(self) -> None:
        """Guards against a heartbeat that arrives after the deregistration of its sender."""
        self.assertIsNone(self.run_steps((OLD, 5), ("i-1", 1_000), (OLD, 6)).current)
        self.assertIsNone(self.run_steps((OLD, 5), ("i-1", 0)).current)

    def test_deregistration_before_any_heartbeat_is_kept(self) -> None:
        """Guards against a restarted node that accepts a heartbeat after its deregistration."""
        self.assertIsNone(self.run_steps(("i-1", 1_000), (OLD, 5)).current)
        self.assertIsNone(self.run_steps(("i-1", 0), (OLD, 5)).current)
        self.assertEqual(self.run_steps(("i-1", 1_000), (NEW, 1)).current, NEW)
        restarted = structs.replace(OLD, incarnation=3_000)
        self.assertEqual(self.run_steps(("i-1", 1_000), (restarted, 1)).current, restarted)

    def test_probed_upstream_is_kept_until_a_heartbeat(self) -> None:
        """Guards against a restarted node that has no local upstream until its first heartbeat."""
        probed = structs.replace(OLD, incarnation=0)
        for steps, expected in (
            ((), probed),
            (((OLD, 5),), OLD),
            (((LEAVING, 5),), LEAVING),
            ((("i-1", 1_000),), None),
        ):
            announce = self.run_steps(*steps, (probed, PROBED))
            self.assertEqual(announce.current, expected)
        self.assertEqual(self.run_steps((probed, PROBED), (OLD, 1)).current, OLD)

    def test_response_that_tells_of_leaving_ends_new_calls(self) -> None:
        """Guards against calls to an upstream that says in its responses that it leaves, also when
        a heartbeat says later that it serves.
        """
        leaving_now = UpstreamReport("i-1", 0.0, leaving=True)
        for current, later in ((OLD, OLD), (structs.replace(OLD, incarnation=0), OLD)):
            announce = self.run_steps((current, 5), (leaving_now, 0), (later, 6))
            assert announce.current is not None
            self.assertEqual(announce.current.state, UpstreamState.LEAVING)
        restarted = structs.replace(OLD, incarnation=1 << 60)
        steps = ((OLD, 5), (leaving_now, 0), (restarted, 1))
        self.assertEqual(self.run_steps(*steps).current, restarted)

    def test_response_of_another_upstream_does_not_tell_of_leaving(self) -> None:
        """Guards against a serving upstream that gets no calls, because a late response of an
        instance or incarnation before it said that it leaves.
        """
        other = UpstreamReport("i-9", 0.0, leaving=True)
        before = UpstreamReport("i-1", -1_000.0, leaving=True)
        serving = UpstreamReport("i-1", 0.0)
        for report in (other, before, serving):
            self.assertEqual(self.run_steps((OLD, 5), (report, 0)).current, OLD)

    def test_other_nodes_learn_that_a_deregistered_upstream_left(self) -> None:
        """Guards against an upstream that is used again after its node has restarted."""
        self.run_steps((OLD, 5), ("i-1", 1_000))
        self.assertEqual(self.announced[-1], LEAVING)

    def test_unreadable_instance_id_is_refused(self) -> None:
        """Guards against a heartbeat whose id no header can carry: it took the place of the
        upstream in use, and the next probe ended the process.
        """
        for instance_id in ("\ufffd\ufffe", "\u017elu\u0165", "i\n1", "i 1", "", "i" * 129):
            odd = structs.replace(NEW, instance_id=instance_id)
            with self.subTest(instance_id):
                announce = self.run_steps((OLD, 5), (odd, 1), (instance_id, 2_000))
                self.assertEqual((announce.current, self.refused), (OLD, 2))
                self.assertIsNone(self.run_steps((odd, PROBED)).current)

    def test_deregistration_ends_the_use_of_a_probed_upstream(self) -> None:
        """Guards against a restarted node that acknowledges the deregistration of an upstream which
        it knows from a probe only, and goes on using it: 114 to 122 calls came later than allowed.
        """
        for incarnation in (1_000, 0):
            announce = self.run_steps((PROBE_RECORD, PROBED), ("i-1", incarnation))
            self.assertIsNone(announce.current)
            self.assertIsNone(self.run_steps((PROBE_RECORD, PROBED), ("i-1", 0), (OLD, 1)).current)
        announce = self.run_steps((PROBE_RECORD, PROBED), ("i-9", 1_000))
        self.assertEqual(announce.current, PROBE_RECORD)

    def test_departure_of_a_probed_upstream_names_its_incarnation(self) -> None:
        """Guards against nodes that take an upstream for serving again after the next restart,
        because its departure was announced without the incarnation that departed.
        """
        leaving_now = UpstreamReport("i-1", 0.0, leaving=True)
        departures: tuple[tuple[Step, int], ...] = (
            ("i-1", 1_000),
            ("i-1", 0),
            (UpstreamDeparted("i-1", 1_000), 0),
            (leaving_now, 0),
        )
        for departure in departures:
            self.run_steps((PROBE_RECORD, PROBED), departure)
            departed = self.announced[-1]
            assert departed is not None
            self.assertEqual(departed.state, UpstreamState.LEAVING)
            self.assertGreaterEqual(departed.incarnation, OLD.incarnation)

    def test_withdrawal_ends_the_use_of_a_probed_upstream(self) -> None:
        """Guards against a restarted node that refuses the withdrawal of an upstream which it knows
        from a probe only, or that finds it again by a probe.
        """
        announce = self.run_steps((PROBE_RECORD, PROBED))
        announce.withdraw(WITHDRAWAL)
        self.assertIsNone(announce.current)
        announce = self.run_steps()
        announce.withdraw(WITHDRAWAL)
        announce.accept_probe_result(PROBE_RECORD)
        self.assertIsNone(announce.current)

    def test_node_that_is_told_of_a_departure_ends_new_calls(self) -> None:
        """Guards against a restarted node that uses an upstream which left before it restarted."""
        for record in (OLD, structs.replace(OLD, incarnation=0)):
            announce = self.run_steps((UpstreamDeparted("i-1", 1_000), 0), (record, PROBED))
            self.assertIsNone(announce.current)
            announce = self.run_steps((record, PROBED), (UpstreamDeparted("i-1", 1_000), 0))
            assert announce.current is not None
            self.assertEqual(announce.current.state, UpstreamState.LEAVING)
        steps = ((UpstreamDeparted("i-1", 1_000), 0), (OLD, 1))
        self.assertIsNone(self.run_steps(*steps).current)

    def test_late_deregistration_of_an_earlier_incarnation_is_ignored(self) -> None:
        """Guards against a running upstream that is dropped for an earlier incarnation."""
        self.assertEqual(self.run_steps((OLD, 5), (NEW, 1), ("i-1", 1_000)).current, NEW)
        restarted = structs.replace(OLD, incarnation=3_000)
        self.assertEqual(
            self.run_steps((OLD, 5), (restarted, 1), ("i-1", 1_000)).current, restarted
        )

    def test_late_announcement_does_not_return_a_withdrawn_upstream(self) -> None:
        """Guards against a renewal that a slow link delivers after the withdrawal: the node used an
        upstream that had left.
        """
        steps = ((OLD, PUT), (OLD, WITHDRAWN), (OLD, PUT))
        self.assertIsNone(self.run_steps(*steps).current)
        self.assertEqual(self.refused, 1)
        restarted = structs.replace(OLD, incarnation=3_000)
        self.assertEqual(self.run_steps(*steps, (restarted, PUT)).current, restarted)

    def test_deregistration_of_a_later_start_ends_the_use_of_the_earlier_one(self) -> None:
        """Guards against calls to an upstream that has deregistered: it had started again under its
        id, and its heartbeats were later than its deregistration.
        """
        restarted = structs.replace(OLD, incarnation=3_000)
        announce = self.run_steps((OLD, 5), ("i-1", 3_000), (restarted, 1))
        self.assertIsNone(announce.current)
        departed = self.announced[-1]
        assert departed is not None
        self.assertEqual(departed.incarnation, 3_000)
