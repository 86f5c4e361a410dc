"""The interface between the caller listener and the service that handles requests."""

from __future__ import annotations

from typing import Protocol

from knapweedhitch.exceptions import Refusal
from knapweedhitch.framing import RequestHead
from knapweedhitch.http1 import ServerConnection


class RequestHandler(Protocol):
    """Handle the parsed requests of callers."""

    def may_run_concurrently(self, head: RequestHead) -> bool:
        """Return whether a request may run while earlier ones on its connection are in progress."""
        ...

    async def handle(self, conn: ServerConnection, head: RequestHead) -> None:
        """Handle one request and write its response or refusal."""
        ...

    async def refuse_unparsed(self, conn: ServerConnection, refusal: Refusal) -> None:
        """Refuse a request that was not parsed and close its connection."""
        ...
