"""Tests of the client of the operator listener."""

from __future__ import annotations

import contextlib
import logging
import unittest
from unittest import mock

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhitch import operator_client
from knapweedhitch.exceptions import (
    NotLeader,
    OperatorAnswerLost,
    OperatorError,
    OperatorRefused,
    OperatorUnreachable,
    ProposalUnknown,
)
from knapweedhitch.model import Address
from tests.operator_fakes import MemoryClient, World, run

logging.disable(logging.CRITICAL)

BODY = {
    "change_id": "c1",
    "operator": "ann",
    "base_version": None,
    "op": {"kind": "domain_out", "domain": "east"},
}


def change(world: World, *faults: str) -> object:
    """Post the same change with a fault injected into each attempt."""
    return run(MemoryClient(world, *faults).change, "/v1/changes", BODY)


class ClientTest(unittest.TestCase):
    def test_lost_responses_do_not_repeat_the_change(self) -> None:
        """Guards against a change that is applied again for each lost response."""
        world = World()
        response = change(world, "lost", "lost")
        self.assertEqual(response, {"change_id": "c1", "version": 8})
        self.assertEqual(len(world.control.changes), 1)

    def test_outcome_is_unknown_when_every_response_is_lost(self) -> None:
        """Guards against reporting "nothing was changed" for a change that is in force."""
        for faults in (["lost"] * 3, ["lost", "refused", "refused"], ["silent"] * 3):
            with (
                self.subTest(faults=faults),
                self.assertRaisesRegex(OperatorAnswerLost, "change_id=c1"),
            ):
                change(World(), *faults)

    def test_refusal_after_a_lost_response_leaves_the_outcome_unknown(self) -> None:
        """Guards against reporting the refusal of a retry as the outcome of the first attempt."""
        world = World()
        bad = {**BODY, "op": {"kind": "domain_out", "domain": "-"}}
        with self.assertRaises(OperatorRefused):
            run(MemoryClient(world, "lost").change, "/v1/changes", bad)
        with self.assertRaises(OperatorAnswerLost):
            run(MemoryClient(world, "lost", token="x" * 20).change, "/v1/changes", BODY)

    def test_no_connection_means_nothing_was_sent(self) -> None:
        """Guards against reporting an unknown outcome when the daemon isn't running."""
        with self.assertRaises(OperatorUnreachable):
            change(World(), "refused")

    def test_request_without_a_leader_is_retried(self) -> None:
        """Guards against a command that fails because of a leader election of about a second."""
        world = World()
        world.peers.replies = {}
        world.control.errors = [NotLeader(None)] * 60
        self.assertEqual(change(world), {"change_id": "c1", "version": 8})
        world.control.errors = [NotLeader(None)] * 10_000
        with self.assertRaises(OperatorRefused) as caught:
            run(MemoryClient(world).change, "/v1/changes", {**BODY, "change_id": "c2"})
        self.assertEqual(caught.exception.error, "no-leader")

    def test_unconfirmed_proposal_is_sent_again_under_its_id(self) -> None:
        """Guards against abandoning a proposal that a retry could still confirm."""
        world = World()
        world.control.errors = [ProposalUnknown("lost")]
        self.assertEqual(change(world), {"change_id": "c1", "version": 8})

    def test_every_wait_is_bounded(self) -> None:
        """Guards against a command that waits for ever for an unresponsive daemon."""

        async def scenario() -> float:
            started = trio.current_time()
            with self.assertRaises(OperatorUnreachable):
                await MemoryClient(World(), *["silent"] * 3).get("/v1/status")
            return trio.current_time() - started

        self.assertLess(run(scenario), 31.0)

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(st.binary(max_size=200), st.booleans())
    def test_any_answer_gives_a_typed_error(self, data: bytes, with_head: bool) -> None:
        """Guards against a traceback when another program listens on the port."""
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" if with_head else b""

        async def respond(stream: trio.abc.Stream) -> None:
            await stream.receive_some(100_000)
            await stream.send_all(head + data)
            await stream.aclose()

        world = World()
        patched_server = mock.patch.object(world.api, "serve_stream", respond)
        with patched_server, contextlib.suppress(OperatorError):
            run(MemoryClient(world).get, "/v1/status")

    def test_redirect_without_a_path_is_a_refusal(self) -> None:
        """Guards against a traceback, or requests to another host, when another program answers."""

        async def respond(stream: trio.abc.Stream) -> None:
            await stream.receive_some(100_000)
            head = b"HTTP/1.1 307 x\r\nContent-Type: application/json\r\nContent-Length: 2\r\n"
            await stream.send_all(head + b"Location: http://elsewhere/\r\n\r\n{}")
            await stream.aclose()

        world = World()
        for fn, args in (("get", ("/v1/status",)), ("change", ("/v1/changes", BODY))):
            patched_server = mock.patch.object(world.api, "serve_stream", respond)
            with self.subTest(fn), patched_server, self.assertRaises(OperatorRefused) as refused:
                run(getattr(MemoryClient(world), fn), *args)
            self.assertEqual(refused.exception.status, 307)

    def test_addresses_are_parsed_completely(self) -> None:
        """Guards against a malformed address that is parsed as another port or host."""
        self.assertEqual(operator_client.parse_address("[::1]:70"), Address("::1", 70))
        for text in ("", "x", ":1", "x:", "x:0", "x:65536", "x:-1", "x:²"):
            with self.subTest(text=text), self.assertRaises(ValueError):
                operator_client.parse_address(text)
