"""Connections to upstreams, which are reused while they are known to be healthy."""

from __future__ import annotations

import itertools
import os
import socket
from collections.abc import Awaitable, Callable

import trio

from knapweedhitch import framing
from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import (
    DeadlineExceeded,
    Outcome,
    Refusal,
    UnprovenRefusal,
    UpstreamConnectFailed,
    UpstreamError,
    UpstreamFailed,
    UpstreamNotRun,
    UpstreamShed,
    UpstreamTimedOut,
    UpstreamUnproven,
    UpstreamUnreachable,
)
from knapweedhitch.exchange import BodySource, CallSpec, Headers, ResponseSink
from knapweedhitch.http1_client import UNACKNOWLEDGED_MS, ClientConnection, ExchangeTimes, Silence
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.model import SAFE_METHODS, Address, CallResult, LoadSample
from knapweedhitch.supervisor import OnFault
from knapweedhitch.transfer import TransferSink
from knapweedhitch.upstreamload import UpstreamReport

SWEEP_INTERVAL_MS = 1_000
# An established connection can go silent without being closed. With these options a request that
# is not acknowledged, or a connection that does not answer keepalive probes during an exchange,
# fails within about two seconds.
DEAD_CONNECTION_OPTIONS = (
    (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 1),
)
SHED_STATUS = 503
# A request must arrive before the upstream closes the idle connection, so only a part of the stated
# timeout is used.
IDLE_TIMEOUT_SHARE = 0.8

Connect = Callable[[Address], Awaitable[trio.abc.Stream]]


async def connect_tcp(address: Address) -> trio.abc.Stream:
    """Open a TCP connection without Nagle's algorithm; raises OSError."""
    sock = trio.socket.socket(
        trio.socket.AF_INET6 if ":" in address.host else trio.socket.AF_INET,
        trio.socket.SOCK_STREAM,
    )
    try:
        for option, value in DEAD_CONNECTION_OPTIONS:
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        await sock.connect((address.host, address.port))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


def no_load() -> LoadSample | None:
    """Return no load sample."""
    return None


def refused_result(refusal: Refusal, service_ms: float) -> CallResult:
    """Return the result of a call that was refused after `service_ms`."""
    return CallResult(
        ok=False,
        service_ms=service_ms,
        status=0,
        connect_failed=isinstance(refusal, UpstreamUnreachable),
        timed_out=isinstance(refusal, (UpstreamTimedOut, DeadlineExceeded)),
        shed=refusal.outcome is Outcome.NOT_RUN and refusal.status == SHED_STATUS,
        broken=_is_broken(refusal),
        was_reused=isinstance(refusal, UpstreamFailed) and refusal.was_reused,
    )


def _is_broken(refusal: Refusal) -> bool:
    is_other = isinstance(refusal, (UpstreamShed, UpstreamTimedOut, UpstreamUnreachable))
    is_failure = isinstance(refusal, UpstreamFailed) and not is_other
    return is_failure and refusal.outcome is Outcome.UNKNOWN


def cancelled_result(deadline: Deadline, service_ms: float) -> CallResult:
    """Return the result of a cancelled call, which timed out if its deadline has passed."""
    timed_out = deadline.expired()
    return CallResult(ok=not timed_out, service_ms=service_ms, timed_out=timed_out, cancelled=True)


@service("pool")
class Pool:
    """Run exchanges with any upstream address over idle or new connections."""

    def __init__(self, kernel: Kernel, connect: Connect = connect_tcp) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.upstream
        self._names = framing.header_names(kernel.cfg.headers)
        self._connect = connect
        self._report_subscribers: list[Callable[[UpstreamReport], None]] = []
        self._idle: dict[Address, list[ClientConnection]] = {}
        self._idle_count = 0
        self._exchange_ids = itertools.count()
        self._exchange_prefix = os.urandom(6).hex()
        self._routing = kernel.cfg.routing

    async def start(self) -> None:
        """Start the task that closes connections after the idle timeout."""
        self._counters = self._kernel.get("counters")
        self._kernel.start_task(OnFault.RESTART, self._sweep)

    async def stop(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            await self._close_idle(address)

    async def exchange(
        self,
        address: Address,
        spec: CallSpec,
        body: BodySource,
        sink: ResponseSink,
        load: Callable[[], LoadSample | None] = no_load,
    ) -> CallResult:
        """Run one exchange; raises CallerGone, and Refusal, NOT_RUN only if no byte was sent."""
        if spec.deadline.expired():
            raise DeadlineExceeded(Outcome.NOT_RUN)
        opened: list[ClientConnection] = []
        with trio.CancelScope(deadline=spec.deadline.at_s) as scope:
            sink = TransferSink(sink, scope, spec.deadline, self._routing)
            return await self._exchange(address, spec, body, sink, load, opened)
        assert scope.cancelled_caught
        has_sent = any(conn.has_sent for conn in opened)
        raise DeadlineExceeded(Outcome.UNKNOWN if has_sent else Outcome.NOT_RUN)

    async def _exchange(
        self,
        address: Address,
        spec: CallSpec,
        body: BodySource,
        sink: ResponseSink,
        load: Callable[[], LoadSample | None],
        opened: list[ClientConnection],
    ) -> CallResult:
        conn = await self._acquire_idle(address, spec) or await self._open(address)
        opened.append(conn)
        exchange_id = f"{self._exchange_prefix}-{next(self._exchange_ids)}".encode("ascii")
        headers = self._build_headers(spec, exchange_id)
        silence = Silence(
            self._silent_after_ms(conn, spec), lambda: self._on_silence(address, conn, spec)
        )
        try:
            times = await conn.exchange(spec, exchange_id, headers, body, sink, load, silence)
        except UpstreamError as exc:
            raise self._to_refusal(exc, conn) from None
        except Refusal as exc:
            # The body could not be read; the upstream may have acted on the part that was sent.
            if conn.has_sent:
                exc.outcome = Outcome.UNKNOWN
            raise
        finally:
            await self._release(address, conn)
        return self._to_result(times)

    def _to_result(self, times: ExchangeTimes) -> CallResult:
        self._counters.record("first_byte", times.first_byte_ms)
        return CallResult(
            ok=times.status < 500,
            service_ms=times.total_ms,
            status=times.status,
            shed=times.status == SHED_STATUS,
        )

    def _to_refusal(self, exc: UpstreamError, conn: ClientConnection) -> Refusal:
        self._counters.add("upstream_errors", type(exc).__name__)
        if isinstance(exc, UpstreamNotRun):
            return UpstreamShed(Outcome.NOT_RUN, str(exc))
        if isinstance(exc, UpstreamUnproven):
            self._counters.add("responses_replaced", str(exc))
            return UnprovenRefusal(Outcome.UNKNOWN, str(exc))
        outcome = Outcome.UNKNOWN if conn.has_sent else Outcome.NOT_RUN
        failed = UpstreamFailed(outcome, str(exc))
        failed.was_reused = conn.used
        return failed

    def _build_headers(self, spec: CallSpec, exchange_id: bytes) -> Headers:
        remaining_ms = max(1, int(spec.deadline.remaining_ms()) - self._routing.attempt_margin_ms)
        names = self._names
        fields = (
            (names.request_id, spec.request_id.encode("ascii")),
            (names.exchange, exchange_id),
            (names.deadline, b"%d" % remaining_ms),
            (names.retries, b"%d" % spec.retries_left),
            (names.depth, b"%d" % spec.depth),
            (names.expected_instance, spec.instance_id.encode("ascii")),
            (names.caller_service, spec.caller_service.encode("ascii")),
            (names.customer, b"" if spec.is_nested else spec.customer.encode("ascii")),
        )
        added = [(name, value) for name, value in fields if name and value]
        if spec.has_body and framing.content_length(spec.headers) is None:
            added.append((b"transfer-encoding", b"chunked"))
        return (*spec.headers, *added)

    def _silent_after_ms(self, conn: ClientConnection, spec: CallSpec) -> float:
        limit_ms = float(self._cfg.first_byte_timeout_ms)
        if conn.used and spec.retries_left and framing.may_repeat(spec):
            # An idle connection may be dead; leave time for another attempt on a new one.
            return min(limit_ms, spec.deadline.remaining_ms() * self._cfg.silent_ratio)
        return limit_ms

    def _on_silence(self, address: Address, conn: ClientConnection, spec: CallSpec) -> None:
        """Let another attempt start beside a silent one, whose upstream may be at work on it."""
        self._counters.add("silent_exchanges")
        if conn.used:
            # The other connections to the same address may be dead as well.
            self._counters.add("silent_connections")
            self._kernel.start_task(OnFault.END, self._close_all, self._take_idle(address))
        if spec.on_silence is not None:
            spec.on_silence()

    async def _open(self, address: Address) -> ClientConnection:
        started_s = trio.current_time()
        try:
            with trio.fail_after(self._cfg.connect_timeout_ms / 1_000):
                stream = await self._connect(address)
        except (OSError, trio.TooSlowError) as exc:
            self._counters.add("upstream_errors", UpstreamConnectFailed.__name__)
            raise UpstreamUnreachable(Outcome.NOT_RUN, f"{address} {exc}".rstrip()) from None
        self._counters.record("connect", (trio.current_time() - started_s) * 1_000)
        conn = ClientConnection(stream, self._cfg, self._names)
        conn.on_report = self._pass_report
        return conn

    async def refuses_connections(self, address: Address) -> bool:
        """Return whether nothing accepts connections at the address of an upstream."""
        with trio.move_on_after(self._cfg.connect_timeout_ms / 1_000):
            try:
                stream = await self._connect(address)
            except OSError:
                return True
            await trio.aclose_forcefully(stream)
        # Without an answer in time the address may only be slow.
        return False

    def subscribe_reports(self, fn: Callable[[UpstreamReport], None]) -> None:
        """Register the callback that receives what an upstream reports in each response."""
        self._report_subscribers.append(fn)

    def _pass_report(self, report: UpstreamReport) -> None:
        for fn in self._report_subscribers:
            fn(report)

    # Idle connections

    async def _acquire_idle(self, address: Address, spec: CallSpec) -> ClientConnection | None:
        """Return the last used healthy connection; an unsafe request gets only a recent one."""
        idle = self._idle.get(address)
        unsafe = spec.method not in SAFE_METHODS
        max_idle_ms = self._cfg.unsafe_reuse_ms if unsafe else self._cfg.idle_timeout_ms
        while idle:
            conn = idle[-1]
            idle_ms = (trio.current_time() - conn.idle_since_s) * 1_000
            if unsafe and idle_ms > max_idle_ms:
                return None
            idle.pop()
            self._idle_count -= 1
            may_be_open = idle_ms <= min(max_idle_ms, conn.idle_timeout_ms * IDLE_TIMEOUT_SHARE)
            if may_be_open and conn.is_quiet():
                return conn
            self._counters.add("idle_connections_dropped", "aged" if conn.is_quiet() else "bytes")
            await conn.close()
        return None

    async def _release(self, address: Address, conn: ClientConnection) -> None:
        if conn.not_reusable_cause:
            self._counters.add("connections_not_kept", conn.not_reusable_cause)
        if not conn.reusable or self._idle_count >= self._cfg.max_idle_connections:
            await conn.close()
            return
        self._idle.setdefault(address, []).append(conn)
        self._idle_count += 1

    def _take_idle(self, address: Address) -> list[ClientConnection]:
        """Remove the idle connections to an address and return them."""
        idle = self._idle.pop(address, [])
        taken = idle[:]
        idle.clear()  # A task that waits in `_acquire_idle` holds this list.
        self._idle_count -= len(taken)
        return taken

    async def _close_idle(self, address: Address) -> None:
        await self._close_all(self._take_idle(address))

    @staticmethod
    async def _close_all(conns: list[ClientConnection]) -> None:
        for conn in conns:
            await conn.close()

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(SWEEP_INTERVAL_MS / 1_000)
            for address in list(self._idle):
                await self._sweep_address(address)

    async def _sweep_address(self, address: Address) -> None:
        oldest_s = trio.current_time() - self._cfg.idle_timeout_ms / 1_000
        # Another task may have dropped the connections while the sweep closed some of others.
        idle = self._idle.get(address)
        if idle is None:
            return
        stale = [c for c in idle if c.idle_since_s < oldest_s or not c.is_quiet()]
        idle[:] = [c for c in idle if c not in stale]
        if not idle:
            del self._idle[address]
        self._idle_count -= len(stale)
        for conn in stale:
            await conn.close()
