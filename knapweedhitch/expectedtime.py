"""A policy that chooses the target with the shortest expected time of a call.

The speed of shared machines changes several times a second, so the reported slowdown of a target
has full weight while the report is fresh and decays towards the default slowdown.
"""

from __future__ import annotations

from collections.abc import Sequence

from knapweedhitch.policies import SLOW_TOLERANCE, Candidate, PickContext, policy

# Above this utilisation an upstream slows down, by up to KNEE_FACTOR when all slots are taken.
KNEE_SHARE = 0.8
KNEE_FACTOR = 0.7
# Small preference for less utilised targets, which keeps the load even below the knee.
UTILISATION_WEIGHT = 0.25
# Network time of one hop within a failure domain and across domains.
OWN_DOMAIN_MS = 1.0
OTHER_DOMAIN_MS = 3.0
# Headers of a call and its response on a link, with those of their packets.
CALL_OVERHEAD_BYTES = 2_500.0
# So many bytes across failure domains cost as much as one mean service time: they are paid for and
# fill links of a few Mbit/s.
CROSSING_BYTES = 20_000.0


@policy("expected-time")
class ExpectedTimePolicy:
    """Choose the candidate with the shortest expected response time."""

    def score(self, candidate: Candidate, ctx: PickContext) -> float:
        """Return the expected time of the call in multiples of the typical service time."""
        load = candidate.load
        limit = max(1, load.limit or candidate.target.upstream.slots)
        utilisation = (load.in_flight + 1.0) / limit
        slowdown = max(load.slowdown, self._unreported_slowdown(candidate, ctx))
        knee = KNEE_FACTOR * max(0.0, min(1.0, (utilisation - KNEE_SHARE) / (1.0 - KNEE_SHARE)))
        queue = max(0.0, utilisation - 1.0)
        wait = load.wait_ms / max(1.0, ctx.typical_ms)
        return (
            slowdown * (1.0 + knee + queue)
            + UTILISATION_WEIGHT * utilisation
            + wait
            + self._network_cost(candidate, ctx)
        )

    @staticmethod
    def _unreported_slowdown(candidate: Candidate, ctx: PickContext) -> float:
        ratio = ctx.relative_service_time(candidate)
        return ratio if ratio > SLOW_TOLERANCE else 0.0

    @staticmethod
    def _network_cost(candidate: Candidate, ctx: PickContext) -> float:
        if candidate.own_node:
            return 0.0
        if candidate.local:
            return OWN_DOMAIN_MS / max(1.0, ctx.typical_ms)
        crossing_bytes = CALL_OVERHEAD_BYTES + ctx.body_bytes
        return OTHER_DOMAIN_MS / max(1.0, ctx.typical_ms) + crossing_bytes / CROSSING_BYTES

    def pick(self, candidates: Sequence[Candidate], ctx: PickContext) -> Candidate:
        """Return the candidate with the lowest score; ties are broken at random."""
        return min(candidates, key=lambda c: (self.score(c, ctx), ctx.rng.random()))
