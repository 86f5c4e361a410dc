"""Anti-entropy: compare and exchange the member tables of two nodes over a link."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from knapweedhitch.exceptions import PeerError
from knapweedhitch.members import LIVE_STATES, precedence, verdict_of
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
# Limit of the records of about 150 bytes in one message; a join takes several exchanges.
MAX_RECORDS = 1_000
MAX_VERDICTS = 10_000
MAX_EXCHANGES = 48
MAX_QUEUED_SYNCS = 16


class Syncer:
    """Sync with a random member in each interval, and at once with a node that rejoined."""

    def __init__(
        self, members: Membership, peers: Peers, cfg: MembershipSettings, rng: random.Random
    ) -> None:
        self._members = members
        self._peers = peers
        self._cfg = cfg
        self._rng = rng
        self._queue: list[str] = []
        self._wakeup = trio.Event()
        peers.handle(SyncDigest, self._on_digest)
        peers.handle(SyncExchange, self._on_exchange)

    def queue_sync(self, node_id: str) -> None:
        """Queue a sync with a node after the current sync."""
        if node_id not in self._queue and len(self._queue) < MAX_QUEUED_SYNCS:
            self._queue.append(node_id)
        self._wakeup.set()

    def queue_random_sync(self) -> None:
        """Queue a sync with a random member."""
        others = self._members.sample_live(1)
        if others:
            self.queue_sync(others[0].node_id)

    async def run(self) -> None:
        """Run the queued syncs one after another."""
        while True:
            while self._queue:
                await self._sync(self._queue.pop(0))
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
            # Keeping a link to each randomly chosen node would cost heartbeats.
            self._peers.release_link(node_id)

    async def _exchange(self, node_id: str) -> bool:
        """Compare and exchange once; return whether another exchange is needed."""
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
        exchange_reply = await self._peers.call(node_id, exchange, CALL_TIMEOUT_MS)
        if isinstance(exchange_reply, SyncMembers):
            self._members.merge(exchange_reply.members, ())
        return len(wanted) > MAX_RECORDS or len(records) > MAX_RECORDS

    def _compare(self, reply: SyncVerdicts) -> tuple[list[str], list[Member], list[Verdict]]:
        wanted: list[str] = []
        records: list[Member] = []
        verdicts: list[Verdict] = []
        compared = set()
        for verdict in reply.verdicts:
            compared.add(verdict.node_id)
            current = self._members.table.get(verdict.node_id)
            if current is None or precedence(verdict) > precedence(current):
                if verdict.state in LIVE_STATES:
                    wanted.append(verdict.node_id)
                else:
                    self._members.apply_verdict(verdict)
            elif precedence(verdict) < precedence(current):
                if current.state in LIVE_STATES:
                    records.append(current)
                else:
                    verdicts.append(verdict_of(current))
        for member in self._members.table.members_in_buckets(reply.buckets):
            if member.node_id not in compared and member.state in LIVE_STATES:
                records.append(member)
        return wanted, records, verdicts

    async def _on_digest(self, node_id: str, msg: SyncDigest) -> SyncVerdicts:
        table = self._members.table
        buckets = table.differing_buckets(msg.hashes)
        members = table.members_in_buckets(buckets)[:MAX_VERDICTS]
        return SyncVerdicts(buckets, tuple(verdict_of(member) for member in members))

    async def _on_exchange(self, node_id: str, msg: SyncExchange) -> SyncMembers:
        self._members.merge(msg.members, msg.verdicts)
        records = (self._members.table.get(n) for n in msg.wanted[:MAX_RECORDS])
        return SyncMembers(tuple(m for m in records if m is not None and m.state in LIVE_STATES))
