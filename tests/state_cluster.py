"""Replicas on a simulated network in one process, with fault injection and an oracle."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import trio
import trio.testing

from knapweedhitch import changes, codec
from knapweedhitch.changes import Change, DomainOut, Operation, StampedChange
from knapweedhitch.clock import now_ms
from knapweedhitch.codec import Message
from knapweedhitch.consensus import Replica
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import (
    ConsensusError,
    KnapweedhitchError,
    PeerCallFailed,
    PeerTimeout,
    PeerUnreachable,
)
from knapweedhitch.history import ConfigurationMachine
from knapweedhitch.model import ServiceConfig
from knapweedhitch.settings import (
    ControlMember,
    ControlSettings,
    FeedSettings,
    NodeSettings,
    SecretSettings,
    Settings,
)
from tests.faulty_disk import Content, FaultyDisk

Handler = Callable[[str, Any], Awaitable[Message | None]]
NAMES = tuple(f"c{number}" for number in range(1, 13))


def make_settings(node_id: str, size: int = 3, domain: str = "d1", **control: Any) -> Settings:
    """Return settings of a node, with the first `size` control instances of NAMES."""
    feed = control.pop("feed", FeedSettings())
    members = tuple(ControlMember(name, "127.0.0.1", 7_001) for name in NAMES[:size])
    return Settings(
        node=NodeSettings(id=node_id, domain=domain),
        secrets=SecretSettings("unused", "unused"),
        control=ControlSettings(members=members, data_dir="unused", **control),
        feed=feed,
    )


def encode_change(op: Operation, change_id: str = "", base: int | None = None) -> bytes:
    """Return an encoded change, as stored in the log."""
    change = Change(change_id or changes.new_change_id(), base, "op", op)
    return changes.encode_stamped(StampedChange(change, 1_000, {}))


async def wait_until(condition: Callable[[], bool], timeout_ms: float = 10_000.0) -> None:
    """Wait until a condition holds; raises trio.TooSlowError after the timeout in ms."""
    with trio.fail_after(timeout_ms / 1_000.0):
        while True:
            if condition():
                return
            await trio.sleep(0.02)


class Network:
    """Simulate links between named endpoints: latency, loss, duplication and one-way cuts."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.endpoints: dict[str, Endpoint] = {}
        self.cut: set[tuple[str, str]] = set()
        self.loss = self.duplication = 0.0
        self.latency_ms = (0.5, 3.0)
        self.n_bytes = 0
        # Bytes a second that a node receives, and when it will have received what is on its way.
        self.bytes_per_s: dict[str, float] = {}
        self._received_s: dict[str, float] = {}

    async def transmit(self, src: str, dst: str, n_bytes: int = 0) -> None:
        """Sleep for the way of a message, or forever if the link is cut or the message is lost."""
        await trio.sleep(self.rng.uniform(*self.latency_ms) / 1_000.0)
        if dst in self.bytes_per_s:
            begin_s = max(trio.current_time(), self._received_s.get(dst, 0.0))
            self._received_s[dst] = begin_s + n_bytes / self.bytes_per_s[dst]
            # What is on its way arrives, whether the caller still waits or not.
            await trio.sleep_until(self._received_s[dst])
        if (src, dst) in self.cut or self.rng.random() < self.loss:
            await trio.sleep_forever()


class Endpoint:
    """Implement the transport of one node; its handlers run in the node's nursery."""

    def __init__(self, network: Network, node_id: str, nursery: trio.Nursery) -> None:
        self.network = network
        self.node_id = node_id
        self.nursery = nursery
        self.handlers: dict[type, Handler] = {}
        network.endpoints[node_id] = self

    async def start(self) -> None:
        pass

    async def stop(self) -> None:
        pass

    def handle(self, msg_type: type[Message], fn: Handler) -> None:
        self.handlers[msg_type] = fn

    def send(self, node_id: str, msg: Message) -> None:
        async def deliver() -> None:
            try:
                await self.call(node_id, msg, 5_000.0)
            except KnapweedhitchError:
                pass

        self.nursery.start_soon(deliver)

    async def call(self, node_id: str, msg: Message, timeout_ms: float) -> Message:
        net = self.network
        data = codec.encode(msg)
        net.n_bytes += len(data)
        with trio.move_on_after(timeout_ms / 1_000.0):
            await net.transmit(self.node_id, node_id, len(data))
            endpoint = net.endpoints.get(node_id)
            if endpoint is None:
                raise PeerUnreachable(node_id)
            if net.rng.random() < net.duplication:
                endpoint.nursery.start_soon(endpoint.dispatch_duplicate, self.node_id, data)
            reply = await endpoint.dispatch(self.node_id, data)
            await net.transmit(node_id, self.node_id, len(reply or b""))
            if reply is None:
                raise PeerCallFailed(node_id)
            net.n_bytes += len(reply)
            return codec.decode(reply)
        raise PeerTimeout(node_id)

    async def dispatch_duplicate(self, src: str, data: bytes) -> None:
        """Handle a duplicate that arrives after later messages."""
        await trio.sleep(self.network.rng.uniform(0.0, 0.3))
        await self.dispatch(src, data)

    async def dispatch(self, src: str, data: bytes) -> bytes | None:
        """Run the handler in the nursery of this node, so that it is cancelled with the node."""
        done = trio.Event()
        reply: bytes | None = None

        async def run() -> None:
            nonlocal reply
            msg = codec.decode(data)
            try:
                result = await self.handlers[type(msg)](src, msg)
                reply = codec.encode(result) if result is not None else b""
            except (ConsensusError, KeyError):
                pass
            finally:
                done.set()

        self.nursery.start_soon(run)
        await done.wait()
        return reply


@dataclasses.dataclass
class AcceptedChange:
    """Describe one accepted change and the virtual time at which the proposer learned of it."""

    change_id: str
    version: int
    at_ms: float


class RecordingMachine(ConfigurationMachine):
    """Record which change got which version."""

    def __init__(self, limits: ControlSettings) -> None:
        super().__init__(limits)
        self.change_ids: dict[int, str] = {}
        self.subscribe(lambda record: self.change_ids.update({record.version: record.change_id}))

    def restore(self, data: bytes) -> None:
        super().restore(data)
        self.change_ids.update({r.version: r.change_id for r in self.history()})


class Node:
    """Run one replica until it crashes."""

    def __init__(self, cluster: Cluster, node_id: str, disk: FaultyDisk) -> None:
        self.cluster = cluster
        self.node_id = node_id
        self.disk = disk
        self.scope: trio.CancelScope | None = None
        self.counters = Counters()

    async def run(self, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        cluster = self.cluster
        self.machine = RecordingMachine(cluster.cfg(self.node_id).control)
        with trio.CancelScope() as self.scope:
            async with trio.open_nursery() as nursery:
                endpoint = Endpoint(cluster.network, self.node_id, nursery)
                self.replica = Replica(
                    cluster.cfg(self.node_id),
                    self.disk,
                    endpoint,
                    self.machine,
                    self.counters,
                    random.Random(cluster.rng.random()),
                    cluster.known_members,
                )
                await self.replica.start(nursery)
                task_status.started()
                await trio.sleep_forever()


class Cluster:
    """Run replicas, inject faults and check the guarantees of the log."""

    def __init__(
        self, nursery: trio.Nursery, size: int, seed: int = 1, control: Mapping[str, Any] = {}
    ) -> None:
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.network = Network(self.rng)
        self.names = NAMES[:size]
        self.control = dict(control)
        self.nodes: dict[str, Node] = {}
        self.accepted: list[AcceptedChange] = []
        self.change_ids: dict[int, str] = {}
        self.leaders: dict[int, str] = {}
        self._count = 0

    def cfg(self, node_id: str) -> Settings:
        return make_settings(node_id, len(self.names), **self.control)

    def known_members(self) -> tuple[str, ...]:
        """Return the control instances that membership lists: all that are up."""
        return tuple(self.network.endpoints)

    async def start(self, *names: str) -> None:
        for name in names or self.names:
            self.nodes[name] = Node(self, name, FaultyDisk(self.rng))
            await self.nursery.start(self.nodes[name].run)

    async def crash(self, name: str, *, power: bool = False) -> None:
        """Kill a process; with `power`, its machine also loses unsynced data."""
        node = self.nodes.get(name)
        if node is None or node.scope is None:
            return
        node.disk.dead = True
        node.scope.cancel()
        node.scope = None
        self.network.endpoints.pop(name, None)
        await trio.testing.wait_all_tasks_blocked()
        if power:
            node.disk.lose_power()

    async def stop(self, name: str, limit_s: float = 4.0) -> None:
        """Stop a process as planned; it ends once its vote is handed over or after the limit."""
        with trio.move_on_after(limit_s):
            await self.nodes[name].replica.hand_over()
        await self.crash(name)

    async def restart(self, name: str, *, empty: bool = False) -> None:
        """Restart a process on its data folder or on an empty one."""
        await self.crash(name)
        old = self.nodes[name].disk
        disk = FaultyDisk(self.rng) if empty else old.reopened()
        self.nodes[name] = Node(self, name, disk)
        await self.nursery.start(self.nodes[name].run)

    async def restore(self, name: str, copy: dict[str, Content]) -> str:
        """Restart a process on an older copy of its data folder and return its disk id."""
        await self.crash(name)
        self.nodes[name].disk.files = {n: Content(c.visible, c.durable) for n, c in copy.items()}
        await self.restart(name)
        return self.nodes[name].replica.state.store.disk_id

    def is_up(self, name: str) -> bool:
        return name in self.network.endpoints

    def leader(self) -> Node | None:
        """Return the leader with the highest term, or None if there is none."""
        leading = [n for n in self.nodes.values() if n.scope and n.replica.is_leader]
        return max(leading, key=lambda n: n.replica.state.store.term, default=None)

    def voters(self) -> Mapping[str, str]:
        """Return the voting disk ids as of the leader's last committed members entry."""
        leader = self.leader()
        if leader is None:
            return {}
        return leader.replica.state.members_at(leader.replica.state.commit_index)[1]

    async def wait_for_leader(self, timeout_ms: float = 20_000.0) -> Node:
        """Wait for a leader that can accept changes and return it."""
        with trio.fail_after(timeout_ms / 1_000.0):
            while True:
                node = self.leader()
                if node is not None and node.replica.freshness_age_ms() is not None:
                    return node
                await trio.sleep(0.02)

    async def propose(self, name: str, body: bytes, timeout_ms: float = 3_000.0) -> int | None:
        """Propose at one node; return the version, or None if not accepted within the timeout."""
        version: int | None = None
        with trio.move_on_after(timeout_ms / 1_000.0):
            try:
                version = await self.nodes[name].replica.propose(body)
            except KnapweedhitchError:
                return None
            change_id = changes.decode_stamped(body).change.change_id
            self.accepted.append(AcceptedChange(change_id, version, now_ms()))
        return version

    async def change(self, timeout_ms: float = 10_000.0) -> int:
        """Propose one change at the current leader until it is accepted; return its version."""
        self._count += 1
        body = encode_change(DomainOut(f"domain-{self._count}"))
        with trio.fail_after(timeout_ms / 1_000.0):
            while True:
                node = await self.wait_for_leader()
                version = await self.propose(node.node_id, body)
                if version is not None:
                    return version
                await trio.sleep(0.05)

    def heal(self) -> None:
        self.network.cut.clear()
        self.network.loss = self.network.duplication = 0.0
        self.network.latency_ms = (0.5, 3.0)
        for node in self.nodes.values():
            node.disk.latency_ms, node.disk.failing_syncs = 0.0, 0

    def check(self) -> None:
        """Check that all logs agree, each term has one leader and no proof is too recent."""
        for name, node in self.nodes.items():
            if node.scope is None or not hasattr(node, "machine"):
                continue
            for version, change_id in node.machine.change_ids.items():
                known = self.change_ids.setdefault(version, change_id)
                assert known == change_id, f"{name}: version {version} is {change_id}, not {known}"
            if node.replica.is_leader:
                term = node.replica.state.store.term
                known = self.leaders.setdefault(term, name)
                assert known == name, f"{name} and {known} lead in term {term}"
            self._check_freshness(node)

    def _check_freshness(self, node: Node) -> None:
        age_ms = node.replica.freshness_age_ms()
        if age_ms is None:
            return
        proof_ms = now_ms() - age_ms
        for item in self.accepted:
            if item.at_ms < proof_ms:
                version = node.machine.current.version
                assert version >= item.version, f"{node.node_id} is wrongly fresh at {version}"

    async def watch(self) -> None:
        """Check the oracle every few milliseconds."""
        while True:
            self.check()
            await trio.sleep(0.007)

    async def check_nothing_lost(self) -> None:
        """Repair all faults and check that the leader's log holds each accepted change."""
        self.heal()
        for name in self.names:
            if not self.is_up(name) or self.nodes[name].replica.is_stopped:
                await self.restart(name)
        await self.change()
        self.check()
        leader = await self.wait_for_leader()
        for item in self.accepted:
            held = leader.machine.change_ids.get(item.version)
            assert held == item.change_id, f"accepted {item} was lost; the leader holds {held}"
        goal = leader.machine.current.version
        await wait_until(
            lambda: all(n.machine.current.version >= goal for n in self.nodes.values())
        )
        self.check()


def service_config(name: str) -> ServiceConfig:
    """Return a service with one host."""
    return ServiceConfig(name, (f"{name}.example",))


async def with_cluster(
    fn: Callable[[Cluster], Awaitable[None]], size: int, seed: int = 1, **control: Any
) -> None:
    """Run a function on a cluster whose oracle is checked continuously."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery, size, seed, control)
        await cluster.start()
        nursery.start_soon(cluster.watch)
        await fn(cluster)
        nursery.cancel_scope.cancel()
