"""Tests of the direct socket reads and writes, over real sockets on loopback."""

from __future__ import annotations

import socket
import unittest

import trio
import trio.testing

from knapweedhitch.http1 import ServerConnection
from knapweedhitch.settings import CallerSettings
from knapweedhitch.sockets import receive_when_ready, send_at_once

PIPELINED = 200


def connected_pair() -> tuple[trio.SocketStream, trio.SocketStream]:
    """Return two connected streams."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    first = trio.SocketStream(trio.socket.from_stdlib_socket(near))
    return first, trio.SocketStream(trio.socket.from_stdlib_socket(far))


class SocketsTest(unittest.TestCase):
    def test_rest_of_a_large_write_is_returned(self) -> None:
        """Guards against bytes that are lost or sent twice after a partial write."""

        async def main() -> None:
            near, far = connected_pair()
            data = bytes(range(256)) * 65_536
            rest, before = data, b""
            # A full socket accepts nothing more and returns all of the data.
            while rest != before:
                before, rest = rest, await send_at_once(near, rest)
            self.assertGreater(len(rest), 0)
            received = bytearray()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(near.send_all, rest)
                while len(received) < len(data):
                    received += await receive_when_ready(far, 65_536)
            self.assertEqual(bytes(received), data)
            await near.aclose()
            self.assertEqual(await receive_when_ready(far, 10), b"")
            await far.aclose()

        trio.run(main)

    def test_closed_and_broken_sockets_are_distinguished_from_data(self) -> None:
        """Guards against an OSError of a closed or broken socket that callers do not handle."""

        async def main() -> None:
            near, far = connected_pair()
            await far.aclose()
            with self.assertRaises(trio.BrokenResourceError):
                for _ in range(3):
                    await send_at_once(near, b"x")
            await near.aclose()
            for operation in (send_at_once(near, b"x"), receive_when_ready(near, 10)):
                with self.assertRaises(trio.ClosedResourceError):
                    await operation

        trio.run(main)

    def test_cancelled_task_neither_reads_nor_writes(self) -> None:
        """Guards against a write by a cancelled task whose request was reported as not sent."""

        async def main() -> None:
            near, far = connected_pair()
            with trio.CancelScope() as scope:
                scope.cancel()
                await send_at_once(near, b"late")
            self.assertTrue(scope.cancelled_caught)
            with trio.move_on_after(0.01) as scope:
                await receive_when_ready(far, 10)
            self.assertTrue(scope.cancelled_caught)
            await send_at_once(near, b"x")
            with trio.CancelScope() as scope:
                scope.cancel()
                await receive_when_ready(far, 10)
            self.assertEqual(await receive_when_ready(far, 10), b"x")
            await near.aclose()
            await far.aclose()

        trio.run(main)

    def test_close_wakes_a_reader(self) -> None:
        """Guards against a reader that waits forever on a connection closed by another task."""

        async def main() -> None:
            near, far = connected_pair()

            async def read() -> None:
                with self.assertRaises(trio.ClosedResourceError):
                    await receive_when_ready(near, 10)

            with trio.fail_after(5):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(read)
                    await trio.testing.wait_all_tasks_blocked()
                    await trio.aclose_forcefully(near)
            await far.aclose()

        trio.run(main)

    def test_pipelined_requests_yield_to_other_tasks(self) -> None:
        """Guards against a caller that starves other tasks with a run of pipelined requests."""

        async def main() -> None:
            near, far = connected_pair()
            conn = ServerConnection(far, CallerSettings())
            turns = answered = 0

            async def count_turns() -> None:
                nonlocal turns
                while True:
                    await trio.lowlevel.checkpoint()
                    turns += 1

            await near.send_all(PIPELINED * b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await near.send_eof()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(count_turns)
                while await conn.receive_head() is not None:
                    await conn.send_response(200, ((b"content-length", b"0"),), [])
                    answered += conn.start_next_request()
                nursery.cancel_scope.cancel()
            self.assertEqual(answered, PIPELINED)
            # One turn for each gap between two requests; trio runs a batch in random order, so
            # the other task may run before or after the last one.
            self.assertGreaterEqual(turns, PIPELINED - 1)
            await conn.close()
            await near.aclose()

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
