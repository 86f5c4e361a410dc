"""Tests of customers and their keys with the platform roles as real processes."""

from __future__ import annotations

import itertools
import json
import threading
import time
from pathlib import Path
from typing import Any, ClassVar

from tests.platform_world import (
    APPS,
    CORES,
    START_TIMEOUT_S,
    PlatformWorld,
    StandInTarget,
    send_http,
)

PATCH_PATH = "/knapweedhitch/config/patch"
HEARTBEAT_INTERVAL_S = 1.0
RETRY_INTERVAL_S = 0.1


class CustomersProcessesTest(PlatformWorld):
    contracts: ClassVar[tuple[str, ...]] = ("base", "tenants")

    def patch_config(self, upsert: Any, remove: Any = None) -> int:
        """Send a call until it gets a clear response, as operators do, and return its status."""
        body = json.dumps({"upsert": upsert, "remove": remove or {}}).encode()
        end_s = time.monotonic() + START_TIMEOUT_S
        status = 0
        while status in (0, 503) and time.monotonic() < end_s:
            status = send_http(self.address(CORES[0], "control"), "POST", PATCH_PATH, body)[0]
            time.sleep(RETRY_INTERVAL_S if status in (0, 503) else 0)
        return status

    def keep_beating(self) -> None:
        """Send heartbeats until the test ends; without them an upstream expires after 6 s."""
        done = threading.Event()

        def beat() -> None:
            for seq in itertools.count(1):
                self.heartbeat(seq=seq)
                if done.wait(HEARTBEAT_INTERVAL_S):
                    return

        thread = threading.Thread(target=beat)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(done.set)

    def read_keys(self) -> Any:
        page = self.read_config()
        return (
            page if isinstance(page, int) else [(t["name"], t["apiKeys"]) for t in page["tenants"]]
        )

    def set_keys(self, name: str, version: int, *keys: str) -> int:
        customer = {"name": name, "apiKeys": keys, "priority": 1, "version": version}
        return self.patch_config({"tenants": [customer]})

    def send_with_key(self, ip: str, key: str, request_id: str = "r1") -> int:
        headers = {"Host": "a.example", "Attempt-Id": request_id, "Deadline-Ms": "1500"}
        headers |= {"Tenant-Id": "liar", **({"Credential": key} if key else {})}
        return send_http(self.address(ip, "outbound"), "GET", "/x/1", b"", headers)[0]

    def wait_for_status(self, key: str, status: int) -> None:
        for ip in APPS:
            self.wait_until(f"{key} at {ip}", lambda ip=ip: self.send_with_key(ip, key), status)

    def test_keys_come_and_go(self) -> None:
        """Guards against a withdrawn key that is served on, at a node that runs or starts again, a
        target that is told another customer than that of the key, and keys that leave the entry.
        """
        self.configure()
        self.keep_beating()
        self.wait_for_status("", 200)
        self.assertNotIn("tenant-id", StandInTarget.requests[-1])
        self.assertEqual(self.set_keys("shop", 7, "key-one", "key-two"), 200)
        self.assertEqual(self.set_keys("bank", 7, "key-three"), 200)
        self.assertEqual(self.set_keys("thief", 7, "key-two"), 400)
        self.assertEqual(self.patch_config({"customers": []}), 400)
        for key, status in (("key-two", 200), ("key-three", 200), ("", 401), ("unknown", 401)):
            self.wait_for_status(key, status)

        self.assertEqual(self.set_keys("shop", 9, "key-one"), 200)
        self.wait_for_status("key-two", 401)
        self.assertEqual(self.set_keys("shop", 7, "key-one", "key-two"), 200)
        self.kill(APPS[1])
        self.start(APPS[1])
        self.check_never_before(401, 200, "key-one")
        self.wait_for_status("key-one", 200)
        self.check_never_before(200, 401, "key-two")
        self.assertEqual(self.patch_config({}, {"tenants": [{"name": "bank", "version": 8}]}), 200)
        self.wait_for_status("key-three", 401)

        names = {"shop": 0, "bank": 0}
        for request in StandInTarget.requests:
            self.assertNotIn("credential", request)
            if "tenant-id" in request:
                names[request["tenant-id"]] += 1
        self.assertTrue(all(names.values()), names)
        self.wait_until("read back", self.read_keys, [("shop", ["key-one"])])
        logs = "".join(path.read_text() for path in Path(self.folder.name).glob("*.log"))
        self.assertIn("customer=shop", logs)
        self.assertIn("reason=customer-key-unknown", logs)
        metrics = [send_http(f"{ip}:{self.base + 5}", "GET", "/metrics")[1] for ip in APPS]
        for key in ("key-one", "key-two", "key-three"):
            self.assertNotIn(key, logs + str(metrics))

    def check_never_before(self, wrong: int, right: int, key: str) -> None:
        """Check that a node that has just started never gives one status before the other."""
        statuses: set[int] = set()

        def send() -> int:
            status = self.send_with_key(APPS[1], key)
            statuses.add(status)
            return status

        self.wait_until(f"{key} at the started node", send, right)
        self.assertNotIn(wrong, statuses)
