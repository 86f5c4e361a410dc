"""Measure success ratio and latency of calls while a failure domain stops and restarts.

Runs the same seeded traffic on the choir example twice: once with an operator who takes the domain
out before its upstreams stop and back in after they start, and once without any notice.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import random
import sys
from collections.abc import Sequence
from pathlib import Path

import trio

from scripts import demo, traffic
from scripts.demo import OUT_BOUND_S, OUT_DOMAIN, Deployment
from scripts.harness import Child, Harness
from scripts.traffic import Sample

SERVICE_MS = 20.0


@dataclasses.dataclass(frozen=True)
class Row:
    """Describe the results of one kind of call in one phase."""

    # Whether an operator took the domain out before its upstreams stopped.
    handled: bool
    phase: str
    kind: str
    calls: int
    success: float
    p50_ms: float
    p99_ms: float
    reasons: dict[str, int]


class DomainUpstreams:
    """Stop and restart the stand-in upstreams of the failure domain."""

    def __init__(self, h: Harness, deployment: Deployment) -> None:
        self._h = h
        self._deployment = deployment
        self._children: list[Child] = []
        self._starts = 0
        self._members = [
            instance
            for instance in deployment.answers.instances
            if instance.domain == OUT_DOMAIN and instance.service != demo.NO_SERVICE
        ]

    def find_children(self) -> None:
        """Find the stand-ins started by the demo."""
        names = {f"{instance.name}-upstream" for instance in self._members}
        self._children = [child for child in self._h.children if child.name in names]

    def stop(self) -> None:
        """Kill the upstreams, as a power failure of the domain would."""
        for child in self._children:
            self._h.kill(child)

    def start(self) -> None:
        """Restart the upstreams; each process is a new, cold upstream."""
        self._starts += 1
        self._children = []
        for instance in self._members:
            endpoint = self._deployment.daemons[instance.name].endpoints["announce"]
            name = f"{instance.name}-upstream-{self._starts}"
            args = [
                "-m",
                "tests.stand_in",
                "--service",
                instance.service,
                "--slots",
                str(instance.slots),
            ]
            args += ["--announce", str(endpoint), "--behaviour", f"delay_ms={SERVICE_MS}"]
            self._children.append(self._h.start(name, args))


async def set_service_time(deployment: Deployment) -> None:
    """Set the service time of every stand-in to SERVICE_MS."""
    for upstream in await demo.find_upstreams(deployment):
        connection = traffic.CallerConnection(upstream.address)
        path = f"/stand-in/behaviour?delay_ms={SERVICE_MS}"
        await connection.send(traffic.Call("control", "stand-in", "POST", path), "")
        await connection.aclose()


async def run_phases(
    h: Harness, deployment: Deployment, handled: bool, seconds: float, rate_per_s: float
) -> list[Row]:
    """Run all phases and return their rows."""
    await demo.apply_answers(deployment)
    await demo.wait_for_bookings(deployment)
    await set_service_time(deployment)
    upstreams = DomainUpstreams(h, deployment)
    upstreams.find_children()
    rng = random.Random(demo.SEED)
    calls = demo.mixed_calls(rng)
    samples: list[Sample] = []

    async def run_phase(name: str, seconds: float) -> None:
        samples.extend(
            await traffic.drive(
                deployment.entries, calls, name, seconds=seconds, rate_per_s=rate_per_s, rng=rng
            )
        )

    async def take_out() -> None:
        await trio.sleep(0.5)
        if handled:
            await demo.change(deployment, f"/v1/domains/{OUT_DOMAIN}/out", allow_last=False)
            await trio.sleep(OUT_BOUND_S)
        await trio.to_thread.run_sync(upstreams.stop)

    async def take_in() -> None:
        await trio.sleep(0.5)
        await trio.to_thread.run_sync(upstreams.start)
        if handled:
            await trio.sleep(OUT_BOUND_S)
            await demo.change(deployment, f"/v1/domains/{OUT_DOMAIN}/in")

    await run_phase("all domains in", seconds)
    for name, operate in (("domain leaves", take_out), ("domain returns", take_in)):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(operate)
            await run_phase(name, seconds + OUT_BOUND_S)
        if name == "domain leaves":
            await run_phase("domain away", seconds)
    return build_rows(handled, samples)


def build_rows(handled: bool, samples: Sequence[Sample]) -> list[Row]:
    """Return one row per phase and kind of call."""
    rows = []
    for phase in dict.fromkeys(sample.phase for sample in samples):
        for kind in ("lookup", "booking", "upload"):
            kind_samples = [s for s in samples if s.phase == phase and s.call.kind == kind]
            latencies_ms = [s.took_ms for s in kind_samples if s.ok]
            reasons: dict[str, int] = {}
            for sample in kind_samples:
                if not sample.ok:
                    reason = sample.headers.get(traffic.REASON_HEADER, str(sample.status))
                    reasons[reason] = reasons.get(reason, 0) + 1
            rows.append(
                Row(
                    handled=handled,
                    phase=phase,
                    kind=kind,
                    calls=len(kind_samples),
                    success=len(latencies_ms) / max(1, len(kind_samples)),
                    p50_ms=traffic.percentile(latencies_ms, 0.5),
                    p99_ms=traffic.percentile(latencies_ms, 0.99),
                    reasons=reasons,
                )
            )
    return rows


def table(rows: Sequence[Row]) -> str:
    """Return the rows as a Markdown table."""
    lines = [
        "| taken out by operator | phase | kind | calls | success | p50 ms | p99 ms | refusals |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for row in rows:
        reasons = " ".join(f"{name}={n}" for name, n in sorted(row.reasons.items())) or "-"
        lines.append(
            f"| {'yes' if row.handled else 'no'} | {row.phase} | {row.kind} | {row.calls} | "
            f"{100 * row.success:.2f}% | {row.p50_ms:.1f} | {row.p99_ms:.1f} | {reasons} |"
        )
    return "\n".join(lines)


def main() -> None:
    """Run the measurement with and without an operator, and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6.0, help="length of each phase")
    parser.add_argument("--rate", type=float, default=60.0, help="calls per second")
    parser.add_argument("--json", default="")
    args = parser.parse_args()
    rows: list[Row] = []
    for handled in (True, False):
        with Harness() as h:
            deployment = demo.start(h)
            rows += trio.run(run_phases, h, deployment, handled, args.seconds, args.rate)
            print(f"run with domain handling={handled} done", file=sys.stderr)
    print(table(rows))
    if args.json:
        text = json.dumps([dataclasses.asdict(row) for row in rows], indent=1) + "\n"
        Path(args.json).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
