"""Match requests to the routes of a configuration and split them among services by weight."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Mapping

from knapweedhitch.items import Items, RouteItem


class RouteTable:
    """Match a host and a path to a route; the longest path prefix wins."""

    def __init__(self, items: Items) -> None:
        self._routes_by_host: dict[str, list[RouteItem]] = {}
        for route in items.routes.values():
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def match(self, host: str, target: bytes) -> RouteItem | None:
        """Return the route for a Host header and a request target, or None."""
        name = host.lower()
        routes = self._routes_by_host.get(name)
        if routes is None and not name.startswith("["):
            routes = self._routes_by_host.get(name.partition(":")[0])
        if routes is None:
            return None
        path = target.partition(b"?")[0].decode("latin-1")
        return next((route for route in routes if path.startswith(route.path_prefix)), None)


@dataclasses.dataclass(slots=True)
class _RouteCredits:
    """Track the credit of each service for one version of a route."""

    version: int
    by_service: dict[str, float]


class WeightedSplit:
    """Split the requests of each route among its services by weight.

    Smooth weighted round robin keeps the share of every service at each node within one request of
    its weight, for which independent random choices would need hundreds of requests.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[str, _RouteCredits] = {}

    def choose(self, route: RouteItem) -> str:
        """Return the service for the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        total = sum(part.weight for part in route.parts)
        balance = self._credits.get(route.name)
        if balance is None or balance.version != route.version:
            # Credits start at random values, because nodes that all began with the largest part
            # would together send it too much.
            start = {part.service: self._rng.random() * part.weight for part in route.parts}
            balance = self._credits[route.name] = _RouteCredits(route.version, start)
        for part in route.parts:
            balance.by_service[part.service] = (
                balance.by_service.get(part.service, 0.0) + part.weight
            )
        chosen = max(
            (part.service for part in route.parts if part.weight > 0),
            key=lambda service: balance.by_service[service],
        )
        balance.by_service[chosen] -= total
        return chosen

    def prune(self, routes: Mapping[str, RouteItem]) -> None:
        """Remove the credits of routes that no longer exist."""
        for name in self._credits.keys() - routes.keys():
            del self._credits[name]
