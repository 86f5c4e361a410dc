"""The settings of one daemon, read from YAML and fully validated before anything starts."""

from __future__ import annotations

import os
import stat
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from knapweedhitch import yamltext
from knapweedhitch.exceptions import SettingsError
from knapweedhitch.model import Address, is_ip_address
from knapweedhitch.validation import describe_problem

MAX_SETTINGS_BYTES = 1_048_576
MAX_SECRET_BYTES = 4_096
MIN_SECRET_BYTES = 16

Port = Annotated[int, Meta(ge=0, le=65_535)]
Ms = Annotated[int, Meta(ge=1, le=3_600_000)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Bytes = Annotated[int, Meta(ge=1, le=1 << 40)]
Ratio = Annotated[float, Meta(ge=0.0, le=1.0)]
Name = Annotated[str, Meta(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")]
FieldName = Annotated[str, Meta(pattern=r"^[a-z0-9-]{1,64}$")]
OptionalFieldName = Annotated[str, Meta(pattern=r"^[a-z0-9-]{0,64}$")]


def _check_host(host: str) -> None:
    if not is_ip_address(host):
        raise ValueError(f"host: {host[:80]!r} is not an IP address")


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Represent one section of the settings."""


class Listener(Section, frozen=True):
    """Configure the IP address and port of one listener; the system chooses if the port is 0."""

    host: str = "127.0.0.1"
    port: Port = 0
    enabled: bool = True

    def __post_init__(self) -> None:
        _check_host(self.host)


class NodeSettings(Section, frozen=True):
    """Configure the identity and location of the node."""

    id: Name
    domain: Name
    region: Name = "region-1"
    cluster: Name = "knapweedhitch"
    # All node ids are IP addresses and all nodes use the same peer port, so that a node can be
    # called before membership knows it.
    id_is_address: bool = False
    # Service of the local upstream, if the deployment provides it.
    service: str = ""


class ListenSettings(Section, frozen=True):
    """Configure the listeners of the daemon."""

    callers: Listener = Listener()
    peers: Listener = Listener()
    announce: Listener = Listener()
    operator: Listener = Listener()
    metrics: Listener = Listener(enabled=False)


class HeaderSettings(Section, frozen=True):
    """Configure the names of header fields; empty names turn optional fields off."""

    request_id: FieldName = "x-request-id"
    deadline: FieldName = "knapweedhitch-deadline-ms"
    exchange: OptionalFieldName = "knapweedhitch-exchange"
    retries: OptionalFieldName = "knapweedhitch-retries"
    depth: OptionalFieldName = "knapweedhitch-depth"
    # Sent to the upstream: the intended instance and the calling service.
    expected_instance: OptionalFieldName = ""
    caller_service: OptionalFieldName = ""
    # The key of a customer, which is read from requests of callers and not sent on, and the name of
    # its customer, which is sent to the upstream. Without them, customers are not told apart.
    credential: OptionalFieldName = ""
    customer: OptionalFieldName = ""
    # Read from responses of the upstream: whether the request was not run, and the load.
    not_run: OptionalFieldName = ""
    load: OptionalFieldName = ""
    # The requests per second that the upstream takes from all nodes, and whether it is leaving.
    limit: OptionalFieldName = ""
    leaving: OptionalFieldName = ""
    # Read from probe responses: the milliseconds until the upstream is warm, and its instance id.
    cold: OptionalFieldName = ""
    instance: OptionalFieldName = ""


class SecretSettings(Section, frozen=True):
    """Configure the paths of secret files, which only their owner may read."""

    peer_secret_file: str
    operator_token_file: str


class ControlMember(Section, frozen=True):
    """Describe one control instance and the address of its peer listener."""

    id: Name
    host: str
    port: Annotated[int, Meta(ge=1, le=65_535)]

    def __post_init__(self) -> None:
        _check_host(self.host)


class ControlSettings(Section, frozen=True):
    """Configure the control instances of the region and the replicated log."""

    members: tuple[ControlMember, ...]
    data_dir: str | None = None
    heartbeat_ms: Ms = 100
    election_timeout_ms: Ms = 600
    # Used after a start until a leader is known; usually all members have started together.
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
    max_voters: Annotated[int, Meta(ge=0, le=9)] = 0
    # A joining instance replaces a voter that has been silent for this long.
    replace_silent_ms: Ms = 3_000
    # The first change waits up to this long for `max_voters` voters. Instances that have not joined
    # by then count as lost.
    full_group_wait_ms: Ms = 5_000
    # Whether to form a new group; on only when the cluster starts for the first time.
    may_form_group: bool = True
    # After this time a majority of `members` may form the group without the others; 0 waits for
    # all. `may_form_group` must then be off wherever a member starts again, if only by itself.
    form_without_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 0
    # Whether the other members must confirm after a restart that the data folder has lost nothing.
    # Can be off where the folder may be lost, but is never replaced by an older copy of itself.
    confirm_restarts: bool = True
    # A replica that stopped after a failed write reopens its data folder after this time.
    reopen_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 0
    # A leader whose disk takes longer to sync a write lets another member lead; 0 is never.
    max_sync_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 0

    @property
    def admits_members(self) -> bool:
        """Return whether control instances outside `members` may join."""
        return self.max_voters > 0


class FeedSettings(Section, frozen=True):
    """Configure configuration polling and the lease that it renews."""

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
    # Continue to serve with the last known configuration after its lease has expired.
    serve_stale: bool = False


class MembershipSettings(Section, frozen=True):
    """Configure the seeds and the timing of the membership protocol."""

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
    max_datagram_bytes: Annotated[int, Meta(ge=512, le=60_000)] = 1_200
    dead_retention_ms: Ms = 600_000


class PeerSettings(Section, frozen=True):
    """Configure the links between nodes."""

    connect_timeout_ms: Ms = 500
    handshake_timeout_ms: Ms = 1_000
    heartbeat_interval_ms: Ms = 1_000
    missed_heartbeats: Count = 3
    rest_after_ms: Ms = 10_000
    # With many idle links the heartbeat interval grows, so that the total stays within the rate.
    rest_heartbeat_ms: Ms = 15_000
    max_rest_heartbeat_ms: Ms = 60_000
    max_rest_heartbeats_per_s: Annotated[float, Meta(gt=0.0, le=10_000.0)] = 20.0
    max_message_bytes: Bytes = 1_048_576
    max_queued_messages: Count = 1_024
    max_queued_bytes: Bytes = 8_388_608
    max_handlers: Count = 64
    max_pending_sends: Count = 64
    max_streams: Count = 1_024
    max_links: Count = 4_096
    window_bytes: Annotated[int, Meta(ge=4_096, le=1 << 30)] = 262_144
    idle_close_ms: Ms = 300_000
    redial_backoff_ms: Ms = 200
    cancel_wait_ms: Ms = 250
    # Off if the deployment provides no secret; then any host that reaches the port is a peer.
    authenticate: bool = True


class CallerSettings(Section, frozen=True):
    """Configure the caller listener."""

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
    # Pipelined requests of one connection that run concurrently.
    max_pipelined: Count = 16
    # Responses that are held in memory until they are complete and earlier ones on their connection
    # are done: of one request, and of the node. Others are passed on as they arrive, so that a
    # failure in the middle cuts them, with the requests behind them.
    max_held_response_bytes: Bytes = 1_048_576
    max_waiting_response_bytes: Bytes = 16_777_216
    max_replay_bytes: Bytes = 65_536
    max_keyed_body_bytes: Bytes = 1_048_576
    max_spooled_bytes: Bytes = 67_108_864


class UpstreamSettings(Section, frozen=True):
    """Configure exchanges with the upstream and its announcements."""

    connect_timeout_ms: Ms = 250
    # Without a byte of the response for this long, a call that may be repeated gets another attempt
    # beside the silent one. Only its deadline ends a call that the upstream may be at work on.
    first_byte_timeout_ms: Ms = 10_000
    idle_timeout_ms: Ms = 15_000
    max_idle_connections: Count = 64
    max_response_header_bytes: Bytes = 65_536
    # Short headers take many times their size in memory.
    max_response_headers: Count = 200
    announcement_ttl_ms: Ms = 3_000
    max_announcement_bytes: Bytes = 4_096
    max_announcers: Count = 16
    unsafe_reuse_ms: Ms = 1_000
    # The same for a connection that was idle before, as a share of the remaining time.
    silent_ratio: Ratio = 0.5
    # Probe the upstream for its load if no response has reported it for this long; 0 is never.
    probe_interval_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 0
    probe_timeout_ms: Ms = 200
    # Address of the local upstream if the deployment provides it; port 0 means unknown. A started
    # node probes it for its identity instead of waiting for the next announcement.
    address: Listener = Listener()
    # Accept responses without a length, which end when the connection closes cleanly.
    accept_unframed: bool = False


class AdmissionSettings(Section, frozen=True):
    """Configure the admission of calls to the local upstream."""

    max_queue: Count = 64
    queue_target_ms: Ms = 5
    queue_interval_ms: Ms = 100
    overload_service_times: Annotated[float, Meta(gt=0.0, le=100.0)] = 2.0
    cold_start_limit: Count = 1
    cold_success_factor: Annotated[float, Meta(ge=1.0, le=100.0)] = 1.0
    cold_latency_factor: Annotated[float, Meta(gt=1.0, le=100.0)] = 4.0
    cold_failure_run: Count = 3
    latency_tolerance: Annotated[float, Meta(ge=1.0, le=100.0)] = 2.0
    lease_lifetime_ms: Ms = 250
    max_leases_per_peer: Annotated[int, Meta(ge=0, le=1_000)] = 2
    max_lease_use_ms: Ms = 60_000
    # Share of the slots to use, as upstreams slow down when nearly all slots are taken.
    slots_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 1.0
    # A call that can finish within this time is not refused for its latency objective, because a
    # refusal and a retry by the caller would take about as long.
    min_patience_ms: Annotated[int, Meta(ge=0, le=60_000)] = 300
    # Usual length of a slow period of a shared machine; long calls wait for its end. 0 is off.
    slow_moment_ms: Annotated[int, Meta(ge=0, le=60_000)] = 0
    # Decline a call for the wait in the queue if another upstream is expected to respond sooner.
    decline_for_queue: bool = False
    # While urgent calls have been refused in this time, less urgent ones don't wait for a slot, and
    # calls of a customer that asks for far more than usual leave the last free one. 0 is off.
    shortage_window_ms: Annotated[int, Meta(ge=0, le=60_000)] = 0
    # Count the calls that the upstream reports beyond those known here, so that no call is sent
    # without room for it.
    count_unknown_calls: bool = False
    # After three broken exchanges in a row, send the upstream no call for this time, doubled up to
    # three times, and then one at a time until one succeeds. 0 is off.
    break_hold_ms: Annotated[int, Meta(ge=0, le=60_000)] = 0
    # A call with less time left is not started.
    min_service_ms: Annotated[int, Meta(ge=0, le=60_000)] = 5


class RoutingSettings(Section, frozen=True):
    """Configure picking, retries and hedging."""

    retry_ratio: Ratio = 0.1
    retry_floor_per_s: Annotated[float, Meta(ge=0.0, le=1_000.0)] = 3.0
    retry_burst: Count = 100
    # Retries of one service that all nodes together may make in any window, beyond the ratio. Each
    # node gets an equal part in place of `retry_floor_per_s` and `retry_burst`; 0 is off.
    retry_slack: Annotated[float, Meta(ge=0.0, le=1_000_000.0)] = 0.0
    retry_window_ms: Ms = 10_000
    # Share of ratio and slack to use. A retry reaches its upstream later than the call that earned
    # its token, so that its window may hold fewer calls.
    retry_budget_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 1.0
    # Separator between the id of a request and the suffix that an upstream adds to it for calls of
    # its own; empty if the ids of such calls are not related.
    call_id_separator: Annotated[str, Meta(pattern=r"^[.:_-]?$")] = ""
    hedge_ratio: Ratio = 0.05
    hedge_burst: Count = 20
    hedge_percentile: Annotated[float, Meta(gt=0.0, lt=100.0)] = 95.0
    hedge_min_ms: Ms = 2
    attempt_margin_ms: Ms = 5
    # A response that has begun before its deadline may end this much later. Operators expect the
    # end of a request at most 500 ms after the timeout of its route.
    transfer_grace_ms: Ms = 400
    locality_spill_ratio: Annotated[float, Meta(ge=1.0, le=100.0)] = 1.5
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
    # Number of targets of a service that a node uses. If it used all targets, every node would
    # have a link to every other node.
    max_candidates: Count = 32


class RolloutSettings(Section, frozen=True):
    """Configure how a service is moved to targets of a new version."""

    enabled: bool = False
    # Calls that a bad version may get between the order and its deadline, as a share of all calls
    # of the service plus a constant.
    exposure_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.1
    exposure_slack: Annotated[float, Meta(ge=0.0, le=1_000_000.0)] = 50.0
    report_interval_ms: Ms = 250
    # A target of the new version stops taking calls this long after its last contact with the
    # leader of the control group, until the other targets drain.
    lease_ms: Ms = 1_500
    call_timeout_ms: Ms = 300


class ClaimSettings(Section, frozen=True):
    """Configure the limits of idempotency claims."""

    max_claims: Count = 100_000
    max_recorded_bytes: Bytes = 67_108_864
    max_clock_skew_ms: Ms = 2_000
    call_timeout_ms: Ms = 300
    # Share of the remaining time of a call to wait for votes. Holders that get no processor time
    # for a while must not fail a call that has time left.
    vote_deadline_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.5
    split_vote_retries: Count = 3
    split_vote_delay_ms: Ms = 20
    tombstone_ms: Ms = 60_000
    max_background_sends: Count = 1_000
    # Responses in these sends.
    max_background_bytes: Bytes = 16_777_216
    background_retries: Count = 6


class QuotaSettings(Section, frozen=True):
    """Configure the quotas of customers over all nodes; only customers with a rate have one."""

    # In any window, at most (rate * window + burst) * (1 + overage_ratio) + slack requests run.
    window_ms: Ms = 5_000
    overage_ratio: Ratio = 0.1
    slack: Annotated[float, Meta(ge=0.0, le=1_000_000.0)] = 20.0
    # A token can be used or returned for this long; it counts from the request for the token.
    token_life_ms: Annotated[int, Meta(ge=10, le=60_000)] = 150
    # Another holder is asked as well if one does not reply within this time.
    ask_timeout_ms: Ms = 20
    # A request waits for replies, and for a part that is empty, up to these shares of its latency
    # objective. It no longer waits for replies when all have been silent for `max_silence_ms`.
    max_reply_wait_ms: Ms = 500
    max_reply_wait_share: Ratio = 1.0
    max_refill_wait_share: Ratio = 0.08
    max_silence_ms: Ms = 2_000
    # A holder that does not reply is not asked for this long, doubled with each further time.
    silent_backoff_ms: Ms = 50
    max_silent_backoff_ms: Ms = 1_000
    # A control instance that holds no part is not asked for this long.
    no_part_backoff_ms: Ms = 2_000
    # A voter grants tokens up to this time after it was last proved to be one. A new voter waits as
    # long, so that the one it replaces has stopped.
    voter_lease_ms: Ms = 10_000
    voter_query_ms: Ms = 1_500
    max_retry_after_ms: Ms = 5_000
    max_customers: Count = 20_000


class SuspectSettings(Section, frozen=True):
    """Configure how requests that crash their upstreams are found and refused."""

    # A request under which this many upstreams ended reaches no other one.
    max_ends: Annotated[int, Meta(ge=2, le=10)] = 3
    # How long an end counts as evidence, and so how long a request over `max_ends` is refused.
    evidence_ttl_ms: Ms = 600_000
    # How long a request is refused after two ends that it alone explains.
    two_ends_ttl_ms: Ms = 60_000
    # The oldest evidence is dropped beyond these numbers.
    max_ends_held: Count = 256
    max_requests_per_end: Count = 64
    max_cleared_held: Count = 1_024
    # Bodies are told apart by this many of their first bytes and whether more follow.
    identified_body_bytes: Bytes = 65_536
    # How long a suspect waits for another one at the same upstream.
    turn_wait_ms: Ms = 500
    # Nodes to which a node passes on what it has just learnt.
    fanout: Count = 24
    # Messages about evidence that a node sends; further ones wait for the comparison.
    max_messages_per_s: Count = 500
    # How often the evidence is compared with that of another node, for what was lost on the way.
    compare_interval_ms: Ms = 500


class OperatorSettings(Section, frozen=True):
    """Configure the operator listener."""

    max_connections: Count = 64
    max_header_bytes: Bytes = 16_384
    max_body_bytes: Bytes = 1_048_576
    request_timeout_ms: Ms = 5_000
    idle_timeout_ms: Ms = 30_000
    write_timeout_ms: Ms = 10_000
    propose_timeout_ms: Ms = 5_000
    max_history: Count = 1_000


class StopSettings(Section, frozen=True):
    """Configure the timing of a planned stop."""

    announce_ms: Ms = 1_000
    drain_timeout_ms: Annotated[int, Meta(ge=1, le=86_400_000)] = 600_000


class LogSettings(Section, frozen=True):
    """Configure logging."""

    level: Annotated[str, Meta(pattern="^(DEBUG|INFO|NOTICE|WARNING|ERROR)$")] = "INFO"
    max_lines_per_s: Count = 1_000
    # Lines that wait for the reader of the output; further ones are dropped.
    max_buffered_bytes: Annotated[int, Meta(ge=4_096, le=1 << 30)] = 1_048_576


class Settings(Section, frozen=True):
    """Configure one daemon."""

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
    rollouts: RolloutSettings = RolloutSettings()
    claims: ClaimSettings = ClaimSettings()
    quotas: QuotaSettings = QuotaSettings()
    suspects: SuspectSettings = SuspectSettings()
    operator: OperatorSettings = OperatorSettings()
    stop: StopSettings = StopSettings()
    log: LogSettings = LogSettings()

    @property
    def quota_parts(self) -> int:
        """Return the number of parts of each quota, one for each voter of the replicated log."""
        return self.control.max_voters or len(self.control.members)

    @property
    def is_control(self) -> bool:
        """Return whether this node is a control instance."""
        if self.control.admits_members:
            return self.control.data_dir is not None
        return any(member.id == self.node.id for member in self.control.members)

    def control_address(self, node_id: str) -> Address | None:
        """Return the peer address of a control instance, or None if it is unknown."""
        for member in self.control.members:
            if member.id == node_id:
                return Address(member.host, member.port)
        # A peer may name any node as the leader or as a member.
        if self.node.id_is_address and is_ip_address(node_id):
            return Address(node_id, self.listen.peers.port)
        return None


def parse_settings(text: str, place: str = "settings") -> Settings:
    """Return the validated settings in a YAML text; raises SettingsError with the place."""
    try:
        data = yamltext.load(text)
    except ValueError as exc:
        raise SettingsError(place, f"not valid YAML: {exc}") from None
    if not isinstance(data, dict):
        raise SettingsError(place, "use a YAML mapping with at least node, secrets and control")
    return _validate(data, place)


def _validate(data: dict[Any, Any], place: str) -> Settings:
    try:
        cfg = msgspec.convert(data, Settings)
    except msgspec.ValidationError as exc:
        problem = describe_problem(exc, data)
        shown = yamltext.short_repr(problem.value)
        message = f"{problem.message}; got {shown}"
        raise SettingsError(f"{place}: {problem.path or 'top level'}", message) from None
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
    # A claim group must not start before all leases under the previous group have expired.
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
    # Tokens used late or returned late add their lifetime to the window, up to twice.
    spread_ms = cfg.quotas.window_ms * cfg.quotas.overage_ratio
    if 2 * cfg.quotas.token_life_ms > spread_ms:
        raise SettingsError(
            f"{place}: quotas.token_life_ms",
            f"use at most half of quotas.window_ms * quotas.overage_ratio = {spread_ms / 2:.0f}",
        )
    if cfg.control.election_timeout_ms < 3 * cfg.control.heartbeat_ms:
        raise SettingsError(
            f"{place}: control.election_timeout_ms", "use at least 3 * control.heartbeat_ms"
        )


def load_settings(path: str) -> Settings:
    """Return the validated settings of a YAML file; raises SettingsError."""
    return parse_settings(read_text(path), path)


def check_regular(path: str) -> None:
    """Raise SettingsError if a path names no regular file, whose writer a read could wait for."""
    try:
        mode = os.stat(path).st_mode
    except OSError as exc:
        raise SettingsError(path, f"cannot be read: {exc.strerror}") from None
    if not stat.S_ISREG(mode):
        raise SettingsError(path, "is not a regular file and is read only at the start")


def read_text(path: str, max_bytes: int = MAX_SETTINGS_BYTES) -> str:
    """Return the text of a file; raises SettingsError, also if it is over `max_bytes`."""
    try:
        return _read_bytes(path, max_bytes).decode("utf-8")
    except UnicodeDecodeError as exc:
        raise SettingsError(path, f"is not UTF-8 at byte {exc.start}") from None


def _read_bytes(path: str, max_bytes: int) -> bytes:
    # The size of a device or a pipe is not known before it is read.
    try:
        with Path(path).open("rb") as file:
            data = file.read(max_bytes + 1)
    except OSError as exc:
        raise SettingsError(path, f"cannot be read: {exc.strerror}") from None
    if len(data) > max_bytes:
        raise SettingsError(path, f"is over {max_bytes} bytes")
    return data


def load_secret(path: str) -> bytes:
    """Return the secret from a file that only its owner can read; raises SettingsError."""
    try:
        mode = os.stat(path).st_mode
    except OSError as exc:
        raise SettingsError(path, f"cannot be read: {exc.strerror}") from None
    data = _read_bytes(path, MAX_SETTINGS_BYTES).strip()
    if stat.S_IMODE(mode) & 0o077:
        raise SettingsError(path, f"mode {stat.S_IMODE(mode):04o} is too open; use chmod 600")
    if not MIN_SECRET_BYTES <= len(data) <= MAX_SECRET_BYTES:
        raise SettingsError(path, f"use {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} bytes")
    return data


def replace(cfg: Settings, **sections: Any) -> Settings:
    """Return a copy of the settings with whole sections replaced."""
    return msgspec.structs.replace(cfg, **sections)
