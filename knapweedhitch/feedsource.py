"""The serving side of the feed: the bounded table of nodes that get pushes."""

from __future__ import annotations

import dataclasses

import trio

from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import PeerError
from knapweedhitch.messages import FeedPush
from knapweedhitch.raftstate import Transport, now_ms
from knapweedhitch.settings import FeedSettings

MAX_QUEUED_PUSHES = 64
# A node that has not polled for this many intervals gets no pushes any more.
SILENT_INTERVALS = 10
SENDS_PER_STEP = 64


class PushTransport(Transport):
    """Carry calls and best-effort messages."""

    def send(self, node_id: str, msg: FeedPush) -> None:
        """Queue a message; raises PeerError when the bounded queue is full."""


@dataclasses.dataclass(slots=True)
class _Subscriber:
    """Hold when a node polled last, in milliseconds, and whether it gets pushes."""

    polled_ms: float
    pushed: bool


class Subscribers:
    """Keep the nodes that poll here and push new changes to those that keep up."""

    def __init__(self, cfg: FeedSettings, peers: PushTransport, counters: Counters) -> None:
        self._cfg = cfg
        self._peers = peers
        self._counters = counters
        self._nodes: dict[str, _Subscriber] = {}
        self._send, self._receive = trio.open_memory_channel[FeedPush](MAX_QUEUED_PUSHES)

    def __len__(self) -> int:
        return len(self._nodes)

    def admit(self, node_id: str, lag: int, *, subscribe: bool) -> bool:
        """Note a poll; return False when the table is full and the node must go elsewhere."""
        node = self._nodes.get(node_id)
        if node is None:
            if len(self._nodes) >= self._cfg.max_subscribers:
                self._drop_silent()
            if len(self._nodes) >= self._cfg.max_subscribers:
                self._counters.add("feed_subscribers_full")
                return False
            node = self._nodes[node_id] = _Subscriber(0.0, False)
        node.polled_ms = now_ms()
        # A node that is far behind polls until it has caught up.
        node.pushed = subscribe and lag <= self._cfg.max_lag_changes
        return True

    def push(self, msg: FeedPush) -> None:
        """Queue a push for every subscriber; with a full queue they all fall back to polling."""
        try:
            self._send.send_nowait(msg)
        except trio.WouldBlock:
            self._counters.add("feed_push_overflow")
            for node in self._nodes.values():
                node.pushed = False

    async def run(self) -> None:
        """Send the queued pushes."""
        async for msg in self._receive:
            names = [name for name, node in self._nodes.items() if node.pushed]
            for number, name in enumerate(names):
                if number % SENDS_PER_STEP == SENDS_PER_STEP - 1:
                    await trio.lowlevel.checkpoint()
                self._send_one(name, msg)

    def _send_one(self, name: str, msg: FeedPush) -> None:
        node = self._nodes.get(name)
        if node is None or not node.pushed:
            return
        if now_ms() - node.polled_ms > SILENT_INTERVALS * self._cfg.poll_interval_ms:
            del self._nodes[name]
            return
        try:
            self._peers.send(name, msg)
            self._counters.add("feed_pushes")
        except PeerError:
            # It gets pushes again with its next poll.
            node.pushed = False
            self._counters.add("feed_push_dropped")

    def _drop_silent(self) -> None:
        oldest_ms = now_ms() - SILENT_INTERVALS * self._cfg.poll_interval_ms
        self._nodes = {n: s for n, s in self._nodes.items() if s.polled_ms >= oldest_ms}
