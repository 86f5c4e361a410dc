"""Tests of the operator listener, the metrics page and the parsing of changes in JSON."""

from __future__ import annotations

import contextlib
import functools
import json
import logging
import re
import unittest
from typing import Any

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhitch import changes_json, metrics, plain
from knapweedhitch.clock import now_ms
from knapweedhitch.counters import Counters, MetricsSnapshot
from knapweedhitch.exceptions import (
    InvalidChange,
    NotLeader,
    OperatorRefused,
    PeerTimeout,
    PeerUnreachable,
    ProposalUnknown,
    VersionConflict,
)
from knapweedhitch.messages import ProposeReply
from tests.operator_fakes import TOKEN, MemoryClient, World, read_all, run, split_response

logging.disable(logging.CRITICAL)

BOUNDED = settings(derandomize=True, deadline=None, max_examples=150)
CHANGE_FIELDS = {"change_id": "c1", "operator": "ann"}
STATUS_BY_VERSION = {None: 307, "7": 200, "x": 400}
LABEL = st.text('ab"\\\n é', max_size=8)
JSON_VALUE = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.sampled_from(["op", "kind", "service", "name", "x"]), inner, max_size=4),
    max_leaves=12,
)


class RequestTest(unittest.TestCase):
    @BOUNDED
    @given(st.binary(max_size=300) | st.text(max_size=100).map(lambda t: f"GET /{t}".encode()))
    def test_any_bytes_leave_the_listener_serving(self, data: bytes) -> None:
        """Guards against malformed requests that crash the process or hang the connection."""
        world = World()
        response = run(world.raw, data)
        if response:
            self.assertIn(int(response.split()[1]), {400, 401, 404, 405, 408, 413, 431, 501})
        self.assertEqual(run(world.ask, "GET", "/ready")[0], 200)

    @BOUNDED
    @given(
        st.sampled_from(["/v1/changes", "/v1/domains/east/out", "/v1/nodes/n2/drain", "/v1/x"]),
        JSON_VALUE,
    )
    def test_any_json_gets_a_typed_refusal_or_a_version(self, path: str, body: object) -> None:
        """Guards against a body that enters the log unvalidated or causes an internal error."""
        status, response = run(World().ask, "POST", path, body)
        self.assertIn(status, {200, 400, 404, 422})
        self.assertTrue("version" in response if status == 200 else response["error"])

    def test_requests_with_a_wrong_token_are_refused(self) -> None:
        """Guards against access without the token, and against reading a body before the check."""
        good = f"Bearer {TOKEN}"
        cases = [[], [""], ["Bearer"], [good[:-1]], [good + "x"], [f"Basic {TOKEN}"], [good, good]]
        for values in [*cases, ["Bearer \u00ff"]]:
            for target in ("GET /v1/status", "GET /metrics", "GET /x", "POST /v1/changes"):
                head = f"{target} HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n"
                head += "".join(f"Authorization: {value}\r\n" for value in values)
                with self.subTest(target=target, values=values):
                    response = run(World().raw, f"{head}\r\nx".encode("latin-1"))
                    self.assertEqual(split_response(response)[1]["error"], "unauthorized")

    def test_oversized_header_and_body_are_refused(self) -> None:
        """Guards against unbounded memory use by one request."""
        world = World()
        large_request = b"GET / HTTP/1.1\r\nHost: x\r\nX-Y: " + b"y" * 40_000 + b"\r\n\r\n"
        self.assertEqual(
            split_response(run(world.raw, large_request))[1]["error"], "header-too-large"
        )
        body = {"x": "y" * (world.api.cfg.max_body_bytes + 1)}
        self.assertEqual(run(world.ask, "POST", "/v1/changes", body)[0], 413)

    def test_silent_and_slow_connections_are_closed(self) -> None:
        """Guards against idle or slow connections that stay open for ever."""

        async def scenario(data: bytes) -> tuple[bytes, float]:
            started = trio.current_time()
            async with World().connected() as client:
                await client.send_all(data)
                response = await read_all(client)
            return response, trio.current_time() - started

        auth = f"Host: x\r\nAuthorization: Bearer {TOKEN}\r\n".encode()
        cases = [
            (b"GET /rea", 408, 5.0),
            (b"POST /v1/changes HTTP/1.1\r\n" + auth + b"Content-Length: 9\r\n\r\n{", 408, 5.0),
            (b"", 0, 30.0),
        ]
        for data, status, seconds in cases:
            with self.subTest(data=data):
                response, elapsed_s = run(scenario, data)
                self.assertEqual(int(response.split()[1]) if response else 0, status)
                self.assertAlmostEqual(elapsed_s, seconds, delta=0.1)

    def test_client_that_stops_reading_is_disconnected(self) -> None:
        """Guards against a response that blocks for ever because the client doesn't read."""

        async def scenario() -> float:
            world = World()
            client, server = trio.testing.lockstep_stream_pair()
            started = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(world.api.serve_stream, server)
                await client.send_all(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            return trio.current_time() - started

        self.assertAlmostEqual(run(scenario), 10.0, delta=0.1)

    def test_connection_over_the_limit_gets_a_reason(self) -> None:
        """Guards against operators refused without a reason, or still after others disconnect."""

        async def scenario() -> tuple[Any, Any]:
            world = World()
            async with contextlib.AsyncExitStack() as stack:
                for _ in range(world.api.cfg.max_connections):
                    await stack.enter_async_context(world.connected())
                await trio.testing.wait_all_tasks_blocked()
                refused = await world.raw(b"")
            return split_response(refused)[1]["error"], (await world.ask("GET", "/ready"))[0]

        self.assertEqual(run(scenario), ("too-many-connections", 200))

    def test_requests_follow_each_other_on_one_connection(self) -> None:
        """Guards against pipelined requests that are lost or get the wrong response."""
        get = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
        head = b"HEAD /ready HTTP/1.1\r\nHost: x\r\n\r\n"
        responses = run(World().raw, get + head + get).split(b"HTTP/1.1 ")[1:]
        self.assertEqual([r[:3] for r in responses], [b"200", b"405", b"200"])

    def test_upgrade_and_expectation_are_answered(self) -> None:
        """Guards against a client stuck waiting for "100 Continue" or for a protocol upgrade."""
        head = f"POST /v1/changes HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n"
        expecting = f"{head}Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"

        async def scenario() -> bytes:
            async with World().connected() as client:
                await client.send_all(expecting.encode())
                first = await client.receive_some(1_000)
                await client.send_all(b"{}")
                return first + b"|" + await client.receive_some(1_000)

        statuses = [part.split()[1] for part in run(scenario).split(b"|")]
        self.assertEqual(statuses, [b"100", b"422"])
        upgrade = f"{head}Upgrade: h2c\r\nConnection: upgrade\r\nContent-Length: 0\r\n\r\n"
        response = split_response(run(World().raw, upgrade.encode()))
        self.assertEqual((response[0], response[1]["error"]), (501, "upgrade-refused"))

    def test_fault_in_a_handler_is_an_internal_error(self) -> None:
        """Guards against an exception in another service that ends the listener."""
        world = World()
        status, response = run(world.ask, "GET", "/v1/explain/fault")
        self.assertEqual(
            (status, response["error"], response["outcome"]), (500, "internal", "unknown")
        )
        self.assertEqual(run(world.ask, "GET", "/v1/explain/req-1"), (200, {"picked": "n2"}))


class ChangeTest(unittest.TestCase):
    def test_last_domain_needs_permission(self) -> None:
        """Guards against an operator who accidentally leaves a service without any target."""
        world = World()
        world.membership.domains = {"n1": "east", "n3": "east"}
        status, response = run(world.ask, "POST", "/v1/domains/east/out", CHANGE_FIELDS)
        self.assertEqual((status, response["error"]), (422, "last-domain"))
        self.assertIn("robes", response["detail"])
        status, _ = run(
            world.ask, "POST", "/v1/domains/east/out", CHANGE_FIELDS | {"allow_last": True}
        )
        self.assertEqual(status, 200)

    def test_permission_for_the_last_domain_reaches_the_log(self) -> None:
        """Guards against a last-domain check that relies on this node's view alone."""
        world = World()
        run(world.ask, "POST", "/v1/domains/east/out", CHANGE_FIELDS)
        again = CHANGE_FIELDS | {"allow_last": True, "change_id": "another"}
        run(world.ask, "POST", "/v1/domains/east/out", again)
        self.assertEqual([c.op.allow_last for c in world.control.changes], [False, True])
        # With a base version, an unrelated change could make an urgent removal fail.
        self.assertEqual({c.base_version for c in world.control.changes}, {None})

    def test_other_changes_do_not_make_an_order_fail(self) -> None:
        """Guards against an urgent removal that fails because of unrelated changes."""
        world = World()
        world.control.errors = [VersionConflict(7, 8), VersionConflict(8, 7)]
        response = run(MemoryClient(world).change, "/v1/domains/west/out", CHANGE_FIELDS)
        change = world.control.changes[0]
        self.assertEqual(response, {"change_id": "c1", "version": 8})
        self.assertEqual((change.base_version, change.seen_version), (None, 7))

    def test_order_that_changes_the_state_is_redirected(self) -> None:
        """Guards against an order of the past that is carried out when a slow link delivers it."""
        world = World()
        payload = json.dumps(CHANGE_FIELDS).encode()
        head = (
            "POST {} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            f"Authorization: Bearer {TOKEN}\r\nContent-Length: {len(payload)}\r\n\r\n"
        )
        for path in ("/v1/domains/south/in", "/v1/nodes/n2/drain"):
            for version in (None, "7", "x"):
                query = f"?seen_version={version}" if version else ""
                data = head.format(path + query).encode() + payload
                with self.subTest(path=path, version=version):
                    response = run(functools.partial(world.raw, data, end=False))
                    self.assertEqual(int(response.split()[1]), STATUS_BY_VERSION[version])
                    location = f"Location: {path}?seen_version=7\r\n".encode()
                    self.assertEqual(location.lower() in response.lower(), version is None)
            world = World()

    def test_command_follows_the_redirects_of_an_order(self) -> None:
        """Guards against a command whose order is never carried out, or followed without end."""
        world = World()
        change = run(MemoryClient(world).change, "/v1/domains/south/in", CHANGE_FIELDS)
        self.assertEqual(change, {"change_id": "c1", "version": 8})
        world.control.errors = [VersionConflict(7, 8)] * 100
        with self.assertRaises(OperatorRefused) as refused:
            run(MemoryClient(world, attempts=1).change, "/v1/domains/south/out", CHANGE_FIELDS)
        self.assertEqual(refused.exception.error, "order-redirected")
        self.assertEqual(len(world.control.errors), 97)

    def test_resent_change_is_applied_once(self) -> None:
        """Guards against a change that is applied twice after its response was lost."""
        world = World()
        body = {
            **CHANGE_FIELDS,
            "base_version": None,
            "op": {"kind": "node_drain", "node_id": "n2"},
        }
        first = run(MemoryClient(world).change, "/v1/changes", body)
        self.assertEqual(run(MemoryClient(world).change, "/v1/changes", body), first)
        self.assertEqual(len(world.control.changes), 1)

    def test_service_fields_are_checked(self) -> None:
        """Guards against an invalid service configuration in the log, which nodes can't use."""
        good = {"name": "a", "hosts": ["a.example"]}
        self.assertEqual(changes_json.parse_service(good).hosts, ("a.example",))
        bad = [
            {"hosts": []},
            *({"hosts": hosts} for hosts in (["A.example"], "a.example", [1], None)),
            *({"retries": retries} for retries in (True, 11, -1, "2", 1.5)),
            {"name": "a/b"},
            {"require_key": 1},
            {"unknown": 1},
            {"default_deadline_ms": 70_000},
            {"max_ejected_ratio": 1.5},
            {"claim_retention_s": 10**30},
        ]
        for fields in bad:
            with self.subTest(fields=fields), self.assertRaises(InvalidChange):
                changes_json.parse_service(good | fields)


BODY = {**CHANGE_FIELDS, "base_version": None, "op": {"kind": "domain_in", "domain": "east"}}


class ProposerTest(unittest.TestCase):
    def post(
        self, replies: dict[str, list[Any]], *control_errors: Exception, base: int | None = None
    ) -> Any:
        """Submit a change at a node; its control service only exists to raise the given errors."""
        world = World(control=bool(control_errors))
        world.control.errors = list(control_errors)
        world.peers.replies = replies
        status, response = run(world.ask, "POST", "/v1/changes", {**BODY, "base_version": base})
        return status, response.get("error", response.get("version")), response

    def test_change_from_any_node_reaches_the_leader(self) -> None:
        """Guards against changes that are accepted only by the listener of the leader."""
        hint, accepted = ProposeReply(0, "NotLeader", "", "n3"), ProposeReply(9, "", "", "")
        for control_errors in ([], [NotLeader("n3")]):
            response = self.post({"n1": [hint], "n3": [accepted]}, *control_errors)
            self.assertEqual(response[:2], (200, 9))

    def test_silent_instance_delays_only_the_first_change(self) -> None:
        """Guards against changes that each wait for a suspended leader although a new one leads."""
        world = World(control=False)
        hint, accepted = ProposeReply(0, "NotLeader", "", "n1"), ProposeReply(9, "", "", "")
        world.peers.replies = {"n2": [hint], "n3": [accepted]}
        world.peers.silent.add("n1")
        timeout_ms = world.kernel.cfg.control.call_timeout_ms

        async def submit() -> list[float]:
            took_ms = []
            for number in range(3):
                start_ms = now_ms()
                body = BODY | {"change_id": f"c{number}", "base_version": 8}
                self.assertEqual((await world.ask("POST", "/v1/changes", body))[0], 200)
                took_ms.append(now_ms() - start_ms)
            return took_ms

        took_ms = run(submit)
        self.assertLess(took_ms[0], timeout_ms + 100)
        self.assertLess(max(took_ms[1:]), 100, took_ms)

    def test_new_leader_is_found_before_a_silent_one_is_asked_again(self) -> None:
        """Guards against changes that wait twice for the old leader, whom the others still name."""
        world = World(control=False)
        hint, accepted = ProposeReply(0, "NotLeader", "", "n1"), ProposeReply(9, "", "", "")
        world.peers.replies = {"n2": [hint], "n3": [hint, accepted]}
        world.peers.silent.add("n1")
        body = BODY | {"base_version": 8}
        self.assertEqual(run(world.ask, "POST", "/v1/changes", body)[0], 200)
        self.assertEqual(world.peers.asked, ["n1", "n2", "n3", "n2", "n3"])

    def test_named_leader_is_asked_next(self) -> None:
        """Guards against waiting for a silent instance when another one names the leader."""
        world = World(control=False)
        hint, accepted = ProposeReply(0, "NotLeader", "", "n3"), ProposeReply(9, "", "", "")
        world.peers.replies = {"n1": [hint], "n3": [accepted]}
        world.peers.silent.add("n2")
        body = BODY | {"base_version": 8}
        self.assertEqual(run(world.ask, "POST", "/v1/changes", body)[0], 200)
        self.assertEqual(world.peers.asked, ["n1", "n3"])

    def test_outcome_is_unknown_only_if_the_change_was_sent(self) -> None:
        """Guards against "refused" for a change in force and "unknown" for one never sent."""
        unreachable = {node: [PeerUnreachable("down")] for node in ("n1", "n2", "n3")}
        timed_out = {**unreachable, "n2": [PeerTimeout("late"), PeerUnreachable("down")]}
        refusing = [NotLeader("n9")] * 1_000
        self.assertEqual(self.post(unreachable)[:2], (503, "no-leader"))
        self.assertEqual(self.post(timed_out)[:2], (503, "proposal-unknown"))
        status, error, response = self.post(unreachable, *refusing)
        self.assertEqual((status, error, response["leader_id"]), (503, "no-leader", "n9"))
        response = self.post(unreachable, ProposalUnknown("lost"), *refusing)
        self.assertEqual(response[:2], (503, "proposal-unknown"))

    def test_refusals_of_the_leader_keep_their_type(self) -> None:
        """Guards against a conflict that is reported to scripts as another error."""
        conflict = ProposeReply(12, "VersionConflict", "c0", "")
        status, error, response = self.post({"n1": [conflict]}, base=4)
        self.assertEqual((status, error), (409, "version-conflict"))
        self.assertEqual([response[k] for k in ("base_version", "current_version")], [4, 12])
        self.assertEqual(response["winner"], "c0")
        invalid = ProposeReply(0, "InvalidChange", "why", "")
        self.assertEqual(self.post({"n1": [invalid]})[:2], (422, "invalid-change"))


class ViewTest(unittest.TestCase):
    def test_status_shows_lagging_nodes(self) -> None:
        """Guards against reporting a change as in force everywhere while a node lags."""
        rows = {row["node"]: row for row in run(World().ask, "GET", "/v1/status")[1]["nodes"]}
        self.assertEqual([rows[n]["lags"] for n in ("n1", "n2", "n3")], [False, True, True])

    def test_other_nodes_name_the_control_instances(self) -> None:
        """Guards against an empty history at a node that isn't a control instance."""
        world = World(control=False)
        self.assertIsNone(run(world.ask, "GET", "/v1/status")[1]["nodes"])
        status, response = run(world.ask, "GET", "/v1/config/history")
        self.assertEqual((status, response["error"]), (404, "not-a-control-instance"))
        self.assertIn("n1, n2, n3", response["detail"])

    def test_every_page_is_valid_json_without_a_fresh_configuration(self) -> None:
        """Guards against invalid JSON when the age of the configuration is infinite."""
        world = World()
        world.config.fresh = False
        for page in ("status", "config", "config/history", "services", "upstreams", "members"):
            self.assertEqual(run(world.ask, "GET", f"/v1/{page}")[0], 200, page)
        self.assertIsNone(run(world.ask, "GET", "/v1/status")[1]["config_age_ms"])
        self.assertEqual(run(world.ask, "GET", "/ready")[0], 503)

    def test_large_pages_let_other_tasks_run(self) -> None:
        """Guards against encoding a page of 15,000 nodes that blocks every call of the node."""
        world = World()
        world.membership.domains = {f"n{i}": "east" for i in range(2_000)}

        async def scenario(path: str) -> int:
            turns = 0
            async with trio.open_nursery() as nursery:

                async def count() -> None:
                    nonlocal turns
                    while True:
                        await trio.lowlevel.checkpoint()
                        turns += 1

                nursery.start_soon(count)
                status, response = await world.ask("GET", path)
                nursery.cancel_scope.cancel()
            self.assertEqual((status, len(list(response.values())[-1])), (200, 2_000))
            return turns

        for path in ("/v1/status", "/v1/members", "/v1/upstreams"):
            self.assertGreaterEqual(run(scenario, path), 2_000 / plain.ROWS_PER_STEP)

    def test_targets_that_get_no_calls_are_not_usable(self) -> None:
        """Guards against counting targets in an excluded failure domain as usable."""
        world = World()
        world.membership.domains["n3"] = "south"
        row = run(world.ask, "GET", "/v1/services")[1]["services"][0]
        self.assertEqual((row["targets"], row["usable_by_domain"]), (3, {"east": 1, "west": 1}))

    @BOUNDED
    @given(
        st.dictionaries(st.tuples(LABEL, LABEL), st.integers(0, 9)),
        st.dictionaries(LABEL, st.floats()),
    )
    def test_metrics_page_holds_whole_lines(
        self, counts: dict[tuple[str, str], int], gauges: dict[str, float]
    ) -> None:
        """Guards against a counter name or reason that makes the whole page unparsable."""
        counters = Counters()
        counters.record("call", 1.5)
        page = metrics.render(MetricsSnapshot(counts, gauges, counters.snapshot().histograms))
        line = re.compile(
            r"# TYPE [a-zA-Z0-9_]+ (counter|gauge|summary)"
            r'|[a-zA-Z0-9_]+(\{[a-z]+="([^"\\\n]|\\["\\n])*"\})? (-?[0-9.e+-]+|NaN|[+-]Inf)'
        )
        kind, total = "", 0
        for text in page.split("\n")[:-1]:
            self.assertRegex(text, re.compile(rf"\A(?:{line.pattern})\Z"))
            if text.startswith("# TYPE"):
                kind = text.rsplit(" ", 1)[1]
            elif kind == "counter":
                total += int(text.rsplit(" ", 1)[1])
        self.assertEqual(total, sum(counts.values()))
