"""Compare the pick policies on simulated upstreams with the real decision code."""

from __future__ import annotations

import argparse
import concurrent.futures
import dataclasses
import json
import math
import random
import sys
import time
from typing import Any

import trio
import trio.testing
from msgspec import structs

from knapweedhitch.admission import Admission
from knapweedhitch.counters import Counters
from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import Outcome, Refusal
from knapweedhitch.kernel import Kernel
from knapweedhitch.model import (
    Address,
    CallResult,
    Configuration,
    DomainStatus,
    LoadSample,
    ServiceConfig,
    Target,
    UpstreamRecord,
)
from knapweedhitch.pick import Picker
from knapweedhitch.policies import policies
from knapweedhitch.retry import RetryPolicy
from knapweedhitch.settings import parse_settings

SETTINGS = """
node: {id: n1, domain: d1}
secrets: {peer_secret_file: a, operator_token_file: b}
control: {members: [{id: c1, host: 127.0.0.1, port: 1}]}
"""
CASES = ("steady", "straggler", "fail-fast", "cold", "domain")
# Mean service time of a warm upstream without noisy neighbours.
SERVICE_MS = 20.0
# Standard deviation of the logarithm of service times.
LOG_SIGMA = 0.5
DEADLINE_MS = 1_000.0
WARM_UP_S = 1.0
FAULT_S = 1.5
RETURN_S = 3.0
# Interval at which load and speed of a shared machine change.
LOAD_CHANGE_MS = 5.0
STRAGGLER_FACTOR = 8.0
COLD_FACTOR = 3.0
SUCCESSES_PER_STEP = 1
COLUMNS = (
    "deployment",
    "case",
    "policy",
    "calls",
    "p50_ms",
    "p99_ms",
    "p99_low_ms",
    "p99_high_ms",
    "p999_ms",
    "success",
    "cold_overloads",
)


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Describe the size of one deployment of the design page; times are in milliseconds."""

    name: str
    n_targets: int
    slots: int
    connections: int
    domain_latency_ms: float


DEPLOYMENTS = (Deployment("choir", 4, 9, 220, 1.5), Deployment("co-operative", 5, 6, 260, 1.0))
DOMAINS = ("d1", "d2", "d3")


@dataclasses.dataclass(frozen=True)
class Options:
    """Configure the measured virtual seconds, the load as a share of all slots, and the warm-up.

    An upstream warms up by successes, as the ramp assumes, or by one call every `warm_step_ms`.
    """

    seconds: float = 4.0
    load: float = 0.55
    warm_step_ms: float | None = None


class Timers:
    """Provide the virtual clock."""

    def now_ms(self) -> float:
        return trio.current_time() * 1_000.0

    def every(self, *_args: Any, **_kwargs: Any) -> None:
        """Ignore the timer; the simulation grants no leases."""


class ConfigView:
    """Provide the configuration known to one node."""

    def __init__(self) -> None:
        self.current = Configuration()

    def may_serve(self) -> bool:
        return self.is_fresh()

    def is_fresh(self) -> bool:
        return True


def make_kernel() -> Kernel:
    """Return a kernel with the services that the decision modules use."""
    kernel = Kernel(parse_settings(SETTINGS, "measure"))
    for name, instance in (
        ("counters", Counters()),
        ("timers", Timers()),
        ("config", ConfigView()),
    ):
        kernel.add(name, instance)
    return kernel


class Upstream:
    """Simulate one upstream on a shared machine."""

    def __init__(self, sim: Simulation, n: int) -> None:
        self.sim = sim
        self.rng = random.Random(f"{sim.seed}/upstream/{n}")
        self.domain = DOMAINS[n % len(DOMAINS)]
        dep = sim.dep
        self.record = UpstreamRecord(
            "svc", Address("127.0.0.1", n), dep.slots, dep.connections, f"i{n}", 1
        )
        self.admission = Admission(make_kernel())
        self.factor = 1.0
        self.neighbour_factor = 1.0
        self.fails = False
        # Concurrent calls that the cold upstream can handle; None if it is warm.
        self.capacity: int | None = 1
        self.successes = 0
        self.cold_since_s = trio.current_time()
        self.running = 0
        self.overloads = 0
        self.admission.set_upstream(self.record)

    @property
    def target(self) -> Target:
        return Target(f"n{self.record.instance_id}", self.domain, self.record)

    def make_cold(self) -> None:
        """Make the upstream cold without notifying its admission."""
        self.capacity, self.successes = 1, 0
        self.cold_since_s = trio.current_time()

    def restart(self) -> None:
        """Start a new, cold incarnation."""
        incarnation = self.record.incarnation + 1
        self.record = structs.replace(self.record, incarnation=incarnation)
        self.make_cold()
        self.admission.set_upstream(self.record)

    def update_neighbour(self) -> None:
        """Randomly start or end the slowdown by neighbours on the machine."""
        if self.neighbour_factor > 1.0:
            if self.rng.random() < 0.25:
                self.neighbour_factor = 1.0
        elif self.rng.random() < 0.02:
            self.neighbour_factor = 3.0

    async def serve(self) -> CallResult:
        """Serve one call."""
        if self.fails:
            await trio.sleep(0.001)
            return CallResult(False, 1.0, 500)
        self.running += 1
        self._warm_by_time()
        is_cold = self.capacity is not None
        is_overloaded = self.capacity is not None and self.running > self.capacity
        self.overloads += is_overloaded
        base_ms = SERVICE_MS * math.exp(self.rng.gauss(-(LOG_SIGMA**2) / 2.0, LOG_SIGMA))
        service_ms = (
            base_ms * self.factor * self.neighbour_factor * (COLD_FACTOR if is_cold else 1.0)
        )
        try:
            await trio.sleep(service_ms / 1_000.0)
        finally:
            self.running -= 1
        if not is_overloaded:
            self._warm_up()
        return CallResult(not is_overloaded, service_ms, 503 if is_overloaded else 200)

    def _warm_by_time(self) -> None:
        step_ms = self.sim.opts.warm_step_ms
        if step_ms is not None and self.capacity is not None:
            steps = int((trio.current_time() - self.cold_since_s) * 1_000.0 / step_ms)
            self.capacity = 1 + steps if 1 + steps < self.record.slots else None

    def _warm_up(self) -> None:
        if self.capacity is None or self.sim.opts.warm_step_ms is not None:
            return
        self.successes += 1
        if self.successes >= self.capacity * SUCCESSES_PER_STEP:
            self.successes = 0
            self.capacity = self.capacity + 1 if self.capacity < self.record.slots else None


class Entry:
    """Run the calls of one entry node with the real picker and retry code."""

    def __init__(self, sim: Simulation, domain: str) -> None:
        self.sim, self.domain = sim, domain
        self.kernel = make_kernel()
        self.picker = Picker(self.kernel, random.Random(f"{sim.seed}/picker/{domain}"))
        self.retry = RetryPolicy(self.kernel)
        self.rng = random.Random(f"{sim.seed}/entry/{domain}")

    async def call(self, measured: bool) -> None:
        """Make one call and record its latency and success."""
        started_s = trio.current_time()
        self.retry.record_call(self.sim.svc.name)
        idempotent = self.rng.random() < 0.8
        ok = await self._call_with_retries(idempotent, Deadline.after_ms(DEADLINE_MS))
        if measured:
            self.sim.record_call(ok, (trio.current_time() - started_s) * 1_000.0)

    async def _call_with_retries(self, idempotent: bool, deadline: Deadline) -> bool:
        excluded: frozenset[str] = frozenset()
        retries_left = 2
        while True:
            choice = self.picker.pick(
                self.sim.svc, self.sim.targets(), excluded, self.domain, f"e-{self.domain}"
            )
            if choice.target is None:
                self.sim.reasons["no-target"] = self.sim.reasons.get("no-target", 0) + 1
                return False
            result, reason, outcome = await self._attempt(choice.target, deadline)
            if result.ok:
                return True
            self.sim.reasons[reason] = self.sim.reasons.get(reason, 0) + 1
            left_ms = deadline.remaining_ms()
            if not self.retry.may_retry(
                self.sim.svc.name, reason, idempotent, outcome, left_ms, retries_left
            ):
                return False
            retries_left -= 1
            excluded |= {choice.target.upstream.instance_id}

    async def _attempt(self, target: Target, deadline: Deadline) -> tuple[CallResult, str, Outcome]:
        instance_id = target.upstream.instance_id
        upstream = self.sim.by_id[instance_id]
        started_s = trio.current_time()
        self.picker.record_start(instance_id)
        await self.sim.travel(self.domain, upstream.domain)
        reason, outcome, shed = "upstream-failed", Outcome.UNKNOWN, False
        try:
            slot = await upstream.admission.admit(deadline)
        except Refusal as exc:
            result, shed = CallResult(False, 0.0, exc.status), True
            reason, outcome = exc.reason, exc.outcome
        else:
            result = await upstream.serve()
            upstream.admission.release(slot, result)
        load = upstream.admission.load()
        await self.sim.travel(self.domain, upstream.domain)
        elapsed_ms = (trio.current_time() - started_s) * 1_000.0
        result = structs.replace(result, service_ms=elapsed_ms, shed=shed)
        self.picker.record_finish(instance_id, result)
        self.picker.observe(instance_id, load)
        return result, reason, outcome


class Simulation:
    """Run one case of one deployment under one policy and seed."""

    def __init__(self, dep: Deployment, case: str, policy: str, seed: int, opts: Options) -> None:
        self.dep, self.case, self.seed, self.opts = dep, case, seed, opts
        self.svc = ServiceConfig("svc", ("svc",), policy=policy)
        self.latencies: list[float] = []
        self.calls = 0
        self.reasons: dict[str, int] = {}
        self.rng = random.Random(f"{seed}/arrivals")

    def targets(self) -> tuple[Target, ...]:
        return self._targets

    def record_call(self, ok: bool, latency_ms: float) -> None:
        """Record one call that started in the measured time."""
        self.calls += 1
        if ok:
            self.latencies.append(latency_ms)

    async def travel(self, source: str, destination: str) -> None:
        """Wait for the one-way latency between two nodes."""
        await trio.sleep((0.2 if source == destination else self.dep.domain_latency_ms) / 1_000.0)

    async def main(self) -> None:
        """Run the case on the virtual clock."""
        self.upstreams = [Upstream(self, n) for n in range(self.dep.n_targets)]
        self.by_id = {u.record.instance_id: u for u in self.upstreams}
        self._targets = tuple(u.target for u in self.upstreams)
        self.entries = [Entry(self, domain) for domain in DOMAINS]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._update_neighbours)
            nursery.start_soon(self._send_reports, nursery)
            nursery.start_soon(self._inject_fault)
            async with trio.open_nursery() as calls:
                await self._generate_calls(calls)
            nursery.cancel_scope.cancel()

    async def _generate_calls(self, calls: trio.Nursery) -> None:
        per_s = self.dep.n_targets * self.dep.slots / SERVICE_MS * 1_000.0 * self.opts.load
        level, next_shift_s = 1.0, 0.0
        while (now := trio.current_time()) < WARM_UP_S + self.opts.seconds:
            if now >= next_shift_s:
                level, next_shift_s = (
                    self.rng.choice((0.5, 1.0, 1.5)),
                    now + LOAD_CHANGE_MS / 1_000.0,
                )
            # The load ramps up, because all upstreams start cold and must warm up.
            share = min(1.0, 0.05 + now / WARM_UP_S * 1.5)
            await trio.sleep(self.rng.expovariate(per_s * level * share))
            calls.start_soon(self.rng.choice(self.entries).call, now >= WARM_UP_S)

    async def _update_neighbours(self) -> None:
        while True:
            await trio.sleep(LOAD_CHANGE_MS / 1_000.0)
            for upstream in self.upstreams:
                upstream.update_neighbour()

    async def _send_reports(self, nursery: trio.Nursery) -> None:
        sent: dict[str, LoadSample] = {}
        while True:
            await trio.sleep(0.1)
            for upstream in self.upstreams:
                load = upstream.admission.load()
                if sent.get(upstream.record.instance_id) != load:
                    sent[upstream.record.instance_id] = load
                    for entry in self.entries:
                        nursery.start_soon(self._send_report, upstream, entry, load)

    async def _send_report(self, upstream: Upstream, entry: Entry, load: LoadSample) -> None:
        await self.travel(upstream.domain, entry.domain)
        entry.picker.observe(upstream.record.instance_id, load)

    async def _inject_fault(self) -> None:
        await trio.sleep(FAULT_S)
        bad = self.upstreams[1]
        if self.case == "straggler":
            bad.factor = STRAGGLER_FACTOR
        elif self.case == "fail-fast":
            bad.fails = True
        elif self.case == "cold":
            bad.restart()
            self._targets = tuple(u.target for u in self.upstreams)
        elif self.case == "domain":
            await self._set_domain(bad.domain, True)
            await trio.sleep(RETURN_S - FAULT_S)
            await self._set_domain(bad.domain, False)

    async def _set_domain(self, domain: str, out: bool) -> None:
        for upstream in self.upstreams:
            if upstream.domain == domain:
                if not out:
                    upstream.make_cold()
                upstream.admission.set_domain_out(out)
        config = Configuration(domains={domain: DomainStatus(out, 1)})
        for entry in self.entries:
            # Entry nodes receive the change at different times, at their next poll.
            await trio.sleep(0.05)
            entry.kernel.get("config").current = config


def run_simulation(job: tuple[Deployment, str, str, int, Options]) -> dict[str, Any]:
    """Return the raw results of one simulation."""
    sim = Simulation(*job)
    # trio runs ready tasks in random order; a fixed seed makes a simulation repeatable.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[attr-defined]
    trio._core._run._r.seed(job[3])  # type: ignore[attr-defined]
    trio.run(sim.main, clock=trio.testing.MockClock(autojump_threshold=0))
    return {
        "key": (job[0].name, job[1], job[2]),
        "calls": sim.calls,
        "latencies": sim.latencies,
        "overloads": sum(upstream.overloads for upstream in sim.upstreams),
        "reasons": sim.reasons,
    }


def percentile(ordered: list[float], share: float) -> float:
    """Return a percentile of sorted values in milliseconds."""
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else math.nan


def summarize(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Return one row from the simulations of all seeds."""
    ordered = sorted(ms for result in results for ms in result["latencies"])
    calls = sum(result["calls"] for result in results)
    reasons: dict[str, int] = {}
    for result in results:
        for reason, n in result["reasons"].items():
            reasons[reason] = reasons.get(reason, 0) + n
    deployment, case, name = results[0]["key"]
    # The spread over the seeds shows which differences between policies are noise.
    by_seed = sorted(percentile(sorted(result["latencies"]), 0.99) for result in results)
    return {
        "deployment": deployment,
        "case": case,
        "policy": name,
        "calls": calls,
        "p50_ms": round(percentile(ordered, 0.5), 1),
        "p99_ms": round(percentile(ordered, 0.99), 1),
        "p99_low_ms": round(by_seed[0], 1),
        "p99_high_ms": round(by_seed[-1], 1),
        "p999_ms": round(percentile(ordered, 0.999), 1),
        "success": round(len(ordered) / calls, 5),
        "cold_overloads": sum(result["overloads"] for result in results),
        "reasons": reasons,
    }


def parse_args() -> argparse.Namespace:
    """Return the command-line options."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", metavar="FILE", help="write all figures to FILE")
    parser.add_argument("--seeds", type=int, default=4, help="number of seeds, from 1 on")
    parser.add_argument("--seconds", type=float, default=4.0, help="measured virtual seconds")
    parser.add_argument("--load", type=float, default=0.55, help="share of all slots in use")
    parser.add_argument("--warm-step-ms", type=float, help="warm up by time, one call a step")
    parser.add_argument("--policy", action="append", help="measure only this policy")
    parser.add_argument("--case", action="append", choices=CASES, help="measure only this case")
    parser.add_argument("--jobs", type=int, default=4, help="processes at the same time")
    return parser.parse_args()


def main() -> int:
    """Run all simulations and print a Markdown table."""
    args = parse_args()
    started_s = time.monotonic()
    opts = Options(args.seconds, args.load, args.warm_step_ms)
    jobs = [
        (dep, case, name, seed, opts)
        for dep in DEPLOYMENTS
        for case in args.case or CASES
        for name in args.policy or policies()
        for seed in range(1, args.seeds + 1)
    ]
    with concurrent.futures.ProcessPoolExecutor(args.jobs) as pool:
        results = list(pool.map(run_simulation, jobs))
    keys = list(dict.fromkeys(result["key"] for result in results))
    rows = [summarize([result for result in results if result["key"] == key]) for key in keys]
    print("| " + " | ".join(COLUMNS) + " |")
    print("|---" * len(COLUMNS) + "|")
    for row in rows:
        print("| " + " | ".join(str(row[name]) for name in COLUMNS) + " |")
    print(f"\n{len(jobs)} simulations in {time.monotonic() - started_s:.0f} s")
    if args.json:
        with open(args.json, "w", encoding="utf-8") as file:
            json.dump({"options": vars(args), "rows": rows}, file, indent=1)
    return 0


if __name__ == "__main__":
    sys.exit(main())
