"""The state of one replica that elections, replication and proposals share."""

from __future__ import annotations

import dataclasses
import enum
import math
import random
from collections import deque
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any, Protocol

import cbor2
import trio

from knapweedhitch import logs
from knapweedhitch.codec import Message, load_plain
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import (
    CodecError,
    ConsensusError,
    CorruptFile,
    NotLeader,
    ProposalUnknown,
)
from knapweedhitch.messages import LogEntry
from knapweedhitch.settings import Settings
from knapweedhitch.snapshot import Snapshot
from knapweedhitch.store import Store
from knapweedhitch.witness import Witness

MS_PER_S = 1_000.0
CHANGE, NOOP, MEMBERS = "change", "noop", "members"


class Transport(Protocol):
    """Carry calls between replicas."""

    async def call(self, node_id: str, msg: Message, timeout_ms: float) -> Message:
        """Return the reply of a node; raises PeerError."""

    def handle(
        self, msg_type: type[Message], fn: Callable[[str, Any], Awaitable[Message | None]]
    ) -> None:
        """Answer messages of a type by the function."""


class Result(Protocol):
    """Hold how a change ended."""

    def unwrap(self) -> int:
        """Return the version; raises ChangeError."""


class Machine(Protocol):
    """Apply changes in the order of the log."""

    def apply(self, body: bytes) -> Result: ...

    def snapshot(self) -> bytes: ...

    def restore(self, data: bytes) -> None: ...


class Role(enum.Enum):
    """State what a replica may do."""

    FOLLOWER = "follower"
    LEADER = "leader"
    STOPPED = "stopped"


class Signal:
    """Wake the one task that waits; a signal set before the wait is not lost."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def set(self) -> None:
        """Wake the waiting task."""
        self._event.set()

    async def wait(self, timeout_ms: float = math.inf) -> None:
        """Return once the signal is set or the time in milliseconds has passed."""
        with trio.move_on_after(timeout_ms / MS_PER_S):
            await self._event.wait()
        self._event = trio.Event()


@dataclasses.dataclass(eq=False)
class Proposal:
    """Hold one entry on its way into the log and how it ended."""

    kind: str
    body: bytes
    at_ms: float = dataclasses.field(default_factory=lambda: now_ms())
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    result: Result | None = None
    error: ConsensusError | None = None

    def fail(self, error: ConsensusError) -> None:
        """End the proposal with an error."""
        self.error = error
        self.done.set()


@dataclasses.dataclass
class Progress:
    """Hold what the leader knows of one other replica; times are in milliseconds."""

    node_id: str
    next_index: int = 1
    match_index: int = 0
    acked_ms: float = -math.inf
    disk_id: str = ""
    wake: Signal = dataclasses.field(default_factory=Signal)
    lead: Signal = dataclasses.field(default_factory=Signal)

    def reset(self, next_index: int) -> None:
        """Forget everything at the start of a term."""
        self.next_index, self.match_index = next_index, 0
        self.acked_ms, self.disk_id = -math.inf, ""

    def saw_disk(self, disk_id: str) -> None:
        """Note the disk that answered; what another disk had confirmed does not count."""
        if disk_id != self.disk_id:
            self.match_index, self.acked_ms = 0, -math.inf
            self.disk_id = disk_id


def now_ms() -> float:
    """Return the monotonic clock of trio in milliseconds."""
    return trio.current_time() * MS_PER_S


def reached_by_majority(values: Iterable[float]) -> float:
    """Return the highest value that a majority has reached."""
    ranked = sorted(values, reverse=True)
    return ranked[len(ranked) // 2]


def encode_members(group_id: str, voters: Mapping[str, str]) -> bytes:
    """Return the body of a members entry."""
    return cbor2.dumps([group_id, dict(sorted(voters.items()))])


class ReplicaState:
    """Hold log, role, members and progress of one replica; writers hold the lock."""

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
        # The time of a claim group is fixed when it is proposed. If it cannot be committed in time,
        # no node may act as fresh once the group has begun, because none of them knows it.
        self.stuck_after_ms = (
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
        self.heard_ms = -math.inf
        self.commit_index = 0
        self.applied_index = 0
        self.witness = Witness()
        # The last synced term and index that each other member showed when this one asked.
        self.shown: dict[str, tuple[int, int]] = {}
        # A folder with content may be an older copy; it counts once the other members have said
        # that they had no more from it.
        self.is_confirmed = (
            store.is_empty or not self.cfg.confirm_restarts or len(self.cfg.members) == 1
        )
        # The first index of the own term; entries of earlier terms commit with it.
        self.noop_index: float = math.inf
        self.leader_since_ms = -math.inf
        # Set while a write of the own disk takes so long that another member should lead.
        self.is_disk_slow = False
        self.failed = trio.Event()
        self.durable_index = 0
        self.pending: deque[Proposal] = deque()
        self.waiting: dict[int, Proposal] = {}
        self.write = Signal()
        self.compact = Signal()
        self.configured = sorted(member.id for member in self.cfg.members)
        self.progress = {n: Progress(n) for n in self.configured if n != self.node_id}
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
                self.note_members(entry)

    def restore(self, snap: Snapshot) -> None:
        """Take state and members from a snapshot; raises CorruptFile."""
        try:
            self.machine.restore(snap.state)
        except CodecError as exc:
            raise CorruptFile("snapshot", 0, str(exc)) from None
        self._members = [(snap.index, snap.group_id, dict(snap.voters))]
        self.commit_index = self.applied_index = snap.index

    @property
    def voters(self) -> dict[str, str]:
        """Return the disk id of each voting member, by the last members entry of the log."""
        return self._members[-1][2]

    @property
    def group_id(self) -> str:
        """Return the random id that the group got at its first start."""
        return self._members[-1][1]

    @property
    def members_index(self) -> int:
        """Return the index of the last members entry."""
        return self._members[-1][0]

    @property
    def is_voter(self) -> bool:
        """Tell whether the own disk is a voting member."""
        return self.is_confirmed and self.voters.get(self.node_id) == self.store.disk_id

    @property
    def must_hold(self) -> tuple[int, int]:
        """Return the last term and index that a candidate must have for the own vote."""
        own = (self.store.last_term, self.store.last_index)
        return max(own, *self.shown.values()) if self.shown else own

    @property
    def is_behind(self) -> bool:
        """Tell whether another member showed more after the start than the own log holds."""
        return self.must_hold > (self.store.last_term, self.store.last_index)

    @property
    def counted_disk_id(self) -> str:
        """Return the disk id for replies; it is empty, so that none counts, until confirmed."""
        return self.store.disk_id if self.is_confirmed else ""

    def members_at(self, index: int) -> tuple[str, dict[str, str]]:
        """Return group id and voters as of an index."""
        group_id, voters = "", dict[str, str]()
        for at, group, found in self._members:
            if at <= index:
                group_id, voters = group, found
        return group_id, voters

    def note_members(self, entry: LogEntry) -> None:
        """Follow the members of a new entry; raises CorruptFile."""
        if entry.kind != MEMBERS:
            return
        try:
            group_id, voters = load_plain(entry.body)
            self._members.append((entry.index, str(group_id), dict(voters)))
        except (CodecError, TypeError, ValueError) as exc:
            raise CorruptFile("log", 0, f"entry {entry.index} names no members: {exc}") from None

    def forget_members_from(self, index: int) -> None:
        """Undo members entries that are cut from the log."""
        while len(self._members) > 1 and self._members[-1][0] >= index:
            self._members.pop()

    def trim_members(self, index: int) -> None:
        """Drop members entries that a newer one up to the index replaces."""
        while len(self._members) > 1 and self._members[1][0] <= index:
            self._members.pop(0)

    def follow(self, leader_id: str | None) -> None:
        """Become a follower at once; proposals in the log end as unknown."""
        if self.role is Role.LEADER:
            self.counters.add("consensus_step_down")
            logs.event("step_down", node=self.node_id, term=self.store.term)
        if self.role is not Role.STOPPED:
            self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self._end_proposals()

    def _end_proposals(self) -> None:
        waiting, self.waiting = self.waiting, {}
        for proposal in waiting.values():
            proposal.fail(ProposalUnknown("leadership was lost before the result was known"))
        while self.pending:
            self.pending.popleft().fail(NotLeader(self.leader_id))

    async def adopt_term(self, term: int, leader_id: str | None = None) -> None:
        """Follow a higher term once it is durable; the caller holds the lock."""
        self.follow(leader_id)
        if term > self.store.term:
            await self.store.set_term(term, "")

    def fail(self, exc: Exception) -> None:
        """Stop for good after a failed write; nothing is answered any more."""
        if self.role is Role.STOPPED:
            return
        self.follow(None)
        self.role = Role.STOPPED
        self.counters.add("consensus_stopped", type(exc).__name__)
        logs.warning("replica_stopped", node=self.node_id, error=type(exc).__name__, detail=exc)
        self.failed.set()

    def add_peer(self, node_id: str) -> None:
        """Start to follow another control instance, which votes once it is a member."""
        progress = self.progress[node_id] = Progress(node_id)
        progress.reset(self.store.last_index + 1)

    def wake_peers(self) -> None:
        """Wake the task of every peer."""
        for progress in self.progress.values():
            progress.wake.set()

    def advance_commit(self) -> None:
        """Commit what a majority of voting disks has synced, as leader."""
        if self.role is not Role.LEADER or not self.voters:
            return
        reached = int(reached_by_majority(self._match(n, d) for n, d in self.voters.items()))
        # Entries of earlier terms commit only together with one of the own term.
        if reached > self.commit_index and self.store.term_at(reached) == self.store.term:
            # The followers learn it with the next entries or heartbeat; a message of its own would
            # make the next proposal wait for a round trip.
            self.commit_to(reached)

    def _match(self, node_id: str, disk_id: str) -> int:
        if node_id == self.node_id:
            return self.durable_index if disk_id == self.store.disk_id else 0
        progress = self.progress.get(node_id)
        return progress.match_index if progress and progress.disk_id == disk_id else 0

    def commit_to(self, index: int) -> None:
        """Apply the entries up to a committed index."""
        self.commit_index = max(self.commit_index, index)
        while self.applied_index < self.commit_index:
            entry = self.store.entry(self.applied_index + 1)
            if entry is None:
                break
            result = self.machine.apply(entry.body) if entry.kind == CHANGE else None
            self.applied_index = entry.index
            proposal = self.waiting.pop(entry.index, None)
            if proposal is not None:
                proposal.result = result
                proposal.done.set()
        snap = self.store.snapshot
        if self.applied_index - (snap.index if snap else 0) >= self.cfg.snapshot_after_entries:
            self.compact.set()

    def is_stuck(self) -> bool:
        """Tell whether a proposal has waited too long for its commit."""
        first = next(iter(self.waiting.values()), None) or next(iter(self.pending), None)
        return first is not None and now_ms() - first.at_ms > self.stuck_after_ms

    def quorum_acked_ms(self) -> float:
        """Return the latest send time that a majority acknowledged in the leader's term."""
        return reached_by_majority(self._acked(n, d) for n, d in self.voters.items())

    def _acked(self, node_id: str, disk_id: str) -> float:
        if node_id == self.node_id:
            return now_ms() if disk_id == self.store.disk_id else -math.inf
        progress = self.progress.get(node_id)
        return progress.acked_ms if progress and progress.disk_id == disk_id else -math.inf
