"""The planned stop: announce it, finish what is in progress, then close."""

from __future__ import annotations

import signal

import trio

from knapweedhitch import logs
from knapweedhitch.kernel import Kernel, service

POLL_INTERVAL_MS = 20
MAX_LOGGED_IDS = 20


@service("drain")
class Drain:
    """Stop the node without cutting work; a second signal stops it at once."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.stop
        self.active = False
        self.refusing = False
        self.cut = 0
        self.done = trio.Event()

    async def start(self) -> None:
        """Find the services that take part in a stop."""
        get = self._kernel.get
        self._membership = get("membership")
        self._admission = get("admission")
        self._router = get("router")
        self._gate = get("gate")
        self._ingress = get("ingress")
        self._counters = get("counters")

    async def stop(self) -> None:
        """Do nothing; the kernel stops the other services."""

    async def watch_signals(self) -> None:
        """Take SIGTERM and SIGINT until cancelled; for the main thread only."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.request()

    def request(self) -> None:
        """Start a planned stop; the second request stops at once."""
        if not self.active:
            self.active = True
            self._kernel.nursery.start_soon(self._planned)
        elif not self.done.is_set():
            self._hard("second-signal")

    async def wait(self) -> None:
        """Return when the node may end."""
        await self.done.wait()

    async def _planned(self) -> None:
        self._membership.set_draining(True)
        logs.event("stop-announced", in_progress=self._in_progress())
        await trio.sleep(self._cfg.announce_ms / 1_000)
        self.refusing = True
        self._admission.set_draining(True)
        give_up_s = trio.current_time() + self._cfg.drain_timeout_ms / 1_000
        while self._in_progress() and not self.done.is_set():
            if trio.current_time() >= give_up_s:
                self._hard("drain-timeout")
                return
            await trio.sleep(POLL_INTERVAL_MS / 1_000)
        if not self.done.is_set():
            self._ingress.close()
            logs.event("stop-finished", cut=0)
            self.done.set()

    def _in_progress(self) -> int:
        return self._router.in_progress + self._gate.in_progress

    def _hard(self, cause: str) -> None:
        ids = [trace.request_id for trace in list(self._router.active)[:MAX_LOGGED_IDS]]
        self.cut = self._router.in_progress
        self._counters.add("requests_cut", cause, self.cut)
        logs.warning(
            "stop-hard",
            cause=cause,
            cut=self.cut,
            at_gate=self._gate.in_progress,
            ids=",".join(ids),
        )
        self.done.set()
