"""Usual size of the responses of each route, which tells what a call across domains costs."""

from __future__ import annotations

MAX_ROUTES = 4_096
# EWMA weight of the newest response.
NEWEST_WEIGHT = 0.1


class ResponseSizes:
    """Track the mean size of response bodies by route."""

    def __init__(self) -> None:
        self._mean_bytes: dict[str, float] = {}

    def record(self, route: str, size_bytes: int) -> None:
        """Record the body size of one response."""
        mean_bytes = self._mean_bytes.get(route)
        if mean_bytes is not None:
            self._mean_bytes[route] = mean_bytes + NEWEST_WEIGHT * (size_bytes - mean_bytes)
        elif len(self._mean_bytes) < MAX_ROUTES:
            self._mean_bytes[route] = float(size_bytes)

    def mean_bytes(self, route: str) -> float:
        """Return the mean body size, 0 for a route without responses."""
        return self._mean_bytes.get(route, 0.0)
