"""Tests of the membership protocol on the in-memory network."""

from __future__ import annotations

import contextlib
import random
import unittest
from collections.abc import AsyncIterator, Callable
from typing import Any

import trio
from msgspec import structs

from knapweedhitch.membership import Membership
from knapweedhitch.messages import Gossip, UpstreamDeparted, Verdict
from knapweedhitch.model import Address, MemberState, UpstreamRecord, UpstreamState
from knapweedhitch.settings import MembershipSettings
from knapweedhitch.timers import Timers
from tests.fake_net import MemoryNet, Node, listen
from tests.test_peers import run_on_mock_clock

SEED = 20


class NetTimers(Timers):
    """Timers whose wall clock follows the mock clock, and that can be paused."""

    wall_offset_ms = 0
    _pause_s = 0.0

    def wall_ms(self) -> int:  # type: ignore[override]
        return 1_000_000 + int(trio.current_time() * 1_000) + self.wall_offset_ms

    def pause(self, seconds: float) -> None:
        self._pause_s = seconds
        self._scope.cancel()

    async def _run(self) -> None:
        while True:
            with trio.CancelScope() as self._scope:
                await super()._run()
            await trio.sleep(self._pause_s)


def upstream(state: UpstreamState = UpstreamState.SERVING, instance: str = "i") -> UpstreamRecord:
    """Return an announcement of a test upstream."""
    return UpstreamRecord("svc", Address("127.0.0.1", 1), 9, 220, instance, 1, state)


class Cluster:
    """Represent a cluster of nodes with membership on an in-memory network."""

    def __init__(self, net: MemoryNet, nursery: trio.Nursery, **cfg: Any) -> None:
        self.net = net
        self.nursery = nursery
        self.cfg = MembershipSettings(seeds=(listen(7000),), **cfg)
        self.nodes: dict[int, Node] = {}

    async def start(self, index: int, wall_offset_ms: int = 0) -> Node:
        """Start or restart node n<index>."""
        node = Node(self.net, index, membership=self.cfg)
        timers = NetTimers(node.kernel, random.Random(SEED + index))
        timers.wall_offset_ms = wall_offset_ms
        node.kernel._services["timers"] = node.peers._timers = timers
        node.add("membership", Membership(node.kernel, random.Random(SEED + index)))
        self.nodes[index] = node
        await self.nursery.start(node.run)
        return node

    async def crash(self, index: int) -> None:
        """Crash a node."""
        await self.nodes.pop(index).crash(self.net)

    def pause(self, index: int, seconds: float) -> None:
        """Pause the process of a node unless it is paused already."""
        node = self.nodes[index]
        if node.transport.datagrams.paused_until > trio.current_time():
            return
        node.kernel.get("timers").pause(seconds)
        # The timers resume first: unread datagrams are still in the socket when they fire.
        node.transport.datagrams.paused_until = trio.current_time() + seconds + 0.001

    def view(self, index: int) -> Membership:
        """Return the membership of a node."""
        membership: Membership = self.nodes[index].kernel.get("membership")
        return membership

    def has_converged(self) -> bool:
        """Return whether every live node knows exactly the live nodes."""
        ids = {node.node_id for node in self.nodes.values()}
        return all(set(self.view(i).members()) == ids for i in self.nodes)

    async def wait_until(self, fn: Callable[[], bool], limit_s: float) -> float:
        """Wait until fn is true and return the elapsed seconds; raises AssertionError."""
        started = trio.current_time()
        while not fn():
            if trio.current_time() - started > limit_s:
                raise AssertionError(f"not within {limit_s} s")
            await trio.sleep(0.02)
        return trio.current_time() - started


@contextlib.asynccontextmanager
async def cluster(count: int, net: MemoryNet | None = None, **cfg: Any) -> AsyncIterator[Cluster]:
    """Run a cluster whose nodes have all joined."""
    net = net or MemoryNet(max_delay_s=0.005)
    async with trio.open_nursery() as nursery:
        net.nursery = nursery
        new_cluster = Cluster(net, nursery, **cfg)
        for index in range(count):
            await new_cluster.start(index)
        await new_cluster.wait_until(new_cluster.has_converged, 30)
        yield new_cluster
        nursery.cancel_scope.cancel()


class MembershipTest(unittest.TestCase):
    @run_on_mock_clock
    async def test_crash_is_detected_and_restart_supersedes_it(self) -> None:
        """Guards against a crashed node that stays a member, or a restarted one that stays dead."""
        async with cluster(8) as c:
            await c.crash(3)
            await c.wait_until(c.has_converged, 12)
            await c.start(3)
            await c.wait_until(c.has_converged, 3)

    @run_on_mock_clock
    async def test_restart_before_detection_and_with_an_older_clock(self) -> None:
        """Guards against records of a previous run that supersede those of a restarted node."""
        for offset_ms in (0, -500_000):
            async with cluster(5) as c:
                c.view(2).announce_local(upstream(instance="old"))
                await trio.sleep(3)
                await c.crash(2)
                await c.start(2, offset_ms)
                c.view(2).announce_local(upstream(instance="new"))

                def has_new_instance(c: Cluster = c) -> bool:
                    target_lists = [c.view(i).targets("svc") for i in c.nodes]
                    return all(
                        [t.upstream.instance_id for t in ts] == ["new"] for ts in target_lists
                    )

                await c.wait_until(has_new_instance, 15)
                await c.wait_until(c.has_converged, 5)

    @run_on_mock_clock
    async def test_leaving_is_known_everywhere_within_two_seconds(self) -> None:
        """Guards against new calls to a leaving upstream whose announcement is lost or delayed."""
        net = MemoryNet(max_delay_s=0.05, loss=0.2)
        async with cluster(25, net) as c:
            c.view(4).announce_local(upstream())
            await c.wait_until(lambda: all(c.view(i).targets("svc") for i in c.nodes), 15)
            changes: list[Callable[[], None]] = [
                lambda: c.view(4).announce_local(upstream(UpstreamState.LEAVING)),
                # An incarnation that is leaving never serves again.
                lambda: c.view(4).announce_local(structs.replace(upstream(), incarnation=2)),
                lambda: c.view(4).set_draining(True),
            ]
            for i, change in enumerate(changes):
                change()
                expected = i != 1
                # Only a leave is bounded by 2 s; a return may wait for the sync interval of 10 s.
                bound_s = 2.0 if expected else 15.0
                await c.wait_until(
                    lambda e=expected: all(  # type: ignore[misc]
                        c.view(i).targets("svc")[0].draining is e for i in c.nodes
                    ),
                    bound_s,
                )
            c.view(4).announce_local(None)
            await c.wait_until(lambda: not any(c.view(i).targets("svc") for i in c.nodes), 2.0)

    @run_on_mock_clock
    async def test_restarted_node_is_told_that_its_upstream_departed(self) -> None:
        """Guards against a restarted node that uses an upstream which left before."""
        async with cluster(5) as c:
            c.view(2).announce_local(upstream())
            await c.wait_until(lambda: all(c.view(i).targets("svc") for i in c.nodes), 15)
            c.view(2).announce_local(upstream(UpstreamState.LEAVING))
            await trio.sleep(2)
            await c.crash(2)
            await c.start(2)
            told: list[UpstreamDeparted] = []

            async def record(node_id: str, msg: UpstreamDeparted) -> None:
                told.append(msg)

            c.nodes[2].peers.handle(UpstreamDeparted, record)
            await c.wait_until(c.has_converged, 15)
            c.view(2).announce_local(upstream())
            await c.wait_until(lambda: bool(told), 5)
            self.assertEqual((told[0].instance_id, told[0].incarnation), ("i", 1))
            await trio.sleep(2)
            others = [c.view(i) for i in c.nodes if i != 2]
            self.assertTrue(all(view.targets("svc")[0].draining for view in others))

    @run_on_mock_clock
    async def test_leave_is_not_a_death(self) -> None:
        """Guards against a planned stop that is detected only by failed probes."""
        async with cluster(6) as c:
            leaver = c.nodes.pop(2)
            await leaver.kernel.get("membership").leave()
            await c.wait_until(c.has_converged, 2)
            states = {c.view(i).table.get("n2") for i in c.nodes}
            self.assertEqual({m.state for m in states if m}, {MemberState.LEFT})
            self.assertIsNone(c.view(0).address_of("n2"))

    @run_on_mock_clock
    async def test_linked_peers_receive_a_change_without_gossip(self) -> None:
        """Guards against a leave that is not pushed over open links and waits for gossip."""
        net = MemoryNet(max_delay_s=0.005)
        async with cluster(3, net) as c:
            await c.nodes[1].peers._get_link("n0")
            net.loss = 1.0
            c.view(1).announce_local(upstream(UpstreamState.LEAVING))
            await c.wait_until(lambda: bool(c.view(0).targets("svc")), 0.1)

    @run_on_mock_clock
    async def test_false_suspicion_is_refuted(self) -> None:
        """Guards against a live node that stays dead after a false suspicion spreads."""
        async with cluster(6) as c:
            own_member = c.view(5).own_member
            for state in (MemberState.SUSPECT, MemberState.DEAD):
                verdict = Verdict("n5", own_member.started_wall_ms, own_member.incarnation, state)
                c.view(0).merge((), (verdict,))
                await trio.sleep(8)
                self.assertTrue(c.has_converged())
                own_member = c.view(5).own_member
            self.assertGreaterEqual(own_member.incarnation, 3)
            self.assertEqual({m.state for m in c.view(1).members().values()}, {MemberState.ALIVE})

    @run_on_mock_clock
    async def test_lossy_network_causes_no_false_death(self) -> None:
        """Guards against false deaths caused by a few lost, duplicated or reordered datagrams."""
        net = MemoryNet(loss=0.15, duplication=0.2, max_delay_s=0.1)
        async with cluster(10, net) as c:
            for _ in range(60):
                await trio.sleep(1)
                self.assertTrue(c.has_converged())

    @run_on_mock_clock
    async def test_partition_heals(self) -> None:
        """Guards against a partition that never heals after each side declared the other dead."""
        net = MemoryNet(max_delay_s=0.005)
        async with cluster(9, net) as c:
            for i in range(5, 9):
                net.groups[c.nodes[i].transport.address] = 1
            await c.wait_until(lambda: len(c.view(0).members()) == 5, 20)
            await c.wait_until(lambda: len(c.view(7).members()) == 4, 20)
            for i in c.nodes:
                # The configured seeds may no longer exist.
                c.view(i)._cfg = MembershipSettings()
            net.groups.clear()
            await c.wait_until(c.has_converged, 30)
            await trio.sleep(15)
            self.assertTrue(c.has_converged())

    @run_on_mock_clock
    async def test_partition_longer_than_the_retention_heals_through_seeds(self) -> None:
        """Guards against a partition that never heals after each side removed the other's nodes."""
        net = MemoryNet(max_delay_s=0.005)
        async with cluster(6, net, dead_retention_ms=20_000) as c:
            for i in range(3, 6):
                net.groups[c.nodes[i].transport.address] = 1
            await trio.sleep(90)
            self.assertIsNone(c.view(0).table.get("n4"))
            net.groups.clear()
            await c.wait_until(c.has_converged, 40)

    @run_on_mock_clock
    async def test_paused_process_suspects_no_member(self) -> None:
        """Guards against a paused process that suspects members because it missed their acks."""
        async with cluster(5) as c:
            c.net.max_delay_s = 0.4
            pending = c.view(1).prober._pending

            def has_unacked_probe() -> bool:
                cutoff_ms = trio.current_time() * 1_000 - c.cfg.probe_timeout_ms - 10
                # Only probes of own rounds lead to a suspicion, not relayed or rejoin probes.
                own_probes = [p for p in pending.values() if p.relay is None and not p.rejoin]
                return any(not p.acked and p.sent_ms < cutoff_ms for p in own_probes)

            for _ in range(8):
                await c.wait_until(has_unacked_probe, 60)
                before = c.nodes[1].counters.get("member_changes", "suspect")
                c.pause(1, 20.0)
                await trio.sleep(22)
                self.assertEqual(c.nodes[1].counters.get("member_changes", "suspect"), before)
                await c.wait_until(c.has_converged, 20)

    @run_on_mock_clock
    async def test_replayed_datagrams_change_nothing(self) -> None:
        """Guards against replayed datagrams that restore an older state."""
        net = MemoryNet(max_delay_s=0.005)
        async with cluster(4, net) as c:
            c.view(3).announce_local(upstream())
            await trio.sleep(2)
            recorded = list(net.datagrams)
            c.view(3).announce_local(upstream(UpstreamState.LEAVING))
            await trio.sleep(2)
            for data, source, address in recorded:
                net._deliver(data, source, address)
            await trio.sleep(5)
            for i in c.nodes:
                self.assertTrue(c.view(i).targets("svc")[0].draining)
            self.assertTrue(c.has_converged())

    @run_on_mock_clock
    async def test_lost_rack_and_mass_restart_keep_the_byte_budget(self) -> None:
        """Guards against gossip over its byte budget when many nodes crash or restart at once."""
        async with cluster(
            40, gossip_bytes_per_s=150, gossip_burst_bytes=2_500, sync_interval_ms=3_000
        ) as c:
            crashed = list(range(28, 40))
            for i in crashed:
                await c.crash(i)
            await self.assert_budget(c, 20)
            await c.wait_until(c.has_converged, 30)
            for i in crashed:
                await c.start(i)
            await self.assert_budget(c, 10)
            await c.wait_until(c.has_converged, 30)

    async def assert_budget(self, c: Cluster, seconds: float) -> None:
        """Check the gossip bytes of every node against the configured rate and burst."""
        before = {i: c.nodes[i].counters.get("gossip_bytes_out", "Gossip") for i in c.nodes}
        await trio.sleep(seconds)
        for i, sent in before.items():
            sent_bytes = c.nodes[i].counters.get("gossip_bytes_out", "Gossip") - sent
            limit = c.cfg.gossip_burst_bytes + seconds * c.cfg.gossip_bytes_per_s
            self.assertLessEqual(sent_bytes, limit + c.cfg.max_datagram_bytes)

    @run_on_mock_clock
    async def test_events_are_limited_and_repaired_by_syncs(self) -> None:
        """Guards against updates dropped by the event limit and never repaired by a sync."""
        net = MemoryNet(max_delay_s=0.005)
        async with cluster(12, net, max_events_per_s=1, sync_interval_ms=2_000) as c:
            for i in c.nodes:
                c.view(i).announce_local(upstream(instance=str(i)))
            await c.wait_until(
                lambda: all(len(c.view(i).targets("svc")) == 12 for i in c.nodes), 30
            )
            limited = sum(n.counters.get("member_events_limited") for n in c.nodes.values())
            self.assertGreater(limited, 0)

    @run_on_mock_clock
    async def test_flapping_announcements_are_limited(self) -> None:
        """Guards against a flapping upstream that causes cluster traffic with every change."""
        async with cluster(3) as c:
            first_incarnation = c.view(1).own_member.incarnation
            for i in range(200):
                c.view(1).announce_local(upstream(instance=str(i)))
                await trio.sleep(0.01)
            self.assertLess(c.view(1).own_member.incarnation - first_incarnation, 25)
            await trio.sleep(1)
            (target,) = c.view(0).targets("svc")
            self.assertEqual(target.upstream.instance_id, "199")

    @run_on_mock_clock
    async def test_table_is_bounded(self) -> None:
        """Guards against a member table that grows without bound."""
        async with cluster(3, max_members=4) as c:
            own_member = c.view(0).own_member
            for i in range(10):
                update = Gossip(
                    "x", (own_member.__class__(f"x{i}", own_member.address, "r", "d", 1),), ()
                )
                await c.view(0)._on_push("x", update)
            self.assertEqual(len(c.view(0).table), 4)
            self.assertGreater(c.nodes[0].counters.get("member_table_full"), 0)

    @run_on_mock_clock
    async def test_failing_subscriber_does_not_stop_the_service(self) -> None:
        """Guards against an exception in a subscriber that stops the membership service."""

        def fail(event: object) -> None:
            raise ZeroDivisionError

        async with cluster(3) as c:
            c.view(0).subscribe(fail)
            await c.start(3)
            await c.wait_until(c.has_converged, 5)
