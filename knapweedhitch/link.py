"""One authenticated link: a bounded send queue, heartbeats, calls and streams."""

from __future__ import annotations

import itertools
from collections import deque
from typing import Protocol

import trio
from msgspec import structs

from knapweedhitch import codec, faults
from knapweedhitch.clock import MS_PER_S
from knapweedhitch.codec import Message
from knapweedhitch.counters import Counters
from knapweedhitch.delivery import DeliveryTracker
from knapweedhitch.exceptions import (
    CodecError,
    PeerDisconnected,
    PeerProtocolError,
    PeerQueueFull,
    UnknownMessage,
)
from knapweedhitch.heartbeat import Action, Heartbeat
from knapweedhitch.messages import (
    CallMessage,
    Clock,
    Hello,
    OpenStream,
    Ping,
    Pong,
    Proof,
    Rejected,
    ReplyMessage,
    Retire,
)
from knapweedhitch.pendingcalls import PendingCalls
from knapweedhitch.settings import PeerSettings
from knapweedhitch.streams import STREAM_FRAMES, PeerStream, StreamTable
from knapweedhitch.timers import Timers
from knapweedhitch.transit import TransitTime
from knapweedhitch.transport import Wire

HEARTBEAT_MESSAGES = (Ping, Pong)
HANDSHAKE_MESSAGES = (Hello, Proof, Rejected)
# Bodies wait while more than this is queued, so that they do not delay short messages.
CONGESTED_BYTES = 262_144
MAX_WRITE_BYTES = 262_144
REPLY_MARGIN_BYTES = 256
# A node without processor time is silent as well; the runs that its streams stand for go on.
KEEP_STREAMS_HEARTBEATS = 12.0
# How long a link that can't be written to reads what has arrived.
READ_REST_MS = 500.0


class LinkOwner(Protocol):
    """Handle the messages and streams that arrive on a link."""

    def on_message(self, link: Link, msg: Message, call_id: int) -> None:
        """Start the handler of a message; a call id of 0 means that no reply is expected."""
        ...

    def on_stream(self, link: Link, opening: OpenStream, stream: PeerStream | None) -> None:
        """Start the handler of a stream; the stream is None over the stream limit of the link."""
        ...

    def on_link_change(self, link: Link) -> None:
        """Handle a link that no longer accepts new calls and streams."""
        ...


class Link:
    """Run one link to a peer; `run` returns when the link is closed."""

    def __init__(
        self,
        wire: Wire,
        peer_id: str,
        owner: LinkOwner,
        cfg: PeerSettings,
        counters: Counters,
        *,
        dialled: bool,
    ) -> None:
        self.peer_id = peer_id
        self.cfg = cfg
        self.dialled = dialled
        self.opened_ms = self.last_used_ms = Timers.now_ms()
        self._heartbeat = Heartbeat(cfg, self.opened_ms)
        self._transit = TransitTime()
        self._delivery = DeliveryTracker()
        self.disconnect_error: PeerDisconnected | None = None
        self.retired = False
        self.has_carried_streams = False
        self._peer_retired = False
        # Set once nothing can be written any more.
        self._is_broken = False
        # Set while the peer is silent and streams wait for it.
        self._is_silent = False
        self._wire = wire
        self._owner = owner
        self._counters = counters
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._frames_queued = trio.Event()
        self._batch_written = trio.Event()
        self._sequence = itertools.count(1)
        self._calls_in_progress = 0
        self._writing = False
        self._calls = PendingCalls(peer_id, cfg, counters)
        self._streams = StreamTable(self, dialled=dialled)
        self._scope = trio.CancelScope()

    @property
    def is_usable(self) -> bool:
        """Return whether the link accepts new calls and streams."""
        is_open = self.disconnect_error is None and not self._is_broken and not self._is_silent
        return is_open and not self.retired and not self._peer_retired

    @property
    def is_congested(self) -> bool:
        """Return whether bodies must wait before queueing more data."""
        return self._queued_bytes > CONGESTED_BYTES or (
            len(self._queue) >= self.cfg.max_queued_messages
        )

    @property
    def is_idle(self) -> bool:
        """Return whether the link has no open calls or streams and nothing left to write."""
        is_busy = (
            len(self._calls)
            or self._calls_in_progress
            or len(self._streams)
            or self._queue
            or self._writing
        )
        return not is_busy

    def describe_backlog(self) -> dict[str, int]:
        """Return the open streams and calls and what waits to be written, for a log line."""
        return {
            "streams": len(self._streams),
            "calls": len(self._calls) + self._calls_in_progress,
            "queued_frames": len(self._queue),
            "queued_bytes": self._queued_bytes,
            "writing": int(self._writing),
        }

    async def wait_batch_written(self) -> None:
        """Wait until the next batch has been written or the link is closed."""
        await self._batch_written.wait()

    def mark_used(self, now: float) -> None:
        """Record a call, a stream or a message, after which the link does not rest."""
        self.last_used_ms = now
        self._heartbeat.end_rest(now)

    # Sending

    def put(self, msg: Message) -> None:
        """Queue a message; raises PeerQueueFull and PeerDisconnected."""
        if self.disconnect_error is not None:
            raise self.disconnect_error
        data = codec.encode(msg)
        if len(self._queue) >= self.cfg.max_queued_messages or (
            self._queue and self._queued_bytes + len(data) > self.cfg.max_queued_bytes
        ):
            self._counters.add("peer_queue_full")
            raise PeerQueueFull(f"peer={self.peer_id} queued={len(self._queue)}")
        if len(data) > self.cfg.max_message_bytes:
            raise PeerQueueFull(f"peer={self.peer_id} a message of {len(data)} bytes is too large")
        self._delivery.record_queued()
        self._enqueue(data, "payload" if isinstance(msg, OpenStream) else "control")

    def put_frame(self, msg: Message, kind: str = "payload") -> None:
        """Queue a frame that must not be dropped; closes the link when the queue overflows."""
        if self.disconnect_error is not None:
            return
        if len(self._queue) >= self.cfg.max_queued_messages + 4 * self.cfg.max_streams:
            self.close(f"{len(self._queue)} frames are queued")
            return
        if not isinstance(msg, HEARTBEAT_MESSAGES):
            self._delivery.record_queued()
        self._enqueue(codec.encode(msg), kind)

    def _enqueue(self, data: bytes, kind: str) -> None:
        self._counters.add("peer_bytes_out", kind, len(data) + self._wire.overhead_bytes)
        self._queue.append(data)
        self._heartbeat.queued_ms = Timers.now_ms()
        self._queued_bytes += len(data)
        self._frames_queued.set()

    async def call(self, msg: Message) -> Message:
        """Send a call and return the reply.

        Raises PeerQueueFull, PeerDisconnected, PeerBusy and PeerCallFailed.
        """
        self._calls.check_room()
        call_id = next(self._sequence)
        self.mark_used(Timers.now_ms())
        self.put(CallMessage(call_id, codec.encode(msg)))
        return await self._calls.wait_reply(call_id)

    def open_stream(self, opening: OpenStream) -> PeerStream:
        """Open a stream under a new id; raises PeerQueueFull and PeerDisconnected."""
        if len(self._streams) >= self.cfg.max_streams:
            raise PeerQueueFull(f"peer={self.peer_id} streams={len(self._streams)}")
        now = Timers.now_ms()
        self.mark_used(now)
        if self._transit.is_clock_due(now):
            self.put_frame(Clock(now))
        self.has_carried_streams = True
        stream = self._streams.open()
        try:
            self.put(structs.replace(opening, stream_id=stream.stream_id))
        except (PeerQueueFull, PeerDisconnected):
            stream.fail(PeerDisconnected("the stream was not opened"))
            raise
        return stream

    def remove_stream(self, stream_id: int) -> None:
        """Remove a finished stream."""
        self._streams.remove(stream_id)
        self._close_if_retired()

    # Ending

    def retire(self) -> None:
        """Accept no new work; the link closes when both sides have retired it and it is idle.

        Both sides have then received everything that was sent on it.
        """
        if not self.retired and self.disconnect_error is None:
            self.retired = True
            self.put_frame(Retire(), "control")
            self._owner.on_link_change(self)
            self._close_if_retired()

    def _close_if_retired(self) -> None:
        if not (self.retired and self._peer_retired and self.is_idle):
            return
        # What was written may still wait in a socket buffer, and a close may discard it there.
        if self._delivery.is_confirmed:
            self.close("both sides have retired the link")
        elif not self._delivery.is_waiting:
            sequence = next(self._sequence)
            self._delivery.record_ping(sequence)
            self.put_frame(Ping(sequence), "control")

    def close(self, reason: str) -> None:
        """Close the link at once; its open calls and streams fail with PeerDisconnected."""
        if self.disconnect_error is not None:
            return
        self.disconnect_error = PeerDisconnected(f"peer={self.peer_id} {reason}")
        self._owner.on_link_change(self)
        self._calls.fail_all(self.disconnect_error)
        self._streams.fail_all(self.disconnect_error)
        self._batch_written.set()
        self._scope.cancel()

    @property
    def silent_ms(self) -> float:
        """Return for how long the peer has sent nothing although frames were due."""
        return self._heartbeat.silent_ms(Timers.now_ms(), self._wire.last_read_ms)

    def check_heartbeat(self, now: float, rest_heartbeat_ms: float) -> None:
        """Ping a quiet peer, close a silent link and retire an unused one.

        Called several times per heartbeat interval. A resting link uses the given interval.
        """
        if self.disconnect_error is not None or not self._heartbeat.is_check_due(now):
            return
        # A heartbeat costs 150 bytes with headers; at the full rate 50 unused links would use
        # 8 KB/s of a budget of 3 KB/s.
        is_unused = self.is_idle and not self.retired
        resting = is_unused and now - self.last_used_ms >= self.cfg.rest_after_ms
        interval_ms = rest_heartbeat_ms if resting else self.cfg.heartbeat_interval_ms
        last_read_ms = self._wire.last_read_ms
        action = self._heartbeat.check(now, last_read_ms, interval_ms, resting=resting)
        if self._heartbeat.is_silent:
            self._on_silence()
        if self.disconnect_error is not None:
            return
        if action is Action.PING:
            self.put_frame(Ping(next(self._sequence)), "control")
        if now - self.last_used_ms >= self.cfg.idle_close_ms and self.is_idle:
            self.retire()

    def _on_silence(self) -> None:
        """Close the link, but keep one that carries streams for some time, without new work.

        Calls of the peer that have not reached an upstream end, since the peer may be gone.
        """
        keep_ms = KEEP_STREAMS_HEARTBEATS * self.cfg.heartbeat_interval_ms
        # Results of streams that have ended meanwhile may still be on their way.
        is_needed = self._is_silent or len(self._streams) or self._queue or self._writing
        if not is_needed or self.silent_ms >= keep_ms:
            self._counters.add("peer_link_closed", "silent")
            self.close("missed heartbeats")
        elif not self._is_silent:
            self._is_silent = True
            self._counters.add("peer_links_silent")
            # A peer that still hears this node must not use the link either.
            self.retire()
            self._calls.fail_all(PeerDisconnected(f"peer={self.peer_id} missed heartbeats"))
            self._streams.stop_waiting("the other node is silent")

    def _end_silence(self) -> None:
        """Finish the streams of a link whose peer is back; new work uses another link."""
        self._is_silent = False
        self._close_if_retired()

    # Running

    async def run(self) -> None:
        """Read and write until the link is closed; never raises on a misbehaving peer."""
        reason = "closed"
        try:
            async with trio.open_nursery() as nursery:
                self._scope = nursery.cancel_scope
                if self.disconnect_error is not None:
                    self._scope.cancel()
                nursery.start_soon(self._write)
                await self._read()
        except Exception as exc:
            if faults.breaks_invariant(exc):
                raise
            faults.record(self._counters, "link_fault", exc, peer=self.peer_id)
            reason = f"fault: {next(faults.leaves(exc))!r:.100}"
        finally:
            self.close(reason)
            with trio.CancelScope(shield=True):
                await self._wire.abort()

    async def _write(self) -> None:
        try:
            while True:
                if not self._queue:
                    self._frames_queued = trio.Event()
                    await self._frames_queued.wait()
                batch = self._take_batch()
                self._writing = True
                await self._wire.send(batch)
                self._writing = False
                self._batch_written.set()
                self._batch_written = trio.Event()
                self._close_if_retired()
        except PeerDisconnected as exc:
            # The peer may have closed the link after complete responses, which are read first; the
            # reader closes the link at their end.
            self._is_broken = True
            self._owner.on_link_change(self)
            await trio.sleep(READ_REST_MS / MS_PER_S)
            self.close(str(exc))

    def _take_batch(self) -> list[bytes]:
        batch = []
        size = 0
        while self._queue and size < MAX_WRITE_BYTES:
            data = self._queue.popleft()
            batch.append(data)
            size += len(data)
        self._queued_bytes -= size
        return batch

    async def _read(self) -> None:
        try:
            while self.disconnect_error is None:
                data = await self._wire.receive()
                received_ms = self._heartbeat.received_ms = Timers.now_ms()
                if self._is_silent:
                    self._end_silence()
                self._on_frame(data, received_ms)
        except PeerDisconnected as exc:
            self.close(str(exc))
        except (CodecError, PeerProtocolError) as exc:
            self._counters.add("peer_link_closed", type(exc).__name__)
            self.close(str(exc))

    def _on_frame(self, data: bytes, received_ms: float) -> None:
        try:
            msg = codec.decode(data, self.cfg.max_message_bytes)
        except UnknownMessage:
            self._counters.add("peer_unknown_messages")
            return
        kind = "payload" if isinstance(msg, (Clock, OpenStream, *STREAM_FRAMES)) else "control"
        self._counters.add("peer_bytes_in", kind, len(data) + self._wire.overhead_bytes)
        if isinstance(msg, STREAM_FRAMES):
            if not self._streams.deliver(msg.stream_id, msg):
                self._counters.add("peer_late_frames", "stream")
        elif isinstance(msg, OpenStream):
            self.mark_used(received_ms)
            self.has_carried_streams = True
            msg = msg.after(self._transit.excess_ms(received_ms))
            self._owner.on_stream(self, msg, self._streams.accept(msg))
        elif isinstance(msg, Clock):
            self._transit.record(msg.sent_ms, received_ms)
        elif isinstance(msg, CallMessage):
            self.mark_used(received_ms)
            self._on_call(msg)
        elif isinstance(msg, ReplyMessage):
            self._calls.on_reply(msg)
        elif isinstance(msg, Ping):
            self.put_frame(Pong(msg.sequence), "control")
        elif isinstance(msg, Retire):
            self._peer_retired = True
            self.retire()
            self._owner.on_link_change(self)
            self._close_if_retired()
        elif isinstance(msg, HANDSHAKE_MESSAGES):
            raise PeerProtocolError(f"{type(msg).__name__} after the handshake")
        elif isinstance(msg, Pong):
            self._delivery.record_pong(msg.sequence)
            self._close_if_retired()
        else:
            self._owner.on_message(self, msg, 0)

    def _on_call(self, msg: CallMessage) -> None:
        self._calls_in_progress += 1
        try:
            body = codec.decode(msg.body, self.cfg.max_message_bytes)
        except UnknownMessage as exc:
            # A newer version may send it; an error reply lets that node continue.
            self.reply(msg.call_id, None, str(exc))
            return
        self._owner.on_message(self, body, msg.call_id)

    def reply(self, call_id: int, msg: Message | None, error: str = "") -> None:
        """Queue the reply to a call, or the error raised by its handler."""
        self._calls_in_progress -= 1
        body = b"" if msg is None else codec.encode(msg)
        if len(body) > self.cfg.max_message_bytes - REPLY_MARGIN_BYTES:
            body, error = b"", f"a reply of {len(body)} bytes is too large"
        self.put_frame(ReplyMessage(call_id, body, error), "control")
