"""Raft elections: pre-vote, votes and check-quorum."""

from __future__ import annotations

import math
from collections.abc import Mapping

import trio

from knapweedhitch import logs
from knapweedhitch.clock import MS_PER_S, now_ms
from knapweedhitch.exceptions import PeerError
from knapweedhitch.messages import VoteReply, VoteRequest
from knapweedhitch.raftstate import FOUNDER_DISK, NOOP, Proposal, ReplicaState, Role


class Elections:
    """Start an election when the leader is silent, and reply to vote requests."""

    def __init__(self, state: ReplicaState) -> None:
        self._s = state
        self._is_candidate = False
        # When this replica last voted for another one.
        self._voted_ms = -math.inf
        # The last acknowledgement before a pause of this process, and the time until which a
        # silence since then is no reason to step down.
        self._excused_ack_ms = -math.inf
        self._excused_until_ms = -math.inf

    async def run(self) -> None:
        """Detect a silent leader or, while leading, a lost quorum; raises StorageError."""
        s = self._s
        has_failed = False
        while s.role is not Role.STOPPED:
            if s.role is Role.LEADER:
                has_failed = False
                due_ms = now_ms() + s.cfg.heartbeat_ms
                await trio.sleep_until(due_ms / MS_PER_S)
                self._check_quorum(was_paused=now_ms() - due_ms > s.cfg.heartbeat_ms)
                continue
            if not (s.is_voter and len(s.voters) == 1):
                await self._wait_for_election_timeout(has_failed)
            may_campaign = s.is_voter and not s.is_behind and not s.is_disk_slow
            has_failed = False
            if may_campaign and s.role is Role.FOLLOWER and not self._has_live_leader():
                await self.campaign()
                has_failed = s.role is Role.FOLLOWER
            if s.role is Role.FOLLOWER:
                await trio.sleep(s.rng.random() * s.cfg.heartbeat_ms / MS_PER_S)

    async def _wait_for_election_timeout(self, is_retry: bool) -> None:
        s = self._s
        had_contact = s.last_contact_ms > -math.inf
        base_ms = s.cfg.election_timeout_ms if had_contact else s.cfg.first_election_timeout_ms
        timeout_ms = base_ms * ((0.0 if is_retry else 1.0) + s.rng.random())
        timeout_at_ms = now_ms() + timeout_ms
        while s.role is Role.FOLLOWER:
            await trio.sleep_until(timeout_at_ms / MS_PER_S)
            contact_ms = max(s.last_contact_ms, self._voted_ms)
            if contact_ms + timeout_ms <= timeout_at_ms:
                return
            timeout_at_ms = contact_ms + timeout_ms

    def _check_quorum(self, *, was_paused: bool) -> None:
        s = self._s
        if s.role is not Role.LEADER:
            return
        acked_ms = max(s.quorum_acked_ms(), s.leader_since_ms)
        if now_ms() - acked_ms <= s.cfg.election_timeout_ms:
            return
        if was_paused and acked_ms > self._excused_ack_ms:
            # A process that got no processor time has neither sent heartbeats nor read replies.
            # Its peers get time for one reply, once in each silence.
            self._excused_ack_ms = acked_ms
            self._excused_until_ms = now_ms() + s.cfg.call_timeout_ms
        if now_ms() >= self._excused_until_ms:
            s.counters.add("consensus_quorum_lost")
            s.become_follower(None)

    async def campaign(self) -> None:
        """Request pre-votes, then votes, and lead on a majority; raises StorageError."""
        await self._campaign(None)

    async def form_group(self, disks: Mapping[str, str]) -> None:
        """Campaign among the configured members, and as leader write the first members entry.

        The majority is that of all configured members, and the entry lists them all, so that it
        keeps this majority, also those that did not reply. Raises StorageError.
        """
        s = self._s
        await self._campaign({n: disks.get(n, FOUNDER_DISK) for n in s.configured_ids})

    async def _campaign(self, founders: Mapping[str, str] | None) -> None:
        """Campaign among the voters, or among the founders of a group that is not formed yet."""
        self._is_candidate = True
        try:
            await self._run_campaign(founders)
        finally:
            self._is_candidate = False

    async def _run_campaign(self, founders: Mapping[str, str] | None) -> None:
        s = self._s

        def may_lead() -> bool:
            is_entitled = s.is_voter if founders is None else s.may_found
            return s.role is Role.FOLLOWER and is_entitled

        term = s.store.term + 1
        voters = dict(s.voters if founders is None else founders)
        if not await self._request_votes(term, voters, pre_vote=True):
            return
        async with s.lock:
            if not may_lead() or self._has_live_leader():
                return
            # A vote for another candidate has begun a term meanwhile.
            if s.store.term + 1 != term:
                return
            s.leader_id = None
            await s.store.set_term(term, s.node_id)
        s.counters.add("consensus_elections")
        voters = dict(s.voters) if founders is None else voters
        if await self._request_votes(term, voters, pre_vote=False):
            async with s.lock:
                if s.store.term != term or not may_lead():
                    return
                if founders is not None:
                    await s.write_first_members(term, founders)
                self._become_leader()

    def _become_leader(self) -> None:
        s = self._s
        s.role, s.leader_id = Role.LEADER, s.node_id
        s.durable_index = s.store.last_index
        s.noop_index = math.inf
        s.leader_since_ms = now_ms()
        for progress in s.progress.values():
            progress.reset(s.store.last_index + 1)
            progress.wake_heartbeat.set()
        s.pending.appendleft(Proposal(NOOP, b""))
        s.write_needed.set()
        s.wake_peers()
        logs.event("leader", node=s.node_id, term=s.store.term)

    async def _request_votes(self, term: int, voters: Mapping[str, str], *, pre_vote: bool) -> bool:
        """Return whether a majority of the voting disks grants its vote."""
        s = self._s
        granted = {s.node_id}
        highest_term = s.store.term
        needed = len(voters) // 2 + 1
        if len(granted) >= needed:
            return True

        async def request_vote(node_id: str, disk_id: str) -> None:
            nonlocal highest_term
            req = VoteRequest(
                term,
                s.node_id,
                s.store.last_index,
                s.store.last_term,
                pre_vote,
                s.store.disk_id,
                disk_id,
            )
            try:
                reply = await s.transport.call(node_id, req, s.cfg.call_timeout_ms)
            except PeerError:
                return
            if not isinstance(reply, VoteReply):
                return
            if reply.granted and reply.disk_id == disk_id:
                granted.add(node_id)
                if not pre_vote:
                    s.promises.record_term(node_id, disk_id, term, voted=True)
            highest_term = max(highest_term, reply.term)
            if len(granted) >= needed:
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for node_id, disk_id in voters.items():
                if node_id != s.node_id:
                    nursery.start_soon(request_vote, node_id, disk_id)
        if len(granted) < needed and highest_term > s.store.term:
            async with s.lock:
                if highest_term > s.store.term:
                    await s.adopt_term(highest_term)
        return len(granted) >= needed

    def _has_live_leader(self) -> bool:
        s = self._s
        return s.role is Role.LEADER or now_ms() - s.last_contact_ms < s.cfg.election_timeout_ms

    async def on_vote(self, node_id: str, msg: VoteRequest) -> VoteReply:
        """Reply to a vote request once the vote is durable; raises StorageError."""
        s = self._s
        async with s.running():
            # The request names the voter's disk as the candidate's log lists it. No log lists the
            # disk id of an emptied or replaced disk, so such a disk cannot vote.
            is_admitted = s.is_confirmed and s.is_own_disk(msg.voter_disk_id)
            if not msg.pre_vote:
                s.promises.record_term(node_id, msg.disk_id, msg.term, voted=True)
            if s.cfg.form_without_ms and msg.last_index == 0 and not self._may_found(msg):
                return self._reply(False)
            if not is_admitted or self._has_live_leader() or not self._is_up_to_date(msg):
                return self._reply(False)
            if msg.pre_vote:
                granted = msg.term > s.store.term and not self._precedes(msg)
                return self._reply(granted, msg.voter_disk_id)
            if msg.term < s.store.term:
                return self._reply(False)
            if msg.term == s.store.term and s.store.vote not in ("", msg.candidate_id):
                return self._reply(False)
            if (msg.term, msg.candidate_id) != (s.store.term, s.store.vote):
                s.become_follower(None)
                await s.store.set_term(msg.term, msg.candidate_id)
            self._voted_ms = now_ms()
            return self._reply(True, msg.voter_disk_id)

    def _may_found(self, msg: VoteRequest) -> bool:
        """Return whether this vote may found a group; only an empty candidate asks for that.

        A member may have voted before on a disk that it has lost.
        """
        return self._s.may_found and msg.candidate_id in self._s.configured_ids

    def _is_up_to_date(self, msg: VoteRequest) -> bool:
        return (msg.last_term, msg.last_index) >= self._s.required_position

    def _precedes(self, msg: VoteRequest) -> bool:
        """Return whether this replica is a candidate that goes before the other one.

        Two candidates that let each other begin a term would each vote for themselves, and split
        the votes.
        """
        store = self._s.store
        own = (store.last_term, store.last_index, self._s.node_id)
        return self._is_candidate and own > (msg.last_term, msg.last_index, msg.candidate_id)

    def _reply(self, granted: bool, disk_id: str = "") -> VoteReply:
        """Return a reply under the name by which the candidate knows the disk, if it is granted."""
        return VoteReply(self._s.store.term, granted, disk_id or self._s.confirmed_disk_id)
