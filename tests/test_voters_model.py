"""Random lives of a group against the invariant of its voters.

After an acknowledgement, any loss of disks that the deployment tolerates leaves a majority that
holds it: when all instances are back, a leader is elected, and nothing accepted is lost.
"""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule
from trio.testing import MockClock

from knapweedhitch.changes import DomainOut
from tests.state_cluster import NAMES, encode_change, wait_until
from tests.test_joining import CONTROL, SEEDS, JoiningCluster

SIZE = 5
TOLERATED_DISKS = 2
# An instance counts as lost for this long after its start.
CATCH_UP_S = 4.0
RECOVERY_S = 15.0
MACHINE = st.integers(0, SIZE - 1)
DOWN_S = st.sampled_from([0.05, 0.7, 1.5, 4.0])
GAP_S = st.sampled_from([0.1, 1.0, 2.5])
# A play takes half a second, so failing ones are not shrunk.
PHASES = (Phase.explicit, Phase.generate)
SETTINGS = settings(
    phases=PHASES,
    derandomize=True,
    deadline=None,
    max_examples=80,
    stateful_step_count=14,
    print_blob=True,
)


class Life:
    """Apply recorded events to a group, as far as the deployment tolerates them."""

    def __init__(self, cluster: JoiningCluster, nursery: trio.Nursery) -> None:
        self.cluster = cluster
        self.nursery = nursery
        # The machines in use; each replacement takes the next name.
        self.names = list(NAMES[:SIZE])
        self._next_name = SIZE
        # The times until which a lost disk counts; infinite while its machine is down.
        self._lost_until_s: dict[str, float] = {}
        self._stopping: set[str] = set()
        self._busy = 0

    def _lost_disks(self) -> int:
        now = trio.current_time()
        return sum(1 for until_s in self._lost_until_s.values() if until_s > now)

    async def watch(self) -> None:
        """Let lost disks count on while too few of the others run to fill them up again."""
        while True:
            holders = [n for n in self.names if n not in self._lost_until_s]
            if sum(1 for name in holders if self.cluster.is_up(name)) <= SIZE // 2:
                earliest_s = trio.current_time() + CATCH_UP_S
                for name, until_s in self._lost_until_s.items():
                    self._lost_until_s[name] = max(until_s, earliest_s)
            now = trio.current_time()
            self._lost_until_s = {n: s for n, s in self._lost_until_s.items() if s > now}
            await trio.sleep(0.01)

    def _can_lose_disk(self, name: str) -> bool:
        return name not in self._lost_until_s and self._lost_disks() < TOLERATED_DISKS

    def _can_end(self, name: str) -> bool:
        """Return whether a majority stays up, as long as a vote is being handed over."""
        if not self.cluster.is_up(name) or name in self._stopping:
            return False
        up = sum(1 for other in self.names if other != name and self.cluster.is_up(other))
        return not self._stopping or up > SIZE // 2 + 1

    def _spawn(self, fn: Callable[..., Awaitable[None]], *args: Any) -> None:
        async def run() -> None:
            await fn(*args)
            self._busy -= 1

        self._busy += 1
        self.nursery.start_soon(run)

    def _new_name(self) -> str | None:
        if self._next_name >= len(NAMES):
            return None
        self._next_name += 1
        return NAMES[self._next_name - 1]

    async def step(self, kind: str, *args: Any) -> None:
        await getattr(self, kind)(*args)

    async def kill(self, number: int, power: bool, down_s: float) -> None:
        """End a process, which starts again with its disk."""
        name = self.names[number]
        if self._can_end(name):
            await self.cluster.crash(name, power=power)
            self._spawn(self._restart_later, name, False, down_s)

    async def wipe(self, number: int, down_s: float) -> None:
        """Lose the disk of a machine, which comes back empty."""
        name = self.names[number]
        if self._can_end(name) and self._can_lose_disk(name):
            self._lost_until_s[name] = float("inf")
            await self.cluster.crash(name, power=True)
            self._spawn(self._restart_later, name, True, down_s)

    async def _restart_later(self, name: str, empty: bool, down_s: float) -> None:
        await trio.sleep(down_s)
        if name not in self.cluster.nodes:
            return
        await self.cluster.restart(name, empty=empty)
        if empty:
            self._lost_until_s[name] = trio.current_time() + CATCH_UP_S

    async def kill_all(self, power: bool, down_s: float) -> None:
        """End all processes at once; their disks stay."""
        if self._stopping:
            return
        for number in range(SIZE):
            await self.kill(number, power, down_s)

    async def replace(self, number: int, gap_s: float) -> None:
        """Lose a machine for good; an empty one comes later at another address."""
        name, new = self.names[number], self._new_name()
        if new is None or not (self._can_end(name) and self._can_lose_disk(name)):
            return
        # The successor stands for the lost disk.
        self._lost_until_s[new] = float("inf")
        await self.cluster.crash(name, power=True)
        del self.cluster.nodes[name]
        self.names[number] = new
        self._spawn(self._start_successor, new, gap_s)

    async def _start_successor(self, new: str, gap_s: float) -> None:
        await trio.sleep(gap_s)
        await self.cluster.start(new)
        self._lost_until_s[new] = trio.current_time() + CATCH_UP_S

    async def replace_planned(self, number: int) -> None:
        """Start a successor, and stop the old machine once the successor has had its time."""
        name, new = self.names[number], self._new_name()
        if new is None or name in self._stopping or not self.cluster.is_up(name):
            return
        await self.cluster.start(new)
        self._spawn(self._stop_later, number, name, new)

    async def _stop_later(self, number: int, name: str, new: str) -> None:
        await trio.sleep(CATCH_UP_S)
        while True:
            if self._may_begin_work():
                break
            await trio.sleep(0.5)
        # If another event has taken the machine, its successor has become superfluous.
        is_in_use = self.names[number] == name
        old = name if is_in_use else new
        self._stopping.add(old)
        await self.cluster.stop(old)
        self._stopping.discard(old)
        del self.cluster.nodes[old]
        if is_in_use:
            self.names[number] = new

    def _may_begin_work(self) -> bool:
        """Return whether planned work may begin: all machines run, and a leader is known."""
        all_run = all(self.cluster.is_up(name) for name in self.names)
        return all_run and self.cluster.leader() is not None and not self._stopping

    async def propose(self, count: int) -> None:
        leader = self.cluster.leader()
        if leader is not None:
            for _ in range(count):
                self.nursery.start_soon(
                    self.cluster.propose, leader.node_id, encode_change(DomainOut("a"))
                )

    async def wait(self, time_s: float) -> None:
        await trio.sleep(time_s)

    async def finish(self) -> None:
        """Wait until all machines are back, and check that nothing accepted is lost."""
        await wait_until(lambda: self._busy == 0, 60_000.0)
        self.cluster.names = tuple(self.names)
        with trio.fail_after(RECOVERY_S):
            await self.cluster.change(timeout_ms=RECOVERY_S * 1_000)
        await self.cluster.check_nothing_lost()


class GroupLives(RuleBasedStateMachine):
    """Record events; play them against a group at the end."""

    def __init__(self) -> None:
        super().__init__()
        self.steps: list[tuple[Any, ...]] = []
        self.seed, self.late_s = 0, 0.0

    @initialize(seed=st.integers(0, 1_000), late_s=st.sampled_from([0.0, 0.25]))
    def begin(self, seed: int, late_s: float) -> None:
        self.seed, self.late_s = seed, late_s

    @rule(number=MACHINE, power=st.booleans(), down_s=DOWN_S)
    def kill(self, number: int, power: bool, down_s: float) -> None:
        self.steps.append(("kill", number, power, down_s))

    @rule(number=MACHINE, down_s=DOWN_S)
    def wipe(self, number: int, down_s: float) -> None:
        self.steps.append(("wipe", number, down_s))

    @rule(number=MACHINE, other=MACHINE, down_s=DOWN_S)
    def wipe_two(self, number: int, other: int, down_s: float) -> None:
        self.steps += [("wipe", number, down_s), ("wipe", other, down_s)]

    @rule(power=st.booleans(), down_s=DOWN_S)
    def kill_all(self, power: bool, down_s: float) -> None:
        self.steps.append(("kill_all", power, down_s))

    @rule(number=MACHINE, gap_s=GAP_S)
    def replace(self, number: int, gap_s: float) -> None:
        self.steps.append(("replace", number, gap_s))

    @rule(number=MACHINE)
    def replace_planned(self, number: int) -> None:
        self.steps.append(("replace_planned", number))

    @rule(number=MACHINE, wait_s=st.sampled_from([4.05, 4.3, 5.0]))
    def replace_planned_and_wait(self, number: int, wait_s: float) -> None:
        self.steps += [("replace_planned", number), ("wait", wait_s)]

    @rule(count=st.integers(1, 4))
    def propose(self, count: int) -> None:
        self.steps.append(("propose", count))

    @rule(time_s=st.sampled_from([0.02, 0.3, 1.0, 4.5]))
    def wait(self, time_s: float) -> None:
        self.steps.append(("wait", time_s))

    def teardown(self) -> None:
        trio.run(self._play, clock=MockClock(autojump_threshold=0))

    async def _play(self) -> None:
        control = {**CONTROL, "full_group_wait_ms": 4_000, "snapshot_after_entries": 20}
        async with trio.open_nursery() as nursery:
            cluster = JoiningCluster(nursery, SEEDS, self.seed, control)
            life = Life(cluster, nursery)
            await cluster.start()
            await trio.sleep(self.late_s)
            await cluster.start(*NAMES[SEEDS:SIZE])
            nursery.start_soon(cluster.watch)
            nursery.start_soon(life.watch)
            with trio.fail_after(400):
                await cluster.change()
                for step in self.steps:
                    await life.step(*step)
                await life.finish()
            nursery.cancel_scope.cancel()


class GroupLivesTest(GroupLives.TestCase):  # type: ignore[misc, name-defined]
    """Guards against losses within the tolerance that leave accepted changes without a majority."""

    settings = SETTINGS


if __name__ == "__main__":
    unittest.main()
