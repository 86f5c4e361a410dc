"""State machine test that injects faults into a cluster and checks that it converges afterwards."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio
import trio.testing
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from knapweedhitch.model import MemberEvent, MemberState, UpstreamState
from tests.fake_net import MemoryNet
from tests.test_membership import Cluster, cluster, upstream

NODES = 5
QUIET_S = 90.0
LEAVE_BOUND_S = 2.0
Step = Callable[["Run"], Awaitable[None]]


class Run:
    """Run the steps on a cluster and check every record change."""

    def __init__(self, c: Cluster) -> None:
        self.c = c
        self.newest: dict[tuple[int, str], tuple[int, int]] = {}
        self.down: set[int] = set()

    def check_events(self, index: int) -> None:
        """Check that a node never adopts an older start time or incarnation."""
        self.newest = {key: value for key, value in self.newest.items() if key[0] != index}

        def check_order(event: MemberEvent) -> None:
            new = (event.new.started_wall_ms, event.new.incarnation)
            key = (index, event.node_id)
            if new < self.newest.get(key, new):
                raise AssertionError(f"{key}: {new} after {self.newest[key]}")
            self.newest[key] = new

        table = self.c.view(index).table
        original_notify = table._notify

        def check_and_notify(event: MemberEvent) -> None:
            check_order(event)
            original_notify(event)

        table._notify = check_and_notify

    async def heal(self) -> None:
        """End all faults and start every stopped node."""
        net = self.c.net
        net.groups.clear()
        net.loss = net.duplication = 0.0
        net.max_delay_s = 0.005
        # A paused process is declared dead, so the quiet period begins after the last pause.
        ends = [node.transport.datagrams.paused_until for node in self.c.nodes.values()]
        await trio.sleep_until(max(ends))
        for index in sorted(self.down):
            await self.c.start(index)
            self.check_events(index)
        self.down.clear()

    async def check(self) -> None:
        """Check convergence after the faults end, and that a leave is known within its bound."""
        await self.heal()
        await self.c.wait_until(self.has_settled, QUIET_S)
        await trio.sleep(15)
        assert self.has_settled(), "the nodes converged and then diverged"
        leaver = self.c.view(1)
        leaver.announce_local(upstream())
        await trio.sleep(3)
        leaver.announce_local(upstream(UpstreamState.LEAVING))
        await self.c.wait_until(
            lambda: all(
                [t.draining for t in self.c.view(i).targets("svc") if t.node_id == "n1"] == [True]
                for i in self.c.nodes
            ),
            LEAVE_BOUND_S,
        )

    def has_settled(self) -> bool:
        """Return whether all nodes hold the same records and no member is suspect."""
        views = [self.c.view(i).members() for i in self.c.nodes]
        return (
            self.c.has_converged()
            and all(dict(view) == dict(views[0]) for view in views)
            and all(m.state is MemberState.ALIVE for m in views[0].values())
        )


class MembershipMachine(RuleBasedStateMachine):
    """Collect steps; `teardown` runs them on a mock clock and checks the result."""

    def __init__(self) -> None:
        super().__init__()
        self.steps: list[Step] = []
        self.down: set[int] = set()

    @rule(index=st.integers(1, NODES - 1))
    def crash(self, index: int) -> None:
        """Crash a node, or restart it if it is down."""
        is_restart = index in self.down
        self.down ^= {index}

        async def step(run: Run) -> None:
            if is_restart:
                await run.c.start(index)
                run.check_events(index)
                run.down.discard(index)
            else:
                await run.c.crash(index)
                run.down.add(index)

        self.steps.append(step)

    @rule(sides=st.lists(st.integers(0, 1), min_size=NODES, max_size=NODES))
    def partition(self, sides: list[int]) -> None:
        """Partition the nodes into two groups, or heal if all are in one group."""

        async def step(run: Run) -> None:
            for index, node in run.c.nodes.items():
                run.c.net.groups[node.transport.address] = sides[index]

        self.steps.append(step)

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]), delay_s=st.sampled_from([0.005, 0.2]))
    def disturb(self, loss: float, delay_s: float) -> None:
        """Lose, duplicate and reorder datagrams."""

        async def step(run: Run) -> None:
            run.c.net.loss = loss
            run.c.net.duplication = loss
            run.c.net.max_delay_s = delay_s

        self.steps.append(step)

    @precondition(lambda self: len(self.down) < NODES - 1)
    @rule(index=st.integers(0, NODES - 1), seconds=st.sampled_from([2.0, 8.0, 20.0]))
    def pause(self, index: int, seconds: float) -> None:
        """Pause a process."""
        if index in self.down:
            return

        async def step(run: Run) -> None:
            run.c.pause(index, seconds)

        self.steps.append(step)

    @rule(index=st.integers(0, NODES - 1), leaving=st.booleans())
    def announce(self, index: int, leaving: bool) -> None:
        """Change the announcement of an upstream."""
        if index in self.down:
            return
        state = UpstreamState.LEAVING if leaving else UpstreamState.SERVING

        async def step(run: Run) -> None:
            run.c.view(index).announce_local(upstream(state))

        self.steps.append(step)

    @rule(seconds=st.sampled_from([0.1, 1.0, 6.0, 15.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""

        async def step(run: Run) -> None:
            await trio.sleep(seconds)

        self.steps.append(step)

    def teardown(self) -> None:
        """Run the steps and check the result."""

        async def main() -> None:
            async with cluster(NODES, MemoryNet(max_delay_s=0.005)) as c:
                run = Run(c)
                for index in range(NODES):
                    run.check_events(index)
                for step in self.steps:
                    await step(run)
                await run.check()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


MembershipTest = MembershipMachine.TestCase
MembershipTest.__doc__ = """Guards against nodes that disagree or stay dead after faults end."""
# No shrinking: it would replay a failing run hundreds of times, and the seed reproduces it.
MembershipTest.settings = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=14,
    deadline=None,
    phases=[Phase.generate],
)
