"""Tests of elections: concurrent candidates, repeated campaigns and pauses of the process."""

from __future__ import annotations

import itertools
import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import trio
import trio.testing
from trio.testing import MockClock

from knapweedhitch.clock import now_ms
from knapweedhitch.codec import Message
from knapweedhitch.counters import Counters
from knapweedhitch.election import Elections
from knapweedhitch.exceptions import PeerTimeout
from knapweedhitch.history import ConfigurationMachine
from knapweedhitch.messages import LogEntry, VoteRequest
from knapweedhitch.raftstate import MEMBERS, ReplicaState, Role, encode_members
from knapweedhitch.store import Store
from tests.faulty_disk import FaultyDisk
from tests.state_cluster import make_settings

LATENCY_S = 0.02
DISKS = {"c1": "", "c2": "", "c3": ""}


class Network:
    """Carry vote requests between the members that are up; the others are silent."""

    def __init__(self) -> None:
        self.elections: dict[str, Elections] = {}
        self.disks = dict(DISKS)
        # The time and the message of each vote request.
        self.sent: list[tuple[float, VoteRequest]] = []

    async def add(self, *names: str) -> None:
        """Add members, each of which knows the disks of all."""
        stores = {name: await Store.open(FaultyDisk(), "k", name) for name in names}
        for name in self.disks:
            self.disks[name] = stores[name].disk_id if name in stores else f"disk of {name}"
        for name, store in stores.items():
            cfg = make_settings(name, 3)
            machine = ConfigurationMachine(cfg.control)
            rng = random.Random(1)
            state = ReplicaState(cfg, store, Transport(self), machine, Counters(), rng)
            state.is_confirmed = True
            entry = LogEntry(1, 1, MEMBERS, encode_members("g", self.disks))
            store.stage([entry])
            state.record_members(entry)
            self.elections[name] = Elections(state)

    def state(self, name: str) -> ReplicaState:
        """Return the state of a member."""
        return self.elections[name]._s

    def leaders(self) -> list[str]:
        """Return the members that lead."""
        return [n for n in self.elections if self.state(n).role is Role.LEADER]


class Transport:
    """Deliver messages with a fixed latency."""

    def __init__(self, network: Network) -> None:
        self.network = network

    async def call(self, node_id: str, msg: Any, timeout_ms: float) -> Message:
        """Deliver a vote request; raises PeerTimeout for a silent member."""
        net = self.network
        net.sent.append((now_ms(), msg))
        if node_id not in net.elections:
            await trio.sleep(timeout_ms / 1_000.0)
            raise PeerTimeout(node_id)
        await trio.sleep(LATENCY_S)
        reply = await net.elections[node_id].on_vote(msg.candidate_id, msg)
        await trio.sleep(LATENCY_S)
        return reply

    def handle(self, *args: Any) -> None:
        """Do nothing; the network calls the members directly."""


def run(fn: Callable[[Network], Awaitable[None]], *names: str) -> None:
    """Run a test function on members with a virtual clock."""

    async def main() -> None:
        net = Network()
        await net.add(*names)
        await trio.sleep(10)
        await fn(net)

    trio.run(main, clock=MockClock(autojump_threshold=0))


class CandidateTest(unittest.TestCase):
    def test_two_candidates_at_one_moment_do_not_split_the_votes(self) -> None:
        """Guards against a group that stays without a leader for longer than the configuration
        lease, because the two members that are left vote for themselves.
        """

        async def check(net: Network) -> None:
            async with trio.open_nursery() as nursery:
                for elections in net.elections.values():
                    nursery.start_soon(elections.campaign)
            self.assertEqual(net.leaders(), ["c3"])

        run(check, "c2", "c3")

    def test_candidate_that_has_voted_meanwhile_begins_no_further_term(self) -> None:
        """Guards against a candidate that ends the term of the leader for whom it just voted."""

        async def check(net: Network) -> None:
            state = net.state("c2")
            request = VoteRequest(1, "c3", 1, 1, False, net.disks["c3"], net.disks["c2"])

            async def vote() -> None:
                await trio.sleep(LATENCY_S)
                self.assertTrue((await net.elections["c2"].on_vote("c3", request)).granted)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(net.elections["c2"].campaign)
                nursery.start_soon(vote)
            self.assertEqual((state.store.term, state.store.vote), (1, "c3"))

        run(check, "c2", "c3")

    def test_vote_for_another_member_restarts_the_election_timeout(self) -> None:
        """Guards against a member that campaigns against the candidate for whom it just voted."""

        async def check(net: Network) -> None:
            state = net.state("c2")
            state.last_contact_ms = now_ms()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(net.elections["c2"].run)
                await trio.sleep(0.65)
                disk_id = net.disks["c3"]
                request = VoteRequest(1, "c3", 1, 1, False, disk_id, net.disks["c2"])
                voted = await net.elections["c2"].on_vote("c3", request)
                voted_ms = now_ms()
                await trio.sleep(2.0)
                nursery.cancel_scope.cancel()
            self.assertTrue(voted.granted)
            self.assertGreaterEqual(net.sent[0][0] - voted_ms, state.cfg.election_timeout_ms)

        run(check, "c2", "c3")

    def test_failed_campaign_is_repeated_within_an_election_timeout(self) -> None:
        """Guards against a second wait as long as the first one, after which all leases have
        expired.
        """

        async def check(net: Network) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(net.elections["c2"].run)
                await trio.sleep(60.0)
                nursery.cancel_scope.cancel()
            times = sorted({sent_ms for sent_ms, _ in net.sent})
            cfg = net.state("c2").cfg
            limit_ms = cfg.call_timeout_ms + cfg.election_timeout_ms + cfg.heartbeat_ms
            gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
            self.assertGreater(len(gaps), 10)
            self.assertLessEqual(max(gaps), limit_ms)
            # Only pre-votes: a member without a majority must not begin terms.
            self.assertTrue(all(msg.pre_vote for _, msg in net.sent))

        run(check, "c2")


class PauseTest(unittest.TestCase):
    def lead(self, steps_s: list[float], *, acked: bool) -> Role:
        """Return the role of a leader that is paused for 700 ms and then runs in some steps.

        A peer acknowledges a heartbeat in the first step if `acked` is set.
        """
        clock = MockClock()

        async def main() -> Role:
            net = Network()
            await net.add("c1")
            state = net.state("c1")

            def acknowledge() -> None:
                state.progress["c2"].record_disk(net.disks["c2"])
                state.progress["c2"].acked_ms = now_ms()

            async def advance(duration_s: float) -> None:
                clock.jump(duration_s)
                await trio.testing.wait_all_tasks_blocked()

            state.role, state.leader_since_ms = Role.LEADER, now_ms()
            acknowledge()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(net.elections["c1"].run)
                await trio.testing.wait_all_tasks_blocked()
                await advance(0.7)
                for number, step_s in enumerate(steps_s):
                    await advance(step_s)
                    if acked and number == 0:
                        acknowledge()
                nursery.cancel_scope.cancel()
            return state.role

        return trio.run(main, clock=clock)

    def test_pause_of_the_own_process_is_no_silence_of_the_peers(self) -> None:
        """Guards against a leader that steps down after a pause which no other member noticed."""
        self.assertIs(self.lead([0.05] * 8, acked=True), Role.LEADER)

    def test_leader_without_a_majority_steps_down_in_spite_of_pauses(self) -> None:
        """Guards against a leader that is excused for ever because it is paused again and again."""
        for step_s in (0.05, 0.25):
            self.assertIs(self.lead([step_s] * 8, acked=False), Role.FOLLOWER)
