"""Eject failing targets up to a maximum ratio; only live calls probe for recovery."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable

from knapweedhitch.model import CallResult
from knapweedhitch.settings import RoutingSettings

# EWMA weight of the newest result in the failure ratio; covers about the last 20 calls.
RATIO_WEIGHT = 0.1
MIN_CALLS = 10
# An outlier exceeds the mean failure ratio of its peers by this margin.
OUTLIER_MARGIN = 0.4
MAX_DOUBLINGS = 10


@dataclasses.dataclass(slots=True)
class _Record:
    calls: int = 0
    consecutive_failures: int = 0
    failure_ratio: float = 0.0
    ejected_until_ms: float | None = None
    ejections: int = 0
    is_probing: bool = False
    restored_at_ms: float = 0.0


class Ejector:
    """Decide which targets of a service are ejected."""

    def __init__(self, cfg: RoutingSettings, now_ms: Callable[[], float]) -> None:
        self._cfg = cfg
        self._now_ms = now_ms
        self._records: dict[str, _Record] = {}

    def is_ejected(self, instance_id: str) -> bool:
        """Return whether the target must get no call; one call may probe it when a probe is due."""
        record = self._records.get(instance_id)
        if record is None or record.ejected_until_ms is None:
            return False
        return record.is_probing or self._now_ms() < record.ejected_until_ms

    def record_start(self, instance_id: str) -> None:
        """Record the start of a call; the first after the ejection time is the recovery probe."""
        record = self._records.get(instance_id)
        if record is not None and record.ejected_until_ms is not None:
            record.is_probing = self._now_ms() >= record.ejected_until_ms

    def record_finish(
        self,
        instance_id: str,
        result: CallResult,
        peers: Iterable[str],
        max_ratio: float,
        *,
        loaded: bool = False,
    ) -> bool:
        """Record a result; return True if it ejects the target."""
        record = self._records.setdefault(instance_id, _Record())
        if result.cancelled and result.ok:
            record.is_probing = False
            return False
        if result.shed and loaded:
            # Ejecting a busy target would move its load to the next one, and so on. A target that
            # sheds without load is faulty.
            record.is_probing = False
            return False
        failed = not result.ok
        record.calls += 1
        record.failure_ratio += RATIO_WEIGHT * (float(failed) - record.failure_ratio)
        record.consecutive_failures = record.consecutive_failures + 1 if failed else 0
        if record.ejected_until_ms is not None:
            return self._finish_probe(record, failed)
        peer_ids = [i for i in peers if i != instance_id]
        if not failed or not self._is_outlier(record, peer_ids):
            return False
        if self._count_ejected(peer_ids) + 1 > max_ratio * (len(peer_ids) + 1):
            return False
        self._eject(record)
        return True

    def forget(self, instance_id: str) -> None:
        """Remove the record of the target."""
        self._records.pop(instance_id, None)

    def _finish_probe(self, record: _Record, failed: bool) -> bool:
        if not record.is_probing:
            return False
        record.is_probing = False
        if failed:
            self._eject(record)
            return True
        record.ejected_until_ms = None
        record.restored_at_ms = self._now_ms()
        record.consecutive_failures = record.calls = 0
        record.failure_ratio = 0.0
        return False

    def _is_outlier(self, record: _Record, peer_ids: list[str]) -> bool:
        if record.consecutive_failures >= self._cfg.ejection_failures:
            return True
        if record.calls < MIN_CALLS:
            return False
        ratios = [self._records[i].failure_ratio for i in peer_ids if i in self._records]
        mean = sum(ratios) / len(ratios) if ratios else 0.0
        return record.failure_ratio > mean + OUTLIER_MARGIN

    def _count_ejected(self, instance_ids: list[str]) -> int:
        records = (self._records.get(i) for i in instance_ids)
        return sum(1 for r in records if r is not None and r.ejected_until_ms is not None)

    def _eject(self, record: _Record) -> None:
        now = self._now_ms()
        if now - record.restored_at_ms > self._cfg.max_ejection_ms:
            record.ejections = 0
        ejection_ms = self._cfg.ejection_ms * 2 ** min(record.ejections, MAX_DOUBLINGS)
        record.ejected_until_ms = now + min(ejection_ms, self._cfg.max_ejection_ms)
        record.ejections += 1
        record.consecutive_failures = 0
