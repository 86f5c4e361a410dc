"""Tests of evacuations by an operator whose links are slow, with real processes on loopback."""

from __future__ import annotations

import itertools
import threading
import time

from tests.platform_world import APPS, CORES, PlatformWorld, send_http
from tests.slow_link import SlowLink

ZONE = "zone-1"
LINK_DELAY_S = 2.0
# The operator of the platform gives an order up after a second without a response.
PATIENCE_S = 1.0
HEARTBEAT_S = 1.5
# Nodes apply an acknowledged order within this time.
IN_FORCE_S = 1.0


class SlowOperatorTest(PlatformWorld):
    def setUp(self) -> None:
        super().setUp()
        self.configure()
        self.wait_until("heartbeat", self.heartbeat, 200)
        self.wait_until("response", lambda: self.send_request(APPS[1]), 200)
        stopping = threading.Event()
        heartbeats = threading.Thread(target=self.send_heartbeats, args=(stopping,), daemon=True)
        heartbeats.start()
        self.addCleanup(heartbeats.join)
        self.addCleanup(stopping.set)

    def send_heartbeats(self, stopping: threading.Event) -> None:
        """Send the heartbeats of the target until the test ends."""
        for seq in itertools.count(2):
            self.heartbeat(seq=seq)
            if stopping.wait(HEARTBEAT_S):
                return

    def order(self, action: str, address: str) -> int:
        """Send an order, follow redirects, and return the status; 0 without a response in time."""
        path = f"/knapweedhitch/evacuations/{ZONE}/{action}"
        return send_http(address, "POST", path, timeout_s=PATIENCE_S, redirects=2)[0]

    def order_until_accepted(self, action: str) -> None:
        """Send an order to one control instance after another until one acknowledges it."""
        self.wait_until(
            f"{action} accepted",
            lambda: any(self.order(action, self.address(ip, "control")) == 200 for ip in CORES),
            True,
        )

    def check_late_order(self, late: str, replacing: str, *, delays_connect: bool) -> None:
        """Deliver an order after another one has replaced it; the other one stays in force."""
        slow = SlowLink(
            self.address(CORES[0], "control"), LINK_DELAY_S, delays_connect=delays_connect
        )
        self.addCleanup(slow.close)
        self.order_until_accepted(replacing)
        sent_s = time.monotonic()
        self.assertEqual(self.order(late, slow.address), 0)
        self.order_until_accepted(late)
        self.order_until_accepted(replacing)
        replaced_s = time.monotonic()
        self.assertLess(replaced_s, sent_s + LINK_DELAY_S, "the order was not late")
        # Until the close of the caller's connection has been delivered as well.
        settled_s = sent_s + LINK_DELAY_S + PATIENCE_S
        from_s = replaced_s + IN_FORCE_S
        self.count_arrivals(APPS[1], replaced_s, from_s - replaced_s)
        if replacing == "start":
            arrivals = self.count_arrivals(APPS[1], from_s, settled_s + 1.0 - from_s)
            self.assertEqual(arrivals, 0, self.order_log())
            return
        self.count_arrivals(APPS[1], from_s, settled_s - from_s)
        self.assertGreater(self.count_arrivals(APPS[1], settled_s, 1.0), 0, self.order_log())

    def test_late_return_of_a_zone_does_not_undo_its_evacuation(self) -> None:
        """Guards against requests in an evacuated zone, because a slow link delivers an order to
        take the zone back that its operator gave up, sent elsewhere and has replaced since.
        """
        for delays_connect in (False, True):
            with self.subTest(delays_connect=delays_connect):
                self.check_late_order("finish", "start", delays_connect=delays_connect)

    def test_late_evacuation_does_not_undo_the_return_of_a_zone(self) -> None:
        """Guards against a zone that is taken out of service again by an order of the past."""
        for delays_connect in (False, True):
            with self.subTest(delays_connect=delays_connect):
                self.check_late_order("start", "finish", delays_connect=delays_connect)

    def test_orders_whose_responses_are_lost_stay_in_force(self) -> None:
        """Guards against an order that is sent again after a lost response and then undone, or
        never acknowledged.
        """
        lossy = SlowLink(self.address(CORES[1], "control"), 0.0, drops_responses=True)
        self.addCleanup(lossy.close)
        for action in ("start", "finish", "start", "finish"):
            self.assertEqual(self.order(action, lossy.address), 0)
            self.order_until_accepted(action)
            self.assertEqual(self.order(action, lossy.address), 0)
            expected = 503 if action == "start" else 200
            self.wait_until(action, lambda: self.send_request(APPS[1]), expected)
