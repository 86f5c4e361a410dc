"""Verdicts on requests under which upstreams ended, from what was in progress at each end."""

from __future__ import annotations

import dataclasses
import hashlib
import itertools
from collections import Counter, OrderedDict
from collections.abc import Callable, Collection, Mapping

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


class ServiceEvidence:
    """Hold the ends of one service and the requests against which they count.

    Kept up to date with each change, because a crash with many calls in progress is followed by a
    change for each of them, and judging all of them again would stop the node for seconds.
    """

    def __init__(self) -> None:
        self.ends: dict[tuple[str, int], HeldEnd] = {}
        self.by_request: dict[bytes, dict[tuple[str, int], HeldEnd]] = {}
        # Requests with at least MIN_ENDS ends; only these can be quarantined.
        self.repeated: set[bytes] = set()
        # Ends that a quarantined request explains.
        self.explained: set[tuple[str, int]] = set()

    def add(self, request: bytes, held: HeldEnd) -> None:
        """Count an end against a request."""
        its_ends = self.by_request.setdefault(request, {})
        its_ends[held.end.upstream] = held
        if len(its_ends) >= MIN_ENDS:
            self.repeated.add(request)

    def drop(self, request: bytes, upstreams: Collection[tuple[str, int]]) -> None:
        """Count some ends no longer against a request."""
        its_ends = self.by_request.get(request, {})
        for upstream in upstreams:
            its_ends.pop(upstream, None)
        if len(its_ends) < MIN_ENDS:
            self.repeated.discard(request)
        if not its_ends:
            self.by_request.pop(request, None)

    def has_open_end(self, request: bytes) -> bool:
        """Return whether an end counts against a request and no quarantined one explains it."""
        return not self.explained.issuperset(self.by_request.get(request, ()))


class SuspectTable:
    """Hold ends and cleared requests, and judge requests by them.

    The verdicts follow from the ends, the cleared requests and the time only, so that nodes with
    the same evidence come to the same verdicts. A request stays cleared at the nodes that knew of
    it when its clearance is dropped, as there are too many.
    """

    def __init__(self, cfg: SuspectSettings, now_ms: Callable[[], float]) -> None:
        self._cfg = cfg
        self._now_ms = now_ms
        self._ends: OrderedDict[tuple[str, int], HeldEnd] = OrderedDict()
        self._cleared: OrderedDict[bytes, Clearance] = OrderedDict()
        self._services: dict[str, ServiceEvidence] = {}
        self._verdicts: dict[bytes, RequestVerdict] = {}
        # Heads of the requests against which ends count, with the number of pairs of both.
        self._heads: Counter[bytes] = Counter()
        self._needs_judgement = False

    @property
    def is_empty(self) -> bool:
        """Return whether no end counts against any request."""
        return not self._heads

    def knows_head(self, head: bytes) -> bool:
        """Return whether ends count against a request with this head."""
        return head in self._heads

    def is_suspect(self, request: bytes) -> bool:
        """Return whether an end may be the fault of a request that is not quarantined."""
        verdict = self._verdicts.get(request)
        if verdict is not None:
            # An expired one is held until the next judgement.
            return verdict.until_ms <= self._now_ms()
        return any(evidence.has_open_end(request) for evidence in self._services.values())

    def is_accused(self, request: bytes) -> bool:
        """Return whether there is evidence against a request, quarantined or not."""
        return self.is_suspect(request) or self.verdict(request) is not None

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
        return {
            request: service
            for service, evidence in self._services.items()
            for request in evidence.by_request
            if request not in self._verdicts and evidence.has_open_end(request)
        }

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
            self._drop_end(oldest)
        held = self._ends[end.upstream] = HeldEnd(end, ended_ms)
        self._evidence_of(end.service).ends[end.upstream] = held
        for request in end.requests:
            self._count(request, held)
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
        if known is not None and cleared_ms < known.cleared_ms:
            # The wall clocks of two nodes differ. All nodes go by the mark.
            self._count_again(request)
        if len(self._cleared) > self._cfg.max_cleared_held:
            # The ends that it covered stay dropped here. If they counted again, requests that
            # succeed all the time would be suspects again after each clearance of others.
            self._cleared.popitem(last=False)
        if self._drop_cleared(request, cleared_ms) or self._needs_judgement:
            self._judge()
        return True

    def expire(self) -> None:
        """Drop what is older than the lifetime of evidence."""
        oldest_ms = self._now_ms() - self._cfg.evidence_ttl_ms
        old_ends = [key for key, held in self._ends.items() if held.ended_ms <= oldest_ms]
        old_cleared = [r for r, held in self._cleared.items() if held.cleared_ms <= oldest_ms]
        for key in old_ends:
            self._drop_end(key)
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

    # Which ends count against which request

    def _evidence_of(self, service: str) -> ServiceEvidence:
        return self._services.setdefault(service, ServiceEvidence())

    def _count(self, request: bytes, held: HeldEnd) -> None:
        clearance = self._cleared.get(request)
        if clearance is not None and held.ended_ms <= clearance.cleared_ms:
            return
        evidence = self._evidence_of(held.end.service)
        if request not in evidence.by_request:
            self._heads[request[:HEAD_BYTES]] += 1
        evidence.add(request, held)

    def _drop(
        self, evidence: ServiceEvidence, request: bytes, upstreams: Collection[tuple[str, int]]
    ) -> None:
        if request not in evidence.by_request:
            return
        evidence.drop(request, upstreams)
        if request not in evidence.by_request:
            head = request[:HEAD_BYTES]
            self._heads[head] -= 1
            if not self._heads[head]:
                del self._heads[head]

    def _drop_end(self, upstream: tuple[str, int]) -> None:
        end = self._ends.pop(upstream).end
        evidence = self._evidence_of(end.service)
        del evidence.ends[upstream]
        for request in end.requests:
            self._drop(evidence, request, (upstream,))
        if not evidence.ends:
            self._services.pop(end.service, None)

    def _drop_cleared(self, request: bytes, cleared_ms: float) -> bool:
        """Drop the ends up to a time against a request; return whether there were any."""
        has_changed = False
        for evidence in self._services.values():
            its_ends = evidence.by_request.get(request, {})
            old = [key for key, held in its_ends.items() if held.ended_ms <= cleared_ms]
            self._drop(evidence, request, old)
            has_changed = has_changed or bool(old)
        return has_changed

    def _count_again(self, request: bytes) -> None:
        """Count the ends that only an earlier clearance covered."""
        for held in self._ends.values():
            if request in held.end.requests:
                self._count(request, held)
                self._needs_judgement = True

    # Judgement

    def _judge(self) -> None:
        now = self._now_ms()
        self._needs_judgement = False
        self._verdicts = {}
        for service, evidence in self._services.items():
            self._judge_service(service, evidence, now)

    def _judge_service(self, service: str, evidence: ServiceEvidence, now: float) -> None:
        """Judge requests with most ends first; an end that one explains counts against no other."""
        by_request = evidence.by_request
        explained: set[tuple[str, int]] = set()
        ordered = sorted(evidence.repeated, key=lambda request: -len(by_request[request]))
        for _, group in itertools.groupby(ordered, key=lambda request: len(by_request[request])):
            open_ends = [held for key, held in evidence.ends.items() if key not in explained]
            # Requests with as many ends are judged before they explain each other's ends.
            against = {
                request: [held for key, held in by_request[request].items() if key not in explained]
                for request in group
            }
            for request, its_ends in against.items():
                verdict = self._verdict_on(request, service, its_ends, open_ends, by_request, now)
                if verdict is not None:
                    self._verdicts[request] = verdict
                    explained.update(held.end.upstream for held in its_ends)
        evidence.explained = explained

    def _verdict_on(
        self,
        request: bytes,
        service: str,
        its_ends: list[HeldEnd],
        open_ends: list[HeldEnd],
        ends_by_request: Mapping[bytes, Mapping[tuple[str, int], HeldEnd]],
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
        ends_by_request: Mapping[bytes, Mapping[tuple[str, int], HeldEnd]],
    ) -> bool:
        """Return whether one request alone explains every end of the service.

        Where upstreams end without it as well, they may crash by themselves, and two ends that
        met one request may be chance.
        """
        if len(its_ends) < len(open_ends) or any(h.end.unidentified for h in its_ends):
            return False
        return not any(
            other != request
            and all(h.end.upstream in ends_by_request.get(other, ()) for h in its_ends)
            for other in its_ends[0].end.requests
        )
