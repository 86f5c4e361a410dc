"""The control service: accepts changes, tracks version reports and maintains claim groups."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping

import trio
import trio.lowlevel
from msgspec import structs

from knapweedhitch import changes, logs
from knapweedhitch.changes import (
    AddClaimGroup,
    AddClaimGroups,
    Change,
    DomainOut,
    FinishRollout,
    StampedChange,
    StartRollout,
)
from knapweedhitch.claimgroups import ByteWindow, ClaimGroupPlanner
from knapweedhitch.clock import now_ms
from knapweedhitch.codec import Message
from knapweedhitch.consensus import Replica
from knapweedhitch.disk import FolderDisk
from knapweedhitch.exceptions import (
    ChangeError,
    ConsensusError,
    InvalidChange,
    KnapweedhitchError,
    NotLeader,
    PeerError,
    PeerQueueFull,
    PeerTimeout,
    PeerUnreachable,
    ProposalUnknown,
    ReplicaBusy,
    RolloutInProgress,
    VersionConflict,
)
from knapweedhitch.history import ConfigurationMachine, HistoryRecord
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.messages import Propose, ProposeReply, VersionReport
from knapweedhitch.model import ClaimGroup
from knapweedhitch.supervisor import OnFault
from knapweedhitch.voters import GroupView

CLAIM_GROUP_INTERVAL_MS = 1_000
GROUP_VIEW_INTERVAL_MS = 1_000
# At 300 bytes each, this many groups stay below max_change_bytes in one change.
MAX_GROUPS_PER_CHANGE = 1_000
# A node may receive 3,000 B/s, of which 300 are reserved for polls and changes of operators.
MAX_GROUP_BYTES_PER_MINUTE = 60 * 2_700
# Choosing holders for many services takes seconds; heartbeats must continue meanwhile.
SERVICES_BETWEEN_CHECKPOINTS = 10
RETRY_DELAY_MS = 50
NOT_PROCESSED = (PeerUnreachable, PeerQueueFull)


@service("control")
class Control:
    """Accept changes on any node, and run the replica on control instances."""

    def __init__(self, kernel: Kernel, rng: random.Random | None = None) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.control
        self._rng = rng or random.Random()
        self.machine = ConfigurationMachine(self._cfg) if kernel.cfg.is_control else None
        self.replica: Replica | None = None
        self._leader_hint: str | None = None
        self._reports: dict[str, VersionReport] = {}
        self._planner = ClaimGroupPlanner(self._cfg)
        self._is_planning = False
        self._byte_window = ByteWindow(MAX_GROUP_BYTES_PER_MINUTE)
        self._group_view: GroupView | None = None

    async def start(self) -> None:
        """Start the replica and claim-group maintenance; raises CorruptFile, StorageError."""
        self._peers = self._kernel.get("peers")
        self._timers = self._kernel.get("timers")
        self._counters = self._kernel.get("counters")
        if self.machine is None:
            return
        self._peers.handle(Propose, self._on_propose)
        self._peers.handle(VersionReport, self._on_report)
        disk = self._kernel.get("disk") if self._kernel.has("disk") else None
        if disk is None:
            assert self._cfg.data_dir is not None, "the settings check it"
            disk = FolderDisk(self._cfg.data_dir)
        cfg = self._kernel.cfg
        self.replica = Replica(
            cfg, disk, self._peers, self.machine, self._counters, self._rng, self._known_members
        )
        await self.replica.start(self._kernel.nursery)
        voters = [cfg.control_address(node_id) for node_id in self.replica.state.voters]
        self._kernel.get("membership").add_seeds(a for a in voters if a is not None)
        self._timers.every(CLAIM_GROUP_INTERVAL_MS, self._check_groups, align=True)
        self._timers.every(GROUP_VIEW_INTERVAL_MS, self._report_group, align=True)

    def _known_members(self) -> tuple[str, ...]:
        members: tuple[str, ...] = self._kernel.get("membership").control_ids()
        return members

    async def stop(self) -> None:
        """Stop the replica."""
        if self.replica is not None:
            await self.replica.stop()

    @property
    def leader_id(self) -> str | None:
        """Return the node id of the last known leader, None if unknown."""
        replica_leader = self.replica.leader_id if self.replica is not None else None
        return replica_leader or self._leader_hint

    def versions(self) -> Mapping[str, VersionReport]:
        """Return the last version report of each node by node id."""
        return dict(self._reports)

    def history(self) -> tuple[HistoryRecord, ...]:
        """Return the retained records of accepted changes, oldest first, with empty bodies."""
        if self.machine is None:
            return ()
        return tuple(structs.replace(record, body=b"") for record in self.machine.history())

    def record_report(self, msg: VersionReport) -> None:
        """Store the version report of a node, evicting the oldest beyond max_reported_nodes."""
        previous = self._reports.pop(msg.node_id, None)
        if previous is None and len(self._reports) >= self._cfg.max_reported_nodes:
            self._reports.pop(next(iter(self._reports)))
        self._reports[msg.node_id] = msg

    async def _on_report(self, node_id: str, msg: VersionReport) -> None:
        self.record_report(msg)

    # Proposals

    async def submit(self, change: Change, timeout_ms: float | None = None) -> int:
        """Submit a change, retrying until the timeout, and return its version.

        Raises ChangeError, NotLeader, ProposalUnknown.
        """
        data = changes.encode_change(change)
        if len(data) > self._cfg.max_change_bytes:
            raise InvalidChange(f"{len(data)} bytes are over {self._cfg.max_change_bytes}")
        limit_ms = timeout_ms if timeout_ms is not None else self._cfg.submit_timeout_ms
        unknown_error: KnapweedhitchError | None = None
        end_ms = now_ms() + limit_ms
        while (remaining_ms := end_ms - now_ms()) > 0:
            try:
                with trio.fail_after(remaining_ms / 1_000.0):
                    return await self._submit_once(change, data, remaining_ms)
            except (ReplicaBusy, NotLeader, *NOT_PROCESSED) as exc:
                self._counters.add("submit_retry", type(exc).__name__)
            except (ConsensusError, PeerError, trio.TooSlowError) as exc:
                # Retrying is safe: a change id that was already applied gives its first result.
                unknown_error = ProposalUnknown(f"{change.change_id}: {type(exc).__name__}")
                self._counters.add("submit_retry", "ProposalUnknown")
            await trio.sleep(RETRY_DELAY_MS / 1_000.0)
        raise unknown_error or NotLeader(self.leader_id)

    async def _submit_once(self, change: Change, data: bytes, remaining_ms: float) -> int:
        if self.replica is not None and self.replica.is_leader:
            return await self._propose(change)
        target = self._choose_target()
        if target is None:
            raise NotLeader(None)
        timeout_ms = min(remaining_ms, 2.0 * self._cfg.election_timeout_ms)
        try:
            reply = await self._call(target, Propose(data), timeout_ms)
        except PeerError:
            self._leader_hint = None
            raise
        if not isinstance(reply, ProposeReply):
            raise ProposalUnknown(f"{target} sent an unexpected reply")
        return self._unwrap(change, reply)

    async def _call(self, target: str, msg: Propose, timeout_ms: float) -> Message:
        """Call a control instance, but a leader only until another one leads; raises PeerError."""
        scope = trio.CancelScope()

        def check_leader() -> None:
            if self.leader_id not in (None, target):
                scope.cancel()

        timer = None
        if target == self.leader_id:
            timer = self._timers.every(RETRY_DELAY_MS, check_leader)
        try:
            with scope:
                return await self._peers.call(target, msg, timeout_ms)
        finally:
            if timer is not None:
                timer.cancel()
        raise PeerTimeout(f"{target} no longer leads")

    def _choose_target(self) -> str | None:
        """Return the leader if known, else a random other control instance."""
        leader = self.leader_id
        own_id = self._kernel.cfg.node.id
        if leader is not None and leader != own_id:
            return leader
        others = [node_id for node_id in self._known_members() if node_id != own_id]
        return self._rng.choice(others) if others else None

    def _unwrap(self, change: Change, reply: ProposeReply) -> int:
        self._leader_hint = reply.leader_id or None
        if not reply.error:
            return reply.version
        if reply.error == VersionConflict.__name__:
            raise VersionConflict(change.base_version or 0, reply.version, reply.detail)
        if reply.error == RolloutInProgress.__name__:
            raise RolloutInProgress(reply.detail)
        if reply.error == InvalidChange.__name__:
            raise InvalidChange(reply.detail)
        if reply.error in (NotLeader.__name__, ReplicaBusy.__name__):
            raise NotLeader(self._leader_hint)
        raise ProposalUnknown(f"{change.change_id}: {reply.error}")

    async def _on_propose(self, node_id: str, msg: Propose) -> ProposeReply:
        leader_id = self.leader_id or ""
        try:
            version = await self._propose(changes.decode_change(msg.change))
            return ProposeReply(version, "", "", leader_id)
        except VersionConflict as exc:
            return ProposeReply(exc.current_version, type(exc).__name__, exc.winner, leader_id)
        except (ChangeError, ConsensusError) as exc:
            return ProposeReply(0, type(exc).__name__, str(exc), self.leader_id or "")

    async def _propose(self, change: Change) -> int:
        if self.replica is None or not self.replica.is_leader:
            raise NotLeader(self.leader_id)
        if self.replica.freshness_age_ms() is None:
            raise ReplicaBusy("the state of earlier terms is not known yet")
        wall_ms = self._timers.wall_ms()
        earliest_ms = wall_ms + self._cfg.activation_delay_ms
        for group in _groups_of(change):
            if group.epoch > 1 and group.from_wall_ms < earliest_ms:
                raise InvalidChange(f"a claim group begins at {earliest_ms} or later")
        stamped = StampedChange(change, wall_ms, self._serving(change))
        return await self.replica.propose(changes.encode_stamped(stamped))

    def _serving(self, change: Change) -> Mapping[str, frozenset[str]]:
        """Return the domains or versions of the targets by service name, as the rules need them."""
        if self.machine is None:
            return {}
        membership = self._kernel.get("membership")
        if isinstance(change.op, StartRollout | FinishRollout):
            targets = membership.targets(change.op.service)
            return {change.op.service: frozenset(t.upstream.version for t in targets)}
        if not isinstance(change.op, DomainOut):
            return {}
        return {
            name: frozenset(t.domain for t in membership.targets(name) if not t.draining)
            for name in self.machine.current.services
        }

    def group_view(self) -> GroupView | None:
        """Return who votes and how many disks may be lost, None unless this replica leads."""
        return self.replica.group_view() if self.replica is not None else None

    def _report_group(self) -> None:
        view = self.group_view()
        self._counters.gauge("control_is_leader", float(view is not None))
        for name, value in (
            ("control_voters", len(view.voters) if view else math.nan),
            ("control_learners", len(view.learners) if view else math.nan),
            ("control_losable_disks", view.losable_disks if view else math.nan),
        ):
            self._counters.gauge(name, float(value))
        if view is not None and view != self._group_view:
            logs.event(
                "control_group",
                node=self._kernel.cfg.node.id,
                voters=",".join(view.voters),
                learners=",".join(view.learners),
                replaced=",".join(f"{name}:{cause}" for name, cause in view.replaced.items()),
                losable_disks=view.losable_disks,
            )
        self._group_view = view

    # Claim groups

    def _check_groups(self) -> None:
        if self.replica is None or not self.replica.is_leader:
            self._planner.reset()
        elif not self._is_planning and self.replica.freshness_age_ms() is not None:
            self._kernel.start_task(OnFault.END, self._maintain_groups)

    def _with_start_time(self, group: ClaimGroup) -> ClaimGroup:
        """Return the group with a current start time, because earlier proposals took time.

        A first group starts at 0 and stays unchanged.
        """
        if group.from_wall_ms == 0:
            return group
        from_ms = self._timers.wall_ms() + self._cfg.activation_delay_ms
        return structs.replace(group, from_wall_ms=from_ms)

    async def propose_groups(self, groups: list[ClaimGroup]) -> None:
        """Propose as many groups in one change as the byte budget allows.

        Raises ChangeError, ConsensusError.
        """
        remaining_bytes = min(
            self._byte_window.remaining_bytes(now_ms()), self._cfg.max_change_bytes
        )
        while groups:
            op = AddClaimGroups.pack([self._with_start_time(group) for group in groups])
            change = Change(changes.new_change_id(), None, "control", op)
            n_bytes = len(changes.encode_change(change))
            if n_bytes <= remaining_bytes:
                break
            groups = groups[: min(len(groups) - 1, len(groups) * remaining_bytes // n_bytes)]
        if not groups:
            return
        self._byte_window.add(now_ms(), n_bytes)
        version = await self._propose(change)
        self._planner.record_added(groups)
        logs.event("claim_groups", count=len(groups), bytes=n_bytes, version=version)

    async def _maintain_groups(self) -> None:
        assert self.machine is not None, "only control instances maintain claim groups"
        members = self._kernel.get("membership").members()
        self._is_planning = True
        try:
            due_groups = self._planner.due_groups(
                self.machine.current, members, now_ms(), self._timers.wall_ms()
            )
            groups: list[ClaimGroup] = []
            for number, group in enumerate(due_groups):
                if number % SERVICES_BETWEEN_CHECKPOINTS == 0:
                    await trio.lowlevel.checkpoint()
                if group is not None:
                    groups.append(group)
                if len(groups) == MAX_GROUPS_PER_CHANGE:
                    break
            await self.propose_groups(groups)
        except (ChangeError, ConsensusError) as exc:
            self._counters.add("claim_group_failed", type(exc).__name__)
        finally:
            self._is_planning = False


def _groups_of(change: Change) -> tuple[ClaimGroup, ...]:
    """Return the claim groups that a change adds, if any; raises InvalidChange."""
    if isinstance(change.op, AddClaimGroups):
        return change.op.groups()
    return (change.op.group,) if isinstance(change.op, AddClaimGroup) else ()
