"""Tests of what a response states about its request, and what follows from it on each path."""

from __future__ import annotations

import unittest
from typing import Any

import trio
import trio.testing
from msgspec import structs

from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import Outcome, UnprovenRefusal, UpstreamNotRun, UpstreamUnproven
from knapweedhitch.exchange import BodySource, CallSpec, ResponseSink
from knapweedhitch.framing import header_names
from knapweedhitch.http1_client import ClientConnection
from knapweedhitch.items import CustomerItem
from knapweedhitch.kernel import Kernel
from knapweedhitch.model import Address, CallResult
from knapweedhitch.payload import NoBody
from knapweedhitch.pool import Pool, refused_result
from knapweedhitch.responsetable import NOT_RUN_STATUSES, Meaning, meaning_of
from knapweedhitch.settings import HeaderSettings, UpstreamSettings
from tests.request_world import World as OwnWorld
from tests.request_world import in_node
from tests.test_connection_reuse import CHUNKED, LAST_CHUNK, Body, upload
from tests.test_forward import Sink, dispatch, execute, install, make_spec
from tests.test_http1_client import NAMES, ScriptedExchange
from tests.test_peers import running_nodes
from tests.test_relay import ITEMS, SAFE, FakeQuotas, World, run_on_mock_clock, start_world
from tests.test_router import KEY_HEADER, KEY_REQUIRED

STATED = b"X-Not-Run: 1\r\n"
SIGNATURE = b"x-sign: s1"
RESULT, NOT_RUN, UNPROVEN = Meaning.RESULT, Meaning.NOT_RUN, Meaning.UNPROVEN
# Status, its meaning without a statement, and its meaning with one.
TABLE = (
    (200, RESULT, NOT_RUN),
    (400, RESULT, NOT_RUN),
    (408, UNPROVEN, NOT_RUN),
    (421, UNPROVEN, NOT_RUN),
    (429, UNPROVEN, NOT_RUN),
    (500, RESULT, NOT_RUN),
    (502, RESULT, NOT_RUN),
    (503, UNPROVEN, NOT_RUN),
    (504, RESULT, NOT_RUN),
)
UNPROVEN_STATUSES = [status for status, meaning, _ in TABLE if meaning is UNPROVEN]
# Of two attempts of a safe request, and of one that may run once at most: how many are made, and
# the status that the caller gets, 0 for that of the upstream.
FOLLOWS = {
    (RESULT, "safe"): (1, 0),
    (RESULT, "paid"): (1, 0),
    (NOT_RUN, "safe"): (2, 503),
    (NOT_RUN, "paid"): (2, 503),
    (UNPROVEN, "safe"): (2, 502),
    (UNPROVEN, "paid"): (1, 502),
}
HEADERS = HeaderSettings(request_id="x-id", exchange="", not_run="x-not-run")


def response(status: int, *, stated: bool = False, size: int = 2, chunked: bool = False) -> bytes:
    """Return the bytes of a response, which is signed by its upstream."""
    head = b"HTTP/1.1 %d x\r\nX-Id: r1\r\nX-Sign: s1\r\n%b" % (status, STATED if stated else b"")
    if not chunked:
        return head + b"Content-Length: %d\r\n\r\n" % size + b"x" * size
    chunks = b"3e8\r\n" + b"x" * 1_000 + b"\r\n"
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks * (size // 1_000) + b"0\r\n\r\n"


class Upstreams:
    """Let each attempt of a relay get the next of the given responses, through a pool."""

    def __init__(self, world: World, *responses: bytes) -> None:
        cfg = structs.replace(world.relay._cfg, headers=HEADERS)
        kernel = Kernel(cfg)
        self.counters = Counters()
        kernel.add("counters", self.counters)
        self._responses = list(responses)
        self._n_attempts = 0
        self._pool = Pool(kernel, self._connect)
        self._pool._counters = self.counters
        world.handlers = [self._handle] * len(responses)

    async def _connect(self, address: Address) -> trio.abc.Stream:
        client, server = trio.testing.memory_stream_pair()
        await server.send_all(self._responses.pop(0))
        return client

    async def _handle(self, spec: CallSpec, sink: ResponseSink) -> CallResult:
        self._n_attempts += 1
        return await self._pool.exchange(
            Address("10.0.0.1", self._n_attempts), spec, NoBody(), sink
        )


class TableTest(unittest.TestCase):
    def test_statuses_promise_only_what_the_upstream_states(self) -> None:
        """Guards against a promise to the caller that rests on the status alone."""
        for status, unstated, stated in TABLE:
            with self.subTest(status):
                self.assertIs(meaning_of(status, (), header_names(HEADERS)), unstated)
                headers = ((b"x-not-run", b"1"),)
                self.assertIs(meaning_of(status, headers, header_names(HEADERS)), stated)
                # A deployment whose upstreams state nothing.
                self.assertIs(meaning_of(status, headers, header_names(HeaderSettings())), RESULT)
        # Another instance than the expected one does not run the request.
        self.assertIs(meaning_of(421, (), NAMES), NOT_RUN)
        self.assertEqual(set(UNPROVEN_STATUSES), NOT_RUN_STATUSES)


class EntryTest(unittest.TestCase):
    async def start(self) -> World:
        """Return a relay with a customer, and keep the quotas that count its tokens."""
        customers = {"acme": CustomerItem("acme", 1, ("k1",), 10.0, 10.0, None, "")}
        world = await start_world([], items=structs.replace(ITEMS, customers=customers))
        self.quotas = FakeQuotas()
        world.relay._kernel.add("quotas", self.quotas)
        return world

    @run_on_mock_clock
    async def test_each_row_of_the_table(self) -> None:
        """Guards against a 503 for an order that has run, so that its caller sends another
        one (review case 13).
        """
        for status, unstated, stated in TABLE:
            for is_stated, meaning in ((False, unstated), (True, stated)):
                for kind in ("safe", "paid"):
                    with self.subTest(status=status, stated=is_stated, kind=kind):
                        data = response(status, stated=is_stated)
                        await self._check(kind, meaning, status, data)

    async def _check(self, kind: str, meaning: Meaning, status: int, data: bytes) -> None:
        world = await self.start()
        upstreams = Upstreams(world, data, data, data)
        method, more = ("GET", "") if kind == "safe" else ("POST", "Content-Length: 0\r\n")
        got = await world.request(f"/{kind}/x", method, f"X-Key: k1\r\n{more}")
        attempts, own_status = FOLLOWS[meaning, kind]
        if meaning is RESULT and kind == "safe" and status in (500, 502):
            attempts = SAFE.max_attempts
        self.assertEqual(len(world.specs), attempts)
        self.assertTrue(got.startswith(b"HTTP/1.1 %d " % (own_status or status)), got)
        # A failure with the signature of an upstream has the status that it gave.
        self.assertEqual(SIGNATURE in got.lower(), not own_status)
        self.assertEqual(b"retry-after:" in got, own_status == 503)
        self.assertEqual(len(self.quotas.returned), int(meaning is NOT_RUN))
        replaced = upstreams.counters.get("responses_replaced", f"status {status}")
        self.assertEqual(replaced, attempts if meaning is UNPROVEN else 0)
        if meaning is UNPROVEN:
            self.assertIn(b'"reason": "unproven-refusal", "outcome": "unknown"', got)

    @run_on_mock_clock
    async def test_each_attempt_counts(self) -> None:
        """Guards against a table that only the first or the last attempt follows."""
        for kind, first, second, status in (
            ("paid", response(503, stated=True), response(503), 502),
            ("paid", response(503, stated=True), response(200), 200),
            ("safe", response(503), response(503, stated=True), 502),
            ("safe", response(429), response(200), 200),
            ("safe", response(408), response(500), 500),
            ("safe", response(500), response(503), 500),
        ):
            world = await self.start()
            Upstreams(world, first, second)
            method = "GET" if kind == "safe" else "POST"
            got = await world.request(f"/{kind}/x", method, "X-Key: k1\r\nContent-Length: 0\r\n")
            with self.subTest(kind=kind, status=status):
                self.assertEqual(len(world.specs), 2)
                self.assertTrue(got.startswith(b"HTTP/1.1 %d " % status), got)
                self.assertEqual(SIGNATURE in got.lower(), status in (200, 500))
                self.assertEqual(self.quotas.returned, [])

    @run_on_mock_clock
    async def test_retries_stay_within_their_budget(self) -> None:
        """Guards against such responses that double the load of a failing service."""
        world = await start_world([], retry_ratio=0.1)
        Upstreams(world, *[response(503)] * 60)
        for _ in range(40):
            got = await world.request("/safe/x")
            self.assertTrue(got.startswith(b"HTTP/1.1 502 "), got)
        self.assertLessEqual(len(world.specs), 44)


class ExchangeTest(unittest.TestCase):
    def test_response_without_proof_is_not_passed_on(self) -> None:
        """Guards against any byte of it that reaches the caller, whatever its form, and against a
        connection that is closed for it.
        """
        for status in (408, 429, 503):
            for size, chunked, is_kept in (
                (2, False, True),
                (90_000, True, True),
                (200_000, True, False),
            ):
                exchange = ScriptedExchange(response(status, size=size, chunked=chunked))
                with self.subTest(status=status, size=size):
                    self.assertIsInstance(exchange.error, UpstreamUnproven)
                    self.assertEqual((exchange.sink.status, exchange.sink.body), (0, b""))
                    self.assertEqual(exchange.conn.reusable, is_kept)
        self.assertIsInstance(ScriptedExchange(response(421)).error, UpstreamNotRun)

    def test_response_without_proof_to_an_order_in_chunks(self) -> None:
        """Guards against the same while the body is on its way, and after it."""

        async def main(pause_at: int) -> None:
            client, server = trio.testing.memory_stream_pair()
            conn = ClientConnection(client, UpstreamSettings(), NAMES)

            async def respond() -> None:
                received = b""
                while pause_at < 0 and not received.endswith(LAST_CHUNK):
                    received += bytes(await server.receive_some(65_536))
                await server.send_all(response(503))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(respond)
                failure = await upload(conn, Body(pause_at), CHUNKED)
            self.assertIsInstance(failure, UpstreamUnproven)
            self.assertEqual(conn.reusable, pause_at < 0)

        for pause_at in (-1, 1):
            trio.run(main, pause_at, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_what_it_teaches(self) -> None:
        """Guards against an upstream that fails, and looks as if it were full or had ended."""
        result = refused_result(UnprovenRefusal(Outcome.UNKNOWN), 1.0)
        self.assertEqual((result.ok, result.shed, result.broken), (False, False, False))


class LinkTest(unittest.TestCase):
    @run_on_mock_clock
    async def test_refusal_keeps_its_reason_over_a_link(self) -> None:
        """Guards against a request that may have run, and is said not to have run elsewhere."""

        async def refuse(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            await dispatch(sink)
            raise UnprovenRefusal(Outcome.UNKNOWN, "status 503")

        async with running_nodes(2, prepare=install(refuse)) as (a, _):
            result = await execute(a, make_spec())
            self.assertIsInstance(result, UnprovenRefusal)
            self.assertEqual((result.outcome, result.detail), (Outcome.UNKNOWN, "status 503"))

    @run_on_mock_clock
    async def test_node_of_an_earlier_version_passes_it_on(self) -> None:
        """Guards against the same while a deployment moves from one version to the next."""

        async def pass_on(call: CallSpec, body: BodySource, sink: Any) -> CallResult:
            await dispatch(sink)
            await sink.head(503, (), None)
            await sink.end()
            return CallResult(False, 1.0, 503)

        async with running_nodes(2, prepare=install(pass_on)) as (a, _):
            sink = Sink()
            a.kernel.get("forward")._names = header_names(HEADERS)
            result = await execute(a, make_spec(), sink=sink)
            self.assertIsInstance(result, UnprovenRefusal)
            self.assertEqual((result.outcome, sink.events), (Outcome.UNKNOWN, []))


class ClaimTest(unittest.TestCase):
    @in_node(KEY_REQUIRED, headers=HeaderSettings(not_run="x-not-run"))
    async def test_key_of_such_a_request_stays_claimed(self, world: OwnWorld) -> None:
        """Guards against a key that is free again, or keeps a 503, though its request ran."""
        world.add_upstream("up-1", local=True)
        got = await world.caller().call("POST", behaviour="status=503", headers=KEY_HEADER)
        self.assertEqual((got.status, got.headers["knapweedhitch-outcome"]), (502, "unknown"))
        self.assertEqual((world.claims.completed, world.claims.released), ([], 0))


if __name__ == "__main__":
    unittest.main()
