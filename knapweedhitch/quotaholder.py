"""Grant tokens of quotas at a voter of the replicated log."""

from __future__ import annotations

import secrets

from knapweedhitch import logs
from knapweedhitch.exceptions import PeerError
from knapweedhitch.kernel import Kernel
from knapweedhitch.messages import (
    Ack,
    QuotaGrant,
    QuotaRequest,
    QuotaReturn,
    VoterQuery,
    VoterReply,
)
from knapweedhitch.model import Configuration
from knapweedhitch.quotapart import Division, LeaseState, QuotaLimits, QuotaTable, VoterLease
from knapweedhitch.supervisor import OnFault
from knapweedhitch.timers import Subscription

CHECK_INTERVAL_MS = 300.0
MAX_PROCESS_ID = 1 << 31
UNKNOWN_RETRY_MS = 1_000.0


class QuotaHolder:
    """Hold a part of each quota while this node is proved to be a voter."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.quotas
        self._node_id = kernel.cfg.node.id
        self._peers = kernel.get("peers")
        self._counters = kernel.get("counters")
        self._timers = kernel.get("timers")
        self._now_ms = self._timers.now_ms
        self._control = kernel.get("control")
        self._n_parts = kernel.cfg.quota_parts
        division = Division(self._n_parts, self._cfg.slack)
        self._table = QuotaTable(division, self._cfg.max_customers, self._now_ms)
        # Tells the grants of this process from those of an earlier one.
        self._process = secrets.randbelow(MAX_PROCESS_ID)
        self._lease = VoterLease(self._cfg.voter_lease_ms, None)
        self._state = LeaseState.UNPROVED
        self._timer: Subscription | None = None
        self._queried_ms = 0.0
        self._is_querying = False

    def start(self) -> None:
        """Follow the configuration and reply to other nodes."""
        state = self._control.replica.state
        if state.is_voter:
            self._lease = VoterLease(self._cfg.voter_lease_ms, state.members_index)
        self._peers.handle(QuotaReturn, self._on_return)
        self._peers.handle(VoterQuery, self._on_query)
        config = self._kernel.get("config")
        config.subscribe(self._on_config)
        self._on_config(config.current)

    # Tokens

    def reply_to(self, msg: QuotaRequest) -> QuotaGrant:
        """Grant tokens, or tell when this part has one again."""
        if self.check_lease() is not LeaseState.GRANTING:
            return self._grant(0, holds_part=False)
        if self._table.is_unlimited(msg.customer, msg.version):
            return self._grant(msg.wanted)
        limits = QuotaLimits(msg.version, msg.rate_per_s, msg.burst)
        part = self._table.get(msg.customer, limits) if msg.rate_per_s > 0.0 else None
        if part is None:
            # The customer was removed, which the requesting node will learn.
            self._counters.add("quota_customers_unknown")
            return self._grant(0, next_token_ms=UNKNOWN_RETRY_MS, retry_after_ms=UNKNOWN_RETRY_MS)
        part.record_refused(msg.refused)
        granted = part.grant(msg.wanted, msg.expected)
        self._counters.add("quota_tokens_granted", "", granted)
        if granted < msg.wanted:
            self._counters.add("quota_parts_empty")
        return self._grant(
            granted,
            next_token_ms=part.next_token_ms(),
            retry_after_ms=part.retry_after_ms(self._cfg.max_retry_after_ms),
        )

    def _grant(
        self,
        granted: int,
        *,
        holds_part: bool = True,
        next_token_ms: float = 0.0,
        retry_after_ms: float = 0.0,
    ) -> QuotaGrant:
        return QuotaGrant(
            self._node_id,
            holds_part,
            granted,
            self._process,
            self._now_ms(),
            next_token_ms,
            retry_after_ms,
        )

    def take_back(self, msg: QuotaReturn) -> None:
        """Add returned tokens to their part if they were granted a short time ago."""
        part = self._table.find(msg.customer)
        age_ms = self._now_ms() - msg.granted_ms
        # A token that comes back later could be granted a second time within one window.
        is_recent = 0.0 <= age_ms <= self._cfg.token_life_ms
        if part is not None and msg.process == self._process and is_recent:
            part.deposit(msg.count)
            self._counters.add("quota_tokens_returned", "", msg.count)
        else:
            self._counters.add("quota_returns_late", "", msg.count)

    async def _on_return(self, node_id: str, msg: QuotaReturn) -> Ack:
        self.take_back(msg)
        return Ack()

    def _on_config(self, cfg: Configuration) -> None:
        self._table.set_items(cfg.items)
        if len(self._table) and self._timer is None:
            self._timer = self._timers.every(CHECK_INTERVAL_MS, self._check, align=True)
            self._check()
        elif not len(self._table) and self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # Proof

    def check_lease(self) -> LeaseState:
        """Return the state of the lease; tokens from the time before it are dropped."""
        if not self._kernel.cfg.control.admits_members:
            # The voters are fixed by the settings.
            return LeaseState.GRANTING
        state = self._lease.state(self._now_ms())
        if state is LeaseState.WAITING:
            self._table.clear()
        if state is not self._state:
            before, self._state = self._state, state
            logs.event("quota_lease", node=self._node_id, before=before.value, state=state.value)
            if before is LeaseState.WAITING:
                self._table.clear()
        return state

    def _check(self) -> None:
        if not self._kernel.cfg.control.admits_members:
            return
        unproved = self.check_lease() is LeaseState.UNPROVED
        is_due = self._now_ms() - self._queried_ms >= self._cfg.voter_query_ms
        if (unproved or is_due) and not self._is_querying:
            self._kernel.start_task(OnFault.END, self._query)

    async def _query(self) -> None:
        leader_id = self._control.leader_id
        if leader_id is None:
            return
        self._is_querying = True
        sent_ms = self._queried_ms = self._now_ms()
        try:
            reply = await self._peers.call(leader_id, VoterQuery(), self._cfg.voter_query_ms)
        except PeerError as exc:
            self._counters.add("quota_voter_queries_failed", type(exc).__name__)
            return
        finally:
            self._is_querying = False
        if not isinstance(reply, VoterReply) or not reply.known:
            return
        if reply.is_voter:
            now, proof_ms = self._now_ms(), sent_ms - reply.age_ms
            self._lease.record_voter(
                reply.members_index, proof_ms, now, none_replaced=reply.none_replaced
            )
        else:
            self._lease.record_no_voter()
        self.check_lease()

    async def _on_query(self, node_id: str, msg: VoterQuery) -> VoterReply:
        replica = self._control.replica
        age_ms = replica.freshness_age_ms()
        if age_ms is None:
            return VoterReply(False, False, 0, False, 0.0)
        members = replica.state.committed_members()
        return VoterReply(
            known=True,
            is_voter=node_id in members.voters and node_id in replica.state.voters,
            members_index=members.index,
            none_replaced=members.n_ever is not None and members.n_ever <= self._n_parts,
            age_ms=max(0.0, age_ms),
        )
