"""Tests of when a connection may be used for another request, on either side of it."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing

from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import UpstreamError, UpstreamNotRun
from knapweedhitch.exchange import CallSpec, Headers
from knapweedhitch.http1_client import ClientConnection
from knapweedhitch.operator_http import OperatorConnection, OperatorRequest, OperatorResponse
from knapweedhitch.settings import OperatorSettings, UpstreamSettings
from tests.test_http1_client import NAMES, Sink
from tests.test_sockets import connected_pair

PART = b"p" * 100
CHUNK = b"64\r\n" + PART + b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"
CHUNKED = ((b"transfer-encoding", b"chunked"),)
LENGTH = ((b"content-length", b"200"),)
RESPONSE = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok"
REFUSAL = b"HTTP/1.1 503 x\r\nX-Id: r1\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno"
BEHAVIOUR = {"own": RESPONSE, "refused": REFUSAL}


class Body:
    """Yield two parts, and wait for an event before the given one (2 is the end of the body)."""

    def __init__(self, pause_at: int = -1) -> None:
        self.is_paused = trio.Event()
        self.go_on = trio.Event()
        self._pause_at = pause_at
        self._position = 0

    async def receive(self) -> bytes | None:
        position, self._position = self._position, self._position + 1
        if position == self._pause_at:
            self.is_paused.set()
            await self.go_on.wait()
        return PART if position < 2 else None


class EndingSink(Sink):
    """Let the body go on when the response is complete."""

    def __init__(self, body: Body) -> None:
        super().__init__()
        self._body = body

    async def end(self) -> None:
        await super().end()
        self._body.go_on.set()


async def upload(
    conn: ClientConnection, body: Body, framing: Headers, sink: Sink | None = None
) -> UpstreamError | None:
    """Run one exchange with a body and return its failure."""
    spec = CallSpec("r1", "s", "i1", "POST", b"/", framing, True, Deadline.after_ms(5e3), 0, 0, 1)
    headers = ((b"host", b"h"), (b"x-id", b"r1"), *framing)
    try:
        await conn.exchange(spec, b"", headers, body, sink or Sink(), lambda: None)
    except UpstreamError as exc:
        return exc
    return None


async def receive_all(stream: trio.SocketStream) -> bytes:
    """Return what arrives until the end of the stream, and close it."""
    received = b""
    while data := await stream.receive_some(65_536):
        received += data
    await stream.aclose()
    return received


class BlockedStream(trio.abc.Stream):
    """Respond to the first write, and accept no write that ends with the given bytes."""

    def __init__(self, response: bytes, blocked: bytes) -> None:
        self.sent = b""
        self._response = response
        self._blocked = blocked
        self._is_blocked = trio.Event()

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        if bytes(data).endswith(self._blocked):
            self.sent += bytes(data)[:2]
            self._is_blocked.set()
            await trio.sleep_forever()
        self.sent += bytes(data)

    async def wait_send_all_might_not_block(self) -> None: ...

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        await self._is_blocked.wait()
        response, self._response = self._response, b""
        return response

    async def aclose(self) -> None: ...


class UnwrittenEndTest(unittest.TestCase):
    def test_connection_without_the_end_of_its_body_is_not_used_again(self) -> None:
        """Guards against a request that the upstream reads as the rest of an earlier body, whose
        end was dropped since the response was complete in the same turn of the event loop.
        """

        async def main() -> None:
            near, far = connected_pair()
            conn = ClientConnection(near, UpstreamSettings(), NAMES)
            body = Body(pause_at=2)

            async def respond() -> None:
                await body.is_paused.wait()
                await far.send_all(RESPONSE)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(respond)
                self.assertIsNone(await upload(conn, body, CHUNKED, EndingSink(body)))
            await near.aclose()
            received = await receive_all(far)
            self.assertEqual(received.partition(b"\r\n\r\n")[2], CHUNK * 2)
            self.assertFalse(conn.reusable)
            self.assertEqual(conn.not_reusable_cause, "unwritten-request")

        trio.run(main)

    def test_refusal_while_the_end_of_a_body_waits_for_room(self) -> None:
        """Guards against the same after a refusal that comes while a write is not complete."""

        async def main() -> None:
            for response, failure in ((REFUSAL, UpstreamNotRun), (RESPONSE, type(None))):
                stream = BlockedStream(response, LAST_CHUNK)
                conn = ClientConnection(stream, UpstreamSettings(), NAMES)
                self.assertIsInstance(await upload(conn, Body(), CHUNKED), failure)
                self.assertTrue(stream.sent.endswith(CHUNK + LAST_CHUNK[:2]))
                self.assertFalse(conn.reusable, response)

        trio.run(main)


class SoundReuseTest(unittest.TestCase):
    def test_connections_are_used_again_after_whole_requests(self) -> None:
        """Guards against a new connection for each upload, early response or refusal."""

        async def before(far: trio.SocketStream, response: bytes, body: Body) -> None:
            await far.send_all(response[:-1])
            await trio.testing.wait_all_tasks_blocked(0.002)
            body.go_on.set()
            await trio.testing.wait_all_tasks_blocked(0.002)
            await far.send_all(response[-1:])

        async def after(far: trio.SocketStream, response: bytes, body: Body) -> None:
            body.go_on.set()
            await trio.testing.wait_all_tasks_blocked(0.002)
            await far.send_all(response)

        kept: dict[tuple[str, ...], bool] = {}
        for framing in (CHUNKED, LENGTH):
            for respond in (before, after):
                for how, response in BEHAVIOUR.items():
                    is_kept = trio.run(self._is_kept, framing, respond, response)
                    kept[framing[0][0].decode(), respond.__name__, how] = is_kept
        self.assertEqual([case for case, is_kept in kept.items() if not is_kept], [])
        self.assertEqual(len(kept), 8)

    async def _is_kept(
        self,
        framing: Headers,
        respond: Callable[[trio.SocketStream, bytes, Body], Awaitable[None]],
        response: bytes,
    ) -> bool:
        near, far = connected_pair()
        conn = ClientConnection(near, UpstreamSettings(), NAMES)
        body = Body(pause_at=1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(respond, far, response, body)
            await upload(conn, body, framing)
        await near.aclose()
        await far.aclose()
        return conn.reusable


class HalfWrittenStream(trio.abc.Stream):
    """Deliver a request head, and accept only a part of the first write."""

    def __init__(self, head: bytes) -> None:
        self.sent = b""
        self._head = head

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        is_first = not self.sent
        self.sent += bytes(data)[:5] if is_first else bytes(data)
        if is_first:
            await trio.sleep_forever()

    async def wait_send_all_might_not_block(self) -> None: ...

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        if not self._head:
            await trio.sleep_forever()
        head, self._head = self._head, b""
        return head

    async def aclose(self) -> None: ...


class OperatorListenerTest(unittest.TestCase):
    def test_nothing_follows_a_write_that_was_cancelled(self) -> None:
        """Guards against a response within an earlier one that was written in part."""
        head = (
            b"POST /v1/x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n"
        )

        async def handle(req: OperatorRequest) -> OperatorResponse:
            return OperatorResponse(b"{}")

        async def main() -> None:
            stream = HalfWrittenStream(head)
            await OperatorConnection(stream, OperatorSettings(), lambda _: None, handle).serve()
            self.assertEqual(stream.sent, b"HTTP/")

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    unittest.main()
