"""Tests of one exchange with an upstream that sends unexpected, surplus or unframed responses."""

from __future__ import annotations

import unittest

import trio
import trio.testing

from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import (
    UpstreamClosed,
    UpstreamError,
    UpstreamNotRun,
    UpstreamProtocolError,
)
from knapweedhitch.exchange import CallSpec, Headers
from knapweedhitch.framing import header_names
from knapweedhitch.http1_client import ClientConnection, Silence
from knapweedhitch.model import LoadSample
from knapweedhitch.payload import NoBody
from knapweedhitch.settings import HeaderSettings, UpstreamSettings
from knapweedhitch.upstreamload import UpstreamLoad, UpstreamReport

NAMES = header_names(
    HeaderSettings(
        request_id="x-id",
        exchange="",
        expected_instance="x-for",
        not_run="x-not-run",
        load="x-load",
    )
)
OWN_RESPONSE = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 3\r\n\r\nown"
LATE_RESPONSE = b"HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 5\r\n\r\nother"


class Sink:
    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.is_complete = False

    def mark_dispatched(self) -> None: ...

    async def informational(self, status: int, headers: Headers) -> None: ...

    async def head(self, status: int, headers: Headers, load: LoadSample | None) -> None:
        self.status = status

    async def data(self, data: bytes) -> None:
        self.body += data

    async def end(self) -> None:
        self.is_complete = True


REFUSAL = b"HTTP/1.1 503 x\r\nX-Id: r0\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno"


class RefusedExchanges:
    """Send two requests on one connection, of which the upstream refuses the first."""

    def __init__(self, *parts: bytes) -> None:
        self.sink = Sink()
        self.errors: list[UpstreamError] = []
        trio.run(self._run, parts, clock=trio.testing.MockClock(autojump_threshold=0))

    async def _run(self, parts: tuple[bytes, ...]) -> None:
        client, server = trio.testing.memory_stream_pair()
        self.conn = ClientConnection(client, UpstreamSettings(accept_unframed=True), NAMES)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._respond, server, parts)
            for request_id in ("r0", "r1"):
                await self._exchange(request_id)
            nursery.cancel_scope.cancel()

    async def _exchange(self, request_id: str) -> None:
        deadline = Deadline.after_ms(1_000)
        spec = CallSpec(request_id, "s", "i1", "POST", b"/", (), False, deadline, 0, 0, 1)
        headers = ((b"host", b"h"), (b"x-id", request_id.encode()))
        try:
            await self.conn.exchange(spec, b"", headers, NoBody(), self.sink, lambda: None)
        except UpstreamError as exc:
            self.errors.append(exc)

    async def _respond(
        self, server: trio.testing.MemorySendStream, parts: tuple[bytes, ...]
    ) -> None:
        await server.receive_some(65_536)
        await server.send_all(REFUSAL)
        await server.receive_some(65_536)
        for part in parts:
            await server.send_all(part)
            await trio.sleep(0.01)
        await trio.sleep_forever()


# Ends an exchange that goes on without end.
MAX_EXCHANGE_S = 5.0


class ScriptedExchange:
    """Send one request and let the upstream respond with the given bytes."""

    def __init__(
        self,
        *parts: bytes,
        method: str = "POST",
        endless: bytes = b"",
        request_id: str = "r1",
        pause_s: float = 0.01,
    ) -> None:
        self.request_id = request_id
        self.pause_s = pause_s
        self.sink = Sink()
        self.endless = endless
        self.endless_bytes = 0
        self.elapsed_ms = 0.0
        self.error: UpstreamError | None = None
        self.reports: list[UpstreamReport] = []
        self.silences_s: list[float] = []
        trio.run(self._run, parts, method, clock=trio.testing.MockClock(autojump_threshold=0))

    async def _run(self, parts: tuple[bytes, ...], method: str) -> None:
        client, server = trio.testing.memory_stream_pair()
        cfg = UpstreamSettings(accept_unframed=True)
        self.conn = ClientConnection(client, cfg, NAMES)
        self.conn.on_report = self.reports.append
        self.conn.recent_request_ids.append(b"r0")
        deadline = Deadline.after_ms(1_000)
        spec = CallSpec(self.request_id, "s", "i1", method, b"/", (), False, deadline, 0, 0, 1)
        headers = ((b"host", b"h"), (b"x-id", self.request_id.encode()))
        start_ms = trio.current_time() * 1_000
        silence = Silence(1_000.0, lambda: self.silences_s.append(trio.current_time()))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._respond, server, parts)
            try:
                with trio.move_on_after(MAX_EXCHANGE_S):
                    await self.conn.exchange(
                        spec, b"", headers, NoBody(), self.sink, lambda: None, silence
                    )
            except UpstreamError as exc:
                self.error = exc
            self.elapsed_ms = trio.current_time() * 1_000 - start_ms
            nursery.cancel_scope.cancel()

    async def _respond(
        self, server: trio.testing.MemorySendStream, parts: tuple[bytes, ...]
    ) -> None:
        await server.receive_some(65_536)
        for number, part in enumerate(parts, start=1):
            await trio.sleep(self.pause_s if number == len(parts) else 0.01)
            await (server.send_all(part) if part else server.aclose())
        while self.endless:
            await trio.sleep(0.001)
            await server.send_all(self.endless)
            self.endless_bytes += len(self.endless)
        await trio.sleep_forever()


class MismatchedResponseTest(unittest.TestCase):
    def test_earlier_refusal_is_not_taken_for_that_of_a_later_request(self) -> None:
        """Guards against a caller that is told not-run for a request that the upstream is running,
        because it wrote an earlier refusal once more on the connection.
        """
        for parts in ((REFUSAL + OWN_RESPONSE,), (REFUSAL, OWN_RESPONSE)):
            with self.subTest(parts):
                exchanges = RefusedExchanges(*parts)
                self.assertEqual([type(exc) for exc in exchanges.errors], [UpstreamNotRun])
                self.assertEqual((exchanges.sink.status, exchanges.sink.body), (200, b"own"))

    def test_request_with_an_id_sent_before_gets_its_response(self) -> None:
        """Guards against a request that waits until its deadline, because its caller used the same
        id for an earlier one and its response looks like a late one.
        """
        exchange = ScriptedExchange(LATE_RESPONSE, request_id="r0")
        self.assertIsNone(exchange.error)
        self.assertEqual(exchange.sink.body, b"other")

    def test_refusal_without_the_id_that_others_had_proves_nothing(self) -> None:
        """Guards against not-run for a request that may run, from a repeated refusal that does not
        tell to which request it belongs.
        """
        nameless = REFUSAL.replace(b"X-Id: r0\r\n", b"")
        exchanges = RefusedExchanges(nameless, OWN_RESPONSE)
        kinds = [type(exc) for exc in exchanges.errors]
        self.assertEqual(kinds, [UpstreamNotRun, UpstreamProtocolError])
        self.assertFalse(exchanges.conn.reusable)

    def test_silence_on_a_new_connection_does_not_make_it_used(self) -> None:
        """Guards against closing all idle connections of an upstream whenever a call times out."""
        exchange = ScriptedExchange()
        self.assertEqual([round(s, 3) for s in exchange.silences_s], [1.0])
        self.assertFalse(exchange.conn.used)

    def test_silence_of_the_upstream_ends_no_exchange(self) -> None:
        """Guards against a request that is broken off while its upstream works on it, before or
        within its response.
        """
        for n_sent in (0, 1, len(OWN_RESPONSE) - 1):
            parts = [part for part in (OWN_RESPONSE[:n_sent], OWN_RESPONSE[n_sent:]) if part]
            exchange = ScriptedExchange(*parts, pause_s=2.0)
            with self.subTest(n_sent=n_sent):
                self.assertIsNone(exchange.error)
                self.assertEqual(exchange.sink.body, b"own")
                # Once a byte has come, the upstream is known to respond.
                self.assertEqual(len(exchange.silences_s), 0 if n_sent else 1)

    def test_response_cut_in_its_head_is_no_response(self) -> None:
        """Guards against a success with an empty or short body that looks complete, after an
        upstream that closes in the middle of its head or body.
        """
        head = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n"
        unframed = head + b"Connection: close\r\n\r\n"
        interim = b"HTTP/1.1 103 x\r\nLink: x\r\n\r\n" + OWN_RESPONSE
        for response in (OWN_RESPONSE, chunked, unframed, interim):
            for size in range(len(response)):
                exchange = ScriptedExchange(*filter(None, [response[:size]]), b"")
                with self.subTest(response[:size]):
                    self.assertIsInstance(exchange.error, UpstreamError)
                    self.assertNotIsInstance(exchange.error, UpstreamNotRun)
                    self.assertFalse(exchange.sink.is_complete)
                    self.assertFalse(exchange.conn.reusable)

    def test_late_second_response_is_skipped(self) -> None:
        """Guards against a request that fails because of a late response to an earlier one."""
        for parts in (
            (LATE_RESPONSE + OWN_RESPONSE,),
            (LATE_RESPONSE, OWN_RESPONSE),
            (LATE_RESPONSE[:30], LATE_RESPONSE[30:] + OWN_RESPONSE[:9], OWN_RESPONSE[9:]),
        ):
            exchange = ScriptedExchange(*parts)
            with self.subTest(parts):
                self.assertIsNone(exchange.error)
                self.assertEqual((exchange.sink.status, exchange.sink.body), (200, b"own"))
                self.assertTrue(exchange.conn.reusable)

    def test_responses_to_other_requests_never_reach_the_caller(self) -> None:
        """Guards against a caller that gets the response to another request."""
        unknown_id = LATE_RESPONSE.replace(b"r0", b"r7")
        for parts in (
            (LATE_RESPONSE, b""),
            (LATE_RESPONSE, LATE_RESPONSE, LATE_RESPONSE, OWN_RESPONSE),
            (LATE_RESPONSE[:-2], b""),
            (unknown_id, OWN_RESPONSE),
        ):
            exchange = ScriptedExchange(*parts)
            with self.subTest(parts):
                self.assertIsNotNone(exchange.error)
                self.assertEqual(exchange.sink.body, b"")

    def test_bytes_after_the_response_close_the_connection(self) -> None:
        """Guards against a connection on which the next request gets a leftover response."""
        exchange = ScriptedExchange(OWN_RESPONSE + LATE_RESPONSE)
        self.assertEqual(exchange.sink.body, b"own")
        self.assertFalse(exchange.conn.reusable)


class NotRunTest(unittest.TestCase):
    def test_responses_marked_not_run_count_as_not_run(self) -> None:
        """Guards against a refusal of the upstream that looks like a run, and the reverse."""
        cases = [
            (b"HTTP/1.1 503 x\r\nX-Id: r1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", True),
            (b"HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n", True),
            (b"HTTP/1.1 503 x\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n", False),
            (b"HTTP/1.1 500 x\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n", False),
        ]
        for data, expected in cases:
            exchange = ScriptedExchange(data)
            with self.subTest(data):
                self.assertEqual(isinstance(exchange.error, UpstreamNotRun), expected)
                self.assertTrue(exchange.conn.reusable)

    def test_load_is_read_from_refusals_too(self) -> None:
        """Guards against a full upstream that looks idle because its load header is ignored."""
        exchange = ScriptedExchange(
            b"HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nX-Load: 6,3,6\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertEqual([r.load for r in exchange.reports], [UpstreamLoad(6, 3, 6)])


CHUNKED = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
NOT_RUN_HEAD = b"HTTP/1.1 503 x\r\nX-Id: r1\r\nX-Not-Run: 1\r\n"
STALE_HEAD = b"HTTP/1.1 200 OK\r\nX-Id: r0\r\n"
# Twice the largest head, and the reads that the time of one exchange allows.
MAX_ENDLESS_BYTES = 2 * 65_536
MAX_ENDLESS_MS = 500.0
MAX_RESPONSE_HEADERS = UpstreamSettings().max_response_headers
# A chunk of one byte with an extension.
PADDED_CHUNK = b"1;" + b"x" * 10_000 + b"\r\ny\r\n"
# Case, first bytes, bytes that follow without end, and the expected error.
ENDLESS = [
    ("head", b"", b"x" * 1_000, UpstreamProtocolError),
    ("status line", b"HTTP/1.1 200 ", b"x" * 1_000, UpstreamProtocolError),
    ("header lines", b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 100, UpstreamProtocolError),
    ("1xx responses", b"", b"HTTP/1.1 102 x\r\n\r\n" * 20, UpstreamProtocolError),
    ("100 responses", b"", b"HTTP/1.1 100 x\r\n\r\n", UpstreamProtocolError),
    ("chunk size", CHUNKED, b"0" * 1_000, UpstreamProtocolError),
    ("chunk extension", CHUNKED + b"3;", b"x" * 1_000, UpstreamProtocolError),
    ("chunk extensions", CHUNKED, PADDED_CHUNK, UpstreamProtocolError),
    ("trailer", CHUNKED + b"3\r\nown\r\n0\r\n", b"X-A: b\r\n" * 100, UpstreamProtocolError),
    ("after the response", OWN_RESPONSE + b"x", b"x" * 1_000, None),
    (
        "body of a refusal",
        NOT_RUN_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n",
        UpstreamNotRun,
    ),
    (
        "chunk extensions of a refusal",
        NOT_RUN_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        PADDED_CHUNK,
        UpstreamNotRun,
    ),
    (
        "chunk extensions of a late response",
        STALE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        PADDED_CHUNK,
        UpstreamClosed,
    ),
    ("unframed body of a refusal", NOT_RUN_HEAD + b"\r\n", b"x" * 10, UpstreamNotRun),
    (
        "body of a late response",
        STALE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n",
        UpstreamClosed,
    ),
]


class EndlessBytesTest(unittest.TestCase):
    def test_bytes_without_end_are_given_up(self) -> None:
        """Guards against an upstream that holds a call and fills memory with bytes that are no
        response and come without end.
        """
        for name, first, endless, expected in ENDLESS:
            with self.subTest(name):
                exchange = ScriptedExchange(*filter(None, [first]), endless=endless)
                self.assertIs(type(exchange.error), expected or type(None))
                self.assertLessEqual(exchange.endless_bytes, MAX_ENDLESS_BYTES)
                self.assertLessEqual(exchange.elapsed_ms, MAX_ENDLESS_MS)
                self.assertFalse(exchange.conn.reusable)


class HeaderCountTest(unittest.TestCase):
    def test_response_with_thousands_of_headers_is_given_up(self) -> None:
        """Guards against a target that makes a node hold many times the allowed size of a head,
        by headers of one byte.
        """
        lines = b"a:\r\n" * MAX_RESPONSE_HEADERS
        for first in (b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 103 x\r\n"):
            with self.subTest(first):
                exchange = ScriptedExchange(first + lines + b"b:\r\n\r\n" + OWN_RESPONSE)
                self.assertIs(type(exchange.error), UpstreamProtocolError)
                self.assertIn("headers", str(exchange.error))
        exchange = ScriptedExchange(b"HTTP/1.1 103 x\r\n" + lines + b"\r\n" + OWN_RESPONSE)
        self.assertEqual(exchange.sink.body, b"own")


class UnframedTest(unittest.TestCase):
    def test_response_delimited_by_close_is_complete(self) -> None:
        """Guards against a response delimited by close that is treated as incomplete."""
        exchange = ScriptedExchange(b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nsome bytes", b"")
        self.assertIsNone(exchange.error)
        self.assertEqual((exchange.sink.body, exchange.sink.is_complete), (b"some bytes", True))
        self.assertFalse(exchange.conn.reusable)
