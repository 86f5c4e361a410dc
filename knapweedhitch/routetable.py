"""The routes of a configuration: which one takes a request, and which of its services."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Mapping

from knapweedhitch.items import Items, RouteItem


class RouteTable:
    """Find the route of a host and a path; the longest path prefix wins."""

    def __init__(self, items: Items) -> None:
        self._hosts: dict[str, list[RouteItem]] = {}
        for route in items.routes.values():
            self._hosts.setdefault(route.host.lower(), []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def match(self, host: str, target: bytes) -> RouteItem | None:
        """Return the route of a Host header and a request target, None if there is none."""
        name = host.lower()
        routes = self._hosts.get(name)
        if routes is None and not name.startswith("["):
            routes = self._hosts.get(name.partition(":")[0])
        if routes is None:
            return None
        path = target.partition(b"?")[0].decode("latin-1")
        return next((route for route in routes if path.startswith(route.path_prefix)), None)


@dataclasses.dataclass(slots=True)
class _Credits:
    """Hold the credit of each service of one version of a route."""

    version: int
    by_service: dict[str, float]


class WeightedSplit:
    """Divide the requests of each route among its services as their weights say.

    Credits keep the share of every service within one request of its weight at each node, where
    independent random choices would need hundreds of requests for that.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[str, _Credits] = {}

    def choose(self, route: RouteItem) -> str:
        """Return the service of the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        total = sum(part.weight for part in route.parts)
        held = self._credits.get(route.name)
        if held is None or held.version != route.version:
            # Nodes that all began with the largest part would together send it too much.
            start = {part.service: self._rng.random() * part.weight for part in route.parts}
            held = self._credits[route.name] = _Credits(route.version, start)
        for part in route.parts:
            held.by_service[part.service] = held.by_service.get(part.service, 0.0) + part.weight
        chosen = max(
            (part.service for part in route.parts if part.weight > 0),
            key=lambda service: held.by_service[service],
        )
        held.by_service[chosen] -= total
        return chosen

    def prune(self, routes: Mapping[str, RouteItem]) -> None:
        """Forget the routes that are gone."""
        for name in self._credits.keys() - routes.keys():
            del self._credits[name]
