"""Complete nodes with kernel, feed and control on a simulated network."""

from __future__ import annotations

import random
from typing import Any

import trio
import trio.testing

from knapweedhitch.changes import Change, Operation, new_change_id
from knapweedhitch.control import Control
from knapweedhitch.counters import Counters
from knapweedhitch.feed import Feed
from knapweedhitch.kernel import Kernel
from knapweedhitch.model import Address, Member, Target, UpstreamRecord
from knapweedhitch.timers import Timers
from tests.faulty_disk import FaultyDisk
from tests.state_cluster import NAMES, Endpoint, Network, make_settings

WALL_START_MS = 1_000_000_000_000


class VirtualTimers(Timers):
    """Derive the wall clock from the virtual clock."""

    @staticmethod
    def wall_ms() -> int:
        return WALL_START_MS + int(trio.current_time() * 1_000)


class FakeMembership:
    """Return the members and targets that a test sets."""

    def __init__(self) -> None:
        self.all: dict[str, Member] = {}
        self.control: tuple[str, ...] = ()

    async def start(self) -> None:
        pass

    async def stop(self) -> None:
        pass

    def add(self, node_id: str, domain: str, service: str) -> None:
        address = Address("127.0.0.1", 1)
        upstream = UpstreamRecord(service, address, 4, 10, f"{node_id}-1", 1)
        self.all[node_id] = Member(node_id, address, "r", domain, 1, upstream=upstream)

    def members(self) -> dict[str, Member]:
        return dict(self.all)

    def control_ids(self) -> tuple[str, ...]:
        return self.control

    def add_seeds(self, addresses: Any) -> None:
        pass

    def targets(self, service: str) -> tuple[Target, ...]:
        return tuple(
            Target(m.node_id, m.domain, m.upstream)
            for m in self.all.values()
            if m.upstream is not None and m.upstream.service == service
        )


class NodeHost:
    """Run one node until it is cancelled."""

    def __init__(
        self, world: World, node_id: str, disk: FaultyDisk | None, **sections: Any
    ) -> None:
        self.world = world
        self.node_id = node_id
        self.disk = disk
        self.sections = sections
        self.scope = trio.CancelScope()

    async def run(self, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        world = self.world
        cfg = make_settings(self.node_id, world.size, **self.sections)
        kernel = Kernel(cfg)
        rng = random.Random(world.rng.random())
        with self.scope:
            async with trio.open_nursery() as nursery:
                endpoint = Endpoint(world.network, self.node_id, nursery)
                self.counters = Counters()
                kernel.add("counters", self.counters)
                kernel.add("timers", VirtualTimers(kernel, rng))
                kernel.add("peers", endpoint)
                kernel.add("membership", world.membership)
                if self.disk is not None:
                    kernel.add("disk", self.disk)
                self.control = Control(kernel, rng)
                kernel.add("control", self.control)
                self.feed = Feed(kernel, rng)
                kernel.add("config", self.feed)
                await kernel.start(nursery)
                task_status.started()
                await trio.sleep_forever()


class World:
    """Run control instances and other nodes on one simulated network."""

    def __init__(self, nursery: trio.Nursery, size: int = 1, seed: int = 1) -> None:
        self.nursery = nursery
        self.size = size
        self.rng = random.Random(seed)
        self.network = Network(self.rng)
        self.membership = FakeMembership()
        self.membership.control = tuple(NAMES[:size])
        self.hosts: dict[str, NodeHost] = {}

    async def start(self, *others: str, **sections: Any) -> None:
        for name in (*NAMES[: self.size], *others):
            await self.add(name, **sections)

    async def add(self, name: str, **sections: Any) -> NodeHost:
        old = self.hosts.get(name)
        disk = None
        if name in NAMES[: self.size]:
            disk = old.disk.reopened() if old is not None and old.disk else FaultyDisk(self.rng)
        host = self.hosts[name] = NodeHost(self, name, disk, **sections)
        await self.nursery.start(host.run)
        return host

    async def remove(self, name: str) -> None:
        self.hosts[name].scope.cancel()
        self.network.endpoints.pop(name, None)
        await trio.testing.wait_all_tasks_blocked()

    async def submit(self, name: str, op: Operation, base: int | None = None, **kw: Any) -> int:
        change = Change(kw.pop("change_id", "") or new_change_id(), base, "op", op)
        return await self.hosts[name].control.submit(change, **kw)

    def isolate(self, name: str) -> None:
        for other in self.hosts:
            self.network.cut |= {(name, other), (other, name)}
