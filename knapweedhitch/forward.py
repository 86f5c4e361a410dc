"""Calls that pass through the node of their target: the entry side and the target side."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import math
from collections.abc import Iterator

import trio

from knapweedhitch import codec, framing, logs
from knapweedhitch.boundedlog import BoundedLog
from knapweedhitch.clock import MS_PER_S
from knapweedhitch.counters import Counters
from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import (
    CallerGone,
    DeadlineExceeded,
    InternalError,
    Outcome,
    PeerDisconnected,
    PeerFailed,
    PeerProtocolError,
    PeerQueueFull,
    PeerUnreachable,
    Refusal,
    UnprovenRefusal,
)
from knapweedhitch.exchange import BodySource, CallSpec, ResponseSink
from knapweedhitch.handlers import fail_frame
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.messages import (
    Message,
    OpenStream,
    StreamCancelled,
    StreamData,
    StreamFail,
    StreamHead,
    StreamInformational,
    StreamResult,
    StreamSilent,
)
from knapweedhitch.model import CallResult, LoadSample
from knapweedhitch.peers import Peers
from knapweedhitch.remotecall import RemoteBody, RemoteSink
from knapweedhitch.responsetable import Meaning, meaning_of
from knapweedhitch.streams import PeerStream
from knapweedhitch.timers import Timers
from knapweedhitch.transfer import TransferSink

# A live node answers a ping within one heartbeat interval without traffic. The link closes only
# after three intervals, which is longer than the deadline of many lookups.
SILENT_AFTER_HEARTBEATS = 1.5
# Silence has to be seen twice, this far apart: when this process has got no processor time for a
# while, what the node sent meanwhile is still unread.
SECOND_LOOK_HEARTBEATS = 0.125


def _iter_subclasses(cls: type[Refusal]) -> Iterator[type[Refusal]]:
    for sub in cls.__subclasses__():
        yield sub
        yield from _iter_subclasses(sub)


def refusal_of(msg: StreamFail, outcome: Outcome) -> Refusal:
    """Return the refusal described by a StreamFail frame, PeerFailed for an unknown reason."""
    for cls in _iter_subclasses(Refusal):
        if cls.reason == msg.reason:
            return cls(outcome, msg.detail)
    return PeerFailed(outcome, f"reason={msg.reason[:64]} {msg.detail}")


@service("forward")
class Forward:
    """Send calls to the node of their target; run calls of other nodes on the local upstream."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._peers: Peers = kernel.get("peers")
        self._counters: Counters = kernel.get("counters")
        self._routing = kernel.cfg.routing
        self._names = framing.header_names(kernel.cfg.headers)
        self._log = BoundedLog(kernel.cfg.log, self._counters, Timers.now_ms)

    async def start(self) -> None:
        """Register the handler for streams from other nodes."""
        self._peers.handle_streams(self._serve)

    async def stop(self) -> None:
        """Do nothing; the streams end with their links."""

    # Entry side

    async def execute(
        self, node_id: str, spec: CallSpec, body: BodySource, sink: ResponseSink
    ) -> CallResult:
        """Run the call on the node; raises Refusal with the outcome confirmed by the node."""
        stream: PeerStream | None = None
        received = _Received(sink)
        try:
            with trio.move_on_at(spec.deadline.at_s) as scope:
                stream = await self._open_stream(node_id, spec)
                received.sink = TransferSink(sink, scope, spec.deadline, self._routing)
                return await self._exchange(stream, spec, body, received)
            if stream is None:
                raise DeadlineExceeded(Outcome.NOT_RUN, f"no link to node={node_id} in time")
            outcome = await stream.cancel()
            self._counters.add("forward_deadlines", outcome.value)
            raise DeadlineExceeded(outcome, f"at node={node_id}")
        except (PeerDisconnected, PeerProtocolError) as exc:
            failure = PeerFailed(Outcome.UNKNOWN, str(exc))
            self._log_failure(node_id, spec, failure, received)
            raise failure from None
        except PeerFailed as exc:
            self._log_failure(node_id, spec, exc, received)
            raise
        finally:
            # A cancelled call, a sink failure or an invalid response leaves the stream open.
            if stream is not None and not stream.finished:
                self._counters.add("forward_cancels", (await stream.cancel()).value)

    def _log_failure(
        self, node_id: str, spec: CallSpec, failure: PeerFailed, received: _Received
    ) -> None:
        self._log.event(
            "forward_failed",
            id=spec.request_id,
            peer=node_id,
            outcome=failure.outcome.value,
            head=int(received.has_head),
            bytes=received.body_bytes,
            detail=failure.detail,
        )

    async def _open_stream(self, node_id: str, spec: CallSpec) -> PeerStream:
        opening = OpenStream(
            0,
            spec.request_id,
            spec.service,
            spec.instance_id,
            spec.method,
            spec.target,
            spec.headers,
            spec.has_body,
            _whole_ms(spec.deadline.remaining_ms()),
            spec.retries_left,
            spec.depth,
            spec.config_version,
            spec.idempotent,
            spec.caller_service,
            spec.priority,
            _whole_ms(spec.target_latency_ms),
            spec.route,
            codec.round_to_half(spec.decline_above),
            spec.is_repeat,
            spec.customer,
            spec.is_nested,
        )
        try:
            return await self._peers.open_stream(node_id, opening)
        except (PeerUnreachable, PeerQueueFull) as exc:
            raise PeerFailed(Outcome.NOT_RUN, str(exc)) from None

    async def _exchange(
        self, stream: PeerStream, spec: CallSpec, body: BodySource, received: _Received
    ) -> CallResult:
        if not spec.has_body:
            return await self._receive_response(stream, spec, received)
        body_sender = _BodySender(stream, body)
        result: CallResult | None = None
        failure: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(body_sender.run, nursery.cancel_scope)
            try:
                result = await self._receive_response(stream, spec, received)
            except Exception as exc:
                # The nursery would wrap an exception in a group.
                failure = exc
            nursery.cancel_scope.cancel()
        if body_sender.failure is not None:
            raise await self._cancel_after_body_failure(stream, body_sender.failure)
        if failure is not None:
            raise failure
        assert result is not None
        return result

    async def _cancel_after_body_failure(self, stream: PeerStream, failure: Exception) -> Exception:
        outcome = await stream.cancel()
        if isinstance(failure, Refusal):
            return type(failure)(outcome, failure.detail)
        return failure

    async def _receive_response(
        self, stream: PeerStream, spec: CallSpec, received: _Received
    ) -> CallResult:
        sink = received.sink
        msg = await self._receive_first_frame(stream, spec)
        while True:
            if isinstance(msg, StreamData):
                received.body_bytes += len(msg.data)
                await sink.data(msg.data)
            elif isinstance(msg, StreamHead):
                if msg.status not in framing.FINAL_STATUSES:
                    raise PeerProtocolError(f"status {msg.status}")
                received.has_head = True
                self._record_load(spec, msg.load)
                if meaning_of(msg.status, msg.headers, self._names) is not Meaning.RESULT:
                    # The node of an earlier version has passed it on.
                    raise UnprovenRefusal(Outcome.UNKNOWN, f"status {msg.status}")
                await sink.head(msg.status, msg.headers, msg.load)
            elif isinstance(msg, StreamInformational):
                await sink.informational(msg.status, msg.headers)
            elif isinstance(msg, StreamResult):
                self._record_load(spec, msg.load)
                if not received.has_head:
                    raise PeerProtocolError("an answer without a head")
                await sink.end()
                return CallResult(msg.ok, msg.service_ms, msg.status, shed=msg.shed)
            elif isinstance(msg, StreamFail):
                self._record_load(spec, msg.load)
                raise refusal_of(msg, Outcome.UNKNOWN if received.has_head else msg.outcome)
            elif isinstance(msg, StreamCancelled):
                raise PeerFailed(
                    Outcome.UNKNOWN if received.has_head else msg.outcome, "cancelled there"
                )
            msg = await stream.receive()

    async def _receive_first_frame(self, stream: PeerStream, spec: CallSpec) -> Message:
        """Return the first frame of the response; raises PeerFailed."""
        while isinstance(msg := await self._receive_from_live_node(stream, spec), StreamSilent):
            self._counters.add("forward_silent_upstreams")
            if spec.on_silence is not None:
                spec.on_silence()
        return msg

    async def _receive_from_live_node(self, stream: PeerStream, spec: CallSpec) -> Message:
        """Return the next frame; a silent node is reported, or given up if a retry is possible.

        Raises PeerFailed.
        """
        idempotent = framing.may_repeat(spec)
        if spec.has_body or not spec.retries_left or not idempotent:
            return await stream.receive()
        heartbeat_ms = self._kernel.cfg.peers.heartbeat_interval_ms
        limit_ms = SILENT_AFTER_HEARTBEATS * heartbeat_ms
        was_silent = False
        while not (was_silent and stream.silent_ms >= limit_ms and self._may_give_up(spec)):
            was_silent = stream.silent_ms >= limit_ms
            wait_ms = max(SECOND_LOOK_HEARTBEATS * heartbeat_ms, limit_ms - stream.silent_ms)
            with trio.move_on_after(wait_ms / MS_PER_S):
                return await stream.receive()
        self._counters.add("forward_silent")
        if spec.on_silence is not None:
            spec.on_silence()
            return await stream.receive()
        raise PeerFailed(Outcome.UNKNOWN, f"silent node={stream.peer_id}")

    def _may_give_up(self, spec: CallSpec) -> bool:
        """Return whether another attempt may replace a call at a silent node.

        Without one the call goes on, as its upstream may be at work on it.
        """
        if self._kernel.has("drain") and self._kernel.get("drain").active:
            return False
        may_retry: bool = not self._kernel.has("retry") or self._kernel.get("retry").has_budget(
            spec.service
        )
        return may_retry

    def _record_load(self, spec: CallSpec, load: LoadSample | None) -> None:
        if load is not None and self._kernel.has("picker"):
            self._kernel.get("picker").observe(spec.instance_id, load)

    # Target side

    async def _serve(self, node_id: str, opening: OpenStream, stream: PeerStream) -> None:
        spec = CallSpec(
            opening.request_id,
            opening.service,
            opening.instance_id,
            opening.method,
            opening.target,
            opening.headers,
            opening.has_body,
            Deadline.after_ms(_clamp_deadline_ms(opening.deadline_ms)),
            max(0, opening.retries_left),
            max(0, opening.depth),
            opening.config_version,
            opening.idempotent,
            opening.caller_service,
            opening.priority,
            opening.target_latency_ms,
            opening.route,
            opening.decline_above,
            opening.is_repeat,
            customer=opening.customer,
            on_silence=functools.partial(self._report_silence, stream),
            is_nested=opening.is_nested,
        )
        self._record_interest(node_id, None)
        sink = RemoteSink(stream, self._current_load)
        scope = trio.CancelScope()
        stream.on_stop(scope.cancel)
        result: CallResult | None = None
        failure: Refusal | None = None
        with scope:
            try:
                gate = self._kernel.get("gate")
                result = await gate.execute(
                    self._kernel.cfg.node.id, spec, RemoteBody(stream), sink
                )
            except Refusal as exc:
                failure = exc
            except CallerGone as exc:
                # The link was lost, so the entry node has already responded to its caller.
                self._log_end(node_id, spec, sink, str(exc))
                return
            except Exception as exc:
                logs.warning("forwarded_call_failed", error=f"{type(exc).__name__}: {exc}")
                failure = InternalError(Outcome.UNKNOWN, type(exc).__name__)
        load = self._current_load()
        if stream.end_reason:
            self._log_end(node_id, spec, sink, stream.end_reason)
        self._finish(stream, sink, result, failure, load)
        self._record_interest(node_id, load)

    @staticmethod
    def _report_silence(stream: PeerStream) -> None:
        with contextlib.suppress(PeerDisconnected):
            stream.put(StreamSilent(stream.stream_id))

    def _log_end(self, node_id: str, spec: CallSpec, sink: RemoteSink, why: str) -> None:
        """Log a forwarded call whose entry node does not wait for its result."""
        self._log.event(
            "forwarded_call_ended",
            id=spec.request_id,
            peer=node_id,
            dispatched=int(sink.was_dispatched),
            head=int(sink.has_head),
            bytes=sink.body_bytes,
            detail=why,
        )

    def _record_interest(self, node_id: str, load: LoadSample | None) -> None:
        if self._kernel.has("loadreports"):
            self._kernel.get("loadreports").record_interest(node_id, load)

    def _finish(
        self,
        stream: PeerStream,
        sink: RemoteSink,
        result: CallResult | None,
        failure: Refusal | None,
        load: LoadSample | None,
    ) -> None:
        if stream.finished:
            return
        if result is not None:
            frame = StreamResult(
                stream.stream_id,
                result.ok,
                result.status,
                result.service_ms,
                result.shed,
                load,
            )
            stream.put(frame)
        elif failure is not None:
            if sink.has_head:
                failure.outcome = Outcome.UNKNOWN
            stream.put(fail_frame(stream.stream_id, failure, load))
        else:
            # The gate has returned, so the call can no longer be dispatched.
            outcome = sink.cancel_outcome()
            self._counters.add("forward_cancelled", outcome.value)
            stream.put(StreamCancelled(stream.stream_id, outcome))

    def _current_load(self) -> LoadSample | None:
        if not self._kernel.has("admission"):
            return None
        load: LoadSample | None = self._kernel.get("admission").load()
        return load


def _whole_ms(remaining_ms: float) -> float:
    """Round down, which is short in a message and extends no deadline."""
    return math.floor(remaining_ms) if math.isfinite(remaining_ms) else remaining_ms


def _clamp_deadline_ms(deadline_ms: float) -> float:
    return min(max(0.0, deadline_ms), 86_400_000.0) if math.isfinite(deadline_ms) else 0.0


@dataclasses.dataclass(slots=True)
class _Received:
    """Track how much of a response has come from the node of its target."""

    sink: ResponseSink
    has_head: bool = False
    body_bytes: int = 0


class _BodySender:
    """Send a request body to the stream."""

    def __init__(self, stream: PeerStream, body: BodySource) -> None:
        self._stream = stream
        self._body = body
        self.failure: Exception | None = None

    async def run(self, scope: trio.CancelScope) -> None:
        """Send the whole body; a failure to read it cancels the exchange."""
        try:
            while (part := await self._body.receive()) is not None:
                await self._stream.send_data(part)
            await self._stream.end()
        except PeerDisconnected:
            # The response came before the body was read, or the link was lost; the task that
            # reads the response handles both.
            pass
        except Exception as exc:
            self.failure = exc
            scope.cancel()
