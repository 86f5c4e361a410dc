"""The calls of one link that wait for their replies."""

from __future__ import annotations

import trio

from knapweedhitch import codec
from knapweedhitch.codec import Message
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import PeerBusy, PeerCallFailed, PeerDisconnected, PeerQueueFull
from knapweedhitch.messages import ReplyMessage
from knapweedhitch.settings import PeerSettings

BUSY_ERROR = "busy"


class _PendingCall:
    __slots__ = ("done", "error", "reply")

    def __init__(self) -> None:
        self.done = trio.Event()
        self.reply: Message | None = None
        self.error: Exception | None = None


class PendingCalls:
    """Match replies to the calls that wait for them, by call id."""

    def __init__(self, peer_id: str, cfg: PeerSettings, counters: Counters) -> None:
        self._peer_id = peer_id
        self._cfg = cfg
        self._counters = counters
        self._calls: dict[int, _PendingCall] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def check_room(self) -> None:
        """Raise PeerQueueFull if no further call may wait."""
        if len(self._calls) >= self._cfg.max_queued_messages:
            raise PeerQueueFull(f"peer={self._peer_id} calls={len(self._calls)}")

    async def wait_reply(self, call_id: int) -> Message:
        """Return the reply to a call; raises PeerDisconnected, PeerBusy and PeerCallFailed."""
        pending = self._calls[call_id] = _PendingCall()
        try:
            await pending.done.wait()
        finally:
            del self._calls[call_id]
        if pending.error is not None:
            raise pending.error
        assert pending.reply is not None
        return pending.reply

    def on_reply(self, msg: ReplyMessage) -> None:
        """Pass a reply to its call; raises CodecError."""
        pending = self._calls.get(msg.call_id)
        if pending is None or pending.done.is_set():
            self._counters.add("peer_late_frames", "reply")
            return
        if msg.error == BUSY_ERROR:
            pending.error = PeerBusy(f"peer={self._peer_id}")
        elif msg.error:
            pending.error = PeerCallFailed(f"peer={self._peer_id} error={msg.error[:200]}")
        else:
            pending.reply = codec.decode(msg.body, self._cfg.max_message_bytes)
        pending.done.set()

    def fail_all(self, exc: PeerDisconnected) -> None:
        """End all calls because the link was closed or its peer is silent."""
        for pending in self._calls.values():
            pending.error = exc
            pending.done.set()
