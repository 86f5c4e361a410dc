"""Record upstreams that leave, and tell restarted nodes of departures before their restart."""

from __future__ import annotations

import random

from knapweedhitch.counters import Counters
from knapweedhitch.members import MemberTable
from knapweedhitch.messages import UpstreamDeparted
from knapweedhitch.model import UNKNOWN_INCARNATION, Member, Target, UpstreamState
from knapweedhitch.peers import Peers
from knapweedhitch.timers import Timers

# Mean number of nodes that tell a restarted node over a new link that its upstream departed.
TELLERS_WITHOUT_LINK = 3.0


class DepartureNotifier:
    """Keep departed upstreams out of use, also when a restarted node announces them again."""

    def __init__(
        self, table: MemberTable, peers: Peers, counters: Counters, rng: random.Random
    ) -> None:
        self._table = table
        self._peers = peers
        self._counters = counters
        self._rng = rng

    def record(self, target: Target) -> None:
        """Record that a target said that it leaves."""
        upstream = target.upstream
        incarnation = upstream.incarnation
        if incarnation == UNKNOWN_INCARNATION:
            incarnation = Timers.wall_ms()
        self._table.record_departure(target.node_id, upstream.instance_id, incarnation)

    def tell(self, member: Member) -> None:
        """Tell a node if the upstream that it announces as serving departed before."""
        upstream = member.upstream
        if upstream is None or upstream.state is UpstreamState.LEAVING:
            return
        if not self._table.departures.includes(upstream):
            return
        self._counters.add("departed_upstreams_announced")
        # A few nodes without a link are enough; thousands must not open one at the same moment.
        tells_anyway = self._rng.random() < TELLERS_WITHOUT_LINK / len(self._table.live)
        if tells_anyway or member.node_id in self._peers.linked_peers():
            incarnation = self._table.departures.incarnation_of(upstream.instance_id)
            self._peers.send(member.node_id, UpstreamDeparted(upstream.instance_id, incarnation))
