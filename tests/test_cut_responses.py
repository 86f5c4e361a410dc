"""Tests of responses that are cut by a reset whose error another task or call has taken."""

from __future__ import annotations

import json
import socket
import struct
import unittest
from collections.abc import Callable

import trio
import trio.testing

from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import (
    OperatorAnswerLost,
    UpstreamClosed,
    UpstreamError,
    UpstreamNotRun,
    UpstreamProtocolError,
)
from knapweedhitch.exchange import CallSpec
from knapweedhitch.http1_client import ClientConnection
from knapweedhitch.model import Address
from knapweedhitch.operator_client import OperatorClient
from knapweedhitch.settings import UpstreamSettings
from tests.test_http1_client import NAMES, ScriptedExchange, Sink
from tests.test_sockets import connected_pair

UPLOAD_BYTES = 4_194_304
PART = b"u" * 65_536
# Of two tasks that a reset wakes together, either may run first.
TRIES = 40
HEAD = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
CUT_BODY = b"c" * 700


class ResettingUpstream:
    """Send a response while an upload is written, then reset the connection."""

    def __init__(self, near: trio.SocketStream, far: trio.SocketStream, response: bytes) -> None:
        self.sink = Sink()
        self.conn = ClientConnection(near, UpstreamSettings(accept_unframed=True), NAMES)
        self.error: UpstreamError | None = None
        self._far = far
        self._response = response

    async def upload(self, body: Upload) -> None:
        deadline = Deadline.after_ms(5_000)
        headers = ((b"host", b"h"), (b"content-length", str(UPLOAD_BYTES).encode()))
        spec = CallSpec("r1", "s", "i1", "POST", b"/", headers, True, deadline, 0, 0, 1)
        try:
            await self.conn.exchange(spec, b"", headers, body, self.sink, lambda: None)
        except UpstreamError as exc:
            self.error = exc

    async def respond(self) -> None:
        await self._far.send_all(self._response)

    def reset(self) -> None:
        """Reset the connection without yielding to the reader."""
        linger = struct.pack("ii", 1, 0)
        self._far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._far.socket.close()


class Upload:
    """Yield parts of a body up to its length, and call a function before a given part."""

    def __init__(self, pause_at: int, on_pause: Callable[[], object]) -> None:
        self._sent_parts = 0
        self._pause_at = pause_at
        self._on_pause = on_pause

    async def receive(self) -> bytes | None:
        await trio.lowlevel.checkpoint()
        if self._sent_parts * len(PART) >= UPLOAD_BYTES:
            return None
        if self._sent_parts == self._pause_at:
            # The reader takes what has arrived before the reset.
            await trio.testing.wait_all_tasks_blocked()
            self._on_pause()
        self._sent_parts += 1
        return PART

    def rewind(self) -> bool:
        return False


def upload_with_reset(response: bytes, *, blocked: bool) -> ResettingUpstream:
    """Upload until the reset, which comes between two writes or while one waits for room."""
    upstreams: list[ResettingUpstream] = []

    async def main() -> None:
        near, far = connected_pair()
        upstream = ResettingUpstream(near, far, response)
        upstreams.append(upstream)
        body = Upload(-1 if blocked else 1, upstream.reset)
        async with trio.open_nursery() as nursery:
            await upstream.respond()
            nursery.start_soon(upstream.upload, body)
            if blocked:
                await trio.testing.wait_all_tasks_blocked(0.002)
                upstream.reset()
        await near.aclose()
        far.socket.close()

    trio.run(main)
    return upstreams[0]


class ResetUploadTest(unittest.TestCase):
    def test_reset_between_writes_is_no_end_of_a_response(self) -> None:
        """Guards against a cut body that counts as complete as the write has taken the error."""
        upstream = upload_with_reset(HEAD + b"\r\n" + CUT_BODY, blocked=False)
        self.assertIsInstance(upstream.error, UpstreamClosed)
        self.assertEqual((upstream.sink.body, upstream.sink.is_complete), (CUT_BODY, False))

    def test_reset_of_a_waiting_write_is_no_end_of_a_response(self) -> None:
        """Guards against the same cut where the reset wakes the writer and the reader together."""
        complete = 0
        for _ in range(TRIES):
            upstream = upload_with_reset(HEAD + b"\r\n" + CUT_BODY, blocked=True)
            complete += upstream.sink.is_complete
        self.assertEqual(complete, 0, f"of {TRIES}")

    def test_framed_early_response_outlasts_the_reset(self) -> None:
        """Guards against a complete early response that is dropped since the upload failed."""
        chunked = b"Transfer-Encoding: chunked\r\n\r\n2bc\r\n" + CUT_BODY + b"\r\n0\r\n\r\n"
        for framed in (b"Content-Length: 700\r\n\r\n" + CUT_BODY, chunked):
            with self.subTest(framed=framed[:20]):
                upstream = upload_with_reset(HEAD + framed, blocked=False)
                self.assertIsNone(upstream.error)
                self.assertTrue(upstream.sink.is_complete)
                self.assertFalse(upstream.conn.reusable)

    def test_refusal_that_is_cut_in_its_body_was_not_run(self) -> None:
        """Guards against a proven refusal that counts as unknown since its body was cut."""
        refusal = b"HTTP/1.1 503 x\r\nX-Id: r1\r\nX-Not-Run: 1\r\nContent-Length: 900\r\n\r\n"
        upstream = upload_with_reset(refusal + CUT_BODY, blocked=False)
        self.assertIsInstance(upstream.error, UpstreamNotRun)


class StatusTest(unittest.TestCase):
    def test_number_that_is_no_status_is_refused(self) -> None:
        """Guards against three digits outside the classes of HTTP that reach the caller."""
        for status in (b"000", b"099", b"20x", b"600", b"999"):
            with self.subTest(status=status):
                exchange = ScriptedExchange(
                    b"HTTP/1.1 " + status + b" x\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok"
                )
                self.assertIsInstance(exchange.error, UpstreamProtocolError)
                self.assertEqual(exchange.sink.status, 0)

    def test_every_status_of_http_is_passed_on(self) -> None:
        """Guards against an unusual status of HTTP that is refused."""
        for status in (200, 299, 418, 599):
            exchange = ScriptedExchange(
                b"HTTP/1.1 %d x\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok" % status
            )
            self.assertEqual((exchange.error, exchange.sink.status), (None, status))


class BrokenWriteStream(trio.abc.Stream):
    """Fail each write; then let the reader see a response and a plain end of the stream."""

    def __init__(self, response: bytes) -> None:
        self._parts = [response, b""]

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        raise trio.BrokenResourceError("reset")

    async def wait_send_all_might_not_block(self) -> None: ...

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        return self._parts.pop(0)

    async def aclose(self) -> None: ...


class OperatorClientTest(unittest.TestCase):
    def test_cut_response_to_a_change_is_lost(self) -> None:
        """Guards against a change that is reported as done by a response without its end."""
        done = json.dumps({"change_id": "c", "version": 8}).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

        async def post(response: bytes) -> object:
            async def connect() -> trio.abc.Stream:
                return BrokenWriteStream(response)

            client = OperatorClient(Address("127.0.0.1", 1), "t", attempts=1, open_stream=connect)
            return await client.change("/v1/changes", {"change_id": "c"})

        with self.assertRaises(OperatorAnswerLost):
            trio.run(post, head + b"\r\n" + done)
        framed = head + b"Content-Length: %d\r\n\r\n" % len(done) + done
        self.assertEqual(trio.run(post, framed), {"change_id": "c", "version": 8})


if __name__ == "__main__":
    unittest.main()
