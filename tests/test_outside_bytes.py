"""Fuzz tests of each reader of bytes from outside: valid messages with mutated fields."""

from __future__ import annotations

import contextlib
import math
import types
import unittest
import zlib
from collections.abc import Iterator
from typing import Any

import cbor2
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhitch import (
    announcement,
    changes,
    changes_json,
    codec,
    configuration,
    framing,
    plain,
    snapshot,
    upstreamload,
    wal,
)
from knapweedhitch.exceptions import (
    BadRequest,
    ChangeError,
    CodecError,
    CorruptFile,
    InvalidChange,
    Refusal,
)
from knapweedhitch.history import ConfigurationMachine
from knapweedhitch.platform import heartbeats
from knapweedhitch.platform import items as platform_items
from knapweedhitch.platform.settings import HEADERS
from knapweedhitch.settings import ControlSettings
from tests import operator_fakes
from tests.message_samples import plain as plain_message
from tests.message_samples import samples
from tests.outside_bytes import cbor_bodies, damaged, json_bodies
from tests.test_platform import FIRST_PATCH

BOUNDED = settings(derandomize=True, deadline=None, max_examples=150)

HEARTBEAT = {
    "address": "127.0.0.1:9000",
    "info": {"service": "robes", "slots": 6},
    "status": {"state": "ready", "seq": 1, "coldRemainingS": 0.5},
    "born": 1_000,
}
ANNOUNCEMENT = {
    "service": "robes",
    "address": "127.0.0.1:9000",
    "slots": 6,
    "connections": 60,
    "instance_id": "i-1",
    "incarnation": 7,
    "state": "serving",
}
SERVICE = {
    "name": "robes",
    "hosts": ["robes.example"],
    "default_deadline_ms": 1_000,
    "hedge": True,
    "max_ejected_ratio": 0.5,
}
OPS = (
    {"kind": "put_service", "service": SERVICE},
    {"kind": "apply_all", "services": [SERVICE, {**SERVICE, "name": "b", "hosts": ["b"]}]},
    {"kind": "remove_service", "name": "robes"},
    {"kind": "domain_out", "domain": "d0", "allow_last": True},
    {"kind": "node_drain", "node_id": "n0"},
)
CHANGES = tuple(
    {"change_id": "c-1", "base_version": 0, "operator": "op", "op": dict(op)} for op in OPS
)


def stamped_change(op: Any) -> changes.StampedChange:
    """Return the stamped change of an operation."""
    return changes.StampedChange(changes.Change("c-1", None, "op", op), 1_000, {})


@contextlib.contextmanager
def refused(*errors: type[Exception]) -> Iterator[None]:
    """Let a reader refuse its input by one of its typed errors only."""
    try:
        yield
    except errors:
        pass


def sample_operations() -> tuple[changes.Operation, ...]:
    """Return an operation of each kind."""
    forms = [changes_json.to_change(changes_json.parse_change(raw)).op for raw in CHANGES]
    patch = platform_items.decode_patch(plain.dump(FIRST_PATCH))
    return (*forms, changes.PatchItems(patch))


class PeerTest(unittest.TestCase):
    DOCUMENTS = tuple(plain_message(msg) for msg in samples().values())

    @BOUNDED
    @given(cbor_bodies(DOCUMENTS))
    def test_message_of_a_peer_is_decoded_or_refused(self, data: bytes) -> None:
        """Guards against a message whose decoding ends a link, or a process, untyped; what was
        decoded can be logged and sent on.
        """
        with refused(CodecError):
            msg = codec.decode(data)
            str(msg)
            self.assertEqual(type(codec.decode(codec.encode(msg))), type(msg))

    @BOUNDED
    @given(
        st.sampled_from(sample_operations()).flatmap(
            lambda op: cbor_bodies((cbor2.loads(changes.encode_stamped(stamped_change(op))),))
        )
    )
    def test_logged_change_is_applied_or_refused(self, data: bytes) -> None:
        """Guards against a change in the log that ends each control instance that applies it."""
        machine = ConfigurationMachine(ControlSettings(members=()))
        machine.apply(data)
        ConfigurationMachine(ControlSettings(members=())).restore(machine.snapshot())
        configuration.to_state(machine.current)

    def test_snapshot_with_wrong_types_is_refused_whole(self) -> None:
        """Guards against a snapshot that ends a control instance, or of which a part is taken."""
        valid = _history()
        machine = _filled_machine()
        before = machine.snapshot()
        for at, value in ((1, math.nan), (1, math.inf), (1, []), (1, 2.5), (2, [[[], 1]]), (3, 1)):
            raw = [*valid[:at], value, *valid[at + 1 :]]
            with self.subTest(at=at, value=value), self.assertRaises(CodecError):
                machine.restore(zlib.compress(cbor2.dumps(raw)))
            self.assertEqual(machine.snapshot(), before)

    @BOUNDED
    @given(st.data())
    def test_state_of_a_peer_is_decoded_or_refused(self, data: st.DataObject) -> None:
        """Guards against a state in a poll reply or a snapshot that ends the process."""
        state = data.draw(cbor_bodies((_state(),)))
        packed = data.draw(damaged(zlib.compress(state)))
        with refused(CodecError):
            cfg = configuration.from_state(packed)
            str(cfg)
            configuration.to_state(cfg)
        snap = data.draw(cbor_bodies(([3, 1, {"n0": "d"}, "g", b"s"],)))
        with refused(CodecError, CorruptFile):
            raw = codec.load_plain(snap)
            snapshot.decode(wal.frame(0, raw))
        with refused(ChangeError, CodecError, CorruptFile):
            machine = ConfigurationMachine(ControlSettings(members=()))
            machine.restore(zlib.compress(data.draw(cbor_bodies((_history(),)))))
            str(machine.history())


def _filled_machine() -> ConfigurationMachine:
    machine = ConfigurationMachine(ControlSettings(members=()))
    for number, op in enumerate(sample_operations()):
        change = changes.Change(f"c-{number}", None, "op", op)
        machine.apply(changes.encode_stamped(changes.StampedChange(change, 1_000, {})))
    return machine


def _state() -> Any:
    return cbor2.loads(zlib.decompress(configuration.to_state(_filled_machine().current)))


def _history() -> Any:
    return cbor2.loads(zlib.decompress(_filled_machine().snapshot()))


class OperatorTest(unittest.TestCase):
    def test_text_that_no_log_can_hold_is_refused(self) -> None:
        """Guards against an answer of 500 to a change with half of a surrogate pair."""
        for body in (b'{"operator": "\\ud800"}', b'{"a": [{"\\uDFFF": 1}]}'):
            with self.subTest(body=body), self.assertRaises(BadRequest):
                plain.parse_object(body)
        pair = plain.parse_object(b'{"a": "\\ud83d\\ude00"}')
        self.assertEqual(pair, {"a": "\U0001f600"})

    @BOUNDED
    @given(json_bodies(CHANGES))
    def test_change_of_an_operator_is_logged_or_refused(self, body: bytes) -> None:
        """Guards against an answer of 500 to a change that is malformed."""
        with refused(InvalidChange, Refusal):
            change = changes_json.to_change(changes_json.parse_change(plain.parse_object(body)))
            self.assertEqual(changes.decode_change(changes.encode_change(change)), change)

    @BOUNDED
    @given(json_bodies((FIRST_PATCH,)))
    def test_patch_of_an_operator_is_logged_or_refused(self, body: bytes) -> None:
        """Guards against a patch that is accepted and can't be logged, merged or read again."""
        with refused(InvalidChange):
            patch = platform_items.decode_patch(body)
            machine = ConfigurationMachine(ControlSettings(members=()))
            machine.apply(changes.encode_stamped(stamped_change(changes.PatchItems(patch))))
            platform_items.encode_items(machine.current.items)
            configuration.from_state(configuration.to_state(machine.current))

    @BOUNDED
    @given(json_bodies((HEARTBEAT,)))
    def test_heartbeat_of_an_upstream_is_taken_or_refused(self, body: bytes) -> None:
        """Guards against an answer of 500 to a heartbeat that is malformed."""
        with refused(Refusal):
            heartbeat = heartbeats.decode_heartbeat(body)
            announcement.check_record(heartbeat.record("i-1", 5))
            self.assertGreaterEqual(heartbeat.cold_ms, 0)
        with refused(Refusal):
            heartbeats.decode_deregistration(body)

    @BOUNDED
    @given(json_bodies((ANNOUNCEMENT,)))
    def test_announcement_is_taken_or_refused(self, body: bytes) -> None:
        """Guards against an announcement that ends its connection without an answer."""
        with refused(Refusal):
            announcement.check_record(announcement.parse_announcement(body))


class OperatorApiTest(unittest.TestCase):
    COMMAND = types.MappingProxyType({"change_id": "c-1", "operator": "op"})
    PATHS = (
        "/v1/changes",
        "/v1/domains/d0/out",
        "/v1/domains/%ff/in",
        "/v1/nodes/n0/drain",
        "/v1/nodes/%00%0d%0a/undrain?seen_version=3",
        "/v1/config/history?limit=" + "9" * 30,
        "/v1/config/history?limit=%d9%a1",
        "/v1/explain/%ed%a0%80",
        "/v1/status?" + "&" * 20,
        "*",
        "//",
        "/%",
    )
    AUTHORIZATIONS = (
        f"Bearer {operator_fakes.TOKEN}",
        f"Bearer {operator_fakes.TOKEN}",
        f"Bearer {operator_fakes.TOKEN}",
        "Bearer \u00ff",
        "Basic",
    )

    @BOUNDED
    @given(
        st.sampled_from(("POST", "POST", "POST", "GET", "HEAD", "\u00ff")),
        st.sampled_from(PATHS),
        st.sampled_from(AUTHORIZATIONS),
        json_bodies((*CHANGES, dict(COMMAND))),
        st.data(),
    )
    def test_request_of_an_operator_gets_no_500(
        self, method: str, path: str, authorization: str, body: bytes, data: st.DataObject
    ) -> None:
        """Guards against malformed requests that look like a fault of the process."""
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nAuthorization: {authorization}\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        raw = data.draw(damaged(head.encode("latin-1") + body))
        world = operator_fakes.World()

        async def main() -> bytes:
            return await world.raw(raw, end=data.draw(st.booleans()) or len(raw) < 400)

        clock = trio.testing.MockClock(autojump_threshold=0)
        received = trio.run(main, clock=clock)
        self.assertNotIn(b"HTTP/1.1 500", received)
        self.assertEqual(world.kernel.get("counters").get("faults", "connection-fault"), 0)


class HeaderTest(unittest.TestCase):
    REPORTS = (
        (b"server-load", b"1,0,6,100"),
        (b"server-limit", b"11.5"),
        (b"server-leaving", b"1"),
        (b"keep-alive", b"timeout=5, max=3"),
    )

    @BOUNDED
    @given(
        st.sampled_from(REPORTS).flatmap(
            lambda field: st.tuples(
                st.just(field[0]),
                damaged(field[1])
                | st.sampled_from(
                    (b"nan", b"1e999", b"-1", b"9" * 5_000, b"1,,2", b"\xff", b"0x1", b"1_0,0,1")
                ),
            )
        )
    )
    def test_report_of_an_upstream_is_used_or_counted(self, field: tuple[bytes, bytes]) -> None:
        """Guards against a header of an upstream that fails the request it came with."""
        names = framing.header_names(HEADERS)
        report = upstreamload.parse_report([field], names, "i-1", 0.0)
        if report.load is not None:
            self.assertTrue(math.isfinite(report.load.slowdown))
        framing.keep_alive_s([field])
