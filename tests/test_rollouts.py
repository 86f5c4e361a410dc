"""Tests of the rules, the grants, the verdicts and the routing of roll-outs."""

from __future__ import annotations

import random
import unittest
from typing import Any

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from msgspec import structs

from knapweedhitch.answertally import RouteAnswers
from knapweedhitch.caller import Caller
from knapweedhitch.changes import (
    AdvanceRollout,
    Change,
    FinishRollout,
    Operation,
    PutService,
    StampedChange,
    StartRollout,
    encode_stamped,
    new_change_id,
)
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import OrderRedirected
from knapweedhitch.history import ConfigurationMachine
from knapweedhitch.model import Configuration, ServiceConfig
from knapweedhitch.orders import Orders
from knapweedhitch.rollout import Phase, Rollout, Step
from knapweedhitch.rolloutevidence import Evidence, GrantLedger
from knapweedhitch.rolloutplan import Situation, canary_limit, next_step
from knapweedhitch.rolloutrouting import offers_new, open_targets, usable_targets
from knapweedhitch.rolloutverdict import Sample, Verdict, judge
from knapweedhitch.settings import RolloutSettings
from scripts.replay_rollouts import FAULTS, RATES, Replay
from tests.decision_fakes import target
from tests.state_cluster import make_settings

SERVICE = ServiceConfig("robes", ("robes.example",))
CFG = RolloutSettings(enabled=True)
RUNNING = (Phase.CANARY, Phase.SHIFT, Phase.DRAIN)
MANY_SEEDS = settings(derandomize=True, deadline=None, max_examples=150)
VERSIONS = st.sampled_from(("v1", "v2", "v3"))


def new_log() -> ConfigurationMachine:
    log = ConfigurationMachine(make_settings("c1").control)
    propose(log, PutService(SERVICE), base=0)
    return log


def propose(
    log: ConfigurationMachine, op: Operation, versions: tuple[str, ...] = (), base: Any = None
) -> str:
    """Apply an operation and return the error, empty if it is accepted."""
    stamped = StampedChange(
        Change(new_change_id(), base, "op", op), 1_000, {"robes": frozenset(versions)}
    )
    return log.apply(encode_stamped(stamped)).error


class RulesMachine(RuleBasedStateMachine):
    """Compare the log with an oracle that knows the last order and its phase."""

    def __init__(self) -> None:
        super().__init__()
        self.log = new_log()
        self.order: tuple[str, int] | None = None
        self.phase = Phase.COMPLETED
        self.version = self.granted = 0
        self.ended: set[int] = set()

    @property
    def is_running(self) -> bool:
        return self.order is not None and self.phase in RUNNING

    @rule(version=VERSIONS, duration_ms=st.sampled_from((0, -5, 1_000, 2_000)), same=st.booleans())
    def start(self, version: str, duration_ms: int, same: bool) -> None:
        versions = (version,) if same else ("v1", "v2")
        error = propose(self.log, StartRollout("robes", version, duration_ms), versions)
        if duration_ms <= 0:
            assert error == "InvalidChange"
        elif self.order == (version, duration_ms):
            assert not error
        elif self.is_running:
            assert error == "RolloutInProgress"
        else:
            assert not error
            self.order, self.granted = (version, duration_ms), 0
            self.phase = Phase.COMPLETED if same else Phase.CANARY
            self.version = self.log.current.version

    @rule(phase=st.sampled_from(Phase), late=st.booleans(), granted=st.integers(0, 50))
    def advance(self, phase: Phase, late: bool, granted: int) -> None:
        step = Step(phase, 0.5, granted)
        version = self.version - late
        error = propose(self.log, AdvanceRollout("robes", version, step))
        is_next = phase in RUNNING and self.is_running and not late
        is_next = is_next and list(Phase).index(phase) >= list(Phase).index(self.phase)
        is_next = is_next and granted >= self.granted
        assert bool(error) is not is_next
        if is_next:
            self.phase, self.granted = phase, granted

    @rule(completed=st.booleans(), late=st.booleans())
    def finish(self, completed: bool, late: bool) -> None:
        op = FinishRollout("robes", self.version - late, completed, "r")
        error = propose(self.log, op, ("v1", "v2"))
        allowed = self.is_running and not late and (self.phase is Phase.DRAIN or not completed)
        assert bool(error) is not allowed
        if allowed:
            self.phase = Phase.COMPLETED if completed else Phase.ROLLED_BACK

    @rule()
    def restore(self) -> None:
        data = self.log.snapshot()
        self.log = ConfigurationMachine(make_settings("c1").control)
        self.log.restore(data)

    @invariant()
    def same_state(self) -> None:
        held = self.log.current.rollouts.get("robes")
        if self.order is None:
            assert held is None
            return
        assert held is not None
        assert (held.target_version, held.duration_ms) == self.order
        assert (held.step.phase, held.version) == (self.phase, self.version)


class RulesTest(RulesMachine.TestCase):
    """Guards against an order that is lost, starts twice, or leaves a final state."""

    settings = settings(derandomize=True, deadline=None, max_examples=60, stateful_step_count=30)


class _Node:
    """Know a version of the configuration that may lag."""

    def __init__(self, log: ConfigurationMachine, current: Configuration) -> None:
        self.log, self.current = log, current

    async def submit(self, change: Change) -> int:
        return self.log.apply(encode_stamped(StampedChange(change, 1_000, {}))).unwrap()


class OrdersTest(unittest.TestCase):
    @MANY_SEEDS
    @given(st.integers(0, 7))
    def test_late_copy_of_an_earlier_order_starts_nothing(self, lag: int) -> None:
        """Guards against a delayed order that replaces the version that came after it."""
        log, seen = new_log(), []
        for version in ("v2", "v1"):
            seen.append(log.current)
            propose(log, StartRollout("robes", version, 1_000))
            seen.append(log.current)
            order = log.current.rollouts["robes"].version
            propose(log, AdvanceRollout("robes", order, Step(Phase.DRAIN)))
            seen.append(log.current)
            propose(log, FinishRollout("robes", order, True, ""), ("v1", "v2"))
            seen.append(log.current)
        node = _Node(log, seen[lag])
        late = Change("late", None, "op", StartRollout("robes", "v2", 1_000))

        async def deliver() -> None:
            try:
                await Orders(node.submit, node, Counters()).submit(late, Caller(), None)
            except OrderRedirected:
                pass

        trio.run(deliver)
        held = log.current.rollouts["robes"]
        self.assertEqual((held.target_version, held.step.phase), ("v1", Phase.COMPLETED))


class _Canary:
    """Hold grants like the node beside a target."""

    def __init__(self) -> None:
        self.started = self.sequence = self.spent = self.held = 0

    def restart(self) -> None:
        self.started, self.sequence, self.spent, self.held = self.started + 1, 0, 0, 0


class GrantTest(unittest.TestCase):
    @MANY_SEEDS
    @given(st.integers(0, 2**32))
    def test_bound_holds_over_restarts_losses_and_new_leaders(self, seed: int) -> None:
        """Guards against calls above the bound while reports or grants are lost, nodes restart
        or leaders change.
        """
        rng = random.Random(seed)
        canaries = [_Canary() for _ in range(4)]
        reserved = arrivals = total = 0
        ledger = GrantLedger(0)
        for _ in range(400):
            n = rng.randrange(len(canaries))
            canary = canaries[n]
            fate = rng.random()
            if fate < 0.02:
                canary.restart()
            elif fate < 0.03:
                ledger = GrantLedger(reserved)
            elif fate < 0.4:
                arrivals += 1
                if canary.held:
                    canary.held -= 1
                    canary.spent += 1
                    total += 1
            elif fate < 0.5:
                reserved = max(reserved, min(canary_limit(arrivals, CFG), ledger.issued + 8))
            else:
                canary.sequence += 1
                if rng.random() < 0.8:
                    granted = ledger.grant(
                        (f"i{n}", canary.started),
                        canary.sequence,
                        spent=canary.spent,
                        held=canary.held,
                        wanted=5,
                        reserved=reserved,
                    )
                    canary.held += granted if rng.random() < 0.8 else 0
            self.assertLessEqual(total, CFG.exposure_share * arrivals + CFG.exposure_slack)
            self.assertLessEqual(total, reserved)

    def test_lost_grants_are_granted_again(self) -> None:
        """Guards against a bound that lost replies use up, so that canaries starve."""
        ledger = GrantLedger(0)
        for sequence in range(1, 50):
            granted = ledger.grant(("i1", 1), sequence, spent=0, held=0, wanted=5, reserved=6)
            self.assertEqual(granted, 5)
        self.assertEqual(ledger.issued, 5)


class VerdictTest(unittest.TestCase):
    def test_bad_versions_go_back_within_the_bound_and_good_ones_complete(self) -> None:
        """Guards against a fault that is not found, and against verdicts from one target, noise,
        a cold start or a burst.
        """
        for fault in FAULTS:
            # Canaries of a small service rarely have as many calls at once as these faults need.
            rate = RATES[-1] if "full load" in fault.name else (60.0, 8)
            with self.subTest(fault=fault.name):
                result = Replay(fault, 1, *rate).run()
                self.assertEqual(result.completed, not fault.is_bad, result.reason)
                if fault.is_bad:
                    self.assertLessEqual(result.new_calls, result.bound)

    def test_one_bad_target_gives_no_verdict(self) -> None:
        """Guards against a version that is taken back for one target, or kept despite several."""
        for n_bad, is_bad in ((0, False), (1, False), (2, True)):
            samples = [
                Sample.of(0.0, f"{side}{n}", counts, is_new=side == "n")
                for side in "no"
                for n in range(4)
                for counts in [RouteAnswers("r1", 20, 16 * (side == "n" and n < n_bad))]
            ]
            verdict = judge(samples, 4)
            self.assertEqual((verdict.is_bad, verdict.is_suspicious), (is_bad, is_bad))

    def test_fault_on_a_rare_route_is_found(self) -> None:
        """Guards against a fault on one route that the answers on all others hide."""
        samples = []
        for n, is_new in enumerate((True, True, False, False)):
            for route, answers, failures in (("r1", 400, 1), ("r2", 20, 6 * is_new)):
                counts = RouteAnswers(route, answers, failures)
                samples.append(Sample.of(0.0, f"i{n}", counts, is_new=is_new))
        self.assertFalse(judge([s for s in samples if s.route == "r1"], 2).is_suspicious)
        verdict = judge(samples, 2)
        self.assertTrue(verdict.is_bad)
        self.assertEqual(verdict.worst and verdict.worst.route, "r2")

    def test_fault_that_begins_late_is_found(self) -> None:
        """Guards against good answers of the past that hide a version that turned bad."""
        evidence = Evidence()
        for n, is_new in enumerate((True, True, False, False)):
            good = RouteAnswers("r1", 300, 2)
            late = RouteAnswers("r1", 308 if is_new else 400, 2 + 4 * is_new)
            evidence.record((f"i{n}", 1), (good,), 1_000.0, is_new=is_new)
            evidence.record((f"i{n}", 1), (late,), 9_000.0, is_new=is_new)
        self.assertFalse(judge(evidence._samples, 2).is_bad)
        self.assertTrue(evidence.verdict(10_000.0, 2).is_bad)

    def test_no_step_without_evidence_ends_at_the_deadline(self) -> None:
        """Guards against a version without targets that stays in roll-out or completes."""
        for phase in RUNNING:
            for elapsed_ms in (0.0, 11_000.0, 12_000.0):
                rollout = Rollout("robes", "v2", 12_000, "", 1, 0, Step(phase, 0.5))
                due = next_step(Situation(rollout, elapsed_ms, 10_000.0, (), Verdict()), CFG)
                if elapsed_ms >= rollout.duration_ms:
                    self.assertFalse(getattr(due, "completed", True))
                else:
                    self.assertIn(getattr(due, "phase", phase), (phase, Phase.CANARY))


class RoutingTest(unittest.TestCase):
    def test_targets_by_phase(self) -> None:
        """Guards against calls to a version that may not take them at this phase."""
        old, canary, other = (
            target(1, version="v1"),
            target(2, version="v2"),
            target(3, version="v2"),
        )
        targets = (old, canary, other)
        table: tuple[tuple[Phase, bool, tuple[Any, ...]], ...] = (
            (Phase.CANARY, False, (old,)),
            (Phase.CANARY, True, (canary,)),
            (Phase.SHIFT, False, (old,)),
            (Phase.SHIFT, True, (canary, other)),
            (Phase.DRAIN, True, (canary, other)),
            (Phase.COMPLETED, True, (canary, other)),
            (Phase.ROLLED_BACK, False, (old,)),
        )
        rollout = Rollout("robes", "v2", 1, "", 1, 0, replaced=("v1",))
        for phase, on_new, expected in table:
            with self.subTest(phase=phase, on_new=on_new):
                step = Step(phase, 0.5, 0, (canary.upstream.instance_id,))
                at = structs.replace(rollout, step=step)
                self.assertEqual(usable_targets(targets, at, on_new=on_new), expected)
                draw = 0.4 if on_new else 0.6
                self.assertEqual(offers_new(at, draw, is_first=True), on_new)
        self.assertEqual(open_targets((old,), targets, frozenset({"v1"})), (canary, other))
