"""Ejection of targets that fail, bounded by a ceiling and ended by live traffic alone."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable

from knapweedhitch.model import CallResult
from knapweedhitch.settings import RoutingSettings

# Weight of the newest result in the failure ratio; about the last 20 calls count.
RATIO_WEIGHT = 0.1
MIN_CALLS = 10
# An outlier fails this much more often than the mean of its peers.
OUTLIER_MARGIN = 0.4
DOUBLINGS = 10


@dataclasses.dataclass(slots=True)
class _Record:
    calls: int = 0
    run: int = 0
    failure_ratio: float = 0.0
    ejected_until_ms: float | None = None
    ejections: int = 0
    probing: bool = False
    restored_at_ms: float = 0.0


class Ejector:
    """Decide which targets of a service are ejected."""

    def __init__(self, cfg: RoutingSettings, now_ms: Callable[[], float]) -> None:
        self._cfg = cfg
        self._now_ms = now_ms
        self._records: dict[str, _Record] = {}

    def is_ejected(self, instance_id: str) -> bool:
        """Tell whether the target may get no call; a due probe may be taken by one call."""
        record = self._records.get(instance_id)
        if record is None or record.ejected_until_ms is None:
            return False
        return record.probing or self._now_ms() < record.ejected_until_ms

    def record_start(self, instance_id: str) -> None:
        """Note a call; the first one after the ejection time is the recovery probe."""
        record = self._records.get(instance_id)
        if record is not None and record.ejected_until_ms is not None:
            record.probing = self._now_ms() >= record.ejected_until_ms

    def record_finish(
        self,
        instance_id: str,
        result: CallResult,
        peers: Iterable[str],
        max_ratio: float,
        *,
        loaded: bool = False,
    ) -> bool:
        """Learn from a result; return True when it ejects the target."""
        record = self._records.setdefault(instance_id, _Record())
        if result.cancelled and result.ok:
            record.probing = False
            return False
        if result.shed and loaded:
            # Ejecting a target for being busy moves its load to the next one, and so on. A target
            # that sheds without load is faulty.
            record.probing = False
            return False
        failed = not result.ok
        record.calls += 1
        record.failure_ratio += RATIO_WEIGHT * (float(failed) - record.failure_ratio)
        record.run = record.run + 1 if failed else 0
        if record.ejected_until_ms is not None:
            return self._after_probe(record, failed)
        others = [i for i in peers if i != instance_id]
        if not failed or not self._is_outlier(record, others):
            return False
        if self._ejected_among(others) + 1 > max_ratio * (len(others) + 1):
            return False
        self._eject(record)
        return True

    def forget(self, instance_id: str) -> None:
        """Drop the record of the target."""
        self._records.pop(instance_id, None)

    def _after_probe(self, record: _Record, failed: bool) -> bool:
        if not record.probing:
            return False
        record.probing = False
        if failed:
            self._eject(record)
            return True
        record.ejected_until_ms = None
        record.restored_at_ms = self._now_ms()
        record.run = record.calls = 0
        record.failure_ratio = 0.0
        return False

    def _is_outlier(self, record: _Record, others: list[str]) -> bool:
        if record.run >= self._cfg.ejection_failures:
            return True
        if record.calls < MIN_CALLS:
            return False
        ratios = [self._records[i].failure_ratio for i in others if i in self._records]
        mean = sum(ratios) / len(ratios) if ratios else 0.0
        return record.failure_ratio > mean + OUTLIER_MARGIN

    def _ejected_among(self, ids: list[str]) -> int:
        records = (self._records.get(i) for i in ids)
        return sum(1 for r in records if r is not None and r.ejected_until_ms is not None)

    def _eject(self, record: _Record) -> None:
        now = self._now_ms()
        if now - record.restored_at_ms > self._cfg.max_ejection_ms:
            record.ejections = 0
        length_ms = self._cfg.ejection_ms * 2 ** min(record.ejections, DOUBLINGS)
        record.ejected_until_ms = now + min(length_ms, self._cfg.max_ejection_ms)
        record.ejections += 1
        record.run = 0
