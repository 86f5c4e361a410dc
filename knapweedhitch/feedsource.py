"""The serving side of the feed: a bounded table of subscribers, and pushes to them."""

from __future__ import annotations

import dataclasses

import trio

from knapweedhitch.clock import now_ms
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import PeerError
from knapweedhitch.messages import FeedPush
from knapweedhitch.rpc import Transport
from knapweedhitch.settings import FeedSettings

MAX_QUEUED_PUSHES = 64
# A node that has not polled for this many poll intervals is dropped.
MAX_SILENT_INTERVALS = 10
SENDS_PER_CHECKPOINT = 64


class PushTransport(Transport):
    """Send requests and best-effort messages."""

    def send(self, node_id: str, msg: FeedPush) -> None:
        """Queue a message; raises PeerError if the bounded queue is full."""


@dataclasses.dataclass(slots=True)
class _Subscriber:
    """Track when a node polled last and whether it receives pushes."""

    polled_ms: float
    receives_pushes: bool


class Subscribers:
    """Track the nodes that poll here and push new changes to those that keep up."""

    def __init__(
        self, cfg: FeedSettings, limit: int, peers: PushTransport, counters: Counters
    ) -> None:
        self._cfg = cfg
        self._limit = limit
        self._peers = peers
        self._counters = counters
        self._nodes: dict[str, _Subscriber] = {}
        self._send, self._receive = trio.open_memory_channel[FeedPush](MAX_QUEUED_PUSHES)

    def __len__(self) -> int:
        return len(self._nodes)

    def admit(self, node_id: str, lag_changes: int, *, subscribe: bool) -> bool:
        """Record a poll; return False if the table is full and the node must poll elsewhere."""
        node = self._nodes.get(node_id)
        if node is None:
            if len(self._nodes) >= self._limit:
                self._drop_silent()
            if len(self._nodes) >= self._limit:
                self._counters.add("feed_subscribers_full")
                return False
            node = self._nodes[node_id] = _Subscriber(0.0, False)
        node.polled_ms = now_ms()
        # A node that is far behind polls until it has caught up.
        node.receives_pushes = subscribe and lag_changes <= self._cfg.max_lag_changes
        return True

    def push(self, msg: FeedPush) -> None:
        """Queue a push to every subscriber; if the queue is full, all fall back to polling."""
        try:
            self._send.send_nowait(msg)
        except trio.WouldBlock:
            self._counters.add("feed_push_overflow")
            for node in self._nodes.values():
                node.receives_pushes = False

    async def run(self) -> None:
        """Send the queued pushes until cancelled."""
        async for msg in self._receive:
            names = [name for name, node in self._nodes.items() if node.receives_pushes]
            for number, name in enumerate(names):
                if number % SENDS_PER_CHECKPOINT == SENDS_PER_CHECKPOINT - 1:
                    await trio.lowlevel.checkpoint()
                self._send_to(name, msg)

    def _send_to(self, name: str, msg: FeedPush) -> None:
        node = self._nodes.get(name)
        if node is None or not node.receives_pushes:
            return
        if now_ms() - node.polled_ms > MAX_SILENT_INTERVALS * self._cfg.poll_interval_ms:
            del self._nodes[name]
            return
        try:
            self._peers.send(name, msg)
            self._counters.add("feed_pushes")
        except PeerError:
            # The next poll of the node enables pushes again.
            node.receives_pushes = False
            self._counters.add("feed_push_dropped")

    def _drop_silent(self) -> None:
        oldest_ms = now_ms() - MAX_SILENT_INTERVALS * self._cfg.poll_interval_ms
        self._nodes = {n: s for n, s in self._nodes.items() if s.polled_ms >= oldest_ms}
