"""Handlers of messages and streams from other nodes, with a bounded number of tasks per peer."""

from __future__ import annotations

import dataclasses
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

from knapweedhitch import faults
from knapweedhitch.codec import Message
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import (
    DuplicateRegistration,
    InternalError,
    KnapweedhitchError,
    Outcome,
    PeerCallFailed,
    QueueFull,
    Refusal,
)
from knapweedhitch.kernel import Kernel
from knapweedhitch.link import Link
from knapweedhitch.messages import OpenStream, StreamFail
from knapweedhitch.model import LoadSample
from knapweedhitch.pendingcalls import BUSY_ERROR
from knapweedhitch.streams import PeerStream
from knapweedhitch.supervisor import OnFault

Handler = Callable[[str, Any], Awaitable[Message | None]]
StreamHandler = Callable[[str, OpenStream, PeerStream], Awaitable[None]]


def fail_frame(stream_id: int, refusal: Refusal, load: LoadSample | None = None) -> StreamFail:
    """Return the frame that ends a stream with a refusal."""
    return StreamFail(
        stream_id, refusal.reason, refusal.status, refusal.outcome, refusal.detail[:200], load
    )


@dataclasses.dataclass(eq=False, slots=True)
class _PeerLoad:
    running: int = 0
    waiting: deque[tuple[Link, Message, int]] = dataclasses.field(default_factory=deque)


class Handlers:
    """Run the registered handlers as tasks of the kernel."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.peers
        self._counters: Counters = kernel.get("counters")
        self._handlers: dict[type[Message], Handler] = {}
        self._stream_handler: StreamHandler | None = None
        self._loads: dict[str, _PeerLoad] = {}

    def add(self, msg_type: type[Message], fn: Handler) -> None:
        """Register the handler of a message type; raises DuplicateRegistration."""
        if msg_type in self._handlers:
            raise DuplicateRegistration(f"{msg_type.__name__} already has a handler")
        self._handlers[msg_type] = fn

    def set_stream_handler(self, fn: StreamHandler) -> None:
        """Register the handler of streams; raises DuplicateRegistration."""
        if self._stream_handler is not None:
            raise DuplicateRegistration("streams already have a handler")
        self._stream_handler = fn

    def on_message(self, link: Link, msg: Message, call_id: int) -> None:
        """Start or queue the handler of a message, within the limits of its peer."""
        load = self._loads.setdefault(link.peer_id, _PeerLoad())
        if load.running < self._cfg.max_handlers:
            load.running += 1
            self._kernel.start_task(OnFault.END, self._run_handlers, load, link, msg, call_id)
        elif len(load.waiting) < self._cfg.max_queued_messages:
            load.waiting.append((link, msg, call_id))
        else:
            self._counters.add("peer_handlers_busy")
            if call_id:
                link.reply(call_id, None, BUSY_ERROR)

    async def _run_handlers(self, load: _PeerLoad, link: Link, msg: Message, call_id: int) -> None:
        try:
            await self._run_handler(link, msg, call_id)
            while load.waiting:
                link, msg, call_id = load.waiting.popleft()
                if link.disconnect_error is None or not call_id:
                    await self._run_handler(link, msg, call_id)
        finally:
            load.running -= 1
            if not load.running and not load.waiting:
                self._loads.pop(link.peer_id, None)

    async def _run_handler(self, link: Link, msg: Message, call_id: int) -> None:
        reply = None
        error = ""
        try:
            fn = self._handlers.get(type(msg))
            if fn is None:
                error = f"no handler of {type(msg).__name__}"
            else:
                reply = await fn(link.peer_id, msg)
                if reply is None and call_id:
                    error = f"the handler of {type(msg).__name__} gave no reply"
        except Exception as exc:
            # An error in one handler must not stop the process.
            error = f"{type(exc).__name__}: {exc}"
            if not isinstance(exc, KnapweedhitchError):
                faults.record(
                    self._counters, "peer_handler_failed", exc, message=type(msg).__name__
                )
        if error:
            self._counters.add("peer_handler_errors", type(msg).__name__)
        if call_id:
            link.reply(call_id, reply, error)

    async def call_local(self, msg: Message) -> Message:
        """Call the handler of this node and return its reply; raises PeerCallFailed."""
        fn = self._handlers.get(type(msg))
        if fn is None:
            raise PeerCallFailed(f"no handler of {type(msg).__name__}")
        try:
            reply = await fn(self._kernel.cfg.node.id, msg)
        except Exception as exc:
            raise PeerCallFailed(f"{type(exc).__name__}: {exc}") from exc
        if reply is None:
            raise PeerCallFailed(f"the handler of {type(msg).__name__} gave no reply")
        return reply

    def on_stream(self, link: Link, opening: OpenStream, stream: PeerStream | None) -> None:
        """Start the handler of a stream, or refuse the stream with the outcome not-run."""
        if stream is None or self._stream_handler is None:
            self._counters.add("peer_streams_refused")
            refusal = QueueFull(Outcome.NOT_RUN)
            link.put_frame(fail_frame(opening.stream_id, refusal))
            return
        self._kernel.start_task(OnFault.END, self._run_stream, link, opening, stream)

    async def _run_stream(self, link: Link, opening: OpenStream, stream: PeerStream) -> None:
        assert self._stream_handler is not None
        try:
            await self._stream_handler(link.peer_id, opening, stream)
        except Exception as exc:
            faults.record(self._counters, "stream_handler_failed", exc)
            self._counters.add("peer_handler_errors", "OpenStream")
        if not stream.finished:
            stream.put(fail_frame(stream.stream_id, InternalError(Outcome.UNKNOWN)))
