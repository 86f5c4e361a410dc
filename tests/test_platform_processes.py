"""Tests of the platform roles as real processes on loopback, through the platform API only."""

from __future__ import annotations

import json
import os
import signal
import threading
import time
from pathlib import Path

from tests import platform_boot
from tests.platform_world import APPS, CORES, PlatformWorld, StandInTarget, send_http


class PlatformProcessesTest(PlatformWorld):
    def test_target_names_a_limit_and_leaves(self) -> None:
        """Guards against a target that gets more requests than it says it takes, or any after it
        said that it leaves, also when the node beside it restarts or its heartbeat says otherwise.
        """
        self.configure()
        self.wait_until("heartbeat", self.heartbeat, 200)
        for ip in APPS:
            self.wait_until("response", lambda ip=ip: self.send_request(ip), 200)
        StandInTarget.notices = {"Server-Limit": "2.5"}
        self.send_request(APPS[1])
        arrivals = self.count_arrivals(APPS[1], time.monotonic() + 0.5, 4.0)
        self.assertLessEqual(arrivals, 1.5 * 2.5 * 4 + 5)
        self.assertGreaterEqual(arrivals, 3)

        StandInTarget.notices = {"Server-Leaving": "1"}
        self.wait_until("left", lambda: self.send_request(APPS[1]), 503)
        self.assertEqual(self.heartbeat(seq=2), 200)
        self.assertEqual(self.count_arrivals(APPS[1], time.monotonic(), 1.0), 0)
        # The health answer says again that the target serves, as one in trouble may.
        StandInTarget.notices = {}
        self.kill(APPS[0])
        self.start(APPS[0])
        ready = self.address(APPS[0], "ready")
        self.wait_until(
            "ready", lambda: send_http(ready, "GET", "/knapweedhitch/readiness")[0], 200
        )
        self.heartbeat(seq=3)
        self.assertEqual(self.count_arrivals(APPS[1], time.monotonic(), 3.0), 0)

    def test_limit_holds_while_the_node_beside_the_target_is_killed(self) -> None:
        """Guards against a target that gets more requests than it says it takes, because each
        process beside it starts some before it knows the limit.
        """
        self.configure()
        self.wait_until("heartbeat", self.heartbeat, 200)
        for ip in APPS:
            self.wait_until("response", lambda ip=ip: self.send_request(ip), 200)
        StandInTarget.notices = {"Server-Limit": "1"}
        self.send_request(APPS[1])
        done = threading.Event()

        def send_requests(name: str) -> None:
            while not done.is_set():
                if self.send_request(APPS[1], request_id=f"{name}-{time.monotonic_ns()}") != 200:
                    time.sleep(0.02)

        clients = [threading.Thread(target=send_requests, args=(f"c{n}",)) for n in range(8)]
        for client in clients:
            client.start()
        try:
            time.sleep(3.0)
            first_s = time.monotonic()
            for seq in range(2, 5):
                self.kill(APPS[0])
                self.start(APPS[0])
                self.wait_until("heartbeat", lambda seq=seq: self.heartbeat(seq=seq), 200)
                time.sleep(0.5)
            time.sleep(4.0)
        finally:
            done.set()
            for client in clients:
                client.join()
        arrivals_s = [at_s for at_s in StandInTarget.arrivals_s if at_s >= first_s]
        most = max(sum(0 <= other - at_s < 4.0 for other in arrivals_s) for at_s in arrivals_s)
        since_s = [round(at_s - first_s, 2) for at_s in arrivals_s]
        self.assertLessEqual(most, 1.5 * 1 * 4 + 5, since_s)
        self.assertGreaterEqual(len(arrivals_s), 3)

    def test_odd_entries_end_no_process_and_displace_no_target(self) -> None:
        """Guards against an entry of another writer that ends the processes which read it, or takes
        the place of the sound target.
        """
        self.configure()
        self.wait_until("heartbeat", self.heartbeat, 200)
        for ip in APPS:
            self.wait_until("response", lambda ip=ip: self.send_request(ip), 200)
        entry = json.dumps(platform_boot.heartbeat(APPS[0], self.base, seq=2)).encode()
        sound_address = f"{APPS[0]}:{self.base + platform_boot.TARGET_PORT}".encode()
        deep = b"[" * 20_000 + b"]" * 20_000
        odd_entries = {
            "%ff%fe": entry,
            "i%201": entry,
            "": entry,
            "i-9": entry.replace(sound_address, b"127.0.1.10:99999"),
            "i-8": entry.replace(b'"born": 1000', b'"born": 1' + b"0" * 30),
            "i-7": entry.replace(b'"slots": 6', b'"slots": 1' + b"0" * 30),
            "i-6": entry.replace(b'"v1"', deep),
            "i-5": deep,
            "i-4": b"\xff\xfe",
        }
        address = self.address(APPS[0], "control")
        for instance_id, body in odd_entries.items():
            for action in ("heartbeat", "deregister"):
                path = f"/knapweedhitch/instances/{instance_id}/{action}"
                status = send_http(address, "POST", path, body)[0]
                with self.subTest(instance_id=instance_id, action=action):
                    if action == "heartbeat" or instance_id in ("%ff%fe", "i%201", "i-5", "i-4"):
                        self.assertIn(status, range(400, 500))
        # Longer than a probe of the target takes to come.
        self.assertGreater(self.count_arrivals(APPS[1], time.monotonic(), 2.0), 20)
        ended = [ip for ip, process in self.processes.items() if process.poll() is not None]
        self.assertEqual(ended, [])

    def test_reload_from_a_pipe_is_refused(self) -> None:
        """Guards against a process that stops serving at SIGHUP to wait for a pipe."""
        self.configure()
        self.wait_until("heartbeat", self.heartbeat, 200)
        self.wait_until("response", lambda: self.send_request(APPS[1]), 200)
        path = Path(self.folder.name) / f"{APPS[1]}.yaml"
        path.unlink()
        os.mkfifo(path)
        self.processes[APPS[1]].send_signal(signal.SIGHUP)
        log = Path(self.folder.name) / f"{APPS[1]}.log"
        self.wait_until("refused", lambda: "event=reload_refused" in log.read_text(), True)
        self.assertEqual(self.send_request(APPS[1]), 200)
        self.processes[APPS[1]].send_signal(signal.SIGTERM)
        self.assertEqual(self.processes[APPS[1]].wait(8), 0)

    def test_whole_path(self) -> None:
        """Guards against parts that work alone but not together: roles, targets and restarts."""
        self.assertEqual(self.send_request(APPS[1]), 503 if self.send_request(APPS[1]) else 0)
        self.configure()
        self.wait_until("heartbeat", self.heartbeat, 200)
        for ip in APPS:
            self.wait_until("response", lambda ip=ip: self.send_request(ip), 200)
        request = StandInTarget.requests[-1]
        self.assertEqual((request["caller-service"], request["attempt-id"]), ("robes", "r1"))
        self.assertLessEqual(int(request["deadline-ms"]), 1_500)
        self.assertEqual(self.read_config(), self.patch["upsert"])

        address = self.address(CORES[2], "control")
        evacuation = "/knapweedhitch/evacuations/zone-1/"
        self.assertEqual(send_http(address, "POST", evacuation + "start")[0], 200)
        self.wait_until("evacuated", lambda: self.send_request(APPS[1]), 503)
        # An order that changes the state is redirected, and callers follow.
        self.assertEqual(send_http(address, "POST", evacuation + "finish")[0], 307)
        self.assertEqual(send_http(address, "POST", evacuation + "finish", redirects=2)[0], 200)
        self.wait_until("served again", lambda: self.send_request(APPS[1]), 200)

        self.bootstrap = False
        self.kill(*self.processes)
        self.start(*CORES, *APPS)
        self.check_early_connection(APPS[1])
        self.wait_until(
            "configuration after a restart of all", self.read_config, self.patch["upsert"]
        )
        self.wait_until("response before any heartbeat", lambda: self.send_request(APPS[1]), 200)
        self.wait_until("heartbeat after the restart", lambda: self.heartbeat(seq=2), 200)

        self.assertEqual(self.heartbeat("draining", seq=3), 200)
        request_count = len(StandInTarget.requests)
        self.assertEqual(self.send_request(APPS[0]), 503)
        self.assertEqual(len(StandInTarget.requests), request_count)

        self.processes[APPS[1]].send_signal(signal.SIGTERM)
        ready = self.address(APPS[1], "ready")
        self.wait_until(
            "not ready", lambda: send_http(ready, "GET", "/knapweedhitch/readiness")[0], 503
        )
        self.assertEqual(self.processes[APPS[1]].wait(8), 0)
