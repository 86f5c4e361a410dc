"""Tests of the HTTP server for heartbeats, metrics and operators."""

from __future__ import annotations

import unittest
from unittest import mock

import trio
import trio.testing

from knapweedhitch.drain import Drain
from knapweedhitch.http_api import ApiServer
from knapweedhitch.operator_http import OperatorRequest, OperatorResponse
from knapweedhitch.settings import Listener, OperatorSettings
from tests import operator_fakes
from tests.fake_net import MemoryNet, Node, running_nodes
from tests.test_planned_stop import stop


class StopTest(unittest.TestCase):
    def test_stop_waits_for_the_operator_api(self) -> None:
        """Guards against a change sent to the operator API that is made but not acknowledged."""

        async def answer_late(req: OperatorRequest) -> OperatorResponse:
            await trio.sleep(0.5)
            return OperatorResponse(b"{}")

        async def main() -> None:
            world = operator_fakes.World()
            with mock.patch.object(world.api, "handle", answer_late):
                async with world.connected() as client:
                    token = operator_fakes.TOKEN.encode()
                    head = b"GET /v1/changes HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + token
                    await client.send_all(head + b"\r\n\r\n")
                    await trio.sleep(0.1)
                    await world.api.finish(1_000)
                    self.assertAlmostEqual(trio.current_time(), started_s + 0.5, delta=0.01)
                    self.assertTrue((await client.receive_some()).startswith(b"HTTP/1.1 200"))
                    await world.api.finish(1_000)
                    self.assertAlmostEqual(trio.current_time(), started_s + 0.5, delta=0.01)

        clock = trio.testing.MockClock(autojump_threshold=0)
        started_s = clock.current_time()
        trio.run(main, clock=clock)

    def test_request_in_progress_gets_its_response_before_a_stop_ends(self) -> None:
        """Guards against an operator's call that takes effect but gets no response, as its control
        instance stops meanwhile.
        """

        async def respond(req: OperatorRequest) -> OperatorResponse:
            await trio.sleep(0.1)
            return OperatorResponse(b"{}")

        def prepare(node: Node) -> None:
            node.add("drain", Drain(node.kernel))

        async def main() -> None:
            net = MemoryNet()
            async with running_nodes(1, net, prepare) as (node,):
                server = ApiServer(
                    Listener("127.0.0.1", 0), OperatorSettings(), node.counters, respond
                )
                await server.start(node.kernel)
                node.kernel.get("drain").add_server(server)
                address = server._server.address
                idle = await trio.open_tcp_stream(address.host, address.port)
                stream = await trio.open_tcp_stream(address.host, address.port)
                await stream.send_all(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
                await trio.sleep(0.05)
                with trio.fail_after(2):
                    await stop(node, net)
                    self.assertTrue((await stream.receive_some()).startswith(b"HTTP/1.1 200"))
                await idle.aclose()
                await stream.aclose()

        trio.run(main)
