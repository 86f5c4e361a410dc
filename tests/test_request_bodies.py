"""Tests of request bodies on their way from the caller: no part may be lost, dropped or made up."""

from __future__ import annotations

import unittest

import trio
import trio.testing

from knapweedhitch.exceptions import CallerGone
from knapweedhitch.framing import header_names
from knapweedhitch.http1 import ServerConnection
from knapweedhitch.settings import CallerSettings, HeaderSettings
from tests.test_relay import run_on_mock_clock

NAMES = header_names(HeaderSettings(request_id="x-id"))
PARTS = [b"one", b"two", b"three", b"four"]
HEAD = b"POST /paid/x HTTP/1.1\r\nHost: h.example\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def chunks(parts: list[bytes]) -> bytes:
    """Return parts of a body in chunks, without its end."""
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)


async def connect(*writes: bytes) -> tuple[ServerConnection, trio.testing.MemoryReceiveStream]:
    """Return a connection with one request whose head was read, and the caller's side of it."""
    client, server = trio.testing.memory_stream_pair()
    conn = ServerConnection(server, CallerSettings(), NAMES)
    for data in writes:
        await client.send_all(data)
    assert await conn.receive_head() is not None
    return conn, client


class EarlyResponseTest(unittest.TestCase):
    @run_on_mock_clock
    async def test_body_is_passed_on_whole_during_a_response(self) -> None:
        """Guards against parts of a body that are missing at an upstream which responds while it
        reads, and a body that ends properly without them (review case 11).
        """
        for end in (LAST_CHUNK, b""):
            for n_read in range(len(PARTS)):
                conn, client = await connect(HEAD, chunks(PARTS) + end)
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
        conn, client = await connect(HEAD, chunks(PARTS) + LAST_CHUNK)
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
        conn, client = await connect(HEAD, chunks(PARTS) + LAST_CHUNK)
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


if __name__ == "__main__":
    unittest.main()
