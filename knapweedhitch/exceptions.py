"""Exceptions raised by knapweedhitch."""

from __future__ import annotations

import enum
from typing import ClassVar

# A problem that a parser reports may quote a whole line of the other side, of 64 KiB and more.
MAX_DETAIL_CHARS = 1_000


class Outcome(enum.Enum):
    """Represent whether a refused request may have run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class KnapweedhitchError(Exception):
    """Represent any error of this package; the base class of its exceptions."""


class SettingsError(KnapweedhitchError):
    """Report invalid settings, with their location and the accepted values."""

    def __init__(self, place: str, problem: str) -> None:
        self.place = place
        self.problem = problem
        super().__init__(f"{place}: {problem}")


class KernelError(KnapweedhitchError):
    """Report an error in the registration of services."""


class DuplicateService(KernelError):
    """Report a second service registered under the same name."""


class UnknownService(KernelError):
    """Report a service name that is not registered."""


class DuplicateRegistration(KernelError):
    """Report a second registration under the same key."""


class InvariantViolated(AssertionError):
    """Report that the replicated or durable state is wrong, which ends the process at once."""


class TaskFailed(KnapweedhitchError):
    """Report that the process stopped because a background task that it needs has failed."""


class MissingModule(KernelError):
    """Report a module of the daemon that cannot be imported."""


class CodecError(KnapweedhitchError):
    """Report data that cannot be encoded or decoded."""


class UnknownMessage(CodecError):
    """Report a message number that is unknown to this version."""


class MessageTooLarge(CodecError):
    """Report a message over the size limit."""


class PeerError(KnapweedhitchError):
    """Represent any failure of communication between nodes."""


class PeerUnreachable(PeerError):
    """Report that no link to a peer could be opened; the message was not sent."""


class PeerTimeout(PeerError):
    """Report that a peer did not reply in time; the message may have been processed."""


class PeerDisconnected(PeerError):
    """Report a link that was closed; messages on it may have been processed."""


class RejectReason(enum.Enum):
    """List the reasons for rejecting a handshake."""

    WRONG_CLUSTER = "wrong-cluster"
    WRONG_VERSION = "wrong-version"
    WRONG_SECRET = "wrong-secret"
    OWN_NODE_ID = "own-node-id"
    UNEXPECTED_NODE = "unexpected-node"
    MALFORMED = "malformed"
    TOO_MANY_LINKS = "too-many-links"


class PeerRejected(PeerError):
    """Report a handshake that one side rejected, with the reason."""

    def __init__(self, reason: RejectReason, detail: str = "") -> None:
        self.reason = reason
        super().__init__(f"{reason.value} {detail}".rstrip())


class PeerProtocolError(PeerError):
    """Report a peer that violated the protocol of a link; the link is closed."""


class PeerQueueFull(PeerError):
    """Report that the bounded send queue of a link is full; the message was not sent."""


class PeerBusy(PeerQueueFull):
    """Report a peer without a free handler; the message was not processed."""


class PeerCallFailed(PeerError):
    """Report an error raised by the handler at the peer."""


class NoLease(KnapweedhitchError):
    """Report that no slot lease of the target is available; nothing was sent."""


class StorageError(KnapweedhitchError):
    """Represent any failure of the data folder."""


class CorruptFile(StorageError):
    """Report a durable file that is corrupt before its end, with its path and byte offset."""

    def __init__(self, path: str, offset: int, problem: str) -> None:
        self.path = path
        self.offset = offset
        super().__init__(f"{path}: offset {offset}: {problem}")


class DiskFull(StorageError):
    """Report a durable write that failed for lack of disk space."""


class SyncFailed(StorageError):
    """Report a failed fsync; earlier writes may not be durable."""


class StoreClosed(StorageError):
    """Report a store that was closed permanently after a failed write or sync."""


class DataFolderLocked(StorageError):
    """Report a data folder that is locked by another process."""


class ConsensusError(KnapweedhitchError):
    """Represent any refusal of the replicated log."""


class NotLeader(ConsensusError):
    """Report that this replica is not the leader, with the leader if it is known."""

    def __init__(self, leader_id: str | None) -> None:
        self.leader_id = leader_id
        super().__init__(f"not the leader; leader_id={leader_id}")


class ProposalUnknown(ConsensusError):
    """Report a proposal with an unknown result; a retry must use the same change id."""


class ReplicaBusy(ConsensusError):
    """Report that the proposal queue is full; the proposal was not processed."""


class ReplicaStopped(ConsensusError):
    """Report a replica that stopped after a failed write and no longer replies."""


class OrderAbandoned(ConsensusError):
    """Report an order that was not carried out, because its caller left."""


class ChangeError(KnapweedhitchError):
    """Represent any refusal of a configuration change."""


class VersionConflict(ChangeError):
    """Report a change whose base version is not the current version."""

    def __init__(self, base_version: int, current_version: int, winner: str = "") -> None:
        self.base_version = base_version
        self.current_version = current_version
        self.winner = winner
        super().__init__(
            f"base version {base_version} is not the current version {current_version}; "
            f"the change in force is {winner or 'unknown'}"
        )


class InvalidChange(ChangeError):
    """Report a change that violates the rules of the configuration."""


class RolloutInProgress(InvalidChange):
    """Report an order to roll out a version while another one is being rolled out."""


class ItemConflict(InvalidChange):
    """Report an item whose version is already stored with other content."""


class AnswersError(KnapweedhitchError):
    """Report an invalid questionnaire answer, with the question and the accepted values."""

    def __init__(self, question: str, answer: object, accepted: str) -> None:
        self.question = question
        self.answer = answer
        self.accepted = accepted
        super().__init__(f"{question}: {answer!r} is not accepted; use {accepted}")


class OperatorError(KnapweedhitchError):
    """Represent any failure of a request to the operator listener."""


class OperatorUnreachable(OperatorError):
    """Report an operator listener that could not be reached; nothing was changed."""


class NodeUnreachable(OperatorError):
    """Report a node whose configuration could not be read."""


class OperatorAnswerLost(OperatorError):
    """Report a change whose response was lost; a retry must use the same change id."""

    def __init__(self, change_id: str, problem: str) -> None:
        self.change_id = change_id
        super().__init__(f"{problem}; the change may be in force, change_id={change_id}")


class OperatorRefused(OperatorError):
    """Report a refusal by the operator listener."""

    def __init__(self, status: int, error: str, detail: str, fields: dict[str, object]) -> None:
        self.status = status
        self.error = error
        self.detail = detail
        self.fields = fields
        super().__init__(f"{error}: {detail}" if detail else error)


class VersionLags(OperatorError):
    """Report nodes at which a version was not in force before the timeout."""

    def __init__(self, version: int, lagging: list[str]) -> None:
        self.version = version
        self.lagging = lagging
        super().__init__(f"version {version} is not yet in force at {', '.join(lagging)}")


class CallInvalid(KnapweedhitchError):
    """Report a configuration call that must not be sent as it is."""

    def __init__(self, n_errors: int, n_warnings: int) -> None:
        super().__init__(f"{n_errors} errors, {n_warnings} entries without effect")


class CommandError(KnapweedhitchError):
    """Report an invalid command line."""


class HttpError(KnapweedhitchError):
    """Represent any failure on an HTTP connection."""


class UpstreamError(HttpError):
    """Report a failed exchange with an upstream; `bytes_sent` is false only if nothing was sent."""

    def __init__(self, problem: str, *, bytes_sent: bool) -> None:
        self.bytes_sent = bytes_sent
        super().__init__(problem[:MAX_DETAIL_CHARS])


class UpstreamConnectFailed(UpstreamError):
    """Report an upstream that did not accept a connection."""


class UpstreamClosed(UpstreamError):
    """Report an upstream that closed the connection before the end of its response."""


class UpstreamProtocolError(UpstreamError):
    """Report an upstream that sent invalid HTTP/1.1."""


class UpstreamResponseTooLarge(UpstreamProtocolError):
    """Report a response over the limit of bytes for its kind."""


class UpstreamRefused(UpstreamError):
    """Report a response that ends the exchange, but does not go to the caller."""


class UpstreamNotRun(UpstreamRefused):
    """Report a response by which the upstream states that it did not run the request."""


class UpstreamUnproven(UpstreamRefused):
    """Report a status that promises, without proof, that the request was not run."""


class CallerGone(HttpError):
    """Report a caller that closed its connection before its response was complete."""


class Refusal(KnapweedhitchError):
    """Represent any response that the load balancer sends in place of the upstream's."""

    reason: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    # Delay before the caller of a request that was not run may retry.
    retry_after_ms: float = 100.0

    def __init__(self, outcome: Outcome = Outcome.NOT_RUN, detail: str = "") -> None:
        self.outcome = outcome
        self.detail = detail[:MAX_DETAIL_CHARS]
        super().__init__(f"{self.reason} outcome={outcome.value} {self.detail}".rstrip())


class BadRequest(Refusal):
    """Refuse a request that is not valid HTTP/1.1."""

    reason = "bad-request"
    status = 400


class AmbiguousFraming(Refusal):
    """Refuse a request whose body length is ambiguous."""

    reason = "ambiguous-framing"
    status = 400


class HeaderTooLarge(Refusal):
    """Refuse a request whose header block exceeds the limit."""

    reason = "header-too-large"
    status = 431


class BodyTooLarge(Refusal):
    """Refuse a request whose body exceeds the limit of the service."""

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
    """Refuse a request for a protocol upgrade."""

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
    """Refuse a request whose Host header matches no service."""

    reason = "no-such-service"
    status = 404


class NoSuchRoute(Refusal):
    """Refuse a request whose host and path match no route."""

    reason = "no-such-route"
    status = 404


class CustomerKeyMissing(Refusal):
    """Refuse a request without a key on a route that needs one."""

    reason = "customer-key-missing"
    status = 401


class CustomerKeyUnknown(Refusal):
    """Refuse a request with a key that no customer has."""

    reason = "customer-key-unknown"
    status = 401


class RunEnded(Refusal):
    """Refuse a call of a run of the local upstream that is no longer in progress."""

    reason = "run-ended"
    status = 503


class ConfigUnknown(Refusal):
    """Refuse a request at a node that has not received a configuration yet."""

    reason = "config-unknown"
    status = 503


class QuotaExceeded(Refusal):
    """Refuse a request of a customer that is over its quota."""

    reason = "quota-exceeded"
    status = 429

    def __init__(self, retry_after_ms: float, detail: str = "") -> None:
        super().__init__(Outcome.NOT_RUN, detail)
        self.retry_after_ms = retry_after_ms


class QuotaUnknown(Refusal):
    """Refuse a request because most holders of the customer's quota do not reply."""

    reason = "quota-unknown"
    status = 503
    retry_after_ms = 200.0


class NoRoom(Refusal):
    """Refuse a request that cannot be served within its remaining deadline."""

    reason = "no-room"
    status = 503


class UpstreamBreaks(Refusal):
    """Refuse a request because its upstream has broken the exchanges before it."""

    reason = "upstream-breaks"
    status = 503


class UpstreamSlow(Refusal):
    """Decline a call at a slowed upstream, since another one may respond sooner."""

    reason = "upstream-slow"
    status = 503


class RequestQuarantined(Refusal):
    """Refuse a request under which several upstreams ended, before any upstream receives it."""

    reason = "request-quarantined"
    status = 503
    # The entry node replaces this by what is left of the verdict, if it knows the verdict itself.
    retry_after_ms = 60_000.0


class SuspectWaits(Refusal):
    """Refuse a request that is kept apart from another suspect at the same upstream."""

    reason = "suspect-waits"
    status = 503


class RetryBudgetExhausted(Refusal):
    """Refuse a call that a repeated run makes, when its service has no retries left."""

    reason = "retry-budget"
    status = 503


class ChainTooDeep(Refusal):
    """Refuse a request whose call chain exceeds the depth limit."""

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
    """Refuse new work because operators took the failure domain out of service."""

    reason = "domain-out"
    status = 503


class UpstreamDraining(Refusal):
    """Refuse new work because the upstream is leaving."""

    reason = "upstream-draining"
    status = 503


class RolloutLimited(Refusal):
    """Refuse a call at a target whose version may not take it at this point of a roll-out."""

    reason = "rollout-limited"
    status = 503


class NoTarget(Refusal):
    """Refuse a request because no target of the service can accept it."""

    reason = "no-target"
    status = 503


class QueueFull(Refusal):
    """Refuse a request because the queue in front of the upstream is full."""

    reason = "queue-full"
    status = 503


class QueueDelay(Refusal):
    """Refuse a request because the queuing delay in front of the upstream stays too high."""

    reason = "queue-delay"
    status = 503


class ColdLimit(Refusal):
    """Refuse a request because the upstream is at its limit for the cold start."""

    reason = "cold-limit"
    status = 503


class ConnectionLimit(Refusal):
    """Refuse a request because the upstream is at its connection limit."""

    reason = "connection-limit"
    status = 503


class DeadlineExceeded(Refusal):
    """Refuse a request whose deadline has passed."""

    reason = "deadline-exceeded"
    status = 504


class UpstreamFailed(Refusal):
    """Report an upstream that failed before its response was complete."""

    reason = "upstream-failed"
    status = 502
    # Whether the connection had been used and then idle before.
    was_reused: bool = False


class UpstreamUnreachable(UpstreamFailed):
    """Refuse a request because its upstream did not accept a connection."""

    reason = "upstream-unreachable"


class UpstreamShed(UpstreamFailed):
    """Report a request that its upstream shed without running it."""

    reason = "upstream-shed"
    status = 503


class UpstreamTimedOut(UpstreamFailed):
    """Report an upstream that made no progress within its timeout."""

    reason = "upstream-timeout"
    status = 504


class UnprovenRefusal(Refusal):
    """Replace a response whose status promises, without proof, that the request was not run."""

    reason = "unproven-refusal"
    status = 502


class PeerFailed(Refusal):
    """Report a forwarding node that failed before the response was complete."""

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
    """Refuse an Idempotency-Key whose timestamp is ahead by more than the allowed clock skew."""

    reason = "key-from-future"
    status = 400


class KeyExpired(Refusal):
    """Refuse an Idempotency-Key older than the retention of claims."""

    reason = "key-expired"
    status = 409


class KeyInProgress(Refusal):
    """Refuse a repeated Idempotency-Key whose first request is still in flight."""

    reason = "key-in-progress"
    status = 409


class KeyOutcomeUnknown(Refusal):
    """Refuse a repeated Idempotency-Key whose first request has an unknown outcome."""

    reason = "key-outcome-unknown"
    status = 409


class KeyAnswerNotKept(Refusal):
    """Refuse a repeated Idempotency-Key whose request ran with a response too large to record."""

    reason = "key-answer-not-kept"
    status = 409


class KeyPayloadMismatch(Refusal):
    """Refuse a repeated Idempotency-Key with a different payload."""

    reason = "key-payload-mismatch"
    status = 422


class KeyedBodyTooLarge(Refusal):
    """Refuse a keyed request whose body exceeds the size buffered for its digest."""

    reason = "keyed-body-too-large"
    status = 413


class SpoolFull(Refusal):
    """Refuse a keyed request because the space for buffered bodies is used up."""

    reason = "spool-full"
    status = 503


class ClaimQuorumLost(Refusal):
    """Refuse a keyed request because too few claim holders can vote."""

    reason = "claim-quorum-lost"
    status = 503


class ClaimStoreFull(Refusal):
    """Refuse a keyed request because the claim holders are full."""

    reason = "claim-store-full"
    status = 503


class InternalError(Refusal):
    """Report an internal error of the load balancer."""

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
    """Refuse an operator request whose method the path does not support."""

    reason = "method-not-allowed"
    status = 405


class NotControlInstance(Refusal):
    """Refuse an operator request that only control instances can serve."""

    reason = "not-a-control-instance"
    status = 404


class UnknownDomain(Refusal):
    """Refuse to take out a failure domain without known nodes."""

    reason = "unknown-domain"
    status = 404


class UnknownNode(Refusal):
    """Refuse to drain an unknown node."""

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
    """Refuse a change that violates the rules of the configuration."""

    reason = "invalid-change"
    status = 422


class NoLeader(Refusal):
    """Refuse a change because no control instance could accept it."""

    reason = "no-leader"
    status = 503


class OrderNotRun(Refusal):
    """Refuse an order that was not carried out, because its caller left."""

    reason = "order-abandoned"
    status = 503


class OrderRedirected(Refusal):
    """Ask the caller to send its order again to a path that names the version it is to replace."""

    reason = "order-redirected"
    status = 307

    def __init__(self, version: int) -> None:
        self.version = version
        super().__init__(detail=f"send the order again with the version {version}")


class ChangeUnconfirmed(Refusal):
    """Report a change that may or may not be in force."""

    reason = "proposal-unknown"
    status = 503


class NotFound(Refusal):
    """Refuse a request for a path that the listener does not serve."""

    reason = "not-found"
    status = 404


class AnnouncementInvalid(Refusal):
    """Refuse an announcement with an invalid field."""

    reason = "announcement-invalid"
    status = 400


class AnnouncementStale(Refusal):
    """Refuse an announcement of an earlier incarnation than the current one."""

    reason = "announcement-stale"
    status = 409
