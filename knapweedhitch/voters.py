"""Which control instances vote: joining, replacement, and handing a vote over before a stop.

After an acknowledgement, any loss of disks that the deployment tolerates must leave a majority of
the voters. So an instance that is gone for good may stay a voter only while it counts as lost.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable, Iterable, Mapping

import trio

from knapweedhitch import logs
from knapweedhitch.clock import MS_PER_S, now_ms
from knapweedhitch.exceptions import PeerError
from knapweedhitch.messages import HandOver, HandOverReply
from knapweedhitch.raftstate import (
    MEMBERS,
    Progress,
    Proposal,
    ReplicaState,
    Role,
    encode_members,
)

# An instance that hands its vote over asks again at shorter intervals; one that has gone is an
# ordinary silent voter.
STOPPING_MS = 2_000.0
# A new leader has heard from each live peer within this many heartbeats.
FIRST_CONTACT_HEARTBEATS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class VoterChange:
    """Describe the voters to propose and why."""

    voters: Mapping[str, str]
    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class GroupView:
    """Describe the group as its leader sees it."""

    voters: tuple[str, ...]
    learners: tuple[str, ...]
    # Voters that another instance is about to replace, with the cause.
    replaced: Mapping[str, str]
    # Disks of voters that can be lost now so that a majority with all accepted changes remains.
    losable_disks: int


class VoterChanges:
    """Propose the changes of the voters, one at a time, while this replica leads."""

    def __init__(self, state: ReplicaState, known_members: Callable[[], Iterable[str]]) -> None:
        self._s = state
        self._known_members = known_members
        # When the instances that hand their votes over have last asked for it.
        self._stopping_ms: dict[str, float] = {}

    def manage(self) -> None:
        """Propose the next change, once the previous one is committed."""
        s = self._s
        # A leader changes members only after an entry of its own term has committed. Otherwise two
        # leaders could each use a membership that the other one does not know.
        if s.members_index > s.commit_index or s.commit_index < s.noop_index:
            return
        if any(proposal.kind == MEMBERS for proposal in s.pending):
            return
        change = self._next_change()
        if change is None:
            return
        logs.event(
            "members",
            node=s.node_id,
            voters=",".join(sorted(change.voters)),
            added=",".join(sorted(change.voters.keys() - s.voters.keys())),
            removed=",".join(sorted(s.voters.keys() - change.voters.keys())),
            cause=change.cause,
        )
        s.counters.add("consensus_member_changes", change.cause)
        s.pending.append(Proposal(MEMBERS, encode_members(s.group_id, change.voters)))
        s.write_needed.set()

    def _next_change(self) -> VoterChange | None:
        s = self._s
        if s.cfg.admits_members and len(s.voters) > s.cfg.max_voters:
            surplus = self._find_stopping_voter() or self._find_silent_voter()
            return self._without(surplus, "replaced") if surplus is not None else None
        for peer in s.progress.values():
            if not self._may_join(peer):
                continue
            # A replaced disk is removed first and added by a second entry. Swapping both in one
            # entry would allow disjoint majorities of the old and the new membership.
            if peer.node_id in s.voters:
                return self._without(peer.node_id, "new-disk")
            joined = {**s.voters, peer.node_id: peer.disk_id}
            if not s.cfg.admits_members or len(s.voters) < s.cfg.max_voters:
                return VoterChange(joined, "joined")
            # The vote of a stopping instance, which can still be counted, is replaced before it is
            # removed, so that no disk less may be lost meanwhile.
            if self._find_stopping_voter() is not None:
                return VoterChange(joined, "stopping")
            silent_voter = self._find_silent_voter()
            if silent_voter is not None:
                return self._without(silent_voter, "silent")
        if s.cfg.admits_members:
            return None
        for node_id in s.voters:
            if node_id not in s.configured_ids:
                return self._without(node_id, "not-configured")
        return None

    def _without(self, node_id: str, cause: str) -> VoterChange:
        voters = {n: d for n, d in self._s.voters.items() if n != node_id}
        return VoterChange(voters, cause)

    def _may_join(self, peer: Progress) -> bool:
        """Return whether the disk of a peer could vote from now on."""
        s = self._s
        if not peer.disk_id or s.voters.get(peer.node_id) == peer.disk_id:
            return False
        return self._is_caught_up(peer) and not self._is_stopping(peer.node_id)

    def _is_stopping(self, node_id: str) -> bool:
        return now_ms() - self._stopping_ms.get(node_id, -math.inf) <= STOPPING_MS

    def _find_stopping_voter(self) -> str | None:
        return next((n for n in self._s.voters if self._is_stopping(n)), None)

    def _find_silent_voter(self) -> str | None:
        """Return a voter that has been silent for replace_silent_ms, None if there is none.

        A joining instance may replace it.
        """
        s = self._s
        oldest_contact_ms = now_ms() - s.cfg.replace_silent_ms
        for node_id in s.voters:
            peer = s.progress.get(node_id)
            if node_id == s.node_id or peer is None:
                continue
            if max(peer.acked_ms, s.leader_since_ms) < oldest_contact_ms:
                return node_id
        return None

    def _is_present(self, peer: Progress) -> bool:
        return now_ms() - peer.acked_ms <= self._s.cfg.election_timeout_ms

    def _is_caught_up(self, peer: Progress) -> bool:
        return self._is_present(peer) and peer.match_index >= self._s.commit_index

    # Handing a vote over

    async def on_hand_over(self, node_id: str, msg: HandOver) -> HandOverReply:
        """Let another instance vote in place of one that stops."""
        s = self._s
        if s.role is not Role.LEADER:
            return HandOverReply(is_leader=False, is_done=False)
        self._stopping_ms[node_id] = now_ms()
        self.manage()
        return HandOverReply(is_leader=True, is_done=self._is_handed_over(node_id))

    def _is_handed_over(self, node_id: str) -> bool:
        """Return whether a stopping instance no longer votes, or no other one can take its vote."""
        s = self._s
        if node_id not in s.voters:
            return s.members_index <= s.commit_index
        first_contacts_ms = FIRST_CONTACT_HEARTBEATS * s.cfg.heartbeat_ms
        if now_ms() - s.leader_since_ms <= first_contacts_ms or len(s.voters) > s.cfg.max_voters:
            return False
        return not any(
            peer.node_id not in s.voters
            and self._is_present(peer)
            and not self._is_stopping(peer.node_id)
            for peer in s.progress.values()
        )

    async def hand_over(self) -> None:
        """Let another instance vote in place of this one; returns once none is left to wait for."""
        s = self._s
        while s.role is not Role.STOPPED:
            if not set(self._known_members()) - s.voters.keys():
                return
            if await self._request_hand_over():
                logs.event("vote_handed_over", node=s.node_id, voters=",".join(sorted(s.voters)))
                return
            await trio.sleep(s.cfg.heartbeat_ms / 2 / MS_PER_S)

    async def _request_hand_over(self) -> bool:
        s = self._s
        msg = HandOver()
        if s.role is Role.LEADER:
            return (await self.on_hand_over(s.node_id, msg)).is_done
        if s.leader_id is None:
            return False
        try:
            reply = await s.transport.call(s.leader_id, msg, s.cfg.call_timeout_ms)
        except PeerError:
            return False
        return isinstance(reply, HandOverReply) and reply.is_done

    # What operators see

    def view(self) -> GroupView | None:
        """Return the state of the group, None unless this replica leads."""
        s = self._s
        if s.role is not Role.LEADER:
            return None
        learners = [
            peer.node_id
            for peer in s.progress.values()
            if peer.node_id not in s.voters and self._is_present(peer)
        ]
        replaced = {n: "stopping" for n in s.voters if self._is_stopping(n)}
        silent_voter = self._find_silent_voter()
        if silent_voter is not None:
            replaced.setdefault(silent_voter, "silent")
        replaced |= {
            peer.node_id: "new-disk"
            for peer in s.progress.values()
            if peer.disk_id and s.voters.get(peer.node_id, peer.disk_id) != peer.disk_id
        }
        current = sum(1 for n, d in s.voters.items() if self._holds_all(n, d))
        losable = current - (len(s.voters) // 2 + 1)
        return GroupView(tuple(sorted(s.voters)), tuple(sorted(learners)), replaced, losable)

    def _holds_all(self, node_id: str, disk_id: str) -> bool:
        """Return whether a voting disk can be reached and holds everything committed."""
        s = self._s
        if node_id == s.node_id:
            return s.is_own_disk(disk_id) and s.durable_index >= s.commit_index
        peer = s.progress.get(node_id)
        return peer is not None and peer.disk_id == disk_id and self._is_caught_up(peer)
