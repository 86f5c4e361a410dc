"""Tests of the path from the caller's connection to the own upstream and back."""

from __future__ import annotations

import unittest

from tests.request_world import node, run


class IngressTest(unittest.TestCase):
    def test_a_request_reaches_the_own_upstream_and_its_answer_the_caller(self) -> None:
        """Guards against a path that loses a request or its answer."""

        async def main() -> None:
            async with node() as world:
                up = world.add_upstream("up-1", local=True)
                caller = world.caller()
                reply = await caller.call("POST", "/robes", how="size=5", body=b"abc")
                self.assertEqual((reply.status, len(reply.body), reply.whole), (200, 5, True))
                self.assertEqual(up.seen[0].body_bytes, 3)
                self.assertEqual((await caller.call()).status, 200)
                self.assertEqual(up.connections, 1)

        run(main)
