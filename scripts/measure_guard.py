"""Measure the processor time that the guard against crashing requests adds to a call.

Run `python -m scripts.measure_guard --seed 1`. Each call passes the check of its entry node and the
guard of its target's node; the exchange with the upstream is empty.
"""

from __future__ import annotations

import argparse
import random
import statistics
import time
from types import SimpleNamespace
from typing import Any

import trio

from knapweedhitch.counters import Counters
from knapweedhitch.crashguard import CrashGuard, GuardKey, Unguarded
from knapweedhitch.deadline import Deadline
from knapweedhitch.exchange import CallSpec
from knapweedhitch.identity import Identifier
from knapweedhitch.kernel import Kernel
from knapweedhitch.model import Address, CallResult, UpstreamEnd, UpstreamRecord
from knapweedhitch.payload import BufferedBody, NoBody
from knapweedhitch.settings import Settings, parse_settings
from knapweedhitch.suspectsharing import SuspectSharing
from knapweedhitch.timers import Timers

RECORD = UpstreamRecord("s", Address("127.0.0.1", 1), 9, 9, "i", 1)
RESULT = CallResult(True, 1.0, 200)
NS_PER_US = 1_000
ROUNDS = 7


class EmptyPool:
    """Read the body and respond at once."""

    async def exchange(self, address: Any, spec: Any, body: Any, sink: Any, load: Any) -> Any:
        """Return a result."""
        while spec.has_body and await body.receive() is not None:
            pass
        return RESULT


def make_settings() -> Settings:
    """Return the settings of a node without peers."""
    return parse_settings(
        "node: {id: n0, domain: d}\nsecrets: {peer_secret_file: /x, operator_token_file: /x}\n"
        "control: {members: [{id: n0, host: 127.0.0.1, port: 7000}], data_dir: /x}\n"
    )


def make_guard(with_evidence: bool) -> CrashGuard:
    """Return a guard, which knows many ends and cleared requests if asked to."""
    kernel = Kernel(make_settings())
    peers = SimpleNamespace(linked_peers=lambda: [], secret=b"secret")
    services = {"counters": Counters(), "timers": Timers(kernel), "peers": peers}
    for name, part in {**services, "membership": SimpleNamespace(members=dict)}.items():
        kernel.add(name, part)
    kernel.add("suspects", SuspectSharing(kernel))
    guard = CrashGuard(kernel)
    guard._pool = EmptyPool()
    guard.identifier = Identifier(b"secret", kernel.cfg.suspects.identified_body_bytes)
    if with_evidence:
        now = Timers.now_ms()
        for n in range(kernel.cfg.suspects.max_ends_held):
            requests = tuple(n.to_bytes(8, "big") + bytes([k]) * 8 for k in range(6))
            guard.table.add_end(UpstreamEnd("s", f"i{n}", 1, requests), now + n)
    return guard


async def run_calls(guard: CrashGuard | Unguarded, targets: list[bytes], body: bytes) -> float:
    """Return the processor time of a call in microseconds."""
    deadline = Deadline.after_ms(60_000.0)
    specs = [
        CallSpec("r", "s", "i", "GET", target, (), bool(body), deadline, 1, 0, 1, route="r")
        for target in targets
    ]
    started_ns = time.process_time_ns()
    for spec in specs:
        guard.refusal_of(GuardKey(spec.service, spec.route, spec.method, spec.target, bool(body)))
        run = await guard.admit(spec, BufferedBody([body]) if body else NoBody())
        await guard.exchange(run, RECORD, spec, run.body, None, lambda: None)  # type: ignore[arg-type]
        guard.release(run)
    return (time.process_time_ns() - started_ns) / NS_PER_US / len(specs)


async def measure(calls: int, seed: int) -> None:
    """Print the time that the guard adds, the median of rounds that alternate."""
    rng = random.Random(seed)
    targets = [b"/templates/%x?page=%d" % (rng.getrandbits(24), n) for n in range(calls)]
    plain = Unguarded(EmptyPool())
    empty, full = make_guard(False), make_guard(True)
    for name, body in (("no body", b""), ("body of 16 KiB", bytes(16_384))):
        added: dict[str, list[float]] = {"no evidence": [], "full of evidence": []}
        for _ in range(ROUNDS):
            base_us = await run_calls(plain, targets, body)
            added["no evidence"].append(await run_calls(empty, targets, body) - base_us)
            added["full of evidence"].append(await run_calls(full, targets, body) - base_us)
        for state, times in added.items():
            print(f"{name}, {state}: {statistics.median(times):.1f} us a call")
    ends, _ = empty.table.evidence()
    print(f"held after {calls} targets: {len(ends)} ends, {len(empty._running)} runs")


def main() -> None:
    """Run the measurement of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=20_000)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    trio.run(measure, args.calls, args.seed)


if __name__ == "__main__":
    main()
