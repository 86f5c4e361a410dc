"""Body and response of a call that another node has forwarded, over the stream of the call."""

from __future__ import annotations

from typing import Any

from knapweedhitch.exceptions import CallerGone, Outcome, PeerDisconnected
from knapweedhitch.exchange import Headers
from knapweedhitch.messages import StreamData, StreamEnd, StreamHead, StreamInformational
from knapweedhitch.model import LoadSample
from knapweedhitch.streams import PeerStream

MAX_INFORMATIONAL = 8


class RemoteBody:
    """Read the request body that the entry node sends."""

    def __init__(self, stream: PeerStream) -> None:
        self._stream = stream

    async def receive(self) -> bytes | None:
        """Return the next part, None at the end; raises CallerGone if the stream was lost."""
        if self._stream.body_ended and not self._stream.has_unread:
            return None
        try:
            msg = await self._stream.receive()
        except PeerDisconnected as exc:
            raise CallerGone(str(exc)) from None
        if isinstance(msg, StreamEnd):
            return None
        assert isinstance(msg, StreamData)
        return msg.data


class RemoteSink:
    """Send the response to the entry node.

    `mark_dispatched` is called right before the first byte is sent to the upstream; a call that is
    cancelled before that is confirmed as not run.
    """

    def __init__(self, stream: PeerStream, load: Any) -> None:
        self._stream = stream
        self._load = load
        self._informational = 0
        self.body_bytes = 0
        self.has_head = False

    @property
    def was_dispatched(self) -> bool:
        """Return whether the upstream may have received the call."""
        return self._stream.is_running

    def mark_dispatched(self) -> None:
        """Record that the call is about to be sent to the upstream."""
        self._stream.is_running = True

    def cancel_outcome(self) -> Outcome:
        """Return the outcome of a cancelled call after the gate has returned."""
        return Outcome.UNKNOWN if self.was_dispatched else Outcome.NOT_RUN

    async def informational(self, status: int, headers: Headers) -> None:
        """Forward a 1xx response, up to MAX_INFORMATIONAL for each call."""
        self.mark_dispatched()
        self._informational += 1
        if self._informational <= MAX_INFORMATIONAL:
            self._put(StreamInformational(self._stream.stream_id, status, headers))

    async def head(self, status: int, headers: Headers, load: LoadSample | None) -> None:
        """Send status and headers with a load sample."""
        self.mark_dispatched()
        self.has_head = True
        sample = load if load is not None else self._load()
        self._put(StreamHead(self._stream.stream_id, status, headers, sample))

    async def data(self, data: bytes) -> None:
        """Send a part of the body as the window allows; raises CallerGone."""
        try:
            await self._stream.send_data(data)
            self.body_bytes += len(data)
        except PeerDisconnected as exc:
            raise CallerGone(str(exc)) from None

    async def end(self) -> None:
        """Do nothing; the StreamResult frame that follows ends the response."""

    def _put(self, msg: Any) -> None:
        try:
            self._stream.put(msg)
        except PeerDisconnected as exc:
            raise CallerGone(str(exc)) from None
