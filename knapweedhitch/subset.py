"""Select the subset of a service's targets that a node uses.

With many nodes and few calls per node, a smaller subset means fewer links and more frequent load
reports.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Sequence

from knapweedhitch.model import Target

MAX_CACHED_RANKS = 65_536


# Share of a subset that is in the node's own failure domain if it has that many targets. The rest
# keeps the node in service when its domain is overloaded or out.
OWN_DOMAIN_SHARE = 0.5


def choose_subset(
    node_id: str, domain: str, targets: Sequence[Target], size: int
) -> Sequence[Target]:
    """Return the target on the node itself and the targets of the lowest rank, up to size.

    Ranks are rendezvous hashes, so adding or removing a target changes few other choices.
    """
    if len(targets) <= size:
        return targets

    def rank(target: Target) -> int:
        if target.node_id == node_id:
            return -1
        return _rank(node_id, target.upstream.instance_id)

    ranked = sorted(targets, key=rank)
    near = [target for target in ranked if target.domain == domain]
    chosen = near[: int(OWN_DOMAIN_SHARE * size)]
    chosen_ids = {target.upstream.instance_id for target in chosen}
    others = [target for target in ranked if target.upstream.instance_id not in chosen_ids]
    return chosen + others[: size - len(chosen)]


@functools.lru_cache(maxsize=MAX_CACHED_RANKS)
def _rank(node_id: str, instance_id: str) -> int:
    digest = hashlib.blake2b(f"{node_id} {instance_id}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
