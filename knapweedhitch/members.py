"""The table of members: which record is newer, the index by service and the bucket hashes."""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

from knapweedhitch.messages import Verdict
from knapweedhitch.model import Member, MemberEvent, MemberState, Target, UpstreamState

BUCKETS = 256
HASH_BYTES = 4
LIVE = frozenset({MemberState.ALIVE, MemberState.SUSPECT})
RANK = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}

Precedence = tuple[int, int, int]


def precedence(item: Member | Verdict) -> Precedence:
    """Return what decides between two beliefs about one node; the greater one is newer.

    A later start wins over everything, then the incarnation that only the node itself raises, then
    the graver state.
    """
    return item.started_wall_ms, item.incarnation, RANK[item.state]


def verdict_of(member: Member) -> Verdict:
    """Return what is believed of a member without its record."""
    return Verdict(member.node_id, member.started_wall_ms, member.incarnation, member.state)


def bucket_of(node_id: str) -> int:
    """Return the bucket of a node."""
    return hashlib.blake2b(node_id.encode(), digest_size=2).digest()[0] % BUCKETS


def _hash(member: Member) -> int:
    text = f"{member.node_id}|{member.started_wall_ms}|{member.incarnation}|{member.state.value}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")


def _target(member: Member) -> Target | None:
    if member.upstream is None or member.state not in LIVE:
        return None
    return Target(
        member.node_id,
        member.domain,
        member.upstream,
        suspect=member.state is MemberState.SUSPECT,
        draining=member.draining or member.upstream.state is UpstreamState.LEAVING,
    )


class MemberTable:
    """Hold the newest belief about every node."""

    def __init__(self, now_ms: Callable[[], float], notify: Callable[[MemberEvent], None]) -> None:
        self._now_ms = now_ms
        self._notify = notify
        self._known: dict[str, Member] = {}
        self._changed_ms: dict[str, float] = {}
        self._live: dict[str, Member] = {}
        self._buckets: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._hashes = [0] * BUCKETS
        self._services: dict[str, dict[str, Target]] = {}
        self._tuples: dict[str, tuple[Target, ...]] = {}
        self.live: Mapping[str, Member] = MappingProxyType(self._live)

    def __len__(self) -> int:
        return len(self._known)

    def get(self, node_id: str) -> Member | None:
        """Return the record of a node in any state."""
        return self._known.get(node_id)

    def targets(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service; costs nothing while they do not change."""
        found = self._tuples.get(service)
        if found is None:
            by_node = self._services.get(service)
            if by_node is None:
                return ()
            found = self._tuples[service] = tuple(by_node.values())
        return found

    def dead(self) -> list[Member]:
        """Return the members that are believed dead."""
        return [m for m in self._known.values() if m.state is MemberState.DEAD]

    def put(self, member: Member) -> None:
        """Replace the record of a node and tell the subscribers."""
        node_id = member.node_id
        old = self._known.get(node_id)
        self._known[node_id] = member
        self._changed_ms[node_id] = self._now_ms()
        self._index(old, member)
        self._notify(MemberEvent(node_id, old, member))

    def _index(self, old: Member | None, new: Member | None) -> None:
        node_id = (old or new).node_id  # type: ignore[union-attr]
        bucket = bucket_of(node_id)
        if old is not None and old.state in LIVE:
            self._hashes[bucket] ^= _hash(old)
        if new is not None and new.state in LIVE:
            self._hashes[bucket] ^= _hash(new)
            self._live[node_id] = new
        else:
            self._live.pop(node_id, None)
        if new is None:
            self._buckets[bucket].discard(node_id)
        else:
            self._buckets[bucket].add(node_id)
        self._index_target(old, new)

    def _index_target(self, old: Member | None, new: Member | None) -> None:
        before = _target(old) if old is not None else None
        after = _target(new) if new is not None else None
        if before == after:
            return
        if before is not None:
            name = before.upstream.service
            self._tuples.pop(name, None)
            if after is None or after.upstream.service != name:
                del self._services[name][before.node_id]
                if not self._services[name]:
                    del self._services[name]
        if after is not None:
            self._tuples.pop(after.upstream.service, None)
            self._services.setdefault(after.upstream.service, {})[after.node_id] = after

    def expire(self, retention_ms: float) -> None:
        """Forget the nodes that have been dead or gone for the retention in milliseconds."""
        limit = self._now_ms() - retention_ms
        for node_id, member in list(self._known.items()):
            if member.state not in LIVE and self._changed_ms[node_id] <= limit:
                self._remove(member)

    def drop_oldest_dead(self) -> bool:
        """Make room by forgetting the node that has been dead longest; False if none is."""
        dead = [m for m in self._known.values() if m.state not in LIVE]
        if not dead:
            return False
        self._remove(min(dead, key=lambda member: self._changed_ms[member.node_id]))
        return True

    def _remove(self, member: Member) -> None:
        del self._known[member.node_id], self._changed_ms[member.node_id]
        self._index(member, None)

    # Anti-entropy. The hashes cover live members only: dead records expire at different times on
    # different nodes, and must neither look like a difference nor come back from another node.

    def digest(self) -> bytes:
        """Return the hashes of all buckets."""
        return b"".join(value.to_bytes(HASH_BYTES, "big") for value in self._hashes)

    def differing(self, digest: bytes) -> tuple[int, ...]:
        """Return the buckets whose hash differs; all of them for a digest of another size."""
        own = self.digest()
        if len(digest) != len(own):
            return tuple(range(BUCKETS))
        return tuple(
            i
            for i in range(BUCKETS)
            if own[i * HASH_BYTES : (i + 1) * HASH_BYTES]
            != digest[i * HASH_BYTES : (i + 1) * HASH_BYTES]
        )

    def in_buckets(self, buckets: Iterable[int]) -> list[Member]:
        """Return the members of the buckets in any state."""
        return [
            self._known[node_id]
            for bucket in buckets
            if 0 <= bucket < BUCKETS
            for node_id in self._buckets[bucket]
        ]


def with_state(member: Member, state: MemberState) -> Member:
    """Return the record with another state."""
    return dataclasses.replace(member, state=state)
