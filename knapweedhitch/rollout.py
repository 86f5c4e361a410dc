"""The replicated state of roll-outs, and the rules by which orders and steps change it."""

from __future__ import annotations

import enum
import re
from collections.abc import Collection, Mapping
from typing import Annotated

from msgspec import Meta, structs

from knapweedhitch.codec import Record
from knapweedhitch.exceptions import InvalidChange, RolloutInProgress

VERSION_LABEL = re.compile(r"[!-~]{1,128}")
MAX_DURATION_MS = 86_400_000
MAX_CANARIES = 256
MAX_REASON_CHARS = 200


class Phase(enum.Enum):
    """List the phases of a roll-out in their order; the last two are final."""

    # A few targets of the new version get a small share, call by call.
    CANARY = "canary"
    # All targets of the new version get a growing share.
    SHIFT = "shift"
    # Targets of other versions take no new calls and finish those in progress.
    DRAIN = "drain"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"


FINAL_PHASES = frozenset({Phase.COMPLETED, Phase.ROLLED_BACK})
_RANKS = {phase: rank for rank, phase in enumerate(Phase)}

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Count = Annotated[int, Meta(ge=0)]


class Step(Record, frozen=True):
    """Describe how far the traffic has moved; the leader of the control group proposes it."""

    phase: Phase = Phase.CANARY
    # Share of calls that entry nodes offer to the new version.
    share: Share = 0.0
    # Upper bound of the calls that canaries have been granted so far.
    granted: Count = 0
    # Instances of the new version that get calls in the canary phase.
    canaries: tuple[str, ...] = ()


class Rollout(Record, frozen=True):
    """Describe the last roll-out of one service; `version` is that of the order in the log."""

    service: str
    target_version: str
    duration_ms: int
    order_id: str
    version: int
    started_wall_ms: int
    step: Step = Step()
    reason: str = ""
    # Versions whose targets a completed roll-out has stopped.
    replaced: tuple[str, ...] = ()

    @property
    def is_running(self) -> bool:
        """Return whether the roll-out has not ended."""
        return self.step.phase not in FINAL_PHASES

    def is_new(self, version: str) -> bool:
        """Return whether a target of that version is one that the order asks for."""
        return version == self.target_version

    def is_same_order(self, target_version: str, duration_ms: int, order_id: str) -> bool:
        """Return whether an order with these fields is a repetition of this one."""
        fields = (self.target_version, self.duration_ms, self.order_id)
        return fields == (target_version, duration_ms, order_id)


Rollouts = Mapping[str, Rollout]


def check_order(target_version: str, duration_ms: float) -> None:
    """Check the fields of an order; raises InvalidChange."""
    if not VERSION_LABEL.fullmatch(target_version):
        raise InvalidChange("target version: use 1 to 128 visible ASCII characters")
    if not 1 <= duration_ms <= MAX_DURATION_MS:
        raise InvalidChange(f"duration: use 1 to {MAX_DURATION_MS} ms")


def start(rollouts: Rollouts, order: Rollout, versions: Collection[str]) -> Rollouts:
    """Return the roll-outs after an order; `versions` are those of the service's targets.

    Raises InvalidChange, RolloutInProgress.
    """
    check_order(order.target_version, order.duration_ms)
    last = rollouts.get(order.service)
    if last is not None:
        if last.is_same_order(order.target_version, order.duration_ms, order.order_id):
            return rollouts
        if last.is_running:
            raise RolloutInProgress(f"{last.target_version} of {last.service} is being rolled out")
    if set(versions) == {order.target_version}:
        # There is nothing to move, and a bounded share would stop the whole service.
        step = structs.replace(order.step, phase=Phase.COMPLETED)
        order = structs.replace(order, step=step, reason="all targets have this version")
    return {**rollouts, order.service: order}


def advance(rollouts: Rollouts, service: str, version: int, step: Step) -> Rollouts:
    """Return the roll-outs after a step of a running one; raises InvalidChange."""
    last = _running(rollouts, service, version)
    if step.phase in FINAL_PHASES or _RANKS[step.phase] < _RANKS[last.step.phase]:
        raise InvalidChange(f"no step from {last.step.phase.value} to {step.phase.value}")
    if step.granted < last.step.granted:
        raise InvalidChange("calls that were granted cannot be taken back")
    if len(step.canaries) > MAX_CANARIES:
        raise InvalidChange(f"over {MAX_CANARIES} canaries")
    return {**rollouts, service: structs.replace(last, step=step)}


def finish(
    rollouts: Rollouts,
    service: str,
    version: int,
    *,
    completed: bool,
    reason: str,
    versions: Collection[str] = (),
) -> Rollouts:
    """Return the roll-outs after the end of a running one; raises InvalidChange."""
    last = _running(rollouts, service, version)
    if completed and last.step.phase is not Phase.DRAIN:
        raise InvalidChange("targets of other versions have not finished their calls")
    phase = Phase.COMPLETED if completed else Phase.ROLLED_BACK
    replaced = tuple(sorted(v for v in versions if v != last.target_version)) if completed else ()
    ended = structs.replace(
        last,
        step=structs.replace(last.step, phase=phase),
        reason=reason[:MAX_REASON_CHARS],
        replaced=replaced,
    )
    return {**rollouts, service: ended}


def _running(rollouts: Rollouts, service: str, version: int) -> Rollout:
    last = rollouts.get(service)
    if last is None or last.version != version or not last.is_running:
        raise InvalidChange(f"no running roll-out of {service[:80]!r} since version {version}")
    return last
