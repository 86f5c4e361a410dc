"""Start, end and replace the targets beside the nodes."""

from __future__ import annotations

import random

import trio

from tests.soak.cluster import Cluster
from tests.soak.ledger import Ledger
from tests.soak.relay import Relay
from tests.soak.targets import Behaviour, Target

# Time between the end of a target and the start of its successor at the same address.
REPLACE_DELAY_S = 0.5


class Fleet:
    """Hold the current target of each node."""

    def __init__(
        self,
        cluster: Cluster,
        ledger: Ledger,
        rng: random.Random,
        behaviour: Behaviour,
    ) -> None:
        self.targets: dict[str, Target] = {}
        self.relays: dict[str, Relay] = {}
        self._cluster = cluster
        self._ledger = ledger
        self._rng = rng
        self._behaviour = behaviour
        self._starts = 0

    def start(self, nursery: trio.Nursery) -> None:
        """Start a target beside each node."""
        self._nursery = nursery
        cluster = self._cluster
        for ip in cluster.apps:
            relay = Relay(ip, cluster.target_port, cluster.hidden_target_port)
            self.relays[ip] = relay
            nursery.start_soon(relay.run)
            self.start_target(ip)

    def start_target(self, ip: str) -> None:
        """Start a new target beside a node."""
        self._starts += 1
        instance_id = f"i-{ip.rpartition('.')[2]}-{self._starts}"
        rng = random.Random(self._rng.random())
        target = Target(self._cluster, self._ledger, rng, ip, instance_id, self._behaviour)
        self.targets[ip] = target
        self._nursery.start_soon(target.run)

    async def leave(self, ip: str, drains: bool) -> None:
        """Let a target leave as planned."""
        await self.targets[ip].leave(drains=drains)

    async def replace(self, ip: str, *, drains: bool) -> None:
        """Let a target leave as planned, and start its successor."""
        await self.leave(ip, drains)
        await trio.sleep(REPLACE_DELAY_S)
        self.start_target(ip)

    async def crash(self, ip: str) -> None:
        """End a target at once, and start its successor."""
        self.targets[ip].is_leaving = True
        self.targets[ip].end()
        await trio.sleep(REPLACE_DELAY_S)
        self.start_target(ip)
