"""Tests of roll-outs over several nodes in one process: leaders, cuts, restarts and drains."""

from __future__ import annotations

import types
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from msgspec import structs
from trio.testing import MockClock

from knapweedhitch.answertally import AnswerTally
from knapweedhitch.changes import Change, PutService, StampedChange, StartRollout, encode_stamped
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import NotLeader, PeerUnreachable, RolloutLimited
from knapweedhitch.history import ConfigurationMachine
from knapweedhitch.kernel import Kernel
from knapweedhitch.messages import RolloutReport
from knapweedhitch.model import CallResult, Configuration, ServiceConfig, Target
from knapweedhitch.rollout import Phase, Rollout
from knapweedhitch.rolloutcontrol import RolloutControl
from knapweedhitch.rolloutgate import RolloutGate
from knapweedhitch.rolloutplan import Situation, TargetReport, next_step
from knapweedhitch.rolloutverdict import Verdict
from knapweedhitch.settings import RolloutSettings
from tests.decision_fakes import FakeTimers, record, sample, settings, target
from tests.state_cluster import make_settings

CONTROL_IDS = ("c1", "c2", "c3")
OLD, NEW = range(1, 5), range(5, 9)
DURATION_MS = 12_000
ROUND_MS = 250
CALLS_PER_ROUND = 3
CFG = RolloutSettings(enabled=True, exposure_slack=60.0)
GOOD, BAD = CallResult(True, 10.0, 200), CallResult(False, 10.0, 500)
SPEC: Any = types.SimpleNamespace(is_repeat=False, route="r1")


class FakeConfig:
    """Hold the configuration that one node knows."""

    def __init__(self, current: Configuration) -> None:
        self.current = current
        self.proof_age_ms: float | None = 0.0
        self.subscribers: list[Callable[[Configuration], None]] = []

    def subscribe(self, fn: Callable[[Configuration], None]) -> None:
        self.subscribers.append(fn)

    def age_ms(self) -> float | None:
        return self.proof_age_ms

    def set(self, current: Configuration) -> None:
        self.current = current
        for fn in self.subscribers:
            fn(current)


class GateNode:
    """Run the gate beside one target."""

    def __init__(self, world: World, n: int, config: FakeConfig) -> None:
        self.version = "v1" if n in OLD else "v2"
        self.record = record(n, version=self.version)
        self.config = config
        self.is_cut = False
        self.gate = RolloutGate(
            world.kernel(
                config,
                announce=types.SimpleNamespace(current=self.record),
                admission=types.SimpleNamespace(load=sample),
                membership=types.SimpleNamespace(control_ids=lambda: CONTROL_IDS),
                peers=types.SimpleNamespace(call=self.call),
            )
        )
        self.world = world

    async def call(self, node_id: str, msg: RolloutReport, timeout_ms: float) -> Any:
        control = self.world.controls.get(node_id)
        if self.is_cut or control is None:
            raise PeerUnreachable(node_id)
        return await control._on_report("n", msg)

    def begin(self) -> Any:
        """Return a call that the gate lets pass, None if it refuses it."""
        try:
            self.gate.check(self.record)
            return self.gate.begin(self.record)
        except RolloutLimited:
            return None

    def end(self, call: Any, result: CallResult = GOOD) -> None:
        self.gate.record_result(call, SPEC, result)
        self.gate.end(call)

    def serve(self, result: CallResult = GOOD) -> bool:
        call = self.begin()
        if call is not None:
            self.end(call, result)
        return call is not None


class FakeControl:
    """Tell who leads, and append changes to the log of all."""

    def __init__(self, world: World, name: str) -> None:
        self._world = world
        self._name = name
        self.submit = world.submit
        self.replica = self

    @property
    def is_leader(self) -> bool:
        return self._world.leader == self._name

    @property
    def leader_id(self) -> str:
        return self._world.leader


class World:
    """Connect gates and control instances to one log."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.log = ConfigurationMachine(make_settings("c1").control)
        self.controls: dict[str, RolloutControl] = {}
        self.leader = "c1"
        self.dead: list[Target] = []
        self.configs: dict[str, FakeConfig] = {}
        self.gates: dict[int, GateNode] = {}

    def kernel(self, config: FakeConfig, **services: Any) -> Kernel:
        cfg = structs.replace(settings(), rollouts=CFG)
        node_kernel = Kernel(cfg)
        node_kernel._nursery = self.nursery
        counters, timers = Counters(), RepeatedTimers()
        for name, instance in dict(
            counters=counters, timers=timers, config=config, **services
        ).items():
            node_kernel.add(name, instance)
        return node_kernel

    async def start(self) -> None:
        await self.submit(Change("svc", 0, "op", PutService(ServiceConfig("robes", ("r",)))))
        for name in CONTROL_IDS:
            await self.start_control(name)
        for n in (*OLD, *NEW):
            await self.start_gate(n)

    async def start_control(self, name: str) -> None:
        config = self.configs[name] = FakeConfig(self.log.current)
        control = FakeControl(self, name)
        membership = types.SimpleNamespace(
            targets=lambda _: tuple(
                target(n, version=g.version)
                for n, g in self.gates.items()
                if target(n) not in self.dead
            ),
            table=types.SimpleNamespace(
                dead_members=lambda: [types.SimpleNamespace(upstream=t.upstream) for t in self.dead]
            ),
        )
        peers = types.SimpleNamespace(handle=lambda *_: None)
        self.controls[name] = RolloutControl(
            self.kernel(config, control=control, membership=membership, peers=peers)
        )
        await self.controls[name].start()

    async def start_gate(self, n: int, config: FakeConfig | None = None) -> None:
        """Start the node of a target, or start it again."""
        config = config or FakeConfig(self.log.current)
        self.gates[n] = GateNode(self, n, config)
        self.configs[f"n{n}"] = config
        await self.gates[n].gate.start()

    async def submit(self, change: Change) -> int:
        if self.leader not in (*self.controls, "c1"):
            raise NotLeader(None)
        versions = {"robes": frozenset({"v1", "v2"})}
        version = self.log.apply(encode_stamped(StampedChange(change, 0, versions))).unwrap()
        for name, config in self.configs.items():
            number = int(name[1:])
            if name[0] == "c" or not self.gates[number].is_cut:
                config.set(self.log.current)
        return version

    @property
    def rollout(self) -> Rollout:
        return self.log.current.rollouts["robes"]

    async def order(self) -> None:
        await self.submit(Change("o", None, "op", StartRollout("robes", "v2", DURATION_MS)))

    async def round(self, result: CallResult = GOOD) -> int:
        """Let all nodes serve, report and decide once; return the calls of the new version."""
        served = 0
        for n, node in self.gates.items():
            for _ in range(CALLS_PER_ROUND):
                is_served = node.serve(result if n in NEW else GOOD)
                served += is_served and n in NEW
            node.gate._start_report()
        await trio.sleep(ROUND_MS / 1_000)
        for control in list(self.controls.values()):
            control._tick()
        await trio.testing.wait_all_tasks_blocked()
        return served

    async def run_until(self, phase: Phase, rounds: int = 80) -> int:
        """Run rounds until a phase and return their number."""
        for n in range(rounds):
            if self.rollout.step.phase is phase:
                return n
            await self.round()
        raise AssertionError(f"{self.rollout} has not reached {phase}")

    def lose_leader(self) -> None:
        """Stop the leader; the next one starts with what the log holds."""
        del self.controls[self.leader]
        self.configs.pop(self.leader)
        self.leader = next(iter(self.controls), "")


class RepeatedTimers(FakeTimers):
    """Let the tests call the functions of timers themselves."""

    def wall_ms(self) -> int:
        return int(self.now_ms())

    def every(self, *args: Any, **kwargs: Any) -> Any:
        return types.SimpleNamespace(cancel=lambda: None)


def run(test: Callable[[World], Awaitable[None]]) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            world = World(nursery)
            await world.start()
            await world.order()
            await test(world)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


class LeaderTest(unittest.TestCase):
    def test_leader_lost_in_any_phase(self) -> None:
        """Guards against a roll-out that stops, starts again or forgets its grants when its leader
        is lost.
        """
        for phase in (Phase.CANARY, Phase.SHIFT, Phase.DRAIN):

            async def test(world: World, phase: Phase = phase) -> None:
                await world.run_until(phase)
                granted = world.rollout.step.granted
                world.lose_leader()
                await world.run_until(Phase.COMPLETED)
                self.assertGreaterEqual(world.rollout.step.granted, granted)

            with self.subTest(phase=phase):
                run(test)

    def test_bound_holds_when_every_leader_is_lost(self) -> None:
        """Guards against a new leader that grants again what an earlier one has granted."""

        async def test(world: World) -> None:
            served = arrivals = 0
            for n in range(80):
                calls = await world.round()
                if world.rollout.step.phase is not Phase.CANARY:
                    break
                served += calls
                arrivals += CALLS_PER_ROUND * len(OLD)
                if n in (6, 12):
                    world.lose_leader()
                bound = CFG.exposure_share * (arrivals + served) + CFG.exposure_slack
                self.assertLessEqual(served, bound)
                self.assertLessEqual(served, world.rollout.step.granted)

        run(test)

    def test_bad_version_without_any_leader(self) -> None:
        """Guards against a version that goes on to get calls when nobody can judge it."""

        async def test(world: World) -> None:
            for _ in range(6):
                await world.round()
            held = sum(world.gates[n].gate._order.held for n in NEW)  # type: ignore[union-attr]
            self.assertGreater(held, 0)
            while world.controls:
                world.lose_leader()
            await trio.sleep(CFG.lease_ms / 1_000)
            self.assertFalse(any(world.gates[n].serve() for n in NEW))
            self.assertTrue(all(world.gates[n].serve() for n in OLD))

        run(test)

    def test_report_that_finds_no_leader_is_counted(self) -> None:
        """Guards against canaries that stop without any trace of the cause."""

        async def test(world: World) -> None:
            world.leader = ""
            await world.round()
            counters = world.gates[NEW[0]].gate._counters
            self.assertEqual(counters.get("rollout_report_failed", "NoLeader"), 1)

        run(test)

    def test_bad_version_is_rolled_back(self) -> None:
        """Guards against calls above the bound, or after the end, at any node."""

        async def test(world: World) -> None:
            served = rounds = 0
            while world.rollout.is_running:
                served += await world.round(BAD)
                rounds += 1
            self.assertIs(world.rollout.step.phase, Phase.ROLLED_BACK)
            self.assertLessEqual(served, CFG.exposure_slack)
            self.assertLess(rounds * ROUND_MS, 5_000)
            self.assertFalse(any(world.gates[n].serve() for n in NEW))

        run(test)


class NodeTest(unittest.TestCase):
    def test_cut_off_canary_stops_and_keeps_no_grant_over_a_restart(self) -> None:
        """Guards against calls of a node that nobody reaches, and grants renewed by restarts."""

        async def test(world: World) -> None:
            for _ in range(4):
                await world.round()
            canaries = [n for n in NEW if world.gates[n].gate._order is not None]
            node = world.gates[canaries[0]]
            node.is_cut = True
            await trio.sleep(CFG.lease_ms / 1_000)
            self.assertFalse(node.serve())
            await world.start_gate(canaries[0], node.config)
            self.assertFalse(world.gates[canaries[0]].serve())

        run(test)

    def test_new_targets_serve_without_leader_while_old_ones_drain(self) -> None:
        """Guards against a service without any open target."""

        async def test(world: World) -> None:
            await world.run_until(Phase.DRAIN)
            for node in world.gates.values():
                node.is_cut = True
            await trio.sleep(60.0)
            self.assertTrue(all(world.gates[n].serve() for n in NEW))
            self.assertFalse(any(world.gates[n].serve() for n in OLD))

        run(test)

    def test_end_waits_for_each_old_node(self) -> None:
        """Guards against an end while a call is at an old target, or may still reach it."""

        def busy(world: World) -> None:
            world.call = world.gates[1].begin()  # type: ignore[attr-defined]

        def cut(world: World) -> None:
            world.gates[1].is_cut = True

        def dead(world: World) -> None:
            world.dead.append(target(1))

        for name, spoil in (("busy", busy), ("cut", cut), ("dead", dead)):

            async def test(world: World, spoil: Any = spoil, name: str = name) -> None:
                await world.run_until(Phase.SHIFT)
                spoil(world)
                await world.run_until(Phase.DRAIN)
                for _ in range(2):
                    await world.round()
                self.assertIs(world.rollout.step.phase, Phase.DRAIN)
                if name == "busy":
                    world.gates[1].end(world.call)  # type: ignore[attr-defined]
                    await world.run_until(Phase.COMPLETED)
                else:
                    await world.run_until(Phase.ROLLED_BACK)
                    self.assertTrue(world.gates[2].serve(), "old targets serve again")

            with self.subTest(name=name):
                run(test)

    def test_late_report_of_an_earlier_process_changes_nothing(self) -> None:
        """Guards against counts and grants of a process that has ended."""

        async def test(world: World) -> None:
            await world.round()
            control, node = world.controls["c1"], world.gates[1]
            rollout = world.rollout
            earlier = node.gate._make_report(rollout, node.record, node.gate._order)
            earlier = structs.replace(earlier, sequence=99, arrivals=1_000)
            await world.start_gate(1, node.config)
            await world.round()
            await world.round()
            tracker = control._tracker_of(rollout)
            arrivals = tracker.evidence.arrivals
            await control._on_report("n1", earlier)
            self.assertEqual(tracker.evidence.arrivals, arrivals)

        run(test)

    def test_end_does_not_wait_for_a_target_that_has_deregistered(self) -> None:
        """Guards against an end that a target without calls holds, which others still list."""

        async def test(world: World) -> None:
            await world.run_until(Phase.SHIFT)
            world.gates[1].gate._announce.current = None
            await world.run_until(Phase.COMPLETED)

        run(test)

    def test_targets_that_get_no_calls_count_for_no_load(self) -> None:
        """Guards against traffic that moves to too few targets, or never moves, in a domain out."""
        for new_serving, old_serving, may_shift in ((4, 4, True), (2, 4, False), (2, 2, True)):
            targets = tuple(
                TargetReport(f"{side}{n}", side == "n", n < serving, age_ms=0.0)
                for side, serving in (("n", new_serving), ("o", old_serving))
                for n in range(4)
            )
            rollout = Rollout("robes", "v2", 12_000, "", 1, 0)
            verdict = Verdict(None, 100, 4)
            due = next_step(Situation(rollout, 9_000.0, 9_000.0, targets, verdict), CFG)
            self.assertIs(getattr(due, "phase", None) is Phase.SHIFT, may_shift)

    def test_restarted_old_node_opens_only_with_a_proof(self) -> None:
        """Guards against an old target that a node reopens by an earlier step from its peers."""

        async def test(world: World) -> None:
            earlier = FakeConfig(world.log.current)
            earlier.proof_age_ms = None
            await world.run_until(Phase.DRAIN)
            await world.start_gate(1, earlier)
            self.assertFalse(world.gates[1].serve())
            earlier.set(world.log.current)
            earlier.proof_age_ms = 0.0
            self.assertFalse(world.gates[1].serve())
            await world.run_until(Phase.COMPLETED)

        run(test)

    def test_target_of_unknown_version_waits_for_its_heartbeat(self) -> None:
        """Guards against a restarted node that finds a new target by a probe and takes it for an
        old one.
        """

        async def test(world: World) -> None:
            node = world.gates[5]
            node.record = structs.replace(node.record, version="")
            self.assertFalse(node.serve())

        run(test)


class TallyTest(unittest.TestCase):
    def test_counts_and_routes_are_bounded(self) -> None:
        """Guards against reports that grow with the number of routes."""
        tally = AnswerTally()
        for n in range(1_000):
            tally.record(f"r{n}", failed=False, time_ms=1e9)
        self.assertLessEqual(len(tally.snapshot()), 33)
        self.assertEqual(tally.answers, 1_000)
