"""Selection of claim holders: three nodes in different failure domains for each service."""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Iterable, Iterator, Mapping, Sequence

from knapweedhitch.model import ClaimGroup, Configuration, Member, MemberState
from knapweedhitch.settings import ControlSettings

HOLDERS = 3
WINDOW_MS = 60_000
PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


class ClaimGroupPlanner:
    """Plan the first or next claim group of each service."""

    def __init__(self, cfg: ControlSettings) -> None:
        self._cfg = cfg
        self._incomplete_since_ms: dict[str, float] = {}

    def reset(self) -> None:
        """Forget since when groups are incomplete, because this instance does not lead."""
        self._incomplete_since_ms.clear()

    def due_groups(
        self, cfg: Configuration, members: Mapping[str, Member], now_ms: float, wall_ms: int
    ) -> Iterator[ClaimGroup | None]:
        """Yield for each service the group to propose now, or None."""
        usable = {n: m for n, m in members.items() if _is_usable(cfg, m)}
        for name in [n for n in self._incomplete_since_ms if n not in cfg.services]:
            del self._incomplete_since_ms[name]
        for name in cfg.services:
            yield self._next_group(name, cfg, usable, now_ms, wall_ms)

    def record_added(self, groups: Iterable[ClaimGroup]) -> None:
        """Record that these groups are committed."""
        for group in groups:
            self._incomplete_since_ms.pop(group.service, None)

    def _next_group(
        self,
        name: str,
        cfg: Configuration,
        usable: Mapping[str, Member],
        now_ms: float,
        wall_ms: int,
    ) -> ClaimGroup | None:
        groups = cfg.claim_groups.get(name, ())
        last = groups[-1] if groups else None
        present = [h for h in last.holders if h in usable] if last else []
        if last and (last.from_wall_ms > wall_ms or _domain_spread(present, usable)[0] >= HOLDERS):
            self._incomplete_since_ms.pop(name, None)
            return None
        chosen = choose_holders(name, usable, present)
        if _domain_spread(chosen, usable) <= _domain_spread(present, usable):
            return None
        since_ms = self._incomplete_since_ms.setdefault(name, now_ms)
        is_complete = _domain_spread(chosen, usable)[0] >= HOLDERS
        # A complete first group starts at once; if holders are missing, more nodes may be about to
        # join. A later group waits until its holder has been missing for claim_group_repair_ms.
        if (
            not (last is None and is_complete)
            and now_ms - since_ms < self._cfg.claim_group_repair_ms
        ):
            return None
        if last is None:
            return ClaimGroup(name, 1, 0, tuple(chosen))
        from_ms = wall_ms + self._cfg.activation_delay_ms
        return ClaimGroup(name, last.epoch + 1, from_ms, tuple(chosen))


class ByteWindow:
    """Limit the bytes of claim-group changes in any 60 s."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._sent: deque[tuple[float, int]] = deque()

    def remaining_bytes(self, now_ms: float) -> int:
        """Return how many bytes may be sent now."""
        while self._sent and now_ms - self._sent[0][0] > WINDOW_MS:
            self._sent.popleft()
        return self._max_bytes - sum(n_bytes for _, n_bytes in self._sent)

    def add(self, now_ms: float, n_bytes: int) -> None:
        """Record sent bytes."""
        self._sent.append((now_ms, n_bytes))


def _is_usable(cfg: Configuration, member: Member) -> bool:
    return (
        member.state in PRESENT_STATES
        and not member.draining
        and member.node_id not in cfg.draining_nodes
        and not cfg.is_domain_out(member.domain)
    )


def _domain_spread(holders: Sequence[str], usable: Mapping[str, Member]) -> tuple[int, int]:
    return len({usable[h].domain for h in holders}), len(holders)


def choose_holders(service: str, usable: Mapping[str, Member], present: Sequence[str]) -> list[str]:
    """Return up to three holders: present ones first, then nodes of the service, then others."""

    def rank(node_id: str) -> tuple[bool, bool, bytes]:
        upstream = usable[node_id].upstream
        serves = upstream is not None and upstream.service == service
        tie_break = hashlib.blake2b(f"{service}/{node_id}".encode(), digest_size=8).digest()
        return node_id not in present, not serves, tie_break

    chosen: list[str] = []
    ranked = sorted(usable, key=rank)
    for node_id in ranked:
        domains = {usable[h].domain for h in chosen}
        if len(chosen) < HOLDERS and usable[node_id].domain not in domains:
            chosen.append(node_id)
    # With fewer domains than holders, a second holder in a domain still tolerates the loss of a
    # single node.
    for node_id in ranked:
        if len(chosen) < HOLDERS and node_id not in chosen:
            chosen.append(node_id)
    return chosen
