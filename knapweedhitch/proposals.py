"""Hand a change to the leader, from a control instance or from any other node."""

from __future__ import annotations

from typing import Any

import trio

from knapweedhitch import changes
from knapweedhitch.exceptions import (
    InvalidChange,
    NotLeader,
    PeerError,
    PeerQueueFull,
    PeerUnreachable,
    ProposalUnknown,
    VersionConflict,
)
from knapweedhitch.kernel import Kernel
from knapweedhitch.messages import Propose, ProposeReply

# An election gives the next leader within this; asking again sooner only repeats the refusal.
RETRY_DELAY_MS = 100
MS_PER_S = 1_000.0


class Proposer:
    """Submit changes through this node's control service or through control instances."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        own_id = kernel.cfg.node.id
        members = (member.id for member in kernel.cfg.control.members)
        # A try at this node itself costs no message.
        self._members = sorted(members, key=lambda node_id: node_id != own_id)

    async def submit(self, change: Any) -> int:
        """Return the version of the accepted change.

        Raises VersionConflict, InvalidChange, NotLeader (the change was not taken) and
        ProposalUnknown (it may have been; the same change id is safe to send again).
        """
        timeout_ms = self._kernel.cfg.operator.propose_timeout_ms
        state = _Attempt()
        with trio.move_on_after(timeout_ms / MS_PER_S):
            return await self._until_accepted(change, state)
        if state.maybe_taken:
            raise ProposalUnknown("no control instance confirmed the change in time")
        raise NotLeader(state.leader_id)

    async def _until_accepted(self, change: Any, state: _Attempt) -> int:
        data = changes.encode_change(change)
        while True:
            for node_id in self._members:
                before = state.maybe_taken
                # Set first, because a try that the time limit cancels may have been taken.
                state.maybe_taken = True
                try:
                    return await self._try_at(node_id, change, data)
                except NotLeader as exc:
                    state.maybe_taken = before
                    state.leader_id = exc.leader_id
                except (PeerUnreachable, PeerQueueFull):
                    state.maybe_taken = before
                except (PeerError, ProposalUnknown):
                    pass
            await trio.sleep(RETRY_DELAY_MS / MS_PER_S)

    async def _try_at(self, node_id: str, change: Any, data: bytes) -> int:
        if node_id == self._kernel.cfg.node.id and self._kernel.has("control"):
            version: int = await self._kernel.get("control").submit(change)
            return version
        reply = await self._kernel.get("peers").call(
            node_id, Propose(data), self._kernel.cfg.control.call_timeout_ms
        )
        return _version(reply, change)


class _Attempt:
    """Hold what the tries of one change have shown so far."""

    def __init__(self) -> None:
        self.leader_id: str | None = None
        self.maybe_taken = False


def _version(reply: ProposeReply, change: Any) -> int:
    if not reply.error:
        return reply.version
    # ReplicaBusy is a leader that does not know the state of earlier terms yet.
    if reply.error in ("NotLeader", "ReplicaBusy"):
        raise NotLeader(reply.leader_id or None)
    if reply.error == "VersionConflict":
        raise VersionConflict(change.base_version or 0, reply.version, reply.detail)
    if reply.error == "InvalidChange":
        raise InvalidChange(reply.detail)
    raise ProposalUnknown(f"{reply.error}: {reply.detail}")
