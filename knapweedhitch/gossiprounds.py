"""Rounds of gossip, which send queued updates to random members within a byte budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

from knapweedhitch.budget import TokenBucket
from knapweedhitch.messages import Gossip
from knapweedhitch.settings import MembershipSettings
from knapweedhitch.timers import Timers

if TYPE_CHECKING:
    from knapweedhitch.membership import Membership

# A leave or a drain does not wait for the next gossip interval, but keeps this gap between rounds.
MIN_GOSSIP_GAP_MS = 50.0


class GossipRounds:
    """Run a round in each interval, and soon after an urgent update."""

    def __init__(self, members: Membership, timers: Timers, cfg: MembershipSettings) -> None:
        self._members = members
        self._timers = timers
        self._cfg = cfg
        self._is_scheduled = False
        self._last_ms = 0.0
        self._byte_budget = TokenBucket(
            cfg.gossip_bytes_per_s, cfg.gossip_burst_bytes, timers.now_ms
        )

    def schedule(self) -> None:
        """Schedule a round before the next interval."""
        if not self._is_scheduled:
            self._is_scheduled = True
            wait_ms = self._last_ms + MIN_GOSSIP_GAP_MS - self._timers.now_ms()
            self._timers.after(max(1.0, wait_ms), self.run)

    def run(self) -> None:
        """Send queued updates to a few random members."""
        members = self._members
        self._is_scheduled = False
        self._last_ms = self._timers.now_ms()
        for member in members.sample_live(self._cfg.gossip_fanout):
            if not len(members.update_queue):
                return
            if self._byte_budget.tokens < self._cfg.max_datagram_bytes:
                members.counters.add("gossip_budget_waits")
                return
            records, verdicts = members.take_updates()
            if not (records or verdicts):
                return
            size = members.socket.send(Gossip(members.own_id, records, verdicts), member.address)
            self._byte_budget.take(size)
