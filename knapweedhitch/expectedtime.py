"""The policy that chooses by the expected time of a call.

Answers the pattern of shared machines whose speed changes several times a second: the slowdown that
a target reports counts fully while the report is young and fades towards the usual one.
"""

from __future__ import annotations

from collections.abc import Sequence

from knapweedhitch.pick import Candidate, PickContext, policy

# From this share of its slots on an upstream slows down, up to the factor when all are taken.
KNEE_SHARE = 0.8
KNEE_FACTOR = 0.7
# Below the knee a less used target is a little better, so that the load stays even.
USE_WEIGHT = 0.25
# A mean time this many times the typical one shows a target that is slow without saying so.
SLOW_TOLERANCE = 2.0
# The time of a hop, in milliseconds.
OWN_DOMAIN_MS = 1.0
OTHER_DOMAIN_MS = 3.0
# A body of this size that crosses domains counts like one mean service time.
LARGE_BODY_BYTES = 50_000.0


@policy("expected-time")
class ExpectedTimePolicy:
    """Choose the candidate whose answer is expected first, counted in mean service times."""

    def score(self, candidate: Candidate, ctx: PickContext) -> float:
        """Return the expected time of the call in units of the typical service time."""
        load = candidate.load
        limit = max(1, load.limit or candidate.target.upstream.slots)
        used = (load.in_flight + 1.0) / limit
        slow = max(load.slowdown, self._hidden_slowdown(candidate, ctx))
        knee = KNEE_FACTOR * max(0.0, min(1.0, (used - KNEE_SHARE) / (1.0 - KNEE_SHARE)))
        queue = max(0.0, used - 1.0)
        wait = load.wait_ms / max(1.0, ctx.typical_ms)
        return (
            slow * (1.0 + knee + queue) + USE_WEIGHT * used + wait + self._distance(candidate, ctx)
        )

    @staticmethod
    def _hidden_slowdown(candidate: Candidate, ctx: PickContext) -> float:
        ratio = candidate.load.mean_ms / max(1.0, ctx.typical_ms)
        return ratio if ratio > SLOW_TOLERANCE else 0.0

    @staticmethod
    def _distance(candidate: Candidate, ctx: PickContext) -> float:
        if candidate.own_node:
            return 0.0
        if candidate.local:
            return OWN_DOMAIN_MS / max(1.0, ctx.typical_ms)
        return OTHER_DOMAIN_MS / max(1.0, ctx.typical_ms) + ctx.body_bytes / LARGE_BODY_BYTES

    def pick(self, candidates: Sequence[Candidate], ctx: PickContext) -> Candidate:
        """Return the best candidate; equal ones are chosen at random."""
        return min(candidates, key=lambda c: (self.score(c, ctx), ctx.rng.random()))
