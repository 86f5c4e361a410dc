"""Remember the upstreams that are leaving or have left, so that none comes into use again."""

from __future__ import annotations

from knapweedhitch.model import UpstreamRecord

MAX_DEPARTURES = 10_000


class DepartureTable:
    """Track the highest departed incarnation of each upstream, up to MAX_DEPARTURES."""

    def __init__(self) -> None:
        self._incarnations: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._incarnations)

    def record(self, instance_id: str, incarnation: int) -> None:
        """Record that this incarnation of an upstream, and all before it, departed."""
        known = self._incarnations.pop(instance_id, -1)
        self._incarnations[instance_id] = max(incarnation, known)
        if len(self._incarnations) > MAX_DEPARTURES:
            del self._incarnations[next(iter(self._incarnations))]

    def incarnation_of(self, instance_id: str) -> int:
        """Return the highest departed incarnation of an upstream, or -1."""
        return self._incarnations.get(instance_id, -1)

    def includes(self, record: UpstreamRecord) -> bool:
        """Return whether the incarnation in a record departed."""
        return record.incarnation <= self.incarnation_of(record.instance_id)
