"""Measure the memory, bytes and CPU time from which docs/CAPACITY.md is derived.

All measurements run in one process on the real modules, with generated addresses and names.
"""

from __future__ import annotations

import argparse
import dataclasses
import gc
import json
import math
import random
import time
import tracemalloc
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import trio
from msgspec import structs

from knapweedhitch import changes, configuration, messages
from knapweedhitch.changes import Change, PutAllServices, StampedChange
from knapweedhitch.claimstore import ClaimStore
from knapweedhitch.codec import encode
from knapweedhitch.counters import Counters
from knapweedhitch.idempotency import generate_uuid7
from knapweedhitch.kernel import Kernel
from knapweedhitch.members import MemberTable
from knapweedhitch.model import (
    Address,
    ClaimGroup,
    Configuration,
    LoadSample,
    Member,
    ServiceConfig,
    Target,
    UpstreamRecord,
    Warmth,
)
from knapweedhitch.pick import Picker
from knapweedhitch.settings import ClaimSettings
from knapweedhitch.timers import Timers
from scripts.measure_peers import Node, fit_line, make_settings, wait_until

MEMBER_SIZES = (1_000, 5_000, 15_000)
SERVICE_SIZES = (100, 700, 2_200)
CLAIM_SIZES = (2_000, 10_000, 50_000)
TARGET_SIZES = (3, 7, 15)
LINK_SIZES = (10, 40, 100)
CHURN_SIZES = (10, 25, 50, 100)
DOMAINS = 5
SERVICES = 2_200
PICKS = 5_000
CALLS = 3_000
SETTLE_S = 20.0
QUIET_S = 10.0
CHURN_S = 10.0
CHANGES_PER_S = 4.0
KEY_TIME_MS = 100_000.0
RESPONSE_BYTES = 512


@dataclasses.dataclass(frozen=True)
class Line:
    """Describe a fitted line y = base + slope * x, with its points and maximum residual."""

    name: str
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]
    slope: float
    base: float
    residual: float


def make_line(name: str, unit: str, per: str, points: Sequence[tuple[float, float]]) -> Line:
    """Fit a least-squares line through the points."""
    slope, base, residual = fit_line(points)
    return Line(name, unit, per, tuple(points), slope, base, residual)


def measure_memory(build: Callable[[], object]) -> tuple[object, float]:
    """Return the object that build creates and its memory in bytes."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    created = build()
    gc.collect()
    used_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return created, float(used_bytes)


def make_member(i: int) -> Member:
    """Return the member record of a generated node with its upstream."""
    upstream = UpstreamRecord(
        service=f"service-{i % SERVICES}",
        address=Address(f"10.{i >> 16 & 255}.{i >> 8 & 255}.{i & 255}", 8_080),
        slots=9,
        connections=220,
        instance_id=f"service-{i % SERVICES}-{i}",
        incarnation=1_764_826_530_000 + i,
    )
    peer_address = Address(upstream.address.host, 7_001)
    return Member(
        f"node-{i}", peer_address, "r1", f"d{i % DOMAINS}", 1, upstream=upstream, started_wall_ms=1
    )


def measure_members() -> list[Line]:
    """Measure the member table: memory, time per change and bytes per record."""
    memory, change_us = [], []
    for size in MEMBER_SIZES:

        def build(size: int = size) -> MemberTable:
            table = MemberTable(lambda: 0.0, lambda event: None)
            for i in range(size):
                table.put(make_member(i))
            return table

        table, used_bytes = measure_memory(build)
        assert isinstance(table, MemberTable)
        memory.append((float(size), used_bytes))
        started = time.process_time()
        for i in range(1_000):
            table.put(structs.replace(make_member(i), incarnation=2))
        change_us.append((float(size), (time.process_time() - started) * 1e3))
    records = messages.SyncMembers(tuple(make_member(i) for i in range(1_000)))
    per_record = [(float(n), float(len(encode(messages.SyncMembers(records.members[:n])))))
                  for n in (10, 100, 1_000)]  # fmt: skip
    return [
        make_line("member table, memory", "bytes", "member", memory),
        make_line("change of a member", "us", "member in the table", change_us),
        make_line("encoded member record", "bytes", "record", per_record),
    ]


def make_services(n: int) -> tuple[ServiceConfig, ...]:
    """Return generated services."""
    return tuple(ServiceConfig(f"service-{i}", (f"service-{i}.example",)) for i in range(n))


def measure_configuration() -> list[Line]:
    """Measure memory, encoded state and apply time for increasing numbers of services."""
    memory, state, apply_ms, load_ms = [], [], [], []
    for size in SERVICE_SIZES:
        group = {
            f"service-{i}": (ClaimGroup(f"service-{i}", 1, 0, ("node-1", "node-2", "node-3")),)
            for i in range(size)
        }

        def build(size: int = size, group: Any = group) -> Configuration:
            created = {svc.name: svc for svc in make_services(size)}
            return Configuration(1, created, claim_groups=dict(group))

        cfg, used_bytes = measure_memory(build)
        assert isinstance(cfg, Configuration)
        memory.append((float(size), used_bytes))
        data = configuration.to_state(cfg)
        state.append((float(size), float(len(data))))
        stamped = StampedChange(Change("c", None, "op", changes.DomainOut("d1")), 0, {})
        started = time.process_time()
        for _ in range(50):
            configuration.apply_accepted(cfg, stamped)
        apply_ms.append((float(size), (time.process_time() - started) * 20))
        started = time.process_time()
        configuration.from_state(data)
        load_ms.append((float(size), (time.process_time() - started) * 1_000))
    change = Change("c", 0, "op", PutAllServices(make_services(100)))
    per_service_bytes = len(changes.encode_change(change)) / 100
    return [
        make_line("configuration, memory", "bytes", "service", memory),
        make_line("whole state, compressed", "bytes", "service", state),
        make_line("apply a domain change", "ms", "service", apply_ms),
        make_line("load a whole state", "ms", "service", load_ms),
        make_line(
            "encoded services",
            "bytes",
            "service",
            [(0, 0), (50, per_service_bytes * 50), (100, per_service_bytes * 100)],
        ),
    ]


def measure_claims(rng: random.Random) -> list[Line]:
    """Measure memory and time of claims at one holder, each with a recorded response."""
    memory, claim_us = [], []
    group = {"s": (ClaimGroup("s", 1, 0, ("n0", "n1", "n2")),)}
    cfg = ClaimSettings(max_claims=100_000)
    for size in CLAIM_SIZES:
        spent = 0.0

        def build(size: int = size) -> ClaimStore:
            nonlocal spent
            now = [0.0]
            store = ClaimStore(cfg, "n0", lambda: now[0], lambda: int(now[0]), lambda: group)
            # A holder votes only for keys created some time after its start.
            now[0] = KEY_TIME_MS
            keys = [generate_uuid7(int(KEY_TIME_MS), rng) for _ in range(size)]
            started = time.process_time()
            for i, key in enumerate(keys):
                claim_id = f"claim-{i}"
                request = messages.ClaimRequest(
                    "s", key, 1, rng.randbytes(32), claim_id, 5_000.0, 3_600
                )
                store.claim(request)
                body = rng.randbytes(RESPONSE_BYTES)
                done = messages.ClaimComplete("s", key, claim_id, True, 200, (), body)
                store.complete(done)
            spent = time.process_time() - started
            return store

        store, used_bytes = measure_memory(build)
        assert isinstance(store, ClaimStore)
        if len(store) != size:
            raise RuntimeError(f"{len(store)} of {size} claims were granted")
        memory.append((float(size), used_bytes))
        # Timings under tracemalloc are not representative, so the time is taken without it.
        build()
        claim_us.append((float(size), spent * 1e6 / size))
    return [
        make_line("claims at a holder, memory", "bytes", "claim", memory),
        make_line("claim and completion at a holder", "us", "claim held", claim_us),
    ]


async def measure_pick(rng: random.Random) -> list[Line]:
    """Measure the time of picking a target, including the bookkeeping."""
    points = []
    for size in TARGET_SIZES:
        kernel = Kernel(make_settings(0, ()))
        kernel.add("counters", Counters())
        kernel.add("timers", Timers(kernel, rng))
        kernel.add("config", FreshConfig())
        picker = Picker(kernel, rng)
        targets = tuple(_make_target(i) for i in range(size))
        svc = ServiceConfig("service-0", ("a.example",))
        load = LoadSample(1, 0, 9, 5.0, Warmth.WARM)
        started = time.process_time()
        for _ in range(PICKS):
            chosen = picker.pick(svc, targets, frozenset(), "d0", "node-0").target
            assert chosen is not None
            picker.record_start(chosen.upstream.instance_id)
            picker.observe(chosen.upstream.instance_id, load)
        points.append((float(size), (time.process_time() - started) * 1e6 / PICKS))
    return [make_line("pick of a target", "us", "target of the service", points)]


class FreshConfig:
    """Replace the configuration service by a fresh, empty configuration."""

    current = Configuration()

    def may_serve(self) -> bool:
        return self.is_fresh()

    def is_fresh(self) -> bool:
        """Return true."""
        return True


def _make_target(i: int) -> Target:
    record = make_member(i * SERVICES)
    assert record.upstream is not None
    return Target(record.node_id, record.domain, record.upstream)


async def measure_links(seed: int) -> list[Line]:
    """Measure the memory and dial time of a link at one end, and the cost of a call over it."""
    memory, dial_us = [], []
    for size in LINK_SIZES:
        async with trio.open_nursery() as nursery:
            hub = Node(0, [], seed)
            await nursery.start(hub.run)
            spokes = [Node(i + 1, [hub.peers.address], seed) for i in range(size)]
            for spoke in spokes:
                await nursery.start(spoke.run)
            await wait_until(lambda s=spokes: all(len(n.members.members()) > len(s) for n in s))
            await trio.sleep(1.0)
            first_half = spokes[: size // 2]
            started = time.process_time()
            for spoke in first_half:
                await spoke.peers.call("n0", messages.FeedPoll(0, False), 2_000)
            dial_us.append((float(len(first_half)), (time.process_time() - started) * 1e6 / 2))
            gc.collect()
            tracemalloc.start()
            before = tracemalloc.get_traced_memory()[0]
            for spoke in spokes[size // 2 :]:
                await spoke.peers.call("n0", messages.FeedPoll(0, False), 2_000)
            await trio.sleep(0.5)
            gc.collect()
            used_bytes = tracemalloc.get_traced_memory()[0] - before
            tracemalloc.stop()
            memory.append((float(size - len(first_half)), used_bytes / 2))
            nursery.cancel_scope.cancel()
    calls = await _measure_calls(seed)
    return [
        make_line("open link, memory at one end", "bytes", "link", memory),
        make_line(
            "dial with handshake and one call, processor time at one end", "us", "link", dial_us
        ),
        *calls,
    ]


async def _measure_calls(seed: int) -> list[Line]:
    cpu, sent = [], []
    async with trio.open_nursery() as nursery:
        nodes = []
        for i in range(2):
            nodes.append(Node(i, [n.peers.address for n in nodes], seed))
            await nursery.start(nodes[-1].run)
        await wait_until(lambda: all(len(n.members.members()) == 2 for n in nodes))
        for n_calls in (CALLS // 4, CALLS // 2, CALLS):
            bytes_before = sum(n.bytes_out() for n in nodes)
            started = time.process_time()
            for i in range(n_calls):
                await nodes[0].peers.call("n1", messages.FeedPoll(i, False), 2_000)
            cpu.append((float(n_calls), (time.process_time() - started) * 1e6 / 2))
            sent.append((float(n_calls), float(sum(n.bytes_out() for n in nodes) - bytes_before)))
        nursery.cancel_scope.cancel()
    return [
        make_line("call over a link, processor time at one end", "us", "call", cpu),
        make_line("call over a link, bytes of both ways", "bytes", "call", sent),
    ]


async def measure_churn(seed: int) -> list[Line]:
    """Measure membership bytes per node without changes, and added by each member change."""
    quiet, churn, cpu = [], [], []
    for size in CHURN_SIZES:
        rng = random.Random(seed)
        async with trio.open_nursery() as nursery:
            nodes: list[Node] = []
            for i in range(size):
                nodes.append(Node(i, [n.peers.address for n in nodes[:3]], seed))
                await nursery.start(nodes[-1].run)
            await wait_until(lambda n=nodes, s=size: all(len(x.members.members()) == s for x in n))
            await trio.sleep(SETTLE_S)
            base, used_s = await _measure_rates(nodes, QUIET_S)
            quiet.append((float(size), base))
            cpu.append((float(size), used_s * 1_000))
            scope = trio.CancelScope()
            nursery.start_soon(_make_changes, nodes, rng, scope)
            loaded, _ = await _measure_rates(nodes, CHURN_S)
            scope.cancel()
            churn.append((math.log(size), (loaded - base) / CHANGES_PER_S))
            nursery.cancel_scope.cancel()
    return [
        make_line("membership in quiet, bytes out a second", "bytes/s", "node", quiet),
        make_line("membership in quiet, processor time a second", "ms/s", "node", cpu),
        make_line("one change of a member, bytes out at each node", "bytes", "ln(nodes)", churn),
    ]


async def _measure_rates(nodes: Sequence[Node], seconds: float) -> tuple[float, float]:
    """Return the bytes sent and CPU seconds, per node and second."""
    sent, cpu = sum(n.bytes_out() for n in nodes), time.process_time()
    started = trio.current_time()
    await trio.sleep(seconds)
    node_s = (trio.current_time() - started) * len(nodes)
    return (sum(n.bytes_out() for n in nodes) - sent) / node_s, (time.process_time() - cpu) / node_s


async def _make_changes(nodes: Sequence[Node], rng: random.Random, scope: trio.CancelScope) -> None:
    draining = False
    with scope:
        while True:
            draining = not draining
            rng.choice(nodes).members.set_draining(draining)
            await trio.sleep(1.0 / CHANGES_PER_S)


def render_table(lines: Sequence[Line]) -> str:
    """Render the lines as a Markdown table."""
    rows = [
        "| what | unit | sizes | measured | slope | at zero | greatest residual |",
        "|---|---|---|---|---:|---:|---:|",
    ]
    for row in lines:
        sizes = ", ".join(f"{x:,.5g}" for x, _ in row.points)
        values = ", ".join(f"{y:,.4g}" for _, y in row.points)
        rows.append(
            f"| {row.name} | {row.unit} per {row.per} | {sizes} | {values} | {row.slope:,.4g} | "
            f"{row.base:,.4g} | {row.residual:,.3g} |"
        )
    return "\n".join(rows)


async def run(seed: int) -> list[Line]:
    """Run the measurements that need sockets or the trio clock."""
    return [
        *await measure_pick(random.Random(seed)),
        *await measure_links(seed),
        *await measure_churn(seed),
    ]


def main() -> None:
    """Measure, print a Markdown table and optionally write JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", default="")
    args = parser.parse_args()
    rng = random.Random(args.seed)
    lines = [*measure_members(), *measure_configuration(), *measure_claims(rng)]
    lines += trio.run(run, args.seed)
    print(f"One process, seed {args.seed}.\n\n{render_table(lines)}")
    if args.json:
        rows = [dataclasses.asdict(row) for row in lines]
        Path(args.json).write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
