"""Measure control traffic, failure detection and forwarded calls, with all nodes in one process."""

from __future__ import annotations

import argparse
import dataclasses
import json
import random
import time
from collections.abc import Callable, Sequence
from typing import Any

import trio
import trio.testing
from msgspec import structs

from knapweedhitch.codec import Message
from knapweedhitch.counters import Counters
from knapweedhitch.deadline import Deadline
from knapweedhitch.exchange import BodySource, CallSpec, Headers
from knapweedhitch.forward import Forward
from knapweedhitch.kernel import Kernel
from knapweedhitch.loadreports import LoadReports
from knapweedhitch.membership import Membership
from knapweedhitch.messages import Ack, FeedPoll
from knapweedhitch.model import (
    Address,
    CallResult,
    LoadSample,
    MemberState,
    UpstreamRecord,
    UpstreamState,
    Warmth,
)
from knapweedhitch.peers import Peers
from knapweedhitch.settings import (
    Listener,
    ListenSettings,
    MembershipSettings,
    RoutingSettings,
    Settings,
    parse_settings,
    replace,
)
from knapweedhitch.timers import Timers

SIZES = (10, 40, 100)
LINKS_PER_NODE = 4
SETTLE_S = 3.0
WINDOW_S = 12.0
LIMIT_S = 20.0
CALLS = 4_000
WARM_UP_CALLS = 300
SECRET = b"measure-measure-"
REPORT_NODES = 100
REPORT_USERS = 10
REPORT_S = 20.0


def make_settings(index: int, seeds: Sequence[Address]) -> Settings:
    """Return the settings of a node on loopback with the given seeds."""
    text = (
        f"node: {{id: n{index}, domain: d{index % 5}}}\n"
        "secrets: {peer_secret_file: /unused, operator_token_file: /unused}\n"
        "control: {members: [{id: n0, host: 127.0.0.1, port: 1}], data_dir: /unused}\n"
    )
    listeners = tuple(Listener(seed.host, seed.port) for seed in seeds)
    return replace(
        parse_settings(text),
        listen=ListenSettings(peers=Listener("127.0.0.1", 0)),
        membership=MembershipSettings(seeds=listeners),
    )


async def reply_ack(node_id: str, msg: Message) -> Message:
    """Reply to any call."""
    return Ack()


class Node:
    """Run one node with real sockets."""

    def __init__(self, index: int, seeds: Sequence[Address], seed: int) -> None:
        self.node_id = f"n{index}"
        self.kernel = Kernel(make_settings(index, seeds))
        self.counters = Counters()
        rng = random.Random(seed * 1_000 + index)
        self.kernel.add("counters", self.counters)
        self.kernel.add("timers", Timers(self.kernel, rng))
        self.peers = Peers(self.kernel, None, SECRET)
        self.kernel.add("peers", self.peers)
        self.members = Membership(self.kernel, rng)
        self.kernel.add("membership", self.members)
        self.peers.handle(FeedPoll, reply_ack)
        self.scope = trio.CancelScope()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until the scope is cancelled, which stops the node without a shutdown."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                await self.kernel.start(nursery)
                task_status.started()
                await trio.sleep_forever()

    def bytes_out(self) -> int:
        """Return the number of control bytes sent over links and in datagrams."""
        counters = self.counters.snapshot().counters
        gossip = sum(n for (name, _), n in counters.items() if name == "gossip_bytes_out")
        return gossip + counters.get(("peer_bytes_out", "control"), 0)


async def wait_until(fn: Callable[[], bool]) -> float:
    """Return the seconds until fn is true, or -1 after LIMIT_S."""
    started = trio.current_time()
    while not fn():
        if trio.current_time() - started > LIMIT_S:
            return -1.0
        await trio.sleep(0.005)
    return trio.current_time() - started


@dataclasses.dataclass
class SizeResult:
    """Describe the results of one cluster size."""

    nodes: int
    join_s: float
    bytes_per_s: float
    cpu_ms_per_s: float
    leave_known_s: float
    detected_s: float
    known_everywhere_s: float


async def measure_size(count: int, seed: int) -> SizeResult:
    """Run and measure a cluster of one size."""
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        nodes: list[Node] = []
        for index in range(count):
            seeds = [node.peers.address for node in nodes[:3]]
            nodes.append(Node(index, seeds, seed))
            await nursery.start(nodes[-1].run)
        join_s = await wait_until(lambda: all(len(n.members.members()) == count for n in nodes))
        for index, node in enumerate(nodes):
            others = [other.node_id for other in nodes if other is not node]
            for peer_id in rng.sample(others, LINKS_PER_NODE):
                await node.peers.call(peer_id, FeedPoll(index, False), 2_000)
        await trio.sleep(SETTLE_S)
        sent = sum(node.bytes_out() for node in nodes)
        cpu_s = time.process_time()
        started = trio.current_time()
        await trio.sleep(WINDOW_S)
        window_s = trio.current_time() - started
        cpu_s = time.process_time() - cpu_s
        sent = sum(node.bytes_out() for node in nodes) - sent
        leave_s = await measure_leave(nodes)
        detected_s, everywhere_s = await measure_crash(nodes)
        nursery.cancel_scope.cancel()
    return SizeResult(
        count,
        join_s,
        sent / window_s / count,
        cpu_s * 1_000 / window_s / count,
        leave_s,
        detected_s,
        everywhere_s,
    )


async def measure_leave(nodes: list[Node]) -> float:
    """Return the seconds until every node knows that an upstream is leaving."""
    leaver = nodes[-1].members
    record = UpstreamRecord("s", Address("127.0.0.1", 1), 9, 220, "i", 1)
    leaver.announce_local(record)
    await wait_until(lambda: all(n.members.targets("s") for n in nodes))
    leaver.announce_local(structs.replace(record, state=UpstreamState.LEAVING))
    return await wait_until(lambda: all(n.members.targets("s")[0].draining for n in nodes))


async def measure_crash(nodes: list[Node]) -> tuple[float, float]:
    """Return the seconds until the first node and until all nodes know that a node is dead."""
    victim = nodes.pop(1)
    victim.scope.cancel()

    def knows_death(node: Node) -> bool:
        member = node.members.table.get(victim.node_id)
        return member is not None and member.state is MemberState.DEAD

    first_s = await wait_until(lambda: any(map(knows_death, nodes)))
    rest_s = await wait_until(lambda: all(map(knows_death, nodes)))
    return first_s, first_s + rest_s


class ImmediateGate:
    """Respond at once, so that only the forwarding of a call is measured."""

    async def execute(
        self, node_id: str, spec: CallSpec, body: BodySource, sink: Any
    ) -> CallResult:
        """Respond with 500 bytes."""
        sink.mark_dispatched()
        await sink.head(200, ((b"content-type", b"text/plain"),), None)
        await sink.data(b"x" * 500)
        await sink.end()
        return CallResult(True, 0.0, 200)

    def load(self) -> LoadSample:
        """Return a fixed load sample."""
        return LoadSample(1, 0, 9, 2.0, Warmth.WARM)

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""


class NullSink:
    """Discard a response."""

    async def informational(self, status: int, headers: Headers) -> None:
        """Discard a 1xx response."""

    async def head(self, status: int, headers: Headers, load: LoadSample | None) -> None:
        """Discard a response head."""

    async def data(self, data: bytes) -> None:
        """Discard a part of a body."""

    async def end(self) -> None:
        """Ignore the end of a response."""


class NoBody:
    """Provide an empty request body."""

    async def receive(self) -> bytes | None:
        """Return the end of the body."""
        return None


async def measure_forward(seed: int) -> dict[str, float]:
    """Return the latency and CPU time of a forwarded call, with both nodes in this process."""
    async with trio.open_nursery() as nursery:
        nodes: list[Node] = []
        for index in range(2):
            node = Node(index, [n.peers.address for n in nodes], seed)
            gate = ImmediateGate()
            node.kernel.add("gate", gate)
            node.kernel.add("admission", gate)
            node.kernel.add("forward", Forward(node.kernel))
            await nursery.start(node.run)
            nodes.append(node)
        await wait_until(lambda: all(len(n.members.members()) == 2 for n in nodes))
        forward = nodes[0].kernel.get("forward")
        headers = tuple((b"x-header-%d" % i, b"value" * 4) for i in range(8))
        times = []
        cpu_s = 0.0
        for i in range(WARM_UP_CALLS + CALLS):
            if i == WARM_UP_CALLS:
                cpu_s = time.process_time()
            deadline = Deadline.after_ms(5_000)
            spec = CallSpec("r", "s", "i", "GET", b"/x", headers, False, deadline, 1, 1, 1)
            started = time.perf_counter()
            await forward.execute("n1", spec, NoBody(), NullSink())
            times.append((time.perf_counter() - started) * 1_000)
        cpu_s = time.process_time() - cpu_s
        nursery.cancel_scope.cancel()
    times = sorted(times[WARM_UP_CALLS:])
    return {
        "p50_ms": times[CALLS // 2],
        "p99_ms": times[CALLS * 99 // 100],
        "cpu_us_per_call": cpu_s * 1e6 / CALLS,
    }


class ReportFakes:
    """Replace the peers, admission and membership services of one target."""

    class own_member:  # noqa: N801
        """Represent the member record of the target."""

        upstream = UpstreamRecord("s", Address("127.0.0.1", 1), 9, 220, "instance-1", 1)
        started_wall_ms = 1

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)

    def handle(self, msg_type: object, fn: object) -> None:
        """Ignore a handler."""

    def send(self, node_id: str, msg: Message) -> None:
        """Discard a message."""

    def load(self) -> LoadSample:
        """Return a load sample that changes with every call."""
        in_flight = self._rng.randrange(10)
        return LoadSample(in_flight, self._rng.randrange(3), 9, 2.0 + in_flight, Warmth.WARM)


async def measure_reports(users: int, budget: int, seed: int) -> float:
    """Return the bytes per second of load reports from one target to its users, on a mock clock."""
    routing = RoutingSettings(measure_budget_bytes_per_s=budget)
    kernel = Kernel(replace(make_settings(0, ()), routing=routing))
    fakes = ReportFakes(seed)
    counters = Counters()
    timers = Timers(kernel, random.Random(seed))
    kernel.add("counters", counters)
    kernel.add("timers", timers)
    for name in ("peers", "admission", "membership"):
        kernel.add(name, fakes)
    reports = LoadReports(kernel)
    async with trio.open_nursery() as nursery:
        kernel._nursery = nursery
        await timers.start()
        await reports.start()
        for _ in range(int(REPORT_S)):
            for i in range(users):
                reports.record_interest(f"n{i}")
            await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    return counters.get("load_report_bytes") / REPORT_S


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float, float]:
    """Return the slope, intercept and maximum residual of a least-squares line."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope /= sum((x - mean_x) ** 2 for x, _ in points)
    intercept = mean_y - slope * mean_x
    return slope, intercept, max(abs(y - intercept - slope * x) for x, y in points)


def run(seed: int) -> dict[str, Any]:
    """Run all measurements."""
    sizes = [trio.run(measure_size, count, seed) for count in SIZES]
    bytes_fit = fit_line([(s.nodes, s.bytes_per_s) for s in sizes])
    cpu_fit = fit_line([(s.nodes, s.cpu_ms_per_s) for s in sizes])
    reports = {}
    for name, users, budget in (
        ("interest scope", REPORT_USERS, 1_000_000),
        ("push to all", REPORT_NODES - 1, 1_000_000),
        ("interest scope, budget 512 B/s", REPORT_USERS, 512),
        ("push to all, budget 512 B/s", REPORT_NODES - 1, 512),
    ):
        clock = trio.testing.MockClock(autojump_threshold=0)
        reports[name] = trio.run(measure_reports, users, budget, seed, clock=clock)
    return {
        "seed": seed,
        "sizes": [dataclasses.asdict(size) for size in sizes],
        "bytes_fit": bytes_fit,
        "cpu_fit": cpu_fit,
        "forward": trio.run(measure_forward, seed),
        "reports_bytes_per_s": reports,
    }


def render(results: dict[str, Any]) -> str:
    """Render the results as Markdown."""
    lines = [
        f"All nodes run in one process over loopback; seed {results['seed']}, "
        f"{LINKS_PER_NODE} dialled links for each node, window {WINDOW_S:.0f} s.",
        "",
        "| nodes | join s | control B/s out per node | CPU ms/s per node | leave known s "
        "| death found s | death known everywhere s |",
        "|---|---|---|---|---|---|---|",
    ]
    for s in results["sizes"]:
        lines.append(
            f"| {s['nodes']} | {s['join_s']:.2f} | {s['bytes_per_s']:.0f} "
            f"| {s['cpu_ms_per_s']:.2f} | {s['leave_known_s']:.2f} | {s['detected_s']:.2f} "
            f"| {s['known_everywhere_s']:.2f} |"
        )
    for name, key, unit in (("control", "bytes_fit", "B/s"), ("CPU", "cpu_fit", "ms/s")):
        slope, intercept, residual = results[key]
        lines.append("")
        lines.append(
            f"{name}: slope {slope:.3f} {unit} per added node, {intercept:.2f} {unit} at zero, "
            f"greatest residual {residual:.2f} {unit}."
        )
    forward = results["forward"]
    lines += [
        "",
        f"Forwarded GET, {CALLS} calls one after the other: p50 {forward['p50_ms']:.3f} ms, "
        f"p99 {forward['p99_ms']:.3f} ms, CPU of both nodes "
        f"{forward['cpu_us_per_call']:.0f} us per call.",
        "",
        f"| load reports of one target, {REPORT_USERS} users of {REPORT_NODES} nodes | B/s |",
        "|---|---|",
    ]
    lines += [f"| {name} | {n:.0f} |" for name, n in results["reports_bytes_per_s"].items()]
    return "\n".join(lines)


def main() -> None:
    """Measure, print a Markdown table and optionally write JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", help="write the figures to this file")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    results = run(args.seed)
    print(render(results))
    if args.json:
        with open(args.json, "w", encoding="utf-8") as file:
            json.dump(results, file, indent=2)


if __name__ == "__main__":
    main()
