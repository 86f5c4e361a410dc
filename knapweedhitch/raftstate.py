"""The state of one replica, shared by elections, replication and proposals."""

from __future__ import annotations

import contextlib
import dataclasses
import enum
import math
import random
import secrets
from collections import deque
from collections.abc import AsyncIterator, Iterable, Mapping
from typing import Protocol

import cbor2
import trio

from knapweedhitch import logs
from knapweedhitch.clock import MS_PER_S, now_ms
from knapweedhitch.codec import load_plain
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import (
    CodecError,
    ConsensusError,
    CorruptFile,
    NotLeader,
    ProposalUnknown,
    ReplicaStopped,
)
from knapweedhitch.messages import LogEntry
from knapweedhitch.rpc import Transport
from knapweedhitch.settings import Settings
from knapweedhitch.snapshot import Snapshot
from knapweedhitch.store import Store
from knapweedhitch.witness import PromiseTracker

CHANGE, NOOP, MEMBERS = "change", "noop", "members"


class Result(Protocol):
    """Report the outcome of an applied change."""

    def unwrap(self) -> int:
        """Return the version of an accepted change; raises ChangeError."""


class Machine(Protocol):
    """Apply committed changes in log order."""

    def apply(self, body: bytes) -> Result: ...

    def snapshot(self) -> bytes: ...

    def check(self, data: bytes) -> None: ...

    def restore(self, data: bytes) -> None: ...


class Role(enum.Enum):
    """List the roles of a replica; a stopped one neither votes nor replies."""

    FOLLOWER = "follower"
    LEADER = "leader"
    STOPPED = "stopped"


class Signal:
    """Wake a single waiting task; a signal that is set before the wait is not lost."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def set(self) -> None:
        """Wake the waiting task, or let the next wait return at once."""
        self._event.set()

    async def wait(self, timeout_ms: float = math.inf) -> None:
        """Wait until the signal is set or the timeout expires, then clear it."""
        with trio.move_on_after(timeout_ms / MS_PER_S):
            await self._event.wait()
        self._event = trio.Event()


@dataclasses.dataclass(eq=False)
class Proposal:
    """Track one proposed entry until it is committed or fails."""

    kind: str
    body: bytes
    created_ms: float = dataclasses.field(default_factory=lambda: now_ms())
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    result: Result | None = None
    error: ConsensusError | None = None

    def fail(self, error: ConsensusError) -> None:
        """Complete the proposal with an error."""
        self.error = error
        self.done.set()


@dataclasses.dataclass(frozen=True, slots=True)
class CommittedMembers:
    """Describe the voters of the last committed members entry."""

    index: int
    voters: Mapping[str, str]
    # The nodes that have ever been voters; None if earlier entries are no longer known.
    n_ever: int | None


@dataclasses.dataclass
class Progress:
    """Track the replication state of one peer, as the leader sees it."""

    node_id: str
    next_index: int = 1
    match_index: int = 0
    acked_ms: float = -math.inf
    disk_id: str = ""
    wake_sender: Signal = dataclasses.field(default_factory=Signal)
    wake_heartbeat: Signal = dataclasses.field(default_factory=Signal)

    def reset(self, next_index: int) -> None:
        """Reset the state at the start of a leader's term."""
        self.next_index, self.match_index = next_index, 0
        self.acked_ms, self.disk_id = -math.inf, ""

    def record_disk(self, disk_id: str) -> None:
        """Record the disk that replied; acknowledgements of another disk are dropped."""
        if disk_id != self.disk_id:
            self.match_index, self.acked_ms = 0, -math.inf
            self.disk_id = disk_id


def reached_by_majority(values: Iterable[float]) -> float:
    """Return the highest value that a majority of the values reaches."""
    ranked = sorted(values, reverse=True)
    return ranked[len(ranked) // 2]


# Names the founder's disk of a member that did not reply when the group was formed.
FOUNDER_DISK = "founder"


def encode_members(group_id: str, voters: Mapping[str, str]) -> bytes:
    """Return the body of a members entry."""
    return cbor2.dumps([group_id, dict(sorted(voters.items()))])


class ReplicaState:
    """Track log, role, members and peer progress of one replica; writers hold the lock."""

    def __init__(
        self,
        cfg: Settings,
        store: Store,
        transport: Transport,
        machine: Machine,
        counters: Counters,
        rng: random.Random,
    ) -> None:
        self.cfg = cfg.control
        self.node_id = cfg.node.id
        # A claim group's start time is fixed when it is proposed. If the group is not committed by
        # then, no node may count as fresh, because none of them knows the new group.
        self.max_commit_wait_ms = (
            cfg.control.activation_delay_ms
            - cfg.feed.config_lease_ms
            - 2 * cfg.claims.max_clock_skew_ms
        )
        self.store = store
        self.transport = transport
        self.machine = machine
        self.counters = counters
        self.rng = rng
        self.lock = trio.Lock()
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None
        self.last_contact_ms = -math.inf
        self.commit_index = 0
        self.applied_index = 0
        # Whether a change has ever been accepted.
        self.has_changes = False
        self.promises = PromiseTracker()
        # The last synced (term, index) that each other member reported after the start.
        self.reported_positions: dict[str, tuple[int, int]] = {}
        # A used data folder may be an older copy of itself. It counts once the other members have
        # confirmed that it has lost nothing it acknowledged to them.
        self.is_confirmed = (
            store.is_empty or not self.cfg.confirm_restarts or len(self.cfg.members) == 1
        )
        # The first index of the leader's own term; entries of earlier terms commit with it.
        self.noop_index: float = math.inf
        self.leader_since_ms = -math.inf
        # Set while a sync exceeds max_sync_ms; the replica does not campaign meanwhile, so that
        # another member leads.
        self.is_disk_slow = False
        self.failed = trio.Event()
        self.durable_index = 0
        self.pending: deque[Proposal] = deque()
        self.uncommitted: dict[int, Proposal] = {}
        self.write_needed = Signal()
        self.compaction_needed = Signal()
        self.configured_ids = sorted(member.id for member in self.cfg.members)
        self.progress = {n: Progress(n) for n in self.configured_ids if n != self.node_id}
        self._members: list[tuple[int, str, dict[str, str]]] = []
        self._load()

    def _load(self) -> None:
        self._members = [(0, "", {})]
        snap = self.store.snapshot
        if snap is not None:
            self.restore(snap)
        for index in range(self.store.first_index, self.store.last_index + 1):
            entry = self.store.entry(index)
            if entry is not None and (snap is None or index > snap.index):
                self.record_members(entry)

    def restore(self, snap: Snapshot) -> None:
        """Restore state and members from a snapshot; raises CorruptFile."""
        try:
            self.machine.restore(snap.state)
        except CodecError as exc:
            raise CorruptFile("snapshot", 0, str(exc)) from None
        self._members = [(snap.index, snap.group_id, dict(snap.voters))]
        self.has_changes = True
        self.commit_index = self.applied_index = snap.index

    @property
    def voters(self) -> dict[str, str]:
        """Return the voting disk ids by node id, as of the last members entry in the log."""
        return self._members[-1][2]

    @property
    def group_id(self) -> str:
        """Return the random id of the group, empty until the group is formed."""
        return self._members[-1][1]

    @property
    def members_index(self) -> int:
        """Return the index of the last members entry."""
        return self._members[-1][0]

    @property
    def is_voter(self) -> bool:
        """Return whether the local disk is a voting member."""
        return self.is_confirmed and self.is_own_disk(self.voters.get(self.node_id, ""))

    def is_own_disk(self, disk_id: str) -> bool:
        """Return whether a members entry names the local disk by this id."""
        is_founder = self.store.is_founder and disk_id == FOUNDER_DISK
        return is_founder or disk_id == self.store.disk_id

    @property
    def required_position(self) -> tuple[int, int]:
        """Return the lowest (last term, last index) of a candidate that may get this vote."""
        own = (self.store.last_term, self.store.last_index)
        return max(own, *self.reported_positions.values()) if self.reported_positions else own

    @property
    def is_behind(self) -> bool:
        """Return whether another member reported a longer log than the local one."""
        return self.required_position > (self.store.last_term, self.store.last_index)

    @property
    def confirmed_disk_id(self) -> str:
        """Return the disk id for replies, as the last members entry has it.

        It is empty until confirmed, so that no reply counts.
        """
        if not self.is_confirmed:
            return ""
        listed = self.voters.get(self.node_id, "")
        return listed if self.is_own_disk(listed) else self.store.disk_id

    def members_at(self, index: int) -> tuple[str, dict[str, str]]:
        """Return group id and voters as of an index."""
        group_id, voters = "", dict[str, str]()
        for entry_index, entry_group_id, entry_voters in self._members:
            if entry_index <= index:
                group_id, voters = entry_group_id, entry_voters
        return group_id, voters

    @property
    def may_found(self) -> bool:
        """Return whether the local disk may vote on who forms the group, or form it.

        It has an empty log and has forgotten no vote, so it is not one that replaces a lost disk.
        """
        is_founder = self.store.is_founder and self.node_id in self.configured_ids
        is_entitled = is_founder and self.is_confirmed and self.cfg.form_without_ms > 0
        return is_entitled and self.store.last_index == 0

    def committed_members(self) -> CommittedMembers:
        """Return the voters as of the last committed members entry."""
        committed = [entry for entry in self._members if entry[0] <= self.commit_index]
        index, _, voters = committed[-1] if committed else self._members[0]
        ever = {node_id for _, _, entry_voters in self._members for node_id in entry_voters}
        is_complete = self._members[0][0] == 0
        return CommittedMembers(index, voters, len(ever) if is_complete else None)

    def record_members(self, entry: LogEntry) -> None:
        """Record the voters of a members entry, ignoring other kinds; raises CorruptFile."""
        if entry.kind != MEMBERS:
            return
        try:
            group_id, voters = load_plain(entry.body)
            self._members.append((entry.index, str(group_id), dict(voters)))
        except (CodecError, TypeError, ValueError) as exc:
            raise CorruptFile("log", 0, f"invalid members entry {entry.index}: {exc}") from None

    async def write_first_members(self, term: int, voters: Mapping[str, str]) -> None:
        """Write the entry that forms the group; the caller holds the lock. Raises StorageError."""
        entry = LogEntry(term, 1, MEMBERS, encode_members(secrets.token_hex(16), voters))
        self.store.stage([entry])
        await self.store.flush([entry])
        self.record_members(entry)
        missing = ",".join(n for n, disk_id in voters.items() if disk_id == FOUNDER_DISK)
        logs.event("group_formed", node=self.node_id, group=self.group_id, missing=missing)

    def truncate_members(self, index: int) -> None:
        """Drop members entries that are truncated from the log."""
        while len(self._members) > 1 and self._members[-1][0] >= index:
            self._members.pop()

    def trim_members(self, index: int) -> None:
        """Drop members entries that a newer one at or before the index replaces."""
        while len(self._members) > 1 and self._members[1][0] <= index:
            self._members.pop(0)

    def become_follower(self, leader_id: str | None) -> None:
        """Step down to follower; proposals already in the log fail with ProposalUnknown."""
        if self.role is Role.LEADER:
            self.counters.add("consensus_step_down")
            logs.event("step_down", node=self.node_id, term=self.store.term)
        if self.role is not Role.STOPPED:
            self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self._fail_proposals()

    def _fail_proposals(self) -> None:
        uncommitted, self.uncommitted = self.uncommitted, {}
        for proposal in uncommitted.values():
            proposal.fail(ProposalUnknown("leadership was lost before the result was known"))
        while self.pending:
            self.pending.popleft().fail(NotLeader(self.leader_id))

    async def adopt_term(self, term: int, leader_id: str | None = None) -> None:
        """Step down and make a higher term durable; the caller holds the lock.

        Raises StorageError.
        """
        self.become_follower(leader_id)
        if term > self.store.term:
            await self.store.set_term(term, "")

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Hold the lock of a replica that runs; raises ReplicaStopped.

        A write that fails leaves entries in memory that are not on the disk. Requests that waited
        for the lock meanwhile must not acknowledge them.
        """
        async with self.lock:
            if self.role is Role.STOPPED:
                raise ReplicaStopped(f"{self.node_id} has stopped")
            yield

    def fail(self, exc: Exception) -> None:
        """Stop the replica after a failed write; it handles no further message."""
        if self.role is Role.STOPPED:
            return
        self.become_follower(None)
        self.role = Role.STOPPED
        self.counters.add("consensus_stopped", type(exc).__name__)
        logs.warning("replica_stopped", node=self.node_id, error=type(exc).__name__, detail=exc)
        self.failed.set()

    def add_peer(self, node_id: str) -> None:
        """Add progress of another control instance, which votes once it is a member."""
        progress = self.progress[node_id] = Progress(node_id)
        progress.reset(self.store.last_index + 1)

    def wake_peers(self) -> None:
        """Wake the replication task of every peer."""
        for progress in self.progress.values():
            progress.wake_sender.set()

    def advance_commit(self) -> None:
        """Commit the entries that a majority of voting disks has synced, if leader."""
        if self.role is not Role.LEADER or not self.voters:
            return
        quorum_index = int(
            reached_by_majority(self._match_index(n, d) for n, d in self.voters.items())
        )
        # Entries of earlier terms commit only together with one of the leader's own term.
        if quorum_index > self.commit_index and self.store.term_at(quorum_index) == self.store.term:
            # Followers learn the commit index with the next entries or heartbeat; a separate
            # message would delay the next proposal by a round trip.
            self.commit_to(quorum_index)

    def _match_index(self, node_id: str, disk_id: str) -> int:
        if node_id == self.node_id:
            return self.durable_index if self.is_own_disk(disk_id) else 0
        progress = self.progress.get(node_id)
        return progress.match_index if progress and progress.disk_id == disk_id else 0

    def commit_to(self, index: int) -> None:
        """Apply the entries up to a committed index and complete their proposals."""
        self.commit_index = max(self.commit_index, index)
        while self.applied_index < self.commit_index:
            entry = self.store.entry(self.applied_index + 1)
            if entry is None:
                break
            result = self.machine.apply(entry.body) if entry.kind == CHANGE else None
            self.has_changes = self.has_changes or entry.kind == CHANGE
            self.applied_index = entry.index
            proposal = self.uncommitted.pop(entry.index, None)
            if proposal is not None:
                proposal.result = result
                proposal.done.set()
        snap = self.store.snapshot
        if self.applied_index - (snap.index if snap else 0) >= self.cfg.snapshot_after_entries:
            self.compaction_needed.set()

    def has_overdue_proposal(self) -> bool:
        """Return whether the oldest proposal exceeds the maximum commit wait."""
        first = next(iter(self.uncommitted.values()), None) or next(iter(self.pending), None)
        return first is not None and now_ms() - first.created_ms > self.max_commit_wait_ms

    def quorum_acked_ms(self) -> float:
        """Return the latest send time that a majority acknowledged in this term."""
        return reached_by_majority(self._acked_ms(n, d) for n, d in self.voters.items())

    @property
    def is_growing(self) -> bool:
        """Return whether a new group still lacks voters, so that it bears the loss of fewer disks.

        Instances that have not joined in time count as lost themselves.
        """
        if self.has_changes or not self.cfg.admits_members:
            return False
        is_full = len(self.committed_members().voters) >= self.cfg.max_voters
        waited_ms = now_ms() - self.leader_since_ms
        return not is_full and waited_ms < self.cfg.full_group_wait_ms

    def _acked_ms(self, node_id: str, disk_id: str) -> float:
        if node_id == self.node_id:
            return now_ms() if self.is_own_disk(disk_id) else -math.inf
        progress = self.progress.get(node_id)
        return progress.acked_ms if progress and progress.disk_id == disk_id else -math.inf
