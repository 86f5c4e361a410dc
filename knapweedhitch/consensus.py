"""One replica of the Raft log: its tasks, proposals, bootstrap and freshness proof."""

from __future__ import annotations

import math
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, TypeVar

import trio

from knapweedhitch import logs
from knapweedhitch.clock import MS_PER_S, now_ms
from knapweedhitch.codec import Message
from knapweedhitch.counters import Counters
from knapweedhitch.disk import Disk
from knapweedhitch.election import Elections
from knapweedhitch.exceptions import (
    CorruptFile,
    InvariantViolated,
    NotLeader,
    ReplicaBusy,
    ReplicaStopped,
    StorageError,
)
from knapweedhitch.messages import (
    AppendRequest,
    HandOver,
    Introduce,
    IntroduceReply,
    LogEntry,
    SnapshotChunk,
    VoteRequest,
)
from knapweedhitch.raftstate import (
    CHANGE,
    NOOP,
    Machine,
    Proposal,
    ReplicaState,
    Role,
    Transport,
)
from knapweedhitch.readmission import Readmission
from knapweedhitch.replication import Replication
from knapweedhitch.settings import Settings
from knapweedhitch.snapshot import Snapshot
from knapweedhitch.store import Store
from knapweedhitch.voters import GroupView, VoterChanges

M = TypeVar("M", bound=Message)


class Replica:
    """Replicate a log among 1, 3 or 5 members and apply it to a state machine."""

    def __init__(
        self,
        cfg: Settings,
        disk: Disk,
        transport: Transport,
        machine: Machine,
        counters: Counters,
        rng: random.Random | None = None,
        known_members: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self._known_members = known_members
        self._cfg = cfg
        self._disk = disk
        self._transport = transport
        self._machine = machine
        self._counters = counters
        self._rng = rng or random.Random()
        self._state: ReplicaState | None = None
        self._scope = trio.CancelScope()
        self._is_stopping = False

    async def start(self, nursery: trio.Nursery) -> None:
        """Open the data folder and start the tasks; raises CorruptFile, StorageError."""
        await self._open()
        self._register_handler(
            VoteRequest, lambda node_id, msg: self._elections.on_vote(node_id, msg)
        )
        self._register_handler(
            AppendRequest, lambda node_id, msg: self._replication.on_append(node_id, msg)
        )
        self._register_handler(
            SnapshotChunk, lambda node_id, msg: self._replication.on_snapshot(node_id, msg)
        )
        self._register_handler(
            Introduce, lambda node_id, msg: self._readmission.on_introduce(node_id, msg)
        )
        self._register_handler(
            HandOver, lambda node_id, msg: self._voter_changes.on_hand_over(node_id, msg)
        )
        nursery.start_soon(self._run)

    async def _open(self) -> None:
        store = await self._open_store()
        s = self._state = ReplicaState(
            self._cfg, store, self._transport, self._machine, self._counters, self._rng
        )
        self._elections = Elections(s)
        self._voter_changes = VoterChanges(s, self._known_members)
        self._replication = Replication(s, self._voter_changes)
        self._readmission = Readmission(s, self.freshness_age_ms)
        logs.event(
            "replica_opened",
            node=s.node_id,
            disk=store.disk_id[:8],
            term=store.term,
            last_index=store.last_index,
            voters=",".join(sorted(s.voters)),
            group=s.group_id[:8],
        )

    async def _open_store(self) -> Store:
        cluster, node_id = self._cfg.node.cluster, self._cfg.node.id
        try:
            # A folder that is lost while this process runs may have held a vote.
            is_first_start = self._cfg.control.may_form_group and self._state is None
            return await Store.open(self._disk, cluster, node_id, is_first_start=is_first_start)
        except CorruptFile as exc:
            self._counters.add("consensus_corrupt", exc.path)
            logs.warning("corrupt_file", node=node_id, path=exc.path, offset=exc.offset, detail=exc)
            if len(self._cfg.control.members) == 1 and not self._cfg.control.admits_members:
                raise
            # The other replicas hold every accepted change. This one starts empty under a new
            # disk id and does not vote until a members entry admits that disk.
            return await Store.create(self._disk, cluster, node_id)

    async def stop(self) -> None:
        """Cancel the tasks and release the data folder."""
        self._is_stopping = True
        self._scope.cancel()
        if self._state is not None:
            self._state.become_follower(None)
            self._state.role = Role.STOPPED
        await self._disk.close()

    async def _run(self) -> None:
        reopen_ms = self._cfg.control.reopen_ms
        while not self._is_stopping:
            with trio.CancelScope() as self._scope:
                await self._run_tasks()
            if self._is_stopping or not reopen_ms:
                return
            # Opening the store rewrites the log, which makes durable what was read back.
            await trio.sleep(reopen_ms / MS_PER_S)
            try:
                await self._open()
                logs.event("replica_reopened", node=self.state.node_id)
            except StorageError as exc:
                logs.warning("replica_not_reopened", error=type(exc).__name__, detail=exc)

    async def _run_tasks(self) -> None:
        s = self.state
        if s.role is Role.STOPPED:
            return
        async with trio.open_nursery() as nursery:
            for node_id in s.progress:
                self._start_peer(nursery, node_id)
            nursery.start_soon(self._run_guarded, self._write_loop)
            nursery.start_soon(self._run_guarded, self._compact_loop)
            nursery.start_soon(self._run_guarded, self._form_group)
            nursery.start_soon(self._run_guarded, self._readmission.run)
            nursery.start_soon(self._run_guarded, self._elections.run)
            if s.cfg.admits_members:
                nursery.start_soon(self._track_members, nursery)
            await s.failed.wait()
            if s.cfg.reopen_ms:
                nursery.cancel_scope.cancel()

    def _start_peer(self, nursery: trio.Nursery, node_id: str) -> None:
        nursery.start_soon(self._run_guarded, self._replication.run_peer, node_id)
        nursery.start_soon(self._run_guarded, self._replication.run_heartbeat, node_id)

    async def _track_members(self, nursery: trio.Nursery) -> None:
        """Run peer tasks for each control instance that votes or that membership lists."""
        s = self.state
        while s.role is not Role.STOPPED:
            wanted_ids = {*s.voters, *self._known_members(), *s.configured_ids} - {s.node_id}
            for node_id in wanted_ids - s.progress.keys():
                s.add_peer(node_id)
                self._start_peer(nursery, node_id)
                logs.event("control_peer", node=s.node_id, peer=node_id, change="added")
            for node_id in s.progress.keys() - wanted_ids:
                removed = s.progress.pop(node_id)
                removed.wake_sender.set()
                removed.wake_heartbeat.set()
                logs.event("control_peer", node=s.node_id, peer=node_id, change="removed")
            await trio.sleep(s.cfg.heartbeat_ms / MS_PER_S)

    async def _run_guarded(self, fn: Callable[..., Awaitable[None]], *args: object) -> None:
        try:
            await fn(*args)
        except StorageError as exc:
            self.state.fail(exc)

    def _register_handler(
        self, msg_type: type[M], fn: Callable[[str, Any], Awaitable[Message]]
    ) -> None:
        async def handler(node_id: str, msg: Any) -> Message:
            s = self.state
            if s.role is Role.STOPPED:
                raise ReplicaStopped(f"{s.node_id} has stopped")
            try:
                return await fn(node_id, msg)
            except StorageError as exc:
                s.fail(exc)
                raise ReplicaStopped(f"{s.node_id} has stopped") from exc

        self._transport.handle(msg_type, handler)

    @property
    def state(self) -> ReplicaState:
        """Return the replica state; raises ReplicaStopped before the start."""
        if self._state is None:
            raise ReplicaStopped("the replica has not started")
        return self._state

    @property
    def is_leader(self) -> bool:
        """Return whether this replica is the leader."""
        return self._state is not None and self._state.role is Role.LEADER

    @property
    def is_stopped(self) -> bool:
        """Return whether a failed write has stopped this replica."""
        return self._state is not None and self._state.role is Role.STOPPED

    @property
    def leader_id(self) -> str | None:
        """Return the node id of the last known leader, None if unknown."""
        return self._state.leader_id if self._state is not None else None

    @property
    def group_id(self) -> str:
        """Return the random id of the group, empty until the group is formed."""
        # One that is not committed may still give way to that of another founder.
        s = self._state
        return s.members_at(s.commit_index)[0] if s is not None else ""

    def group_view(self) -> GroupView | None:
        """Return the state of the group, None unless this replica leads."""
        return self._voter_changes.view() if self._state is not None else None

    async def hand_over(self) -> None:
        """Let another instance vote in place of this one before it stops, if one is ready."""
        if self._state is not None and self._cfg.control.admits_members:
            await self._voter_changes.hand_over()

    async def propose(self, change: bytes) -> int:
        """Commit a change and return its version.

        Raises NotLeader, ReplicaBusy, ProposalUnknown, VersionConflict, InvalidChange.
        """
        s = self._state
        if s is None or s.role is not Role.LEADER:
            raise NotLeader(self.leader_id)
        if s.is_growing:
            raise ReplicaBusy("the group has not got all its voters yet")
        if len(s.pending) >= s.cfg.max_pending_proposals:
            raise ReplicaBusy(f"{len(s.pending)} proposals wait")
        proposal = Proposal(CHANGE, change)
        s.pending.append(proposal)
        s.write_needed.set()
        await proposal.done.wait()
        if proposal.error is not None:
            raise proposal.error
        if proposal.result is None:
            raise InvariantViolated("a committed change has no result")
        return proposal.result.unwrap()

    def freshness_age_ms(self) -> float | None:
        """Return the age of the leader's freshness proof, None without a proof."""
        s = self._state
        if s is None or s.role is not Role.LEADER or s.applied_index < s.noop_index:
            return None
        if s.has_overdue_proposal():
            return None
        acked_ms = s.quorum_acked_ms()
        # The clock is read last: the proof of a single member has the time of this call, and its
        # age must not be negative.
        age_ms = now_ms() - acked_ms
        return age_ms if age_ms < float("inf") else None

    async def _write_loop(self) -> None:
        s = self.state
        while s.role is not Role.STOPPED:
            await s.write_needed.wait()
            while s.pending and s.role is Role.LEADER:
                async with s.lock:
                    await self._write_batch()

    async def _write_batch(self) -> None:
        s = self.state
        if s.role is not Role.LEADER or not s.pending:
            return
        batch: list[LogEntry] = []
        while s.pending and len(batch) < s.cfg.max_batch_entries:
            proposal = s.pending.popleft()
            entry = LogEntry(
                s.store.term, s.store.last_index + len(batch) + 1, proposal.kind, proposal.body
            )
            batch.append(entry)
            s.uncommitted[entry.index] = proposal
            s.record_members(entry)
            if entry.kind == NOOP:
                s.noop_index = entry.index
        s.store.stage(batch)
        # Peers get the batch while the local disk syncs it; the local copy counts only once synced.
        s.wake_peers()
        await self._flush(batch)
        s.counters.add("consensus_syncs")
        if s.role is Role.LEADER:
            s.durable_index = max(s.durable_index, batch[-1].index)
            s.advance_commit()

    async def _flush(self, batch: list[LogEntry]) -> None:
        """Sync a batch; a leader whose disk stalls steps down. Raises StorageError."""
        s = self.state
        failure: StorageError | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_disk, s.cfg.max_sync_ms)
            try:
                await s.store.flush(batch)
            except StorageError as exc:
                # Raised inside the nursery, it would be wrapped in an exception group.
                failure = exc
            nursery.cancel_scope.cancel()
        s.is_disk_slow = False
        if failure is not None:
            raise failure

    async def _watch_disk(self, limit_ms: float) -> None:
        s = self.state
        await trio.sleep(limit_ms / MS_PER_S if limit_ms else math.inf)
        if len(s.voters) > 1:
            s.counters.add("consensus_slow_disk")
            logs.warning("disk_stalls", node=s.node_id, waited_ms=limit_ms)
            s.is_disk_slow = True
            s.become_follower(None)

    async def _compact_loop(self) -> None:
        s = self.state
        while s.role is not Role.STOPPED:
            await s.compaction_needed.wait()
            async with s.lock:
                index, term = s.applied_index, s.store.term_at(s.applied_index)
                if term is None or (s.store.snapshot and s.store.snapshot.index >= index):
                    continue
                group_id, voters = s.members_at(index)
                snap = Snapshot(index, term, voters, group_id, s.machine.snapshot())
                await s.store.save_snapshot(snap)
                s.trim_members(index)
                s.counters.add("consensus_snapshots")

    async def _form_group(self) -> None:
        """Write the first members entry once every configured member is reachable and empty.

        Where a majority may form the group without the others, it elects the one that writes it.
        """
        s = self.state
        writes_first = s.cfg.may_form_group and s.node_id == s.configured_ids[0]
        majority_at_ms = now_ms() + (s.cfg.form_without_ms or math.inf)
        while (writes_first and s.store.is_empty) or s.may_found:
            replies = await self._introduce_to_founders()
            disks = {s.node_id: s.store.disk_id, **{n: r.disk_id for n, r in replies.items()}}
            are_new = s.store.is_empty and all(reply.is_empty for reply in replies.values())
            if writes_first and are_new and len(disks) == len(s.configured_ids):
                async with s.lock:
                    if s.store.is_empty:
                        await s.write_first_members(0, disks)
                await self._elections.campaign()
                return
            is_majority = s.may_found and len(disks) > len(s.configured_ids) // 2
            if is_majority and s.leader_id is None and now_ms() >= majority_at_ms:
                await self._elections.form_group(disks)
            pause_ms = float(s.cfg.heartbeat_ms)
            if now_ms() >= majority_at_ms:
                # Members that campaign at the same moment would split the votes.
                pause_ms *= 1.0 + s.rng.random()
            await trio.sleep(pause_ms / MS_PER_S)

    async def _introduce_to_founders(self) -> dict[str, IntroduceReply]:
        """Return the replies of the other configured members whose log is empty."""
        s = self.state
        replies = await self._readmission.introduce_to_peers()
        return {n: r for n, r in replies.items() if n in s.configured_ids and not r.last_index}
