"""Probes: find out which members live, directly and through others."""

from __future__ import annotations

import dataclasses
import random
from collections import deque
from typing import TYPE_CHECKING

from knapweedhitch.gossip import encoded_bytes
from knapweedhitch.members import LIVE, precedence, verdict_of
from knapweedhitch.messages import IndirectProbe, Probe, ProbeAck, Verdict
from knapweedhitch.model import Address, Member, MemberState
from knapweedhitch.settings import MembershipSettings
from knapweedhitch.timers import Timers

if TYPE_CHECKING:
    from knapweedhitch.membership import Membership

MAX_PENDING = 512
MAX_CHECKS = 1_024
CHECKS_PER_TICK = 4
# An encoded verdict with a node id of the greatest length.
VERDICT_BYTES = 96


@dataclasses.dataclass(eq=False, slots=True)
class _Pending:
    """Wait for the ack of one probe; a relayed one is passed on to whoever asked."""

    target: str
    sent_ms: float
    acked: bool = False
    relay: tuple[Address, int] | None = None
    rejoin: bool = False


class Prober:
    """Probe one member each interval, and members that others believe dead."""

    def __init__(
        self, members: Membership, timers: Timers, cfg: MembershipSettings, rng: random.Random
    ) -> None:
        self._members = members
        self._timers = timers
        self._cfg = cfg
        self._rng = rng
        self._round: list[str] = []
        self._pending: dict[int, _Pending] = {}
        self._checks: deque[tuple[str, Verdict]] = deque()

    def tick(self) -> None:
        """Probe the next member of the round and a few that are in doubt."""
        target = self._next()
        if target is not None:
            self._probe(target)
        for _ in range(min(CHECKS_PER_TICK, len(self._checks))):
            node_id, verdict = self._checks.popleft()
            member = self._members.table.live.get(node_id)
            if member is not None and precedence(verdict) > precedence(member):
                self._probe(member, (verdict,))

    def _next(self) -> Member | None:
        live = self._members.table.live
        while True:
            while self._round:
                member = live.get(self._round.pop())
                if member is not None:
                    return member
            self._round = [n for n in live if n != self._members.own_id]
            self._rng.shuffle(self._round)
            if not self._round:
                return None

    def check_soon(self, node_id: str, verdict: Verdict) -> None:
        """Probe a member that others believe dead at one of the next intervals."""
        if len(self._checks) < MAX_CHECKS and all(n != node_id for n, _ in self._checks):
            self._checks.append((node_id, verdict))

    def try_dead(self, member: Member) -> None:
        """Probe a dead member; it refutes if it lives."""
        self._send(member.node_id, member.address, (verdict_of(member),), rejoin=True)

    def try_seed(self, address: Address) -> None:
        """Probe whatever node listens at the address of a seed."""
        self._send("", address, (), rejoin=True)

    def _probe(self, member: Member, verdicts: tuple[Verdict, ...] = ()) -> None:
        if member.state is MemberState.SUSPECT:
            verdicts += (verdict_of(member),)
        sequence = self._send(member.node_id, member.address, verdicts)
        if sequence is None:
            return
        due_ms = self._timers.now_ms() + self._cfg.probe_timeout_ms
        self._timers.after(self._cfg.probe_timeout_ms, lambda: self._probe_others(sequence, due_ms))

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
        if len(self._pending) >= MAX_PENDING:
            return None
        sequence = self._rng.getrandbits(48)
        self._pending[sequence] = _Pending(
            target, self._timers.now_ms(), relay=relay, rejoin=rejoin
        )
        own = self._members.own_member
        first = (own,) if rejoin else ()
        verdicts = (verdict_of(own), *verdicts)
        members, more = self._updates_beside(first, verdicts)
        verdicts += more
        msg = Probe(sequence, self._members.own_id, target, members, verdicts)
        self._members.socket.send(msg, address)
        return sequence

    def _updates_beside(
        self, records: tuple[Member, ...], verdicts: tuple[Verdict, ...]
    ) -> tuple[tuple[Member, ...], tuple[Verdict, ...]]:
        """Return the records with updates that fit beside them, and verdicts that fit."""
        taken = sum(encoded_bytes(r) for r in records) + VERDICT_BYTES * len(verdicts)
        more, more_verdicts = self._members.take_updates(taken)
        present = {r.node_id for r in records}
        return (*records, *(m for m in more if m.node_id not in present)), more_verdicts

    def _expire(self) -> None:
        limit = self._timers.now_ms() - 4 * self._cfg.probe_timeout_ms
        while self._pending:
            sequence, first = next(iter(self._pending.items()))
            if first.sent_ms > limit:
                return
            del self._pending[sequence]

    def _probe_others(self, sequence: int, due_ms: float) -> None:
        pending = self._pending.get(sequence)
        if pending is None or pending.acked or self._is_late(due_ms):
            return
        msg = IndirectProbe(sequence, self._members.own_id, pending.target)
        helpers = self._members.choose(self._cfg.indirect_probes, exclude=pending.target)
        for helper in helpers:
            self._members.socket.send(msg, helper.address)
        member = self._members.table.live.get(pending.target)
        if member is not None:
            # The first datagram may have been lost; a second one costs less than a suspicion.
            again = Probe(sequence, self._members.own_id, pending.target, (), ())
            self._members.socket.send(again, member.address)
        due_ms = self._timers.now_ms() + 2 * self._cfg.probe_timeout_ms
        self._timers.after(2 * self._cfg.probe_timeout_ms, lambda: self._give_up(sequence, due_ms))

    def _give_up(self, sequence: int, due_ms: float) -> None:
        pending = self._pending.pop(sequence, None)
        if pending is None or pending.acked or self._is_late(due_ms):
            return
        self._members.suspect(pending.target)

    def _is_late(self, due_ms: float) -> bool:
        """Tell whether this process stood still, so that a missing ack proves nothing."""
        return self._timers.now_ms() - due_ms > self._cfg.probe_timeout_ms

    def on_probe(self, msg: Probe, address: Address) -> None:
        """Answer a probe for the own node; the beliefs in it have been merged already."""
        members = self._members
        if msg.target not in ("", members.own_id):
            return
        own = members.own_member
        extra: list[Member] = []
        verdicts: list[Verdict] = []
        known = members.table.get(msg.sender)
        claimed = next((v for v in msg.verdicts if v.node_id == msg.sender), None)
        if known is not None and (claimed is None or precedence(known) > precedence(claimed)):
            # The sender learns what is believed of it and can refute.
            verdicts.append(verdict_of(known))
        asked = next((v for v in msg.verdicts if v.node_id == members.own_id), None)
        if msg.target == "" or asked is not None:
            extra.append(own)
        records, more = self._updates_beside(tuple(extra), tuple(verdicts))
        ack = ProbeAck(msg.sequence, members.own_id, records, (*verdicts, *more))
        members.socket.send(ack, address)

    def on_ack(self, msg: ProbeAck) -> None:
        """Note a sign of life; an ack that nobody waits for is ignored."""
        pending = self._pending.get(msg.sequence)
        if pending is None or pending.acked or pending.target not in ("", msg.sender):
            return
        pending.acked = True
        if pending.relay is not None:
            address, sequence = pending.relay
            self._members.socket.send(ProbeAck(sequence, msg.sender, (), ()), address)
        if pending.rejoin and msg.sender in self._members.table.live:
            self._members.syncer.sync_soon(msg.sender)

    def on_indirect(self, msg: IndirectProbe, address: Address) -> None:
        """Probe a member for another node."""
        member = self._members.table.get(msg.target)
        if member is not None and member.state in LIVE and member.node_id != self._members.own_id:
            self._send(msg.target, member.address, (), relay=(address, msg.sequence))
