"""Translate roll-out orders of operators, and the state of a roll-out into JSON."""

from __future__ import annotations

import json
import math

import msgspec
from msgspec import field

from knapweedhitch.changes import StartRollout
from knapweedhitch.clock import MS_PER_S
from knapweedhitch.exceptions import InvalidChange
from knapweedhitch.rollout import Phase, Rollout, check_order

RUNNING = "running"
STATES = {Phase.COMPLETED: "completed", Phase.ROLLED_BACK: "rolled_back"}


class Order(msgspec.Struct, frozen=True):
    """Describe an order to move a service's traffic to targets of a version."""

    service: str
    target_version: str = field(name="targetVersion")
    duration_s: float = field(name="durationS")


def decode_order(body: bytes) -> StartRollout:
    """Return the operation of an order; raises InvalidChange."""
    try:
        order = msgspec.json.decode(body, type=Order)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise InvalidChange(f"body: {exc}") from None
    duration_ms = order.duration_s * MS_PER_S
    if not math.isfinite(duration_ms):
        raise InvalidChange("durationS: use a finite number")
    check_order(order.target_version, duration_ms)
    return StartRollout(order.service, order.target_version, int(duration_ms))


def encode_state(rollout: Rollout) -> bytes:
    """Return the state of a roll-out as JSON."""
    state = STATES.get(rollout.step.phase, RUNNING)
    return json.dumps({"state": state, "targetVersion": rollout.target_version}).encode()
