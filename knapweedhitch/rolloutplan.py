"""Decide the next step of a roll-out from what the leader of the control group knows.

A bad version must not get more than a bounded share of the calls before its deadline, and may turn
bad late or under load only. So the canaries get a small share, in calls that are granted one by
one, until the time left is just enough to move the traffic and to drain the other targets.
"""

from __future__ import annotations

import dataclasses
import hashlib
import math
from collections.abc import Sequence

from knapweedhitch.rollout import MAX_CANARIES, Phase, Rollout, Step
from knapweedhitch.rolloutverdict import Verdict
from knapweedhitch.settings import RolloutSettings

# Share of the duration kept for moving the traffic and draining, within bounds.
FINAL_RATIO = 0.35
MIN_FINAL_MS = 1_500.0
MAX_FINAL_MS = 3_500.0
# Canaries get at least the rest of a short duration.
MAX_FINAL_RATIO = 0.7
# Fewer answers will do when less than this share of the final time is left.
LATE_RATIO = 0.8
# Near the end of the canary phase, the share is computed as if this part of it were left.
MIN_LEFT_RATIO = 0.1
# Parts of the exposure bounds that canaries may use; the rest is for calls while traffic moves.
CANARY_SLACK_PART = 0.6
CANARY_SHARE_PART = 0.7
# One target alone would give no verdict.
MIN_CANARIES = 2
# Load of a canary relative to that of an old target, so that faults under load show.
CANARY_LOAD = 1.2
CANARY_TURN_MS = 2_000.0
MIN_PULSE_MS = 500.0
# Time at a share before the next step, in which its answers come back and are reported.
SHIFT_STEP_MS = 600.0
# The others keep a part until they drain, so that there are answers to compare with.
SHIFT_SHARES = (0.5, 0.8)
# New targets together have at least this share of the slots of the others.
MIN_SLOTS_RATIO = 0.8
# Answers of canaries that are needed before traffic moves, and the lowest number that will do.
GOOD_ANSWERS = 25
MIN_GOOD_ANSWERS = 12
# Calls are reserved in the log for about this time ahead.
RESERVE_MS = 1_000.0
MIN_RESERVE = 8
# Smaller changes of the share are not worth a change of the log.
MIN_SHARE_CHANGE = 0.02
MIN_SHARE_RATIO = 0.3
MAX_CANARY_SHARE = 0.5
# A target without a report for this long may not take the load.
MAX_REPORT_AGE_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """Describe one target of the service as the node beside it last reported it."""

    instance_id: str
    is_new: bool
    # Whether entry nodes send it calls: neither leaving nor draining, in a domain that is in.
    is_serving: bool = True
    slots: int = 1
    is_warm: bool = True
    # Whether its node takes no calls for it, and how many calls are in progress there.
    is_closed: bool = False
    in_progress: int = 0
    # Infinite if its node has not reported since the order, or since the leader began.
    age_ms: float = math.inf

    @property
    def is_drained(self) -> bool:
        """Return whether no call is at this target or can reach it; a closed node stays closed."""
        return self.is_closed and not self.in_progress


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """Describe what the leader knows of a running roll-out."""

    rollout: Rollout
    # Since the order, and since the last step that changed phase or share.
    elapsed_ms: float
    step_age_ms: float
    targets: tuple[TargetReport, ...]
    verdict: Verdict
    # Calls that have reached any target of the service since the order, and those granted.
    arrivals: int = 0
    issued: int = 0
    # Nodes of targets of other versions that cannot be reached; their targets may still run calls.
    lost_nodes: int = 0

    @property
    def new(self) -> tuple[TargetReport, ...]:
        """Return the targets of the new version that may take calls over."""
        return tuple(t for t in self.targets if t.is_new and t.is_serving)

    @property
    def old(self) -> tuple[TargetReport, ...]:
        """Return the targets of all other versions."""
        return tuple(t for t in self.targets if not t.is_new)

    @property
    def old_serving(self) -> tuple[TargetReport, ...]:
        """Return the targets of all other versions that get calls."""
        return tuple(t for t in self.old if t.is_serving)


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """Represent the decision to end a roll-out."""

    completed: bool
    reason: str


def next_step(situation: Situation, cfg: RolloutSettings) -> Step | End | None:
    """Return the step that is due, None if there is none."""
    rollout = situation.rollout
    if situation.verdict.is_bad and situation.verdict.worst is not None:
        worst = situation.verdict.worst
        figures = f"{worst.new_bad}/{worst.new} new, {worst.old_bad}/{worst.old} old"
        return End(False, f"{worst.measure} on {worst.route}: {figures}")
    if situation.elapsed_ms >= rollout.duration_ms:
        return End(False, f"deadline in phase {rollout.step.phase.value}")
    match rollout.step.phase:
        case Phase.CANARY:
            return _shift(situation) or _canary_step(situation, cfg)
        case Phase.SHIFT:
            return _next_share(situation)
        case Phase.DRAIN:
            return _complete(situation)
    return None


def final_ms(duration_ms: float) -> float:
    """Return the time before the deadline at which traffic begins to move."""
    return min(
        MAX_FINAL_MS, max(MIN_FINAL_MS, FINAL_RATIO * duration_ms), MAX_FINAL_RATIO * duration_ms
    )


def canary_limit(arrivals: int, cfg: RolloutSettings) -> int:
    """Return how many calls canaries may have been granted after so many arrivals."""
    slack = CANARY_SLACK_PART * cfg.exposure_slack
    return int(slack + CANARY_SHARE_PART * cfg.exposure_share * arrivals)


def _shift(situation: Situation) -> Step | None:
    left_ms = situation.rollout.duration_ms - situation.elapsed_ms
    if left_ms > final_ms(situation.rollout.duration_ms) or situation.verdict.is_suspicious:
        return None
    # Services with few calls give few answers before the time is up.
    is_late = left_ms < LATE_RATIO * final_ms(situation.rollout.duration_ms)
    needed = MIN_GOOD_ANSWERS if is_late else GOOD_ANSWERS
    if situation.verdict.new_answers < needed or not _has_capacity(situation):
        return None
    return Step(Phase.SHIFT, SHIFT_SHARES[0], situation.rollout.step.granted)


def _has_capacity(situation: Situation) -> bool:
    ready = [t for t in situation.new if t.is_warm and t.age_ms <= MAX_REPORT_AGE_MS]
    return bool(ready) and sum(t.slots for t in ready) >= MIN_SLOTS_RATIO * sum(
        t.slots for t in situation.old_serving
    )


def _canary_step(situation: Situation, cfg: RolloutSettings) -> Step | None:
    step = situation.rollout.step
    canaries = choose_canaries(
        situation.new, len(situation.old_serving), cfg.exposure_share, situation.elapsed_ms
    )
    limit = canary_limit(situation.arrivals, cfg)
    per_ms = situation.arrivals / max(situation.elapsed_ms, 1.0)
    mean_share = _canary_share(situation, cfg, per_ms)
    share = pulsed_share(
        mean_share, len(canaries), len(situation.old_serving), situation.elapsed_ms
    )
    reserve = max(MIN_RESERVE, math.ceil(per_ms * share * RESERVE_MS))
    granted = max(step.granted, min(limit, situation.issued + reserve))
    # A reservation that is half used is renewed, so that canaries do not wait for the log.
    is_low = (
        step.granted - situation.issued < reserve / 2 and granted >= step.granted + MIN_RESERVE / 4
    )
    if abs(share - step.share) < max(MIN_SHARE_CHANGE, MIN_SHARE_RATIO * step.share):
        share = step.share
    if canaries == step.canaries and share == step.share and not is_low:
        return None
    return Step(Phase.CANARY, share, granted, canaries)


def _canary_share(situation: Situation, cfg: RolloutSettings, per_ms: float) -> float:
    """Return the share that uses up the limit of the canaries when traffic begins to move."""
    canary_ms = situation.rollout.duration_ms - final_ms(situation.rollout.duration_ms)
    left_ms = max(canary_ms - situation.elapsed_ms, MIN_LEFT_RATIO * canary_ms)
    expected = per_ms * left_ms
    if expected < 1.0:
        return cfg.exposure_share
    limit = canary_limit(situation.arrivals + int(expected), cfg)
    return min(MAX_CANARY_SHARE, max(0.0, (limit - situation.issued) / expected))


def pulsed_share(mean: float, canaries: int, old: int, elapsed_ms: float) -> float:
    """Return the share of this moment: that which loads canaries like old targets, or none.

    Where the mean share is too small for that, it is offered in one part of each turn.
    """
    full_load = min(MAX_CANARY_SHARE, CANARY_LOAD * canaries / max(old, 1))
    if not mean or mean >= full_load:
        return mean
    pulse_ms = max(MIN_PULSE_MS, mean / full_load * CANARY_TURN_MS)
    return full_load if elapsed_ms % CANARY_TURN_MS < pulse_ms else 0.0


def choose_canaries(
    new: Sequence[TargetReport], old_count: int, share: float, elapsed_ms: float
) -> tuple[str, ...]:
    """Return the canaries of this moment; cold ones serve only if all are cold.

    They are so few that each has the load of an old target, and they take turns.
    """
    present = [t for t in new if t.age_ms <= MAX_REPORT_AGE_MS]
    usable = [t for t in present if t.is_warm] or present
    count = min(MAX_CANARIES, max(MIN_CANARIES, int(share * old_count / CANARY_LOAD)))
    turn = int(elapsed_ms / CANARY_TURN_MS)

    def rank(instance_id: str) -> bytes:
        return hashlib.blake2b(f"{turn} {instance_id}".encode(), digest_size=8).digest()

    return tuple(sorted(sorted((t.instance_id for t in usable), key=rank)[:count]))


def _next_share(situation: Situation) -> Step | None:
    step = situation.rollout.step
    if (
        situation.step_age_ms < SHIFT_STEP_MS
        or situation.verdict.is_suspicious
        or not _has_capacity(situation)
    ):
        return None
    for share in SHIFT_SHARES:
        if share > step.share:
            return Step(Phase.SHIFT, share, step.granted)
    return Step(Phase.DRAIN, 1.0, step.granted)


def _complete(situation: Situation) -> End | None:
    if situation.lost_nodes or not situation.new or not all(t.is_drained for t in situation.old):
        return None
    return End(
        True, f"{len(situation.old)} targets drained, {situation.verdict.new_answers} answers"
    )
