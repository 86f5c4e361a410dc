"""The listener for callers, with one task for each connection."""

from __future__ import annotations

import trio

from knapweedhitch import framing
from knapweedhitch.boundedlog import BoundedLog
from knapweedhitch.budget import ByteBudget
from knapweedhitch.callerconn import CallerConnection
from knapweedhitch.exceptions import TooManyConnections
from knapweedhitch.http1 import ServerConnection
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.listener import StreamServer
from knapweedhitch.model import Address


@service("ingress")
class Ingress:
    """Accept caller connections and pass their requests to the router."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.callers
        self._names = framing.header_names(kernel.cfg.headers)
        self._connections: set[CallerConnection] = set()
        self._connection_ended = trio.Event()
        self._waiting_bytes = ByteBudget(self._cfg.max_waiting_response_bytes)
        self._server = StreamServer(
            kernel.cfg.listen.callers, self._cfg.max_connections, self.serve, self._refuse
        )

    @property
    def address(self) -> Address:
        """Return the address of the listener."""
        return self._server.address

    @property
    def has_connections(self) -> bool:
        """Return whether callers are connected, whose requests may be in progress."""
        return bool(self._connections)

    async def start(self) -> None:
        """Open the listener; raises OSError."""
        self._router = self._kernel.get("router")
        self._counters = self._kernel.get("counters")
        timers = self._kernel.get("timers")
        self._log = BoundedLog(self._kernel.cfg.log, self._counters, timers.now_ms)
        await self._server.start(self._kernel)

    async def stop(self) -> None:
        """Close the listener and the idle connections."""
        self.close()

    def close(self) -> None:
        """Stop accepting and close idle connections; requests in progress continue."""
        self._server.close()
        for conn in list(self._connections):
            conn.stop_waiting()

    async def wait_closed(self) -> None:
        """Wait until no connection is open."""
        while self._connections:
            await self._connection_ended.wait()

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve the requests of one connection, in order, until it ends."""
        conn = CallerConnection(
            stream,
            self._cfg,
            self._names,
            self._router,
            self._counters,
            self._log,
            self._waiting_bytes,
        )
        self._connections.add(conn)
        self._counters.add("caller_connections")
        try:
            await conn.serve()
        finally:
            self._connections.discard(conn)
            self._connection_ended.set()
            self._connection_ended = trio.Event()
            await trio.aclose_forcefully(stream)

    async def _refuse(self, stream: trio.abc.Stream) -> None:
        conn = ServerConnection(stream, self._cfg, self._names)
        try:
            await self._router.refuse_unparsed(conn, TooManyConnections())
        finally:
            await conn.close()
