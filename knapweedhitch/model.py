"""Frozen data classes that the modules share."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping

from knapweedhitch.items import Items

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Address:
    """Hold an IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


class UpstreamState(enum.Enum):
    """State what an upstream announces about itself."""

    SERVING = "serving"
    LEAVING = "leaving"


class MemberState(enum.Enum):
    """State what the membership protocol believes of a node."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class Warmth(enum.Enum):
    """State whether an upstream may get its full load."""

    COLD = "cold"
    WARM = "warm"


class ClaimVerdict(enum.Enum):
    """State how a claim holder answers a claim request."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """Hold the announcement of one upstream."""

    service: str
    address: Address
    slots: int
    connections: int
    instance_id: str
    incarnation: int
    state: UpstreamState = UpstreamState.SERVING


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Hold what is known of one node."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class MemberEvent:
    """Hold one change of a member; `old` is None for a member that was not known."""

    node_id: str
    old: Member | None
    new: Member


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Hold one upstream of a service together with the node in its slot."""

    node_id: str
    domain: str
    upstream: UpstreamRecord
    suspect: bool = False
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """Hold one load report of a target; `latency_ms` is its own peak EWMA of service time."""

    in_flight: int
    queued: int
    limit: int
    latency_ms: float
    warmth: Warmth
    draining: bool = False
    # How many times longer than usual work takes at the upstream now, by its own word.
    slowdown: float = 1.0
    # How long another call would wait for a slot.
    wait_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Hold the configuration of one service."""

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
    max_ejected_ratio: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class DomainStatus:
    """Hold whether a failure domain is out, and the version that last changed it."""

    out: bool
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGroup:
    """Hold the claim holders of a service for keys made from `from_wall_ms` on."""

    service: str
    epoch: int
    from_wall_ms: int
    holders: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one version of the replicated configuration."""

    version: int = 0
    services: Mapping[str, ServiceConfig] = dataclasses.field(default_factory=dict)
    domains: Mapping[str, DomainStatus] = dataclasses.field(default_factory=dict)
    draining_nodes: frozenset[str] = frozenset()
    claim_groups: Mapping[str, tuple[ClaimGroup, ...]] = dataclasses.field(default_factory=dict)
    items: Items = dataclasses.field(default_factory=Items)

    def is_domain_out(self, domain: str) -> bool:
        """Tell whether operators took the failure domain out."""
        status = self.domains.get(domain)
        return status is not None and status.out


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """Hold how one exchange with an upstream ended; times are in milliseconds."""

    ok: bool
    service_ms: float
    status: int = 0
    connect_failed: bool = False
    timed_out: bool = False
    shed: bool = False
    cancelled: bool = False
