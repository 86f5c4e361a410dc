"""Anti-entropy: compare the member tables of two nodes over a link."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from knapweedhitch.exceptions import PeerError
from knapweedhitch.members import LIVE, precedence, verdict_of
from knapweedhitch.messages import (
    SyncDigest,
    SyncExchange,
    SyncMembers,
    SyncVerdicts,
    Verdict,
)
from knapweedhitch.model import Member
from knapweedhitch.peers import Peers
from knapweedhitch.settings import MembershipSettings

if TYPE_CHECKING:
    from knapweedhitch.membership import Membership

CALL_TIMEOUT_MS = 2_000.0
# One message holds at most this many records of some 150 bytes; a join takes several exchanges.
MAX_RECORDS = 1_000
MAX_VERDICTS = 10_000
MAX_EXCHANGES = 48
MAX_WAITING = 16


class Syncer:
    """Sync with a random member each interval, and at once with a node that came back."""

    def __init__(
        self, members: Membership, peers: Peers, cfg: MembershipSettings, rng: random.Random
    ) -> None:
        self._members = members
        self._peers = peers
        self._cfg = cfg
        self._rng = rng
        self._waiting: list[str] = []
        self._wakeup = trio.Event()
        peers.handle(SyncDigest, self._on_digest)
        peers.handle(SyncExchange, self._on_exchange)

    def sync_soon(self, node_id: str) -> None:
        """Sync with a node as soon as the running sync has ended."""
        if node_id not in self._waiting and len(self._waiting) < MAX_WAITING:
            self._waiting.append(node_id)
        self._wakeup.set()

    def wake(self) -> None:
        """Sync with a random member."""
        others = self._members.choose(1)
        if others:
            self.sync_soon(others[0].node_id)

    async def run(self) -> None:
        """Run the syncs one after the other."""
        while True:
            while self._waiting:
                await self._sync(self._waiting.pop(0))
            self._wakeup = trio.Event()
            await self._wakeup.wait()

    async def _sync(self, node_id: str) -> None:
        counters = self._members.counters
        was_linked = node_id in self._peers.linked_peers()
        try:
            for _ in range(MAX_EXCHANGES):
                if not await self._exchange(node_id):
                    break
            counters.add("member_syncs", "ok")
        except PeerError as exc:
            counters.add("member_syncs", type(exc).__name__)
        if not was_linked:
            # A link to each node met by chance would cost heartbeats for nothing.
            self._peers.release_link(node_id)

    async def _exchange(self, node_id: str) -> bool:
        """Compare and exchange once; returns whether more is wanted."""
        table = self._members.table
        digest = SyncDigest(self._members.own_id, table.digest())
        reply = await self._peers.call(node_id, digest, CALL_TIMEOUT_MS)
        if not isinstance(reply, SyncVerdicts) or not reply.buckets:
            return False
        wanted, records, verdicts = self._compare(reply)
        if not (wanted or records or verdicts):
            return False
        exchange = SyncExchange(
            tuple(wanted[:MAX_RECORDS]),
            tuple(records[:MAX_RECORDS]),
            tuple(verdicts[:MAX_VERDICTS]),
        )
        answer = await self._peers.call(node_id, exchange, CALL_TIMEOUT_MS)
        if isinstance(answer, SyncMembers):
            self._members.merge(answer.members, ())
        return len(wanted) > MAX_RECORDS or len(records) > MAX_RECORDS

    def _compare(self, theirs: SyncVerdicts) -> tuple[list[str], list[Member], list[Verdict]]:
        wanted: list[str] = []
        records: list[Member] = []
        verdicts: list[Verdict] = []
        seen = set()
        for verdict in theirs.verdicts:
            seen.add(verdict.node_id)
            known = self._members.table.get(verdict.node_id)
            if known is None or precedence(verdict) > precedence(known):
                if verdict.state in LIVE:
                    wanted.append(verdict.node_id)
                else:
                    self._members.learn_verdict(verdict)
            elif precedence(verdict) < precedence(known):
                if known.state in LIVE:
                    records.append(known)
                else:
                    verdicts.append(verdict_of(known))
        for member in self._members.table.in_buckets(theirs.buckets):
            if member.node_id not in seen and member.state in LIVE:
                records.append(member)
        return wanted, records, verdicts

    async def _on_digest(self, node_id: str, msg: SyncDigest) -> SyncVerdicts:
        table = self._members.table
        buckets = table.differing(msg.hashes)
        members = table.in_buckets(buckets)[:MAX_VERDICTS]
        return SyncVerdicts(buckets, tuple(verdict_of(member) for member in members))

    async def _on_exchange(self, node_id: str, msg: SyncExchange) -> SyncMembers:
        self._members.merge(msg.members, msg.verdicts)
        found = (self._members.table.get(n) for n in msg.wanted[:MAX_RECORDS])
        return SyncMembers(tuple(m for m in found if m is not None and m.state in LIVE))
