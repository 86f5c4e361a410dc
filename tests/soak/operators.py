"""Send configurations and evacuations as the platform's operator, and remember what is in force."""

from __future__ import annotations

import dataclasses
import functools
import json
import random
import time
from typing import Any

import trio

from tests.platform_world import send_http
from tests.soak.cluster import Cluster
from tests.soak.ledger import Event, Ledger

IDLE_TIMEOUT_S = 5
ORDER_TIMEOUT_S = 20.0
REQUEST_TIMEOUT_S = 1.0
MAX_PAUSE_S = 1.0
# The platform calls again after these; all others may be sent again.
FINAL_STATUSES = (400, 409, 412, 413, 422)


@dataclasses.dataclass(frozen=True)
class Route:
    """Describe a route of the soak; it can move between its services."""

    name: str
    host: str
    prefix: str
    kind: str
    services: tuple[str, ...]
    timeout_s: float = 10.0
    moves: bool = False


ROUTES = {
    "reads": Route("reads", "reads.example", "/r/", "safe", ("catalogue",)),
    "lists": Route("lists", "lists.example", "/l/", "safe", ("files", "catalogue"), moves=True),
    "orders": Route("orders", "orders.example", "/o/", "unsafe", ("orders", "files"), moves=True),
    "uploads": Route("uploads", "uploads.example", "/u/", "upload", ("files",)),
    "status": Route("status", "status.example", "/s/", "safe", ("orders",)),
}


@dataclasses.dataclass(frozen=True)
class ItemVersion:
    """Describe one version of a route, and when it was sent and acknowledged."""

    route: str
    version: int
    service: str
    item: dict[str, Any]
    sent_s: float
    acknowledged_s: float = 0.0


class Operator:
    """Send orders to control instances, and move on after a second without a response."""

    def __init__(self, cluster: Cluster, ledger: Ledger, rng: random.Random) -> None:
        self.versions: list[ItemVersion] = []
        # Zones with the acknowledgement of their evacuation and the moment it was withdrawn.
        self.evacuations: list[tuple[str, float, float]] = []
        self._cluster = cluster
        self._ledger = ledger
        self._rng = rng
        self._version = 7
        # Takes orders as acknowledged without sending them, to show that the checks can fail.
        self.feigns = False

    async def configure_first(self) -> None:
        """Send the whole first configuration until it is accepted."""
        names = sorted({name for route in ROUTES.values() for name in route.services})
        patch = {
            "upsert": {
                "routes": [self._make_item(route, route.services[0]) for route in ROUTES.values()],
                "services": [make_service(name) for name in names],
                "limits": {
                    "maxHeaderBytes": 16_384,
                    "maxBodyBytes": 67_108_864,
                    "headerTimeoutS": 3,
                    "idleTimeoutS": IDLE_TIMEOUT_S,
                    "version": 7,
                },
            },
            "remove": {"routes": []},
        }
        await self._patch(patch, [route.name for route in ROUTES.values()])

    async def move_route(self) -> None:
        """Move a route to its other service."""
        self._version += self._rng.randint(1, 3)
        route = self._rng.choice([route for route in ROUTES.values() if route.moves])
        current = next(v for v in reversed(self.versions) if v.route == route.name)
        service = next(name for name in route.services if name != current.service)
        patch = {
            "upsert": {"routes": [self._make_item(route, service)]},
            "remove": {"routes": []},
        }
        await self._patch(patch, [route.name])

    async def evacuate(
        self, zone: str, for_s: float, acknowledged: trio.Event | None = None
    ) -> None:
        """Evacuate a zone for some seconds."""
        path = f"/knapweedhitch/evacuations/{zone}"
        started_s = time.monotonic()
        if not await self._order(f"{path}/start", b""):
            return
        acknowledged_s = time.monotonic()
        self.evacuations.append((zone, acknowledged_s, float("inf")))
        self._ledger.add_event(Event(acknowledged_s, "evacuation-acked", zone, started_s))
        if acknowledged is not None:
            acknowledged.set()
        try:
            await trio.sleep(for_s)
        finally:
            self._end_evacuations(zone)
        await self._order(f"{path}/finish", b"")
        self._ledger.add_event(Event(time.monotonic(), "evacuation-finished", zone))

    def _end_evacuations(self, zone: str) -> None:
        """Record that a zone is taken back, which ends all evacuations of it that are in force."""
        now_s = time.monotonic()
        self.evacuations = [
            (name, acknowledged_s, min(finished_s, now_s) if name == zone else finished_s)
            for name, acknowledged_s, finished_s in self.evacuations
        ]

    async def read_back(self) -> dict[str, Any] | None:
        """Return the configuration that a control instance holds, or None without one."""
        address = self._cluster.address(self._rng.choice(self._cluster.cores), "control")
        status, body = await trio.to_thread.run_sync(
            lambda: send_http(address, "GET", "/knapweedhitch/config/get", redirects=2)
        )
        return json.loads(body) if status == 200 else None

    def _make_item(self, route: Route, service: str) -> dict[str, Any]:
        return {
            "name": route.name,
            "host": route.host,
            "pathPrefix": route.prefix,
            "kind": route.kind,
            "timeoutS": route.timeout_s,
            "targetLatencyS": 0.5,
            "priority": 1,
            "service": service,
            "maxAttempts": 2,
            "version": self._version,
        }

    async def _patch(self, patch: dict[str, Any], routes: list[str]) -> None:
        sent_s = time.monotonic()
        first = len(self.versions)
        for item in patch["upsert"]["routes"]:
            version = ItemVersion(item["name"], item["version"], item["service"], item, sent_s)
            self.versions.append(version)
        self._ledger.add_event(Event(sent_s, "config-sent", " ".join(routes), is_planned=True))
        if not await self._order("/knapweedhitch/config/patch", json.dumps(patch).encode()):
            return
        now_s = time.monotonic()
        for number in range(first, first + len(routes)):
            self.versions[number] = dataclasses.replace(self.versions[number], acknowledged_s=now_s)
        text = " ".join(f"{v.route}:{v.version}" for v in self.versions[first:][: len(routes)])
        self._ledger.add_event(Event(now_s, "config-acked", text, now_s + 3.0, is_planned=True))

    async def _order(self, path: str, body: bytes) -> bool:
        """Send an order until it is acknowledged; return False after the last try."""
        if self.feigns:
            return True
        end_s = time.monotonic() + ORDER_TIMEOUT_S
        pause_s = 0.1
        headers = {"Content-Type": "application/json"} if body else {}
        while time.monotonic() < end_s:
            address = self._cluster.address(self._rng.choice(self._cluster.cores), "control")
            send = functools.partial(send_http, timeout_s=REQUEST_TIMEOUT_S, redirects=2)
            status, data = await trio.to_thread.run_sync(send, address, "POST", path, body, headers)
            if 200 <= status < 300:
                return True
            if status in FINAL_STATUSES:
                text = f"{path} was refused with {status}: {data[:200]!r}"
                self._ledger.report("CONFIG", time.monotonic(), text)
                return False
            await trio.sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, pause_s * 2)
        self._ledger.write("order-unacknowledged", path=path)
        return False


def make_service(name: str) -> dict[str, Any]:
    """Return a service as an operator sends it."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 260,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 3.0,
        "coldPerS": 100.0,
        "version": 7,
    }
