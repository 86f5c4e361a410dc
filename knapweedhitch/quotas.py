"""Quotas of customers over all nodes: each request takes a token from a holder of the quota."""

from __future__ import annotations

import math
import random

import trio
from msgspec import structs

from knapweedhitch.boundedlog import BoundedLog
from knapweedhitch.clock import MS_PER_S
from knapweedhitch.exceptions import PeerError, QuotaExceeded, QuotaUnknown
from knapweedhitch.items import CustomerItem
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.messages import QuotaGrant, QuotaRequest, QuotaReturn
from knapweedhitch.quotaholder import QuotaHolder
from knapweedhitch.quotapart import QuotaLimits
from knapweedhitch.quotatokens import CustomerTokens, HolderChooser, PartState, TokenLot, TokenStore
from knapweedhitch.supervisor import OnFault
from knapweedhitch.timers import EarliestTimer

HOLDERS_INTERVAL_MS = 1_000.0
CLEANUP_INTERVAL_MS = 30_000.0
# Nodes that are asked to pass a request on when this node reaches no holder itself.
MAX_RELAYS = 2
MIN_RETRY_AFTER_MS = 1.0
# Pause between two rounds of requests to holders of which none has replied.
NO_REPLY_PAUSE_MS = 50.0


@service("quotas")
class Quotas:
    """Take tokens for the requests of customers with a quota, and hold a part at voters.

    Nothing is sent and no timer runs before the first request of such a customer.
    """

    def __init__(self, kernel: Kernel, rng: random.Random | None = None) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.quotas
        self._rng = rng or random.Random()
        self._peers = kernel.get("peers")
        self._membership = kernel.get("membership")
        self._counters = kernel.get("counters")
        self._timers = kernel.get("timers")
        self._now_ms = self._timers.now_ms
        self._store = TokenStore(self._cfg.max_customers)
        self._chooser = HolderChooser(kernel.cfg.node.domain, self._rng)
        self._holders_ms: float | None = None
        # When a holder was first asked since the last reply.
        self._silent_since_ms: float | None = None
        self._holder: QuotaHolder | None = None
        # Customers for which tokens are being requested.
        self._fetching: set[str] = set()
        # Set when a request of the customer that waits should look for a token again.
        self._changed: dict[str, trio.Event] = {}
        self._cleanup = EarliestTimer(self._timers, self._drop_idle)

    async def start(self) -> None:
        """Register the handlers."""
        self._log = BoundedLog(self._kernel.cfg.log, self._counters, self._now_ms)
        self._peers.handle(QuotaRequest, self._on_request)
        if self._kernel.cfg.is_control:
            self._holder = QuotaHolder(self._kernel)
            self._holder.start()

    async def stop(self) -> None:
        """Do nothing; tokens end by themselves."""

    # Interface

    async def take(self, customer: CustomerItem, objective_ms: float) -> TokenLot | None:
        """Take a token for one request, None if the customer has no quota.

        Waits for a small share of the latency objective if all parts are empty, and longer only
        while holders do not reply. Raises QuotaExceeded and QuotaUnknown.
        """
        limits = QuotaLimits.of(customer)
        if limits is None:
            return None
        now = self._now_ms()
        tokens = self._store.get(customer.name, now)
        tokens.record_demand(now)
        token = None if tokens.waiting else tokens.take(now)
        if token is None:
            token = await self._wait_for_token(tokens, limits, objective_ms)
        if token is None:
            raise self._refusal(tokens, limits)
        self._counters.add("quota_tokens_used")
        return token

    def give_back(self, token: TokenLot) -> None:
        """Return the token of a request that is known not to have run."""
        now = self._now_ms()
        tokens = self._store.find(token.customer)
        if tokens is not None and tokens.is_useful(token, now):
            tokens.add(token, 1)
            self._notify(token.customer)
            self._counters.add("quota_tokens_kept")
        elif now < token.expires_ms:
            self._return(token, 1)

    # Requests that wait

    async def _wait_for_token(
        self, tokens: CustomerTokens, limits: QuotaLimits, objective_ms: float
    ) -> TokenLot | None:
        """Return a token, None if there is none in time."""
        self._cleanup.set(CLEANUP_INTERVAL_MS)
        started_ms = self._now_ms()
        refill_wait_ms = self._cfg.max_refill_wait_share * objective_ms
        reply_wait_ms = self._reply_wait_ms(objective_ms, started_ms)
        tokens.waiting += 1
        try:
            while (token := tokens.take(self._now_ms())) is None:
                now = self._now_ms()
                wait_ms = started_ms + reply_wait_ms - now
                if tokens.customer not in self._fetching and not self._start_fetch(tokens, limits):
                    # Every part is known to be empty, so that only time helps.
                    refill_ms = self._next_token_ms(tokens, now)
                    if refill_ms > started_ms + refill_wait_ms:
                        return None
                    wait_ms = min(wait_ms, refill_ms - now)
                if wait_ms <= 0.0:
                    return None
                event = self._changed.setdefault(tokens.customer, trio.Event())
                with trio.move_on_after(wait_ms / MS_PER_S):
                    await event.wait()
            return token
        finally:
            tokens.waiting -= 1

    def _reply_wait_ms(self, objective_ms: float, now: float) -> float:
        """Return how long a request waits for replies of holders."""
        asked_ms = now if self._silent_since_ms is None else self._silent_since_ms
        if now - asked_ms > self._cfg.max_silence_ms:
            return self._cfg.max_refill_wait_share * objective_ms
        return min(self._cfg.max_reply_wait_ms, self._cfg.max_reply_wait_share * objective_ms)

    def _next_token_ms(self, tokens: CustomerTokens, now: float) -> float:
        states = tokens.known_parts(now).values()
        return min((s.next_token_ms for s in states if s.next_token_ms > now), default=math.inf)

    def _notify(self, customer: str) -> None:
        """Wake the requests of a customer that wait for a token."""
        event = self._changed.pop(customer, None)
        if event is not None:
            event.set()

    def _refusal(self, tokens: CustomerTokens, limits: QuotaLimits) -> QuotaExceeded | QuotaUnknown:
        now = self._now_ms()
        parts = tokens.known_parts(now)
        fields = {
            "customer": tokens.customer,
            "version": limits.version,
            "rate_per_s": f"{limits.rate_per_s:g}",
            "burst": f"{limits.burst:g}",
            "seen_per_s": f"{tokens.rate_per_s(now):.1f}",
        }
        if 2 * len(parts) <= self._kernel.cfg.quota_parts:
            # The parts that have not replied may have tokens.
            self._counters.add("quota_refused", "quota-unknown")
            self._log.warning("quota_unknown", **fields, replied=",".join(parts))
            return QuotaUnknown(detail="most holders of the quota do not reply")
        self._counters.add("quota_refused", "quota-exceeded")
        retry_after_ms = max(MIN_RETRY_AFTER_MS, min(s.retry_ms for s in parts.values()) - now)
        waits = (f"{holder}:{max(0.0, s.next_token_ms - now):.0f}" for holder, s in parts.items())
        self._log.event(
            "quota_exceeded",
            **fields,
            next_token_ms=",".join(waits),
            retry_after_ms=f"{retry_after_ms:.0f}",
        )
        tokens.record_refused(now)
        return QuotaExceeded(retry_after_ms, f"customer {tokens.customer}")

    # Requests to holders

    def _start_fetch(self, tokens: CustomerTokens, limits: QuotaLimits) -> bool:
        """Start to ask for tokens and return True, or False if no part may have one."""
        now = self._now_ms()
        self._refresh_holders(now)
        if self._chooser.choose(tokens, (), now) is None:
            return False
        self._fetching.add(tokens.customer)
        self._kernel.start_task(OnFault.END, self._fetch, tokens, limits)
        return True

    async def _fetch(self, tokens: CustomerTokens, limits: QuotaLimits) -> None:
        """Ask one holder after another while requests wait for tokens."""
        asked: set[str] = set()
        try:
            if not self._chooser.has_replying(self._now_ms()):
                for node_id in self._relays():
                    if tokens.wanted(self._now_ms()) > 0:
                        await self._ask_soon(tokens, limits, node_id)
            while tokens.wanted(self._now_ms()) > 0:
                holder = self._chooser.choose(tokens, asked, self._now_ms())
                if holder is None:
                    break
                # A holder that has granted tokens may have more for the requests that wait by now.
                if not await self._ask_soon(tokens, limits, holder):
                    asked.add(holder)
            if not self._chooser.has_replying(self._now_ms()):
                # Calls may fail without any wait, and the next round begins when this one ends.
                await trio.sleep(NO_REPLY_PAUSE_MS / MS_PER_S)
        finally:
            self._fetching.discard(tokens.customer)
            self._notify(tokens.customer)

    async def _ask_soon(self, tokens: CustomerTokens, limits: QuotaLimits, holder: str) -> bool:
        """Ask a holder and return whether it granted anything within `ask_timeout_ms`.

        A reply that arrives later is used as well.
        """
        replied = trio.Event()
        granted = 0

        async def ask() -> None:
            nonlocal granted
            try:
                granted = await self._ask(tokens, limits, holder)
            finally:
                replied.set()

        self._kernel.start_task(OnFault.END, ask)
        with trio.move_on_after(self._cfg.ask_timeout_ms / MS_PER_S) as scope:
            await replied.wait()
        if scope.cancelled_caught:
            self._chooser.record_silence(holder, self._now_ms(), self._cfg)
            self._counters.add("quota_holders_slow")
        return granted > 0

    async def _ask(self, tokens: CustomerTokens, limits: QuotaLimits, holder: str) -> int:
        sent_ms = self._now_ms()
        life_ms = self._cfg.token_life_ms
        msg = QuotaRequest(
            customer=tokens.customer,
            version=limits.version,
            rate_per_s=limits.rate_per_s,
            burst=limits.burst,
            wanted=tokens.wanted(sent_ms),
            expected=tokens.expected(sent_ms, life_ms),
            refused=tokens.take_refused(holder),
            may_relay=True,
        )
        if self._silent_since_ms is None:
            self._silent_since_ms = sent_ms
        self._counters.add("quota_requests_sent")
        try:
            reply = await self._peers.call(holder, msg, life_ms)
        except PeerError as exc:
            self._counters.add("quota_requests_failed", type(exc).__name__)
            self._chooser.record_silence(holder, self._now_ms(), self._cfg)
            self._notify(tokens.customer)
            return 0
        if not isinstance(reply, QuotaGrant):
            return 0
        return self._record_grant(tokens, holder, reply, sent_ms)

    def _record_grant(
        self, tokens: CustomerTokens, asked: str, reply: QuotaGrant, sent_ms: float
    ) -> int:
        now = self._now_ms()
        self._silent_since_ms = None
        if not reply.holds_part:
            self._chooser.avoid(asked, now + self._cfg.no_part_backoff_ms)
            self._counters.add("quota_holders_without_part")
            self._notify(tokens.customer)
            return 0
        if reply.holder == asked:
            self._chooser.record_reply(asked)
        # Counted from the request, so that a late reply or a pause of this node adds no time.
        lot = TokenLot(
            tokens.customer,
            reply.holder,
            reply.process,
            reply.granted_ms,
            sent_ms + self._cfg.token_life_ms,
        )
        if reply.granted and now >= lot.expires_ms:
            self._counters.add("quota_grants_late", "", reply.granted)
            self._return(lot, reply.granted)
        else:
            tokens.add(lot, reply.granted)
        next_ms = now + reply.next_token_ms if reply.next_token_ms > 0.0 else -math.inf
        state = PartState(next_ms, now + reply.retry_after_ms, now)
        tokens.record_part(reply.holder, state)
        self._notify(tokens.customer)
        return reply.granted

    def _return(self, lot: TokenLot, count: int) -> None:
        msg = QuotaReturn(lot.customer, lot.process, lot.granted_ms, count)
        self._counters.add("quota_tokens_sent_back", "", count)
        if self._holder is not None and lot.holder == self._kernel.cfg.node.id:
            self._holder.take_back(msg)
            return
        self._peers.send(lot.holder, msg)

    # Holders

    def _refresh_holders(self, now: float) -> None:
        if self._holders_ms is not None and now - self._holders_ms < HOLDERS_INTERVAL_MS:
            return
        self._holders_ms = now
        members = self._membership.members()
        domains = {}
        for node_id in self._membership.control_ids():
            member = members.get(node_id)
            domains[node_id] = "" if member is None else member.domain
        self._chooser.set_holders(domains)

    def _relays(self) -> list[str]:
        """Return nodes that may reach a holder although this node reaches none."""
        holders = set(self._chooser.holders)
        linked = [n for n in self._peers.linked_peers() if n not in holders]
        return self._rng.sample(linked, min(MAX_RELAYS, len(linked)))

    async def _on_request(self, node_id: str, msg: QuotaRequest) -> QuotaGrant:
        if self._holder is not None:
            return self._holder.reply_to(msg)
        no_part = QuotaGrant(self._kernel.cfg.node.id, False, 0, 0, 0.0, 0.0, 0.0)
        now = self._now_ms()
        self._refresh_holders(now)
        tokens = self._store.get(msg.customer, now)
        holder = self._chooser.choose(tokens, (), now)
        if holder is None or not msg.may_relay:
            return no_part
        self._counters.add("quota_requests_relayed")
        direct = structs.replace(msg, may_relay=False)
        reply = await self._peers.call(holder, direct, self._cfg.token_life_ms)
        return reply if isinstance(reply, QuotaGrant) else no_part

    def _drop_idle(self) -> None:
        self._store.drop_idle(self._now_ms())
        if len(self._store):
            self._cleanup.set(CLEANUP_INTERVAL_MS)
