"""SWIM membership: the nodes of the cluster, their addresses and their announced upstreams."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping

import trio
from msgspec import structs

from knapweedhitch import logs
from knapweedhitch.budget import TokenBucket
from knapweedhitch.codec import Message
from knapweedhitch.counters import Counters
from knapweedhitch.departurenotices import DepartureNotifier
from knapweedhitch.gossip import MAC_BYTES, GossipSocket, UpdateQueue
from knapweedhitch.gossiprounds import MIN_GOSSIP_GAP_MS, GossipRounds
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.members import LIVE_STATES, MemberTable, precedence, verdict_of, with_state
from knapweedhitch.messages import (
    Gossip,
    IndirectProbe,
    Probe,
    ProbeAck,
    Verdict,
)
from knapweedhitch.model import (
    Address,
    Member,
    MemberEvent,
    MemberState,
    Target,
    UpstreamRecord,
    UpstreamState,
)
from knapweedhitch.peers import Peers
from knapweedhitch.probing import Prober
from knapweedhitch.supervisor import OnFault
from knapweedhitch.sync import Syncer
from knapweedhitch.timers import Timers

# Space for the message number, the sender and the array headers of a datagram.
ENVELOPE_BYTES = MAC_BYTES + 112
JOIN_RETRY_MS = 500.0
# Changes of this node's record above this rate are delayed, to bound the traffic of a flapping
# upstream.
OWN_CHANGES_PER_S = 5.0
OWN_CHANGES_BURST = 10.0
LEAVE_GOSSIP_ROUNDS = 4
MAX_ADDED_SEEDS = 16


@service("membership")
class Membership:
    """Maintain the member table by probes, gossip and anti-entropy."""

    def __init__(self, kernel: Kernel, rng: random.Random | None = None) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.membership
        self._peers: Peers = kernel.get("peers")
        self._timers: Timers = kernel.get("timers")
        self.counters: Counters = kernel.get("counters")
        self._rng = rng or random.Random()
        self._subscribers: list[Callable[[MemberEvent], None]] = []
        self.table = MemberTable(self._timers.now_ms, self._notify)
        self.update_queue = UpdateQueue(
            self._cfg.max_pending_updates,
            self._cfg.max_datagram_bytes - ENVELOPE_BYTES,
            self.counters,
        )
        self._departures = DepartureNotifier(self.table, self._peers, self.counters, self._rng)
        self.own_id = kernel.cfg.node.id
        self._suspects: dict[str, float] = {}
        self._left = False
        self._announce_pending = False
        self._desired_announcement: tuple[UpstreamRecord | None, bool] = (None, False)
        self._seeds = [Address(s.host, s.port) for s in self._cfg.seeds]

    async def start(self) -> None:
        """Join the cluster through the seeds and start the protocol; raises SettingsError."""
        now_ms = self._timers.now_ms
        cfg = self._cfg
        self.socket = GossipSocket(
            self._peers.transport.datagrams,
            self._peers.secret,
            self._kernel.cfg.node.cluster,
            cfg.max_datagram_bytes,
            self.counters,
        )
        self._event_budget = TokenBucket(cfg.max_events_per_s, 2 * cfg.max_events_per_s, now_ms)
        self._gossip = GossipRounds(self, self._timers, cfg)
        self._own_change_budget = TokenBucket(OWN_CHANGES_PER_S, OWN_CHANGES_BURST, now_ms)
        self._put_own(self._initial_member())
        self.prober = Prober(self, self._timers, cfg, self._rng)
        self.syncer = Syncer(self, self._peers, cfg, self._rng)
        self._peers.handle(Gossip, self._on_push)
        self._last_tick_ms = now_ms()
        self._timers.every(cfg.gossip_interval_ms, self._on_tick, jitter=0.1, align=True)
        self._timers.every(cfg.probe_interval_ms, self.prober.tick, jitter=0.1, align=True)
        self._timers.every(cfg.sync_interval_ms, self._on_sync, jitter=0.2, align=True)
        self._kernel.start_task(OnFault.RESTART, self.socket.run, self._on_message)
        self._kernel.start_task(OnFault.RESTART, self.syncer.run)
        self._join()

    async def stop(self) -> None:
        """Do nothing; a planned stop calls `leave` first."""

    def _initial_member(self) -> Member:
        node = self._kernel.cfg.node
        return Member(
            node.id,
            self._peers.address,
            node.region,
            node.domain,
            incarnation=1,
            started_wall_ms=self._timers.wall_ms(),
            is_control=self._kernel.cfg.is_control,
        )

    # Interface

    @property
    def own_member(self) -> Member:
        """Return the record of this node."""
        member = self.table.get(self.own_id)
        assert member is not None
        return member

    def members(self) -> Mapping[str, Member]:
        """Return a read-only live view of the alive and suspect members, including this node."""
        return self.table.live

    def count_entry_nodes(self) -> int:
        """Return the number of nodes that may take calls, including those considered dead."""
        return self.table.count_entry_nodes()

    def targets(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service, in time independent of the number of members."""
        return self.table.targets(service)

    def address_of(self, node_id: str) -> Address | None:
        """Return the peer address of a node unless it has left."""
        member = self.table.get(node_id)
        return None if member is None or member.state is MemberState.LEFT else member.address

    def control_ids(self) -> tuple[str, ...]:
        """Return the ids of the control instances, as configured or announced by live members."""
        configured = [member.id for member in self._kernel.cfg.control.members]
        if not self._kernel.cfg.control.admits_members:
            return tuple(configured)
        live = [m.node_id for m in self.table.live.values() if m.is_control]
        # Configured instances may no longer exist; if live ones are known, only those count.
        return tuple(dict.fromkeys(live or configured))

    def subscribe(self, fn: Callable[[MemberEvent], None]) -> None:
        """Register a callback for each change of a member record."""
        self._subscribers.append(fn)

    def announce_local(self, upstream: UpstreamRecord | None) -> None:
        """Announce the local upstream to the cluster, or that there is none."""
        self._desired_announcement = (upstream, self._desired_announcement[1])
        self._announce()

    def set_draining(self, draining: bool) -> None:
        """Announce to the cluster whether this node is draining."""
        self._desired_announcement = (self._desired_announcement[0], draining)
        self._announce()

    def record_departure(self, target: Target) -> None:
        """Record that a target said that it leaves, also if its node restarts afterwards."""
        self._departures.record(target)

    def add_seeds(self, addresses: Iterable[Address]) -> None:
        """Add addresses through which the cluster can be joined."""
        own = self._peers.address
        excluded = {*self._seeds, own}
        self._seeds += [address for address in addresses if address not in excluded][
            :MAX_ADDED_SEEDS
        ]

    async def leave(self) -> None:
        """Announce that this node is leaving, and wait for a few rounds of gossip."""
        self._left = True
        self._change_own(state=MemberState.LEFT)
        for _ in range(LEAVE_GOSSIP_ROUNDS):
            await trio.sleep(MIN_GOSSIP_GAP_MS / 1_000)
            self._gossip.run()

    # Record of this node

    def _announce(self) -> None:
        upstream, draining = self._desired_announcement
        own = self.own_member
        if (own.upstream, own.draining) == (upstream, draining) or self._left:
            return
        # Leaving is never delayed, so that the node gets no new work.
        urgent = draining or upstream is None or upstream.state is UpstreamState.LEAVING
        if not self._own_change_budget.take() and not urgent:
            if not self._announce_pending:
                self._announce_pending = True
                self._timers.after(1_000 / OWN_CHANGES_PER_S, self._announce_pending_change)
            return
        self._change_own(upstream=upstream, draining=draining)

    def _announce_pending_change(self) -> None:
        self._announce_pending = False
        self._announce()

    def _change_own(self, **fields: object) -> None:
        own = self.own_member
        values: dict[str, object] = {"incarnation": own.incarnation + 1, **fields}
        self._put_own(structs.replace(own, **values))
        update = Gossip(self.own_id, (self.own_member,), ())
        for node_id in self._peers.linked_peers():
            self._peers.send(node_id, update)

    def _put_own(self, member: Member) -> None:
        self.table.put(member)
        self.update_queue.add(member, urgent=True)
        self._gossip.schedule()

    def _refute(self, verdict: Member | Verdict) -> None:
        """Refute a state of this node that supersedes its record, by a higher incarnation."""
        if self._left or precedence(verdict) <= precedence(self.own_member):
            return
        self.counters.add("member_refutations")
        # If the clock went back since an earlier process, its later start time is adopted.
        self._change_own(
            started_wall_ms=verdict.started_wall_ms, incarnation=verdict.incarnation + 1
        )

    # Records of other members

    def apply_record(self, member: Member) -> None:
        """Apply a record if it is newer than the current one."""
        if member.node_id == self.own_id:
            self._refute(member)
            return
        current = self.table.get(member.node_id)
        if current is not None and precedence(member) <= precedence(current):
            return
        if member.state not in LIVE_STATES:
            self.apply_verdict(verdict_of(member))
            return
        if current is None and not self._ensure_capacity():
            self.counters.add("member_table_full")
            return
        self._store_member(member, update=member)

    def apply_verdict(self, verdict: Verdict) -> None:
        """Apply a verdict if it is newer than the current record of its member."""
        if verdict.node_id == self.own_id:
            self._refute(verdict)
            return
        current = self.table.get(verdict.node_id)
        if current is None or precedence(verdict) <= precedence(current):
            return
        is_same_record = (current.started_wall_ms, current.incarnation) == (
            verdict.started_wall_ms,
            verdict.incarnation,
        )
        if verdict.state in LIVE_STATES and not is_same_record:
            # The newer record has yet to arrive; the old one must not adopt this verdict.
            return
        if verdict.state is MemberState.DEAD and current.state is MemberState.ALIVE:
            # After a partition both sides hold such verdicts about live nodes. A probe lets the
            # node refute, and a node that is actually dead fails the probe.
            self.prober.queue_check(verdict.node_id, verdict)
            return
        member = structs.replace(
            current,
            started_wall_ms=verdict.started_wall_ms,
            incarnation=verdict.incarnation,
            state=verdict.state,
        )
        self._store_member(member, update=verdict)

    def suspect(self, node_id: str) -> None:
        """Mark a member that failed its probes as suspect."""
        current = self.table.get(node_id)
        if current is not None and current.state is MemberState.ALIVE:
            member = with_state(current, MemberState.SUSPECT)
            self._store_member(member, update=verdict_of(member))

    def _store_member(self, member: Member, update: Member | Verdict) -> None:
        current = self.table.get(member.node_id)
        self.counters.add("member_changes", member.state.value)
        if member.state is MemberState.SUSPECT:
            self._suspects[member.node_id] = self._timers.now_ms() + self._cfg.suspicion_timeout_ms
        else:
            self._suspects.pop(member.node_id, None)
        self.table.put(member)
        self._departures.tell(member)
        if not self._event_budget.take():
            # The loss or restart of a whole rack spreads through several syncs instead.
            self.counters.add("member_events_limited")
            return
        if self.update_queue.has_record(member.node_id) and member.state in LIVE_STATES:
            # A suspicion must not replace a queued record that other members still lack.
            update = member
        urgent = current is not None and _ends_new_work(current, member)
        self.update_queue.add(update, urgent=urgent)
        if urgent:
            self._gossip.schedule()

    def _ensure_capacity(self) -> bool:
        return len(self.table) < self._cfg.max_members or self.table.drop_oldest_dead()

    def _notify(self, event: MemberEvent) -> None:
        for fn in self._subscribers:
            try:
                fn(event)
            except Exception as exc:
                logs.warning("member_subscriber_failed", error=f"{type(exc).__name__}: {exc}")

    # Timers

    def _on_tick(self) -> None:
        now = self._timers.now_ms()
        pause_ms = now - self._last_tick_ms - 5 * self._cfg.gossip_interval_ms
        self._last_tick_ms = now
        if pause_ms > 0:
            # This process was paused: refutations may be unread in the socket.
            self.counters.add("member_clock_pauses")
            for node_id in self._suspects:
                self._suspects[node_id] += pause_ms + self._cfg.suspicion_timeout_ms
        for node_id in [n for n, deadline in self._suspects.items() if deadline <= now]:
            current = self.table.get(node_id)
            del self._suspects[node_id]
            if current is not None and current.state is MemberState.SUSPECT:
                member = with_state(current, MemberState.DEAD)
                self._store_member(member, update=verdict_of(member))
        self._gossip.run()

    def _on_sync(self) -> None:
        self.table.expire(self._cfg.dead_retention_ms)
        self._join()
        dead_members = self.table.dead_members()
        if dead_members:
            # A partition heals only if one side still probes the other.
            self.prober.probe_dead(self._rng.choice(dead_members))
        self.syncer.queue_random_sync()

    def _join(self) -> None:
        """Probe all seeds while no other member is known, later one seed that is not a member."""
        addresses = {member.address for member in self.table.live.values()}
        missing = [seed for seed in self._seeds if seed not in addresses]
        if len(self.table.live) > 1:
            missing = self._rng.sample(missing, min(1, len(missing)))
        elif missing:
            self._timers.after(JOIN_RETRY_MS, self._retry_join)
        for seed in missing:
            self.prober.probe_seed(seed)

    def _retry_join(self) -> None:
        if len(self.table.live) <= 1 and not self._left:
            self._join()

    # Messages

    def sample_live(self, count: int, exclude: str = "") -> list[Member]:
        """Return random live members other than this node and the excluded one."""
        ids = list(self.table.live)
        sampled = self._rng.sample(ids, min(len(ids), count + 2))
        others = [n for n in sampled if n not in (self.own_id, exclude)][:count]
        return [self.table.live[n] for n in others]

    def take_updates(self, used_bytes: int = 0) -> tuple[tuple[Member, ...], tuple[Verdict, ...]]:
        """Return updates that fit into a datagram beside the bytes already used."""
        available_bytes = self._cfg.max_datagram_bytes - ENVELOPE_BYTES - used_bytes
        return self.update_queue.take_updates(available_bytes, len(self.table.live))

    def merge(self, members: tuple[Member, ...], verdicts: tuple[Verdict, ...]) -> None:
        """Apply the records and verdicts that are newer than the current ones."""
        for member in members:
            self.apply_record(member)
        for verdict in verdicts:
            self.apply_verdict(verdict)

    async def _on_push(self, node_id: str, msg: Gossip) -> None:
        self.merge(msg.members, msg.verdicts)

    def _on_message(self, msg: Message, address: Address) -> None:
        if isinstance(msg, (Gossip, Probe, ProbeAck)):
            self.merge(msg.members, msg.verdicts)
        if isinstance(msg, Probe):
            self.prober.on_probe(msg, address)
        elif isinstance(msg, ProbeAck):
            self.prober.on_ack(msg)
        elif isinstance(msg, IndirectProbe):
            self.prober.on_indirect(msg, address)


def _ends_new_work(old: Member, new: Member) -> bool:
    """Return whether a change means that the node must get no new work."""
    if new.state not in LIVE_STATES:
        # Every node detects a death by its own timer; only a leave is urgent.
        return new.state is MemberState.LEFT
    if new.upstream is None:
        return old.upstream is not None
    return new.draining or new.upstream.state is UpstreamState.LEAVING
