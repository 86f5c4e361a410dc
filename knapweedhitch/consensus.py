"""One replica of the replicated log: its tasks, proposals, first start and freshness."""

from __future__ import annotations

import math
import random
import secrets
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, TypeVar

import trio

from knapweedhitch import logs
from knapweedhitch.codec import Message
from knapweedhitch.counters import Counters
from knapweedhitch.disk import Disk
from knapweedhitch.election import Elections
from knapweedhitch.exceptions import (
    CorruptFile,
    NotLeader,
    ReplicaBusy,
    ReplicaStopped,
    StorageError,
)
from knapweedhitch.messages import (
    AppendRequest,
    Introduce,
    LogEntry,
    SnapshotChunk,
    VoteRequest,
)
from knapweedhitch.raftstate import (
    CHANGE,
    MEMBERS,
    MS_PER_S,
    NOOP,
    Machine,
    Proposal,
    ReplicaState,
    Role,
    Transport,
    encode_members,
    now_ms,
)
from knapweedhitch.readmission import Admission
from knapweedhitch.replication import Replication
from knapweedhitch.settings import Settings
from knapweedhitch.snapshot import Snapshot
from knapweedhitch.store import Store

M = TypeVar("M", bound=Message)


class Replica:
    """Keep the replicated log of 1, 3 or 5 members and apply it to a machine."""

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
        self._answer(VoteRequest, lambda node_id, msg: self._elections.on_vote(node_id, msg))
        self._answer(AppendRequest, lambda node_id, msg: self._replication.on_append(node_id, msg))
        self._answer(
            SnapshotChunk, lambda node_id, msg: self._replication.on_snapshot(node_id, msg)
        )
        self._answer(Introduce, lambda node_id, msg: self._admission.on_introduce(node_id, msg))
        nursery.start_soon(self._run)

    async def _open(self) -> None:
        store = await self._open_store()
        s = self._state = ReplicaState(
            self._cfg, store, self._transport, self._machine, self._counters, self._rng
        )
        self._elections = Elections(s)
        self._replication = Replication(s)
        self._admission = Admission(s, self.freshness_age_ms)
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
            return await Store.open(self._disk, cluster, node_id)
        except CorruptFile as exc:
            self._counters.add("consensus_corrupt", exc.path)
            logs.warning("corrupt_file", node=node_id, path=exc.path, offset=exc.offset, detail=exc)
            if len(self._cfg.control.members) == 1 and not self._cfg.control.admits_members:
                raise
            # The other replicas hold everything that was accepted. This one starts empty under a
            # new disk id and does not vote until the log has admitted it again.
            return await Store.create(self._disk, cluster, node_id)

    async def stop(self) -> None:
        """End the tasks and release the data folder."""
        self._is_stopping = True
        self._scope.cancel()
        if self._state is not None:
            self._state.follow(None)
            self._state.role = Role.STOPPED
        await self._disk.close()

    async def _run(self) -> None:
        reopen_ms = self._cfg.control.reopen_ms
        while not self._is_stopping:
            with trio.CancelScope() as self._scope:
                await self._run_tasks()
            if self._is_stopping or not reopen_ms:
                return
            # Writing the log anew when it is opened makes durable what was read back.
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
            nursery.start_soon(self._guarded, self._write_loop)
            nursery.start_soon(self._guarded, self._compact_loop)
            nursery.start_soon(self._guarded, self._form_group)
            nursery.start_soon(self._guarded, self._admission.run)
            nursery.start_soon(self._guarded, self._elections.run)
            if s.cfg.admits_members:
                nursery.start_soon(self._follow_members, nursery)
            await s.failed.wait()
            if s.cfg.reopen_ms:
                nursery.cancel_scope.cancel()

    def _start_peer(self, nursery: trio.Nursery, node_id: str) -> None:
        nursery.start_soon(self._guarded, self._replication.run_peer, node_id)
        nursery.start_soon(self._guarded, self._replication.run_heartbeat, node_id)

    async def _follow_members(self, nursery: trio.Nursery) -> None:
        """Keep a task for each control instance that votes or that membership knows."""
        s = self.state
        while s.role is not Role.STOPPED:
            wanted = {*s.voters, *self._known_members(), *s.configured} - {s.node_id}
            for node_id in wanted - s.progress.keys():
                s.add_peer(node_id)
                self._start_peer(nursery, node_id)
                logs.event("control_peer", node=s.node_id, peer=node_id, change="added")
            for node_id in s.progress.keys() - wanted:
                gone = s.progress.pop(node_id)
                gone.wake.set()
                gone.lead.set()
                logs.event("control_peer", node=s.node_id, peer=node_id, change="removed")
            await trio.sleep(s.cfg.heartbeat_ms / MS_PER_S)

    async def _guarded(self, fn: Callable[..., Awaitable[None]], *args: object) -> None:
        try:
            await fn(*args)
        except StorageError as exc:
            self.state.fail(exc)

    def _answer(self, msg_type: type[M], fn: Callable[[str, Any], Awaitable[Message]]) -> None:
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
        """Return the state of the started replica; raises ReplicaStopped before the start."""
        if self._state is None:
            raise ReplicaStopped("the replica has not started")
        return self._state

    @property
    def is_leader(self) -> bool:
        """Tell whether this replica leads."""
        return self._state is not None and self._state.role is Role.LEADER

    @property
    def is_stopped(self) -> bool:
        """Tell whether a failed write has stopped this replica."""
        return self._state is not None and self._state.role is Role.STOPPED

    @property
    def leader_id(self) -> str | None:
        """Return the leader as far as it is known."""
        return self._state.leader_id if self._state is not None else None

    @property
    def group_id(self) -> str:
        """Return the random id that the group got at its first start, empty before it."""
        return self._state.group_id if self._state is not None else ""

    async def propose(self, change: bytes) -> int:
        """Return the version of a change; raises NotLeader, ReplicaBusy, ProposalUnknown."""
        s = self._state
        if s is None or s.role is not Role.LEADER:
            raise NotLeader(self.leader_id)
        if len(s.pending) >= s.cfg.max_pending_proposals:
            raise ReplicaBusy(f"{len(s.pending)} proposals wait")
        proposal = Proposal(CHANGE, change)
        s.pending.append(proposal)
        s.write.set()
        await proposal.done.wait()
        if proposal.error is not None:
            raise proposal.error
        assert proposal.result is not None, "a committed change has a result"
        return proposal.result.unwrap()

    def freshness_age_ms(self) -> float | None:
        """Return the age in ms of the leader's proof that its state is current, else None."""
        s = self._state
        if s is None or s.role is not Role.LEADER or s.applied_index < s.noop_index:
            return None
        if s.is_stuck():
            return None
        acked_ms = s.quorum_acked_ms()
        # Read after the moment of the proof: a single member's proof is dated to this very call.
        age_ms = now_ms() - acked_ms
        return age_ms if age_ms < float("inf") else None

    async def _write_loop(self) -> None:
        s = self.state
        while s.role is not Role.STOPPED:
            await s.write.wait()
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
            s.waiting[entry.index] = proposal
            s.note_members(entry)
            if entry.kind == NOOP:
                s.noop_index = entry.index
        s.store.stage(batch)
        # The peers get the batch while the own disk syncs it; the own copy counts only after.
        s.wake_peers()
        await self._flush(batch)
        s.counters.add("consensus_syncs")
        if s.role is Role.LEADER:
            s.durable_index = max(s.durable_index, batch[-1].index)
            s.advance_commit()

    async def _flush(self, batch: list[LogEntry]) -> None:
        """Make a batch durable; a leader whose disk stalls lets another member lead."""
        s = self.state
        failure: StorageError | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_disk, s.cfg.max_sync_ms)
            try:
                await s.store.flush(batch)
            except StorageError as exc:
                # An exception out of the nursery would arrive wrapped in a group.
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
            s.follow(None)

    async def _compact_loop(self) -> None:
        s = self.state
        while s.role is not Role.STOPPED:
            await s.compact.wait()
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
        """Write the first members entry once every configured member is present and empty."""
        s = self.state
        may_form = s.cfg.may_form_group and s.node_id == s.configured[0]
        while may_form and s.store.is_empty:
            disks = await self._introduce_all()
            if disks is not None:
                async with s.lock:
                    if s.store.is_empty:
                        body = encode_members(secrets.token_hex(16), disks)
                        entry = LogEntry(0, 1, MEMBERS, body)
                        s.store.stage([entry])
                        await s.store.flush([entry])
                        s.note_members(entry)
                        logs.event("group_formed", node=s.node_id, group=s.group_id)
                await self._elections.stand()
                return
            await trio.sleep(s.cfg.heartbeat_ms / MS_PER_S)

    async def _introduce_all(self) -> dict[str, str] | None:
        s = self.state
        disks = {s.node_id: s.store.disk_id}
        for node_id, reply in (await self._admission.ask_all()).items():
            if reply.empty and node_id in s.configured:
                disks[node_id] = reply.disk_id
        return disks if len(disks) == len(s.configured) else None
