"""Guard of upstreams against requests that crash them.

The node beside an upstream sees its end: the connection of a call breaks and new ones are refused.
What was in progress then is the evidence, which all nodes share and judge in the same way.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

import trio

from knapweedhitch.boundedlog import BoundedLog
from knapweedhitch.clock import MS_PER_S
from knapweedhitch.exceptions import (
    Outcome,
    RequestQuarantined,
    SuspectWaits,
    UpstreamFailed,
    UpstreamShed,
    UpstreamTimedOut,
    UpstreamUnreachable,
)
from knapweedhitch.exchange import BodySource, CallSpec, ResponseSink
from knapweedhitch.identity import NO_BODY, IdentifiedBody, Identifier
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.model import CallResult, LoadSample, UpstreamEnd, UpstreamRecord, UpstreamState
from knapweedhitch.supervisor import OnFault
from knapweedhitch.suspects import RequestVerdict
from knapweedhitch.suspectsharing import SuspectSharing

# An upstream may close its connections some milliseconds before it stops to listen, so that a
# connection that is accepted is tried once more.
END_CHECK_GAP_S = 0.02
# A refusal of the local upstream comes at once. An address that does not answer must not delay the
# next attempt of the calls that failed there.
MAX_END_CHECK_S = 0.1

LoadSource = Callable[[], LoadSample | None]


@dataclasses.dataclass(frozen=True, slots=True)
class GuardKey:
    """Name what tells a request apart, at its entry node."""

    service: str
    route: str
    method: str
    target: bytes
    has_body: bool


@dataclasses.dataclass(slots=True, eq=False)
class GuardedRun:
    """Track one call at the local upstream."""

    body: BodySource
    head: bytes = b""
    has_body: bool = False
    # Whether the call holds the turn of suspects.
    has_turn: bool = False
    has_succeeded: bool = False

    @property
    def request(self) -> bytes | None:
        """Return the digest of the request, None while too little of its body was read."""
        if not self.has_body:
            return self.head + NO_BODY
        assert isinstance(self.body, IdentifiedBody)
        digest = self.body.digest
        return None if digest is None else self.head + digest


class Unguarded:
    """Let all calls pass, for nodes without the guard."""

    def __init__(self, pool: Any) -> None:
        self._pool = pool

    def refusal_of(self, key: GuardKey) -> RequestQuarantined | None:
        """Return None."""
        return None

    def is_watching(self, service: str) -> bool:
        """Return False."""
        return False

    async def admit(self, spec: CallSpec, body: BodySource) -> GuardedRun:
        """Return the run of a call."""
        return GuardedRun(body)

    def release(self, run: GuardedRun) -> None:
        """Do nothing."""

    async def exchange(
        self,
        run: GuardedRun,
        record: UpstreamRecord,
        spec: CallSpec,
        body: BodySource,
        sink: ResponseSink,
        load: LoadSource,
    ) -> CallResult:
        """Run the exchange."""
        result: CallResult = await self._pool.exchange(record.address, spec, body, sink, load)
        return result


@service("crashguard")
class CrashGuard:
    """Refuse quarantined requests, keep suspects apart and observe ends of the local upstream."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.suspects
        self._counters = kernel.get("counters")
        self._now_ms = kernel.get("timers").now_ms
        self.sharing: SuspectSharing = kernel.get("suspects")
        self.table = self.sharing.table
        self._running: dict[GuardedRun, UpstreamRecord] = {}
        self._checks: dict[tuple[str, int], trio.Event] = {}
        self._turn_holder: GuardedRun | None = None
        self._run_ended = trio.Event()

    async def start(self) -> None:
        """Look up the services that the guard uses."""
        secret: bytes = self._kernel.get("peers").secret
        self.identifier = Identifier(secret, self._cfg.identified_body_bytes)
        self._pool = self._kernel.get("pool")
        self._log = BoundedLog(self._kernel.cfg.log, self._counters, self._now_ms)

    async def stop(self) -> None:
        """Do nothing; calls end with their tasks."""

    def lift(self, request: bytes) -> bool:
        """Drop the evidence against a request at all nodes; return False if there is none."""
        if not self.table.is_accused(request):
            return False
        self.sharing.publish_cleared(request, "operator")
        return True

    # At the entry node

    def refusal_of(self, key: GuardKey) -> RequestQuarantined | None:
        """Return the refusal of a request without a body that is quarantined.

        A request with a body is judged at the node of its target, which reads the body anyway.
        """
        if key.has_body or self.table.is_empty:
            return None
        head = self.identifier.head(key.service, key.route, key.method, key.target)
        verdict = self.table.verdict(head + NO_BODY)
        return None if verdict is None else self._refusal(verdict)

    def is_watching(self, service: str) -> bool:
        """Return whether upstreams of the service have ended lately."""
        return self.table.has_ends_of(service)

    def _refusal(self, verdict: RequestVerdict) -> RequestQuarantined:
        self._counters.add("quarantined_refused")
        self._log.event(
            "quarantined_request_refused", request=verdict.request.hex(), service=verdict.service
        )
        refusal = RequestQuarantined(Outcome.NOT_RUN, verdict.request.hex())
        refusal.retry_after_ms = max(1.0, verdict.until_ms - self._now_ms())
        return refusal

    # At the node of the target

    async def admit(self, spec: CallSpec, body: BodySource) -> GuardedRun:
        """Return the run of a call once it may go on; raises RequestQuarantined, SuspectWaits."""
        run = GuardedRun(body, self.identifier.of_call(spec), spec.has_body)
        if spec.has_body:
            run.body = IdentifiedBody(body, self.identifier)
        if not self.table.knows_head(run.head):
            return run
        if isinstance(run.body, IdentifiedBody):
            await run.body.identify()
        request = run.request
        assert request is not None
        self._refuse_quarantined(request)
        if self.table.is_suspect(request):
            await self._wait_for_turn(run, request)
        return run

    def _refuse_quarantined(self, request: bytes) -> None:
        verdict = self.table.verdict(request)
        if verdict is not None:
            raise self._refusal(verdict)

    async def _wait_for_turn(self, run: GuardedRun, request: bytes) -> None:
        """Wait until no other suspect runs here, so that an end tells them apart."""
        with trio.move_on_after(self._cfg.turn_wait_ms / MS_PER_S):
            await self._take_turn(run)
        if not run.has_turn:
            self._counters.add("suspects_waited", "refused")
            raise SuspectWaits(Outcome.NOT_RUN)
        try:
            # The suspect before it may have ended the upstream or have shown its own guilt.
            self._refuse_quarantined(request)
        except RequestQuarantined:
            self.release(run)
            raise
        if not self.table.is_suspect(request):
            self.release(run)

    async def _take_turn(self, run: GuardedRun) -> None:
        while self._turn_holder is not None or self._has_running_suspect():
            await self._run_ended.wait()
        self._turn_holder = run
        run.has_turn = True

    def _has_running_suspect(self) -> bool:
        """Return whether a call in progress has become a suspect by an end elsewhere."""
        requests = (run.request for run in self._running)
        return any(request is not None and self.table.is_suspect(request) for request in requests)

    def _wake_waiting(self) -> None:
        self._run_ended.set()
        self._run_ended = trio.Event()

    def release(self, run: GuardedRun) -> None:
        """End the turn of a call that holds it."""
        if run.has_turn:
            run.has_turn = False
            self._turn_holder = None
            self._wake_waiting()

    async def exchange(
        self,
        run: GuardedRun,
        record: UpstreamRecord,
        spec: CallSpec,
        body: BodySource,
        sink: ResponseSink,
        load: LoadSource,
    ) -> CallResult:
        """Run the exchange and observe whether the upstream ends; raises CallerGone, Refusal."""
        self._running[run] = record
        try:
            result: CallResult = await self._pool.exchange(record.address, spec, body, sink, load)
        except UpstreamUnreachable:
            # Nothing of this call was in progress, but the end shows that upstreams crash.
            del self._running[run]
            await self._check_end(record)
            raise
        except UpstreamFailed as exc:
            if exc.outcome is Outcome.UNKNOWN and not isinstance(
                exc, (UpstreamShed, UpstreamTimedOut)
            ):
                await self._check_end(record)
            raise
        else:
            run.has_succeeded = result.ok
        finally:
            self._running.pop(run, None)
            if not self.table.is_empty:
                self._wake_waiting()
        if not self.table.is_empty:
            self._clear_after_success(run, result)
        return result

    def _clear_after_success(self, run: GuardedRun, result: CallResult) -> None:
        request = run.request
        if result.ok and request is not None and self.table.is_accused(request):
            self.sharing.publish_cleared(request, "succeeded")

    # Ends of the local upstream

    async def _check_end(self, record: UpstreamRecord) -> None:
        """Wait until it is known whether the upstream ended; the first call that fails asks."""
        # Some of its calls may have begun before its first heartbeat told the incarnation.
        record = self._newest_record(record)
        upstream = (record.instance_id, record.incarnation)
        if self.table.has_end(upstream):
            return
        done = self._checks.get(upstream)
        if done is None:
            done = self._checks[upstream] = trio.Event()
            in_progress = [
                run
                for run, at in self._running.items()
                if record.is_same_start(at.instance_id, at.incarnation)
            ]
            self._kernel.start_task(OnFault.END, self._observe_end, record, in_progress, done)
        await done.wait()

    async def _observe_end(
        self, record: UpstreamRecord, in_progress: list[GuardedRun], done: trio.Event
    ) -> None:
        try:
            if await self._refuses_connections(record) and self._is_in_use(record):
                self.sharing.publish_end(self._describe_end(record, in_progress))
        finally:
            del self._checks[record.instance_id, record.incarnation]
            done.set()

    async def _refuses_connections(self, record: UpstreamRecord) -> bool:
        with trio.move_on_after(MAX_END_CHECK_S):
            if await self._pool.refuses_connections(record.address):
                return True
            await trio.sleep(END_CHECK_GAP_S)
            refuses: bool = await self._pool.refuses_connections(record.address)
            return refuses
        return False

    def _newest_record(self, record: UpstreamRecord) -> UpstreamRecord:
        """Return the announced record of the same start, if there is one."""
        current: UpstreamRecord | None = self._kernel.get("announce").current
        if current is None or not current.is_same_start(record.instance_id, record.incarnation):
            return record
        return current

    def _is_in_use(self, record: UpstreamRecord) -> bool:
        """Return whether the upstream has not said that it leaves."""
        current = self._kernel.get("announce").current
        return (
            current is not None
            and current.state is UpstreamState.SERVING
            and current.is_same_start(record.instance_id, record.incarnation)
        )

    def _describe_end(self, record: UpstreamRecord, in_progress: list[GuardedRun]) -> UpstreamEnd:
        # The upstream may have completed some while its end was checked.
        known = [run.request for run in in_progress if not run.has_succeeded]
        requests = dict.fromkeys(request for request in known if request is not None)
        kept = tuple(requests)[: self._cfg.max_requests_per_end]
        unidentified = known.count(None) + len(requests) - len(kept)
        return UpstreamEnd(
            record.service, record.instance_id, record.incarnation, kept, unidentified
        )
