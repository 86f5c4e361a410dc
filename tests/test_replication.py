"""Random faults against replication, checked by the oracle of the simulated cluster."""

from __future__ import annotations

import unittest
from typing import Any, ClassVar

import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule
from trio.testing import MockClock

from knapweedhitch.changes import DomainIn, DomainOut
from tests.state_cluster import Cluster, encode_change, with_cluster

MEMBER = st.integers(0, 4)
SETTINGS = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=25, print_blob=True
)


class Player:
    """Apply recorded faults to a cluster."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.replaced_disks: set[str] = set()

    def can_lose_disk(self) -> bool:
        """Return whether one more disk may be lost without exceeding what the group tolerates."""
        leader = self.cluster.leader()
        if leader is not None:
            state = leader.replica.state
            _, voters = state.members_at(state.commit_index)
            for name in list(self.replaced_disks):
                node = self.cluster.nodes[name]
                if not node.scope or not node.replica.state.is_confirmed:
                    continue
                state = node.replica.state
                if voters.get(name) == state.store.disk_id and not state.is_behind:
                    self.replaced_disks.discard(name)
        return len(self.replaced_disks) < (len(self.cluster.names) - 1) // 2

    async def step(self, kind: str, *args: Any) -> None:
        await getattr(self, kind)(*args)

    def name(self, number: int) -> str:
        return self.cluster.names[number % len(self.cluster.names)]

    async def crash(self, number: int, power: bool) -> None:
        await self.cluster.crash(self.name(number), power=power)

    async def restart(self, number: int) -> None:
        await self.cluster.restart(self.name(number))

    async def lose_disk(self, number: int, flip: int | None) -> None:
        name = self.name(number)
        if name in self.replaced_disks or not self.can_lose_disk():
            return
        self.replaced_disks.add(name)
        await self.cluster.crash(name)
        if flip is None:
            await self.cluster.restart(name, empty=True)
        else:
            self.cluster.nodes[name].disk.flip_bit("log", flip)
            await self.cluster.restart(name)

    async def older_copy(self, number: int, late: int, count: int, crash: bool) -> None:
        """Restore a copy from before some changes that one other member has missed."""
        # Counts as a lost disk towards the number that the group tolerates.
        name, cluster = self.name(number), self.cluster
        if name in self.replaced_disks or not self.can_lose_disk():
            return
        copy, before = cluster.nodes[name].disk.copy(), set(cluster.network.cut)
        for other in cluster.names:
            cluster.network.cut |= {(self.name(late), other), (other, self.name(late))}
        await self.propose(count)
        await trio.sleep(0.25)
        leader = cluster.leader()
        self.replaced_disks.add(name)
        await cluster.restore(name, copy)
        cluster.network.cut = before
        if crash and leader is not None:
            await cluster.crash(leader.node_id)

    async def cut(self, src: int, dst: int) -> None:
        self.cluster.network.cut.add((self.name(src), self.name(dst)))

    async def heal(self) -> None:
        self.cluster.heal()

    async def trouble(self, loss: float, duplication: float, latency_ms: float) -> None:
        net = self.cluster.network
        net.loss, net.duplication, net.latency_ms = loss, duplication, (0.5, latency_ms)

    async def slow_disk(self, number: int, latency_ms: float) -> None:
        self.cluster.nodes[self.name(number)].disk.latency_ms = latency_ms

    async def fail_sync(self, number: int) -> None:
        self.cluster.nodes[self.name(number)].disk.failing_syncs = 1

    async def propose(self, count: int) -> None:
        for node in list(self.cluster.nodes.values()):
            if node.scope is None or not node.replica.is_leader:
                continue
            for number in range(count):
                op = DomainIn("a") if number % 2 else DomainOut("a")
                self.cluster.nursery.start_soon(
                    self.cluster.propose, node.node_id, encode_change(op)
                )

    async def wait(self, time_ms: int) -> None:
        await trio.sleep(time_ms / 1_000.0)


class ReplicationMachine(RuleBasedStateMachine):
    """Record faults; play them against a cluster at the end."""

    size: ClassVar[int] = 3

    def __init__(self) -> None:
        super().__init__()
        self.steps: list[tuple[Any, ...]] = []
        self.seed = 0

    @initialize(seed=st.integers(0, 1_000))
    def begin(self, seed: int) -> None:
        self.seed = seed
        self.steps += [("wait", 1_000), ("propose", 3)]

    @rule(number=MEMBER, power=st.booleans())
    def crash(self, number: int, power: bool) -> None:
        self.steps.append(("crash", number, power))

    @rule(number=MEMBER)
    def restart(self, number: int) -> None:
        self.steps.append(("restart", number))

    @rule(number=MEMBER, flip=st.none() | st.integers(0, 2_000))
    def lose_disk(self, number: int, flip: int | None) -> None:
        self.steps.append(("lose_disk", number, flip))

    @rule(number=MEMBER, late=MEMBER, count=st.integers(1, 8), crash=st.booleans())
    def older_copy(self, number: int, late: int, count: int, crash: bool) -> None:
        self.steps.append(("older_copy", number, late, count, crash))

    @rule(src=MEMBER, dst=MEMBER)
    def cut(self, src: int, dst: int) -> None:
        self.steps.append(("cut", src, dst))

    @rule()
    def heal(self) -> None:
        self.steps.append(("heal",))

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.4]),
        duplication=st.sampled_from([0.0, 0.5]),
        latency_ms=st.sampled_from([3.0, 200.0]),
    )
    def trouble(self, loss: float, duplication: float, latency_ms: float) -> None:
        self.steps.append(("trouble", loss, duplication, latency_ms))

    @rule(number=MEMBER, latency_ms=st.sampled_from([5.0, 300.0, 3_000.0]))
    def slow_disk(self, number: int, latency_ms: float) -> None:
        self.steps.append(("slow_disk", number, latency_ms))

    @rule(number=MEMBER)
    def fail_sync(self, number: int) -> None:
        self.steps.append(("fail_sync", number))

    @rule(count=st.integers(1, 8))
    def propose(self, count: int) -> None:
        self.steps.append(("propose", count))

    @rule(time_ms=st.sampled_from([5, 50, 500, 2_500]))
    def wait(self, time_ms: int) -> None:
        self.steps.append(("wait", time_ms))

    def teardown(self) -> None:
        async def play(cluster: Cluster) -> None:
            player = Player(cluster)
            for step in self.steps:
                await player.step(*step)
            await trio.sleep(3)
            await cluster.check_nothing_lost()

        async def main() -> None:
            with trio.fail_after(200):
                await with_cluster(play, self.size, self.seed, snapshot_after_entries=20)

        trio.run(main, clock=MockClock(autojump_threshold=0))


class FiveMembersMachine(ReplicationMachine):
    """Play against five members."""

    size = 5


class ThreeMembersUnderFaults(ReplicationMachine.TestCase):  # type: ignore[misc, name-defined]
    """Guards against lost changes, diverging logs and premature freshness with 3 members."""

    settings = SETTINGS


class FiveMembersUnderFaults(FiveMembersMachine.TestCase):  # type: ignore[misc, name-defined]
    """Guards against lost changes, diverging logs and premature freshness with 5 members."""

    settings = settings(SETTINGS, max_examples=60)


if __name__ == "__main__":
    unittest.main()
