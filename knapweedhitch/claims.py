"""Claims of idempotency keys by a majority of their holders; see docs/claims.md for the reasons."""

from __future__ import annotations

import collections
import dataclasses
import math
import random
import secrets

import trio

from knapweedhitch.claimstore import ClaimStore, group_for, recorded_bytes
from knapweedhitch.clock import MS_PER_S
from knapweedhitch.codec import Message
from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import (
    ClaimQuorumLost,
    ClaimStoreFull,
    KeyAnswerNotKept,
    KeyExpired,
    KeyFromFuture,
    KeyInProgress,
    KeyOutcomeUnknown,
    KeyPayloadMismatch,
    Outcome,
    PeerError,
    PeerUnreachable,
    Refusal,
)
from knapweedhitch.idempotency import key_time_ms, normalize
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.messages import (
    Ack,
    ClaimComplete,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    Headers,
)
from knapweedhitch.model import ClaimGroup, ClaimVerdict, ServiceConfig
from knapweedhitch.supervisor import OnFault

RETRY_DELAY_MS = 100.0

# A holder with such a verdict has run since before the key was created and holds no claim of it, so
# it has never voted for an attempt that may have run.
NO_EARLIER_VOTE = frozenset({ClaimVerdict.GRANTED, ClaimVerdict.FULL, ClaimVerdict.FUTURE})
HELD_BY_OTHER = frozenset({ClaimVerdict.IN_PROGRESS, ClaimVerdict.OUTCOME_UNKNOWN})


@dataclasses.dataclass(frozen=True, slots=True)
class GrantedClaim:
    """Describe a claim granted by a majority; it permits one dispatch at a time."""

    service: str
    key: str
    claim_id: str
    holders: tuple[str, ...]
    max_recorded_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedResponse:
    """Describe the recorded response of an earlier run."""

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass(slots=True)
class _VoteRound:
    """Collect the votes on one claim id."""

    holders: tuple[str, ...]
    claim_id: str
    replies: dict[str, ClaimReply] = dataclasses.field(default_factory=dict)
    unreachable: set[str] = dataclasses.field(default_factory=set)
    failed: set[str] = dataclasses.field(default_factory=set)
    done: trio.Event = dataclasses.field(default_factory=trio.Event)

    @property
    def majority(self) -> int:
        return len(self.holders) // 2 + 1

    def count(self, verdicts: frozenset[ClaimVerdict]) -> int:
        return sum(1 for reply in self.replies.values() if reply.verdict in verdicts)

    def first(self, verdict: ClaimVerdict) -> ClaimReply | None:
        return next((r for r in self.replies.values() if r.verdict is verdict), None)

    @property
    def granted(self) -> bool:
        return self.count(frozenset({ClaimVerdict.GRANTED})) >= self.majority

    @property
    def decided(self) -> bool:
        final = (ClaimVerdict.RECORDED, ClaimVerdict.NOT_KEPT, ClaimVerdict.MISMATCH)
        ended = len(self.replies) + len(self.unreachable) + len(self.failed)
        all_ended = ended == len(self.holders)
        return self.granted or all_ended or any(self.first(verdict) for verdict in final)

    def has_other_winner(self) -> bool:
        """Return whether a single other claim is held by a majority."""
        others = collections.Counter(
            r.claim_id for r in self.replies.values() if r.verdict in HELD_BY_OTHER
        )
        return any(n >= self.majority for n in others.values())

    def outcome(self) -> Outcome:
        """Return the outcome of a request whose claim was not granted.

        It is NOT_RUN if no holder reports another claim and every possible majority includes a
        holder without an earlier vote.
        """
        meets_every_majority = self.count(NO_EARLIER_VOTE) > len(self.holders) - self.majority
        held_by_other = self.count(HELD_BY_OTHER)
        return Outcome.NOT_RUN if meets_every_majority and not held_by_other else Outcome.UNKNOWN


@service("claims")
class Claims:
    """Claim idempotency keys for this node's callers, and vote on claims of other nodes."""

    def __init__(self, kernel: Kernel, rng: random.Random | None = None) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.claims
        self._node_id = kernel.cfg.node.id
        self._timers = kernel.get("timers")
        self._counters = kernel.get("counters")
        self._rng = rng or random.Random()
        self._background_sends = 0
        self._background_bytes = 0
        self.store = ClaimStore(
            self._cfg, self._node_id, self._timers.now_ms, self._timers.wall_ms, self._groups
        )

    async def start(self) -> None:
        """Register the handlers of claim messages."""
        peers = self._kernel.get("peers")
        for msg_type in (ClaimRequest, ClaimComplete, ClaimRelease):
            peers.handle(msg_type, self._handle)

    async def stop(self) -> None:
        """Do nothing; the kernel cancels the background sends."""

    async def claim(
        self, svc: ServiceConfig, key: str, digest: bytes, deadline: Deadline
    ) -> GrantedClaim | RecordedResponse:
        """Claim a key or return its recorded response; raises Key* and Claim* refusals."""
        key = normalize(key)
        group = self._group(svc, key)
        for attempt in range(self._cfg.split_vote_retries + 1):
            votes = _VoteRound(group.holders, secrets.token_hex(16))
            try:
                await self._request_votes(svc, group, key, digest, deadline, votes)
            except BaseException:
                # A cancelled caller must not leave a claim that nobody completes or releases.
                self._start_release(svc.name, key, votes)
                raise
            result = self._result(svc, key, votes)
            if result is not None:
                self._counters.add(
                    "claims", "recorded" if isinstance(result, RecordedResponse) else "won"
                )
                if isinstance(result, RecordedResponse):
                    self._start_release(svc.name, key, votes)
                return result
            await self._release_votes(svc.name, key, votes)
            refusal = self._refusal(votes)
            is_last = attempt == self._cfg.split_vote_retries
            if is_last or not isinstance(refusal, KeyInProgress) or votes.has_other_winner():
                raise self._count_refusal(refusal)
            self._counters.add("claims", "split")
            delay_ms = self._cfg.split_vote_delay_ms * 2**attempt * (0.5 + self._rng.random())
            if delay_ms >= deadline.remaining_ms():
                raise self._count_refusal(refusal)
            await trio.sleep(delay_ms / MS_PER_S)
        raise AssertionError("the last attempt returns or raises")

    async def complete(
        self, claim: GrantedClaim, status: int, headers: Headers, body: bytes | None
    ) -> None:
        """Record the response of a run at the holders; a body of None is too large to record."""
        kept = body is not None and len(body) <= claim.max_recorded_bytes
        msg = ClaimComplete(
            claim.service,
            claim.key,
            claim.claim_id,
            kept,
            status,
            headers if kept else (),
            body if kept and body is not None else b"",
        )
        await self._send_to_holders(claim.holders, msg)

    async def release(self, claim: GrantedClaim) -> None:
        """Release a claim whose request provably did not run."""
        msg = ClaimRelease(claim.service, claim.key, claim.claim_id)
        await self._send_to_holders(claim.holders, msg)

    def _groups(self) -> dict[str, tuple[ClaimGroup, ...]] | None:
        config = self._kernel.get("config")
        return config.current.claim_groups if config.is_fresh() else None

    def _group(self, svc: ServiceConfig, key: str) -> ClaimGroup:
        key_ms = key_time_ms(key)
        wall_ms = self._timers.wall_ms()
        if key_ms > wall_ms + 2 * self._cfg.max_clock_skew_ms:
            # No holder within the clock skew bound can have voted for such a key yet.
            raise self._count_refusal(KeyFromFuture(Outcome.NOT_RUN))
        groups = self._kernel.get("config").current.claim_groups.get(svc.name, ())
        group = group_for(groups, key_ms)
        if group is None or not group.holders:
            # Groups are dropped after the retention time, so an earlier one may have held the key.
            refusal_type = KeyExpired if groups else ClaimQuorumLost
            raise self._count_refusal(
                refusal_type(Outcome.UNKNOWN, "no claim group for the time of the key")
            )
        return group

    async def _request_votes(
        self,
        svc: ServiceConfig,
        group: ClaimGroup,
        key: str,
        digest: bytes,
        deadline: Deadline,
        votes: _VoteRound,
    ) -> None:
        remaining_ms = deadline.remaining_ms()
        msg = ClaimRequest(
            svc.name,
            key,
            group.epoch,
            digest,
            votes.claim_id,
            remaining_ms,
            svc.claim_retention_s,
        )
        timeout_ms = self._vote_timeout_ms(remaining_ms)
        with trio.move_on_after(timeout_ms / MS_PER_S):
            async with trio.open_nursery() as nursery:
                for node_id in group.holders:
                    nursery.start_soon(self._request_vote, node_id, msg, timeout_ms, votes)
                await votes.done.wait()
                nursery.cancel_scope.cancel()

    def _vote_timeout_ms(self, remaining_ms: float) -> float:
        """Return how long to wait for votes, which leaves time for the call itself."""
        share_ms = remaining_ms * self._cfg.vote_deadline_share
        return min(max(self._cfg.call_timeout_ms, share_ms), remaining_ms)

    async def _request_vote(
        self, node_id: str, msg: ClaimRequest, timeout_ms: float, votes: _VoteRound
    ) -> None:
        try:
            reply = await self._call(node_id, msg, timeout_ms)
        except PeerUnreachable:
            votes.unreachable.add(node_id)
        except PeerError as exc:
            # The holder may have voted; a late vote counts for this claim id only.
            self._counters.add("claim_calls_failed", type(exc).__name__)
            votes.failed.add(node_id)
        else:
            granted = isinstance(reply, ClaimReply) and reply.verdict is ClaimVerdict.GRANTED
            if isinstance(reply, ClaimReply) and (not granted or reply.claim_id == votes.claim_id):
                votes.replies[node_id] = reply
            else:
                # A vote for another claim id must not count.
                votes.failed.add(node_id)
        if votes.decided:
            votes.done.set()

    def _result(
        self, svc: ServiceConfig, key: str, votes: _VoteRound
    ) -> GrantedClaim | RecordedResponse | None:
        recorded = votes.first(ClaimVerdict.RECORDED)
        if recorded is not None:
            return RecordedResponse(
                recorded.recorded_status, recorded.recorded_headers, recorded.recorded_body
            )
        if not votes.granted:
            return None
        return GrantedClaim(
            svc.name, key, votes.claim_id, votes.holders, svc.max_recorded_answer_bytes
        )

    def _refusal(self, votes: _VoteRound) -> Refusal:
        if votes.first(ClaimVerdict.NOT_KEPT):
            return KeyAnswerNotKept(Outcome.UNKNOWN)
        if votes.first(ClaimVerdict.MISMATCH):
            return KeyPayloadMismatch(Outcome.UNKNOWN)
        if votes.first(ClaimVerdict.OUTCOME_UNKNOWN):
            return KeyOutcomeUnknown(Outcome.UNKNOWN)
        if votes.first(ClaimVerdict.IN_PROGRESS):
            return KeyInProgress(Outcome.UNKNOWN)
        if votes.first(ClaimVerdict.EXPIRED):
            return KeyExpired(Outcome.UNKNOWN)
        outcome = votes.outcome()
        if votes.first(ClaimVerdict.FUTURE):
            return KeyFromFuture(outcome)
        if votes.first(ClaimVerdict.FULL):
            return ClaimStoreFull(outcome)
        return ClaimQuorumLost(outcome, f"{len(votes.replies)} of {len(votes.holders)} replied")

    async def _release_votes(self, service_name: str, key: str, votes: _VoteRound) -> None:
        """Release the votes before the caller gets the refusal, so that it can retry at once."""
        msg = ClaimRelease(service_name, key, votes.claim_id)
        await self._send_to_holders(self._possible_voters(votes), msg)

    def _start_release(self, service_name: str, key: str, votes: _VoteRound) -> None:
        msg = ClaimRelease(service_name, key, votes.claim_id)
        for node_id in self._possible_voters(votes):
            self._start_background_send(node_id, msg)

    @staticmethod
    def _possible_voters(votes: _VoteRound) -> tuple[str, ...]:
        def may_hold(node_id: str) -> bool:
            reply = votes.replies.get(node_id)
            if reply is None:
                return node_id not in votes.unreachable
            return reply.verdict is ClaimVerdict.GRANTED

        return tuple(node_id for node_id in votes.holders if may_hold(node_id))

    async def _send_to_holders(self, holders: tuple[str, ...], msg: Message) -> None:
        """Send to all holders once; failed sends are retried in the background."""

        async def send(node_id: str) -> None:
            if not await self._try_send(node_id, msg):
                self._start_background_send(node_id, msg)

        # The response of a run must reach the holders even if the caller disconnects meanwhile.
        with trio.CancelScope(shield=True):
            async with trio.open_nursery() as nursery:
                for node_id in holders:
                    nursery.start_soon(send, node_id)

    def _start_background_send(self, node_id: str, msg: Message) -> None:
        n_bytes = recorded_bytes(msg.headers, msg.body) if isinstance(msg, ClaimComplete) else 0
        if (
            self._background_sends >= self._cfg.max_background_sends
            or self._background_bytes + n_bytes > self._cfg.max_background_bytes
        ):
            self._counters.add("claim_sends_dropped", type(msg).__name__)
            return
        self._background_sends += 1
        self._background_bytes += n_bytes
        self._kernel.start_task(OnFault.END, self._retry_send, node_id, msg, n_bytes)

    async def _retry_send(self, node_id: str, msg: Message, n_bytes: int) -> None:
        try:
            for n in range(self._cfg.background_retries):
                if await self._try_send(node_id, msg):
                    return
                await trio.sleep(RETRY_DELAY_MS * math.pow(2, n) / MS_PER_S)
            self._counters.add("claim_sends_dropped", type(msg).__name__)
        finally:
            self._background_sends -= 1
            self._background_bytes -= n_bytes

    async def _try_send(self, node_id: str, msg: Message) -> bool:
        with trio.move_on_after(self._cfg.call_timeout_ms / MS_PER_S):
            try:
                await self._call(node_id, msg, self._cfg.call_timeout_ms)
            except PeerError as exc:
                self._counters.add("claim_calls_failed", type(exc).__name__)
                return False
            return True
        return False

    async def _call(self, node_id: str, msg: Message, timeout_ms: float) -> Message:
        if node_id == self._node_id:
            return await self._handle(node_id, msg)
        reply: Message = await self._kernel.get("peers").call(node_id, msg, timeout_ms)
        return reply

    async def _handle(self, _node_id: str, msg: Message) -> Message:
        if isinstance(msg, ClaimRequest):
            reply = self.store.claim(msg)
            self._counters.add("claim_votes", reply.verdict.value)
            self._counters.gauge("claims_held", len(self.store))
            return reply
        if isinstance(msg, ClaimComplete):
            self._counters.add("claims_recorded", "yes" if self.store.complete(msg) else "no")
        elif isinstance(msg, ClaimRelease):
            self.store.release(msg)
        return Ack()

    def _count_refusal(self, refusal: Refusal) -> Refusal:
        self._counters.add("claims_refused", refusal.reason)
        return refusal
