"""Tests of control instances that join, replace a lost one, or recover from a failed disk."""

from __future__ import annotations

import itertools
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from trio.testing import MockClock

from knapweedhitch import wal
from knapweedhitch.settings import Settings
from knapweedhitch.voters import GroupView
from tests.state_cluster import NAMES, Cluster, Node, make_settings, wait_until

SEEDS = 3
CONTROL = {
    "max_voters": 5,
    "confirm_restarts": False,
    "replace_silent_ms": 2_000,
    "reopen_ms": 500,
    "max_sync_ms": 400,
}
# A new instance counts as lost for this long after its start.
CATCH_UP_S = 4.2


class JoiningCluster(Cluster):
    """Configure three instances in the settings; membership lists the others."""

    def cfg(self, node_id: str) -> Settings:
        return make_settings(node_id, SEEDS, **self.control)


def run(fn: Callable[[JoiningCluster], Awaitable[None]], size: int = 5, **control: Any) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            cluster = JoiningCluster(nursery, size, 1, {**CONTROL, **control})
            await cluster.start()
            nursery.start_soon(cluster.watch)
            await fn(cluster)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


async def wait_for_voters(cluster: Cluster, *names: str) -> None:
    await wait_until(lambda: set(cluster.voters()) == set(names), 20_000.0)


class JoinTest(unittest.TestCase):
    def test_instances_beyond_the_seeds_become_voters(self) -> None:
        """Guards against five instances of which only three store the accepted changes."""

        async def check(cluster: JoiningCluster) -> None:
            await wait_for_voters(cluster, *NAMES[:5])
            await cluster.change()

        run(check)

    def test_lost_instance_is_replaced_by_one_at_another_address(self) -> None:
        """Guards against a group that shrinks with each machine that is replaced."""

        async def check(cluster: JoiningCluster) -> None:
            await wait_for_voters(cluster, *NAMES[:5])
            await cluster.change()
            await cluster.crash(NAMES[1], power=True)
            await cluster.start(NAMES[5])
            expected = [NAMES[0], *NAMES[2:6]]
            await wait_for_voters(cluster, *expected)
            await cluster.change()
            # The new group loses two disks at once.
            for name in expected[1:3]:
                await cluster.restart(name, empty=True)
            await cluster.change()
            await wait_for_voters(cluster, *expected)
            cluster.names = expected
            del cluster.nodes[NAMES[1]]
            await cluster.check_nothing_lost()

        run(check)

    def test_surplus_instance_waits_until_a_voter_is_lost(self) -> None:
        """Guards against a sixth voter, with which the loss of three stops the group."""

        async def check(cluster: JoiningCluster) -> None:
            await wait_for_voters(cluster, *NAMES[:5])
            await cluster.start(NAMES[5])
            await trio.sleep(5.0)
            self.assertEqual(set(cluster.voters()), set(NAMES[:5]))
            await cluster.crash(NAMES[4])
            await wait_for_voters(cluster, *NAMES[:4], NAMES[5])

        run(check)

    def test_short_silence_replaces_no_voter(self) -> None:
        """Guards against a membership change for an instance that only restarts."""

        async def check(cluster: JoiningCluster) -> None:
            await wait_for_voters(cluster, *NAMES[:5])
            await cluster.start(NAMES[5])
            await trio.sleep(1.0)
            await cluster.crash(NAMES[4])
            await trio.sleep(1.0)
            await cluster.restart(NAMES[4])
            await trio.sleep(5.0)
            self.assertEqual(set(cluster.voters()), set(NAMES[:5]))

        run(check)

    def test_instances_that_restart_beside_a_lost_one_form_a_quorum_at_once(self) -> None:
        """Guards against a group that waits after a restart for an instance that stays lost."""

        async def check(cluster: JoiningCluster) -> None:
            await wait_for_voters(cluster, *NAMES[:5])
            await cluster.change()
            await cluster.crash(NAMES[0], power=True)
            for name in NAMES[1:5]:
                await cluster.crash(name)
            for name in NAMES[1:5]:
                await cluster.restart(name)
            await cluster.change(timeout_ms=5_000.0)

        run(check)

    def test_empty_instances_form_no_second_group(self) -> None:
        """Guards against instances with lost disks that form a new group from version 0."""

        async def check(cluster: JoiningCluster) -> None:
            await trio.sleep(10.0)
            self.assertIsNone(cluster.leader())

        run(check, may_form_group=False)


class GrowthTest(unittest.TestCase):
    def test_two_disks_may_be_lost_right_after_the_first_change(self) -> None:
        """Guards against a first change that only the seeds hold, of which two lose their disks."""
        for late_s in (0.0, 0.25, 1.0):

            async def check(cluster: JoiningCluster, late_s: float = late_s) -> None:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(start_late, cluster, late_s)
                    await cluster.change()
                await lose_two_disks(cluster, list(NAMES[:5]))

            with self.subTest(late_s=late_s):
                run(check, size=SEEDS, full_group_wait_ms=4_000)

    def test_instances_that_do_not_join_delay_only_the_first_change(self) -> None:
        """Guards against a group that accepts no change, or waits after each election, since fewer
        instances exist than may vote.
        """

        async def check(cluster: JoiningCluster) -> None:
            start_s = trio.current_time()
            await cluster.change()
            self.assertLess(trio.current_time() - start_s, 6)
            leader = await cluster.wait_for_leader()
            await cluster.crash(leader.node_id)
            await cluster.change(timeout_ms=3_000.0)

        run(check, size=SEEDS, full_group_wait_ms=4_000)


async def start_late(cluster: JoiningCluster, late_s: float) -> None:
    await trio.sleep(late_s)
    await cluster.start(*NAMES[SEEDS:5])
    cluster.names = NAMES[:5]


class PlannedReplacementTest(unittest.TestCase):
    def test_two_disks_may_be_lost_after_a_planned_replacement(self) -> None:
        """Guards against a group without a leader for good, after the loss of as many disks as it
        tolerates, since the replaced instance was still a voter and its successor none.
        """
        for old, pause_s in itertools.product(NAMES[:5], (0.0, 1.0)):

            async def check(
                cluster: JoiningCluster, old: str = old, pause_s: float = pause_s
            ) -> None:
                await wait_for_voters(cluster, *NAMES[:5])
                await cluster.change()
                await cluster.start(NAMES[5])
                await trio.sleep(CATCH_UP_S)
                expected = [name for name in NAMES[:6] if name != old]
                await cluster.stop(old)
                del cluster.nodes[old]
                cluster.names = tuple(expected)
                await trio.sleep(pause_s)
                await lose_two_disks(cluster, expected)

            with self.subTest(old=old, pause_s=pause_s):
                run(check)

    def test_two_disks_may_be_lost_during_a_planned_replacement(self) -> None:
        """Guards against a vote that is not handed over if the disks are lost at the same time."""
        for old in NAMES[:5]:

            async def check(cluster: JoiningCluster, old: str = old) -> None:
                await wait_for_voters(cluster, *NAMES[:5])
                await cluster.change()
                await cluster.start(NAMES[5])
                await trio.sleep(CATCH_UP_S)
                expected = [name for name in NAMES[:6] if name != old]
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(cluster.stop, old)
                    await lose_two_disks(cluster, expected)
                del cluster.nodes[old]
                cluster.names = tuple(expected)
                await cluster.check_nothing_lost()

            with self.subTest(old=old):
                run(check)

    def test_several_planned_replacements_in_quick_turn(self) -> None:
        """Guards against a group that planned work alone leaves without a majority."""

        async def check(cluster: JoiningCluster) -> None:
            await wait_for_voters(cluster, *NAMES[:5])
            await cluster.change()
            async with trio.open_nursery() as nursery:
                for old, new in zip(NAMES[:5], NAMES[5:10], strict=True):
                    await cluster.start(new)
                    nursery.start_soon(stop_later, cluster, old)
                    await trio.sleep(0.3)
            for old in NAMES[:5]:
                del cluster.nodes[old]
            cluster.names = NAMES[5:10]
            await cluster.change()
            await lose_two_disks(cluster, list(NAMES[5:10]))

        run(check)

    def test_leader_lost_for_good_counts_no_longer_than_its_successor_needs(self) -> None:
        """Guards against a lost leader that is still a voter when two further disks are lost, after
        its successor, which started at once, has had its time.
        """

        async def check(cluster: JoiningCluster) -> None:
            await wait_for_voters(cluster, *NAMES[:5])
            await cluster.change()
            old = (await cluster.wait_for_leader()).node_id
            await cluster.crash(old, power=True)
            await trio.sleep(0.1)
            await cluster.start(NAMES[5])
            await trio.sleep(CATCH_UP_S)
            expected = [name for name in NAMES[:6] if name != old]
            del cluster.nodes[old]
            cluster.names = tuple(expected)
            await lose_two_disks(cluster, expected)

        run(check)

    def test_instance_that_comes_back_stops_at_once(self) -> None:
        """Guards against a restart that waits for a successor, or that shrinks the group."""

        async def check(cluster: JoiningCluster) -> None:
            await wait_for_voters(cluster, *NAMES[:5])
            for name in NAMES[:5]:
                start_s = trio.current_time()
                await cluster.stop(name)
                self.assertLess(trio.current_time() - start_s, 0.1)
                await trio.sleep(1.0)
                await cluster.restart(name)
                await trio.sleep(2.0)
                self.assertEqual(set(cluster.voters()), set(NAMES[:5]))

        run(check)

    def test_stopping_learner_does_not_become_a_voter(self) -> None:
        """Guards against a vote that is handed over to an instance that ends as well."""

        async def check(cluster: JoiningCluster) -> None:
            await wait_for_voters(cluster, *NAMES[:5])
            await cluster.start(NAMES[5])
            await trio.sleep(CATCH_UP_S)
            # It still closes its connections while the other one stops.
            await cluster.nodes[NAMES[5]].replica.hand_over()
            await cluster.stop(NAMES[1])
            await cluster.crash(NAMES[5])
            await trio.sleep(1.0)
            self.assertEqual(set(cluster.voters()), set(NAMES[:5]))

        run(check)

    def test_handed_over_vote_shows_in_the_view_of_the_group(self) -> None:
        """Guards against operators who do not see who votes and how many disks may be lost."""

        async def check(cluster: JoiningCluster) -> None:
            await wait_for_voters(cluster, *NAMES[:5])
            await cluster.start(NAMES[5])
            await trio.sleep(CATCH_UP_S)
            leader = await cluster.wait_for_leader()
            other = next(name for name in NAMES[:5] if name != leader.node_id)
            self.assertEqual(leader.replica.group_view(), GroupView(NAMES[:5], (NAMES[5],), {}, 2))
            await cluster.crash(other, power=True)
            await trio.sleep(1.0)
            view = leader.replica.group_view()
            self.assertEqual(view and view.losable_disks, 1)
            await wait_for_voters(cluster, *sorted({*NAMES[:6]} - {other}))
            await cluster.restart(other)
            await trio.sleep(1.0)
            view = leader.replica.group_view()
            self.assertEqual(view and (view.learners, view.losable_disks), ((other,), 2))

        run(check)


async def stop_later(cluster: JoiningCluster, name: str) -> None:
    await trio.sleep(CATCH_UP_S)
    await cluster.stop(name)


async def lose_two_disks(cluster: JoiningCluster, names: list[str]) -> None:
    """Lose two disks of the group and check that it goes on with all that it has accepted."""
    lost = names[1:3]
    for name in lost:
        await cluster.crash(name, power=True)
    await trio.sleep(1.5)
    for name in lost:
        await cluster.restart(name, empty=True)
    await cluster.change()
    if set(cluster.names) == set(names):
        await cluster.check_nothing_lost()


class StartTest(unittest.TestCase):
    def test_completely_restarted_group_elects_a_leader_at_once(self) -> None:
        """Guards against nodes without a configuration for the time of a normal election."""

        async def check(cluster: JoiningCluster) -> None:
            await wait_for_voters(cluster, *NAMES[:5])
            await cluster.change()
            for name in NAMES[:5]:
                await cluster.crash(name)
            for name in NAMES[:5]:
                await cluster.restart(name)
            await cluster.wait_for_leader(timeout_ms=600.0)

        run(check, first_election_timeout_ms=150, election_timeout_ms=2_000)

    def test_restarted_instance_causes_no_election(self) -> None:
        """Guards against an election caused by an instance that restarts beside a live leader."""

        async def check(cluster: JoiningCluster) -> None:
            await wait_for_voters(cluster, *NAMES[:5])
            leader = await cluster.wait_for_leader()
            other = next(name for name in NAMES[:5] if name != leader.node_id)
            await cluster.restart(other)
            await trio.sleep(3.0)
            self.assertIs(cluster.leader(), leader)

        run(check, first_election_timeout_ms=30)


class DiskTest(unittest.TestCase):
    def test_replica_resumes_when_its_disk_accepts_writes_again(self) -> None:
        """Guards against a member that stays stopped after its disk failed for a few seconds."""

        async def check(cluster: JoiningCluster) -> None:
            await wait_for_voters(cluster, *NAMES[:5])
            follower = next(n for n in cluster.nodes.values() if not n.replica.is_leader)
            follower.disk.failing_syncs = 3
            await cluster.change()
            await wait_until(lambda: follower.replica.is_stopped)
            version = await cluster.change()
            await wait_until(lambda: not follower.replica.is_stopped)
            await wait_until(lambda: follower.machine.current.version >= version)

        run(check)

    def test_leader_whose_disk_stalls_is_replaced(self) -> None:
        """Guards against changes that wait for as long as the leader's disk hangs."""

        async def check(cluster: JoiningCluster) -> None:
            await wait_for_voters(cluster, *NAMES[:5])
            leader = await cluster.wait_for_leader()
            leader.disk.latency_ms = 60_000.0
            # The followers sync the first change; the second one waits for the leader's disk.
            await cluster.change(timeout_ms=4_000.0)
            await cluster.change(timeout_ms=4_000.0)
            self.assertNotEqual((await cluster.wait_for_leader()).node_id, leader.node_id)

        run(check)

    def test_disks_that_were_full_in_turn_count_again(self) -> None:
        """Guards against a group that refuses changes to the end, although all its members run and
        no two of their disks were full at the same time.
        """

        async def check(cluster: JoiningCluster) -> None:
            await wait_for_voters(cluster, *NAMES[:5])
            for name in (*NAMES[:5], *NAMES[:5]):
                node = cluster.nodes[name]
                # Some of the next write still fits.
                node.disk.free_bytes = cluster.rng.randrange(100)
                await cluster.change()
                await wait_until(lambda n=node: n.replica.is_stopped)
                await cluster.change(timeout_ms=4_000.0)
                await trio.sleep(2.0)
                node.disk.free_bytes = None
                await wait_until(lambda n=node: not n.replica.is_stopped)
            await trio.sleep(1.0)
            # Each disk counts: any three members accept a change without the others.
            for lost in itertools.combinations(NAMES[:5], 2):
                for name in lost:
                    await cluster.crash(name)
                await cluster.change(timeout_ms=6_000.0)
                for name in lost:
                    await cluster.restart(name)
                await trio.sleep(1.0)
            await cluster.check_nothing_lost()

        run(check)

    def test_replica_that_has_failed_acknowledges_nothing(self) -> None:
        """Guards against an acknowledgement of an entry that never reached a disk: requests that
        waited behind the failed write found the entry in memory. The disk then counted as one that
        had lost data, for as long as that leader led.
        """

        async def check(cluster: JoiningCluster) -> None:
            await wait_for_voters(cluster, *NAMES[:5])
            leader = await cluster.wait_for_leader()
            follower = next(n for n in cluster.nodes.values() if n is not leader)
            # The leader repeats its request while this sync takes long; then the disk is full.
            follower.disk.latency_ms = 1_000.0
            await cluster.change()
            await cluster.change()
            await trio.sleep(0.8)
            follower.disk.free_bytes = 0
            await wait_until(lambda: follower.replica.is_stopped)
            await trio.sleep(1.0)
            state = leader.replica.state
            acknowledged = state.progress[follower.node_id].match_index
            self.assertLessEqual(acknowledged, last_durable_index(follower))
            follower.disk.free_bytes, follower.disk.latency_ms = None, 0.0
            version = await cluster.change()
            await wait_until(lambda: follower.machine.current.version >= version)
            progress = state.progress[follower.node_id]
            self.assertEqual(progress.disk_id, follower.replica.state.store.disk_id)

        run(check)


def last_durable_index(node: Node) -> int:
    """Return the index of the last log entry that a node would find after a loss of power."""
    content = node.disk.files["log"].durable or b""
    records = itertools.chain.from_iterable(wal.scan("log", content).frames[1:])
    return max(record[2] for record in records if record[0] not in ("term", "cut"))
