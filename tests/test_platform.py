"""Contract tests of the platform adapter with valid, malformed and foreign messages."""

from __future__ import annotations

import importlib
import json
import math
import platform as standard_platform
import unittest
from typing import Any

import yaml

from knapweedhitch.announcement import check_record
from knapweedhitch.exceptions import AnnouncementInvalid, InvalidChange, SettingsError
from knapweedhitch.items import Items, merge
from knapweedhitch.model import Address, UpstreamState
from knapweedhitch.platform import heartbeats, items
from knapweedhitch.platform.settings import parse_boot, parse_settings, translate
from knapweedhitch.settings import QuotaSettings

BOOT_SETTINGS: dict[str, Any] = {
    "node": "app_host-east-1",
    "role": "app",
    "serves": ["app_host"],
    "ip": "10.1.0.8",
    "zone": "east",
    "region": "south",
    "listen": {
        "inbound": "10.1.0.8:8300",
        "outbound": "10.1.0.8:8304",
        "ready": "10.1.0.8:8302",
        "control": "10.1.0.8:8306",
    },
    "portRange": [7620, 7635],
    "seeds": ["10.1.0.12:8306", "10.2.0.9:8306", "10.3.0.10:8306"],
    "bootstrap": True,
    "limits": {"maxFds": 4100},
    "dataDir": None,
    "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
    "bounds": {"graceS": 6},
    "service": "robes",
    "someNewField": {"a": 1},
}
HEARTBEAT: dict[str, Any] = {
    "address": "10.1.0.8:8301",
    "info": {"service": "robes", "version": "v1", "zone": "east", "slots": 9},
    "status": {"state": "ready", "seq": 4, "coldRemainingS": 1.5},
    "born": 1_784_000_000_123,
}
ROUTE = {
    "name": "r-1",
    "host": "a.example",
    "pathPrefix": "/x/",
    "kind": "safe",
    "timeoutS": 1.5,
    "targetLatencyS": 0.5,
    "priority": 2,
    "weightedServices": [{"service": "robes", "weight": 90}, {"service": "sizes", "weight": 10}],
    "maxAttempts": 2,
    "version": 7,
    "note": "kept as it is",
}
SERVICES = [
    {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 260,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 3.0,
        "coldPerS": 8.2,
        "version": 7,
    }
    for name in ("robes", "sizes")
]
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeoutS": 3,
    "idleTimeoutS": 15,
    "version": 7,
}
FIRST_PATCH = {
    "upsert": {"routes": [ROUTE], "services": SERVICES, "limits": LIMITS},
    "remove": {"routes": []},
}


def replace_field(message: dict[str, Any], path: str, value: Any) -> dict[str, Any]:
    """Return a copy with one field replaced, or removed if the value is None."""
    copy: dict[str, Any] = json.loads(json.dumps(message))
    *parents, last = path.split(".")
    parent = copy
    for name in parents:
        parent = parent[name]
    if value is None:
        del parent[last]
    else:
        parent[last] = value
    return copy


class SettingsTest(unittest.TestCase):
    def test_settings_file_of_a_side_machine(self) -> None:
        """Guards against reading an address or a failure domain from the wrong field."""
        cfg = translate(parse_boot(yaml.dump(BOOT_SETTINGS), "boot"), "boot")
        self.assertEqual((cfg.node.id, cfg.node.domain), ("10.1.0.8", "east"))
        self.assertEqual((cfg.listen.callers.host, cfg.listen.callers.port), ("10.1.0.8", 8304))
        self.assertEqual(cfg.listen.peers.port, 7620)
        self.assertFalse(cfg.is_control)
        self.assertEqual(cfg.control.max_voters, 5)
        self.assertEqual(
            [m.id for m in cfg.control.members], ["10.1.0.12", "10.2.0.9", "10.3.0.10"]
        )

    def test_decisions_for_a_shortage_are_off_without_customers(self) -> None:
        """Guards against a deployment that is served differently without having asked for it."""
        for contracts, expected in ((["base"], 0), (["base", "tenants"], 2_000)):
            boot = yaml.dump({**BOOT_SETTINGS, "contracts": contracts})
            admission = parse_settings(boot, "boot").admission
            self.assertEqual(admission.shortage_window_ms, expected)
            self.assertEqual(bool(admission.break_hold_ms), bool(expected))

    def test_headers_for_customers_are_used_where_the_deployment_has_them(self) -> None:
        """Guards against headers that are dropped, or keys that pass, in the wrong deployment."""
        for contracts, expected in (
            (["base", "tenants"], ("credential", "tenant-id")),
            ([], ("", "")),
        ):
            boot = yaml.dump({**BOOT_SETTINGS, "contracts": contracts})
            headers = parse_settings(boot, "boot").headers
            self.assertEqual((headers.credential, headers.customer), expected)

    def test_quotas_follow_the_bounds_where_the_deployment_has_them(self) -> None:
        """Guards against a token life that the allowed overage doesn't cover."""
        bounds = {"graceS": 6, "quotaWindowS": 2, "quotaOverage": 0.05, "quotaSlack": 7}
        fields = {**BOOT_SETTINGS, "bounds": bounds}
        cfg = translate(parse_boot(yaml.dump(fields), "boot"), "boot").quotas
        self.assertEqual(cfg, QuotaSettings())
        for contract in ("quota", "tenants"):
            boot = parse_boot(yaml.dump({**fields, "contracts": [contract]}), "boot")
            cfg = translate(boot, "boot").quotas
            self.assertEqual((cfg.window_ms, cfg.overage_ratio, cfg.slack), (2_000, 0.05, 7.0))
            self.assertEqual(cfg.token_life_ms, 30)

    def test_retry_budget_is_that_of_the_deployment(self) -> None:
        """Guards against a start that fails on a fractional slack, and a fixed retry budget."""
        bounds = {
            "graceS": 6,
            "retryBudgetRatio": 0.3,
            "retryBudgetSlack": 33.6,
            "budgetWindowS": 5,
        }
        boot = parse_boot(yaml.dump({**BOOT_SETTINGS, "bounds": bounds}), "boot")
        routing = translate(boot, "boot").routing
        self.assertEqual((routing.retry_ratio, routing.retry_slack), (0.3, 33.6))
        self.assertEqual(routing.retry_window_ms, 5_000)

    def test_settings_file_of_a_core_machine(self) -> None:
        """Guards against a control instance that does not run as one."""
        boot = {**BOOT_SETTINGS, "listen": {"control": "10.1.0.8:8306"}, "dataDir": "/data/core"}
        boot.pop("service")
        cfg = translate(parse_boot(yaml.dump(boot), "boot"), "boot")
        self.assertTrue(cfg.is_control)
        self.assertFalse(cfg.listen.callers.enabled)
        self.assertEqual(cfg.operator.max_body_bytes, 16_777_216)

    def test_bad_settings_are_refused_with_the_field(self) -> None:
        """Guards against accepting invalid settings, and errors that do not name the field."""
        cases = [
            ("portRange", [7620], "portRange"),
            ("seeds", "10.1.0.12:8306", "seeds"),
            ("faultTolerance.machines", -1, "faultTolerance.machines"),
            ("bounds", {}, "bounds.graceS"),
            ("listen.outbound", "nowhere", "listen.outbound"),
            ("ip", None, "ip"),
        ]
        for path, value, expected in cases:
            with self.subTest(path), self.assertRaises(SettingsError) as caught:
                translate(
                    parse_boot(yaml.dump(replace_field(BOOT_SETTINGS, path, value)), "boot"), "boot"
                )
            self.assertIn(expected, str(caught.exception))
        with self.assertRaises(SettingsError):
            parse_boot("a: [", "boot")

    def test_settings_that_cannot_be_converted_are_refused(self) -> None:
        """Guards against a settings file that ends the process which reads it again."""
        cases = (
            ("ip", "T27.0.9.10"),
            ("bounds.graceS", math.inf),
            ("zone", "\ud800"),
            ("listen.outbound", "\ud800:1"),
        )
        for path, value in cases:
            with self.subTest(path), self.assertRaises(SettingsError):
                parse_settings(yaml.dump(replace_field(BOOT_SETTINGS, path, value)), "boot")


class HeartbeatTest(unittest.TestCase):
    def test_heartbeat_becomes_an_announcement(self) -> None:
        """Guards against announcing a target with a wrong state, incarnation or address."""
        heartbeat = heartbeats.decode_heartbeat(json.dumps(HEARTBEAT).encode())
        record = heartbeat.record("i-1", 260)
        self.assertEqual(record.address, Address("10.1.0.8", 8301))
        self.assertEqual((record.service, record.slots, record.connections), ("robes", 9, 260))
        self.assertEqual((record.instance_id, record.incarnation), ("i-1", 1_784_000_000_123))
        self.assertEqual((heartbeat.status.seq, heartbeat.cold_ms), (4, 1_500.0))
        draining = replace_field(HEARTBEAT, "status.state", "draining")
        record = heartbeats.decode_heartbeat(json.dumps(draining).encode()).record("i-1", 260)
        self.assertIs(record.state, UpstreamState.LEAVING)

    def test_malformed_and_foreign_messages_are_refused(self) -> None:
        """Guards against using a target because of a malformed or foreign message."""
        cases = [
            ("status.state", "resting"),
            ("status.state", None),
            ("status.seq", "4"),
            ("info.service", 7),
            ("info.slots", 0),
            ("info", []),
            ("address", "nowhere"),
            ("born", None),
            ("born", 1.5),
            ("status.coldRemainingS", -1),
        ]
        for path, value in cases:
            data = json.dumps(replace_field(HEARTBEAT, path, value)).encode()
            with self.subTest(path), self.assertRaises(AnnouncementInvalid):
                heartbeats.decode_heartbeat(data).record("i-1", 260)
        for data in (b"", b"[]", b"\xff\xfe", json.dumps(HEARTBEAT).encode()[:-9]):
            with self.subTest(data), self.assertRaises(AnnouncementInvalid):
                heartbeats.decode_heartbeat(data)

    def test_odd_numbers_addresses_and_nesting_are_refused(self) -> None:
        """Guards against an entry of another writer that ends the process or displaces an upstream:
        a start in the far future made all later heartbeats of the sound one look late.
        """
        deep = b"[" * 100_000 + b"]" * 100_000
        huge = b"1" + b"0" * 30
        cases = [
            ("born", huge),
            ("born", b"-5"),
            ("status.seq", huge),
            ("status.seq", b"-1"),
            ("info.slots", huge),
            ("info.slots", b"1e400"),
            ("status.coldRemainingS", b"1e400"),
            ("address", b'"10.1.0.8:99999"'),
            ("address", b'"10.1.0.8:0"'),
            ("address", b'"10.1.0.8:-1"'),
            ("address", b'"10.1.0.8:\xd9\xa3"'),
            ("address", b'"nowhere:80"'),
            ("info.service", b'""'),
            ("note", deep),
            ("info.zone", deep),
            ("status.state", deep),
        ]
        for path, value in cases:
            data = json.dumps(replace_field(HEARTBEAT, path, "@")).encode()
            with (
                self.subTest(path=path, value=value[:40]),
                self.assertRaises(AnnouncementInvalid),
            ):
                heartbeat = heartbeats.decode_heartbeat(data.replace(b'"@"', value))
                check_record(heartbeat.record("i-1", 260))
        for data in (b'{"born":' + huge + b"}", b'{"born":-1}', deep):
            with self.subTest(data[:40]), self.assertRaises(AnnouncementInvalid):
                heartbeats.decode_deregistration(data)

    def test_deregistration_may_have_no_body(self) -> None:
        """Guards against refusing the deregistration of a target that sends no body."""
        self.assertIsNone(heartbeats.decode_deregistration(b"").born)
        self.assertEqual(heartbeats.decode_deregistration(b'{"born":5}').born, 5)


class ItemsTest(unittest.TestCase):
    def test_items_are_read_back_as_they_were_sent(self) -> None:
        """Guards against a number or a field that changes between upsert and read."""
        merged = merge(Items(), items.decode_patch(json.dumps(FIRST_PATCH).encode()))
        self.assertEqual(json.loads(items.encode_items(merged)), FIRST_PATCH["upsert"])
        route = merged.routes["r-1"]
        self.assertTrue(route.idempotent)
        self.assertEqual((route.timeout_ms, route.target_latency_ms), (1_500.0, 500.0))
        self.assertEqual([part.weight for part in route.parts], [90.0, 10.0])
        self.assertEqual(merged.backends["robes"].cold_calls_per_s, 8.2)

    def test_only_safe_kind_is_idempotent(self) -> None:
        """Guards against repeating uploads and requests of an unknown kind."""
        for kind in ("unsafe", "upload", "keyed", ""):
            message = replace_field(FIRST_PATCH, "upsert.routes", [{**ROUTE, "kind": kind}])
            patch = items.decode_patch(json.dumps(message).encode())
            self.assertFalse(patch.routes[0].idempotent, kind)

    def test_removals_carry_their_version(self) -> None:
        """Guards against a removal that is ignored or removes a newer item."""
        message = {"upsert": {}, "remove": {"routes": [{"name": "r-1", "version": 9}]}}
        patch = items.decode_patch(json.dumps(message).encode())
        self.assertEqual(
            (patch.removed_routes[0].name, patch.removed_routes[0].version), ("r-1", 9)
        )

    def test_malformed_patches_are_refused_completely(self) -> None:
        """Guards against partly applying a malformed request."""
        bad_routes = [
            {**ROUTE, "version": "7"},
            {**ROUTE, "timeoutS": "1.5"},
            {**ROUTE, "weightedServices": [{"service": "robes"}]},
            {**ROUTE, "service": "robes"},
            {key: value for key, value in ROUTE.items() if key != "host"},
        ]
        for bad_route in bad_routes:
            message = replace_field(FIRST_PATCH, "upsert.routes", [ROUTE, bad_route])
            with self.subTest(bad_route), self.assertRaises(InvalidChange):
                items.decode_patch(json.dumps(message).encode())
        for data in (b"", b"null", b'{"upsert":{"routes":', json.dumps(FIRST_PATCH).encode()[:200]):
            with self.subTest(data), self.assertRaises(InvalidChange):
                items.decode_patch(data)


class ImportTest(unittest.TestCase):
    def test_standard_module_of_the_same_name_is_not_shadowed(self) -> None:
        """Guards against libraries that import the adapter instead of the standard `platform`."""
        self.assertTrue(standard_platform.python_version())
        self.assertEqual(
            importlib.import_module("knapweedhitch.platform").__name__, "knapweedhitch.platform"
        )
