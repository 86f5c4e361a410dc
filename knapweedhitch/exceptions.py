"""The exceptions that knapweedhitch raises."""

from __future__ import annotations

import enum
from typing import ClassVar


class Outcome(enum.Enum):
    """State what is known about the run of a refused request."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class KnapweedhitchError(Exception):
    """Be the base of every exception of this package."""


class SettingsError(KnapweedhitchError):
    """Report settings that cannot be used, with the place and what would be accepted."""

    def __init__(self, place: str, problem: str) -> None:
        self.place = place
        self.problem = problem
        super().__init__(f"{place}: {problem}")


class KernelError(KnapweedhitchError):
    """Report a mistake in the wiring of services."""


class DuplicateService(KernelError):
    """Report a second service under a name that is taken."""


class UnknownService(KernelError):
    """Report a service name that nothing has registered."""


class DuplicateRegistration(KernelError):
    """Report a second entry under one key of a registry."""


class MissingModule(KernelError):
    """Report a module of the daemon that cannot be imported."""


class CodecError(KnapweedhitchError):
    """Report bytes that are not a valid message."""


class UnknownMessage(CodecError):
    """Report a message type number that this version does not know."""


class MessageTooLarge(CodecError):
    """Report a message over the size limit."""


class PeerError(KnapweedhitchError):
    """Be the base of failures between nodes."""


class PeerUnreachable(PeerError):
    """Report that no link to the peer could be had; the message was not sent."""


class PeerTimeout(PeerError):
    """Report that a peer did not reply in time; the message may have been processed."""


class PeerDisconnected(PeerError):
    """Report a link that was lost; messages on it may have been processed."""


class RejectReason(enum.Enum):
    """State why one side refused a handshake."""

    WRONG_CLUSTER = "wrong-cluster"
    WRONG_VERSION = "wrong-version"
    WRONG_SECRET = "wrong-secret"
    OWN_NODE_ID = "own-node-id"
    UNEXPECTED_NODE = "unexpected-node"
    MALFORMED = "malformed"
    TOO_MANY_LINKS = "too-many-links"


class PeerRejected(PeerError):
    """Report a handshake that one side refused, with the reason."""

    def __init__(self, reason: RejectReason, detail: str = "") -> None:
        self.reason = reason
        super().__init__(f"{reason.value} {detail}".rstrip())


class PeerProtocolError(PeerError):
    """Report a peer that broke the rules of the link; the link is closed."""


class PeerQueueFull(PeerError):
    """Report that the bounded send queue of a link is full; the message was not sent."""


class PeerBusy(PeerQueueFull):
    """Report a peer that has no handler free; the message was not processed."""


class PeerCallFailed(PeerError):
    """Report that the handler at the peer raised an error."""


class NoLease(KnapweedhitchError):
    """Report that no slot lease of the target is held; nothing was sent."""


class StorageError(KnapweedhitchError):
    """Be the base of failures of the data folder."""


class CorruptFile(StorageError):
    """Report a durable file that is damaged in the middle, with its name and byte offset."""

    def __init__(self, path: str, offset: int, problem: str) -> None:
        self.path = path
        self.offset = offset
        super().__init__(f"{path}: offset {offset}: {problem}")


class DiskFull(StorageError):
    """Report that a durable write found no space."""


class SyncFailed(StorageError):
    """Report a failed fsync; what was written before it cannot be trusted."""


class StoreClosed(StorageError):
    """Report a store that was closed for good after a failed write or sync."""


class DataFolderLocked(StorageError):
    """Report a data folder that another process uses."""


class ConsensusError(KnapweedhitchError):
    """Be the base of refusals of the replicated log."""


class NotLeader(ConsensusError):
    """Report that this replica cannot accept changes, with the leader if it is known."""

    def __init__(self, leader_id: str | None) -> None:
        self.leader_id = leader_id
        super().__init__(f"not the leader; leader_id={leader_id}")


class ProposalUnknown(ConsensusError):
    """Report a proposal whose result is not known; send it again with the same change id."""


class ReplicaBusy(ConsensusError):
    """Report that the bounded queue of proposals is full; the proposal was not processed."""


class ReplicaStopped(ConsensusError):
    """Report a replica that stopped after a failed write; it answers nothing any more."""


class ChangeError(KnapweedhitchError):
    """Be the base of refusals of a configuration change."""


class VersionConflict(ChangeError):
    """Report a change whose base version is not the current one."""

    def __init__(self, base_version: int, current_version: int, winner: str = "") -> None:
        self.base_version = base_version
        self.current_version = current_version
        self.winner = winner
        super().__init__(
            f"base version {base_version} is not the current version {current_version}; "
            f"the change in force is {winner or 'unknown'}"
        )


class InvalidChange(ChangeError):
    """Report a change that the rules of the configuration refuse."""


class ItemConflict(InvalidChange):
    """Report an item whose version is held with other content."""


class AnswersError(KnapweedhitchError):
    """Report an answer of the questionnaire, with the question and what would be accepted."""

    def __init__(self, question: str, answer: object, accepted: str) -> None:
        self.question = question
        self.answer = answer
        self.accepted = accepted
        super().__init__(f"{question}: {answer!r} is not accepted; use {accepted}")


class OperatorError(KnapweedhitchError):
    """Be the base of failures of a request to the operator listener."""


class OperatorUnreachable(OperatorError):
    """Report an operator listener that gave no answer; nothing was changed."""


class OperatorAnswerLost(OperatorError):
    """Report a change whose answer was lost; send it again with the same change id."""

    def __init__(self, change_id: str, problem: str) -> None:
        self.change_id = change_id
        super().__init__(f"{problem}; the change may be in force, change_id={change_id}")


class OperatorRefused(OperatorError):
    """Report a typed refusal of the operator listener."""

    def __init__(self, status: int, error: str, detail: str, fields: dict[str, object]) -> None:
        self.status = status
        self.error = error
        self.detail = detail
        self.fields = fields
        super().__init__(f"{error}: {detail}" if detail else error)


class VersionLags(OperatorError):
    """Report nodes at which a version was not in force in time."""

    def __init__(self, version: int, lagging: list[str]) -> None:
        self.version = version
        self.lagging = lagging
        super().__init__(f"version {version} is not yet in force at {', '.join(lagging)}")


class CommandError(KnapweedhitchError):
    """Report a command line that cannot be carried out as written."""


class HttpError(KnapweedhitchError):
    """Be the base of failures on an HTTP connection."""


class UpstreamError(HttpError):
    """Report a failed exchange with an upstream; `bytes_sent` tells if any byte may have left."""

    def __init__(self, problem: str, *, bytes_sent: bool) -> None:
        self.bytes_sent = bytes_sent
        super().__init__(problem)


class UpstreamConnectFailed(UpstreamError):
    """Report an upstream that accepted no connection."""


class UpstreamTimeout(UpstreamError):
    """Report an upstream that made no progress within its limit."""


class UpstreamClosed(UpstreamError):
    """Report an upstream that closed the connection before the end of its answer."""


class UpstreamProtocolError(UpstreamError):
    """Report an upstream whose bytes are not valid HTTP/1.1."""


class UpstreamNotRun(UpstreamError):
    """Report an answer by which the upstream says that it did not run the request."""


class CallerGone(HttpError):
    """Report a caller that closed its connection before its answer was complete."""


class Refusal(KnapweedhitchError):
    """Be the base of every answer that the system makes in place of an upstream's."""

    reason: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    # When the caller of a request that was not run may come again.
    retry_after_ms: float = 100.0

    def __init__(self, outcome: Outcome = Outcome.NOT_RUN, detail: str = "") -> None:
        self.outcome = outcome
        self.detail = detail
        super().__init__(f"{self.reason} outcome={outcome.value} {detail}".rstrip())


class BadRequest(Refusal):
    """Refuse a request that is not valid HTTP/1.1."""

    reason = "bad-request"
    status = 400


class AmbiguousFraming(Refusal):
    """Refuse a request whose body length could be read in two ways."""

    reason = "ambiguous-framing"
    status = 400


class HeaderTooLarge(Refusal):
    """Refuse a request whose header block is over the limit."""

    reason = "header-too-large"
    status = 431


class BodyTooLarge(Refusal):
    """Refuse a request whose body is over the limit of the service."""

    reason = "body-too-large"
    status = 413


class HeaderTimeout(Refusal):
    """Refuse a request whose header block did not arrive in time."""

    reason = "header-timeout"
    status = 408


class BodyTimeout(Refusal):
    """Refuse a request whose body stopped arriving."""

    reason = "body-timeout"
    status = 408


class UpgradeRefused(Refusal):
    """Refuse a request to switch protocols."""

    reason = "upgrade-refused"
    status = 501


class ExpectationFailed(Refusal):
    """Refuse an Expect header other than 100-continue."""

    reason = "expectation-failed"
    status = 417


class TooManyConnections(Refusal):
    """Refuse a connection over the limit of the listener."""

    reason = "too-many-connections"
    status = 503


class NoSuchService(Refusal):
    """Refuse a request whose Host names no service."""

    reason = "no-such-service"
    status = 404


class NoSuchRoute(Refusal):
    """Refuse a request whose host and path match no route."""

    reason = "no-such-route"
    status = 404


class ConfigUnknown(Refusal):
    """Refuse a request at a node that has not learnt any configuration yet."""

    reason = "config-unknown"
    status = 503


class NoRoom(Refusal):
    """Refuse a request that cannot be served in the time that its caller has left."""

    reason = "no-room"
    status = 503


class UpstreamSlow(Refusal):
    """Decline a call at an upstream that has slowed down, as another one may answer sooner."""

    reason = "upstream-slow"
    status = 503


class ChainTooDeep(Refusal):
    """Refuse a request whose chain of calls is over the depth limit."""

    reason = "chain-too-deep"
    status = 508


class ConfigStale(Refusal):
    """Refuse new work because the node cannot prove that its configuration is current."""

    reason = "config-stale"
    status = 503


class NodeDraining(Refusal):
    """Refuse new work because the node is stopping."""

    reason = "node-draining"
    status = 503


class DomainOut(Refusal):
    """Refuse new work because operators took the failure domain out."""

    reason = "domain-out"
    status = 503


class UpstreamDraining(Refusal):
    """Refuse new work because the upstream is leaving."""

    reason = "upstream-draining"
    status = 503


class NoTarget(Refusal):
    """Refuse a request because no target of the service may take it."""

    reason = "no-target"
    status = 503


class QueueFull(Refusal):
    """Refuse a request because the queue in front of the upstream is full."""

    reason = "queue-full"
    status = 503


class QueueDelay(Refusal):
    """Refuse a request because the queue in front of the upstream stays too long."""

    reason = "queue-delay"
    status = 503


class ColdLimit(Refusal):
    """Refuse a request because the upstream is in cold start and at its limit."""

    reason = "cold-limit"
    status = 503


class ConnectionLimit(Refusal):
    """Refuse a request because the upstream has all connections it accepts."""

    reason = "connection-limit"
    status = 503


class DeadlineExceeded(Refusal):
    """Refuse a request whose deadline has passed."""

    reason = "deadline-exceeded"
    status = 504


class UpstreamFailed(Refusal):
    """Report an upstream that failed before a whole answer arrived."""

    reason = "upstream-failed"
    status = 502


class UpstreamUnreachable(UpstreamFailed):
    """Refuse a request because its upstream accepted no connection."""

    reason = "upstream-unreachable"


class UpstreamShed(UpstreamFailed):
    """Report a request that its upstream refused without running it."""

    reason = "upstream-shed"
    status = 503


class UpstreamTimedOut(UpstreamFailed):
    """Report an upstream that made no progress within its limit."""

    reason = "upstream-timeout"
    status = 504


class PeerFailed(Refusal):
    """Report a node on the way that failed before a whole answer arrived."""

    reason = "peer-failed"
    status = 502


class KeyRequired(Refusal):
    """Refuse an unsafe request without Idempotency-Key to a service that requires one."""

    reason = "key-required"
    status = 400


class KeyInvalid(Refusal):
    """Refuse an Idempotency-Key that is neither a UUIDv7 nor a ULID."""

    reason = "key-without-time"
    status = 400


class KeyFromFuture(Refusal):
    """Refuse an Idempotency-Key that was made later than the clock allows."""

    reason = "key-from-future"
    status = 400


class KeyExpired(Refusal):
    """Refuse an Idempotency-Key that is older than the retention of claims."""

    reason = "key-expired"
    status = 409


class KeyInProgress(Refusal):
    """Refuse a repeated Idempotency-Key whose first request still runs."""

    reason = "key-in-progress"
    status = 409


class KeyOutcomeUnknown(Refusal):
    """Refuse a repeated Idempotency-Key whose first request has no known result."""

    reason = "key-outcome-unknown"
    status = 409


class KeyAnswerNotKept(Refusal):
    """Refuse a repeated Idempotency-Key that ran, with an answer too large to keep."""

    reason = "key-answer-not-kept"
    status = 409


class KeyPayloadMismatch(Refusal):
    """Refuse a repeated Idempotency-Key that comes with another payload."""

    reason = "key-payload-mismatch"
    status = 422


class KeyedBodyTooLarge(Refusal):
    """Refuse a keyed request whose body is over the size that is held for its digest."""

    reason = "keyed-body-too-large"
    status = 413


class SpoolFull(Refusal):
    """Refuse a keyed request because the bodies held for digests use all their space."""

    reason = "spool-full"
    status = 503


class ClaimQuorumLost(Refusal):
    """Refuse a keyed request because too few claim holders can vote."""

    reason = "claim-quorum-lost"
    status = 503


class ClaimStoreFull(Refusal):
    """Refuse a keyed request because the claim holders have no space."""

    reason = "claim-store-full"
    status = 503


class InternalError(Refusal):
    """Report a fault of the system itself."""

    reason = "internal"
    status = 500


class Unauthorized(Refusal):
    """Refuse an operator request without a valid token."""

    reason = "unauthorized"
    status = 401


class NoSuchResource(Refusal):
    """Refuse an operator request for a path or object that does not exist."""

    reason = "no-such-resource"
    status = 404


class MethodNotAllowed(Refusal):
    """Refuse an operator request whose method the path does not have."""

    reason = "method-not-allowed"
    status = 405


class NotControlInstance(Refusal):
    """Refuse an operator request that only control instances can answer."""

    reason = "not-a-control-instance"
    status = 404


class UnknownDomain(Refusal):
    """Refuse to take out a failure domain that no known node is in."""

    reason = "unknown-domain"
    status = 404


class UnknownNode(Refusal):
    """Refuse to drain a node that is not known."""

    reason = "unknown-node"
    status = 404


class LastDomain(Refusal):
    """Refuse to take out the last failure domain in which a service has targets."""

    reason = "last-domain"
    status = 422


class ChangeConflict(Refusal):
    """Refuse a change whose base version is not the current one."""

    reason = "version-conflict"
    status = 409


class ChangeInvalid(Refusal):
    """Refuse a change that the rules of the configuration refuse."""

    reason = "invalid-change"
    status = 422


class NoLeader(Refusal):
    """Refuse a change because no control instance could take it."""

    reason = "no-leader"
    status = 503


class ChangeUnconfirmed(Refusal):
    """Report a change that may or may not be in force."""

    reason = "proposal-unknown"
    status = 503


class NotFound(Refusal):
    """Refuse a request for a path that a listener of the system does not have."""

    reason = "not-found"
    status = 404


class AnnouncementInvalid(Refusal):
    """Refuse an announcement with a wrong field."""

    reason = "announcement-invalid"
    status = 400


class AnnouncementStale(Refusal):
    """Refuse an announcement of an earlier incarnation than the current one."""

    reason = "announcement-stale"
    status = 409
