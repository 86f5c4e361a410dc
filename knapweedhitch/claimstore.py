"""The in-memory store of the idempotency claims that this node votes on."""

from __future__ import annotations

import collections
import dataclasses
import heapq
from collections.abc import Callable, Mapping

from knapweedhitch.idempotency import key_time_ms
from knapweedhitch.messages import ClaimComplete, ClaimRelease, ClaimReply, ClaimRequest, Headers
from knapweedhitch.model import ClaimGroup, ClaimVerdict
from knapweedhitch.settings import ClaimSettings

MS_PER_S = 1_000
MAX_TOMBSTONES = 8
# Memory that the objects of one header take besides its text. A response may have thousands of
# headers of a few bytes.
HEADER_COST_BYTES = 128

Key = tuple[str, str]


def group_for(groups: tuple[ClaimGroup, ...], key_ms: int) -> ClaimGroup | None:
    """Return the claim group in force at a key's creation time by the wall clock, else None."""
    started = [group for group in groups if group.from_wall_ms <= key_ms]
    return max(started, key=lambda group: group.from_wall_ms, default=None)


def recorded_bytes(headers: Headers, body: bytes) -> int:
    """Return the size of a recorded response in memory."""
    headers_bytes = sum(len(name) + len(value) for name, value in headers)
    return len(body) + headers_bytes + HEADER_COST_BYTES * len(headers)


@dataclasses.dataclass(frozen=True, slots=True)
class _RecordedResponse:
    kept: bool
    status: int
    headers: Headers
    body: bytes

    @property
    def n_bytes(self) -> int:
        return recorded_bytes(self.headers, self.body)


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    claim_id: str
    digest: bytes
    deadline_ms: float
    response: _RecordedResponse | None = None


class ClaimStore:
    """Vote on claims; no vote is granted where an earlier vote may have been lost."""

    def __init__(
        self,
        cfg: ClaimSettings,
        node_id: str,
        now_ms: Callable[[], float],
        wall_ms: Callable[[], int],
        groups: Callable[[], Mapping[str, tuple[ClaimGroup, ...]] | None],
    ) -> None:
        self._cfg = cfg
        self._node_id = node_id
        self._now_ms = now_ms
        # `groups` returns None while the configuration is not fresh.
        self._groups = groups
        self._start_wall_ms = wall_ms()
        self._start_ms = now_ms()
        self._entries: dict[Key, _Entry] = {}
        self._expiry_heap: list[tuple[float, Key]] = []
        self._expired_key_ms: dict[str, int] = {}
        self._tombstones: dict[Key, collections.deque[str]] = {}
        self._tombstone_times: collections.deque[tuple[float, Key]] = collections.deque()
        self._recorded_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def recorded_bytes(self) -> int:
        """Return the total size of the recorded responses."""
        return self._recorded_bytes

    @property
    def min_key_ms(self) -> int:
        """Return the earliest wall-clock key time that this holder votes for."""
        # A previous process voted for key times up to its clock plus the skew, and the wall clock
        # may have been set back by up to the skew since then.
        return self._start_wall_ms + 2 * self._cfg.max_clock_skew_ms

    def claim(self, msg: ClaimRequest) -> ClaimReply:
        """Vote on a claim request, or return what is known of the key; raises KeyInvalid."""
        self.expire()
        key = (msg.service, msg.key)
        entry = self._entries.get(key)
        if entry is not None:
            return self._reply_to_known(entry, msg)
        key_ms = key_time_ms(msg.key)
        verdict = self._verdict(msg, key_ms)
        if verdict is ClaimVerdict.GRANTED:
            deadline_ms = self._now_ms() + msg.deadline_ms
            self._entries[key] = _Entry(msg.claim_id, msg.digest, deadline_ms)
            heapq.heappush(self._expiry_heap, (key_ms + msg.retention_s * MS_PER_S, key))
        return _reply(verdict, msg.claim_id)

    def complete(self, msg: ClaimComplete) -> bool:
        """Record the response of a run; return False unless this open claim is held here."""
        key = (msg.service, msg.key)
        entry = self._entries.get(key)
        if entry is None or entry.claim_id != msg.claim_id or entry.response is not None:
            return False
        response = _RecordedResponse(msg.kept, msg.status, msg.headers, msg.body)
        if not msg.kept or self._recorded_bytes + response.n_bytes > self._cfg.max_recorded_bytes:
            response = _RecordedResponse(False, msg.status, (), b"")
        self._recorded_bytes += response.n_bytes
        self._entries[key] = dataclasses.replace(entry, response=response)
        return True

    def release(self, msg: ClaimRelease) -> bool:
        """Release a claim and refuse later requests for it.

        Return False unless this open claim is held here.
        """
        key = (msg.service, msg.key)
        self._add_tombstone(key, msg.claim_id)
        entry = self._entries.get(key)
        if entry is None or entry.claim_id != msg.claim_id or entry.response is not None:
            return False
        # The heap entry stays; on expiry it finds either nothing or the next claim of the same key.
        del self._entries[key]
        return True

    def expire(self) -> None:
        """Drop entries whose keys can never get a vote again, and old tombstones."""
        wall_ms = self._wall_ms()
        while self._expiry_heap and self._expiry_heap[0][0] <= wall_ms:
            _, key = heapq.heappop(self._expiry_heap)
            entry = self._entries.pop(key, None)
            if entry is not None:
                self._recorded_bytes -= entry.response.n_bytes if entry.response else 0
                # Otherwise raising the retention later would allow a second run of the key.
                expired_key_ms = max(self._expired_key_ms.get(key[0], -1), key_time_ms(key[1]))
                self._expired_key_ms[key[0]] = expired_key_ms
        oldest_ms = self._now_ms() - self._cfg.tombstone_ms
        while self._tombstone_times and self._tombstone_times[0][0] <= oldest_ms:
            self._tombstones.pop(self._tombstone_times.popleft()[1], None)

    def _wall_ms(self) -> float:
        # Derived from the monotonic clock, because the wall clock may be set back at run time.
        return self._start_wall_ms + self._now_ms() - self._start_ms

    def _reply_to_known(self, entry: _Entry, msg: ClaimRequest) -> ClaimReply:
        if entry.digest != msg.digest:
            return _reply(ClaimVerdict.MISMATCH, entry.claim_id)
        if entry.response is not None:
            if not entry.response.kept:
                return _reply(ClaimVerdict.NOT_KEPT, entry.claim_id)
            response = entry.response
            verdict = ClaimVerdict.RECORDED
            return ClaimReply(
                verdict, entry.claim_id, response.status, response.headers, response.body
            )
        if entry.claim_id == msg.claim_id:
            return _reply(ClaimVerdict.GRANTED, msg.claim_id)
        is_overdue = self._now_ms() >= entry.deadline_ms
        verdict = ClaimVerdict.OUTCOME_UNKNOWN if is_overdue else ClaimVerdict.IN_PROGRESS
        return _reply(verdict, entry.claim_id)

    def _verdict(self, msg: ClaimRequest, key_ms: int) -> ClaimVerdict:
        groups = self._groups()
        if groups is None:
            return ClaimVerdict.ABSTAIN
        group = group_for(groups.get(msg.service, ()), key_ms)
        if group is None or group.epoch != msg.epoch or self._node_id not in group.holders:
            return ClaimVerdict.NOT_HOLDER
        if key_ms < self.min_key_ms:
            return ClaimVerdict.ABSTAIN
        wall_ms = self._wall_ms()
        is_expired = key_ms <= self._expired_key_ms.get(msg.service, -1)
        if is_expired or key_ms + msg.retention_s * MS_PER_S <= wall_ms:
            return ClaimVerdict.EXPIRED
        if msg.claim_id in self._tombstones.get((msg.service, msg.key), ()):
            return ClaimVerdict.RELEASED
        if key_ms > wall_ms + self._cfg.max_clock_skew_ms:
            return ClaimVerdict.FUTURE
        if len(self._entries) >= self._cfg.max_claims or len(self._expiry_heap) > self._heap_limit:
            return ClaimVerdict.FULL
        return ClaimVerdict.GRANTED

    @property
    def _heap_limit(self) -> int:
        # Released claims leave their heap entries behind; this bounds repeated claims and releases.
        return 2 * self._cfg.max_claims

    def _add_tombstone(self, key: Key, claim_id: str) -> None:
        tombstones = self._tombstones.get(key)
        if tombstones is None:
            if len(self._tombstones) >= self._cfg.max_claims:
                # Without a tombstone, a late request claims the key, which is safe.
                return
            tombstones = self._tombstones[key] = collections.deque(maxlen=MAX_TOMBSTONES)
            self._tombstone_times.append((self._now_ms(), key))
        if claim_id not in tombstones:
            tombstones.append(claim_id)


def _reply(verdict: ClaimVerdict, claim_id: str) -> ClaimReply:
    return ClaimReply(verdict, claim_id, 0, (), b"")
