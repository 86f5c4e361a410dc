"""Blocking senders of malformed bytes to real processes, and the events that tell of a fault."""

from __future__ import annotations

import hashlib
import hmac
import re
import socket
from pathlib import Path

from websockets.exceptions import WebSocketException
from websockets.sync.client import ClientConnection, connect

from knapweedhitch import codec, handshake, messages
from knapweedhitch.exceptions import CodecError
from knapweedhitch.gossip import MAC_BYTES
from knapweedhitch.peers import OPEN_CLUSTER_SECRET
from tests.message_samples import SENDER

CLUSTER = "knapweedhitch"
FAULT_EVENTS = (
    "api-fault",
    "connection-fault",
    "datagram_fault",
    "dial-fault",
    "fault",
    "internal-error",
    "link_fault",
    "member_subscriber_failed",
    "operator_request_failed",
    "peer_handler_failed",
    "probe_fault",
    "stream_handler_failed",
    "task_fault",
    "timer_error",
)
FAULT = re.compile(rf"event=({'|'.join(FAULT_EVENTS)})\b(.*)|^Traceback")
# For each call of a node, the type of its reply.
REPLIES = {
    "FeedPoll": "FeedReply",
    "Propose": "ProposeReply",
    "VoteRequest": "VoteReply",
    "AppendRequest": "AppendReply",
    "SnapshotChunk": "SnapshotReply",
    "Introduce": "IntroduceReply",
    "SyncDigest": "SyncVerdicts",
    "SyncExchange": "SyncMembers",
}


class FaultLog:
    """Collect the lines about faults in the logs of a folder."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def faults(self) -> set[str]:
        """Return the distinct faults, without what differs from line to line."""
        found = set()
        for path in sorted(self._folder.glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                match = FAULT.search(line)
                if match is not None:
                    found.add(f"{path.stem}: {line[match.start():][:300]}")
        return found


def exchange_bytes(address: str, data: bytes, timeout_s: float = 2.0) -> bytes:
    """Send bytes on a new connection, end it and return what comes back."""
    host, _, port = address.rpartition(":")
    received = b""
    try:
        with socket.create_connection((host, int(port)), timeout=timeout_s) as conn:
            conn.sendall(data)
            conn.shutdown(socket.SHUT_WR)
            while part := conn.recv(65_536):
                received += part
    except OSError:
        pass
    return received


def statuses(received: bytes) -> list[int]:
    """Return the statuses of the responses in received bytes."""
    return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d{3}) ", received)]


def datagram(body: bytes) -> bytes:
    """Return a datagram with the code of a cluster without a secret."""
    label = f"knapweedhitch gossip {messages.PROTOCOL_VERSION} {CLUSTER}".encode()
    key = hmac.digest(OPEN_CLUSTER_SECRET, label, hashlib.sha256)
    return hmac.digest(key, body, hashlib.sha256)[:MAC_BYTES] + body


class FakePeer:
    """Open links to a node and send frames on them."""

    def __init__(self, host: str, port: int) -> None:
        self._url = f"ws://{host}:{port}/"
        self._conn: ClientConnection | None = None

    def send(self, frame: bytes) -> None:
        """Send a frame, on a new link if the node has closed the last one."""
        for _ in range(2):
            try:
                if self._conn is None:
                    self._conn = self._open()
                self._conn.send(frame)
                return
            except (OSError, WebSocketException, CodecError):
                self.close()

    def receive(self, timeout_s: float) -> codec.Message | None:
        """Return the next message of the node, None if there is none in time."""
        if self._conn is None:
            return None
        try:
            data = self._conn.recv(timeout_s)
            assert isinstance(data, bytes)
            return codec.decode(data)
        except TimeoutError:
            return None
        except (OSError, WebSocketException, CodecError):
            self.close()
            return None

    def close(self) -> None:
        """Close the link without a close handshake."""
        if self._conn is not None:
            self._conn.socket.close()
            self._conn = None

    def _open(self) -> ClientConnection:
        conn = connect(
            self._url, compression=None, proxy=None, ping_interval=None, close_timeout=0.1
        )
        own = handshake.Identity(CLUSTER, SENDER, OPEN_CLUSTER_SECRET)
        hello = own.hello()
        conn.send(codec.encode(hello))
        answer = conn.recv(2.0)
        assert isinstance(answer, bytes)
        other = codec.decode(answer)
        assert isinstance(other, messages.Hello), other
        conn.send(
            codec.encode(handshake.compute_proof(own.secret, handshake.Role.DIALLER, hello, other))
        )
        conn.recv(2.0)
        return conn
