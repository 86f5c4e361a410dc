"""Measure the service that callers get while a failure domain leaves and returns.

Two runs of the same seeded traffic on the choir example: in one, the operator takes the domain out
before its upstreams stop and back in after they start; in the other, nobody tells the system.
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
    """Hold the figures of one phase; times in milliseconds."""

    handled: bool
    phase: str
    kind: str
    calls: int
    success: float
    p50_ms: float
    p99_ms: float
    reasons: dict[str, int]


class DomainUpstreams:
    """Stop and start the stand-ins of the failure domain."""

    def __init__(self, h: Harness, deployment: Deployment) -> None:
        self._h = h
        self._deployment = deployment
        self._children: list[Child] = []
        self._starts = 0
        self._members = [
            one
            for one in deployment.answers.instances
            if one.domain == OUT_DOMAIN and one.service != demo.NO_SERVICE
        ]

    def adopt(self) -> None:
        """Take over the stand-ins that the demo started."""
        names = {f"{one.name}-upstream" for one in self._members}
        self._children = [child for child in self._h.children if child.name in names]

    def stop(self) -> None:
        """Kill the upstreams, as a power cut of the domain does."""
        for child in self._children:
            self._h.kill(child)

    def start(self) -> None:
        """Start them again; each process is a new, cold upstream."""
        self._starts += 1
        self._children = []
        for one in self._members:
            place = self._deployment.daemons[one.name].endpoints["announce"]
            name = f"{one.name}-upstream-{self._starts}"
            args = ["-m", "tests.stand_in", "--service", one.service, "--slots", str(one.slots)]
            args += ["--announce", str(place), "--behaviour", f"delay_ms={SERVICE_MS}"]
            self._children.append(self._h.start(name, args))


async def slow_down(deployment: Deployment) -> None:
    """Give every stand-in a service time."""
    for upstream in await demo.find_upstreams(deployment):
        connection = traffic.CallerConnection(upstream.address)
        path = f"/stand-in/behaviour?delay_ms={SERVICE_MS}"
        await connection.send(traffic.Call("control", "stand-in", "POST", path), "")
        await connection.aclose()


async def one_run(
    h: Harness, deployment: Deployment, handled: bool, seconds: float, rate_per_s: float
) -> list[Row]:
    """Drive the phases of one run and return their rows."""
    await demo.apply_answers(deployment)
    await demo.wait_for_bookings(deployment)
    await slow_down(deployment)
    upstreams = DomainUpstreams(h, deployment)
    upstreams.adopt()
    rng = random.Random(demo.SEED)
    calls = demo.mixed_calls(rng)
    samples: list[Sample] = []

    async def phase(name: str, seconds: float) -> None:
        samples.extend(
            await traffic.drive(
                deployment.entries, calls, name, seconds=seconds, rate_per_s=rate_per_s, rng=rng
            )
        )

    async def out() -> None:
        await trio.sleep(0.5)
        if handled:
            await demo.change(deployment, f"/v1/domains/{OUT_DOMAIN}/out", allow_last=False)
            await trio.sleep(OUT_BOUND_S)
        await trio.to_thread.run_sync(upstreams.stop)

    async def back() -> None:
        await trio.sleep(0.5)
        await trio.to_thread.run_sync(upstreams.start)
        if handled:
            await trio.sleep(OUT_BOUND_S)
            await demo.change(deployment, f"/v1/domains/{OUT_DOMAIN}/in")

    await phase("all domains in", seconds)
    for name, act in (("domain leaves", out), ("domain returns", back)):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(act)
            await phase(name, seconds + OUT_BOUND_S)
        if name == "domain leaves":
            await phase("domain away", seconds)
    return rows(handled, samples)


def rows(handled: bool, samples: Sequence[Sample]) -> list[Row]:
    """Return one row for each phase and kind of call."""
    found = []
    for phase in dict.fromkeys(sample.phase for sample in samples):
        for kind in ("lookup", "booking", "upload"):
            chosen = [s for s in samples if s.phase == phase and s.call.kind == kind]
            good = [s.took_ms for s in chosen if s.ok]
            reasons: dict[str, int] = {}
            for sample in chosen:
                if not sample.ok:
                    reason = sample.headers.get(traffic.REASON_HEADER, str(sample.status))
                    reasons[reason] = reasons.get(reason, 0) + 1
            found.append(
                Row(
                    handled=handled,
                    phase=phase,
                    kind=kind,
                    calls=len(chosen),
                    success=len(good) / max(1, len(chosen)),
                    p50_ms=traffic.percentile(good, 0.5),
                    p99_ms=traffic.percentile(good, 0.99),
                    reasons=reasons,
                )
            )
    return found


def table(found: Sequence[Row]) -> str:
    """Return a Markdown table."""
    lines = [
        "| taken out by operator | phase | kind | calls | success | p50 ms | p99 ms | refusals |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for row in found:
        reasons = " ".join(f"{name}={n}" for name, n in sorted(row.reasons.items())) or "-"
        lines.append(
            f"| {'yes' if row.handled else 'no'} | {row.phase} | {row.kind} | {row.calls} | "
            f"{100 * row.success:.2f}% | {row.p50_ms:.1f} | {row.p99_ms:.1f} | {reasons} |"
        )
    return "\n".join(lines)


def main() -> None:
    """Run both runs and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6.0, help="length of each phase")
    parser.add_argument("--rate", type=float, default=60.0, help="calls per second")
    parser.add_argument("--json", default="")
    args = parser.parse_args()
    found: list[Row] = []
    for handled in (True, False):
        with Harness() as h:
            deployment = demo.start(h)
            found += trio.run(one_run, h, deployment, handled, args.seconds, args.rate)
            print(f"run with domain handling={handled} done", file=sys.stderr)
    print(table(found))
    if args.json:
        text = json.dumps([dataclasses.asdict(row) for row in found], indent=1) + "\n"
        Path(args.json).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
