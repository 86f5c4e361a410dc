"""The planned stop: announce it, finish what others wait for, then close."""

from __future__ import annotations

import math
from typing import Protocol

import trio

from knapweedhitch import logs
from knapweedhitch.clock import MS_PER_S
from knapweedhitch.deadline import Deadline
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.supervisor import OnFault

POLL_INTERVAL_MS = 20
# Callers that do not read their response must not hold up the stop for longer.
CLOSE_TIMEOUT_MS = 300.0
# A request that was taken during the stop ends this long before it, so that its outcome is known.
END_MARGIN_MS = 50.0
# How long the requests that are ended by the stop may take to get their response, once the nodes of
# their targets have confirmed the end or had the time to do so.
END_TIMEOUT_MS = 100.0
# Peers get the rest of their responses and replies within this time. A peer with a handler that
# takes longer must not hold up the stop.
LINKS_TIMEOUT_MS = 10_000.0
# A change of the configuration is decided or given up within this time.
API_TIMEOUT_MS = 1_000.0
# Another control instance takes over the vote of a stopping one within this time.
HAND_OVER_TIMEOUT_MS = 4_000.0
# A control instance is still counted as a voter while it stops.
CONTROL_LINKS_TIMEOUT_MS = 500.0
MAX_LOGGED_IDS = 20


class FinishingServer(Protocol):
    """Define the interface of servers whose responses a stop waits for."""

    async def finish(self, timeout_ms: float) -> None:
        """Stop accepting connections and wait for the responses to requests in progress."""
        ...


@service("drain")
class Drain:
    """Stop the node after its requests in progress; a second signal stops it at once."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.stop
        self.active = False
        self.refusing = False
        self.cut_requests = 0
        self.finished = trio.Event()
        self._ends_at_s = math.inf
        self._servers: list[FinishingServer] = []

    async def start(self) -> None:
        """Look up the services that take part in a stop."""
        get = self._kernel.get
        self._membership = get("membership")
        self._peers = get("peers")
        self._counters = get("counters")
        # A control instance that serves no calls has no services of the request path.
        self._serves_calls = self._kernel.has("ingress")
        if self._serves_calls:
            self._admission = get("admission")
            self._router = get("router")
            self._gate = get("gate")
            self._ingress = get("ingress")

    def add_server(self, server: FinishingServer) -> None:
        """Let a stop wait for the responses of a server."""
        self._servers.append(server)

    async def stop(self) -> None:
        """Do nothing; the kernel stops the other services."""

    def begin(self) -> None:
        """Start a planned stop; `finished` is set when the process may exit."""
        if self.active:
            return
        self.active = True
        self._ends_at_s = (
            trio.current_time() + (self._cfg.announce_ms + self._cfg.drain_timeout_ms) / MS_PER_S
        )
        if not self._serves_calls:
            self._kernel.start_task(OnFault.STOP, self._stop_control)
        else:
            self._kernel.start_task(OnFault.STOP, self._run_planned_stop)

    def stop_now(self) -> None:
        """Stop at once and log the requests that are cut."""
        if self._serves_calls and not self.finished.is_set():
            self._stop_hard("second-signal")
        self.finished.set()

    async def _stop_control(self) -> None:
        try:
            await self._hand_vote_over()
            for server in self._servers:
                await server.finish(API_TIMEOUT_MS)
            await self._peers.finish(CONTROL_LINKS_TIMEOUT_MS)
        finally:
            self.finished.set()

    async def _hand_vote_over(self) -> None:
        """Let another control instance vote in place of this one, which may not come back."""
        replica = self._kernel.get("control").replica if self._kernel.has("control") else None
        if replica is None:
            return
        rest_s = (API_TIMEOUT_MS + CONTROL_LINKS_TIMEOUT_MS) / MS_PER_S
        limit_s = trio.current_time() + HAND_OVER_TIMEOUT_MS / MS_PER_S
        with trio.move_on_at(min(limit_s, self._ends_at_s - rest_s)) as scope:
            await replica.hand_over()
        if scope.cancelled_caught:
            logs.warning("vote-not-handed-over", node=self._kernel.cfg.node.id)

    async def _run_planned_stop(self) -> None:
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._hand_vote_over)
                await self._finish_calls()
        finally:
            # Also after a fault; the process would go on without its listeners.
            self.finished.set()

    async def _finish_calls(self) -> None:
        self._membership.set_draining(True)
        logs.event("stop-announced", in_progress=self._in_progress())
        await trio.sleep(self._cfg.announce_ms / MS_PER_S)
        self.refusing = True
        self._admission.set_draining(True)
        while self._in_progress() and not self.finished.is_set():
            if trio.current_time() >= self._ends_at_s:
                await self._end_requests()
                await self._peers.finish(END_TIMEOUT_MS)
                self._stop_hard("drain-timeout")
                return
            await trio.sleep(POLL_INTERVAL_MS / MS_PER_S)
        if not self.finished.is_set():
            self._ingress.close()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._wait_for_connections, CLOSE_TIMEOUT_MS)
                for server in self._servers:
                    nursery.start_soon(server.finish, CLOSE_TIMEOUT_MS)
            remaining_ms = (self._ends_at_s - trio.current_time()) * MS_PER_S
            await self._peers.finish(min(max(remaining_ms, END_TIMEOUT_MS), LINKS_TIMEOUT_MS))
            logs.event("stop-finished", cut=0)

    def bound(self, deadline: Deadline) -> Deadline:
        """Return the deadline of a new request, which ends before a planned stop does."""
        return Deadline(min(deadline.at_s, self._ends_at_s - END_MARGIN_MS / MS_PER_S))

    async def _end_requests(self) -> None:
        """Cancel the requests in progress, each of which then gets a response, and wait for it."""
        for trace in self._router.active:
            if trace.call is not None:
                self._counters.add("requests_ended", "drain-timeout")
                trace.call.scope.cancel()
        self._ingress.close()
        await self._wait_for_connections(self._kernel.cfg.peers.cancel_wait_ms + END_TIMEOUT_MS)

    async def _wait_for_connections(self, timeout_ms: float) -> None:
        """Wait until the connections have ended; requests just read on them are still refused."""
        with trio.move_on_after(timeout_ms / MS_PER_S):
            await self._ingress.wait_closed()

    def _in_progress(self) -> int:
        return self._router.in_progress + self._gate.in_progress

    def _stop_hard(self, cause: str) -> None:
        ids = [trace.request_id for trace in list(self._router.active)[:MAX_LOGGED_IDS]]
        self.cut_requests = self._router.in_progress
        self._counters.add("requests_cut", cause, self.cut_requests)
        logs.warning(
            "stop-hard",
            cause=cause,
            cut=self.cut_requests,
            at_gate=self._gate.in_progress,
            ids=",".join(ids),
        )
        self.finished.set()
