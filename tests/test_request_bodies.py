"""Tests of request bodies on their way from the caller: no part may be lost, dropped or made up."""

from __future__ import annotations

import unittest

import trio
import trio.testing

from knapweedhitch.exceptions import AmbiguousFraming, CallerGone
from knapweedhitch.framing import RequestHead, header_names
from knapweedhitch.http1 import ServerConnection
from knapweedhitch.settings import CallerSettings, HeaderSettings
from tests.test_relay import run_on_mock_clock, start_world

NAMES = header_names(HeaderSettings(request_id="x-id"))
PARTS = [b"one", b"two", b"three", b"four"]
HEAD = b"POST /paid/x HTTP/1.1\r\nHost: h.example\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def chunks(parts: list[bytes]) -> bytes:
    """Return parts of a body in chunks, without its end."""
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)


async def connect(
    *writes: bytes,
) -> tuple[ServerConnection, trio.testing.MemoryReceiveStream, RequestHead]:
    """Return a connection, the caller's side of it, and the head of the request on it."""
    client, server = trio.testing.memory_stream_pair()
    conn = ServerConnection(server, CallerSettings(), NAMES)
    for data in writes:
        await client.send_all(data)
    head = await conn.receive_head()
    assert head is not None
    return conn, client, head


class EarlyResponseTest(unittest.TestCase):
    @run_on_mock_clock
    async def test_body_is_passed_on_whole_during_a_response(self) -> None:
        """Guards against parts of a body that are missing at an upstream which responds while it
        reads, and a body that ends properly without them (review case 11).
        """
        for end in (LAST_CHUNK, b""):
            for n_read in range(len(PARTS)):
                conn, client, _ = await connect(HEAD, chunks(PARTS) + end)
                got = [await conn.receive() for _ in range(n_read)]
                await conn.send_head(200, ((b"content-length", b"2"),), [b"o"])
                got += [await conn.receive() for _ in range(n_read, len(PARTS))]
                with self.subTest(end=end, n_read=n_read):
                    self.assertEqual(got, PARTS)
                    if end:
                        self.assertIsNone(await conn.receive())
                    else:
                        with trio.move_on_after(0.01) as waiting:
                            await conn.receive()
                        self.assertTrue(waiting.cancelled_caught, "the body has not ended")
                    await conn.send_data(b"k")
                    await conn.send_end()
                    # The caller is told, since the rest of the body might not have arrived.
                    self.assertIn(b"connection: close", bytes(await client.receive_some(4_096)))
                    self.assertFalse(conn.start_next_request())

    @run_on_mock_clock
    async def test_connection_goes_on_after_a_body_that_was_read(self) -> None:
        """Guards against a new connection for each response that is streamed."""
        conn, client, _ = await connect(HEAD, chunks(PARTS) + LAST_CHUNK)
        while await conn.receive() is not None:
            pass
        await conn.send_head(200, ((b"content-length", b"2"),), [b"ok"])
        await conn.send_end()
        self.assertNotIn(b"connection: close", bytes(await client.receive_some(4_096)))
        self.assertTrue(conn.start_next_request())

    @run_on_mock_clock
    async def test_dropped_body_has_no_end(self) -> None:
        """Guards against a body that ends properly for a task that still reads it, after the rest
        was dropped behind a complete response.
        """
        conn, client, _ = await connect(HEAD, chunks(PARTS) + LAST_CHUNK)
        self.assertEqual(await conn.receive(), PARTS[0])
        await conn.send_response(413, ((b"content-length", b"2"),), [b"no"])
        with self.assertRaises(CallerGone):
            await conn.receive()
        # All of the body had arrived, so the connection is kept.
        self.assertNotIn(b"connection: close", bytes(await client.receive_some(4_096)))
        self.assertTrue(conn.start_next_request())
        await client.send_all(HEAD + chunks(PARTS[:1]))
        self.assertIsNotNone(await conn.receive_head())
        self.assertEqual(await conn.receive(), PARTS[0])


# A chunk size that is none, after a sound chunk, and a chunk that goes on after its size.
UNSOUND = (b"zz\r\nxx\r\n", b"3\r\none\r\nzz\r\nxx\r\n", b"3\r\nonetwo\r\n")


class UnsoundBodyTest(unittest.TestCase):
    @run_on_mock_clock
    async def test_unsound_body_never_ends_properly(self) -> None:
        """Guards against a body that looks ended for the second attempt that reads it, since the
        parser gives nothing after an error.
        """
        for body in UNSOUND:
            conn, _, _ = await connect(HEAD, body)
            with self.assertRaises(AmbiguousFraming):
                while await conn.receive() is not None:
                    pass
            for _ in range(2):
                with self.assertRaises(AmbiguousFraming):
                    await conn.receive()

    @run_on_mock_clock
    async def test_request_with_an_unsound_body_is_not_sent_again(self) -> None:
        """Guards against an order with a part of its body that runs at a second target, and gets a
        200, after the first one was not reached.
        """
        for path in ("/paid/x", "/safe/x"):
            for body in UNSOUND:
                world = await start_world([])
                conn, client, head = await connect(HEAD.replace(b"/paid/x", path.encode()), body)
                await world.relay.handle(conn, head)
                with self.subTest(path=path, body=body):
                    got = bytes(await client.receive_some(4_096))
                    self.assertTrue(got.startswith(b"HTTP/1.1 400 "), got)
                    self.assertIn(b"ambiguous-framing", got)
                    self.assertEqual(len(world.specs), 1)


if __name__ == "__main__":
    unittest.main()
