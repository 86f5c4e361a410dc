"""Choose the targets that a call may use while its service is rolled out."""

from __future__ import annotations

from collections.abc import Sequence

from knapweedhitch.model import Target
from knapweedhitch.rollout import Phase, Rollout

Targets = tuple[Target, ...]


def offers_new(rollout: Rollout, draw: float, *, is_first: bool) -> bool:
    """Return whether a call goes to the new version; `draw` is uniform from 0 to 1.

    Further attempts go to the other version, which is known to be good.
    """
    match rollout.step.phase:
        case Phase.CANARY | Phase.SHIFT:
            return is_first and draw < rollout.step.share
        case Phase.DRAIN | Phase.COMPLETED:
            return True
    return False


def usable_targets(targets: Sequence[Target], rollout: Rollout, *, on_new: bool) -> Targets:
    """Return the targets that a call may use; their nodes decide in the end."""
    new = tuple(t for t in targets if rollout.is_new(t.upstream.version))
    old = tuple(t for t in targets if not rollout.is_new(t.upstream.version))
    match rollout.step.phase:
        case Phase.CANARY:
            canaries = tuple(t for t in new if t.upstream.instance_id in rollout.step.canaries)
            return (canaries or old) if on_new else (old or canaries)
        case Phase.SHIFT:
            return (new or old) if on_new else (old or new)
        case Phase.DRAIN:
            return new
        case Phase.COMPLETED:
            return tuple(t for t in targets if t.upstream.version not in rollout.replaced)
    return old


def open_targets(targets: Targets, serving: Targets, closed_versions: frozenset[str]) -> Targets:
    """Return the targets without those of closed versions, which other serving ones replace."""
    for candidates in (targets, serving):
        if found := tuple(t for t in candidates if t.upstream.version not in closed_versions):
            return found
    return targets
