"""A small HTTP server that buffers whole requests, for heartbeats, metrics and operators."""

from __future__ import annotations

import trio

from knapweedhitch import faults, metrics
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import InternalError, NotFound, Refusal, TooManyConnections
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.listener import StreamServer
from knapweedhitch.operator_http import (
    Handler,
    OperatorConnection,
    OperatorRequest,
    OperatorResponse,
    refusal_response,
    wait_responses_sent,
)
from knapweedhitch.settings import Listener, OperatorSettings


class ApiServer:
    """Serve HTTP requests on one address; a failed request never ends the process."""

    def __init__(
        self, listener: Listener, cfg: OperatorSettings, counters: Counters, handler: Handler
    ) -> None:
        self._cfg = cfg
        self._counters = counters
        self._handler = handler
        self._connections: set[OperatorConnection] = set()
        self._server = StreamServer(listener, cfg.max_connections, self._serve, self._refuse)

    async def start(self, kernel: Kernel) -> None:
        """Open the listener; raises OSError."""
        await self._server.start(kernel)

    def close(self) -> None:
        """Stop accepting connections."""
        self._server.close()

    async def finish(self, timeout_ms: float) -> None:
        """Stop accepting connections and wait for the responses to requests in progress."""
        self.close()
        await wait_responses_sent(self._connections, timeout_ms)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        conn = self._connection(stream)
        self._connections.add(conn)
        try:
            await conn.serve()
        finally:
            self._connections.discard(conn)

    async def _refuse(self, stream: trio.abc.Stream) -> None:
        await self._connection(stream).refuse(TooManyConnections())

    def _connection(self, stream: trio.abc.Stream) -> OperatorConnection:
        return OperatorConnection(stream, self._cfg, _allow_all, self._respond)

    async def _respond(self, req: OperatorRequest) -> OperatorResponse:
        try:
            return await self._handler(req)
        except Refusal as exc:
            self._counters.add("api_refused", exc.reason)
            return refusal_response(exc)
        except Exception as exc:
            faults.record(self._counters, "api-fault", exc, path="/".join(req.segments)[:100])
            return refusal_response(InternalError(detail=type(exc).__name__))


def _allow_all(req: OperatorRequest) -> None:
    """Accept requests without credentials; the deployment must restrict access to the address."""


@service("metrics_page")
class MetricsPage:
    """Serve the metrics page on its own listener."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._counters: Counters = kernel.get("counters")
        self._listener = kernel.cfg.listen.metrics
        self._server = ApiServer(self._listener, kernel.cfg.operator, self._counters, self._respond)

    async def start(self) -> None:
        """Open the listener if the settings enable it; raises OSError."""
        if self._listener.enabled:
            await self._server.start(self._kernel)

    async def stop(self) -> None:
        """Close the listener."""
        self._server.close()

    async def _respond(self, req: OperatorRequest) -> OperatorResponse:
        if req.segments != ("metrics",):
            raise NotFound(detail="use /metrics")
        page = metrics.render(await self._counters.snapshot_in_steps())
        return OperatorResponse(page.encode("utf-8"), content_type=metrics.CONTENT_TYPE)
