"""Permissions for calls to the local upstream, shared by both kinds of admission."""

from __future__ import annotations

import dataclasses

from knapweedhitch.exceptions import DomainOut, NodeDraining, NoTarget, Refusal, UpstreamDraining
from knapweedhitch.model import UpstreamRecord, UpstreamState


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """Represent the permission for one call to the upstream."""

    slot_id: int
    generation: int
    queued_ms: float


def closed_refusal(
    record: UpstreamRecord | None, *, draining: bool, domain_out: bool
) -> Refusal | None:
    """Return the refusal for new calls to the local upstream, or None if it accepts them."""
    if domain_out:
        return DomainOut()
    if draining:
        return NodeDraining()
    if record is None:
        return NoTarget(detail="no upstream is announced")
    return UpstreamDraining() if record.state is UpstreamState.LEAVING else None
