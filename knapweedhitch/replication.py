"""Log replication: the leader's tasks for each peer, and the follower's side."""

from __future__ import annotations

import dataclasses

import trio

from knapweedhitch import logs, snapshot
from knapweedhitch.clock import MS_PER_S, now_ms
from knapweedhitch.exceptions import CodecError, CorruptFile, PeerError
from knapweedhitch.messages import AppendReply, AppendRequest, SnapshotChunk, SnapshotReply
from knapweedhitch.raftstate import Progress, ReplicaState, Role
from knapweedhitch.voters import VoterChanges

MAX_APPEND_BYTES = 524_288


@dataclasses.dataclass
class _SnapshotTransfer:
    """Collect the received chunks of one snapshot."""

    key: tuple[str, int, int]
    data: bytearray


class Replication:
    """Send entries and snapshots to the peers, or store those of the leader."""

    def __init__(self, state: ReplicaState, voter_changes: VoterChanges) -> None:
        self._s = state
        self._voter_changes = voter_changes
        self._transfer: _SnapshotTransfer | None = None

    async def run_peer(self, node_id: str) -> None:
        """Keep one peer up to date while this replica leads."""
        s, peer = self._s, self._s.progress[node_id]
        while s.role is not Role.STOPPED and s.progress.get(node_id) is peer:
            if s.role is not Role.LEADER:
                await peer.wake_sender.wait()
                continue
            try:
                await self._send_entries(peer)
            except PeerError:
                await trio.sleep(s.cfg.heartbeat_ms / MS_PER_S)
                continue
            if peer.next_index > s.store.last_index:
                await peer.wake_sender.wait(s.cfg.heartbeat_ms)

    async def run_heartbeat(self, node_id: str) -> None:
        """Send heartbeats to one peer while this replica leads."""
        s, peer = self._s, self._s.progress[node_id]
        while s.role is not Role.STOPPED and s.progress.get(node_id) is peer:
            if s.role is not Role.LEADER:
                await peer.wake_heartbeat.wait()
                continue
            # Heartbeats have their own task so that they continue while a peer syncs a batch.
            term, sent_ms = s.store.term, now_ms()
            req = AppendRequest(term, s.node_id, 0, 0, 0, (), s.store.disk_id, 0)
            try:
                reply = await s.transport.call(node_id, req, s.cfg.call_timeout_ms)
                if isinstance(reply, AppendReply):
                    await self._check_reply(peer, term, sent_ms, reply)
            except PeerError:
                pass
            await trio.sleep(s.cfg.heartbeat_ms / MS_PER_S)

    async def _send_entries(self, peer: Progress) -> None:
        s = self._s
        previous_index = peer.next_index - 1
        previous_term = s.store.term_at(previous_index)
        if previous_term is None:
            await self._send_snapshot(peer)
            return
        entries = s.store.entries_from(peer.next_index, s.cfg.max_batch_entries, MAX_APPEND_BYTES)
        term, sent_ms = s.store.term, now_ms()
        req = AppendRequest(
            term,
            s.node_id,
            previous_index,
            previous_term,
            s.commit_index,
            entries,
            s.store.disk_id,
            s.durable_index,
        )
        reply = await s.transport.call(peer.node_id, req, s.cfg.call_timeout_ms)
        if isinstance(reply, AppendReply) and await self._check_reply(peer, term, sent_ms, reply):
            self._record_match(peer, reply)

    async def _check_reply(
        self, peer: Progress, term: int, sent_ms: float, reply: AppendReply | SnapshotReply
    ) -> bool:
        """Return whether a reply is of the current term, and record its acknowledgement.

        Raises StorageError when a higher term cannot be stored.
        """
        s = self._s
        if reply.term > s.store.term:
            async with s.lock:
                if reply.term > s.store.term:
                    await s.adopt_term(reply.term)
            return False
        if s.role is not Role.LEADER or s.store.term != term or reply.term != term:
            return False
        has_lost_data = s.promises.has_lost_data(peer.node_id, reply.disk_id)
        peer.record_disk("" if has_lost_data else reply.disk_id)
        peer.acked_ms = max(peer.acked_ms, sent_ms)
        if reply.disk_id:
            s.promises.record_term(peer.node_id, reply.disk_id, reply.term)
        return True

    def _record_match(self, peer: Progress, reply: AppendReply) -> None:
        s = self._s
        if reply.ok:
            self._record_ack(peer, reply.match_index)
        else:
            if reply.disk_id and reply.match_index < peer.match_index:
                # Within a term, the acknowledged prefix of a follower's log must not shrink.
                s.counters.add("consensus_lower_ack", peer.node_id)
                s.promises.record_loss(peer.node_id, reply.disk_id)
                peer.record_disk("")
            peer.next_index = max(1, min(peer.next_index - 1, reply.match_index + 1))
        s.advance_commit()
        self._voter_changes.manage()

    def _record_ack(self, peer: Progress, index: int) -> None:
        s = self._s
        peer.match_index = max(peer.match_index, index)
        peer.next_index = peer.match_index + 1
        if peer.disk_id:
            position = (s.store.term_at(index) or 0, index)
            s.promises.record_ack(peer.node_id, peer.disk_id, s.store.term, position)

    async def _send_snapshot(self, peer: Progress) -> None:
        s = self._s
        snap = s.store.snapshot
        if snap is None:
            return
        data, offset, term = snapshot.encode(snap), 0, s.store.term
        while s.role is Role.LEADER and s.store.term == term:
            chunk = data[offset : offset + s.cfg.max_snapshot_chunk_bytes]
            is_last = offset + len(chunk) == len(data)
            sent_ms = now_ms()
            req = SnapshotChunk(term, s.node_id, snap.index, snap.term, offset, chunk, is_last)
            reply = await s.transport.call(peer.node_id, req, s.cfg.call_timeout_ms)
            if not isinstance(reply, SnapshotReply):
                return
            if not await self._check_reply(peer, term, sent_ms, reply):
                return
            if is_last and reply.next_offset == len(data):
                self._record_ack(peer, snap.index)
                s.counters.add("consensus_snapshots_sent")
                s.advance_commit()
                return
            offset = min(reply.next_offset, len(data))

    async def on_append(self, node_id: str, msg: AppendRequest) -> AppendReply:
        """Store the leader's entries and reply once they are synced; raises StorageError."""
        s = self._s
        self._record_contact(msg.term)
        if self._is_plain_heartbeat(msg):
            return self._reply(True, 0)
        async with s.running():
            if msg.term < s.store.term:
                return self._reply(False, 0)
            await self._follow_leader(msg.term, msg.leader_id)
            local_term = s.store.term_at(msg.previous_index)
            if msg.previous_index < s.store.first_index - 1:
                # Both logs are equal up to the commit index.
                return self._reply(True, s.commit_index)
            if local_term != msg.previous_term:
                return self._reply(False, self._last_possible_match(msg.previous_index))
            await self._store_entries(msg)
            match_index = msg.previous_index + len(msg.entries)
            s.commit_to(min(msg.commit_index, match_index))
            synced_index = min(msg.synced_index, match_index)
            position = (s.store.term_at(synced_index) or 0, synced_index)
            s.promises.record_ack(msg.leader_id, msg.disk_id, msg.term, position)
            return self._reply(True, match_index)

    def _is_plain_heartbeat(self, msg: AppendRequest) -> bool:
        """Return whether the reply needs no disk write and so need not wait for the lock."""
        s = self._s
        return (
            not msg.entries
            and msg.previous_index == 0
            and s.role is Role.FOLLOWER
            and (msg.term, msg.leader_id) == (s.store.term, s.leader_id)
        )

    def _record_contact(self, term: int) -> None:
        # Recorded before taking the lock: a slow local disk must not look like a silent leader.
        if term >= self._s.store.term:
            self._s.last_contact_ms = now_ms()

    async def _follow_leader(self, term: int, leader_id: str) -> None:
        s = self._s
        if s.role is Role.LEADER and term == s.store.term:
            s.counters.add("consensus_two_leaders")
            logs.warning("two_leaders", node=s.node_id, other=leader_id, term=term)
        if term > s.store.term or s.role is not Role.FOLLOWER:
            await s.adopt_term(term, leader_id)
        s.leader_id = leader_id

    def _last_possible_match(self, previous_index: int) -> int:
        """Return the highest index at which the logs may match, skipping the conflicting term."""
        s = self._s
        if previous_index > s.store.last_index:
            return s.store.last_index
        term, index = s.store.term_at(previous_index), previous_index - 1
        while index > s.commit_index and s.store.term_at(index) == term:
            index -= 1
        return index

    async def _store_entries(self, msg: AppendRequest) -> None:
        s = self._s
        new_entries = [e for e in msg.entries if s.store.term_at(e.index) != e.term]
        if not new_entries:
            return
        first = new_entries[0].index
        if first <= s.commit_index:
            raise CorruptFile("log", 0, f"committed entry {first} differs from the leader's")
        added = msg.entries[first - msg.previous_index - 1 :]
        if first <= s.store.last_index:
            s.truncate_members(first)
            await s.store.replace_tail(added)
        else:
            s.store.stage(added)
            await s.store.flush(added)
        for entry in added:
            s.record_members(entry)

    async def on_snapshot(self, node_id: str, msg: SnapshotChunk) -> SnapshotReply:
        """Store one chunk of a snapshot and install it with the last one; raises StorageError."""
        s = self._s
        self._record_contact(msg.term)
        async with s.running():
            if msg.term < s.store.term:
                return SnapshotReply(s.store.term, 0, s.confirmed_disk_id)
            await self._follow_leader(msg.term, msg.leader_id)
            key = (msg.leader_id, msg.last_term, msg.last_index)
            if msg.offset == 0 or self._transfer is None or self._transfer.key != key:
                self._transfer = _SnapshotTransfer(key, bytearray())
            transfer = self._transfer
            if msg.offset == len(transfer.data):
                transfer.data += msg.data
            size = len(transfer.data)
            if size > s.cfg.max_snapshot_bytes:
                self._transfer, size = None, 0
            elif msg.is_last and msg.offset + len(msg.data) == size:
                if not await self._install(bytes(transfer.data)):
                    size = 0
                self._transfer = None
            return SnapshotReply(s.store.term, size, s.confirmed_disk_id)

    async def _install(self, data: bytes) -> bool:
        """Install a received snapshot and return True, or False if it is damaged.

        The leader sends a damaged snapshot again. Raises StorageError.
        """
        s = self._s
        try:
            snap = snapshot.decode(data, "received snapshot")
            # Once it is durable, a replica that refuses its state would not start again.
            s.machine.check(snap.state)
        except (CodecError, CorruptFile) as exc:
            s.counters.add("consensus_snapshot_refused")
            logs.warning("snapshot_refused", node=s.node_id, detail=exc)
            return False
        if snap.index <= s.commit_index:
            return True
        await s.store.install_snapshot(snap)
        s.restore(snap)
        s.counters.add("consensus_snapshots_installed")
        for index in range(s.store.first_index, s.store.last_index + 1):
            entry = s.store.entry(index)
            if entry is not None:
                s.record_members(entry)
        return True

    def _reply(self, ok: bool, match_index: int) -> AppendReply:
        return AppendReply(self._s.store.term, ok, match_index, self._s.confirmed_disk_id)
