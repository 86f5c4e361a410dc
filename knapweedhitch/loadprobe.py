"""Probes of the own upstream: its load and warmth while no answer tells them.

Answers the pattern of a shared machine on which work takes several times as long for a few hundred
milliseconds: an entry node can avoid it only while it knows of it.
"""

from __future__ import annotations

import dataclasses

import trio

from knapweedhitch import framing, logs
from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import CallerGone, Refusal, UpstreamError
from knapweedhitch.exchange import CallSpec, Headers
from knapweedhitch.http1_client import ClientConnection
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.model import Address, LoadSample, UpstreamRecord, UpstreamState
from knapweedhitch.payload import NoBody
from knapweedhitch.pool import connect_tcp
from knapweedhitch.upstreamload import parse_load

MS_PER_S = 1_000.0
FOUND = 200
# A call waits no longer than this to learn whether its target is slow at the moment.
REFRESH_WAIT_MS = 10.0
# A younger load is not asked for again.
FRESH_MS = 10.0


class _ProbeAnswer:
    """Take the answer of a probe."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: Headers = ()

    def mark_dispatched(self) -> None:
        """Do nothing; a probe runs no work."""

    async def informational(self, status: int, headers: Headers) -> None:
        """Ignore a 1xx answer."""

    async def head(self, status: int, headers: Headers, load: LoadSample | None) -> None:
        """Take status and headers."""
        self.status, self.headers = status, headers

    async def data(self, data: bytes) -> None:
        """Ignore the body."""

    async def end(self) -> None:
        """Do nothing."""


@service("loadprobe")
class LoadProbe:
    """Ask the own upstream for its load when no answer has told it for a while."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.upstream
        self._names = framing.header_names(kernel.cfg.headers)
        self._conn: ClientConnection | None = None
        self._conn_of: UpstreamRecord | None = None
        self._wanted = trio.Event()
        self._answered = trio.Event()

    async def start(self) -> None:
        """Start probing if the settings name an interval."""
        get = self._kernel.get
        self._announce = get("announce")
        self._admission = get("admission")
        self._config = get("config")
        self._counters = get("counters")
        self._timers = get("timers")
        if self._cfg.probe_interval_ms:
            self._kernel.nursery.start_soon(self._run)

    async def stop(self) -> None:
        """Do nothing; the connection ends with the process."""

    def request_probe(self) -> None:
        """Ask for the load now; the answer goes to the admission."""
        self._wanted.set()

    async def refresh(self) -> None:
        """Ask for the load now; return with the answer, or without it after a short wait."""
        if not self._cfg.probe_interval_ms:
            return
        answered = self._answered
        self.request_probe()
        with trio.move_on_after(REFRESH_WAIT_MS / MS_PER_S):
            await answered.wait()

    async def _run(self) -> None:
        interval_ms = self._cfg.probe_interval_ms
        while True:
            with trio.move_on_after(interval_ms / MS_PER_S):
                await self._wanted.wait()
            wanted, self._wanted = self._wanted.is_set(), trio.Event()
            await self._probe_if_due(FRESH_MS if wanted else interval_ms)
            self._answered.set()
            self._answered = trio.Event()

    async def _probe_if_due(self, max_age_ms: float) -> None:
        """Probe an upstream that serves and whose load is older than the age."""
        record: UpstreamRecord | None = self._announce.current
        if record is None and self._cfg.address.port and not self._announce.has_reported:
            await self._find()
        elif record is None or record.state is not UpstreamState.SERVING:
            return
        elif self._admission.load_age_ms >= max_age_ms and self._is_in_use():
            await self._probe(record)

    def _is_in_use(self) -> bool:
        """Tell whether any node has called the upstream lately; others learn nothing from it."""
        idle_ms: float = self._admission.idle_ms
        return idle_ms < self._kernel.cfg.routing.interest_ms

    async def _find(self) -> None:
        """Announce the upstream that answers at its configured address."""
        name = self._kernel.cfg.node.service
        backend = self._config.current.items.backends.get(name)
        if backend is None:
            return
        address = Address(self._cfg.address.host, self._cfg.address.port)
        unknown = UpstreamRecord(name, address, 1, backend.max_connections, "", 0)
        answer = await self._probe(unknown)
        if answer is None or answer.status != FOUND:
            return
        headers = dict(answer.headers)
        load = parse_load(headers.get(self._names.load, b""))
        instance_id = headers.get(self._names.instance, b"").decode("latin-1")
        if load is not None and load.slots and instance_id:
            found = dataclasses.replace(unknown, slots=load.slots, instance_id=instance_id)
            self._announce.accept_probe_result(found)
            self._admission.record_probe(found, headers)

    async def _probe(self, record: UpstreamRecord) -> _ProbeAnswer | None:
        """Return the answer of an upstream, None if there was none in time."""
        answer = _ProbeAnswer()
        try:
            with trio.fail_after(self._cfg.probe_timeout_ms / MS_PER_S):
                await self._ask(record, answer)
        except (OSError, trio.TooSlowError, UpstreamError, Refusal, CallerGone) as exc:
            self._counters.add("probe_failed", type(exc).__name__)
            await self._drop()
            return None
        except Exception as exc:
            # Whatever an upstream sends, the node goes on without the probe.
            self._counters.add("probe_failed", type(exc).__name__)
            logs.warning("probe_fault", error=type(exc).__name__, detail=exc)
            await self._drop()
            return None
        self._counters.add("probes")
        self._admission.record_probe(record, dict(answer.headers))
        return answer

    async def _ask(self, record: UpstreamRecord, answer: _ProbeAnswer) -> None:
        conn = self._conn
        if conn is None or self._conn_of != record or not conn.is_quiet():
            await self._drop()
            stream = await connect_tcp(record.address)
            conn = ClientConnection(stream, self._cfg, self._names)
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
        limit_ms = float(self._cfg.probe_timeout_ms)
        await conn.exchange(spec, b"", headers, NoBody(), answer, lambda: None, limit_ms)
        self._conn, self._conn_of = (conn, record) if conn.reusable else (None, None)
        if not conn.reusable:
            await conn.close()

    async def _drop(self) -> None:
        conn, self._conn = self._conn, None
        if conn is not None:
            await conn.close()
