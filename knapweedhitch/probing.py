"""Failure detection by direct and indirect probes of members."""

from __future__ import annotations

import dataclasses
import random
from collections import deque
from typing import TYPE_CHECKING

from knapweedhitch.gossip import encoded_bytes
from knapweedhitch.members import LIVE_STATES, precedence, verdict_of
from knapweedhitch.messages import IndirectProbe, Probe, ProbeAck, Verdict
from knapweedhitch.model import Address, Member, MemberState
from knapweedhitch.settings import MembershipSettings
from knapweedhitch.timers import Timers

if TYPE_CHECKING:
    from knapweedhitch.membership import Membership

MAX_PENDING_PROBES = 512
MAX_QUEUED_CHECKS = 1_024
CHECKS_PER_TICK = 4
# Size of an encoded verdict with a node id of maximum length.
VERDICT_BYTES = 96


@dataclasses.dataclass(eq=False, slots=True)
class _PendingProbe:
    """Track a probe that awaits its ack; the ack of a relayed probe is passed to its requester."""

    target: str
    sent_ms: float
    acked: bool = False
    relay: tuple[Address, int] | None = None
    rejoin: bool = False


class Prober:
    """Probe one member in each interval, and members that others report dead."""

    def __init__(
        self, members: Membership, timers: Timers, cfg: MembershipSettings, rng: random.Random
    ) -> None:
        self._members = members
        self._timers = timers
        self._cfg = cfg
        self._rng = rng
        self._probe_order: list[str] = []
        self._pending: dict[int, _PendingProbe] = {}
        self._checks: deque[tuple[str, Verdict]] = deque()

    def tick(self) -> None:
        """Probe the next member in random order and a few members reported dead."""
        target = self._next_member()
        if target is not None:
            self._probe(target)
        for _ in range(min(CHECKS_PER_TICK, len(self._checks))):
            node_id, verdict = self._checks.popleft()
            member = self._members.table.live.get(node_id)
            if member is not None and precedence(verdict) > precedence(member):
                self._probe(member, (verdict,))

    def _next_member(self) -> Member | None:
        live = self._members.table.live
        while True:
            while self._probe_order:
                member = live.get(self._probe_order.pop())
                if member is not None:
                    return member
            self._probe_order = [n for n in live if n != self._members.own_id]
            self._rng.shuffle(self._probe_order)
            if not self._probe_order:
                return None

    def queue_check(self, node_id: str, verdict: Verdict) -> None:
        """Queue a probe of a member that others report dead, for one of the next intervals."""
        if len(self._checks) < MAX_QUEUED_CHECKS and all(n != node_id for n, _ in self._checks):
            self._checks.append((node_id, verdict))

    def probe_dead(self, member: Member) -> None:
        """Probe a dead member, which refutes its state if it is alive."""
        self._send(member.node_id, member.address, (verdict_of(member),), rejoin=True)

    def probe_seed(self, address: Address) -> None:
        """Probe the node at the address of a seed, whatever its id."""
        self._send("", address, (), rejoin=True)

    def _probe(self, member: Member, verdicts: tuple[Verdict, ...] = ()) -> None:
        if member.state is MemberState.SUSPECT:
            verdicts += (verdict_of(member),)
        sequence = self._send(member.node_id, member.address, verdicts)
        if sequence is None:
            return
        due_ms = self._timers.now_ms() + self._cfg.probe_timeout_ms
        self._timers.after(
            self._cfg.probe_timeout_ms, lambda: self._probe_indirectly(sequence, due_ms)
        )

    def _send(
        self,
        target: str,
        address: Address,
        verdicts: tuple[Verdict, ...],
        *,
        relay: tuple[Address, int] | None = None,
        rejoin: bool = False,
    ) -> int | None:
        self._expire()
        if len(self._pending) >= MAX_PENDING_PROBES:
            return None
        sequence = self._rng.getrandbits(48)
        self._pending[sequence] = _PendingProbe(
            target, self._timers.now_ms(), relay=relay, rejoin=rejoin
        )
        own = self._members.own_member
        records = (own,) if rejoin else ()
        verdicts = (verdict_of(own), *verdicts)
        members, more_verdicts = self._fill_with_updates(records, verdicts)
        verdicts += more_verdicts
        msg = Probe(sequence, self._members.own_id, target, members, verdicts)
        self._members.socket.send(msg, address)
        return sequence

    def _fill_with_updates(
        self, records: tuple[Member, ...], verdicts: tuple[Verdict, ...]
    ) -> tuple[tuple[Member, ...], tuple[Verdict, ...]]:
        """Return the records and queued updates that fit into the datagram, and queued verdicts."""
        used_bytes = sum(encoded_bytes(r) for r in records) + VERDICT_BYTES * len(verdicts)
        more_records, more_verdicts = self._members.take_updates(used_bytes)
        present = {r.node_id for r in records}
        return (*records, *(m for m in more_records if m.node_id not in present)), more_verdicts

    def _expire(self) -> None:
        cutoff_ms = self._timers.now_ms() - 4 * self._cfg.probe_timeout_ms
        while self._pending:
            sequence, oldest = next(iter(self._pending.items()))
            if oldest.sent_ms > cutoff_ms:
                return
            del self._pending[sequence]

    def _probe_indirectly(self, sequence: int, due_ms: float) -> None:
        pending = self._pending.get(sequence)
        if pending is None or pending.acked or self._is_late(due_ms):
            return
        msg = IndirectProbe(sequence, self._members.own_id, pending.target)
        relays = self._members.sample_live(self._cfg.indirect_probes, exclude=pending.target)
        for relay_member in relays:
            self._members.socket.send(msg, relay_member.address)
        member = self._members.table.live.get(pending.target)
        if member is not None:
            # The first datagram may have been lost; resending costs less than a false suspicion.
            second_probe = Probe(sequence, self._members.own_id, pending.target, (), ())
            self._members.socket.send(second_probe, member.address)
        due_ms = self._timers.now_ms() + 2 * self._cfg.probe_timeout_ms
        self._timers.after(
            2 * self._cfg.probe_timeout_ms, lambda: self._end_probe(sequence, due_ms)
        )

    def _end_probe(self, sequence: int, due_ms: float) -> None:
        pending = self._pending.pop(sequence, None)
        if pending is None or pending.acked or self._is_late(due_ms):
            return
        self._members.suspect(pending.target)

    def _is_late(self, due_ms: float) -> bool:
        """Return whether this process was paused, so that a missing ack is inconclusive."""
        return self._timers.now_ms() - due_ms > self._cfg.probe_timeout_ms

    def on_probe(self, msg: Probe, address: Address) -> None:
        """Acknowledge a probe of this node; its records and verdicts are already merged."""
        members = self._members
        if msg.target not in ("", members.own_id):
            return
        own = members.own_member
        extra: list[Member] = []
        verdicts: list[Verdict] = []
        current = members.table.get(msg.sender)
        sender_verdict = next((v for v in msg.verdicts if v.node_id == msg.sender), None)
        if current is not None and (
            sender_verdict is None or precedence(current) > precedence(sender_verdict)
        ):
            # The sender receives its state as known here and can refute it.
            verdicts.append(verdict_of(current))
        own_verdict = next((v for v in msg.verdicts if v.node_id == members.own_id), None)
        if msg.target == "" or own_verdict is not None:
            extra.append(own)
        records, more_verdicts = self._fill_with_updates(tuple(extra), tuple(verdicts))
        ack = ProbeAck(msg.sequence, members.own_id, records, (*verdicts, *more_verdicts))
        members.socket.send(ack, address)

    def on_ack(self, msg: ProbeAck) -> None:
        """Handle an ack; an ack without a pending probe is ignored."""
        pending = self._pending.get(msg.sequence)
        if pending is None or pending.acked or pending.target not in ("", msg.sender):
            return
        pending.acked = True
        if pending.relay is not None:
            address, sequence = pending.relay
            self._members.socket.send(ProbeAck(sequence, msg.sender, (), ()), address)
        if pending.rejoin and msg.sender in self._members.table.live:
            self._members.syncer.queue_sync(msg.sender)

    def on_indirect(self, msg: IndirectProbe, address: Address) -> None:
        """Probe a member on behalf of another node."""
        member = self._members.table.get(msg.target)
        if (
            member is not None
            and member.state in LIVE_STATES
            and member.node_id != self._members.own_id
        ):
            self._send(msg.target, member.address, (), relay=(address, msg.sequence))
