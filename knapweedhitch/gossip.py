"""Gossip: authenticated datagrams and the queue of membership updates to disseminate."""

from __future__ import annotations

import hashlib
import hmac
import math
from collections.abc import Callable

import cbor2

from knapweedhitch import codec, faults
from knapweedhitch.codec import Message
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import CodecError
from knapweedhitch.messages import PROTOCOL_VERSION, Verdict
from knapweedhitch.model import Address, Member
from knapweedhitch.transport import Datagrams

MAC_BYTES = 16
# If every node sends an update c times to random members and a share p of the datagrams is lost,
# one node in e^(c * (1 - p)) misses it. ln(members) + 4 leaves some misses to anti-entropy; twice
# that keeps an urgent update below one miss in 10^5 changes at 15,000 members and 20% loss.
EXTRA_TRANSMISSIONS = 4
URGENT_FACTOR = 2
URGENT_LEVEL = 0
NORMAL_LEVEL = 1

Update = Member | Verdict
DatagramHandler = Callable[[Message, Address], None]


def encoded_bytes(update: Update) -> int:
    """Return the encoded size of an update in a message."""
    return len(cbor2.dumps(codec.to_plain(update)))


class UpdateQueue:
    """Queue one update per node for gossip, the least often sent first."""

    def __init__(self, max_updates: int, max_update_bytes: int, counters: Counters) -> None:
        self._max_updates = max_updates
        self._max_update_bytes = max_update_bytes
        self._counters = counters
        self._levels: list[dict[str, tuple[Update, int, bool]]] = []
        self._level_by_node: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._level_by_node)

    def add(self, update: Update, *, urgent: bool = False) -> None:
        """Queue the update of a node, replacing an older one.

        Over the limit, the update sent most often is dropped.
        """
        self._remove(update.node_id)
        size = encoded_bytes(update)
        if size > self._max_update_bytes:
            # It is sent over links and by anti-entropy only.
            self._counters.add("gossip_updates_dropped", "too-large")
            return
        if len(self) >= self._max_updates:
            level = next(i for i in range(len(self._levels) - 1, -1, -1) if self._levels[i])
            self._remove(next(iter(self._levels[level])))
            self._counters.add("gossip_updates_dropped", "full")
        level = URGENT_LEVEL if urgent else NORMAL_LEVEL
        self._put_in_level(level, update, size, urgent)

    def has_record(self, node_id: str) -> bool:
        """Return whether a full record of the node is queued."""
        level = self._level_by_node.get(node_id)
        return level is not None and isinstance(self._levels[level][node_id][0], Member)

    def _put_in_level(self, level: int, update: Update, size: int, urgent: bool) -> None:
        while len(self._levels) <= level:
            self._levels.append({})
        self._levels[level][update.node_id] = (update, size, urgent)
        self._level_by_node[update.node_id] = level

    def _remove(self, node_id: str) -> None:
        level = self._level_by_node.pop(node_id, None)
        if level is not None:
            del self._levels[level][node_id]

    def take_updates(
        self, max_bytes: int, members: int
    ) -> tuple[tuple[Member, ...], tuple[Verdict, ...]]:
        """Return updates up to the given total size and count them as sent once more."""
        level_limit = math.ceil(math.log(members + 1)) + EXTRA_TRANSMISSIONS
        selected: list[tuple[int, Update, int, bool]] = []
        for level, entries in enumerate(self._levels):
            for update, size, urgent in entries.values():
                if size <= max_bytes:
                    max_bytes -= size
                    selected.append((level, update, size, urgent))
                elif max_bytes < 32:
                    break
        for level, update, size, urgent in selected:
            self._remove(update.node_id)
            if level + 1 < level_limit * (URGENT_FACTOR if urgent else 1):
                self._put_in_level(level + 1, update, size, urgent)
        updates = [entry[1] for entry in selected]
        return (
            tuple(u for u in updates if isinstance(u, Member)),
            tuple(u for u in updates if isinstance(u, Verdict)),
        )


class GossipSocket:
    """Send and receive messages in datagrams authenticated by a MAC.

    A replayed datagram is accepted: it holds only records and verdicts older than the current
    ones, or an ack without a pending probe.
    """

    def __init__(
        self,
        datagrams: Datagrams,
        secret: bytes,
        cluster: str,
        max_bytes: int,
        counters: Counters,
    ) -> None:
        self._datagrams = datagrams
        self._max_bytes = max_bytes
        self._counters = counters
        label = f"knapweedhitch gossip {PROTOCOL_VERSION} {cluster}".encode()
        self._key = hmac.digest(secret, label, hashlib.sha256)

    def send(self, msg: Message, address: Address) -> int:
        """Send a message without waiting and return its size in bytes, or 0 if it was dropped."""
        body = codec.encode(msg)
        data = self._mac(body) + body
        if len(data) > self._max_bytes:
            self._counters.add("gossip_dropped", "too-large")
            return 0
        if not self._datagrams.send(data, address):
            self._counters.add("gossip_dropped", "send")
            return 0
        self._counters.add("gossip_bytes_out", type(msg).__name__, len(data))
        return len(data)

    async def run(self, fn: DatagramHandler) -> None:
        """Call fn with every valid message until cancelled."""
        while True:
            data, address = await self._datagrams.receive()
            msg = self._verify_and_decode(data)
            if msg is not None:
                self._handle(fn, msg, address)

    def _handle(self, fn: DatagramHandler, msg: Message, address: Address) -> None:
        try:
            fn(msg, address)
        except Exception as exc:
            if faults.breaks_invariant(exc):
                raise
            # Any node may have sent it; the others still need this one.
            faults.record(self._counters, "datagram_fault", exc, message=type(msg).__name__)

    def _verify_and_decode(self, data: bytes) -> Message | None:
        self._counters.add("gossip_bytes_in", "", len(data))
        if not MAC_BYTES < len(data) <= self._max_bytes:
            self._counters.add("gossip_rejected", "size")
            return None
        body = data[MAC_BYTES:]
        if not hmac.compare_digest(data[:MAC_BYTES], self._mac(body)):
            self._counters.add("gossip_rejected", "mac")
            return None
        try:
            return codec.decode(body, self._max_bytes)
        except CodecError:
            self._counters.add("gossip_rejected", "codec")
            return None

    def _mac(self, body: bytes) -> bytes:
        return hmac.digest(self._key, body, hashlib.sha256)[:MAC_BYTES]
