"""Two nodes on real sockets whose link passes through a slow relay."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import socket
from collections.abc import AsyncIterator, Callable
from typing import Any

import trio

from knapweedhitch.model import Address
from knapweedhitch.peers import Peers
from knapweedhitch.settings import ListenSettings
from knapweedhitch.transport import NetTransport
from tests.fake_net import SECRET, MemoryNet, Node, StaticMembership, listen

RELAY_BYTES = 16_384
# 3.2 Mbit/s
RELAY_INTERVAL_S = 0.04


@dataclasses.dataclass
class RelayPace:
    """Set the time that a relay takes for RELAY_BYTES."""

    interval_s: float = RELAY_INTERVAL_S


async def relay_slowly(source: trio.SocketStream, sink: trio.SocketStream, pace: RelayPace) -> None:
    """Pass bytes on at the rate of a slow link, and its end."""
    try:
        while data := await source.receive_some(RELAY_BYTES):
            await trio.sleep(pace.interval_s)
            await sink.send_all(data)
        await sink.send_eof()
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        await trio.aclose_forcefully(source)
        await trio.aclose_forcefully(sink)


@contextlib.asynccontextmanager
async def nodes_with_slow_link(
    pace: RelayPace, prepare: Callable[[Node], None], **sections: Any
) -> AsyncIterator[list[Node]]:
    """Run two nodes with the given settings; the link from n0 to n1 passes through the relay.

    `prepare` adds the services of the request path to a node.
    """
    nodes = []
    membership = StaticMembership(0)
    async with trio.open_nursery() as nursery:
        for i in range(2):
            node = Node(MemoryNet(), i, listen=ListenSettings(peers=listen(0)), **sections)
            node.peers = Peers(node.kernel, NetTransport(node.kernel.cfg.peers), SECRET)
            node.kernel._services["peers"] = node.peers
            node.add("membership", membership)
            prepare(node)
            await nursery.start(node.run)
            nodes.append(node)
        server = nodes[1].peers.address

        async def relay(near: trio.SocketStream) -> None:
            far = await trio.open_tcp_stream(server.host, server.port)
            for stream in (near, far):
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2 * RELAY_BYTES)
            async with trio.open_nursery() as inner:
                inner.start_soon(relay_slowly, near, far, pace)
                inner.start_soon(relay_slowly, far, near, pace)

        serve = functools.partial(trio.serve_tcp, relay, 0, host="127.0.0.1")
        listeners = await nursery.start(serve)
        port = listeners[0].socket.getsockname()[1]
        membership.addresses["n1"] = Address("127.0.0.1", port)
        yield nodes
        nursery.cancel_scope.cancel()
