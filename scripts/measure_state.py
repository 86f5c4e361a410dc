"""Measure the replicated log and the feed in one process with real fsync calls."""

from __future__ import annotations

import argparse
import json
import os
import platform
import random
import statistics
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import trio
from trio.testing import MockClock

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from knapweedhitch import changes, codec, configuration
from knapweedhitch.changes import Change, DomainIn, DomainOut, Operation, StampedChange
from knapweedhitch.codec import Message
from knapweedhitch.consensus import Replica
from knapweedhitch.control import Control
from knapweedhitch.counters import Counters
from knapweedhitch.disk import FolderDisk
from knapweedhitch.exceptions import ConsensusError, PeerCallFailed, PeerTimeout, PeerUnreachable
from knapweedhitch.feed import Feed
from knapweedhitch.history import ConfigurationMachine
from knapweedhitch.kernel import Kernel
from knapweedhitch.messages import FeedPoll, FeedPush, FeedReply, VersionReport
from knapweedhitch.model import Configuration, ServiceConfig
from knapweedhitch.settings import (
    ControlMember,
    ControlSettings,
    NodeSettings,
    SecretSettings,
    Settings,
)
from knapweedhitch.store import Store
from knapweedhitch.timers import Timers
from tests.state_cluster import Cluster, with_cluster

NAMES = ("c1", "c2", "c3")
LATENCY_MS = 1.5

Row = dict[str, Any]


class LocalTransport:
    """Deliver calls inside the process, with the one-way latency between failure domains."""

    endpoints: dict[str, LocalTransport]

    def __init__(
        self, endpoints: dict[str, LocalTransport], node_id: str, latency_ms: float
    ) -> None:
        self.endpoints, self.node_id, self.latency_s = endpoints, node_id, latency_ms / 1_000.0
        self.handlers: dict[type, Callable[[str, Any], Awaitable[Message | None]]] = {}
        self.n_bytes: dict[str, int] = {}
        self.nursery: trio.Nursery | None = None
        endpoints[node_id] = self

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""

    def handle(self, msg_type: type, fn: Callable[[str, Any], Awaitable[Message | None]]) -> None:
        """Register the handler of a message type."""
        self.handlers[msg_type] = fn

    async def call(self, node_id: str, msg: Message, timeout_ms: float) -> Message:
        """Send a request and return its reply; raises PeerError."""
        self._count(msg)
        with trio.move_on_after(timeout_ms / 1_000.0):
            await trio.sleep(self.latency_s)
            endpoint = self.endpoints.get(node_id)
            if endpoint is None:
                raise PeerUnreachable(node_id)
            try:
                reply = await endpoint.handlers[type(msg)](self.node_id, msg)
            except (KeyError, ConsensusError):
                raise PeerCallFailed(node_id) from None
            await trio.sleep(self.latency_s)
            if reply is not None:
                endpoint._count(reply)
                return reply
        raise PeerTimeout(node_id)

    def send(self, node_id: str, msg: Message) -> None:
        """Deliver a message after the one-way latency."""
        self._count(msg)
        endpoint = self.endpoints.get(node_id)
        if endpoint is not None and endpoint.nursery is not None:
            endpoint.nursery.start_soon(self._deliver, endpoint, msg)

    async def _deliver(self, endpoint: LocalTransport, msg: Message) -> None:
        await trio.sleep(self.latency_s)
        await endpoint.handlers[type(msg)](self.node_id, msg)

    def _count(self, msg: Message) -> None:
        name = type(msg).__name__
        self.n_bytes[name] = self.n_bytes.get(name, 0) + len(codec.encode(msg))


def make_settings(node_id: str, size: int, folder: str, **control: Any) -> Settings:
    """Return settings for one node of the measurement."""
    members = tuple(ControlMember(name, "127.0.0.1", 7_001) for name in NAMES[:size])
    return Settings(
        NodeSettings(node_id, "d1"),
        SecretSettings("unused", "unused"),
        ControlSettings(members, data_dir=str(Path(folder) / node_id), **control),
    )


def encode_change(op: Operation) -> bytes:
    """Return an encoded change, as stored in the log."""
    change = Change(changes.new_change_id(), None, "measure", op)
    return changes.encode_stamped(StampedChange(change, time.time_ns() // 1_000_000, {}))


def nth_change(number: int) -> Operation:
    """Return the number-th change, which alternately takes domain d1 out and in."""
    return DomainIn("d1") if number % 2 else DomainOut("d1")


class Group:
    """Run replicas on real folders."""

    def __init__(self, nursery: trio.Nursery, folder: str, size: int, **control: Any) -> None:
        self.nursery, self.folder, self.size, self.control = nursery, folder, size, control
        self.endpoints: dict[str, LocalTransport] = {}
        self.replicas: dict[str, Replica] = {}
        self.machines: dict[str, ConfigurationMachine] = {}

    async def start(self, *names: str) -> None:
        """Start the named replicas, by default all."""
        for name in names or NAMES[: self.size]:
            cfg = make_settings(name, self.size, self.folder, **self.control)
            endpoint = LocalTransport(self.endpoints, name, LATENCY_MS)
            machine = self.machines[name] = ConfigurationMachine(cfg.control)
            disk = FolderDisk(cfg.control.data_dir or "")
            self.replicas[name] = Replica(cfg, disk, endpoint, machine, Counters())
            await self.replicas[name].start(self.nursery)

    async def stop(self, name: str) -> None:
        """Stop one replica."""
        self.endpoints.pop(name)
        await self.replicas.pop(name).stop()

    async def wait_for_leader(self) -> Replica:
        """Wait for a leader that can accept changes and return it."""
        while True:
            for replica in self.replicas.values():
                if replica.is_leader and replica.freshness_age_ms() is not None:
                    return replica
            await trio.sleep(0.001)

    async def write_changes(self, count: int, writers: int) -> float:
        """Propose changes from concurrent writers and return the elapsed time in ms."""
        leader = await self.wait_for_leader()
        numbers = iter(range(count))
        started_s = trio.current_time()

        async def write() -> None:
            for number in numbers:
                await leader.propose(encode_change(nth_change(number)))

        async with trio.open_nursery() as nursery:
            for _ in range(writers):
                nursery.start_soon(write)
        return (trio.current_time() - started_s) * 1_000.0


async def with_group(size: int, fn: Callable[[Group], Awaitable[None]], **control: Any) -> None:
    """Run a function with a started group in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            group = Group(nursery, folder, size, **control)
            await group.start()
            await group.wait_for_leader()
            await fn(group)
            for name in list(group.replicas):
                await group.stop(name)
            nursery.cancel_scope.cancel()


async def measure_fsync(rows: list[Row]) -> None:
    """Measure an append followed by an fsync."""
    with tempfile.TemporaryDirectory() as folder:
        disk = FolderDisk(folder)
        times_ms = []
        for _ in range(300):
            started_s = time.perf_counter()
            await disk.append("file", bytes(300))
            await disk.sync("file")
            times_ms.append((time.perf_counter() - started_s) * 1_000.0)
        await disk.close()
    rows.append(
        {
            "what": "append of 300 bytes with fsync, p50",
            "value": _percentile(times_ms, 50),
            "unit": "ms",
        }
    )
    rows.append(
        {
            "what": "append of 300 bytes with fsync, p99",
            "value": _percentile(times_ms, 99),
            "unit": "ms",
        }
    )


def _percentile(values: list[float], percent: int) -> float:
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]


async def measure_rate(rows: list[Row]) -> None:
    """Measure accepted changes per second."""
    for size in (1, 3):
        for writers, count in ((1, 300), (64, 3_000)):

            async def run(group: Group, writers: int = writers, count: int = count) -> None:
                elapsed_ms = await group.write_changes(count, writers)
                what = f"changes/s, {group.size} member(s), {writers} writer(s)"
                rows.append({"what": what, "value": count / elapsed_ms * 1_000.0, "unit": "1/s"})

            await with_group(size, run)


async def measure_restart(rows: list[Row]) -> None:
    """Measure the restart of one member and the catch-up of an empty one after changes."""
    for count in (1, 500, 10_000):
        for after, label in ((1_000, "snapshots"), (1_000_000, "no snapshot")):

            async def run(group: Group, count: int = count, label: str = label) -> None:
                await group.write_changes(count, 256)
                await group.stop("c3")
                started_s = trio.current_time()
                await group.start("c3")
                await _wait_for_version(group, "c3", count)
                _add_elapsed_ms(rows, f"restart after {count} changes, {label}", started_s)
                await group.stop("c3")
                folder = Path(group.folder) / "c3"
                for path in folder.iterdir():
                    path.unlink()
                started_s = trio.current_time()
                await group.start("c3")
                await _wait_for_version(group, "c3", count)
                _add_elapsed_ms(
                    rows, f"catch-up of an empty member after {count} changes, {label}", started_s
                )

            await with_group(3, run, snapshot_after_entries=after)


async def _wait_until(condition: Callable[[], bool]) -> None:
    while True:
        if condition():
            return
        await trio.sleep(0.0005)


async def _wait_for_version(group: Group, name: str, version: int) -> None:
    await _wait_until(lambda: group.machines[name].current.version >= version)


def _add_elapsed_ms(rows: list[Row], what: str, started_s: float) -> None:
    elapsed_ms = (trio.current_time() - started_s) * 1_000.0
    rows.append({"what": what, "value": elapsed_ms, "unit": "ms"})


async def measure_election(rows: list[Row]) -> None:
    """Measure the time from leader loss to the next leader's first accepted change."""
    times_ms: list[float] = []

    async def run(group: Group) -> None:
        for _ in range(5):
            leader = await group.wait_for_leader()
            name = next(n for n, r in group.replicas.items() if r is leader)
            started_s = trio.current_time()
            await group.stop(name)
            await (await group.wait_for_leader()).propose(encode_change(nth_change(0)))
            times_ms.append((trio.current_time() - started_s) * 1_000.0)
            await group.start(name)
            await trio.sleep(0.5)

    await with_group(3, run)
    _add_elections(rows, times_ms, "real clock")


async def measure_election_virtual(rows: list[Row]) -> None:
    """Measure elections on a virtual clock with the simulated network and disks of the tests."""
    times_ms: list[float] = []

    async def run(cluster: Cluster) -> None:
        for _ in range(100):
            leader = await cluster.wait_for_leader()
            started_s = trio.current_time()
            await cluster.crash(leader.node_id)
            await cluster.change()
            times_ms.append((trio.current_time() - started_s) * 1_000.0)
            await cluster.restart(leader.node_id)
            await trio.sleep(1.0)

    await with_cluster(run, 3)
    _add_elections(rows, times_ms, "virtual clock")


def _add_elections(rows: list[Row], times_ms: list[float], label: str) -> None:
    what = f"leader loss to next accepted change, {label}"
    rows.append({"what": f"{what}, p50", "value": statistics.median(times_ms), "unit": "ms"})
    rows.append({"what": f"{what}, max of {len(times_ms)}", "value": max(times_ms), "unit": "ms"})


async def measure_poll(rows: list[Row], feed: Feed) -> None:
    """Measure the CPU time of serving one poll, without the network."""
    data = codec.encode(FeedPoll(feed.current.version, True))
    started_s = time.process_time()
    for _ in range(5_000):
        msg = codec.decode(data)
        assert isinstance(msg, FeedPoll)
        codec.encode(await feed._on_poll("n1", msg))
    elapsed_us = (time.process_time() - started_s) / 5_000 * 1e6
    rows.append({"what": "serve one poll, processor time", "value": elapsed_us, "unit": "us"})


class EmptyMembership:
    """Replace membership by one without members or targets."""

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""

    def add_seeds(self, addresses: object) -> None:
        """Ignore the addresses; the transport of the measurement knows every node."""

    def control_ids(self) -> tuple[str, ...]:
        """Return the ids of the control instances."""
        return NAMES

    def members(self) -> dict[str, Any]:
        """Return no members."""
        return {}

    def targets(self, service: str) -> tuple[()]:
        """Return no targets."""
        return ()


async def start_node(
    nursery: trio.Nursery, endpoints: dict[str, LocalTransport], node_id: str, folder: str
) -> Kernel:
    """Start a node with feed and control."""
    cfg = make_settings(node_id, 3, folder)
    kernel = Kernel(cfg)
    endpoint = LocalTransport(endpoints, node_id, LATENCY_MS)
    endpoint.nursery = nursery
    for name, service in (
        ("counters", Counters()),
        ("timers", Timers(kernel)),
        ("peers", endpoint),
        ("membership", EmptyMembership()),
    ):
        kernel.add(name, service)
    kernel.add("control", Control(kernel))
    kernel.add("config", Feed(kernel))
    await kernel.start(nursery)
    return kernel


async def measure_in_force(rows: list[Row], n_feeds: int) -> None:
    """Measure the time from acceptance of a change until every feed applies it."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            endpoints: dict[str, LocalTransport] = {}
            names = [*NAMES, *(f"n{number}" for number in range(n_feeds))]
            kernels = [await start_node(nursery, endpoints, name, folder) for name in names]
            feeds: list[Feed] = [kernel.get("config") for kernel in kernels]
            await _wait_until(lambda: all(feed.is_fresh() for feed in feeds))
            await trio.sleep(1.0)
            times_ms: list[float] = []
            for number in range(20):
                change = Change(changes.new_change_id(), None, "measure", nth_change(number))
                version = await kernels[-1].get("control").submit(change)
                started_s = trio.current_time()
                await _wait_until(lambda v=version: all(f.current.version >= v for f in feeds))
                times_ms.append((trio.current_time() - started_s) * 1_000.0)
                await trio.sleep(0.05)
            if n_feeds == 100:
                await measure_poll(rows, feeds[0])
            nursery.cancel_scope.cancel()
    rows.append(
        {
            "what": f"acceptance to in force at {n_feeds} feeds, p50",
            "value": statistics.median(times_ms),
            "unit": "ms",
        }
    )
    rows.append(
        {
            "what": f"acceptance to in force at {n_feeds} feeds, max of 20",
            "value": max(times_ms),
            "unit": "ms",
        }
    )


def measure_bytes(rows: list[Row]) -> None:
    """Measure the encoded sizes of feed messages."""
    group_id, item = "g" * 32, encode_change(DomainOut("brisbane-1"))
    sizes = {
        "poll without news, request": FeedPoll(1_000, True),
        "poll without news, reply": FeedReply(group_id, 1_000, 12.5, (), b""),
        "push of one domain change": FeedPush(group_id, 1_000, (item,)),
        "version report": VersionReport("node-12345", 1_000, 12.5),
    }
    for what, msg in sizes.items():
        rows.append({"what": what, "value": len(codec.encode(msg)), "unit": "bytes"})
    services = {
        name: ServiceConfig(name, (f"{name}.choir.example",))
        for name in (f"service-{number}" for number in range(2_200))
    }
    cfg = Configuration(1_000, services)
    rows.append(
        {
            "what": "whole state with 2,200 services",
            "unit": "bytes",
            "value": len(configuration.to_state(cfg)),
        }
    )


async def measure_open(rows: list[Row]) -> None:
    """Measure opening an empty store."""
    with tempfile.TemporaryDirectory() as folder:
        store = await Store.open(FolderDisk(folder), "k", "c1")
        await store.close()
        started_s = trio.current_time()
        store = await Store.open(FolderDisk(folder), "k", "c1")
        _add_elapsed_ms(rows, "open an empty store", started_s)
        await store.close()


async def measure_real(rows: list[Row]) -> None:
    """Run the measurements that need the real clock."""
    await measure_fsync(rows)
    await measure_open(rows)
    await measure_rate(rows)
    await measure_restart(rows)
    await measure_election(rows)
    for n_feeds in (10, 40, 100):
        await measure_in_force(rows, n_feeds)


def format_table(rows: list[Row]) -> str:
    """Return the rows as a Markdown table."""
    lines = ["| what | value | unit |", "|---|---:|---|"]
    for row in rows:
        value = row["value"]
        digits = 0 if value >= 100 or float(value).is_integer() else 2
        lines.append(f"| {row['what']} | {value:,.{digits}f} | {row['unit']} |")
    return "\n".join(lines)


def main() -> None:
    """Run all measurements, print the table and write the optional JSON file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", metavar="FILE", help="write the rows as JSON")
    args = parser.parse_args()
    random.seed(1)
    rows: list[Row] = []
    started_s = time.monotonic()
    trio.run(measure_real, rows)
    trio.run(measure_election_virtual, rows, clock=MockClock(autojump_threshold=0))
    measure_bytes(rows)
    print(
        f"One process, {os.cpu_count()} cores, Python {platform.python_version()}, real fsync in "
        f"{tempfile.gettempdir()}, calls inside the process with {LATENCY_MS} ms each way.\n"
    )
    print(format_table(rows))
    print(f"\nTook {time.monotonic() - started_s:.0f} s.")
    if args.json:
        Path(args.json).write_text(json.dumps(rows, indent=1), encoding="utf-8")


if __name__ == "__main__":
    main()
