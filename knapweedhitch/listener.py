"""TCP listeners that serve each connection in its own task."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from knapweedhitch import earlylisten, faults
from knapweedhitch.counters import Counters
from knapweedhitch.kernel import Kernel
from knapweedhitch.model import Address
from knapweedhitch.settings import Listener
from knapweedhitch.supervisor import OnFault

Handler = Callable[[trio.abc.Stream], Awaitable[None]]


class StreamServer:
    """Accept TCP connections and pass those over the limit to `refuse`."""

    def __init__(
        self, cfg: Listener, max_connections: int, serve: Handler, refuse: Handler
    ) -> None:
        self.active = 0
        self.address = Address(cfg.host, cfg.port)
        self._max_connections = max_connections
        self._serve = serve
        self._refuse = refuse
        self._counters = Counters()
        self._accept_scope: trio.CancelScope | None = None

    async def start(self, kernel: Kernel) -> None:
        """Bind the listener and serve connections in tasks of the kernel; raises OSError."""
        self._counters = kernel.get("counters")
        sock = earlylisten.take_socket(self.address.host, self.address.port)
        if sock is not None:
            listeners = [trio.SocketListener(trio.socket.from_stdlib_socket(sock))]
        else:
            listeners = await trio.open_tcp_listeners(self.address.port, host=self.address.host)
        self.address = Address(*listeners[0].socket.getsockname()[:2])
        self._accept_scope = trio.CancelScope()
        kernel.start_task(OnFault.STOP, self._accept, kernel.nursery, listeners, self._accept_scope)

    def close(self) -> None:
        """Stop accepting connections; open ones are kept."""
        if self._accept_scope is not None:
            self._accept_scope.cancel()

    async def _accept(
        self,
        nursery: trio.Nursery,
        listeners: list[trio.SocketListener],
        scope: trio.CancelScope,
    ) -> None:
        with scope:
            await trio.serve_listeners(self.handle, listeners, handler_nursery=nursery)

    async def handle(self, stream: trio.abc.Stream) -> None:
        """Serve one connection; an error ends only this connection."""
        if self.active >= 2 * self._max_connections:
            # Responding to every refused connection would be unbounded work as well.
            await trio.aclose_forcefully(stream)
            return
        is_over_limit = self.active >= self._max_connections
        self.active += 1
        try:
            await (self._refuse(stream) if is_over_limit else self._serve(stream))
        except Exception as exc:
            faults.record(self._counters, "connection-fault", exc, listener=self.address)
        finally:
            self.active -= 1
            await trio.aclose_forcefully(stream)
