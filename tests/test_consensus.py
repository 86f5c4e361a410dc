"""Tests of the replicated log on a simulated network."""

from __future__ import annotations

import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from trio.testing import MockClock

from knapweedhitch.changes import DomainIn, DomainOut, PutService
from knapweedhitch.codec import Message
from knapweedhitch.counters import Counters
from knapweedhitch.election import Elections
from knapweedhitch.exceptions import CorruptFile, NotLeader, VersionConflict
from knapweedhitch.history import ConfigurationMachine
from knapweedhitch.messages import AppendReply, IntroduceReply, LogEntry, SnapshotChunk, VoteRequest
from knapweedhitch.raftstate import ReplicaState, Role, encode_members
from knapweedhitch.readmission import Readmission
from knapweedhitch.replication import Replication
from knapweedhitch.snapshot import Snapshot
from knapweedhitch.snapshot import encode as encode_snapshot
from knapweedhitch.store import Store
from knapweedhitch.voters import VoterChanges
from tests.faulty_disk import FaultyDisk
from tests.state_cluster import (
    Cluster,
    encode_change,
    make_settings,
    service_config,
    wait_until,
    with_cluster,
)


def run(
    fn: Callable[[Cluster], Awaitable[None]], size: int = 3, seed: int = 1, **control: Any
) -> None:
    """Run a test function on a cluster with a virtual clock."""

    async def main() -> None:
        with trio.fail_after(600):
            await with_cluster(fn, size, seed, **control)

    trio.run(main, clock=MockClock(autojump_threshold=0))


async def make_state(disk: FaultyDisk) -> ReplicaState:
    """Return the state of one of three replicas, without running its tasks."""
    cfg = make_settings("c1", 3)
    store = await Store.open(disk, "k", "c1")
    transport: Any = None
    machine = ConfigurationMachine(cfg.control)
    state = ReplicaState(cfg, store, transport, machine, Counters(), random.Random(1))
    state.is_confirmed = True
    return state


class CommitTest(unittest.TestCase):
    def test_entry_of_an_earlier_term_commits_only_with_one_of_the_current_term(self) -> None:
        """Guards against a committed entry that a later leader may replace.

        This happens if an entry of an earlier term commits by its replicas alone, or if a disk
        that is no member counts.
        """

        async def check() -> None:
            state = await make_state(FaultyDisk())
            voters = {"c1": state.store.disk_id, "c2": "x", "c3": "y"}
            body = encode_change(DomainOut("d"))
            members = LogEntry(1, 1, "members", encode_members("g", voters))
            state.store.stage(
                [members, LogEntry(2, 2, "change", body), LogEntry(4, 3, "noop", b"")]
            )
            state.record_members(members)
            await state.store.set_term(4, "c1")
            state.role, state.durable_index = Role.LEADER, 3
            # A disk that is no member never counts, however many entries it holds.
            for disk_id, match, committed in (("other", 3, 0), ("x", 2, 0), ("x", 3, 3)):
                state.progress["c2"].record_disk(disk_id)
                state.progress["c2"].match_index = match
                state.advance_commit()
                self.assertEqual(state.commit_index, committed)

        trio.run(check)


class VoteTest(unittest.TestCase):
    def test_vote_survives_a_power_loss(self) -> None:
        """Guards against two votes of one disk in one term, after a power loss drops the first."""

        async def ask(disk: FaultyDisk, candidate: str, term: int = 5) -> bool:
            state = await make_state(disk)
            req = VoteRequest(term, candidate, 0, 0, False, "x", state.store.disk_id)
            return (await Elections(state).on_vote(candidate, req)).granted

        async def check() -> None:
            disk = FaultyDisk()
            self.assertTrue(await ask(disk, "c2"))
            disk.lose_power(keep=0.0)
            disk = disk.reopened()
            self.assertFalse(await ask(disk, "c3"))
            self.assertFalse(await ask(disk.reopened(), "c3", 4))
            self.assertTrue(await ask(disk.reopened(), "c2"))

        trio.run(check)


class SingleMemberTest(unittest.TestCase):
    def test_changes_of_a_single_member_survive_a_power_loss(self) -> None:
        """Guards against acknowledging a change before its sync, so that a power loss drops it."""

        async def check(cluster: Cluster) -> None:
            for _ in range(5):
                await cluster.change()
            await cluster.crash("c1", power=True)
            await cluster.restart("c1")
            await cluster.check_nothing_lost()
            self.assertEqual(cluster.nodes["c1"].machine.current.version, 6)

        run(check, size=1)

    def test_conflict_is_raised_to_the_proposer(self) -> None:
        """Guards against a refused change that looks accepted."""

        async def check(cluster: Cluster) -> None:
            await cluster.wait_for_leader()
            first = encode_change(PutService(service_config("a")), "first", 0)
            second = encode_change(PutService(service_config("b")), "second", 0)
            self.assertEqual(await cluster.nodes["c1"].replica.propose(first), 1)
            with self.assertRaisesRegex(VersionConflict, r"first.*second"):
                await cluster.nodes["c1"].replica.propose(second)

        run(check, size=1)

    def test_damaged_log_of_the_only_member_stops_the_start(self) -> None:
        """Guards against a group that silently starts empty because its only log is damaged."""

        async def check(cluster: Cluster) -> None:
            for _ in range(5):
                await cluster.change()
            await cluster.crash("c1")
            cluster.nodes["c1"].disk.flip_bit("log", 100)
            with self.assertRaises(CorruptFile):
                await cluster.restart("c1")

        with self.assertRaises(BaseExceptionGroup) as caught:
            run(check, size=1)
        self.assertIsNotNone(caught.exception.subgroup(CorruptFile))


class OlderCopyTest(unittest.TestCase):
    def test_leader_refuses_a_disk_that_holds_less_than_it_acknowledged(self) -> None:
        """Guards against a commit that counts entries which a disk has lost."""

        async def check() -> None:
            state = await make_state(FaultyDisk())
            replication = Replication(state, VoterChanges(state, tuple))
            state.role, peer = Role.LEADER, state.progress["c2"]
            for ok, match, counted in ((True, 5, 5), (False, 3, 0), (True, 5, 0)):
                reply = AppendReply(state.store.term, ok, match, "x")
                self.assertTrue(await replication._check_reply(peer, state.store.term, 0.0, reply))
                replication._record_match(peer, reply)
                self.assertEqual(state._match_index("c2", "x"), counted)

        trio.run(check)

    def test_older_copy_does_not_vote_in_the_highest_term_of_the_others(self) -> None:
        """Guards against a second vote in one term, on a copy from before the first vote."""

        async def check(own_term: int) -> None:
            state = await make_state(FaultyDisk())
            await state.store.set_term(own_term, "")
            state.is_confirmed, state.transport = False, FakeTransport()
            elections = Elections(state)

            async def ask(term: int) -> bool:
                req = VoteRequest(term, "c2", 1, 1, False, "other", state.store.disk_id)
                return (await elections.on_vote("c2", req)).granted

            self.assertFalse(await ask(8))
            await Readmission(state, lambda: None).run()
            self.assertFalse(await ask(7))
            self.assertTrue(await ask(8))

        class FakeTransport:
            async def call(self, node_id: str, msg: Message, timeout_ms: float) -> Message:
                return IntroduceReply("x", False, False, 7, 0, 0, -1, -1.0)

            def handle(self, *args: Any) -> None:
                pass

        for own_term in (5, 7):
            trio.run(check, own_term, clock=MockClock(autojump_threshold=0))


class ThreeMembersTest(unittest.TestCase):
    def test_first_start_needs_every_member(self) -> None:
        """Guards against a second group, formed by a part of the members at the first start."""

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                cluster = Cluster(nursery, 3)
                await cluster.start("c1", "c2")
                await trio.sleep(10)
                self.assertIsNone(cluster.leader())
                await cluster.start("c3")
                await cluster.change()
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    def test_leader_crash_keeps_accepted_changes(self) -> None:
        """Guards against a new leader that lacks changes which the crashed leader accepted."""

        async def check(cluster: Cluster) -> None:
            for _ in range(10):
                await cluster.change()
                leader = await cluster.wait_for_leader()
                await cluster.crash(leader.node_id, power=True)
                await cluster.change()
                await cluster.restart(leader.node_id)
                # Until confirmed, its folder may be an older copy, which the group cannot detect
                # once the old leader is gone.
                state = cluster.nodes[leader.node_id].replica.state
                await wait_until(lambda state=state: state.is_confirmed, 1_000)
            await cluster.check_nothing_lost()

        run(check)

    def check_older_copy(self, last_event: str) -> None:
        async def check(cluster: Cluster) -> None:
            leader = (await cluster.wait_for_leader()).node_id
            old, late = (n for n in cluster.names if n != leader)
            await cluster.change()
            copy = cluster.nodes[old].disk.copy()
            cluster.network.cut |= {(leader, late), (late, leader)}
            for _ in range(5):
                await cluster.change()
            disk_id = await cluster.restore(old, copy)
            if last_event == "readmitted":
                cluster.heal()
                await wait_until(lambda: cluster.voters().get(old, disk_id) != disk_id)
                self.assertEqual(cluster.nodes[old].counters.get("consensus_older_copy"), 1)
            await cluster.crash(leader)
            cluster.heal()
            if last_event == "readmitted":
                await cluster.change()
            else:
                await trio.sleep(10)
                self.assertIsNone(cluster.leader())
            await cluster.check_nothing_lost()

        run(check)

    def test_older_copy_is_admitted_again_before_the_next_loss(self) -> None:
        """Guards against an older copy under the same disk id that forgets acknowledged entries."""
        self.check_older_copy("readmitted")

    def test_older_copy_elects_no_leader_when_its_leader_is_lost_at_once(self) -> None:
        """Guards against a vote of an older copy that no other member has confirmed."""
        self.check_older_copy("lost at once")

    def test_late_introduction_does_not_end_the_use_of_a_disk(self) -> None:
        """Guards against a leader that loses its majority: a member had introduced itself after a
        restart, the message arrived late, and its disk counted as an older copy from then on.
        """

        async def check(cluster: Cluster) -> None:
            leader = await cluster.wait_for_leader()
            restarted, other = (n for n in cluster.names if n != leader.node_id)
            await cluster.restart(restarted)
            replica = cluster.nodes[restarted].replica
            await wait_until(lambda: replica.state.is_confirmed)
            await cluster.change()
            progress = leader.replica.state.progress[restarted]
            await wait_until(lambda: progress.match_index == leader.replica.state.store.last_index)
            introduction = replica._readmission._initial_state
            await leader.replica._readmission.on_introduce(restarted, introduction)
            term = leader.replica.state.store.term
            await cluster.crash(other)
            await cluster.change()
            self.assertEqual(leader.replica.state.store.term, term)

        run(check)

    def test_restart_next_to_a_dead_member_is_confirmed_by_the_leader(self) -> None:
        """Guards against restarted members that wait for a dead one although a leader exists."""

        async def check(cluster: Cluster) -> None:
            leader = (await cluster.wait_for_leader()).node_id
            dead, restarted = [n for n in cluster.names if n != leader][:2]
            await cluster.crash(dead)
            await cluster.change()
            await cluster.restart(restarted)
            state = cluster.nodes[restarted].replica.state
            await wait_until(lambda: state.is_confirmed, 2_000)
            await cluster.check_nothing_lost()

        run(check, size=5)

    def test_isolated_leader_is_not_fresh_and_accepts_nothing(self) -> None:
        """Guards against a leader that stays fresh after it is cut off from the majority."""

        async def check(cluster: Cluster) -> None:
            old = await cluster.wait_for_leader()
            others = [n for n in cluster.names if n != old.node_id]
            for name in others:
                cluster.network.cut |= {(old.node_id, name), (name, old.node_id)}
            cut_ms = trio.current_time()
            # No message that was sent after the cut has been acknowledged.
            await trio.sleep(0.5)
            self.assertGreaterEqual(old.replica.freshness_age_ms() or 0.0, 499.0)
            body = encode_change(DomainOut("x"))
            self.assertIsNone(await cluster.propose(old.node_id, body))
            await trio.sleep(3)
            self.assertIsNone(old.replica.freshness_age_ms())
            self.assertFalse(old.replica.is_leader)
            await cluster.change()
            with self.assertRaises(NotLeader):
                await old.replica.propose(body)
            self.assertLess(trio.current_time() - cut_ms, 15)
            await cluster.check_nothing_lost()

        run(check)

    def test_replaced_disk_is_admitted_again_and_the_next_loss_drops_no_change(self) -> None:
        """Guards against a replaced, empty disk that counts towards a majority."""

        async def check(cluster: Cluster) -> None:
            for _ in range(20):
                await cluster.change()
            for name in ("c1", "c2", "c3", "c1"):
                await cluster.crash(name)
                await cluster.change()
                await cluster.restart(name, empty=True)
                disk_id = cluster.nodes[name].replica.state.store.disk_id
                await wait_until(lambda n=name, d=disk_id: cluster.voters().get(n) == d, 20_000)
            await cluster.check_nothing_lost()

        run(check)

    def test_empty_disk_is_not_admitted_before_it_caught_up(self) -> None:
        """Guards against a majority that needs a member whose replaced disk lacks the log."""

        async def check(cluster: Cluster) -> None:
            for _ in range(5):
                await cluster.change()
            await cluster.crash("c3")
            await cluster.change()
            before = dict(cluster.voters())
            await cluster.restart("c3", empty=True)
            # After 3 s its term is durable, so it replies to heartbeats, but its entries are not.
            cluster.nodes["c3"].disk.latency_ms = 3_000.0
            await trio.sleep(5.0)
            progress = (await cluster.wait_for_leader()).replica.state.progress["c3"]
            self.assertEqual(progress.disk_id, cluster.nodes["c3"].replica.state.store.disk_id)
            self.assertEqual(cluster.voters(), before)
            await cluster.check_nothing_lost()

        run(check)

    def test_two_empty_disks_elect_no_leader(self) -> None:
        """Guards against a majority of empty disks that elects a leader without the changes."""

        async def check(cluster: Cluster) -> None:
            await cluster.change()
            held_index = cluster.nodes["c3"].replica.state.store.last_index
            for name in cluster.names:
                await cluster.crash(name)
            await cluster.restart("c1", empty=True)
            await cluster.restart("c2", empty=True)
            await trio.sleep(20)
            self.assertIsNone(cluster.leader())
            await cluster.restart("c3")
            await trio.sleep(20)
            self.assertIsNone(cluster.leader())
            self.assertEqual(cluster.nodes["c3"].replica.state.store.last_index, held_index)

        run(check)

    def test_lagging_member_gets_a_snapshot(self) -> None:
        """Guards against a member that cannot catch up because the log has been compacted."""

        async def check(cluster: Cluster) -> None:
            await cluster.change()
            await cluster.crash("c3")
            for number in range(600):
                domain = f"d{number % 7}"
                op = DomainIn(domain) if number % 2 else DomainOut(domain)
                leader = await cluster.wait_for_leader()
                await cluster.propose(leader.node_id, encode_change(op))
            await cluster.restart("c3")
            await cluster.check_nothing_lost()
            installed_count = cluster.nodes["c3"].counters.get("consensus_snapshots_installed")
            self.assertGreaterEqual(installed_count, 1)

        run(check, snapshot_after_entries=50, max_snapshot_chunk_bytes=1_000)

    def test_damaged_transfer_is_sent_again(self) -> None:
        """Guards against a replica that stops because a snapshot is damaged in transit."""

        async def check(cluster: Cluster) -> None:
            await cluster.change()
            leader = await cluster.wait_for_leader()
            follower = next(n for n in cluster.nodes.values() if n is not leader)
            term = leader.replica.state.store.term
            handler = cluster.network.endpoints[follower.node_id].handlers[SnapshotChunk]
            chunk = SnapshotChunk(term, leader.node_id, 90, term, 0, b"damaged", True)
            self.assertEqual((await handler(leader.node_id, chunk)).next_offset, 0)
            self.assertFalse(follower.replica.is_stopped)
            await cluster.check_nothing_lost()

        run(check)

    def test_transfer_of_a_wrong_state_is_not_made_durable(self) -> None:
        """Guards against a replica that stops, and does not start again, for a state that another
        replica has sent.
        """

        async def check(cluster: Cluster) -> None:
            await cluster.change()
            leader = await cluster.wait_for_leader()
            follower = next(n for n in cluster.nodes.values() if n is not leader)
            state = leader.replica.state
            term = state.store.term
            handler = cluster.network.endpoints[follower.node_id].handlers[SnapshotChunk]
            snap = Snapshot(90, term, state.voters, state.group_id, b"no state")
            chunk = SnapshotChunk(term, leader.node_id, 90, term, 0, encode_snapshot(snap), True)
            self.assertEqual((await handler(leader.node_id, chunk)).next_offset, 0)
            self.assertFalse(follower.replica.is_stopped)
            await cluster.crash(follower.node_id)
            await cluster.restart(follower.node_id)
            await cluster.check_nothing_lost()

        run(check)

    def test_failed_sync_stops_the_replica_for_good(self) -> None:
        """Guards against acknowledging changes after a failed sync, which may not be on disk."""

        async def check(cluster: Cluster) -> None:
            await cluster.change()
            leader = await cluster.wait_for_leader()
            leader.disk.failing_syncs = 1
            await cluster.propose(leader.node_id, encode_change(DomainOut("x")))
            await trio.sleep(1)
            self.assertTrue(leader.replica.is_stopped)
            await cluster.change()
            syncs = leader.disk.syncs
            await trio.sleep(5)
            self.assertEqual(leader.disk.syncs, syncs)
            await cluster.check_nothing_lost()

        run(check)

    def test_damaged_copy_is_rebuilt_from_the_others(self) -> None:
        """Guards against a replica that serves entries of a log that is damaged on disk."""

        async def check(cluster: Cluster) -> None:
            for _ in range(10):
                await cluster.change()
            await cluster.crash("c2")
            cluster.nodes["c2"].disk.flip_bit("log", 300)
            await cluster.restart("c2")
            self.assertEqual(cluster.nodes["c2"].counters.get("consensus_corrupt", "log"), 1)
            await trio.sleep(3)
            disk_id = cluster.nodes["c2"].replica.state.store.disk_id
            leader = await cluster.wait_for_leader()
            self.assertEqual(leader.replica.state.voters["c2"], disk_id)
            await cluster.check_nothing_lost()

        run(check)

    def test_slow_disks_do_not_end_leadership(self) -> None:
        """Guards against elections and lost freshness caused by slow syncs of all followers."""

        async def check(cluster: Cluster) -> None:
            leader = await cluster.wait_for_leader()
            for name in cluster.names:
                if name != leader.node_id:
                    cluster.nodes[name].disk.latency_ms = 2_500.0
            for _ in range(10):
                await cluster.change(20_000)
                self.assertLess(leader.replica.freshness_age_ms() or 9_999.0, 600.0)
            self.assertEqual(cluster.leader(), leader)
            self.assertEqual(leader.counters.get("consensus_step_down"), 0)
            await cluster.check_nothing_lost()

        run(check)

    def test_change_that_cannot_commit_ends_freshness(self) -> None:
        """Guards against fresh nodes that miss a claim group in force, as it cannot commit."""

        async def check(cluster: Cluster) -> None:
            leader = await cluster.wait_for_leader()
            for name in cluster.names:
                if name != leader.node_id:
                    cluster.nodes[name].disk.latency_ms = 8_000.0
            body = encode_change(DomainOut("x"))
            cluster.nursery.start_soon(cluster.propose, leader.node_id, body, 30_000.0)
            await trio.sleep(3.0)
            self.assertIsNotNone(leader.replica.freshness_age_ms())
            # Limit in ms: 10,000 activation delay - 2,000 lease - 2 * 2,000 clock skew.
            await trio.sleep(1.1)
            self.assertIsNone(leader.replica.freshness_age_ms())
            await cluster.check_nothing_lost()

        run(check)
