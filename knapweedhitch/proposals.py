"""Submission of changes to the leader, from a control instance or any other node."""

from __future__ import annotations

from typing import Any

import trio

from knapweedhitch import changes
from knapweedhitch.clock import MS_PER_S
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

# An election yields the next leader within this time; an earlier retry only repeats the refusal.
RETRY_DELAY_MS = 100


class Proposer:
    """Submit changes through this node's control service or through control instances."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        own_id = kernel.cfg.node.id
        members = (member.id for member in kernel.cfg.control.members)
        # The local node comes first, because an attempt there needs no message.
        self._members = sorted(members, key=lambda node_id: node_id != own_id)
        # The instance that accepted the last change, or that another one named as the leader.
        self._leader_id: str | None = None

    async def submit(self, change: Any) -> int:
        """Submit a change and return its version.

        Raises VersionConflict, InvalidChange, NotLeader (the change was not accepted) and
        ProposalUnknown (it may have been; retrying with the same change id is safe).
        """
        timeout_ms = self._kernel.cfg.operator.propose_timeout_ms
        state = _SubmitState()
        with trio.move_on_after(timeout_ms / MS_PER_S):
            return await self._submit_until_accepted(change, state)
        if state.may_be_accepted:
            raise ProposalUnknown("no control instance confirmed the change in time")
        raise NotLeader(state.leader_id)

    async def _submit_until_accepted(self, change: Any, state: _SubmitState) -> int:
        data = changes.encode_change(change)
        while True:
            # A silent instance takes a whole timeout, so the leader comes first and it comes last.
            untried = sorted(self._members, key=state.silent.__contains__)
            while untried:
                node_id = self._leader_id if self._leader_id in untried else untried[0]
                untried.remove(node_id)
                was_uncertain = state.may_be_accepted
                # Set before the call, because an attempt cancelled by the timeout may be accepted.
                state.may_be_accepted = True
                try:
                    version = await self._submit_to(node_id, change, data)
                except NotLeader as exc:
                    state.may_be_accepted = was_uncertain
                    state.leader_id = exc.leader_id
                    # Until the next election, the others name a silent instance as the leader.
                    self._leader_id = exc.leader_id if exc.leader_id not in state.silent else None
                except (PeerUnreachable, PeerQueueFull):
                    state.may_be_accepted = was_uncertain
                    state.silent.add(node_id)
                except (PeerError, ProposalUnknown):
                    state.silent.add(node_id)
                else:
                    self._leader_id = node_id
                    return version
            await trio.sleep(RETRY_DELAY_MS / MS_PER_S)

    async def _submit_to(self, node_id: str, change: Any, data: bytes) -> int:
        if node_id == self._kernel.cfg.node.id and self._kernel.has("control"):
            version: int = await self._kernel.get("control").submit(change)
            return version
        reply = await self._kernel.get("peers").call(
            node_id, Propose(data), self._kernel.cfg.control.call_timeout_ms
        )
        return _version_from_reply(reply, change)


class _SubmitState:
    """Track the outcome of the attempts to submit one change."""

    def __init__(self) -> None:
        self.leader_id: str | None = None
        self.may_be_accepted = False
        # The instances that gave no answer.
        self.silent: set[str] = set()


def _version_from_reply(reply: ProposeReply, change: Any) -> int:
    if not reply.error:
        return reply.version
    # A leader that has not applied the entries of earlier terms yet replies ReplicaBusy.
    if reply.error in ("NotLeader", "ReplicaBusy"):
        raise NotLeader(reply.leader_id or None)
    if reply.error == "VersionConflict":
        raise VersionConflict(change.base_version or 0, reply.version, reply.detail)
    if reply.error == "InvalidChange":
        raise InvalidChange(reply.detail)
    raise ProposalUnknown(f"{reply.error}: {reply.detail}")
