"""The messages between nodes."""

from __future__ import annotations

import math
from dataclasses import dataclass

from knapweedhitch.codec import Message, message
from knapweedhitch.exceptions import Outcome
from knapweedhitch.model import ClaimVerdict, LoadSample, Member, MemberState

PROTOCOL_VERSION = 1

Headers = tuple[tuple[bytes, bytes], ...]

# 1-9 links


@message(1)
@dataclass(frozen=True, slots=True)
class Hello(Message):
    """Open a link; the nonce is answered by a proof."""

    cluster: str
    version: int
    node_id: str
    nonce: bytes


@message(2)
@dataclass(frozen=True, slots=True)
class Proof(Message):
    """Prove knowledge of the peer secret by an HMAC over both hellos."""

    mac: bytes


@message(3)
@dataclass(frozen=True, slots=True)
class Rejected(Message):
    """Refuse a handshake with a reason."""

    reason: str


@message(4)
@dataclass(frozen=True, slots=True)
class Ping(Message):
    """Ask for a sign of life."""

    sequence: int


@message(5)
@dataclass(frozen=True, slots=True)
class Pong(Message):
    """Answer a ping."""

    sequence: int


@message(6)
@dataclass(frozen=True, slots=True)
class CallMessage(Message):
    """Carry one encoded request message of a call."""

    call_id: int
    body: bytes


@message(7)
@dataclass(frozen=True, slots=True)
class ReplyMessage(Message):
    """Carry the encoded reply of a call, or the name of the error that its handler raised."""

    call_id: int
    body: bytes
    error: str


@message(8)
@dataclass(frozen=True, slots=True)
class Retire(Message):
    """Tell that the sender starts nothing more on this link."""


# 10-19 streams


@message(10)
@dataclass(frozen=True, slots=True)
class OpenStream(Message):
    """Hand a caller's request to the node of a target."""

    stream_id: int
    request_id: str
    service: str
    instance_id: str
    method: str
    target: bytes
    headers: Headers
    has_body: bool
    deadline_ms: float
    retries_left: int
    depth: int
    config_version: int
    idempotent: bool | None = None
    caller_service: str = ""
    priority: int = 0
    target_latency_ms: float = 0.0
    route: str = ""
    decline_above: float = math.inf


@message(11)
@dataclass(frozen=True, slots=True)
class StreamData(Message):
    """Carry a part of a body."""

    stream_id: int
    data: bytes


@message(12)
@dataclass(frozen=True, slots=True)
class StreamEnd(Message):
    """End a body that is whole."""

    stream_id: int


@message(13)
@dataclass(frozen=True, slots=True)
class StreamCredit(Message):
    """Allow the other side to send this many bytes more."""

    stream_id: int
    n_bytes: int


@message(14)
@dataclass(frozen=True, slots=True)
class StreamHead(Message):
    """Carry status and headers of the upstream's answer with a load sample."""

    stream_id: int
    status: int
    headers: Headers
    load: LoadSample | None


@message(15)
@dataclass(frozen=True, slots=True)
class StreamFail(Message):
    """End a stream by a refusal."""

    stream_id: int
    reason: str
    status: int
    outcome: Outcome
    detail: str
    load: LoadSample | None


@message(16)
@dataclass(frozen=True, slots=True)
class StreamCancel(Message):
    """Ask to stop a stream."""

    stream_id: int


@message(17)
@dataclass(frozen=True, slots=True)
class StreamCancelled(Message):
    """Confirm a cancel; not-run only if nothing was handed to the upstream."""

    stream_id: int
    outcome: Outcome


@message(18)
@dataclass(frozen=True, slots=True)
class StreamInformational(Message):
    """Carry a 1xx answer of the upstream."""

    stream_id: int
    status: int
    headers: Headers


@message(19)
@dataclass(frozen=True, slots=True)
class StreamResult(Message):
    """End an answer that is whole, with the result of the call and a load sample."""

    stream_id: int
    ok: bool
    status: int
    service_ms: float
    shed: bool
    load: LoadSample | None


# 20-29 load


@message(20)
@dataclass(frozen=True, slots=True)
class LoadReport(Message):
    """Push a load sample to a node that uses the target."""

    instance_id: str
    sequence: int
    load: LoadSample


@message(21)
@dataclass(frozen=True, slots=True)
class LeaseRequest(Message):
    """Ask the node of a target for slot leases."""

    instance_id: str
    wanted: int


@message(22)
@dataclass(frozen=True, slots=True)
class LeaseGrant(Message):
    """Grant slot leases for a lifetime in milliseconds."""

    instance_id: str
    lease_ids: tuple[int, ...]
    lifetime_ms: float
    load: LoadSample | None


@message(23)
@dataclass(frozen=True, slots=True)
class LeaseReturn(Message):
    """Give a slot lease back with the result of the call that used it."""

    instance_id: str
    lease_id: int
    used: bool
    ok: bool
    status: int
    service_ms: float


@message(25)
@dataclass(frozen=True, slots=True)
class LeaseUse(Message):
    """Tell that a call under a slot lease takes longer than the lifetime of the lease."""

    instance_id: str
    lease_id: int


@message(26)
@dataclass(frozen=True, slots=True)
class LeaseRenew(Message):
    """Tell the result of a call under a slot lease and ask to keep the lease; gives LeaseGrant."""

    instance_id: str
    lease_id: int
    ok: bool
    status: int
    service_ms: float


@message(24)
@dataclass(frozen=True, slots=True)
class LeaseRevoke(Message):
    """Withdraw all unused slot leases of a target."""

    instance_id: str


# 30-39 claims


@message(30)
@dataclass(frozen=True, slots=True)
class ClaimRequest(Message):
    """Ask a holder for the claim of a key."""

    service: str
    key: str
    epoch: int
    digest: bytes
    claim_id: str
    deadline_ms: float
    retention_s: int


@message(31)
@dataclass(frozen=True, slots=True)
class ClaimReply(Message):
    """Answer a claim request; the answer fields are set when a recorded answer exists."""

    verdict: ClaimVerdict
    claim_id: str
    recorded_status: int
    recorded_headers: Headers
    recorded_body: bytes


@message(32)
@dataclass(frozen=True, slots=True)
class ClaimComplete(Message):
    """Record the answer of a claimed run; kept is false when it is over the size limit."""

    service: str
    key: str
    claim_id: str
    kept: bool
    status: int
    headers: Headers
    body: bytes


@message(33)
@dataclass(frozen=True, slots=True)
class ClaimRelease(Message):
    """Give up a claim whose request was proved not to have run."""

    service: str
    key: str
    claim_id: str


@message(34)
@dataclass(frozen=True, slots=True)
class Ack(Message):
    """Confirm a message."""


# 40-49 feed


@message(40)
@dataclass(frozen=True, slots=True)
class FeedPoll(Message):
    """Ask a feed source for changes after a version and for the age of its proof."""

    version: int
    subscribe: bool


@message(41)
@dataclass(frozen=True, slots=True)
class FeedReply(Message):
    """Carry changes or a whole state; age_ms is negative when the source has no proof."""

    group_id: str
    version: int
    age_ms: float
    changes: tuple[bytes, ...]
    state: bytes


@message(42)
@dataclass(frozen=True, slots=True)
class FeedPush(Message):
    """Push changes that were just accepted; from_version is the version before the first."""

    group_id: str
    from_version: int
    changes: tuple[bytes, ...]


@message(43)
@dataclass(frozen=True, slots=True)
class Propose(Message):
    """Hand a change from any node to the leader."""

    change: bytes


@message(44)
@dataclass(frozen=True, slots=True)
class ProposeReply(Message):
    """Answer a proposal; error is the name of an exception type, empty on success."""

    version: int
    error: str
    detail: str
    leader_id: str


@message(45)
@dataclass(frozen=True, slots=True)
class VersionReport(Message):
    """Tell a control instance which version is in force at a node."""

    node_id: str
    version: int
    age_ms: float


# 50-59 consensus


@message(50)
@dataclass(frozen=True, slots=True)
class VoteRequest(Message):
    """Ask the named disk for a vote, or with pre_vote set ask whether it would be given."""

    term: int
    candidate_id: str
    last_index: int
    last_term: int
    pre_vote: bool
    disk_id: str
    voter_disk_id: str


@message(51)
@dataclass(frozen=True, slots=True)
class VoteReply(Message):
    """Answer a vote request."""

    term: int
    granted: bool
    disk_id: str


@message(52)
@dataclass(frozen=True, slots=True)
class LogEntry(Message):
    """Hold one entry of the replicated log."""

    term: int
    index: int
    kind: str
    body: bytes


@message(53)
@dataclass(frozen=True, slots=True)
class AppendRequest(Message):
    """Replicate entries; an empty one is a heartbeat. The leader has synced up to synced_index."""

    term: int
    leader_id: str
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[LogEntry, ...]
    disk_id: str
    synced_index: int


@message(54)
@dataclass(frozen=True, slots=True)
class AppendReply(Message):
    """Answer an append; match_index is the last index known to be equal and synced."""

    term: int
    ok: bool
    match_index: int
    disk_id: str


@message(55)
@dataclass(frozen=True, slots=True)
class SnapshotChunk(Message):
    """Send a part of a snapshot to a replica that is far behind."""

    term: int
    leader_id: str
    last_index: int
    last_term: int
    offset: int
    data: bytes
    done: bool


@message(56)
@dataclass(frozen=True, slots=True)
class SnapshotReply(Message):
    """Answer a snapshot part with the next offset wanted."""

    term: int
    next_offset: int
    disk_id: str


@message(57)
@dataclass(frozen=True, slots=True)
class Introduce(Message):
    """Show a control instance the own disk and what it holds, before it votes or counts."""

    disk_id: str
    term: int
    vote: str
    last_term: int
    last_index: int


@message(58)
@dataclass(frozen=True, slots=True)
class IntroduceReply(Message):
    """Answer with the own disk and whether it has never held any state.

    `lost` tells that the asking disk had confirmed more than it shows. A leader adds its commit
    index and the age of its proof; both are -1 from others.
    """

    disk_id: str
    empty: bool
    lost: bool
    term: int
    last_term: int
    last_index: int
    commit_index: int
    proof_age_ms: float


# 60-69 membership


@dataclass(frozen=True, slots=True)
class Verdict:
    """Hold what is believed of a member, without its record."""

    node_id: str
    started_wall_ms: int
    incarnation: int
    state: MemberState


@message(60)
@dataclass(frozen=True, slots=True)
class Probe(Message):
    """Ask a node for a sign of life; an empty target means whoever listens."""

    sequence: int
    sender: str
    target: str
    members: tuple[Member, ...]
    verdicts: tuple[Verdict, ...]


@message(61)
@dataclass(frozen=True, slots=True)
class ProbeAck(Message):
    """Answer a probe; sender is the node that was probed."""

    sequence: int
    sender: str
    members: tuple[Member, ...]
    verdicts: tuple[Verdict, ...]


@message(62)
@dataclass(frozen=True, slots=True)
class IndirectProbe(Message):
    """Ask a member to probe another one and to pass its answer on."""

    sequence: int
    sender: str
    target: str


@message(63)
@dataclass(frozen=True, slots=True)
class Gossip(Message):
    """Spread records and verdicts."""

    sender: str
    members: tuple[Member, ...]
    verdicts: tuple[Verdict, ...]


@message(64)
@dataclass(frozen=True, slots=True)
class SyncDigest(Message):
    """Compare the live members of two nodes by one hash for each bucket."""

    sender: str
    hashes: bytes


@message(65)
@dataclass(frozen=True, slots=True)
class SyncVerdicts(Message):
    """Answer a digest with what is believed of the members in the buckets that differ."""

    buckets: tuple[int, ...]
    verdicts: tuple[Verdict, ...]


@message(66)
@dataclass(frozen=True, slots=True)
class SyncExchange(Message):
    """Send the records that the other side lacks and ask for the wanted ones."""

    wanted: tuple[str, ...]
    members: tuple[Member, ...]
    verdicts: tuple[Verdict, ...]


@message(67)
@dataclass(frozen=True, slots=True)
class SyncMembers(Message):
    """Answer an exchange with the wanted records."""

    members: tuple[Member, ...]
