"""What the caller listener needs of the service that answers requests."""

from __future__ import annotations

from typing import Protocol

from knapweedhitch.exceptions import Refusal
from knapweedhitch.framing import RequestHead
from knapweedhitch.http1 import ServerConnection


class RequestHandler(Protocol):
    """Answer requests, one call for each."""

    def may_run_concurrently(self, head: RequestHead) -> bool:
        """Tell whether a request may run before earlier ones of its connection are answered."""
        ...

    async def handle(self, conn: ServerConnection, head: RequestHead) -> None:
        """Answer one request; the connection tells afterwards whether it can go on."""
        ...

    async def refuse_unparsed(self, conn: ServerConnection, refusal: Refusal) -> None:
        """Answer a connection whose next request could not be read."""
        ...
