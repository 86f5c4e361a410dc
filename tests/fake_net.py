"""In-memory network of nodes with injected faults, for tests of links and membership."""

from __future__ import annotations

import contextlib
import dataclasses
import math
import random
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any

import trio

from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import PeerDisconnected, PeerUnreachable
from knapweedhitch.kernel import Kernel
from knapweedhitch.model import Address
from knapweedhitch.peers import Peers
from knapweedhitch.settings import Listener, Settings, parse_settings, replace
from knapweedhitch.timers import Timers
from knapweedhitch.transport import WireHandler

SECRET = b"0123456789abcdef"


def make_settings(node_id: str, index: int = 0, **sections: Any) -> Settings:
    """Return the settings of a node, with n0 as the control instance."""
    text = (
        f"node: {{id: {node_id}, domain: d{index % 3}}}\n"
        "secrets: {peer_secret_file: /unused, operator_token_file: /unused}\n"
        "control: {members: [{id: n0, host: 127.0.0.1, port: 7000}], data_dir: /unused}\n"
        f"listen: {{peers: {{host: 127.0.0.1, port: {7000 + index}}}}}\n"
    )
    return replace(parse_settings(text), **sections)


class MemoryWire:
    """Represent one end of an in-memory link.

    `silent` drops all frames without an error, `delay_s` delivers them later in their order.
    """

    overhead_bytes = 2
    last_read_ms = -math.inf

    def __init__(self, net: MemoryNet, own_address: Address, other_address: Address) -> None:
        self._net = net
        self.own_address = own_address
        self.other_address = other_address
        self._out, self._in = trio.open_memory_channel[bytes](math.inf)
        self.peer: MemoryWire | None = None
        self.silent = False
        self.delay_s = 0.0
        self.sent: list[bytes] = []

    async def send(self, frames: Sequence[bytes]) -> None:
        await trio.lowlevel.checkpoint()
        assert self.peer is not None
        self.sent += frames
        del self.sent[:-1_000]
        if self.silent or self._net.is_partitioned(self.own_address, self.other_address):
            return
        if self.delay_s and self._net.nursery is not None:
            self._net.nursery.start_soon(self._deliver_later, tuple(frames))
            return
        try:
            for frame in frames:
                self.peer._out.send_nowait(frame)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise PeerDisconnected("broken") from None

    async def _deliver_later(self, frames: Sequence[bytes]) -> None:
        await trio.sleep(self.delay_s)
        assert self.peer is not None
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            for frame in frames:
                self.peer._out.send_nowait(frame)

    async def receive(self) -> bytes:
        try:
            return await self._in.receive()
        except (trio.EndOfChannel, trio.ClosedResourceError):
            raise PeerDisconnected("closed") from None

    def accept_long_messages(self) -> None: ...

    async def abort(self) -> None:
        self._in.close()
        if (
            self.peer is not None
            and not self.silent
            and not self._net.is_partitioned(self.own_address, self.other_address)
        ):
            self.peer._out.close()


class MemoryDatagrams:
    """Emulate the UDP socket of a node."""

    def __init__(self, net: MemoryNet, own_address: Address) -> None:
        self._net = net
        self._own_address = own_address
        self.paused_until = 0.0
        self.out, self._in = trio.open_memory_channel[tuple[bytes, Address]](10_000)

    def send(self, data: bytes, address: Address) -> bool:
        self._net.send_datagram(data, self._own_address, address)
        return True

    async def receive(self) -> tuple[bytes, Address]:
        datagram = await self._in.receive()
        if trio.current_time() < self.paused_until:
            await trio.sleep_until(self.paused_until)
        return datagram


class MemoryTransport:
    """Emulate the transport of a node on the in-memory network."""

    def __init__(self, net: MemoryNet) -> None:
        self._net = net
        self._nursery: trio.Nursery | None = None
        self._handler: WireHandler | None = None
        self.address = Address("127.0.0.1", 0)

    async def bind(self, host: str, port: int) -> Address:
        self.address = Address(host, port)
        self.datagrams = MemoryDatagrams(self._net, self.address)
        self._net.nodes[self.address] = self
        return self.address

    async def serve(self, handler: WireHandler) -> None:
        self._handler = handler
        async with trio.open_nursery() as self._nursery:
            await trio.sleep_forever()

    @contextlib.asynccontextmanager
    async def connect(self, address: Address) -> AsyncIterator[MemoryWire]:
        await trio.sleep(self._net.connect_s)
        other = self._net.nodes.get(address)
        if (
            other is None
            or other._nursery is None
            or self._net.is_partitioned(self.address, address)
        ):
            raise PeerUnreachable(f"{address} refuses")
        near = MemoryWire(self._net, self.address, address)
        far = MemoryWire(self._net, address, self.address)
        near.peer, far.peer = far, near
        self._net.wires += [near, far]
        assert other._handler is not None
        other._nursery.start_soon(other._run, far)
        try:
            yield near
        finally:
            await near.abort()

    async def _run(self, wire: MemoryWire) -> None:
        assert self._handler is not None
        try:
            await self._handler(wire)
        finally:
            await wire.abort()


@dataclasses.dataclass
class MemoryNet:
    """Connect nodes and inject faults; loss and duplication are datagram probabilities."""

    rng: random.Random = dataclasses.field(default_factory=lambda: random.Random(1))
    loss: float = 0.0
    duplication: float = 0.0
    max_delay_s: float = 0.0
    connect_s: float = 0.0

    def __post_init__(self) -> None:
        self.nodes: dict[Address, MemoryTransport] = {}
        self.wires: list[MemoryWire] = []
        self.groups: dict[Address, int] = {}
        self.nursery: trio.Nursery | None = None
        self.datagrams: list[tuple[bytes, Address, Address]] = []

    def is_partitioned(self, a: Address, b: Address) -> bool:
        """Return whether two addresses are in different partitions."""
        return self.groups.get(a, 0) != self.groups.get(b, 0)

    def send_datagram(self, data: bytes, source: Address, destination: Address) -> None:
        """Deliver a datagram, subject to the configured faults."""
        self.datagrams.append((data, source, destination))
        del self.datagrams[:-2_000]
        for _ in range(2 if self.rng.random() < self.duplication else 1):
            if self.rng.random() < self.loss or self.is_partitioned(source, destination):
                continue
            if self.max_delay_s and self.nursery is not None:
                delay = self.rng.random() * self.max_delay_s
                self.nursery.start_soon(self._deliver_later, delay, data, source, destination)
            else:
                self._deliver(data, source, destination)

    async def _deliver_later(
        self, delay: float, data: bytes, source: Address, destination: Address
    ) -> None:
        await trio.sleep(delay)
        self._deliver(data, source, destination)

    def _deliver(self, data: bytes, source: Address, destination: Address) -> None:
        node = self.nodes.get(destination)
        if node is not None:
            with contextlib.suppress(trio.WouldBlock, trio.BrokenResourceError):
                node.datagrams.out.send_nowait((data, source))


class Node:
    """Run one node with counters, timers, peers and the services that a test adds."""

    def __init__(
        self,
        net: MemoryNet,
        index: int,
        secret: bytes = SECRET,
        node_id: str = "",
        **sections: Any,
    ) -> None:
        self.node_id = node_id or f"n{index}"
        self.kernel = Kernel(make_settings(self.node_id, index, **sections))
        self.transport = MemoryTransport(net)
        self.counters = Counters()
        self.kernel.add("counters", self.counters)
        self.kernel.add("timers", Timers(self.kernel, random.Random(index)))
        self.peers = Peers(self.kernel, self.transport, secret)
        self.kernel.add("peers", self.peers)
        self.scope = trio.CancelScope()
        self.stopped = trio.Event()

    def add(self, name: str, service: Any) -> Any:
        """Add a service before the node runs."""
        self.kernel.add(name, service)
        return service

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until `crash`."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                await self.kernel.start(nursery)
                task_status.started()
                await trio.sleep_forever()
        self.stopped.set()

    async def crash(self, net: MemoryNet) -> None:
        """Stop the node without a shutdown."""
        net.nodes.pop(self.transport.address, None)
        self.scope.cancel()
        await self.stopped.wait()


class StaticMembership:
    """Provide fixed addresses of nodes in place of the membership."""

    def __init__(self, count: int) -> None:
        self.addresses = {f"n{i}": Address("127.0.0.1", 7000 + i) for i in range(count)}

    def address_of(self, node_id: str) -> Address | None:
        return self.addresses.get(node_id)

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


@contextlib.asynccontextmanager
async def running_nodes(
    count: int,
    net: MemoryNet | None = None,
    prepare: Callable[[Node], None] | None = None,
    **kw: Any,
) -> AsyncIterator[list[Node]]:
    """Run nodes n0, n1, ... that know each other's addresses."""
    net = net or MemoryNet()
    nodes = [Node(net, i, **kw) for i in range(count)]
    async with trio.open_nursery() as nursery:
        net.nursery = nursery
        for node in nodes:
            node.add("membership", StaticMembership(count + 8))
            if prepare is not None:
                prepare(node)
            await nursery.start(node.run)
        await trio.testing.wait_all_tasks_blocked()
        yield nodes
        nursery.cancel_scope.cancel()


def listen(port: int) -> Listener:
    """Return a listener on loopback."""
    return Listener("127.0.0.1", port)
