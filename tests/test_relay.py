"""Tests of one request by its route: attempts, what is told to the caller, and its end."""

from __future__ import annotations

import dataclasses
import functools
import unittest
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import trio
import trio.testing

from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import (
    NoRoom,
    Outcome,
    PeerFailed,
    Refusal,
    UpstreamFailed,
    UpstreamShed,
    UpstreamSlow,
)
from knapweedhitch.exchange import BodySource, CallSpec, ResponseSink
from knapweedhitch.framing import header_names
from knapweedhitch.http1 import ServerConnection
from knapweedhitch.items import ItemPatch, Items, merge
from knapweedhitch.kernel import Kernel
from knapweedhitch.model import Address, CallResult, Configuration, Target, UpstreamRecord
from knapweedhitch.pick import Picker
from knapweedhitch.relay import Relay
from knapweedhitch.retry import RetryPolicy
from knapweedhitch.settings import (
    CallerSettings,
    ControlMember,
    ControlSettings,
    HeaderSettings,
    NodeSettings,
    RoutingSettings,
    SecretSettings,
    Settings,
)
from knapweedhitch.timers import Timers
from tests.test_items import backend, route

HEADERS = HeaderSettings(request_id="x-id", deadline="x-deadline", caller_service="x-caller")
SAFE = route("safe", path_prefix="/safe/", timeout_ms=2_000.0)
PAID = route("paid", path_prefix="/paid/", idempotent=False, timeout_ms=2_000.0)
ITEMS = merge(Items(), ItemPatch((SAFE, PAID), (backend(),), None, (), ()))

Act = Callable[[CallSpec, ResponseSink], Awaitable[CallResult]]


async def answer(spec: CallSpec, sink: ResponseSink, status: int = 200) -> CallResult:
    sink.mark_dispatched()
    await sink.head(status, ((b"content-length", b"2"),), None)
    await sink.data(b"ok")
    await sink.end()
    return CallResult(ok=status < 500, service_ms=10.0, status=status)


def failing(refusal: Refusal) -> Act:
    async def act(spec: CallSpec, sink: ResponseSink) -> CallResult:
        raise refusal

    return act


async def hang(spec: CallSpec, sink: ResponseSink) -> CallResult:
    sink.mark_dispatched()
    await trio.sleep_forever()
    raise AssertionError


class World:
    """Hold one relay with faked targets; each act answers one attempt, in their order."""

    def __init__(self, acts: list[Act], items: Items = ITEMS, **routing: Any) -> None:
        self.acts = list(acts)
        self.seen: list[CallSpec] = []
        self.cancelled = 0
        cfg = Settings(
            node=NodeSettings(id="n0", domain="d1", service="shop"),
            secrets=SecretSettings("", ""),
            control=ControlSettings(members=(ControlMember("c1", "127.0.0.1", 1),)),
            headers=HEADERS,
            routing=RoutingSettings(retry_floor_per_s=0.0, **{"retry_ratio": 1.0, **routing}),
        )
        kernel = Kernel(cfg)
        self.counters = Counters()
        kernel.add("counters", self.counters)
        kernel.add("timers", Timers(kernel))
        self.config = SimpleNamespace(
            current=Configuration(version=1, items=items), may_serve=lambda: True
        )
        kernel.add("config", self.config)
        kernel.add("membership", self)
        kernel.add("picker", Picker(kernel))
        kernel.add("retry", RetryPolicy(kernel))
        kernel.add("announce", SimpleNamespace(current=None))
        kernel.add("admission", SimpleNamespace(load=lambda: None))
        kernel.add("gate", self)
        kernel.add("forward", self)
        self.relay = Relay(kernel)

    def targets(self, service: str) -> tuple[Target, ...]:
        return tuple(
            Target(f"n{i}", "d1", UpstreamRecord(service, Address("10.0.0.1", i), 5, 9, f"i{i}", 1))
            for i in range(1, 4)
        )

    async def execute(
        self, node_id: str, spec: CallSpec, body: BodySource, sink: ResponseSink
    ) -> CallResult:
        self.seen.append(spec)
        act = self.acts.pop(0) if self.acts else answer
        while await body.receive() is not None:
            pass
        try:
            return await act(spec, sink)
        except trio.Cancelled:
            self.cancelled += 1
            raise

    async def ask(self, path: str, method: str = "GET", headers: str = "") -> bytes:
        """Return the whole answer to one request."""
        mine, theirs = trio.testing.memory_stream_pair()
        conn = ServerConnection(theirs, CallerSettings(), header_names(HEADERS))
        head = f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Id: r1\r\n{headers}\r\n"
        await mine.send_all(head.encode("ascii"))
        parsed = await conn.receive_head()
        assert parsed is not None
        await self.relay.handle(conn, parsed)
        with trio.move_on_after(0.01):
            return bytes(await mine.receive_some(65_536))
        return b""


def played(fn: Callable[[Any], Awaitable[None]]) -> Callable[[Any], None]:
    @functools.wraps(fn)
    def run(self: Any) -> None:
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(fn, self, clock=clock)

    return run


async def started(acts: list[Act], **fields: Any) -> World:
    world = World(acts, **fields)
    await world.relay.start()
    return world


class AttemptTest(unittest.TestCase):
    @played
    async def test_refused_places_are_passed_over(self) -> None:
        """Guards against a refusal to the caller while another target has room."""
        world = await started([failing(NoRoom()), failing(PeerFailed(Outcome.NOT_RUN))])
        data = await world.ask("/paid/x", "POST", "Content-Length: 0\r\n")
        self.assertTrue(data.startswith(b"HTTP/1.1 200"))
        self.assertEqual(len({spec.instance_id for spec in world.seen}), 3)

    @played
    async def test_request_that_may_have_run_is_not_sent_again(self) -> None:
        """Guards against a deposit that runs twice."""
        world = await started([failing(UpstreamFailed(Outcome.UNKNOWN))])
        data = await world.ask("/paid/x", "POST", "Content-Length: 0\r\n")
        self.assertTrue(data.startswith(b"HTTP/1.1 502"))
        self.assertEqual(len(world.seen), 1)

    @played
    async def test_lookup_is_tried_at_another_target(self) -> None:
        """Guards against a failure to the caller of a lookup that another target can answer."""
        world = await started([failing(UpstreamFailed(Outcome.UNKNOWN))])
        self.assertTrue((await world.ask("/safe/x")).startswith(b"HTTP/1.1 200"))

    @played
    async def test_upstreams_that_shed_count_as_attempts(self) -> None:
        """Guards against one request at more upstreams than its route allows."""
        world = await started([failing(UpstreamShed()) for _ in range(4)])
        data = await world.ask("/safe/x")
        self.assertTrue(data.startswith(b"HTTP/1.1 503"))
        self.assertEqual(len(world.seen), SAFE.max_attempts)

    @played
    async def test_budget_bounds_second_attempts(self) -> None:
        """Guards against retries that double the load of a service in trouble."""
        world = await started(
            [failing(UpstreamFailed(Outcome.UNKNOWN)) for _ in range(60)], retry_ratio=0.1
        )
        for _ in range(40):
            await world.ask("/safe/x")
        self.assertLessEqual(len(world.seen), 44)

    @played
    async def test_only_two_targets_may_decline_for_their_slowdown(self) -> None:
        """Guards against a call that wanders between upstreams that are all slow."""
        world = await started([failing(UpstreamSlow()), failing(UpstreamSlow()), failing(NoRoom())])
        self.assertTrue((await world.ask("/safe/x")).startswith(b"HTTP/1.1 200"))
        limits = [spec.decline_above for spec in world.seen]
        self.assertLess(max(limits[:2]), 10.0)
        self.assertEqual(limits[2:], [float("inf")] * 2)

    @played
    async def test_no_target_declines_after_one_without_room(self) -> None:
        """Guards against calls that wander between upstreams while all of them are full."""
        world = await started([failing(NoRoom()), failing(NoRoom())])
        self.assertTrue((await world.ask("/safe/x")).startswith(b"HTTP/1.1 200"))
        limits = [spec.decline_above for spec in world.seen]
        self.assertEqual(limits[1:], [float("inf")] * 2)

    @played
    async def test_answered_failure_is_passed_on_when_no_other_target_has_room(self) -> None:
        """Guards against our own failure in place of the answer that an upstream gave."""
        bad = functools.partial(answer, status=500)
        world = await started([bad, failing(NoRoom()), failing(NoRoom())])
        data = await world.ask("/safe/x")
        self.assertTrue(data.startswith(b"HTTP/1.1 500"))
        self.assertIn(b"\r\n\r\nok", data)

    @played
    async def test_spec_carries_what_the_gate_decides_by(self) -> None:
        """Guards against a call whose caller, kind or time left is lost on its way."""
        world = await started([])
        await world.ask("/paid/x", "POST", "X-Deadline: 500\r\nX-Caller: liar\r\n")
        spec = world.seen[0]
        self.assertEqual((spec.caller_service, spec.idempotent), ("shop", False))
        self.assertEqual((spec.route, spec.request_id), ("paid", "r1"))
        self.assertNotIn(b"x-caller", dict(spec.headers))


class AnswerTest(unittest.TestCase):
    @played
    async def test_statuses_promise_only_what_is_known(self) -> None:
        """Guards against `not run` for a request that may have run, and the reverse."""
        cases = [
            (NoRoom(), 503),
            (PeerFailed(Outcome.NOT_RUN), 503),
            (NoRoom(Outcome.UNKNOWN), 502),
            (PeerFailed(Outcome.UNKNOWN), 502),
        ]
        for refusal, status in cases:
            world = await started([failing(refusal) for _ in range(4)])
            data = await world.ask("/paid/x", "POST", "Content-Length: 0\r\n")
            with self.subTest(str(refusal)):
                self.assertTrue(data.startswith(b"HTTP/1.1 %d" % status))
                self.assertEqual(b"retry-after:" in data, status == 503)

    @played
    async def test_unknown_configuration_is_no_missing_route(self) -> None:
        """Guards against 404 from a node that has learnt no configuration yet."""
        world = await started([], items=Items())
        self.assertTrue((await world.ask("/safe/x")).startswith(b"HTTP/1.1 503"))
        self.assertFalse(world.relay.is_ready)
        known = await started([])
        self.assertTrue((await known.ask("/none/x")).startswith(b"HTTP/1.1 404"))

    @played
    async def test_route_ends_a_request_at_its_timeout(self) -> None:
        """Guards against a caller that is kept waiting longer than operators want."""
        world = await started([hang])
        began_s = trio.current_time()
        data = await world.ask("/paid/x", "POST", "Content-Length: 0\r\n")
        self.assertTrue(data.startswith(b"HTTP/1.1 504"))
        self.assertLess(trio.current_time() - began_s, 2.1)
        self.assertEqual(world.cancelled, 1)

    @played
    async def test_caller_that_leaves_ends_the_work(self) -> None:
        """Guards against upstreams that work for callers who have gone."""
        world = await started([hang])
        mine, theirs = trio.testing.memory_stream_pair()
        conn = ServerConnection(theirs, CallerSettings(), header_names(HEADERS))
        await mine.send_all(b"GET /safe/x HTTP/1.1\r\nHost: h.example\r\n\r\n")
        head = await conn.receive_head()
        assert head is not None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.relay.handle, conn, head)
            await trio.sleep(0.2)
            await mine.aclose()
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(world.cancelled, 1)


class RouteChangeTest(unittest.TestCase):
    @played
    async def test_new_items_are_used_at_once(self) -> None:
        """Guards against a table of routes that outlives its configuration."""
        world = await started([])
        moved = dataclasses.replace(SAFE, version=9, path_prefix="/moved/", document="moved")
        items = merge(ITEMS, ItemPatch((moved,), (), None, (), ()))
        await world.ask("/safe/x")
        world.config.current = Configuration(version=2, items=items)
        self.assertTrue((await world.ask("/safe/x")).startswith(b"HTTP/1.1 404"))
        self.assertTrue((await world.ask("/moved/x")).startswith(b"HTTP/1.1 200"))
