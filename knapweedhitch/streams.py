"""Streams with credit-based flow control that share one link."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from knapweedhitch.codec import Message
from knapweedhitch.exceptions import Outcome, PeerDisconnected, PeerProtocolError
from knapweedhitch.messages import (
    OpenStream,
    StreamCancel,
    StreamCancelled,
    StreamCredit,
    StreamData,
    StreamEnd,
    StreamFail,
    StreamHead,
    StreamInformational,
    StreamResult,
    StreamSilent,
)

if TYPE_CHECKING:
    from knapweedhitch.link import Link

MAX_CHUNK_BYTES = 65_536
# Charged to the window for each data frame, so that a window full of one-byte frames cannot make
# the receiver hold hundreds of thousands of objects.
FRAME_COST_BYTES = 64
# Not under flow control; more unread ones than this close the link.
INFORMATIONAL_FRAMES = (StreamInformational, StreamSilent)
MAX_UNREAD_INFORMATIONAL = 16

TERMINAL_FRAMES = (StreamFail, StreamResult, StreamCancelled)
ACCEPTOR_FRAMES = (StreamHead, *INFORMATIONAL_FRAMES, *TERMINAL_FRAMES)
OPENER_FRAMES = (StreamEnd, StreamCancel)
STREAM_FRAMES = (*ACCEPTOR_FRAMES, *OPENER_FRAMES, StreamCredit, StreamData)


class PeerStream:
    """Represent one side of a stream; only a StreamResult marks a response as complete."""

    __slots__ = (
        "_credit",
        "_credit_added",
        "_has_head",
        "_inbox",
        "_informational",
        "_link",
        "_lost",
        "_on_stop",
        "_room",
        "_stop_reason",
        "_unacknowledged",
        "_wakeup",
        "_window",
        "body_ended",
        "finished",
        "is_running",
        "opener",
        "stop_requested",
        "stream_id",
    )

    def __init__(self, link: Link, stream_id: int, window_bytes: int, *, opener: bool) -> None:
        self._link = link
        self.stream_id = stream_id
        self.opener = opener
        self.finished = False
        self.body_ended = False
        self.stop_requested = False
        self._stop_reason = ""
        # Set by the acceptor when an upstream may have received the call.
        self.is_running = False
        self._on_stop: Callable[[], None] | None = None
        self._window = window_bytes
        self._credit = window_bytes
        # Bytes that the peer may still send.
        self._room = window_bytes
        self._unacknowledged = 0
        self._informational = 0
        self._has_head = False
        self._inbox: deque[Message] = deque()
        # Set once the link is closed before the stream has finished.
        self._lost: PeerDisconnected | None = None
        self._wakeup: trio.Event | None = None
        self._credit_added: trio.Event | None = None

    @property
    def peer_id(self) -> str:
        """Return the node at the other end."""
        return self._link.peer_id

    @property
    def silent_ms(self) -> float:
        """Return for how long the peer has sent nothing on the link although frames were due."""
        return self._link.silent_ms

    @property
    def end_reason(self) -> str:
        """Return why the stream ended or must end before its result, or an empty string."""
        if self._lost is not None:
            return str(self._lost)
        return self._stop_reason

    @property
    def has_unread(self) -> bool:
        """Return whether a delivered frame has not been received yet."""
        return bool(self._inbox)

    def on_stop(self, fn: Callable[[], None]) -> None:
        """Register a callback for a cancel or link loss, called at once if that has happened."""
        self._on_stop = fn
        if self.stop_requested:
            fn()

    def deliver(self, msg: Message) -> None:
        """Process a frame from the link; raises PeerProtocolError."""
        if isinstance(msg, StreamCredit):
            self._add_credit(msg.n_bytes)
            return
        if isinstance(msg, StreamData):
            self._room -= len(msg.data) + FRAME_COST_BYTES
            if self._room < 0 or self.body_ended or (self.opener and not self._has_head):
                raise PeerProtocolError(f"stream {self.stream_id}: data is not allowed")
        elif not isinstance(msg, ACCEPTOR_FRAMES if self.opener else OPENER_FRAMES):
            raise PeerProtocolError(f"stream {self.stream_id}: {type(msg).__name__}")
        elif isinstance(msg, INFORMATIONAL_FRAMES):
            self._informational += 1
            if self._informational > MAX_UNREAD_INFORMATIONAL:
                raise PeerProtocolError(f"stream {self.stream_id}: too many 1xx answers")
        elif isinstance(msg, StreamHead):
            if self._has_head:
                raise PeerProtocolError(f"stream {self.stream_id}: second head")
            self._has_head = True
        elif isinstance(msg, StreamEnd):
            if self.body_ended:
                raise PeerProtocolError(f"stream {self.stream_id}: second end")
            self.body_ended = True
        elif isinstance(msg, StreamCancel):
            self.stop("cancelled by the other node")
            return
        elif isinstance(msg, TERMINAL_FRAMES):
            self._finish()
        self._inbox.append(msg)
        self._wake()

    def fail(self, exc: PeerDisconnected) -> None:
        """End the stream because its link was closed; has no effect on a finished stream."""
        if self.finished:
            return
        self._lost = exc
        self._finish()
        self.stop(str(exc))
        self._wake()

    async def receive(self) -> Message:
        """Return the next frame; raises PeerDisconnected when the link or the stream has ended."""
        while not self._inbox:
            if self._lost is not None:
                raise self._lost
            if self.finished:
                raise PeerDisconnected("the stream has ended")
            self._wakeup = trio.Event()
            await self._wakeup.wait()
        msg = self._inbox.popleft()
        if isinstance(msg, StreamData):
            self._acknowledge(len(msg.data) + FRAME_COST_BYTES)
        elif isinstance(msg, INFORMATIONAL_FRAMES):
            self._informational -= 1
        return msg

    async def send_data(self, data: bytes) -> None:
        """Send body data, waiting for credit as needed; raises PeerDisconnected."""
        for start in range(0, len(data), MAX_CHUNK_BYTES):
            remaining = data[start : start + MAX_CHUNK_BYTES]
            while remaining:
                await self._wait_credit()
                allowed = min(len(remaining), self._credit - FRAME_COST_BYTES)
                self._credit -= allowed + FRAME_COST_BYTES
                self._link.put_frame(StreamData(self.stream_id, remaining[:allowed]))
                remaining = remaining[allowed:]

    async def _wait_credit(self) -> None:
        while True:
            self._raise_if_ended()
            if self._credit > FRAME_COST_BYTES:
                if not self._link.is_congested:
                    return
                await self._link.wait_batch_written()
                continue
            self._credit_added = trio.Event()
            await self._credit_added.wait()

    async def end(self) -> None:
        """Mark the request body as complete; raises PeerDisconnected."""
        self.put(StreamEnd(self.stream_id))

    def put(self, msg: Message) -> None:
        """Queue a frame of this stream without waiting; raises PeerDisconnected."""
        self._raise_if_ended()
        self._link.put_frame(msg)
        if not self.opener and isinstance(msg, TERMINAL_FRAMES):
            self._finish()

    async def cancel(self) -> Outcome:
        """Cancel the call at the peer and return its outcome, waiting at most cancel_wait_ms.

        The outcome is NOT_RUN only when the peer confirmed it.
        """
        if not self.finished:
            try:
                self.put(StreamCancel(self.stream_id))
            except PeerDisconnected:
                return Outcome.UNKNOWN
        outcome = Outcome.UNKNOWN
        with trio.move_on_after(self._link.cfg.cancel_wait_ms / 1_000, shield=True):
            outcome = await self._await_outcome()
        self._finish()
        return outcome

    async def _await_outcome(self) -> Outcome:
        try:
            while True:
                msg = await self.receive()
                if isinstance(msg, (StreamFail, StreamCancelled)):
                    return msg.outcome
                if isinstance(msg, StreamResult):
                    return Outcome.UNKNOWN
        except PeerDisconnected:
            return Outcome.UNKNOWN

    def _raise_if_ended(self) -> None:
        if self._lost is not None:
            raise self._lost
        if self.finished:
            raise PeerDisconnected("the stream has ended")

    def _add_credit(self, n_bytes: int) -> None:
        if n_bytes <= 0 or self._credit + n_bytes > self._window:
            raise PeerProtocolError(f"stream {self.stream_id}: credit over the window")
        self._credit += n_bytes
        if self._credit_added is not None:
            self._credit_added.set()

    def _acknowledge(self, n_bytes: int) -> None:
        self._unacknowledged += n_bytes
        # Acknowledging half a window keeps the sender busy with few credit frames.
        if self._unacknowledged * 2 >= self._window and not self.finished and not self.body_ended:
            self._room += self._unacknowledged
            self._link.put_frame(StreamCredit(self.stream_id, self._unacknowledged))
            self._unacknowledged = 0

    def _finish(self) -> None:
        if not self.finished:
            self.finished = True
            self._link.remove_stream(self.stream_id)
            if self._credit_added is not None:
                self._credit_added.set()

    def stop(self, reason: str) -> None:
        """Ask the acceptor to end the call."""
        self.stop_requested = True
        self._stop_reason = reason
        if self._on_stop is not None:
            self._on_stop()

    def _wake(self) -> None:
        if self._wakeup is not None:
            self._wakeup.set()


class StreamTable:
    """Track the open streams of a link; the dialler opens odd ids and the acceptor even ids."""

    def __init__(self, link: Link, *, dialled: bool) -> None:
        self._link = link
        self._next_id = 1 if dialled else 2
        self._highest_remote = 0
        self._remote_parity = 0 if dialled else 1
        self._open: dict[int, PeerStream] = {}

    def __len__(self) -> int:
        return len(self._open)

    def open(self) -> PeerStream:
        """Open a stream from this side."""
        stream = PeerStream(self._link, self._next_id, self._link.cfg.window_bytes, opener=True)
        self._open[stream.stream_id] = stream
        self._next_id += 2
        return stream

    def accept(self, opening: OpenStream) -> PeerStream | None:
        """Add a stream of the peer, or return None over the limit; raises PeerProtocolError."""
        stream_id = opening.stream_id
        if stream_id % 2 != self._remote_parity or stream_id <= self._highest_remote:
            raise PeerProtocolError(f"stream {stream_id} cannot be opened")
        self._highest_remote = stream_id
        if len(self._open) >= self._link.cfg.max_streams:
            return None
        stream = PeerStream(self._link, stream_id, self._link.cfg.window_bytes, opener=False)
        stream.body_ended = not opening.has_body
        self._open[stream_id] = stream
        return stream

    def deliver(self, stream_id: int, msg: Message) -> bool:
        """Deliver a frame and return whether its stream is still open; raises PeerProtocolError."""
        stream = self._open.get(stream_id)
        if stream is not None:
            stream.deliver(msg)
            return True
        is_remote = stream_id % 2 == self._remote_parity
        if stream_id < 1 or stream_id > (self._highest_remote if is_remote else self._next_id - 2):
            raise PeerProtocolError(f"stream {stream_id} was never opened")
        return False

    def remove(self, stream_id: int) -> None:
        """Remove a finished stream; its late frames are dropped from then on."""
        self._open.pop(stream_id, None)

    def stop_waiting(self, reason: str) -> None:
        """Ask for the end of the calls of the peer that no upstream has received."""
        for stream in list(self._open.values()):
            if not (stream.opener or stream.is_running):
                stream.stop(reason)

    def fail_all(self, exc: PeerDisconnected) -> None:
        """End every open stream because the link was closed."""
        for stream in list(self._open.values()):
            stream.fail(exc)
