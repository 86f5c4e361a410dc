"""The start of a replica with a used folder: it votes and counts once it is known to be whole."""

from __future__ import annotations

from collections.abc import Callable

import trio

from knapweedhitch import logs
from knapweedhitch.exceptions import PeerError
from knapweedhitch.messages import Introduce, IntroduceReply
from knapweedhitch.raftstate import MS_PER_S, ReplicaState, Role, now_ms


class Admission:
    """Ask the other members for what the own disk had promised, and answer them."""

    def __init__(self, state: ReplicaState, proof_age_ms: Callable[[], float | None]) -> None:
        self._s = state
        self._proof_age_ms = proof_age_ms
        store = state.store
        # Taken at the start: until the others are asked, a leader may fill up an older copy.
        self._at_start = Introduce(
            store.disk_id, store.term, store.vote, store.last_term, store.last_index
        )

    async def run(self) -> None:
        """Ask until the folder is confirmed or found to be an older copy; raises StorageError."""
        s = self._s
        # Votes and acknowledgements that the process before this one has sent may still arrive
        # for the time of a call; the others must be asked after that.
        await trio.sleep(s.cfg.call_timeout_ms / MS_PER_S)
        asked_from_ms, goal = now_ms(), -1
        while not s.is_confirmed:
            sent_ms = now_ms()
            replies = await self.ask_all()
            if any(reply.lost for reply in replies.values()):
                await self._replace_disk()
                return
            for reply in replies.values():
                # The majority of this proof answered after the start, and this disk is not in it.
                # So no later leader exists that could have counted this disk before the start.
                if reply.proof_age_ms >= 0 and sent_ms - reply.proof_age_ms >= asked_from_ms:
                    goal = max(goal, reply.commit_index)
            caught_up = 0 <= goal <= s.commit_index
            all_answered = goal < 0 and len(replies) == len(s.progress)
            if caught_up or all_answered:
                await self._confirm(replies, caught_up)
                return
            await trio.sleep(s.cfg.heartbeat_ms / MS_PER_S)

    async def _confirm(self, replies: dict[str, IntroduceReply], caught_up: bool) -> None:
        s = self._s
        highest_term = max((r.term for r in replies.values()), default=0)
        async with s.lock:
            if not caught_up:
                self._note_shown(replies)
            # A vote of this disk may be counted in a term that it has forgotten: it gives none in
            # the highest term of the others.
            if highest_term > s.store.term:
                s.follow(None)
                await s.store.set_term(highest_term, s.node_id)
            elif not s.store.vote:
                await s.store.set_term(s.store.term, s.node_id)
            s.is_confirmed = True
        logs.event("disk_confirmed", node=s.node_id, term=s.store.term)
        while s.is_behind:
            await trio.sleep(s.cfg.heartbeat_ms / MS_PER_S)
            # A member may since have replaced its tail or its disk; what it shows now holds.
            self._note_shown(await self.ask_all())
        s.shown.clear()

    def _note_shown(self, replies: dict[str, IntroduceReply]) -> None:
        for node_id, reply in replies.items():
            self._s.shown[node_id] = (reply.last_term, reply.last_index)

    async def _replace_disk(self) -> None:
        s = self._s
        async with s.lock:
            old = s.store.disk_id
            await s.store.renew_disk_id()
            s.is_confirmed = True
        s.counters.add("consensus_older_copy")
        logs.warning("older_copy", node=s.node_id, disk=old, new_disk=s.store.disk_id)

    async def ask_all(self) -> dict[str, IntroduceReply]:
        """Show the own state to every other member and return the replies that came."""
        s = self._s
        replies: dict[str, IntroduceReply] = {}

        async def ask(node_id: str) -> None:
            try:
                reply = await s.transport.call(node_id, self._at_start, s.cfg.call_timeout_ms)
            except PeerError:
                return
            if isinstance(reply, IntroduceReply):
                replies[node_id] = reply

        async with trio.open_nursery() as nursery:
            for node_id in s.progress:
                nursery.start_soon(ask, node_id)
        return replies

    async def on_introduce(self, node_id: str, msg: Introduce) -> IntroduceReply:
        """Tell another member whether its disk had promised more than it shows."""
        s = self._s
        age_ms = self._proof_age_ms()
        commit_index = s.commit_index if age_ms is not None else -1
        lost = s.witness.has_lost(node_id, msg)
        # A leader's last entries may not be synced yet, and a power loss may rightly lose them.
        last = s.durable_index if s.role is Role.LEADER else s.store.last_index
        return IntroduceReply(
            s.store.disk_id,
            s.store.is_empty,
            lost,
            s.store.term,
            s.store.term_at(last) or 0,
            last,
            commit_index,
            -1.0 if age_ms is None else age_ms,
        )
