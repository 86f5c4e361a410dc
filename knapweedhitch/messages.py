"""Message types of the protocol between nodes."""

from __future__ import annotations

import math
from typing import Annotated, Any

from msgspec import Meta, structs

from knapweedhitch.answertally import Count, RouteAnswers
from knapweedhitch.codec import Float, Message, Record, message
from knapweedhitch.exceptions import Outcome
from knapweedhitch.model import ClaimVerdict, LoadSample, Member, MemberState, UpstreamEnd

PROTOCOL_VERSION = 1

Headers = tuple[tuple[bytes, bytes], ...]
# Requests and tokens of a quota in one message.
TokenCount = Annotated[int, Meta(ge=0, le=100_000)]
# Requests per second, tokens or milliseconds; the bounds exclude NaN and infinity.
Amount = Annotated[float, Meta(ge=0.0, le=1e15)]

# Copying a message costs more than it is worth for a shorter time.
MIN_ELAPSED_MS = 1.0

# 1-9: links


@message(1)
class Hello(Message, frozen=True):
    """Open a link with a nonce that the peer must include in its proof."""

    cluster: str
    version: int
    node_id: str
    nonce: bytes


@message(2)
class Proof(Message, frozen=True):
    """Prove knowledge of the peer secret by an HMAC over both Hello messages."""

    mac: bytes


@message(3)
class Rejected(Message, frozen=True):
    """Reject a handshake with a reason."""

    reason: str


@message(4)
class Ping(Message, frozen=True):
    """Request a heartbeat reply."""

    sequence: int


@message(5)
class Pong(Message, frozen=True):
    """Reply to a ping."""

    sequence: int


@message(6)
class CallMessage(Message, frozen=True):
    """Carry the encoded request of a call."""

    call_id: int
    body: bytes


@message(7)
class ReplyMessage(Message, frozen=True):
    """Carry the encoded reply of a call, or the error raised by its handler."""

    call_id: int
    body: bytes
    error: str


@message(8)
class Retire(Message, frozen=True):
    """Announce that the sender starts no new calls or streams on this link."""


@message(9)
class Clock(Message, frozen=True):
    """Tell the clock of the sender before it opens a stream; earlier versions ignore it."""

    sent_ms: Float


# 10-19: streams


@message(10)
class OpenStream(Message, frozen=True):
    """Forward a caller's request to the node of a target."""

    stream_id: int
    request_id: str
    service: str
    instance_id: str
    method: str
    target: bytes
    headers: Headers
    has_body: bool
    deadline_ms: Float
    retries_left: int
    depth: int
    config_version: int
    idempotent: bool | None = None
    caller_service: str = ""
    priority: int = 0
    target_latency_ms: Float = 0.0
    route: str = ""
    decline_above: Float = math.inf
    is_repeat: bool = False
    customer: str = ""
    is_nested: bool = False

    def after(self, elapsed_ms: float) -> OpenStream:
        """Return this message with the remaining times reduced by the time since it was made."""
        if elapsed_ms < MIN_ELAPSED_MS:
            return self
        return structs.replace(
            self,
            deadline_ms=max(0.0, self.deadline_ms - elapsed_ms),
            target_latency_ms=max(0.0, self.target_latency_ms - elapsed_ms),
        )


@message(11)
class StreamData(Message, frozen=True):
    """Carry a part of a body."""

    stream_id: int
    data: bytes


@message(12)
class StreamEnd(Message, frozen=True):
    """Mark a body as complete."""

    stream_id: int


@message(13)
class StreamCredit(Message, frozen=True):
    """Grant the peer credit for further bytes of a body."""

    stream_id: int
    n_bytes: int


@message(14)
class StreamHead(Message, frozen=True):
    """Carry the status and headers of the upstream's response, with a load sample."""

    stream_id: int
    status: int
    headers: Headers
    load: LoadSample | None


@message(15)
class StreamFail(Message, frozen=True):
    """End a stream with a refusal."""

    stream_id: int
    reason: str
    status: int
    outcome: Outcome
    detail: str
    load: LoadSample | None


@message(16)
class StreamCancel(Message, frozen=True):
    """Request the cancellation of a stream."""

    stream_id: int


@message(17)
class StreamCancelled(Message, frozen=True):
    """Confirm a cancellation; the outcome is not-run only if nothing was sent to the upstream."""

    stream_id: int
    outcome: Outcome


@message(18)
class StreamInformational(Message, frozen=True):
    """Carry a 1xx response of the upstream."""

    stream_id: int
    status: int
    headers: Headers


@message(19)
class StreamResult(Message, frozen=True):
    """Mark a response as complete, with the result of the call and a load sample."""

    stream_id: int
    ok: bool
    status: int
    service_ms: Float
    shed: bool
    load: LoadSample | None


@message(28)
class StreamSilent(Message, frozen=True):
    """Report an upstream from which no byte has come for some time; its call goes on."""

    stream_id: int


# 20-29: load reports and slot leases


@message(20)
class LoadReport(Message, frozen=True):
    """Push a load sample of a target to a node that uses it."""

    instance_id: str
    sequence: int
    load: LoadSample


@message(21)
class LeaseRequest(Message, frozen=True):
    """Request slot leases from the node of a target."""

    instance_id: str
    wanted: int


@message(22)
class LeaseGrant(Message, frozen=True):
    """Grant slot leases for a limited lifetime."""

    instance_id: str
    lease_ids: tuple[int, ...]
    lifetime_ms: Float
    load: LoadSample | None


@message(23)
class LeaseReturn(Message, frozen=True):
    """Return a slot lease, with the result of the call that used it."""

    instance_id: str
    lease_id: int
    used: bool
    ok: bool
    status: int
    service_ms: Float


@message(25)
class LeaseUse(Message, frozen=True):
    """Report that a call under a slot lease outlasts the lifetime of the lease."""

    instance_id: str
    lease_id: int


@message(26)
class LeaseRenew(Message, frozen=True):
    """Report the result of a call under a slot lease and request its renewal by LeaseGrant."""

    instance_id: str
    lease_id: int
    ok: bool
    status: int
    service_ms: Float


@message(24)
class LeaseRevoke(Message, frozen=True):
    """Revoke all unused slot leases of a target."""

    instance_id: str


# 30-39: claims


@message(30)
class ClaimRequest(Message, frozen=True):
    """Request the claim of a key from a claim holder."""

    service: str
    key: str
    epoch: int
    digest: bytes
    claim_id: str
    deadline_ms: Float
    retention_s: int


@message(31)
class ClaimReply(Message, frozen=True):
    """Reply to a claim request, with the recorded response if there is one."""

    verdict: ClaimVerdict
    claim_id: str
    recorded_status: int
    recorded_headers: Headers
    recorded_body: bytes


@message(32)
class ClaimComplete(Message, frozen=True):
    """Record the response to a claimed request; `kept` is false for one over the size limit."""

    service: str
    key: str
    claim_id: str
    kept: bool
    status: int
    headers: Headers
    body: bytes


@message(33)
class ClaimRelease(Message, frozen=True):
    """Release a claim whose request is proven not to have run."""

    service: str
    key: str
    claim_id: str


@message(34)
class Ack(Message, frozen=True):
    """Acknowledge a message."""


# 40-49: configuration feed


@message(40)
class FeedPoll(Message, frozen=True):
    """Request the changes after a version from a feed source, and the age of its proof."""

    version: int
    subscribe: bool
    # The next part of a state that is being fetched, and its version; a negative offset asks for
    # the state in one piece.
    offset: int = -1
    state_version: int = 0


@message(41)
class FeedReply(Message, frozen=True):
    """Carry changes, or a state or a part of one; `age_ms` is negative without a proof."""

    group_id: str
    version: int
    age_ms: Float
    changes: tuple[bytes, ...]
    state: bytes
    # Where the part begins, and the version and size of the whole state.
    offset: int = 0
    state_version: int = 0
    state_bytes: int = 0


@message(42)
class FeedPush(Message, frozen=True):
    """Push newly accepted changes; `from_version` is the version before the first one."""

    group_id: str
    from_version: int
    changes: tuple[bytes, ...]


@message(43)
class Propose(Message, frozen=True):
    """Submit a change from any node to the leader."""

    change: bytes


@message(44)
class ProposeReply(Message, frozen=True):
    """Reply to a proposal; `error` is the name of an exception type, or empty on success."""

    version: int
    error: str
    detail: str
    leader_id: str


@message(45)
class VersionReport(Message, frozen=True):
    """Report to a control instance the configuration version in force at a node."""

    node_id: str
    version: int
    age_ms: Float


@message(46)
class HandOverReply(Message, frozen=True):
    """Reply to HandOver; `is_done` if the sender no longer votes or no instance can replace it."""

    is_leader: bool
    is_done: bool


# 50-59: consensus


@message(50)
class VoteRequest(Message, frozen=True):
    """Request a vote from the named disk, or a pre-vote if `pre_vote` is set."""

    term: int
    candidate_id: str
    last_index: int
    last_term: int
    pre_vote: bool
    disk_id: str
    voter_disk_id: str


@message(51)
class VoteReply(Message, frozen=True):
    """Reply to a vote request."""

    term: int
    granted: bool
    disk_id: str


@message(52)
class LogEntry(Message, frozen=True):
    """Represent one entry of the replicated log."""

    term: int
    index: int
    kind: str
    body: bytes


@message(53)
class AppendRequest(Message, frozen=True):
    """Replicate log entries, or none as a heartbeat; the leader has synced up to `synced_index`."""

    term: int
    leader_id: str
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[LogEntry, ...]
    disk_id: str
    synced_index: int


@message(54)
class AppendReply(Message, frozen=True):
    """Reply to an append; `match_index` is the last index known to match and to be synced."""

    term: int
    ok: bool
    match_index: int
    disk_id: str


@message(55)
class SnapshotChunk(Message, frozen=True):
    """Send a chunk of a snapshot to a replica that is far behind."""

    term: int
    leader_id: str
    last_index: int
    last_term: int
    offset: int
    data: bytes
    is_last: bool


@message(56)
class SnapshotReply(Message, frozen=True):
    """Reply to a snapshot chunk with the next offset to send."""

    term: int
    next_offset: int
    disk_id: str


@message(57)
class Introduce(Message, frozen=True):
    """Report the sender's disk and its log state, before the disk votes or counts in a quorum."""

    disk_id: str
    term: int
    vote: str
    last_term: int
    last_index: int


@message(59)
class HandOver(Message, frozen=True):
    """Ask the leader to let another instance vote in place of the sender, which stops."""


@message(58)
class IntroduceReply(Message, frozen=True):
    """Reply to Introduce with the replying disk and its log state.

    `is_empty` means that the disk has never held any state, and `has_lost_data` that the
    introduced disk had confirmed more than it reports. A leader adds its commit index and the age
    of its proof; both are -1 from other replicas.
    """

    disk_id: str
    is_empty: bool
    has_lost_data: bool
    term: int
    last_term: int
    last_index: int
    commit_index: int
    proof_age_ms: Float


# 60-69: membership


class Verdict(Record, frozen=True):
    """Report the state of a member without its record."""

    node_id: str
    started_wall_ms: int
    incarnation: int
    state: MemberState


class _WithMembers(Message, frozen=True):
    """Define the base of messages with member records."""

    @classmethod
    def compact(cls, plain: list[Any]) -> None:
        """Shorten the member records."""
        for member in plain[cls.__struct_fields__.index("members")]:
            Member.compact(member)


@message(60)
class Probe(_WithMembers, frozen=True):
    """Request an ack from a node; an empty target means any node at the address."""

    sequence: int
    sender: str
    target: str
    members: tuple[Member, ...]
    verdicts: tuple[Verdict, ...]


@message(61)
class ProbeAck(_WithMembers, frozen=True):
    """Acknowledge a probe; `sender` is the probed node."""

    sequence: int
    sender: str
    members: tuple[Member, ...]
    verdicts: tuple[Verdict, ...]


@message(62)
class IndirectProbe(Message, frozen=True):
    """Request that a member probes another one and relays its ack."""

    sequence: int
    sender: str
    target: str


@message(63)
class Gossip(_WithMembers, frozen=True):
    """Disseminate member records and verdicts."""

    sender: str
    members: tuple[Member, ...]
    verdicts: tuple[Verdict, ...]


@message(68)
class UpstreamDeparted(Message, frozen=True):
    """Tell a node that the upstream which it announces departed before.

    A node that has restarted does not know what its upstream reported to it before.
    """

    instance_id: str
    incarnation: int


@message(64)
class SyncDigest(Message, frozen=True):
    """Request a comparison of live members, by one hash per bucket."""

    sender: str
    hashes: bytes


@message(65)
class SyncVerdicts(Message, frozen=True):
    """Reply to a digest with the verdicts of the members in the buckets that differ."""

    buckets: tuple[int, ...]
    verdicts: tuple[Verdict, ...]


@message(66)
class SyncExchange(_WithMembers, frozen=True):
    """Send the records that the peer lacks and request the wanted ones."""

    wanted: tuple[str, ...]
    members: tuple[Member, ...]
    verdicts: tuple[Verdict, ...]


@message(67)
class SyncMembers(_WithMembers, frozen=True):
    """Reply to an exchange with the wanted records."""

    members: tuple[Member, ...]


# 70-79: requests that crash their upstreams


@message(70)
class UpstreamEnded(Message, frozen=True):
    """Tell of an upstream that ended with requests in progress."""

    end: UpstreamEnd
    age_ms: Float
    # How often nodes that did not know it pass it on.
    hops_left: int


@message(71)
class RequestCleared(Message, frozen=True):
    """Tell that a request is cleared of the ends so far: it succeeded, or operators lifted it."""

    request: bytes
    # Grows with each clearance of a request, so that a known one is not passed on again.
    mark: int
    age_ms: Float
    hops_left: int


@message(72)
class EvidenceQuery(Message, frozen=True):
    """Request the evidence of another node; `digest` is that of the evidence already held."""

    digest: bytes


@message(73)
class Evidence(Message, frozen=True):
    """Reply to an EvidenceQuery; empty if both nodes hold the same."""

    is_same: bool
    ends: tuple[UpstreamEnded, ...]
    cleared: tuple[RequestCleared, ...]


# 80-89: quotas


@message(80)
class QuotaRequest(Message, frozen=True):
    """Request tokens of a customer from the holder of a part of its quota.

    The limits are those that the requesting node knows; the higher version takes effect.
    """

    customer: str
    version: int
    rate_per_s: Amount
    burst: Amount
    # For requests that wait, and for those that are expected within the life of a token.
    wanted: TokenCount
    expected: TokenCount
    # Requests refused for this quota since the last message to this holder.
    refused: TokenCount
    # Whether the receiver may pass the request on to a holder.
    may_relay: bool


@message(81)
class QuotaGrant(Message, frozen=True):
    """Grant tokens, or tell when the part has one again."""

    holder: str
    # False if the node holds no part or cannot prove that it still does.
    holds_part: bool
    granted: TokenCount
    # Process and time of the grant at its holder, for tokens that are returned.
    process: int
    granted_ms: Amount
    next_token_ms: Amount
    retry_after_ms: Amount


@message(82)
class QuotaReturn(Message, frozen=True):
    """Return tokens of requests that were not run."""

    customer: str
    process: int
    granted_ms: Amount
    count: TokenCount


@message(83)
class VoterQuery(Message, frozen=True):
    """Ask the leader whether the sender is a voter of the replicated log."""


@message(84)
class VoterReply(Message, frozen=True):
    """Tell whether the node is a voter; only a leader with a recent proof replies with `known`."""

    known: bool
    is_voter: bool
    # Log index of the last committed members entry, and whether there have never been more voters
    # than parts of a quota.
    members_index: int
    none_replaced: bool
    age_ms: Amount


# 90-99: roll-outs


@message(90)
class RolloutReport(Message, frozen=True):
    """Report a target of a service that is rolled out, and request calls for it.

    Counts are those since the order in one process, which its random `process_id` tells apart.
    """

    service: str
    order_version: int
    instance_id: str
    process_id: int
    sequence: int
    version: str
    slots: int
    is_warm: bool
    is_closed: bool
    in_progress: int
    # Calls that have reached the target, without repeated attempts.
    arrivals: Count
    # Grants: those used, those held, and those to hold after the reply.
    spent: Count
    held: Count
    wanted: Count
    answers: tuple[RouteAnswers, ...]


@message(91)
class RolloutGrant(Message, frozen=True):
    """Grant calls to a target, or name the leader to which it should report."""

    is_leader: bool
    leader_id: str
    calls: int
