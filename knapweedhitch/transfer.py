"""The time limit of a response that has begun."""

from __future__ import annotations

import trio

from knapweedhitch.clock import MS_PER_S
from knapweedhitch.deadline import Deadline
from knapweedhitch.exchange import Headers, ResponseSink
from knapweedhitch.model import LoadSample
from knapweedhitch.settings import RoutingSettings


def extend_for_transfer(scope: trio.CancelScope, deadline: Deadline, cfg: RoutingSettings) -> None:
    """Extend the time limit of a call whose response has begun beyond its deadline."""
    scope.deadline = max(scope.deadline, deadline.at_s + cfg.transfer_grace_ms / MS_PER_S)


class TransferSink:
    """Extend a time limit once the head of the response has arrived; pass everything on.

    The limit bounds the wait for a response. Cutting one that is being sent would lose it, and on
    its caller's connection the requests behind it as well.
    """

    def __init__(
        self,
        sink: ResponseSink,
        scope: trio.CancelScope,
        deadline: Deadline,
        cfg: RoutingSettings,
    ) -> None:
        self._sink = sink
        self._scope = scope
        self._deadline = deadline
        self._cfg = cfg

    def mark_dispatched(self) -> None:
        """Record that bytes of the call may reach the upstream from now on."""
        self._sink.mark_dispatched()

    async def informational(self, status: int, headers: Headers) -> None:
        """Forward a 1xx response."""
        await self._sink.informational(status, headers)

    async def head(self, status: int, headers: Headers, load: LoadSample | None) -> None:
        """Receive status and headers, and extend the limit."""
        extend_for_transfer(self._scope, self._deadline, self._cfg)
        await self._sink.head(status, headers, load)

    async def data(self, data: bytes) -> None:
        """Receive a part of the body."""
        await self._sink.data(data)

    async def end(self) -> None:
        """Receive the end of a complete response."""
        await self._sink.end()
