"""Tests of calls through another node."""

from __future__ import annotations

import dataclasses
import math
import unittest
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import logbook
import trio
import trio.testing

from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import (
    BodyTimeout,
    CallerGone,
    DeadlineExceeded,
    Outcome,
    PeerFailed,
    QueueFull,
    Refusal,
    UpstreamFailed,
)
from knapweedhitch.exchange import BodySource, CallSpec, Headers, ResponseSink
from knapweedhitch.forward import Forward, _whole_ms
from knapweedhitch.handlers import fail_frame
from knapweedhitch.messages import OpenStream, StreamHead
from knapweedhitch.model import CallResult, LoadSample, Warmth
from knapweedhitch.settings import LogSettings
from knapweedhitch.streams import PeerStream
from tests.fake_net import MemoryNet, Node, running_nodes
from tests.test_peers import link_of, run_on_mock_clock

LOAD = LoadSample(1, 2, 3, 4.0, Warmth.WARM)
GateFunction = Callable[[CallSpec, BodySource, Any], Awaitable[CallResult]]
RESULT = CallResult(True, 1.5, 200)


class FakeGate:
    """Run a function in place of a gate."""

    def __init__(self, fn: GateFunction) -> None:
        self.fn = fn
        self.dispatched = 0

    async def execute(
        self, node_id: str, spec: CallSpec, body: BodySource, sink: ResponseSink
    ) -> CallResult:
        return await self.fn(spec, body, sink)

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


class FakeServices:
    """Replace admission and picker."""

    def __init__(self) -> None:
        self.observed: list[tuple[str, LoadSample]] = []

    def load(self) -> LoadSample:
        return LOAD

    def observe(self, instance_id: str, sample: LoadSample) -> None:
        self.observed.append((instance_id, sample))

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


class Body:
    """Return the given chunks of a request body; an exception among them is raised."""

    def __init__(self, *chunks: bytes | Exception) -> None:
        self.chunks = list(chunks)

    async def receive(self) -> bytes | None:
        await trio.lowlevel.checkpoint()
        if not self.chunks:
            return None
        chunk = self.chunks.pop(0)
        if isinstance(chunk, Exception):
            await trio.sleep(0.01)
            raise chunk
        return chunk


class Sink:
    """Record a response."""

    def __init__(self) -> None:
        self.events: list[Any] = []
        self.body = b""

    def mark_dispatched(self) -> None:
        """Do nothing."""

    async def informational(self, status: int, headers: Headers) -> None:
        self.events.append(status)

    async def head(self, status: int, headers: Headers, load: LoadSample | None) -> None:
        self.events.append((status, headers, load))

    async def data(self, data: bytes) -> None:
        self.body += data

    async def end(self) -> None:
        self.events.append("end")


def make_spec(has_body: bool = False, deadline_ms: float = 1_000) -> CallSpec:
    """Return the specification of a call."""
    return CallSpec(
        "r", "s", "i", "POST", b"/", (), has_body, Deadline.after_ms(deadline_ms), 1, 1, 1
    )


async def dispatch(sink: Any) -> None:
    """Do what a gate does right before it sends a call to the upstream."""
    sink.mark_dispatched()
    await trio.lowlevel.checkpoint()


async def respond(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
    """Respond with the request body."""
    await dispatch(sink)
    await sink.informational(103, ((b"link", b"x"),))
    chunks = []
    if call.has_body:
        while (chunk := await body.receive()) is not None:
            chunks.append(chunk)
    await sink.head(200, ((b"a", b"b"),), None)
    for chunk in chunks:
        await sink.data(chunk)
    await sink.end()
    return RESULT


def install(fn: GateFunction, services: FakeServices | None = None) -> Callable[[Node], None]:
    """Return a function that adds gate and forward to a node."""

    def prepare(node: Node) -> None:
        shared = services or FakeServices()
        node.add("admission", shared)
        node.add("picker", shared)
        node.add("gate", FakeGate(fn))
        node.add("forward", Forward(node.kernel))

    return prepare


async def execute(node: Node, call: CallSpec, body: Any = None, sink: Any = None) -> Any:
    """Run a call on n1 and return its result or refusal."""
    try:
        return await node.kernel.get("forward").execute("n1", call, body or Body(), sink or Sink())
    except (Refusal, CallerGone) as exc:
        return exc


async def silence(node: Node, from_s: float, to_s: float, peer_id: str = "n0") -> None:
    """Drop what a node sends to a peer for some seconds."""
    await trio.sleep(from_s)
    wire = link_of(node, peer_id)._wire
    wire.silent = True
    await trio.sleep(to_s - from_s)
    wire.silent = False


async def delay(node: Node, from_s: float, delay_s: float) -> None:
    """Delay what a node sends to n0 from some time on; what is under way at a close is lost."""
    await trio.sleep(from_s)
    link_of(node, "n0")._wire.delay_s = delay_s


class ForwardTest(unittest.TestCase):
    def assert_refused(self, result: Any, cls: type[Refusal], outcome: Outcome) -> None:
        """Check type and outcome of a refusal."""
        self.assertIsInstance(result, cls)
        self.assertIs(result.outcome, outcome)

    @run_on_mock_clock
    async def test_request_and_response_pass_unchanged(self) -> None:
        """Guards against a request or response that is changed in transit."""
        services = FakeServices()
        async with running_nodes(2, prepare=install(respond, services)) as (a, _):
            sink = Sink()
            chunks = [bytes([i]) * 70_000 for i in range(12)]
            self.assertEqual(await execute(a, make_spec(True), Body(*chunks), sink), RESULT)
            self.assertEqual(sink.body, b"".join(chunks))
            self.assertEqual(sink.events, [103, (200, ((b"a", b"b"),), LOAD), "end"])
            self.assertEqual(services.observed, [("i", LOAD)] * 2)
            self.assertGreater(a.counters.get("peer_bytes_out", "payload"), 840_000)

    @run_on_mock_clock
    async def test_status_outside_http_from_another_node_is_refused(self) -> None:
        """Guards against a number that is no status of HTTP and passes through an older node."""

        async def respond_oddly(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            await dispatch(sink)
            await sink.head(600, (), None)
            return RESULT

        async with running_nodes(2, prepare=install(respond_oddly)) as (a, _):
            self.assert_refused(await execute(a, make_spec()), PeerFailed, Outcome.UNKNOWN)

    def test_remaining_times_are_rounded_down(self) -> None:
        """Guards against a deadline that grows on its way, and a call without one that fails."""
        for value, expected in ((999.9, 999), (0.4, 0), (math.inf, math.inf)):
            self.assertEqual(_whole_ms(value), expected)

    @run_on_mock_clock
    async def test_refusals_keep_reason_and_outcome(self) -> None:
        """Guards against a refusal of the target whose type or outcome is changed in transit."""
        cases: list[Refusal] = [
            QueueFull(Outcome.NOT_RUN, "x"),
            UpstreamFailed(Outcome.UNKNOWN),
        ]
        for refusal in cases:

            async def refuse(
                call: CallSpec, body: BodySource, sink: Any, refusal: Refusal = refusal
            ) -> CallResult:
                raise refusal

            async with running_nodes(2, prepare=install(refuse)) as (a, _):
                result = await execute(a, make_spec())
                self.assert_refused(result, type(refusal), refusal.outcome)
                self.assertEqual(result.detail, refusal.detail)

    @run_on_mock_clock
    async def test_not_run_after_a_response_head_becomes_unknown(self) -> None:
        """Guards against a target of another version that reports not-run after a response head."""

        async def send_not_run_after_head(
            node_id: str, opening: OpenStream, stream: PeerStream
        ) -> None:
            stream.put(StreamHead(stream.stream_id, 200, (), None))
            stream.put(fail_frame(stream.stream_id, UpstreamFailed(Outcome.NOT_RUN)))

        async with running_nodes(2, prepare=install(respond)) as (a, b):
            b.peers._handlers._stream_handler = send_not_run_after_head
            self.assert_refused(await execute(a, make_spec()), UpstreamFailed, Outcome.UNKNOWN)

    @run_on_mock_clock
    async def test_exception_in_the_gate_gives_outcome_unknown(self) -> None:
        """Guards against an exception in the gate that ends the process or looks like not-run."""

        async def raise_untyped(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            raise ZeroDivisionError

        async with running_nodes(2, prepare=install(raise_untyped)) as (a, _):
            for _ in range(2):
                self.assert_refused(await execute(a, make_spec()), Refusal, Outcome.UNKNOWN)

    @run_on_mock_clock
    async def test_deadline_during_the_body_does_not_cut_the_response(self) -> None:
        """Guards against a response over a link that is cut at its deadline although it arrives."""

        async def send_slowly(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            await dispatch(sink)
            await sink.head(200, (), None)
            await trio.sleep(1.2)
            await sink.data(b"late")
            await sink.end()
            return RESULT

        async with running_nodes(2, prepare=install(send_slowly)) as (a, _):
            sink = Sink()
            self.assertEqual(await execute(a, make_spec(), sink=sink), RESULT)
            self.assertEqual(sink.body, b"late")

    @run_on_mock_clock
    async def test_silent_target_at_the_deadline_gives_outcome_unknown(self) -> None:
        """Guards against an unanswered cancel that is reported as not run."""

        async def ignore_cancel(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            with trio.CancelScope(shield=True):
                await trio.sleep(10)
            raise AssertionError

        async with running_nodes(2, prepare=install(ignore_cancel)) as (a, _):
            start_s = trio.current_time()
            result = await execute(a, make_spec(deadline_ms=50))
            self.assert_refused(result, DeadlineExceeded, Outcome.UNKNOWN)
            self.assertLess(trio.current_time() - start_s, 0.4)

    @run_on_mock_clock
    async def test_call_that_a_slow_link_delivers_late_is_never_said_to_be_not_run(self) -> None:
        """Guards against a call that runs after its caller was told that it did not."""
        runs: list[float] = []
        remaining_ms: list[float] = []

        async def record(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            runs.append(trio.current_time())
            remaining_ms.append(call.deadline.remaining_ms())
            await dispatch(sink)
            await trio.sleep(5.0)
            return await respond(call, body, sink)

        async with running_nodes(2, prepare=install(record)) as (a, b):
            await execute(a, make_spec(deadline_ms=10))
            runs.clear()
            await trio.sleep(1.0)
            for node, peer in ((a, "n1"), (b, "n0")):
                link_of(node, peer)._wire.delay_s = 1.0
            began_s = trio.current_time()
            result = await execute(a, make_spec(deadline_ms=300))
            self.assert_refused(result, DeadlineExceeded, Outcome.UNKNOWN)
            self.assertEqual(runs, [])
            await trio.sleep(1.5)
            self.assertEqual([round(at_s - began_s, 3) for at_s in runs], [1.0])
            # The cancel follows the call as far behind as the caller gave up.
            self.assertEqual(b.counters.get("forward_cancelled", "unknown"), 2)
            # A gate refuses a call without time left, so that it does not run any more.
            self.assertEqual(remaining_ms[1], 0.0)

    @run_on_mock_clock
    async def test_way_of_a_call_counts_against_its_deadline(self) -> None:
        """Guards against a target that works on a call after its deadline, because the link turned
        slow or its node was paused; the way is known to 100 ms.
        """
        deadlines: list[Deadline] = []

        async def record(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            deadlines.append(call.deadline)
            return await respond(call, body, sink)

        async with running_nodes(2, prepare=install(record)) as (a, _):
            await execute(a, make_spec())
            for delay_s in (0.0, 0.05, 0.6, 0.6, 0.0):
                link_of(a, "n1")._wire.delay_s = delay_s
                call = make_spec(deadline_ms=1_000)
                self.assertEqual(await execute(a, call), RESULT)
                late_s = deadlines[-1].at_s - call.deadline.at_s
                self.assertGreaterEqual(late_s, 0.0)
                self.assertLessEqual(late_s, 0.11)
                await trio.sleep(0.25)

    @run_on_mock_clock
    async def test_time_to_connect_counts_against_the_deadline(self) -> None:
        """Guards against a target that works on a call for as long after its deadline as its node
        took to connect.
        """
        deadlines: list[Deadline] = []

        async def record(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            deadlines.append(call.deadline)
            return await respond(call, body, sink)

        net = MemoryNet(connect_s=0.4)
        async with running_nodes(2, net, prepare=install(record)) as (a, _):
            call = make_spec(deadline_ms=1_000)
            self.assertEqual(await execute(a, call), RESULT)
            self.assertAlmostEqual(deadlines[0].at_s, call.deadline.at_s, delta=0.001)

    @run_on_mock_clock
    async def test_call_at_a_silent_node_is_given_up_only_for_a_retry(self) -> None:
        """Guards against breaking off a run that another attempt cannot replace, because its node
        is starved of processor time for a moment: in a planned stop, or without retry budget.
        """

        async def run_slowly(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            await dispatch(sink)
            await trio.sleep(2.4)
            return await respond(call, body, sink)

        for may_retry, stopping, given_up in (
            (True, False, True),
            (False, False, False),
            (True, True, False),
        ):
            async with running_nodes(2, prepare=install(run_slowly)) as (a, b):
                a.add("retry", SimpleNamespace(has_budget=lambda name, may=may_retry: may))
                a.add("drain", SimpleNamespace(active=stopping))
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(silence, b, 0.1, 2.2)
                    spec = dataclasses.replace(make_spec(deadline_ms=5_000), idempotent=True)
                    result = await execute(a, spec)
                with self.subTest(may_retry=may_retry, stopping=stopping):
                    if given_up:
                        self.assert_refused(result, PeerFailed, Outcome.UNKNOWN)
                    else:
                        self.assertEqual(result, RESULT)

    @run_on_mock_clock
    async def test_call_at_a_silent_node_goes_on_while_another_attempt_runs(self) -> None:
        """Guards against a call that is given up before another attempt has responded."""

        async def run_slowly(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            await dispatch(sink)
            await trio.sleep(2.4)
            return await respond(call, body, sink)

        noticed_s: list[float] = []
        async with (
            running_nodes(2, prepare=install(run_slowly)) as (a, b),
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(silence, b, 0.1, 2.2)
            spec = dataclasses.replace(
                make_spec(deadline_ms=5_000),
                idempotent=True,
                on_silence=lambda: noticed_s.append(trio.current_time()),
            )
            self.assertEqual(await execute(a, spec), RESULT)
        self.assertEqual(len(noticed_s), 1)

    @run_on_mock_clock
    async def test_silent_upstream_is_reported_and_its_call_goes_on(self) -> None:
        """Guards against a call that another node breaks off while its upstream works on it, and
        against an entry node that learns of a silent upstream only at the deadline.
        """

        async def report_silence(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            await dispatch(sink)
            await trio.sleep(12)
            assert call.on_silence is not None
            call.on_silence()
            await trio.sleep(12)
            return await respond(call, body, sink)

        noticed_s: list[float] = []
        async with running_nodes(2, prepare=install(report_silence)) as (a, _):
            start_s = trio.current_time()
            for on_silence in (lambda: noticed_s.append(trio.current_time() - start_s), None):
                spec = dataclasses.replace(
                    make_spec(deadline_ms=30_000), idempotent=True, on_silence=on_silence
                )
                self.assertEqual(await execute(a, spec), RESULT)
        self.assertEqual([round(s) for s in noticed_s], [12])

    @run_on_mock_clock
    async def test_call_on_a_link_that_rested_is_not_given_up(self) -> None:
        """Guards against a call that fails as peer-failed the moment it is sent, since its link was
        unused for a while and so had a slower heartbeat.
        """

        async def run_slowly(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            await trio.sleep(1.0)
            return await respond(call, body, sink)

        async with running_nodes(2, prepare=install(run_slowly)) as (a, _):
            # The last ones begin at all phases of the check of the heartbeat.
            for rest_s in (5.0, 12.0, 17.0, 24.0, 40.0, *(20.0 + 0.04 * i for i in range(10))):
                await trio.sleep(rest_s)
                spec = dataclasses.replace(make_spec(deadline_ms=5_000), idempotent=True)
                self.assertEqual(await execute(a, spec), RESULT)

    @run_on_mock_clock
    async def test_run_at_a_node_that_is_silent_for_a_while_is_kept(self) -> None:
        """Guards against a run that is given up, and broken off at its upstream, because its node
        got no processor time for some heartbeats.
        """

        async def run_slowly(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            await dispatch(sink)
            await trio.sleep(6.0)
            return await respond(call, body, sink)

        async with running_nodes(2, prepare=install(run_slowly)) as (a, b):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(silence, b, 0.1, 5.0)
                self.assertEqual(await execute(a, make_spec(deadline_ms=20_000)), RESULT)
            # The next call uses a new link; the old one closes once it is idle.
            self.assertEqual(await execute(a, make_spec(deadline_ms=20_000)), RESULT)
            self.assertEqual(a.counters.get("peer_links_opened"), 2)
            self.assertEqual((len(a.peers._links), len(b.peers._links)), (1, 1))

    @run_on_mock_clock
    async def test_run_for_an_entry_node_that_is_silent_for_a_while_is_kept(self) -> None:
        """Guards against a run that is broken off at its upstream, or whose result is dropped,
        because its entry node got no processor time for some heartbeats.
        """
        for run_s in (4.0, 6.0):

            async def run_slowly(
                call: CallSpec, body: BodySource, sink: Any, run_s: float = run_s
            ) -> CallResult:
                await dispatch(sink)
                await trio.sleep(run_s)
                return await respond(call, body, sink)

            async with running_nodes(2, prepare=install(run_slowly)) as (a, b):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(silence, a, 0.1, 5.0, "n1")
                    nursery.start_soon(delay, b, 0.1, 2.0)
                    self.assertEqual(await execute(a, make_spec(deadline_ms=20_000)), RESULT)
                self.assertEqual(await execute(a, make_spec(deadline_ms=20_000)), RESULT)
                self.assertEqual((len(a.peers._links), len(b.peers._links)), (1, 1))

    @run_on_mock_clock
    async def test_call_of_a_silent_entry_node_that_waits_is_not_run(self) -> None:
        """Guards against a call that waits at its target, is ended because its entry node is silent
        and counts as one that may have run.
        """

        async def wait(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            await trio.sleep_forever()
            raise AssertionError

        async with (
            running_nodes(2, prepare=install(wait)) as (a, b),
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(silence, a, 0.1, 4.0, "n1")
            nursery.start_soon(delay, b, 0.1, 2.0)
            result = await execute(a, make_spec(deadline_ms=20_000))
            self.assert_refused(result, PeerFailed, Outcome.NOT_RUN)
            self.assertEqual(b.counters.get("forward_cancelled", "not-run"), 1)

    @run_on_mock_clock
    async def test_node_that_is_not_heard_uses_another_link(self) -> None:
        """Guards against calls that a node goes on sending over a link that is cut in its direction
        only, while the other node keeps the link for the streams on it.
        """

        async def run(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            await dispatch(sink)
            if call.request_id == "slow":
                await trio.sleep(30.0)
            return await respond(call, body, sink)

        async with (
            running_nodes(2, prepare=install(run)) as (a, b),
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(silence, b, 0.1, 1_000.0)
            slow = dataclasses.replace(make_spec(deadline_ms=60_000), request_id="slow")
            nursery.start_soon(execute, a, slow)
            await trio.sleep(4.0)
            self.assertEqual(a.counters.get("peer_links_silent"), 1)
            call = make_spec(deadline_ms=2_000)
            forward = b.kernel.get("forward")
            self.assertEqual(await forward.execute("n0", call, Body(), Sink()), RESULT)
            nursery.cancel_scope.cancel()

    @run_on_mock_clock
    async def test_run_for_an_entry_node_that_is_gone_ends(self) -> None:
        """Guards against work that goes on without end for an entry node that is gone."""
        stopped = trio.Event()

        async def hang(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            await dispatch(sink)
            try:
                await trio.sleep_forever()
            finally:
                stopped.set()
            raise AssertionError

        async with (
            running_nodes(2, prepare=install(hang)) as (a, _),
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(silence, a, 0.1, 1_000.0, "n1")
            nursery.start_soon(execute, a, make_spec(deadline_ms=60_000))
            with trio.fail_after(13.5):
                await stopped.wait()
            nursery.cancel_scope.cancel()

    @run_on_mock_clock
    async def test_run_at_a_node_that_is_gone_is_given_up(self) -> None:
        """Guards against a caller that waits for its whole deadline for a node that is gone."""

        async def hang(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            await dispatch(sink)
            await trio.sleep_forever()
            raise AssertionError

        async with (
            running_nodes(2, prepare=install(hang)) as (a, b),
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(silence, b, 0.1, 1_000.0)
            started_s = trio.current_time()
            result = await execute(a, make_spec(deadline_ms=60_000))
            self.assert_refused(result, PeerFailed, Outcome.UNKNOWN)
            self.assertLess(trio.current_time() - started_s, 13.5)
            nursery.cancel_scope.cancel()

    @run_on_mock_clock
    async def test_pause_of_the_own_process_is_no_silence_of_a_node(self) -> None:
        """Guards against giving up calls and links for the silence of a node, when it was the own
        process that got no processor time and so read nothing.
        """

        async def run_slowly(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            await trio.sleep(20.0)
            return await respond(call, body, sink)

        async def pause(clock: trio.testing.MockClock) -> None:
            for pause_s in (1.0, 1.7, 3.0):
                await trio.sleep(2.0)
                clock.jump(pause_s)

        clock = trio.lowlevel.current_clock()
        async with (
            running_nodes(2, prepare=install(run_slowly)) as (a, _),
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(pause, clock)
            spec = dataclasses.replace(make_spec(deadline_ms=30_000), idempotent=True)
            self.assertEqual(await execute(a, spec), RESULT)

    @run_on_mock_clock
    async def test_cancel_concurrent_with_the_dispatch(self) -> None:
        """Guards against not-run for a call that is dispatched at the moment of its cancel."""
        for delay_ms in (49.0, 49.9, 50.0, 50.1, 51.0, 60.0):
            for steps in range(4):
                dispatched: list[str] = []

                async def dispatch_near_deadline(
                    call: CallSpec,
                    body: BodySource,
                    sink: Any,
                    delay_ms: float = delay_ms,
                    steps: int = steps,
                    dispatched: list[str] = dispatched,
                ) -> CallResult:
                    await trio.sleep(delay_ms / 1_000)
                    for _ in range(steps):
                        await trio.lowlevel.checkpoint()
                    sink.mark_dispatched()
                    dispatched.append("upstream")
                    await trio.sleep(10)
                    raise AssertionError

                async with running_nodes(2, prepare=install(dispatch_near_deadline)) as (a, _):
                    result = await execute(a, make_spec(deadline_ms=50))
                    await trio.sleep(1)
                    if result.outcome is Outcome.NOT_RUN:
                        self.assertEqual(dispatched, [])
                    if not dispatched:
                        self.assert_refused(result, DeadlineExceeded, Outcome.NOT_RUN)

    @run_on_mock_clock
    async def test_cancelled_caller_stops_the_target(self) -> None:
        """Guards against work that continues at the target after the caller has gone."""
        stopped = trio.Event()

        async def hang(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            try:
                await trio.sleep_forever()
            finally:
                stopped.set()
            raise AssertionError

        async with running_nodes(2, prepare=install(hang)) as (a, b):
            with trio.move_on_after(0.1) as scope:
                await execute(a, make_spec())
            self.assertTrue(scope.cancelled_caught)
            self.assertTrue(stopped.is_set())
            self.assertEqual(b.counters.get("forward_cancelled", "not-run"), 1)
            self.assertEqual(len(link_of(a, "n1")._streams), 0)

    @run_on_mock_clock
    async def test_lost_link_is_logged_at_both_ends(self) -> None:
        """Guards against an attempt that ends as peer-failed while no log line tells why, or which
        requests a closed link cut.
        """

        async def respond_in_part(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            await dispatch(sink)
            await sink.head(200, (), None)
            await sink.data(b"x" * 100)
            await trio.sleep_forever()
            raise AssertionError

        async with running_nodes(2, prepare=install(respond_in_part)) as (a, b):
            with logbook.TestHandler().applicationbound() as handler:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(execute, a, make_spec())
                    await trio.sleep(0.1)
                    link_of(b, "n0").close("test")
            lines = [record.message for record in handler.records]
        for start in (
            'event=link_closed peer=n0 detail="peer=n0 test" dialled=0 streams=1',
            'event=forward_failed id=r peer=n1 outcome=unknown head=1 bytes=100 detail="peer=n1 ',
            "event=forwarded_call_ended id=r peer=n0 dispatched=1 head=1 bytes=100 detail=",
        ):
            self.assertEqual([line.startswith(start) for line in lines].count(True), 1, lines)

    @run_on_mock_clock
    async def test_event_lines_are_bounded(self) -> None:
        """Guards against a failing peer that floods the log, and lines dropped without a count."""
        log = LogSettings(max_lines_per_s=2)
        async with running_nodes(1, prepare=install(respond), log=log) as (a,):
            with logbook.TestHandler().applicationbound() as handler:
                for _ in range(5):
                    self.assert_refused(await execute(a, make_spec()), PeerFailed, Outcome.NOT_RUN)
            self.assertEqual(len(handler.records), 2)
            self.assertEqual(a.counters.get("log_lines_dropped"), 3)

    @run_on_mock_clock
    async def test_failed_request_body_takes_the_outcome_of_the_target(self) -> None:
        """Guards against a truncated request body that reaches the upstream as a complete one."""
        received: list[object] = []

        async def read_body(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            await dispatch(sink)
            while (chunk := await body.receive()) is not None:
                received.append(chunk)
            received.append("whole")
            return RESULT

        async with running_nodes(2, prepare=install(read_body)) as (a, _):
            result = await execute(a, make_spec(True), Body(b"x", BodyTimeout()))
            self.assert_refused(result, BodyTimeout, Outcome.UNKNOWN)
            result = await execute(a, make_spec(True), Body(b"y", CallerGone("gone")))
            self.assertIsInstance(result, CallerGone)
            await trio.sleep(0.1)
            self.assertEqual(received, [b"x", b"y"])

    @run_on_mock_clock
    async def test_response_may_precede_the_end_of_the_request_body(self) -> None:
        """Guards against an early response that waits for a request body that nobody reads."""

        async def respond_early(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            await dispatch(sink)
            await sink.head(413, (), None)
            await sink.end()
            return CallResult(True, 1.0, 413)

        async with running_nodes(2, prepare=install(respond_early)) as (a, _):
            result = await execute(a, make_spec(True), Body(*[b"x" * 60_000] * 20))
            self.assertEqual(result.status, 413)

    @run_on_mock_clock
    async def test_failing_sink_cancels_the_stream(self) -> None:
        """Guards against a stream that stays open after a failure to write to the caller."""

        class BrokenSink(Sink):
            async def data(self, data: bytes) -> None:
                raise CallerGone("gone")

        async with running_nodes(2, prepare=install(respond)) as (a, b):
            result = await execute(a, make_spec(True), Body(*[b"x" * 60_000] * 20), BrokenSink())
            self.assertIsInstance(result, CallerGone)
            await trio.sleep(0.5)
            self.assertEqual(len(link_of(a, "n1")._streams), 0)
            self.assertEqual(len(link_of(b, "n0")._streams), 0)
