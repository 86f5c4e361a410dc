"""The member table, with the precedence of records, an index by service and bucket hashes."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

from msgspec import structs

from knapweedhitch.departures import DepartureTable
from knapweedhitch.messages import Verdict
from knapweedhitch.model import Member, MemberEvent, MemberState, Target, UpstreamState

# The number of a bucket fits in one byte of a digest.
BUCKETS = 256
HASH_BYTES = 4
LIVE_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})
STATE_RANKS = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}

Precedence = tuple[int, int, int]


def precedence(item: Member | Verdict) -> Precedence:
    """Return the sort key of records and verdicts of one node; the greater one supersedes.

    A later start time comes first, then the incarnation, which only the node itself raises, then
    the more severe state.
    """
    return item.started_wall_ms, item.incarnation, STATE_RANKS[item.state]


def verdict_of(member: Member) -> Verdict:
    """Return the verdict of a member record: its state without its content."""
    return Verdict(member.node_id, member.started_wall_ms, member.incarnation, member.state)


def bucket_of(node_id: str) -> int:
    """Return the anti-entropy bucket of a node id."""
    return hashlib.blake2b(node_id.encode(), digest_size=2).digest()[0] % BUCKETS


def _hash_member(member: Member) -> int:
    text = f"{member.node_id}|{member.started_wall_ms}|{member.incarnation}|{member.state.value}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")


def _parse_digest(digest: bytes) -> list[int] | None:
    """Return the hashes of all buckets, None if the digest has neither form."""
    if len(digest) == BUCKETS * HASH_BYTES:
        steps = range(0, len(digest), HASH_BYTES)
        return [int.from_bytes(digest[i : i + HASH_BYTES], "big") for i in steps]
    hashes = [0] * BUCKETS
    if len(digest) % (HASH_BYTES + 1) or len(digest) > BUCKETS * HASH_BYTES:
        return None
    for i in range(0, len(digest), HASH_BYTES + 1):
        hashes[digest[i]] = int.from_bytes(digest[i + 1 : i + 1 + HASH_BYTES], "big")
    return hashes


class MemberTable:
    """Store the newest record of every node, with indexes of targets and buckets."""

    def __init__(self, now_ms: Callable[[], float], notify: Callable[[MemberEvent], None]) -> None:
        self._now_ms = now_ms
        self._notify = notify
        self._records: dict[str, Member] = {}
        self._changed_ms: dict[str, float] = {}
        self._live: dict[str, Member] = {}
        self._buckets: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._hashes = [0] * BUCKETS
        self._targets_by_service: dict[str, dict[str, Target]] = {}
        self._target_tuples: dict[str, tuple[Target, ...]] = {}
        self.live: Mapping[str, Member] = MappingProxyType(self._live)
        self.departures = DepartureTable()

    def __len__(self) -> int:
        return len(self._records)

    def get(self, node_id: str) -> Member | None:
        """Return the record of a node in any state."""
        return self._records.get(node_id)

    def targets(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service; the tuple is cached until they change."""
        cached = self._target_tuples.get(service)
        if cached is None:
            by_node = self._targets_by_service.get(service)
            if by_node is None:
                return ()
            cached = self._target_tuples[service] = tuple(by_node.values())
        return cached

    def count_entry_nodes(self) -> int:
        """Return the number of members in any state that are not control instances."""
        return sum(1 for member in self._records.values() if not member.is_control)

    def dead_members(self) -> list[Member]:
        """Return the members in state dead."""
        return [m for m in self._records.values() if m.state is MemberState.DEAD]

    def put(self, member: Member) -> None:
        """Replace the record of a node and notify the subscribers."""
        node_id = member.node_id
        old = self._records.get(node_id)
        self._records[node_id] = member
        self._changed_ms[node_id] = self._now_ms()
        if member.upstream is not None and member.upstream.state is UpstreamState.LEAVING:
            self.departures.record(member.upstream.instance_id, member.upstream.incarnation)
        self._index(old, member)
        self._notify(MemberEvent(node_id, old, member))

    def _index(self, old: Member | None, new: Member | None) -> None:
        node_id = (old or new).node_id  # type: ignore[union-attr]
        bucket = bucket_of(node_id)
        if old is not None and old.state in LIVE_STATES:
            self._hashes[bucket] ^= _hash_member(old)
        if new is not None and new.state in LIVE_STATES:
            self._hashes[bucket] ^= _hash_member(new)
            self._live[node_id] = new
        else:
            self._live.pop(node_id, None)
        if new is None:
            self._buckets[bucket].discard(node_id)
        else:
            self._buckets[bucket].add(node_id)
        self._index_target(old, new)

    def record_departure(self, node_id: str, instance_id: str, incarnation: int) -> None:
        """Record that the upstream beside a node departed; it is no target from now on."""
        self.departures.record(instance_id, incarnation)
        member = self._records.get(node_id)
        self._index_target(member, member)

    def _indexed_target(self, member: Member) -> Target | None:
        if member.upstream is None:
            return None
        by_node = self._targets_by_service.get(member.upstream.service, {})
        return by_node.get(member.node_id)

    def _to_target(self, member: Member) -> Target | None:
        upstream = member.upstream
        if upstream is None or member.state not in LIVE_STATES:
            return None
        leaving = upstream.state is UpstreamState.LEAVING or self.departures.includes(upstream)
        return Target(
            member.node_id,
            member.domain,
            upstream,
            suspect=member.state is MemberState.SUSPECT,
            draining=member.draining or leaving,
        )

    def _index_target(self, old: Member | None, new: Member | None) -> None:
        before = self._indexed_target(old) if old is not None else None
        after = self._to_target(new) if new is not None else None
        if before == after:
            return
        if before is not None:
            name = before.upstream.service
            self._target_tuples.pop(name, None)
            if after is None or after.upstream.service != name:
                del self._targets_by_service[name][before.node_id]
                if not self._targets_by_service[name]:
                    del self._targets_by_service[name]
        if after is not None:
            self._target_tuples.pop(after.upstream.service, None)
            self._targets_by_service.setdefault(after.upstream.service, {})[after.node_id] = after

    def expire(self, retention_ms: float) -> None:
        """Remove the nodes that have been dead or left for the retention time."""
        cutoff_ms = self._now_ms() - retention_ms
        for node_id, member in list(self._records.items()):
            if member.state not in LIVE_STATES and self._changed_ms[node_id] <= cutoff_ms:
                self._remove(member)

    def drop_oldest_dead(self) -> bool:
        """Remove the node that has been dead or left longest; return False if there is none."""
        dead_members = [m for m in self._records.values() if m.state not in LIVE_STATES]
        if not dead_members:
            return False
        self._remove(min(dead_members, key=lambda member: self._changed_ms[member.node_id]))
        return True

    def _remove(self, member: Member) -> None:
        del self._records[member.node_id], self._changed_ms[member.node_id]
        self._index(member, None)

    # Anti-entropy. The hashes cover live members only: dead records expire at different times on
    # different nodes, and must neither count as a difference nor return from another node.

    def digest(self) -> bytes:
        """Return the hashes of all buckets, or only those that are not zero if that is shorter."""
        sparse = b"".join(
            bytes((bucket,)) + value.to_bytes(HASH_BYTES, "big")
            for bucket, value in enumerate(self._hashes)
            if value
        )
        if len(sparse) < BUCKETS * HASH_BYTES:
            return sparse
        return b"".join(value.to_bytes(HASH_BYTES, "big") for value in self._hashes)

    def differing_buckets(self, digest: bytes) -> tuple[int, ...]:
        """Return the buckets whose hashes differ, or all buckets for a digest of another form."""
        other = _parse_digest(digest)
        if other is None:
            return tuple(range(BUCKETS))
        return tuple(i for i in range(BUCKETS) if self._hashes[i] != other[i])

    def members_in_buckets(self, buckets: Iterable[int]) -> list[Member]:
        """Return the members in the buckets, in any state."""
        return [
            self._records[node_id]
            for bucket in buckets
            if 0 <= bucket < BUCKETS
            for node_id in self._buckets[bucket]
        ]


def with_state(member: Member, state: MemberState) -> Member:
    """Return a copy of the record with another state."""
    return structs.replace(member, state=state)
