"""The settings of one daemon, read from YAML and checked whole before anything starts."""

from __future__ import annotations

import dataclasses
import ipaddress
import os
import stat
from pathlib import Path
from typing import Annotated, Any

import pydantic
from pydantic import Field
from pydantic.dataclasses import dataclass

from knapweedhitch import yamltext
from knapweedhitch.exceptions import SettingsError
from knapweedhitch.model import Address
from knapweedhitch.validation import first_problem

MAX_SETTINGS_BYTES = 1_048_576
MAX_SECRET_BYTES = 4_096
MIN_SECRET_BYTES = 16

Port = Annotated[int, Field(ge=0, le=65_535)]
Ms = Annotated[int, Field(ge=1, le=3_600_000)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
Bytes = Annotated[int, Field(ge=1, le=1 << 40)]
Ratio = Annotated[float, Field(ge=0.0, le=1.0)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")]
FieldName = Annotated[str, Field(pattern=r"^[a-z0-9-]{1,64}$")]
OptionalFieldName = Annotated[str, Field(pattern=r"^[a-z0-9-]{0,64}$")]

_STRICT = pydantic.ConfigDict(extra="forbid")


def _ip(value: str) -> str:
    ipaddress.ip_address(value)
    return value


Ip = Annotated[str, pydantic.AfterValidator(_ip)]


@dataclass(frozen=True, config=_STRICT)
class Listener:
    """Hold the IP address and port of one listener; port 0 lets the system choose."""

    host: Ip = "127.0.0.1"
    port: Port = 0
    enabled: bool = True


@dataclass(frozen=True, config=_STRICT)
class NodeSettings:
    """Name the node and its place."""

    id: Name
    domain: Name
    region: Name = "region-1"
    cluster: Name = "knapweedhitch"
    # The ids of all nodes are their IP addresses, with one peer port for all; a node can then be
    # called before membership knows it.
    id_is_address: bool = False
    # The service of the upstream beside this node, where the deployment says so.
    service: str = ""


@dataclass(frozen=True, config=_STRICT)
class ListenSettings:
    """Hold the listeners of the daemon."""

    callers: Listener = Listener()
    peers: Listener = Listener()
    announce: Listener = Listener()
    operator: Listener = Listener()
    metrics: Listener = Listener(enabled=False)


@dataclass(frozen=True, config=_STRICT)
class HeaderSettings:
    """Name the header fields that callers, upstreams and this system use; empty ones are unused."""

    request_id: FieldName = "x-request-id"
    deadline: FieldName = "knapweedhitch-deadline-ms"
    exchange: OptionalFieldName = "knapweedhitch-exchange"
    retries: OptionalFieldName = "knapweedhitch-retries"
    depth: OptionalFieldName = "knapweedhitch-depth"
    # Sent to the upstream: the instance that the request is meant for, and the calling service.
    expected_instance: OptionalFieldName = ""
    caller_service: OptionalFieldName = ""
    # Read from the upstream's answer: the request was not run, and the load of the upstream.
    not_run: OptionalFieldName = ""
    load: OptionalFieldName = ""
    # Read from the answer of a probe: the milliseconds until the upstream is warm, and its id.
    cold: OptionalFieldName = ""
    instance: OptionalFieldName = ""


@dataclass(frozen=True, config=_STRICT)
class SecretSettings:
    """Name the secret files; each must be readable by its owner alone."""

    peer_secret_file: str
    operator_token_file: str


@dataclass(frozen=True, config=_STRICT)
class ControlMember:
    """Name one control instance and the address of its peer listener."""

    id: Name
    host: Ip
    port: Annotated[int, Field(ge=1, le=65_535)]


@dataclass(frozen=True, config=_STRICT)
class ControlSettings:
    """Hold the control instances of the region and the pace of the replicated log."""

    members: tuple[ControlMember, ...]
    data_dir: str | None = None
    heartbeat_ms: Ms = 100
    election_timeout_ms: Ms = 600
    # The same after a start, until a leader was heard: most often all have started together.
    first_election_timeout_ms: Ms = 600
    call_timeout_ms: Ms = 300
    max_batch_entries: Count = 256
    max_pending_proposals: Count = 1_024
    snapshot_after_entries: Count = 1_000
    max_snapshot_chunk_bytes: Bytes = 262_144
    max_snapshot_bytes: Bytes = 268_435_456
    max_change_ids: Count = 20_000
    max_change_bytes: Bytes = 524_288
    max_history_entries: Count = 1_000
    max_services: Count = 10_000
    max_reported_nodes: Count = 40_000
    submit_timeout_ms: Ms = 5_000
    claim_group_repair_ms: Ms = 5_000
    activation_delay_ms: Ms = 10_000
    # Control instances beyond `members` may join, up to this many voters; 0 fixes the members.
    max_voters: Annotated[int, Field(ge=0, le=9)] = 0
    # A joining instance takes the place of a voter that has been silent for this long.
    replace_silent_ms: Ms = 3_000
    # Only a cluster that starts for the first time forms a group.
    may_form_group: bool = True
    # Off where a data folder can be lost but never replaced by an older copy of itself.
    confirm_restarts: bool = True
    # A replica that a failed write has stopped opens its data folder again after this.
    reopen_ms: Annotated[int, Field(ge=0, le=3_600_000)] = 0
    # A leader whose own disk takes longer for a write lets another member lead; 0 is never.
    max_sync_ms: Annotated[int, Field(ge=0, le=3_600_000)] = 0

    @property
    def admits_members(self) -> bool:
        """Tell whether control instances may join that the settings do not name."""
        return self.max_voters > 0


@dataclass(frozen=True, config=_STRICT)
class FeedSettings:
    """Hold the pace of configuration polling and the lease that it renews."""

    poll_interval_ms: Ms = 500
    config_lease_ms: Ms = 2_000
    call_timeout_ms: Ms = 1_000
    max_subscribers: Count = 2_000
    max_relay_subscribers: Count = 8
    max_lag_changes: Count = 32
    max_changes_per_reply: Count = 200
    max_state_bytes: Bytes = 16_777_216
    report_interval_ms: Ms = 10_000
    report_delay_ms: Ms = 200
    # Go on serving under the last known configuration when its proof is older than the lease.
    serve_stale: bool = False


@dataclass(frozen=True, config=_STRICT)
class MembershipSettings:
    """Hold the seeds and the pace of the membership protocol."""

    seeds: tuple[Listener, ...] = ()
    probe_interval_ms: Ms = 1_000
    probe_timeout_ms: Ms = 300
    gossip_interval_ms: Ms = 200
    indirect_probes: Count = 3
    suspicion_timeout_ms: Ms = 4_000
    sync_interval_ms: Ms = 10_000
    max_members: Count = 40_000
    max_events_per_s: Count = 200
    max_pending_updates: Count = 4_096
    gossip_fanout: Count = 3
    gossip_bytes_per_s: Count = 2_048
    gossip_burst_bytes: Count = 32_768
    max_datagram_bytes: Annotated[int, Field(ge=512, le=60_000)] = 1_200
    dead_retention_ms: Ms = 600_000


@dataclass(frozen=True, config=_STRICT)
class PeerSettings:
    """Hold the limits of links between nodes."""

    connect_timeout_ms: Ms = 500
    handshake_timeout_ms: Ms = 1_000
    heartbeat_interval_ms: Ms = 1_000
    missed_heartbeats: Count = 3
    rest_after_ms: Ms = 10_000
    # With many links the interval at rest grows so that all of them stay within the rate.
    rest_heartbeat_ms: Ms = 15_000
    max_rest_heartbeat_ms: Ms = 60_000
    max_rest_heartbeats_per_s: Annotated[float, Field(gt=0.0, le=10_000.0)] = 20.0
    max_message_bytes: Bytes = 1_048_576
    max_queued_messages: Count = 1_024
    max_queued_bytes: Bytes = 8_388_608
    max_received_messages: Count = 64
    max_handlers: Count = 64
    max_pending_sends: Count = 64
    max_streams: Count = 1_024
    max_links: Count = 4_096
    window_bytes: Annotated[int, Field(ge=4_096, le=1 << 30)] = 262_144
    idle_close_ms: Ms = 300_000
    redial_backoff_ms: Ms = 200
    cancel_wait_ms: Ms = 250
    # Off where the deployment hands out no secret; any host that reaches the port is then a peer.
    authenticate: bool = True


@dataclass(frozen=True, config=_STRICT)
class CallerSettings:
    """Hold the limits of the caller listener."""

    max_connections: Count = 4_096
    max_header_bytes: Bytes = 32_768
    max_headers: Count = 100
    header_timeout_ms: Ms = 10_000
    idle_timeout_ms: Ms = 60_000
    body_timeout_ms: Ms = 30_000
    write_timeout_ms: Ms = 30_000
    max_depth: Count = 32
    explain_sample_ratio: Ratio = 0.01
    max_explanations: Count = 1_000
    linger_ms: Ms = 500
    # Requests of one connection that run at once when a caller sends them ahead.
    max_pipelined: Count = 16
    max_replay_bytes: Bytes = 65_536
    max_keyed_body_bytes: Bytes = 1_048_576
    max_spooled_bytes: Bytes = 67_108_864


@dataclass(frozen=True, config=_STRICT)
class UpstreamSettings:
    """Hold the limits of exchanges with the upstream and of its announcement."""

    connect_timeout_ms: Ms = 250
    first_byte_timeout_ms: Ms = 10_000
    progress_timeout_ms: Ms = 10_000
    idle_timeout_ms: Ms = 15_000
    max_idle_connections: Count = 64
    max_response_header_bytes: Bytes = 65_536
    announcement_ttl_ms: Ms = 3_000
    max_announcement_bytes: Bytes = 4_096
    max_announcers: Count = 16
    unsafe_reuse_ms: Ms = 1_000
    silent_ratio: Ratio = 0.5
    # Ask the upstream for its load when no answer has told it for this long; 0 is never.
    probe_interval_ms: Annotated[int, Field(ge=0, le=3_600_000)] = 0
    probe_timeout_ms: Ms = 200
    # Where the own upstream listens, if the deployment says so; port 0 is unknown. A node that has
    # started asks it who it is and need not wait for its next announcement.
    address: Listener = Listener()
    # Accept an answer without length whose end is the orderly end of its connection.
    accept_unframed: bool = False


@dataclass(frozen=True, config=_STRICT)
class AdmissionSettings:
    """Hold the limits in front of the own upstream."""

    max_queue: Count = 64
    queue_target_ms: Ms = 5
    queue_interval_ms: Ms = 100
    overload_service_times: Annotated[float, Field(gt=0.0, le=100.0)] = 2.0
    cold_start_limit: Count = 1
    cold_success_factor: Annotated[float, Field(ge=1.0, le=100.0)] = 1.0
    cold_latency_factor: Annotated[float, Field(gt=1.0, le=100.0)] = 4.0
    cold_failure_run: Count = 3
    latency_tolerance: Annotated[float, Field(ge=1.0, le=100.0)] = 2.0
    lease_lifetime_ms: Ms = 250
    max_leases_per_peer: Annotated[int, Field(ge=0, le=1_000)] = 2
    max_lease_use_ms: Ms = 60_000
    # Upstreams slow down when nearly all of their slots are taken.
    slots_share: Annotated[float, Field(gt=0.0, le=1.0)] = 1.0
    # A call that can be answered within this time is not refused for its latency objective: its
    # refusal and return would take about as long.
    min_patience_ms: Annotated[int, Field(ge=0, le=60_000)] = 300
    # How long a shared machine stays slow as a rule; long calls wait for the end. 0 turns it off.
    slow_moment_ms: Annotated[int, Field(ge=0, le=60_000)] = 0
    # A call with less time than this left is not started.
    min_service_ms: Annotated[int, Field(ge=0, le=60_000)] = 5


@dataclass(frozen=True, config=_STRICT)
class RoutingSettings:
    """Hold the settings of picking, retries and hedging."""

    retry_ratio: Ratio = 0.1
    retry_floor_per_s: Annotated[float, Field(ge=0.0, le=1_000.0)] = 3.0
    retry_burst: Count = 100
    hedge_ratio: Ratio = 0.05
    hedge_burst: Count = 20
    hedge_percentile: Annotated[float, Field(gt=0.0, lt=100.0)] = 95.0
    hedge_min_ms: Ms = 2
    attempt_margin_ms: Ms = 5
    locality_spill_ratio: Annotated[float, Field(ge=1.0, le=100.0)] = 1.5
    sample_half_life_ms: Ms = 200
    latency_decay_ms: Ms = 1_000
    failure_penalty_ms: Ms = 1_000
    ejection_failures: Count = 5
    ejection_ms: Ms = 2_000
    max_ejection_ms: Ms = 30_000
    interest_ms: Ms = 10_000
    report_interval_ms: Ms = 100
    measure_budget_bytes_per_s: Count = 512
    max_tracked_targets: Count = 20_000
    # A node uses this many targets of a service; with all of them in use, every node would hold
    # a link to every other one.
    max_candidates: Count = 32


@dataclass(frozen=True, config=_STRICT)
class ClaimSettings:
    """Hold the bounds of idempotency claims."""

    max_claims: Count = 100_000
    max_recorded_bytes: Bytes = 67_108_864
    max_clock_skew_ms: Ms = 2_000
    call_timeout_ms: Ms = 300
    # Holders that get no processor time for a while must not fail a call that has time left.
    vote_deadline_share: Annotated[float, Field(gt=0.0, le=1.0)] = 0.5
    split_vote_retries: Count = 3
    split_vote_delay_ms: Ms = 20
    tombstone_ms: Ms = 60_000
    max_background_sends: Count = 1_000
    background_retries: Count = 6


@dataclass(frozen=True, config=_STRICT)
class OperatorSettings:
    """Hold the limits of the operator listener."""

    max_connections: Count = 64
    max_header_bytes: Bytes = 16_384
    max_body_bytes: Bytes = 1_048_576
    request_timeout_ms: Ms = 5_000
    idle_timeout_ms: Ms = 30_000
    write_timeout_ms: Ms = 10_000
    propose_timeout_ms: Ms = 5_000
    max_history: Count = 1_000


@dataclass(frozen=True, config=_STRICT)
class StopSettings:
    """Hold the pace of a planned stop."""

    announce_ms: Ms = 1_000
    drain_timeout_ms: Annotated[int, Field(ge=1, le=86_400_000)] = 600_000


@dataclass(frozen=True, config=_STRICT)
class LogSettings:
    """Hold what is logged."""

    level: Annotated[str, Field(pattern="^(DEBUG|INFO|NOTICE|WARNING|ERROR)$")] = "INFO"
    max_lines_per_s: Count = 1_000


@dataclass(frozen=True, config=_STRICT)
class Settings:
    """Hold every setting of one daemon."""

    node: NodeSettings
    secrets: SecretSettings
    control: ControlSettings
    listen: ListenSettings = ListenSettings()
    headers: HeaderSettings = HeaderSettings()
    feed: FeedSettings = FeedSettings()
    membership: MembershipSettings = MembershipSettings()
    peers: PeerSettings = PeerSettings()
    callers: CallerSettings = CallerSettings()
    upstream: UpstreamSettings = UpstreamSettings()
    admission: AdmissionSettings = AdmissionSettings()
    routing: RoutingSettings = RoutingSettings()
    claims: ClaimSettings = ClaimSettings()
    operator: OperatorSettings = OperatorSettings()
    stop: StopSettings = StopSettings()
    log: LogSettings = LogSettings()

    @property
    def is_control(self) -> bool:
        """Tell whether this node is a control instance."""
        if self.control.admits_members:
            return self.control.data_dir is not None
        return any(member.id == self.node.id for member in self.control.members)

    def control_address(self, node_id: str) -> Address | None:
        """Return the peer address of a control instance."""
        for member in self.control.members:
            if member.id == node_id:
                return Address(member.host, member.port)
        return Address(node_id, self.listen.peers.port) if self.node.id_is_address else None


_ADAPTER = pydantic.TypeAdapter(Settings)


def parse_settings(text: str, place: str = "settings") -> Settings:
    """Return the checked settings of a YAML text; raises SettingsError that names the place."""
    try:
        raw = yamltext.load(text)
    except ValueError as exc:
        raise SettingsError(place, f"not valid YAML: {exc}") from None
    if not isinstance(raw, dict):
        raise SettingsError(place, "use a YAML mapping with at least node, secrets and control")
    return _validate(raw, place)


def _validate(raw: dict[Any, Any], place: str) -> Settings:
    try:
        cfg = _ADAPTER.validate_python(raw)
    except pydantic.ValidationError as exc:
        problem = first_problem(exc)
        shown = yamltext.short_repr(problem.value)
        detail = f"{problem.message}; got {shown}"
        raise SettingsError(f"{place}: {problem.path or 'top level'}", detail) from None
    _check_relations(cfg, place)
    return cfg


def _check_relations(cfg: Settings, place: str) -> None:
    if not cfg.control.members:
        raise SettingsError(f"{place}: control.members", "name 1, 3 or 5 control instances")
    if len(cfg.control.members) not in (1, 3, 5) and not cfg.control.admits_members:
        raise SettingsError(f"{place}: control.members", "use 1, 3 or 5 control instances")
    if len({m.id for m in cfg.control.members}) != len(cfg.control.members):
        raise SettingsError(f"{place}: control.members", "use each id once")
    if cfg.is_control and cfg.control.data_dir is None:
        raise SettingsError(f"{place}: control.data_dir", "a control instance needs a data folder")
    # A claim group must not start before every lease under the group before it has ended.
    minimum_ms = cfg.feed.config_lease_ms + 2 * cfg.claims.max_clock_skew_ms
    if cfg.control.activation_delay_ms <= minimum_ms:
        raise SettingsError(
            f"{place}: control.activation_delay_ms",
            f"use more than feed.config_lease_ms + 2 * claims.max_clock_skew_ms = {minimum_ms}",
        )
    if cfg.feed.poll_interval_ms * 2 > cfg.feed.config_lease_ms:
        raise SettingsError(
            f"{place}: feed.poll_interval_ms", "use at most half of feed.config_lease_ms"
        )
    if cfg.control.election_timeout_ms < 3 * cfg.control.heartbeat_ms:
        raise SettingsError(
            f"{place}: control.election_timeout_ms", "use at least 3 * control.heartbeat_ms"
        )


def load_settings(path: str) -> Settings:
    """Return the checked settings of a YAML file; raises SettingsError."""
    return parse_settings(_read_text(Path(path)), path)


def _read_text(path: Path) -> str:
    try:
        with path.open("rb") as file:
            data = file.read(MAX_SETTINGS_BYTES + 1)
    except OSError as exc:
        raise SettingsError(str(path), f"cannot be read: {exc.strerror}") from None
    if len(data) > MAX_SETTINGS_BYTES:
        raise SettingsError(str(path), f"is over {MAX_SETTINGS_BYTES} bytes")
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as exc:
        raise SettingsError(str(path), f"is not UTF-8 at byte {exc.start}") from None


def load_secret(path: str) -> bytes:
    """Return the secret of a file that only its owner can read; raises SettingsError."""
    try:
        mode = os.stat(path).st_mode
        data = Path(path).read_bytes().strip()
    except OSError as exc:
        raise SettingsError(path, f"cannot be read: {exc.strerror}") from None
    if stat.S_IMODE(mode) & 0o077:
        raise SettingsError(path, f"mode {stat.S_IMODE(mode):04o} is too open; use chmod 600")
    if not MIN_SECRET_BYTES <= len(data) <= MAX_SECRET_BYTES:
        raise SettingsError(path, f"use {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} bytes")
    return data


def replace(cfg: Settings, **sections: Any) -> Settings:
    """Return settings with whole sections replaced."""
    return dataclasses.replace(cfg, **sections)
