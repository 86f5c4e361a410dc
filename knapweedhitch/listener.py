"""TCP listeners that serve each connection in a task of its own."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from knapweedhitch import logs
from knapweedhitch.model import Address
from knapweedhitch.settings import Listener

Handler = Callable[[trio.abc.Stream], Awaitable[None]]


class StreamServer:
    """Accept connections up to a limit; the one over the limit goes to `refuse`."""

    def __init__(
        self, place: Listener, max_connections: int, serve: Handler, refuse: Handler
    ) -> None:
        self.active = 0
        self.address = Address(place.host, place.port)
        self._max_connections = max_connections
        self._serve = serve
        self._refuse = refuse
        self._accepting: trio.CancelScope | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Open the listener and serve in the nursery; raises OSError."""
        listeners = await trio.open_tcp_listeners(self.address.port, host=self.address.host)
        self.address = Address(*listeners[0].socket.getsockname()[:2])
        self._accepting = trio.CancelScope()
        nursery.start_soon(self._accept, nursery, listeners, self._accepting)

    def close(self) -> None:
        """Stop accepting; connections that are open stay open."""
        if self._accepting is not None:
            self._accepting.cancel()

    async def _accept(
        self,
        nursery: trio.Nursery,
        listeners: list[trio.SocketListener],
        scope: trio.CancelScope,
    ) -> None:
        with scope:
            await trio.serve_listeners(self.handle, listeners, handler_nursery=nursery)

    async def handle(self, stream: trio.abc.Stream) -> None:
        """Serve one connection; a fault ends this connection alone."""
        if self.active >= 2 * self._max_connections:
            # Answering every refused connection would be unbounded work as well.
            await trio.aclose_forcefully(stream)
            return
        over = self.active >= self._max_connections
        self.active += 1
        try:
            await (self._refuse(stream) if over else self._serve(stream))
        except Exception as exc:
            logs.warning("connection-fault", error=type(exc).__name__, detail=exc)
        finally:
            self.active -= 1
            await trio.aclose_forcefully(stream)
