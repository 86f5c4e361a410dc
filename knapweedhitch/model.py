"""Frozen data classes shared by the modules."""

from __future__ import annotations

import enum
import socket
from collections.abc import Mapping
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from knapweedhitch.codec import Float, Record
from knapweedhitch.items import Items
from knapweedhitch.rollout import Rollout

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})
# The incarnation of an upstream that is known from a probe only, which does not tell it.
UNKNOWN_INCARNATION = 0
MAX_INCARNATION = (1 << 63) - 1
MAX_COUNT = 1_000_000
MAX_NAME_CHARS = 1_024
MAX_VERSION_CHARS = 128
# Headers carry the id of an instance, so it is visible ASCII.
INSTANCE_ID = r"\A[!-~]{1,128}\Z"


def is_ip_address(host: str) -> bool:
    """Return whether a text is an IPv4 or IPv6 address."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        socket.inet_pton(family, host.partition("%")[0])
    except (OSError, ValueError):
        return False
    return True


class Address(Record, frozen=True, order=True):
    """Represent an IP address and port."""

    host: str
    port: Annotated[int, Meta(ge=0, le=65_535)]

    def __post_init__(self) -> None:
        # A socket would look up any other text as a name, which blocks, or refuse it untyped.
        if not is_ip_address(self.host):
            raise ValueError(f"host: {self.host[:60]!r} is not an IP address")

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


class UpstreamState(enum.Enum):
    """Represent the state that an upstream announces."""

    SERVING = "serving"
    LEAVING = "leaving"


class MemberState(enum.Enum):
    """Represent the state of a node in the membership protocol."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class Warmth(enum.Enum):
    """Represent whether an upstream can take its full load."""

    COLD = "cold"
    WARM = "warm"


class ClaimVerdict(enum.Enum):
    """List the replies of a claim holder to a claim request."""

    GRANTED = "granted"
    RECORDED = "recorded"
    NOT_KEPT = "not-kept"
    IN_PROGRESS = "in-progress"
    OUTCOME_UNKNOWN = "outcome-unknown"
    MISMATCH = "mismatch"
    RELEASED = "released"
    ABSTAIN = "abstain"
    NOT_HOLDER = "not-holder"
    EXPIRED = "expired"
    FUTURE = "future"
    FULL = "full"


class UpstreamRecord(Record, frozen=True):
    """Represent the announcement of an upstream."""

    service: Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARS)]
    address: Address
    slots: Annotated[int, Meta(ge=1, le=MAX_COUNT)]
    connections: Annotated[int, Meta(ge=1, le=MAX_COUNT)]
    instance_id: Annotated[str, Meta(pattern=INSTANCE_ID)]
    incarnation: Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]
    state: UpstreamState = UpstreamState.SERVING
    # The version of its software; empty where versions are not announced.
    version: Annotated[str, Meta(max_length=MAX_VERSION_CHARS)] = ""

    @classmethod
    def compact(cls, plain: list[Any]) -> None:
        """Leave out an empty version, so that datagrams hold as many records without one."""
        if not plain[-1]:
            plain.pop()

    def is_same_start(self, instance_id: str, incarnation: int) -> bool:
        """Return whether this may be a record of that start of an instance.

        An unknown incarnation may be any.
        """
        if self.instance_id != instance_id:
            return False
        return self.incarnation == incarnation or UNKNOWN_INCARNATION in (
            self.incarnation,
            incarnation,
        )

    def is_start_up_to(self, instance_id: str, incarnation: int) -> bool:
        """Return whether this may be a record of that start of an instance or an earlier one."""
        is_earlier = self.instance_id == instance_id and self.incarnation < incarnation
        return is_earlier or self.is_same_start(instance_id, incarnation)


class UpstreamEnd(Record, frozen=True):
    """Describe an upstream that ended by itself, and the requests that were in progress at it."""

    service: str
    instance_id: str
    incarnation: int
    # Keyed digests of requests, see `identity`.
    requests: tuple[bytes, ...]
    # Requests in progress of which too little was read to tell them apart, or over the limit.
    unidentified: int = 0

    @property
    def upstream(self) -> tuple[str, int]:
        """Return the start of the instance that ended."""
        return self.instance_id, self.incarnation


class Member(Record, frozen=True):
    """Represent the membership record of a node."""

    node_id: str
    address: Address
    region: str
    domain: str
    incarnation: int
    state: MemberState = MemberState.ALIVE
    draining: bool = False
    upstream: UpstreamRecord | None = None
    started_wall_ms: int = 0
    is_control: bool = False

    @classmethod
    def compact(cls, plain: list[Any]) -> None:
        """Shorten the record of the upstream."""
        upstream = plain[cls.__struct_fields__.index("upstream")]
        if upstream is not None:
            UpstreamRecord.compact(upstream)


class MemberEvent(Record, frozen=True):
    """Describe a change of a member; `old` is None for a new member."""

    node_id: str
    old: Member | None
    new: Member


class Target(Record, frozen=True):
    """Describe an upstream of a service and the node in front of it."""

    node_id: str
    domain: str
    upstream: UpstreamRecord
    suspect: bool = False
    draining: bool = False


class LoadSample(Record, frozen=True):
    """Describe a load report of a target; `latency_ms` is its peak EWMA of service time."""

    in_flight: int
    queued: int
    limit: int
    latency_ms: Float
    warmth: Warmth
    draining: bool = False
    # Current service time relative to the usual one, as reported by the upstream.
    slowdown: Float = 1.0
    # Expected wait of another call for a slot.
    wait_ms: Float = 0.0


class ServiceConfig(Record, frozen=True):
    """Configure one service."""

    name: str
    hosts: tuple[str, ...]
    policy: str = "least-used"
    require_key: bool = False
    default_deadline_ms: int = 5_000
    max_deadline_ms: int = 60_000
    max_body_bytes: int = 256 * 1024 * 1024
    hedge: bool = True
    retries: int = 2
    hold_back_bytes: int = 65_536
    claim_retention_s: int = 3_600
    max_recorded_answer_bytes: int = 65_536
    max_ejected_ratio: Float = 0.5


class DomainStatus(Record, frozen=True):
    """Describe whether a failure domain is out, and the versions of the last and first order."""

    out: bool
    version: int
    # 0 in states of builds that did not keep it.
    first_version: int = 0


class ClaimGroup(Record, frozen=True):
    """Describe the claim holders of a service for keys created at or after `from_wall_ms`."""

    service: str
    epoch: int
    from_wall_ms: int
    holders: tuple[str, ...]


class Configuration(Record, frozen=True):
    """Represent one version of the replicated configuration."""

    version: int = 0
    services: Mapping[str, ServiceConfig] = msgspec.field(default_factory=dict)
    domains: Mapping[str, DomainStatus] = msgspec.field(default_factory=dict)
    draining_nodes: frozenset[str] = frozenset()
    claim_groups: Mapping[str, tuple[ClaimGroup, ...]] = msgspec.field(default_factory=dict)
    items: Items = msgspec.field(default_factory=Items)
    # The last roll-out of each service.
    rollouts: Mapping[str, Rollout] = msgspec.field(default_factory=dict)

    def is_domain_out(self, domain: str) -> bool:
        """Return whether operators took the failure domain out of service."""
        status = self.domains.get(domain)
        return status is not None and status.out


class CallResult(Record, frozen=True):
    """Describe the result of an exchange with an upstream."""

    ok: bool
    service_ms: Float
    status: int = 0
    connect_failed: bool = False
    timed_out: bool = False
    shed: bool = False
    cancelled: bool = False
