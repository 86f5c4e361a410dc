"""Verdicts on requests under which upstreams ended, from what was in progress at each end."""

from __future__ import annotations

import dataclasses
import hashlib
import itertools
from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType

from knapweedhitch.identity import HEAD_BYTES
from knapweedhitch.model import UpstreamEnd
from knapweedhitch.settings import SuspectSettings

MANY_ENDS = "many-ends"
COMMON_TO_TWO = "common-to-two"
MIN_ENDS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class HeldEnd:
    """Represent an end and its time on the clock of this process."""

    end: UpstreamEnd
    ended_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Clearance:
    """Represent that a request is cleared of all ends up to a time on the clock of this process."""

    mark: int
    cleared_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestVerdict:
    """Describe a request that is refused, with the ends that count against it."""

    request: bytes
    service: str
    evidence: str
    ends: tuple[HeldEnd, ...]
    until_ms: float


class SuspectTable:
    """Hold ends and cleared requests, and judge requests by them.

    The verdicts follow from the ends, the cleared requests and the time only, so that nodes with
    the same evidence come to the same verdicts.
    """

    def __init__(self, cfg: SuspectSettings, now_ms: Callable[[], float]) -> None:
        self._cfg = cfg
        self._now_ms = now_ms
        self._ends: OrderedDict[tuple[str, int], HeldEnd] = OrderedDict()
        self._cleared: OrderedDict[bytes, Clearance] = OrderedDict()
        self._suspects: dict[bytes, str] = {}
        self._verdicts: dict[bytes, RequestVerdict] = {}
        self._heads: frozenset[bytes] = frozenset()
        self._services: frozenset[str] = frozenset()

    @property
    def is_empty(self) -> bool:
        """Return whether there is no suspect and no verdict."""
        return not self._heads

    def knows_head(self, head: bytes) -> bool:
        """Return whether a request with this head is a suspect or quarantined."""
        return head in self._heads

    def is_suspect(self, request: bytes) -> bool:
        """Return whether an end may be the fault of a request that is not quarantined."""
        return request in self._suspects

    def is_accused(self, request: bytes) -> bool:
        """Return whether there is evidence against a request, quarantined or not."""
        return request in self._suspects or self.verdict(request) is not None

    def verdict(self, request: bytes) -> RequestVerdict | None:
        """Return the verdict in force on a request, if there is one."""
        verdict = self._verdicts.get(request)
        if verdict is None or verdict.until_ms <= self._now_ms():
            return None
        return verdict

    def verdicts(self) -> list[RequestVerdict]:
        """Return all verdicts in force."""
        now = self._now_ms()
        return [v for v in self._verdicts.values() if v.until_ms > now]

    def suspects(self) -> Mapping[bytes, str]:
        """Return the requests that are suspected without a verdict, with their services."""
        return MappingProxyType(self._suspects)

    def has_end(self, upstream: tuple[str, int]) -> bool:
        """Return whether the end of this start of an upstream is held."""
        return upstream in self._ends

    def has_ends_of(self, service: str) -> bool:
        """Return whether ends of upstreams of a service are held."""
        return service in self._services

    # Evidence

    def add_end(self, end: UpstreamEnd, ended_ms: float) -> bool:
        """Add an end; return False if it was known or is too old."""
        if end.upstream in self._ends or ended_ms <= self._now_ms() - self._cfg.evidence_ttl_ms:
            return False
        if len(self._ends) >= self._cfg.max_ends_held:
            oldest = min(self._ends, key=lambda key: self._ends[key].ended_ms)
            if self._ends[oldest].ended_ms >= ended_ms:
                return False
            del self._ends[oldest]
        self._ends[end.upstream] = HeldEnd(end, ended_ms)
        self._judge()
        return True

    def next_mark(self, request: bytes, wall_ms: int) -> int:
        """Return a mark above that of the last known clearance of a request."""
        known = self._cleared.get(request)
        return wall_ms if known is None else max(wall_ms, known.mark + 1)

    def clear(self, request: bytes, mark: int, cleared_ms: float) -> bool:
        """Drop the evidence up to a time against a request; return False if that was known."""
        known = self._cleared.get(request)
        if known is not None and mark <= known.mark:
            return False
        if cleared_ms <= self._now_ms() - self._cfg.evidence_ttl_ms:
            return False
        self._cleared[request] = Clearance(mark, cleared_ms)
        self._cleared.move_to_end(request)
        if len(self._cleared) > self._cfg.max_cleared_held:
            self._cleared.popitem(last=False)
        if request in self._suspects or request in self._verdicts:
            self._judge()
        return True

    def expire(self) -> None:
        """Drop what is older than the lifetime of evidence."""
        oldest_ms = self._now_ms() - self._cfg.evidence_ttl_ms
        old_ends = [key for key, held in self._ends.items() if held.ended_ms <= oldest_ms]
        old_cleared = [r for r, held in self._cleared.items() if held.cleared_ms <= oldest_ms]
        for key in old_ends:
            del self._ends[key]
        for request in old_cleared:
            del self._cleared[request]
        if old_ends or any(v.until_ms <= self._now_ms() for v in self._verdicts.values()):
            self._judge()

    def evidence(self) -> tuple[list[HeldEnd], list[tuple[bytes, Clearance]]]:
        """Return the ends and the cleared requests."""
        return list(self._ends.values()), list(self._cleared.items())

    def digest(self) -> bytes:
        """Return a digest of what is held, which tells whether two nodes hold the same."""
        hasher = hashlib.blake2b(digest_size=8)
        for instance_id, incarnation in sorted(self._ends):
            hasher.update(f"{instance_id}\0{incarnation}\0".encode())
        for request in sorted(self._cleared):
            hasher.update(request + b"%d" % self._cleared[request].mark)
        return hasher.digest()

    # Judgement

    def _judge(self) -> None:
        now = self._now_ms()
        by_service: dict[str, list[HeldEnd]] = {}
        for held in self._ends.values():
            by_service.setdefault(held.end.service, []).append(held)
        self._services = frozenset(by_service)
        self._suspects, self._verdicts = {}, {}
        for service, ends in by_service.items():
            self._judge_service(service, ends, now)
        known = itertools.chain(self._suspects, self._verdicts)
        self._heads = frozenset(request[:HEAD_BYTES] for request in known)

    def _judge_service(self, service: str, ends: list[HeldEnd], now: float) -> None:
        """Judge requests with most ends first; an end that one explains counts against no other."""
        ends_by_request: dict[bytes, list[HeldEnd]] = {}
        for request, held in self._iter_evidence(ends):
            ends_by_request.setdefault(request, []).append(held)
        explained: set[tuple[str, int]] = set()
        ordered = sorted(ends_by_request, key=lambda request: -len(ends_by_request[request]))
        for _, group in itertools.groupby(
            ordered, key=lambda request: len(ends_by_request[request])
        ):
            open_ends = [held for held in ends if held.end.upstream not in explained]
            open_upstreams = {held.end.upstream for held in open_ends}
            against = {
                request: [h for h in ends_by_request[request] if h.end.upstream in open_upstreams]
                for request in group
            }
            for request, its_ends in against.items():
                verdict = self._verdict_on(
                    request, service, its_ends, open_ends, ends_by_request, now
                )
                if verdict is not None:
                    self._verdicts[request] = verdict
                    explained.update(held.end.upstream for held in its_ends)
                elif its_ends:
                    self._suspects[request] = service
        # Requests with as many ends were judged together, before they explained each other's ends.
        for request in list(self._suspects):
            if self._suspects[request] == service and all(
                held.end.upstream in explained for held in ends_by_request[request]
            ):
                del self._suspects[request]

    def _iter_evidence(self, ends: list[HeldEnd]) -> Iterator[tuple[bytes, HeldEnd]]:
        for held in ends:
            for request in held.end.requests:
                clearance = self._cleared.get(request)
                if clearance is None or held.ended_ms > clearance.cleared_ms:
                    yield request, held

    def _verdict_on(
        self,
        request: bytes,
        service: str,
        its_ends: list[HeldEnd],
        open_ends: list[HeldEnd],
        ends_by_request: dict[bytes, list[HeldEnd]],
        now: float,
    ) -> RequestVerdict | None:
        if len(its_ends) >= self._cfg.max_ends:
            evidence, ttl_ms = MANY_ENDS, self._cfg.evidence_ttl_ms
        elif len(its_ends) >= MIN_ENDS and self._is_common_to_all(
            request, its_ends, open_ends, ends_by_request
        ):
            evidence, ttl_ms = COMMON_TO_TWO, self._cfg.two_ends_ttl_ms
        else:
            return None
        until_ms = max(held.ended_ms for held in its_ends) + ttl_ms
        if until_ms <= now:
            return None
        return RequestVerdict(request, service, evidence, tuple(its_ends), until_ms)

    @staticmethod
    def _is_common_to_all(
        request: bytes,
        its_ends: list[HeldEnd],
        open_ends: list[HeldEnd],
        ends_by_request: dict[bytes, list[HeldEnd]],
    ) -> bool:
        """Return whether one request alone explains every end of the service.

        Where upstreams end without it as well, they may crash by themselves, and two ends that
        met one request may be chance.
        """
        if len(its_ends) < len(open_ends) or any(h.end.unidentified for h in its_ends):
            return False
        return not any(
            other != request and all(held in ends_by_request.get(other, ()) for held in its_ends)
            for other in its_ends[0].end.requests
        )
