"""The interface through which modules call other nodes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from knapweedhitch.codec import Message


class Transport(Protocol):
    """Send requests between replicas and dispatch received ones."""

    async def call(self, node_id: str, msg: Message, timeout_ms: float) -> Message:
        """Send a request to a node and return its reply; raises PeerError."""

    def handle(
        self, msg_type: type[Message], fn: Callable[[str, Any], Awaitable[Message | None]]
    ) -> None:
        """Register the handler of a message type."""
