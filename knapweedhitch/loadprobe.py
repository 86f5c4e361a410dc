"""Probe the load and warmth of the local upstream between responses.

A shared machine can be several times slower for a few hundred milliseconds, and an entry node can
avoid it only if it learns of the slowdown in time.
"""

from __future__ import annotations

import trio
from msgspec import structs

from knapweedhitch import faults, framing
from knapweedhitch.clock import MS_PER_S
from knapweedhitch.configuration import Configuration
from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import CallerGone, Refusal, UpstreamError
from knapweedhitch.exchange import CallSpec, Headers
from knapweedhitch.http1_client import ClientConnection
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.model import (
    MAX_COUNT,
    UNKNOWN_INCARNATION,
    Address,
    LoadSample,
    UpstreamRecord,
    UpstreamState,
)
from knapweedhitch.payload import NoBody
from knapweedhitch.pool import connect_tcp
from knapweedhitch.supervisor import OnFault
from knapweedhitch.upstreamload import LEAVING_VALUE, parse_load, parse_report

HTTP_OK = 200
# Maximum wait of a call for the current slowdown of its target.
REFRESH_WAIT_MS = 10.0
# A requested probe is skipped if the last load report is younger.
MIN_PROBE_AGE_MS = 10.0
# How often a node checks whether its unused upstream has come or is in use again.
IDLE_CHECK_MS = 250.0
# Probes for each call at an upstream with few calls; more would load it with health checks.
PROBES_PER_CALL = 2.0
# A health response takes less than 1 KiB. A faulty upstream may send bytes without end, and reading
# them until the timeout would load the link.
MAX_RESPONSE_BYTES = 65_536


class _ProbeResponse:
    """Receive the response to a probe."""

    def __init__(self, requested_ms: float) -> None:
        self.requested_ms = requested_ms
        self.status = 0
        self.headers: Headers = ()

    def mark_dispatched(self) -> None:
        """Do nothing; a probe runs no work."""

    async def informational(self, status: int, headers: Headers) -> None:
        """Ignore a 1xx response."""

    async def head(self, status: int, headers: Headers, load: LoadSample | None) -> None:
        """Store the status and headers."""
        self.status, self.headers = status, headers

    async def data(self, data: bytes) -> None:
        """Ignore the body."""

    async def end(self) -> None:
        """Do nothing."""


@service("loadprobe")
class LoadProbe:
    """Probe the local upstream when its last load report is too old."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.upstream
        self._names = framing.header_names(kernel.cfg.headers)
        self._conn: ClientConnection | None = None
        self._conn_record: UpstreamRecord | None = None
        self._requested = trio.Event()
        self._probed = trio.Event()

    async def start(self) -> None:
        """Start probing if the settings give an interval."""
        get = self._kernel.get
        self._announce = get("announce")
        self._admission = get("admission")
        self._config = get("config")
        self._counters = get("counters")
        self._timers = get("timers")
        if self._cfg.probe_interval_ms:
            self._config.subscribe(self._on_config)
            self._kernel.start_task(OnFault.RESTART, self._run)

    async def stop(self) -> None:
        """Do nothing; the connection ends with the process."""

    def request_probe(self) -> None:
        """Request a probe now; admission receives the result."""
        self._requested.set()

    def _on_config(self, config: Configuration) -> None:
        # It tells the path of the health check, for which the first probe may have had to wait.
        if not self._admission.has_report:
            self.request_probe()

    async def refresh(self) -> None:
        """Request a probe now and wait for it, at most REFRESH_WAIT_MS."""
        if not self._cfg.probe_interval_ms:
            return
        probed = self._probed
        self.request_probe()
        with trio.move_on_after(REFRESH_WAIT_MS / MS_PER_S):
            await probed.wait()

    async def _run(self) -> None:
        while True:
            interval_ms = self._interval_ms()
            with trio.move_on_after(interval_ms / MS_PER_S):
                await self._requested.wait()
            was_requested, self._requested = self._requested.is_set(), trio.Event()
            await self._probe_if_due(MIN_PROBE_AGE_MS if was_requested else interval_ms)
            self._probed.set()
            self._probed = trio.Event()

    def _interval_ms(self) -> float:
        """Return the time between probes, twice for each call up to the configured rate.

        A call that arrives meanwhile requests a probe itself if the load is not known.
        """
        if not self._is_in_use():
            return IDLE_CHECK_MS
        gap_ms: float = self._admission.call_gap_ms
        return max(self._cfg.probe_interval_ms, gap_ms / PROBES_PER_CALL)

    async def _probe_if_due(self, max_age_ms: float) -> None:
        """Probe a serving upstream whose last load report is at least max_age_ms old."""
        record: UpstreamRecord | None = self._announce.current
        if record is None and self._cfg.address.port and not self._announce.has_reported:
            await self._discover()
        elif record is None or record.state is not UpstreamState.SERVING:
            return
        elif not self._config.current.version:
            # The health check may have another path than the default one.
            return
        elif self._admission.load_age_ms >= max_age_ms and self._is_of_interest():
            await self._probe(record)

    def _is_of_interest(self) -> bool:
        """Return whether the upstream is in use or has yet to respond for the first time."""
        return self._is_in_use() or not self._admission.has_report

    def _is_in_use(self) -> bool:
        """Return whether the upstream had a recent call; otherwise no node needs its load."""
        idle_ms: float = self._admission.idle_ms
        return idle_ms < self._kernel.cfg.routing.interest_ms

    async def _discover(self) -> None:
        """Announce the upstream that responds at the configured address."""
        name = self._kernel.cfg.node.service
        backend = self._config.current.items.backends.get(name)
        if backend is None:
            return
        address = Address(self._cfg.address.host, self._cfg.address.port)
        connections = min(backend.max_connections, MAX_COUNT)
        candidate = UpstreamRecord(name, address, 1, connections, "", UNKNOWN_INCARNATION)
        response = await self._probe(candidate)
        if response is None:
            return
        headers = dict(response.headers)
        load = parse_load(headers.get(self._names.load, b""))
        instance_id = headers.get(self._names.instance, b"").decode("latin-1")
        if headers.get(self._names.leaving) == LEAVING_VALUE and instance_id:
            self._announce.record_departure(instance_id, UNKNOWN_INCARNATION, "probed")
        elif response.status == HTTP_OK and load is not None and load.slots and instance_id:
            record = structs.replace(candidate, slots=load.slots, instance_id=instance_id)
            self._announce.accept_probe_result(record)
            self._admission.record_probe(record, headers, response.requested_ms)

    async def _probe(self, record: UpstreamRecord) -> _ProbeResponse | None:
        """Return the response of an upstream, or None if there was none in time."""
        response = _ProbeResponse(self._timers.now_ms())
        try:
            with trio.fail_after(self._cfg.probe_timeout_ms / MS_PER_S):
                await self._exchange(record, response)
            self._pass_response(record, response)
        except (OSError, trio.TooSlowError, UpstreamError, Refusal, CallerGone) as exc:
            self._counters.add("probe_failed", type(exc).__name__)
            await self._close_connection()
            return None
        except Exception as exc:
            # No response of an upstream may stop the node, which can work without probes.
            self._counters.add("probe_failed", type(exc).__name__)
            faults.record(self._counters, "probe_fault", exc)
            await self._close_connection()
            return None
        self._counters.add("probes")
        return response

    def _pass_response(self, record: UpstreamRecord, response: _ProbeResponse) -> None:
        headers, own_id = dict(response.headers), record.instance_id
        named = headers.get(self._names.instance)
        if own_id and named is not None and named.decode("latin-1") != own_id:
            # Another upstream responds at the address, so this says nothing of the announced one.
            self._counters.add("probes_misdirected")
            return
        report = parse_report(
            response.headers, self._names, record.instance_id, response.requested_ms
        )
        self._announce.record_report(report)
        self._admission.record_probe(record, headers, response.requested_ms)

    async def _exchange(self, record: UpstreamRecord, response: _ProbeResponse) -> None:
        conn = self._conn
        if conn is None or self._conn_record != record or not conn.is_quiet():
            await self._close_connection()
            stream = await connect_tcp(record.address)
            conn = ClientConnection(stream, self._cfg, self._names)
            conn.max_response_bytes = MAX_RESPONSE_BYTES
        backend = self._config.current.items.backends.get(record.service)
        path = backend.health_path if backend is not None else "/"
        host = str(record.address).encode("ascii")
        spec = CallSpec(
            request_id="",
            service=record.service,
            instance_id=record.instance_id,
            method="GET",
            target=path.encode("ascii"),
            headers=(),
            has_body=False,
            deadline=Deadline.after_ms(self._cfg.probe_timeout_ms),
            retries_left=0,
            depth=0,
            config_version=0,
        )
        headers = ((b"host", host),)
        await conn.exchange(spec, b"", headers, NoBody(), response, lambda: None)
        self._conn, self._conn_record = (conn, record) if conn.reusable else (None, None)
        if not conn.reusable:
            await conn.close()

    async def _close_connection(self) -> None:
        conn, self._conn = self._conn, None
        if conn is not None:
            await conn.close()
