"""Translate the settings file of the platform into daemon settings."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, field, structs

from knapweedhitch import yamltext
from knapweedhitch.exceptions import SettingsError
from knapweedhitch.settings import (
    AdmissionSettings,
    CallerSettings,
    ControlMember,
    ControlSettings,
    FeedSettings,
    HeaderSettings,
    Listener,
    ListenSettings,
    LogSettings,
    MembershipSettings,
    NodeSettings,
    OperatorSettings,
    PeerSettings,
    QuotaSettings,
    RolloutSettings,
    RoutingSettings,
    SecretSettings,
    Settings,
    StopSettings,
    UpstreamSettings,
    read_text,
)
from knapweedhitch.validation import describe_problem

BOOT_VARIABLE = "KNAPWEEDHITCH_BOOT"
# Offsets of our ports in the port range that the platform assigns.
PEER_PORT_OFFSET = 0
METRICS_PORT_OFFSET = 1
# Configurations of thousands of services are patched in one request at control instances. Other
# nodes get heartbeats of some 300 bytes.
MAX_PATCH_BYTES = 16_777_216
MAX_HEARTBEAT_BYTES = 65_536
CANCEL_WAIT_MS = 120
# Contracts of which either brings customers with quotas.
QUOTA_CONTRACTS = frozenset({"quota", "tenants"})
# Part of the overage that the life of a token takes; as much is for tokens returned late, and the
# rest for requests that wait at their target.
TOKEN_LIFE_SHARE = 0.3
MIN_TOKEN_LIFE_MS = 20
MAX_TOKEN_LIFE_MS = 250
ROLLOUT_CONTRACT = "rollout"
# Part of the time to stop a bad version after which grants lapse without contact; the rest is for
# the verdict and the log.
ROLLOUT_LEASE_RATIO = 0.3

ADMISSION = AdmissionSettings(slots_share=0.84, slow_moment_ms=300)

HEADERS = HeaderSettings(
    request_id="attempt-id",
    deadline="deadline-ms",
    exchange="",
    retries="",
    depth="",
    expected_instance="expect-instance",
    caller_service="caller-service",
    not_run="not-executed",
    load="server-load",
    limit="server-limit",
    leaving="server-leaving",
    cold="cold-ms",
    instance="instance-id",
)
# The contract of deployments whose configuration may list customers, and the headers for them.
CUSTOMERS_CONTRACT = "tenants"
CREDENTIAL_HEADER = "credential"
CUSTOMER_HEADER = "tenant-id"


class Listen(msgspec.Struct, frozen=True):
    """Describe the listener addresses of a role, each as host:port."""

    outbound: str | None = None
    ready: str | None = None
    control: str | None = None


class Tolerance(msgspec.Struct, frozen=True):
    """Describe how many control instances may fail at the same time."""

    machines: Annotated[int, Meta(ge=0, le=4)]


class Bounds(msgspec.Struct, frozen=True):
    """Describe the time limits of the deployment."""

    grace_s: Annotated[float, Meta(gt=0)] = field(name="graceS")
    # Arrivals of a service beyond the first of each request, as a ratio of its requests plus a
    # constant for each window, over all nodes.
    retry_ratio: Annotated[float, Meta(ge=0, le=1)] = field(name="retryBudgetRatio", default=0.1)
    retry_slack: Annotated[float, Meta(ge=0)] = field(name="retryBudgetSlack", default=0.0)
    retry_window_s: Annotated[float, Meta(gt=0)] = field(name="budgetWindowS", default=10.0)
    # A new machine counts as lost for this long after its start.
    catch_up_s: Annotated[float, Meta(gt=0)] = field(name="catchUpS", default=4.0)
    # Requests of a customer in any window, beyond rate and burst, over all nodes.
    quota_window_s: Annotated[float, Meta(gt=0)] = field(name="quotaWindowS", default=5.0)
    quota_overage: Annotated[float, Meta(ge=0)] = field(name="quotaOverage", default=0.1)
    quota_slack: Annotated[float, Meta(ge=0)] = field(name="quotaSlack", default=20.0)
    # Calls that a bad version may get during its roll-out, as a share of all and a constant.
    exposure_share: Annotated[float, Meta(gt=0, le=1)] = field(name="exposureShare", default=0.1)
    exposure_slack: Annotated[float, Meta(ge=0)] = field(name="exposureSlack", default=0.0)
    # After its 50th bad answer, a bad version may get calls for this long.
    rollback_s: Annotated[float, Meta(gt=0)] = field(name="rollbackS", default=5.0)


class Limits(msgspec.Struct, frozen=True):
    """Describe the limits of the process."""

    max_fds: Annotated[int, Meta(ge=256)] = field(name="maxFds")


class Boot(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the relevant part of the platform's settings file."""

    node: str
    ip: str
    zone: str
    region: str
    listen: Listen
    port_range: tuple[int, int] = field(name="portRange")
    # Control addresses of three control instances that ran when the file was written.
    seeds: tuple[str, ...]
    # True only on the first start of the whole system.
    bootstrap: bool
    limits: Limits
    data_dir: str | None = field(name="dataDir", default=None)
    fault_tolerance: Tolerance = field(name="faultTolerance")
    bounds: Bounds
    # Names of the groups of rules that hold in the deployment.
    contracts: tuple[str, ...] = ()
    # Service of the local target; None on control instances.
    service: str | None = None
    app_address: str | None = field(name="appAddr", default=None)

    @property
    def has_rollouts(self) -> bool:
        """Return whether operators of the deployment may roll out versions."""
        return ROLLOUT_CONTRACT in self.contracts


def parse_boot(text: str, place: str) -> Boot:
    """Return the validated settings file; raises SettingsError with the field."""
    try:
        fields = yamltext.load(text)
    except ValueError as exc:
        raise SettingsError(place, f"not valid YAML: {exc}") from None
    try:
        return msgspec.convert(fields, Boot)
    except msgspec.ValidationError as exc:
        problem = describe_problem(exc, fields)
        raise SettingsError(f"{place}: {problem.path or 'top level'}", problem.message) from None


def read_boot(path: str) -> Boot:
    """Return the validated settings file at a path; raises SettingsError."""
    return parse_boot(read_text(path), path)


def parse_settings(text: str, place: str) -> Settings:
    """Return the daemon settings in the text of the platform's file; raises SettingsError."""
    try:
        return translate(parse_boot(text, place), place)
    except (ValueError, OverflowError) as exc:
        raise SettingsError(place, str(exc)) from None


def parse_listener(text: str | None, place: str) -> Listener:
    """Return the listener for an address, disabled if there is none; raises SettingsError."""
    if text is None:
        return Listener(enabled=False)
    host, _, port = text.rpartition(":")
    try:
        return msgspec.convert({"host": host, "port": int(port)}, Listener)
    except (ValueError, msgspec.ValidationError):
        raise SettingsError(place, f"use host:port, got {text!r}") from None


def _translate_quotas(boot: Boot) -> QuotaSettings:
    """Return the settings of quotas, the defaults if the deployment has no quotas."""
    if not QUOTA_CONTRACTS.intersection(boot.contracts):
        return QuotaSettings()
    bounds = boot.bounds
    window_ms = bounds.quota_window_s * 1_000
    overage_ratio = min(1.0, bounds.quota_overage)
    life_ms = TOKEN_LIFE_SHARE * overage_ratio * window_ms
    return QuotaSettings(
        window_ms=int(window_ms),
        overage_ratio=overage_ratio,
        slack=bounds.quota_slack,
        token_life_ms=int(min(max(life_ms, MIN_TOKEN_LIFE_MS), MAX_TOKEN_LIFE_MS)),
    )


def _translate_admission(boot: Boot) -> AdmissionSettings:
    """Return the settings of admission; customers compete for the room of their upstreams."""
    if CUSTOMERS_CONTRACT not in boot.contracts:
        return ADMISSION
    return structs.replace(ADMISSION, shortage_window_ms=2_000, break_hold_ms=250)


def _translate_headers(boot: Boot) -> HeaderSettings:
    if CUSTOMERS_CONTRACT not in boot.contracts:
        return HEADERS
    return structs.replace(HEADERS, credential=CREDENTIAL_HEADER, customer=CUSTOMER_HEADER)


def _translate_rollouts(boot: Boot) -> RolloutSettings:
    return RolloutSettings(
        enabled=boot.has_rollouts,
        exposure_share=boot.bounds.exposure_share,
        exposure_slack=boot.bounds.exposure_slack,
        lease_ms=max(1, int(ROLLOUT_LEASE_RATIO * boot.bounds.rollback_s * 1_000)),
    )


def translate(boot: Boot, place: str) -> Settings:
    """Return the daemon settings; raises SettingsError."""
    peer_port = boot.port_range[0] + PEER_PORT_OFFSET
    seeds = [parse_listener(seed, f"{place}: seeds").host for seed in boot.seeds]
    # The grace period ends with SIGKILL; reserve 500 ms to close connections and files, once the
    # cancels at the end of the stop are confirmed.
    drain_ms = max(0, int(boot.bounds.grace_s * 1_000) - CANCEL_WAIT_MS - 500)
    announce_ms = min(3_000, drain_ms // 2)
    return Settings(
        node=NodeSettings(
            id=boot.ip,
            domain=boot.zone,
            region=boot.region,
            id_is_address=True,
            service=boot.service or "",
        ),
        secrets=SecretSettings("", ""),
        control=ControlSettings(
            members=tuple(ControlMember(ip, ip, peer_port) for ip in sorted(seeds)),
            data_dir=boot.data_dir,
            heartbeat_ms=200,
            election_timeout_ms=700,
            first_election_timeout_ms=150,
            max_voters=2 * boot.fault_tolerance.machines + 1,
            # A lost voter must be replaced before its successor has had its time, also if it was
            # the leader and another one is elected first.
            replace_silent_ms=int(boot.bounds.catch_up_s * 1_000 / 2),
            full_group_wait_ms=int(boot.bounds.catch_up_s * 1_000),
            may_form_group=boot.bootstrap,
            # A seed that is lost before the group is formed is missed like a lost voter.
            form_without_ms=int(boot.bounds.catch_up_s * 1_000 / 2),
            confirm_restarts=False,
            reopen_ms=500,
            max_sync_ms=400,
            max_change_bytes=16_777_216,
            submit_timeout_ms=900,
        ),
        listen=ListenSettings(
            callers=parse_listener(boot.listen.outbound, f"{place}: listen.outbound"),
            peers=Listener(boot.ip, peer_port),
            announce=Listener(enabled=False),
            operator=Listener(enabled=False),
            metrics=Listener(boot.ip, boot.port_range[0] + METRICS_PORT_OFFSET),
        ),
        headers=_translate_headers(boot),
        feed=FeedSettings(serve_stale=True),
        membership=MembershipSettings(
            seeds=tuple(Listener(ip, peer_port) for ip in seeds),
            probe_interval_ms=500,
            suspicion_timeout_ms=1_500,
            sync_interval_ms=3_000,
        ),
        peers=PeerSettings(
            authenticate=False,
            heartbeat_interval_ms=250,
            rest_after_ms=500,
            rest_heartbeat_ms=250,
            max_rest_heartbeat_ms=2_000,
            max_rest_heartbeats_per_s=12,
            cancel_wait_ms=CANCEL_WAIT_MS,
            max_message_bytes=16_777_216,
        ),
        callers=CallerSettings(max_connections=(boot.limits.max_fds - 400) // 2),
        upstream=UpstreamSettings(
            announcement_ttl_ms=6_000,
            accept_unframed=True,
            idle_timeout_ms=5_000,
            silent_ratio=1.0,
            probe_interval_ms=80,
            address=parse_listener(boot.app_address, f"{place}: appAddr"),
        ),
        admission=_translate_admission(boot),
        routing=RoutingSettings(
            retry_ratio=boot.bounds.retry_ratio,
            retry_floor_per_s=0.0,
            retry_burst=3,
            retry_slack=boot.bounds.retry_slack,
            retry_window_ms=int(boot.bounds.retry_window_s * 1_000),
            retry_budget_share=0.9,
            call_id_separator=".",
            report_interval_ms=50,
            measure_budget_bytes_per_s=8_000,
            max_candidates=16,
        ),
        quotas=_translate_quotas(boot),
        rollouts=_translate_rollouts(boot),
        operator=OperatorSettings(
            max_body_bytes=MAX_PATCH_BYTES if boot.service is None else MAX_HEARTBEAT_BYTES
        ),
        stop=StopSettings(announce_ms=announce_ms, drain_timeout_ms=drain_ms - announce_ms),
        log=LogSettings(max_lines_per_s=200),
    )
