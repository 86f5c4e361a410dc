"""Tests of the check of configuration calls before they are sent."""

from __future__ import annotations

import http.server
import json
import tempfile
import threading
import unittest
from pathlib import Path
from typing import Any

from hypothesis import HealthCheck, given, settings

from knapweedhitch import itemcheck
from knapweedhitch.exceptions import InvalidChange
from knapweedhitch.items import Items, Removal, merge
from knapweedhitch.platform import items as platform_items
from tests.test_cli import call
from tests.test_customers import CALLS, SECRET, customer, send
from tests.test_platform import FIRST_PATCH, LIMITS, ROUTE, SERVICES, replace_field

CUSTOMER = {"name": "t", "apiKeys": [SECRET], "ratePerS": 3, "burst": 3, "version": 7}
CALL = replace_field(FIRST_PATCH, "upsert.tenants", [CUSTOMER])


class CheckTest(unittest.TestCase):
    @settings(
        max_examples=200, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck)
    )
    @given(CALLS)
    def test_errors_are_those_of_a_node(self, calls: Any) -> None:
        """Guards against a call that passes the check and is refused, or the reverse."""
        held = Items()
        for one in calls:
            patch = send(
                *(customer(n, sorted(keys), v) for n, (v, keys) in one.items() if keys is not None),
                gone=[Removal(n, v) for n, (v, keys) in one.items() if keys is None],
            )
            report = itemcheck.check(patch, held)
            try:
                after = merge(held, patch)
            except InvalidChange:
                self.assertTrue(report.errors)
                continue
            self.assertEqual(report.errors, ())
            self.assertEqual(len(report.difference) > 0, after.customers != held.customers)
            held = after


class ItemCommandTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, message: Any, name: str = "call.json") -> str:
        path = self.folder / name
        path.write_text(message if isinstance(message, str) else json.dumps(message))
        return str(path)

    def check(self, message: Any, *args: str) -> tuple[int, Any]:
        code, out, err = call(None, "items", "check", self.write(message), "--json", *args)
        self.assertNotIn(SECRET, out + err)
        return code, json.loads(out) if out else err

    def test_problems_are_shown_at_their_place(self) -> None:
        """Guards against a problem that is not found, at another place, or for a good call."""
        self.assertEqual(self.check(CALL)[1]["warnings"], [])
        routes, tenants, cold = "upsert.routes[1]", "upsert.tenants[0]", {"coldPerS": 0}
        errors: list[tuple[str, Any, str]] = [
            ("upsert.routes", [ROUTE, {**ROUTE, "timeoutS": "1"}], f"{routes}.timeoutS"),
            ("upsert.routes", [ROUTE, {**ROUTE, "name": "r-2"}], routes),
            ("upsert.routes", [ROUTE, {**ROUTE, "name": "b", "timeoutS": 0}], routes),
            ("upsert.services", SERVICES[:1], "upsert.routes[0]"),
            ("upsert.services", [{**SERVICES[0], "version": -1}], "upsert.services[0].version"),
            ("upsert.tenants", [{**CUSTOMER, "apiKeys": SECRET}], f"{tenants}.apiKeys"),
            ("upsert.tenants", [{**CUSTOMER, "apiKeys": [f"{SECRET} "]}], tenants),
            ("upsert.tenants", [CUSTOMER, {**CUSTOMER, "name": "u"}], "upsert.tenants[1]"),
            ("upsert.tenant", [CUSTOMER], "upsert.tenant"),
            ("upsert", [], "upsert"),
        ]
        warnings: list[tuple[str, Any, str]] = [
            ("upsert.routes", [{**ROUTE, "host": "a b"}], "upsert.routes[0].host"),
            ("upsert.routes", [{**ROUTE, "pathPrefix": "/a?/"}], "upsert.routes[0].pathPrefix"),
            ("upsert.routes", [{**ROUTE, "pathPrefix": "/a"}], "upsert.routes[0].pathPrefix"),
            ("upsert.routes", [{**ROUTE, "timeoutS": 0.4}], "upsert.routes[0].timeoutS"),
            ("upsert.routes", [{**ROUTE, "maxAttempts": 9}], "upsert.routes[0].maxAttempts"),
            ("upsert.services", [*SERVICES, {**SERVICES[0], "name": "c"}], "upsert.services[2]"),
            (
                "upsert.services",
                [{**SERVICES[0], **cold}, SERVICES[1]],
                "upsert.services[0].coldPerS",
            ),
            ("upsert.tenants", [{**CUSTOMER, "apiKeys": []}], f"{tenants}.apiKeys"),
            ("upsert.tenants", [{**CUSTOMER, "burst": 0.5}], f"{tenants}.burst"),
            ("upsert.tenants", [{**CUSTOMER, "ratePerS": 0}], f"{tenants}.burst"),
            ("upsert.limits", {**LIMITS, "idleTimeoutS": 0}, "upsert.limits.idleTimeoutS"),
            ("remove.routes", [{"name": "z", "version": 1}], "remove.routes[0]"),
        ]
        for expected, cases in (("errors", errors), ("warnings", warnings)):
            for path, value, place in cases:
                with self.subTest(path=path, value=value):
                    code, page = self.check(replace_field(CALL, path, value))
                    self.assertEqual(code, 1 if expected == "errors" else 0)
                    self.assertEqual([row["place"] for row in page[expected]], [place])
        weightless = {**ROUTE, "weightedServices": [{**w, "weight": 0} for w in self.parts()[:1]]}
        weightless["weightedServices"] += self.parts()[1:]
        page = self.check(replace_field(CALL, "upsert.routes", [weightless]))[1]
        self.assertIn("weight 0", page["warnings"][0]["text"])

    @staticmethod
    def parts() -> Any:
        return ROUTE["weightedServices"]

    def test_differences_and_exit_codes(self) -> None:
        """Guards against scripts that send a bad call, and keys in what operators see."""
        held = self.write(CALL, "held.json")
        changed = {**CUSTOMER, "apiKeys": ["other"], "burst": 9, "version": 8}
        newer = replace_field(CALL, "upsert.tenants", [changed])
        code, page = self.check(newer, "--against", held)
        line = "~ customer t version 7 -> 8: keys 1 added, 1 removed, burst 3.0 -> 9.0"
        self.assertEqual((code, page["difference"]), (0, [line]))
        self.assertEqual(self.check(CALL, "--against", held)[1]["difference"], [])
        same_version = replace_field(newer, "upsert.tenants", [{**changed, "version": 7}])
        self.assertEqual(self.check(same_version, "--against", held)[0], 1)
        older = replace_field(CALL, "upsert.tenants", [{**changed, "version": 6}])
        for args, expected in (((), 0), (("--strict",), 1)):
            self.assertEqual(self.check(older, "--against", held, *args)[0], expected)
        self.assertEqual(self.check("[")[0], 1)
        self.assertEqual(self.check(CALL, "--against", "/nowhere")[0], 2)
        self.assertEqual(self.check(CALL, "--node", "127.0.0.1:1")[0], 3)
        self.assertEqual(call(None, "items", "check", "/nowhere")[0], 2)

    def test_configuration_is_fetched_from_a_node(self) -> None:
        """Guards against a check against a configuration that is not in force."""

        class Node(http.server.BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                held = merge(Items(), platform_items.decode_patch(json.dumps(CALL).encode()))
                self.send_response(200 if self.path == "/knapweedhitch/config/get" else 404)
                self.end_headers()
                self.wfile.write(platform_items.encode_items(held))

            def log_message(self, *args: Any) -> None: ...

        with http.server.HTTPServer(("127.0.0.1", 0), Node) as server:
            threading.Thread(target=server.serve_forever, daemon=True).start()
            code, page = self.check(CALL, "--node", f"127.0.0.1:{server.server_port}")
            server.shutdown()
        self.assertEqual((code, page["difference"], page["errors"]), (0, [], []))
