"""The sources that a feed polls: their order, and which to avoid for a while."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator, Sequence

from knapweedhitch.clock import now_ms
from knapweedhitch.exceptions import PeerError
from knapweedhitch.settings import FeedSettings

# A source without a recent proof is avoided for so many poll intervals.
AVOIDED_INTERVALS = 2
# A node with an old proof asks a control instance again after this part of a poll interval.
REPEATED_INTERVALS = 0.5


class PollSources:
    """Track which sources gave a recent proof, none, or no reply."""

    def __init__(self, cfg: FeedSettings, node_id: str) -> None:
        self._cfg = cfg
        self._node_id = node_id
        self._preferred = ""
        self._avoid_until_ms: dict[str, float] = {}
        self._polled: set[str] = set()
        # The control instances that did not reply to their last poll.
        self._silent: set[str] = set()

    def in_order(
        self, leader: str, control: Sequence[str], peers: Sequence[str], *, has_old_proof: bool
    ) -> list[str]:
        """Return the sources in poll order: leader, last good source, control instances, peers."""
        current_ms = now_ms()
        self._avoid_until_ms = {n: t for n, t in self._avoid_until_ms.items() if t > current_ms}
        self._silent.intersection_update(control)
        order = [leader, self._preferred, *control, *peers]
        usable = [n for n in dict.fromkeys(order) if n and n != self._node_id]
        available = [n for n in usable if n not in self._avoid_until_ms and n not in self._polled]
        if has_old_proof:
            # A control instance without a proof has one as soon as a leader is elected. Only one
            # goes first, since all may be full while other nodes have a proof.
            asked = [n for n in control if n not in available and self._may_ask_again(n)]
            available = asked[:1] + available
        return available or [n for n in usable if n not in self._polled]

    def _may_ask_again(self, source: str) -> bool:
        if source in self._silent or source in self._polled or source == self._node_id:
            return False
        # Thousands of nodes ask at the same time.
        remaining_ms = self._avoid_until_ms.get(source, 0.0) - now_ms()
        wait_ms = (AVOIDED_INTERVALS - REPEATED_INTERVALS) * self._cfg.poll_interval_ms
        return remaining_ms <= wait_ms

    @contextlib.contextmanager
    def polling(self, source: str) -> Iterator[None]:
        """Leave out a source that is being polled, and record whether it replies."""
        self._polled.add(source)
        try:
            yield
            self._silent.discard(source)
        except PeerError:
            self._silent.add(source)
            raise
        finally:
            self._polled.discard(source)

    def record_proof(self, source: str) -> None:
        """Prefer a source that gave a recent proof."""
        self._preferred = source

    def record_no_proof(self, source: str) -> None:
        """Avoid a source that gave no recent proof."""
        self._avoid_until_ms[source] = now_ms() + AVOIDED_INTERVALS * self._cfg.poll_interval_ms
        if self._preferred == source:
            self._preferred = ""
