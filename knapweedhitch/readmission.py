"""Readmission of a replica that restarts on a used data folder, which may be an older copy.

The replica votes and counts towards a majority only after its disk is confirmed.
"""

from __future__ import annotations

from collections.abc import Callable

import trio

from knapweedhitch import logs
from knapweedhitch.clock import MS_PER_S, now_ms
from knapweedhitch.exceptions import PeerError
from knapweedhitch.messages import Introduce, IntroduceReply
from knapweedhitch.raftstate import ReplicaState, Role


class Readmission:
    """Confirm the local disk with the other members, and check theirs on request."""

    def __init__(self, state: ReplicaState, proof_age_ms: Callable[[], float | None]) -> None:
        self._s = state
        self._proof_age_ms = proof_age_ms
        store = state.store
        # Recorded at the start: before the others are asked, a leader may fill up an older copy,
        # which would hide the loss.
        self._initial_state = Introduce(
            store.disk_id, store.term, store.vote, store.last_term, store.last_index
        )

    async def run(self) -> None:
        """Ask until the disk is confirmed or known to be an older copy; raises StorageError."""
        s = self._s
        # Votes and acknowledgements sent by the previous process may arrive for up to one call
        # timeout; the other members must be asked after that.
        await trio.sleep(s.cfg.call_timeout_ms / MS_PER_S)
        start_ms, target_index = now_ms(), -1
        while not s.is_confirmed:
            sent_ms = now_ms()
            replies = await self.introduce_to_peers()
            if any(reply.has_lost_data for reply in replies.values()):
                await self._replace_disk()
                return
            for reply in replies.values():
                # The majority behind this proof replied after the start, and this disk is not part
                # of it. So no later leader can have counted this disk before the start.
                if reply.proof_age_ms >= 0 and sent_ms - reply.proof_age_ms >= start_ms:
                    target_index = max(target_index, reply.commit_index)
            is_caught_up = 0 <= target_index <= s.commit_index
            all_replied = target_index < 0 and len(replies) == len(s.progress)
            if is_caught_up or all_replied:
                await self._confirm(replies, is_caught_up)
                return
            await trio.sleep(s.cfg.heartbeat_ms / MS_PER_S)

    async def _confirm(self, replies: dict[str, IntroduceReply], is_caught_up: bool) -> None:
        s = self._s
        highest_term = max((r.term for r in replies.values()), default=0)
        async with s.lock:
            if not is_caught_up:
                self._record_positions(replies)
            # A forgotten vote of this disk may be counted in a term up to the highest one of the
            # other members. Voting for itself there prevents a second vote.
            if highest_term > s.store.term:
                s.become_follower(None)
                await s.store.set_term(highest_term, s.node_id)
            elif not s.store.vote:
                await s.store.set_term(s.store.term, s.node_id)
            s.is_confirmed = True
        logs.event("disk_confirmed", node=s.node_id, term=s.store.term)
        while s.is_behind:
            await trio.sleep(s.cfg.heartbeat_ms / MS_PER_S)
            # A member may have replaced its log tail or its disk since; its latest position counts.
            self._record_positions(await self.introduce_to_peers())
        s.reported_positions.clear()

    def _record_positions(self, replies: dict[str, IntroduceReply]) -> None:
        for node_id, reply in replies.items():
            self._s.reported_positions[node_id] = (reply.last_term, reply.last_index)

    async def _replace_disk(self) -> None:
        s = self._s
        async with s.lock:
            old_disk_id = s.store.disk_id
            await s.store.renew_disk_id()
            s.is_confirmed = True
        s.counters.add("consensus_older_copy")
        logs.warning("older_copy", node=s.node_id, disk=old_disk_id, new_disk=s.store.disk_id)

    async def introduce_to_peers(self) -> dict[str, IntroduceReply]:
        """Send the state at the start to every other member and return the replies received."""
        s = self._s
        replies: dict[str, IntroduceReply] = {}

        async def introduce(node_id: str) -> None:
            try:
                reply = await s.transport.call(node_id, self._initial_state, s.cfg.call_timeout_ms)
            except PeerError:
                return
            if isinstance(reply, IntroduceReply):
                replies[node_id] = reply

        async with trio.open_nursery() as nursery:
            for node_id in s.progress:
                nursery.start_soon(introduce, node_id)
        return replies

    async def on_introduce(self, node_id: str, msg: Introduce) -> IntroduceReply:
        """Reply whether the disk of another member has lost votes or acknowledged entries."""
        s = self._s
        age_ms = self._proof_age_ms()
        commit_index = s.commit_index if age_ms is not None else -1
        has_lost_data = s.promises.detect_loss(node_id, msg)
        # A leader's last entries may not be synced yet, so a power loss may legitimately lose them.
        last_index = s.durable_index if s.role is Role.LEADER else s.store.last_index
        return IntroduceReply(
            s.store.disk_id,
            s.store.is_empty,
            has_lost_data,
            s.store.term,
            s.store.term_at(last_index) or 0,
            last_index,
            commit_index,
            -1.0 if age_ms is None else age_ms,
        )
