"""Replay roll-outs of good and bad versions, and print how many calls each verdict took.

Run from the root of the repository: python -m scripts.replay_rollouts --good 1000 --jobs 2
"""

from __future__ import annotations

import argparse
import dataclasses
import multiprocessing
import random

from msgspec import structs

from knapweedhitch.answertally import AnswerTally
from knapweedhitch.rollout import FINAL_PHASES, Phase, Rollout, Step
from knapweedhitch.rolloutevidence import Evidence, GrantLedger
from knapweedhitch.rolloutplan import End, Situation, TargetReport, next_step
from knapweedhitch.settings import RolloutSettings

CFG = RolloutSettings(enabled=True)
DURATION_MS = 12_000.0
REPORT_MS = 250.0
SLOW_MACHINE_MS = 300.0
SLOW_MACHINE_SHARE = 0.25
SLOW_MACHINE_FACTOR = 4.0
COLD_MS = 3_000.0
LATE_MS = 5_000.0
WORK_MS = {"r1": 240.0, "r2": 61.0}
TOKENS_WANTED = 6
# Calls a second and targets of a version.
RATES = ((16.0, 4), (34.0, 6), (110.0, 24), (230.0, 47))
GOOD_RATE = (34.0, 6)
# Failures that any version has.
USUAL_FAILURES = 0.004


@dataclasses.dataclass(frozen=True)
class Fault:
    """Describe a fault of the new version, or of the conditions."""

    name: str
    is_bad: bool = True
    failing: float = 0.0
    slow: float = 0.0
    slow_factor: float = 1.0
    from_ms: float = 0.0
    route: str = ""
    # Affects calls only at targets with at least this many calls in the last second.
    from_load: int = 0
    one_target: bool = False
    cold: bool = False
    burst: bool = False
    noisy: bool = False


FAULTS = (
    Fault("none", is_bad=False),
    Fault("20% fail", failing=0.2),
    Fault("40% fail", failing=0.4),
    Fault("all slow x3", slow=1.0, slow_factor=3.0),
    Fault("40% slow x4", slow=0.4, slow_factor=4.0),
    Fault("40% fail from 5 s", failing=0.4, from_ms=LATE_MS),
    Fault("all slow x3 from 5 s", slow=1.0, slow_factor=3.0, from_ms=LATE_MS),
    Fault("40% fail under load", failing=0.4, from_load=3),
    Fault("40% fail at full load", failing=0.4, from_load=5),
    Fault("40% slow x4 at full load", slow=0.4, slow_factor=4.0, from_load=5),
    Fault("40% fail on one route", failing=0.4, route="r2"),
    Fault("one target fails", is_bad=False, failing=0.8, one_target=True),
    Fault("one target slow x5", is_bad=False, slow=1.0, slow_factor=5.0, one_target=True),
    Fault("noisy machines", is_bad=False, noisy=True),
    Fault("noisy, 20% fail", failing=0.2, noisy=True),
    Fault("noisy, all slow x3", slow=1.0, slow_factor=3.0, noisy=True),
    Fault("cold start", is_bad=False, cold=True, noisy=True),
    Fault("burst", is_bad=False, burst=True, noisy=True),
)


@dataclasses.dataclass
class Target:
    """Track one target and the node beside it."""

    name: str
    is_new: bool
    tally: AnswerTally = dataclasses.field(default_factory=AnswerTally)
    arrivals: int = 0
    arrivals_reported: int = 0
    spent: int = 0
    held: int = 0
    recent_ms: list[float] = dataclasses.field(default_factory=list)
    # Answers that are still to come: time, route, failed, service time.
    pending: list[tuple[float, str, bool, float | None]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class Result:
    """Describe the end of one replay."""

    completed: bool
    at_ms: float
    new_calls: int
    all_calls: int
    bad_answers: int
    reason: str

    @property
    def bound(self) -> float:
        """Return the calls that a bad version may get."""
        return CFG.exposure_share * self.all_calls + CFG.exposure_slack


class Replay:
    """Replay one roll-out in steps of 10 ms."""

    def __init__(self, fault: Fault, seed: int, per_s: float, count: int) -> None:
        self.fault = fault
        self.rng = random.Random(f"{fault.name} {seed} {per_s}")
        self.per_s = per_s
        self.old = [Target(f"o{n}", False) for n in range(count)]
        self.new = [Target(f"n{n}", True) for n in range(count)]
        self.rollout = Rollout("robes", "v2", int(DURATION_MS), "", 1, 0)
        self.evidence = Evidence()
        self.ledger = GrantLedger(0)
        self.step_ms = 0.0
        self.moved_ms: float | None = None
        self.sequence = 0
        self.new_calls = self.all_calls = self.bad_answers = 0
        # Slow periods of each target's machine, by the period's number.
        self.noise = {
            t.name: [self.rng.random() < SLOW_MACHINE_SHARE for _ in range(60)]
            for t in (*self.old, *self.new)
        }

    def run(self) -> Result:
        """Replay until the roll-out has ended and return how, with all calls up to the deadline."""
        ended: End | None = None
        ended_ms = 0.0
        now = 0.0
        while now < DURATION_MS or ended is None:
            now += 10.0
            for _ in range(self._arrivals(now)):
                self._call(now)
            if ended is None and now % REPORT_MS < 10.0:
                self._report(now)
                ended = self._decide(now)
                ended_ms = now
        return Result(
            ended.completed,
            ended_ms,
            self.new_calls,
            self.all_calls,
            self.bad_answers,
            ended.reason,
        )

    def _arrivals(self, now: float) -> int:
        factor = 2.0 if self.fault.burst and 3_000.0 < now < 6_000.0 else 1.0
        expected = self.per_s * factor / 100.0
        return int(expected) + (self.rng.random() < expected % 1.0)

    def _call(self, now: float) -> None:
        self.all_calls += 1
        step = self.rollout.step
        target = self.rng.choice(self.old)
        share = 1.0 if step.phase in (Phase.DRAIN, Phase.COMPLETED) else step.share
        if step.phase is not Phase.CANARY and self.rng.random() < share:
            target = self.rng.choice(self.new)
        elif step.phase is Phase.CANARY and self.rng.random() < step.share:
            canaries = [t for t in self.new if t.name in step.canaries and t.held > 0]
            if canaries:
                target = self.rng.choice(canaries)
                target.held -= 1
                target.spent += 1
        self.new_calls += target.is_new
        target.arrivals += 1
        target.recent_ms = [*(t for t in target.recent_ms if t > now - 1_000.0), now]
        route = "r1" if self.rng.random() < 0.6 else "r2"
        failed, factor = self._effect(target, route, now)
        work_ms = WORK_MS[route] * self.rng.lognormvariate(0.0, 0.3) * factor
        measured = work_ms
        if self.fault.noisy and self._is_slow(target, now):
            work_ms *= SLOW_MACHINE_FACTOR
            measured = work_ms
            # The last report of the machine's state describes about half of the call.
            measured /= (SLOW_MACHINE_FACTOR + 1.0) / 2.0
        if self.fault.burst and 3_000.0 < now < 6_000.0:
            work_ms *= 1.7
            measured *= 1.7
        is_cold = self.fault.cold and target.is_new and now < COLD_MS
        self.bad_answers += (failed or factor > 1.0) and target.is_new
        target.pending.append((now + work_ms, route, failed, None if is_cold else measured))

    def _effect(self, target: Target, route: str, now: float) -> tuple[bool, float]:
        fault = self.fault
        failed = self.rng.random() < USUAL_FAILURES
        if not target.is_new or now < fault.from_ms or fault.route not in ("", route):
            return failed, 1.0
        if fault.one_target and target is not self.new[0]:
            return failed, 1.0
        if len(target.recent_ms) < fault.from_load:
            return failed, 1.0
        failed = failed or self.rng.random() < fault.failing
        return failed, fault.slow_factor if self.rng.random() < fault.slow else 1.0

    def _is_slow(self, target: Target, now: float) -> bool:
        periods = self.noise[target.name]
        return periods[int(now / SLOW_MACHINE_MS) % len(periods)]

    def _report(self, now: float) -> None:
        self.sequence += 1
        for target in (*self.old, *self.new):
            due = [p for p in target.pending if p[0] <= now]
            target.pending = [p for p in target.pending if p[0] > now]
            for _, route, failed, time_ms in due:
                target.tally.record(route, failed=failed, time_ms=time_ms)
            source = (target.name, 0)
            self.evidence.record(source, target.tally.snapshot(), now, is_new=target.is_new)
            self.evidence.record_arrivals(target.arrivals - target.arrivals_reported)
            target.arrivals_reported = target.arrivals
            if not target.is_new:
                continue
            step = self.rollout.step
            is_canary = target.name in step.canaries and step.phase is Phase.CANARY
            target.held *= is_canary
            target.held += self.ledger.grant(
                source,
                self.sequence,
                spent=target.spent,
                held=target.held,
                wanted=TOKENS_WANTED if is_canary else 0,
                reserved=step.granted,
            )

    def _decide(self, now: float) -> End | None:
        step = self.rollout.step
        situation = Situation(
            self.rollout,
            now,
            now - self.step_ms,
            tuple(self._describe(t, now) for t in (*self.old, *self.new)),
            self.evidence.verdict(now, len(self.new), self.moved_ms),
            self.evidence.arrivals,
            self.ledger.issued,
        )
        due = next_step(situation, CFG)
        if isinstance(due, Step):
            if due.phase is not Phase.CANARY and due != step:
                self.step_ms = now
                self.moved_ms = self.moved_ms or now
            self.rollout = structs.replace(self.rollout, step=due)
        elif isinstance(due, End):
            phase = Phase.COMPLETED if due.completed else Phase.ROLLED_BACK
            self.rollout = structs.replace(self.rollout, step=Step(phase))
            assert phase in FINAL_PHASES
            return due
        return None

    def _describe(self, target: Target, now: float) -> TargetReport:
        is_cold = self.fault.cold and target.is_new and now < COLD_MS
        return TargetReport(
            target.name,
            target.is_new,
            slots=6,
            is_warm=not is_cold,
            is_closed=self.rollout.step.phase is Phase.DRAIN and not target.is_new,
            in_progress=len(target.pending),
            age_ms=0.0,
        )


def replay(job: tuple[Fault, int, float, int]) -> Result:
    """Return the result of one replay."""
    return Replay(*job).run()


def main() -> None:
    """Print one row for each fault and rate, and the false verdicts on good versions."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--good", type=int, default=1_000)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=2)
    args = parser.parse_args()
    seeds = range(1, args.seeds + 1)
    with multiprocessing.Pool(args.jobs) as pool:
        for per_s, count in RATES:
            print(f"{per_s:.0f} calls/s, {count} targets; seeds 1 to {args.seeds}")
            print("fault | ends | at s | new calls | bound | bad answers | reason of the last")
            for fault in FAULTS:
                results = pool.map(replay, [(fault, s, per_s, count) for s in seeds])
                print(_row(fault, results), flush=True)
            print()
        for fault in (f for f in FAULTS if not f.is_bad):
            jobs = [(fault, s, *GOOD_RATE) for s in range(1, args.good + 1)]
            results = pool.map(replay, jobs, chunksize=10)
            false = sum(not r.completed and not r.reason.startswith("deadline") for r in results)
            late = sum(r.reason.startswith("deadline") for r in results)
            print(
                f"{fault.name}: {args.good} good roll-outs at {GOOD_RATE[0]:.0f} calls/s, "
                f"{false} false verdicts, {late} late",
                flush=True,
            )


def _row(fault: Fault, results: list[Result]) -> str:
    cells = (
        fault.name,
        " ".join("completed" if r.completed else "back" for r in results),
        " ".join(f"{r.at_ms / 1_000:.1f}" for r in results),
        " ".join(str(r.new_calls) for r in results),
        f"{min(r.bound for r in results):.0f}",
        " ".join(str(r.bad_answers) for r in results),
        results[-1].reason,
    )
    return " | ".join(cells)


if __name__ == "__main__":
    main()
