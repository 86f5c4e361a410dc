"""Fuzz test of the platform's programs: malformed input ends no process and gets no 500."""

from __future__ import annotations

import itertools
import socket
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import hypothesis
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhitch import codec, messages
from tests import platform_boot
from tests.message_samples import SENDER, plain, samples, with_incarnation
from tests.outside_bytes import cbor_bodies, damaged, encode_cbor, json_bodies
from tests.outside_senders import (
    REPLIES,
    FakePeer,
    FaultLog,
    datagram,
    exchange_bytes,
    statuses,
)
from tests.platform_world import APPS, CORES, PlatformWorld, StandInTarget
from tests.test_platform import FIRST_PATCH

# Set by scripts.fuzz_outside for long runs.
seed: int | None = None
examples = 40
SAMPLES = samples()
DEREGISTRATION = {"born": 1_000}

REQUEST = (
    b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: r1\r\nDeadline-Ms: 300\r\n"
    b"Content-Length: 3\r\n\r\nabc"
)
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nServer-Load: 1,0,6,100\r\nServer-Limit: 50\r\n"
    b"Instance-Id: i-1\r\nCold-Ms: 0\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\ndone"
)
ODD_FIELDS = st.sampled_from(
    (
        b"nan",
        b"1e999",
        b"-1",
        b"9" * 400,
        b"",
        b"\xff\xfe",
        b"\x00",
        b"0x10",
        b"1_000",
        b"1,2",
        b" " * 300,
        "é".encode(),
        b"a\r\n b",
        b"chunked",
        b"%ff%00",
        b"[::1",
    )
)


@st.composite
def http_bytes(draw: st.DrawFn, message: bytes) -> bytes:
    """Draw an HTTP message with a mutated field or line, or damaged bytes."""
    head, _, body = message.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    at = draw(st.integers(0, len(lines) - 1))
    kind = draw(st.sampled_from(("value", "value", "value", "remove", "repeat", "part", "keep")))
    if kind == "remove":
        del lines[at]
    elif kind == "repeat":
        lines.append(lines[at])
    elif kind == "value" and at:
        lines[at] = lines[at].partition(b":")[0] + b": " + draw(ODD_FIELDS)
    elif kind in ("value", "part"):
        parts = lines[at].split(b" ")
        parts[draw(st.integers(0, len(parts) - 1))] = draw(ODD_FIELDS)
        lines[at] = b" ".join(parts)
    return draw(damaged(b"\r\n".join(lines) + b"\r\n\r\n" + body))


class OddTarget(StandInTarget):
    """Send given bytes in place of a response."""

    raw = RESPONSE

    def do_GET(self) -> None:  # noqa: N802
        length = self.headers.get("content-length", "0")
        self.rfile.read(int(length) if length.isdigit() else 0)
        self.wfile.write(self.raw)
        self.close_connection = True


def post(path: str, body: bytes, method: bytes = b"POST") -> bytes:
    """Return the bytes of a request with a body."""
    target = path.encode()
    return b"%b %b HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%b" % (
        method,
        target,
        len(body),
        body,
    )


class MalformedInputTest(PlatformWorld):
    """Guards against input from outside that ends a process or that gets an answer of 500."""

    def setUp(self) -> None:
        super().setUp()
        self.target.handle_error = lambda *args: None  # type: ignore[method-assign]
        self.configure()
        self.wait_until("heartbeat", self.heartbeat, 200)
        self.faults = FaultLog(Path(self.folder.name))
        self.refusals: set[str] = set()
        self.incarnations = itertools.count(10)
        self.answered: Counter[str] = Counter()

    def run_examples(self, strategy: st.SearchStrategy[Any], fn: Callable[[Any], None]) -> None:
        """Pass drawn examples to a function and check the processes."""
        bounds = settings(
            derandomize=seed is None,
            deadline=None,
            max_examples=examples,
            database=None,
            phases=(hypothesis.Phase.generate,),
            suppress_health_check=tuple(hypothesis.HealthCheck),
        )
        run = bounds(given(strategy)(fn))
        if seed is not None:
            run = hypothesis.seed(seed)(run)
        run()
        self.check()

    def exchange(self, address: str, data: bytes) -> None:
        """Send bytes and check the status of the response."""
        received = exchange_bytes(address, data)
        if 500 in statuses(received):
            self.refusals.add(f"{received[-200:]!r} to {data[:2_000]!r}")

    def check(self) -> None:
        ended = {ip: proc.returncode for ip, proc in self.processes.items() if proc.poll()}
        self.assertEqual(ended, {}, self.logs())
        self.assertEqual(self.refusals, set())
        self.assertEqual(self.faults.faults(), set())

    def test_http_apis(self) -> None:
        app, core = self.address(APPS[0], "control"), self.address(CORES[0], "control")
        heartbeat = platform_boot.heartbeat(APPS[0], self.base)
        ids = st.sampled_from(("i-1", "%ff", "%00", "%0d%0a", "a" * 300, "%ed%a0%80", "é%20", ""))

        def send_heartbeat(drawn: tuple[str, bytes]) -> None:
            self.exchange(app, post(f"/knapweedhitch/instances/{drawn[0]}/heartbeat", drawn[1]))

        def deregister(drawn: tuple[str, bytes]) -> None:
            self.exchange(app, post(f"/knapweedhitch/instances/{drawn[0]}/deregister", drawn[1]))

        def send_patch(body: bytes) -> None:
            self.exchange(core, post("/knapweedhitch/config/patch", body))

        def evacuate(drawn: tuple[str, str, bytes]) -> None:
            zone, query, method = drawn
            for action in ("start", "finish"):
                path = f"/knapweedhitch/evacuations/{zone}/{action}{query}"
                self.exchange(core, post(path, b"", method))

        queries = st.sampled_from(
            ("", "?seen_version=1", "?seen_version=%ff", "?seen_version=" + "9" * 30, "?=&&=", "?%")
        )
        methods = st.sampled_from((b"POST", b"GET", b"HEAD", b"\xff", b"OPTIONS"))
        self.run_examples(st.tuples(ids, json_bodies((heartbeat,))), send_heartbeat)
        self.run_examples(st.tuples(ids, json_bodies((DEREGISTRATION,))), deregister)
        self.run_examples(json_bodies((FIRST_PATCH,)), send_patch)
        self.run_examples(st.tuples(ids, queries, methods), evacuate)

    def test_callers(self) -> None:
        address = self.address(APPS[0], "outbound")
        self.run_examples(http_bytes(REQUEST), lambda data: self.exchange(address, data))
        both = st.tuples(http_bytes(REQUEST), http_bytes(REQUEST)).map(b"".join)
        self.run_examples(both, lambda data: self.exchange(address, data))

    def test_upstream(self) -> None:
        self.target.RequestHandlerClass = OddTarget
        address = self.address(APPS[0], "outbound")

        def send(raw: bytes) -> None:
            OddTarget.raw = raw
            self.exchange(address, REQUEST)

        self.run_examples(http_bytes(RESPONSE), send)

    def test_datagrams(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sock.close)
        sock.bind((SENDER, 0))

        def send(body: bytes) -> None:
            body = with_incarnation(body, next(self.incarnations))
            for ip in (APPS[0], CORES[0]):
                sock.sendto(datagram(body)[:60_000], (ip, self.base + 4))

        kinds = ("Probe", "ProbeAck", "IndirectProbe", "Gossip")
        documents = tuple(plain(SAMPLES[kind]) for kind in kinds)
        self.run_examples(cbor_bodies(documents), send)

    def test_member_with_an_unusable_address(self) -> None:
        """Guards against a probe of a member whose address no socket takes."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sock.close)
        sock.bind((SENDER, 0))
        gossip = plain(SAMPLES["Gossip"])
        member = gossip[2][0]
        member[1][0] = "a\x00b"
        probe = plain(SAMPLES["IndirectProbe"])
        for number in range(20):
            member[4] = number
            for msg in (gossip, probe):
                for ip in (APPS[0], CORES[0]):
                    sock.sendto(datagram(encode_cbor(msg)), (ip, self.base + 4))
                time.sleep(0.05)
        self.check()

    def test_links(self) -> None:
        documents = tuple(plain(msg) for msg in SAMPLES.values())
        # The leader among the core instances calls each of them all the time.
        peers = [FakePeer(ip, self.base + 4) for ip in (APPS[0], *CORES)]
        replies = {
            kind: cbor_bodies((plain(SAMPLES[reply]),), may_damage=False)
            for kind, reply in REPLIES.items()
        }
        own = msgspec.structs.replace(SAMPLES["Gossip"].members[0], upstream=None, draining=False)

        def send(drawn: tuple[bytes, bool, dict[str, bytes]]) -> None:
            body, is_call, answers = drawn
            member = msgspec.structs.replace(own, incarnation=next(self.incarnations))
            body = with_incarnation(body, next(self.incarnations))
            for peer in peers:
                peer.send(codec.encode(messages.Gossip(SENDER, (member,), ())))
                peer.send(codec.encode(messages.CallMessage(3, body)) if is_call else body)
                while (msg := peer.receive(0.002)) is not None:
                    if isinstance(msg, messages.CallMessage):
                        kind = type(codec.decode(msg.body)).__name__
                        answer = answers.get(kind, b"")
                        error = "" if answer else "x" * 300
                        peer.send(codec.encode(messages.ReplyMessage(msg.call_id, answer, error)))
                        self.answered[kind] += 1

        drawn = st.tuples(cbor_bodies(documents), st.booleans(), st.fixed_dictionaries(replies))
        self.run_examples(drawn, send)
        rest = (codec.encode(SAMPLES["Gossip"]), False, dict.fromkeys(REPLIES, b""))
        self.wait_until("a reply was tried", lambda: send(rest) or bool(self.answered), True)
        for peer in peers:
            peer.close()
