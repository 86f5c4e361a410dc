"""Tests of the heartbeats of a link whose checks are skipped while nothing can be due."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from knapweedhitch.heartbeat import Action, Heartbeat
from knapweedhitch.settings import PeerSettings

CFG = PeerSettings(heartbeat_interval_ms=250, rest_after_ms=500, rest_heartbeat_ms=250)
TICK_MS = 62.5
REST_INTERVAL_MS = 2_000.0
# Three heartbeats less the margin, found at the next tick.
SILENT_MS = 2.75 * 250 + TICK_MS


class SimulatedLink:
    """Tick a heartbeat as a link does, against a peer that answers each ping after a delay."""

    def __init__(self, answer_ms: float) -> None:
        self.now_ms = 0.0
        self.pings: list[float] = []
        self.checks = 0
        self.silent_at_ms: float | None = None
        self.answer_ms = answer_ms
        # Whether a call waits for its reply, so that the link does not rest.
        self.is_busy = False
        self._last_used_ms = 0.0
        self._answers: list[float] = []
        self._heartbeat = Heartbeat(CFG, 0.0)

    def use(self) -> None:
        """Record that a call uses the link."""
        self._last_used_ms = self._heartbeat.queued_ms = self.now_ms
        self._heartbeat.end_rest(self.now_ms)

    def run(self, for_ms: float) -> None:
        """Tick for some time, or until the peer counts as silent."""
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms and self.silent_at_ms is None:
            self.now_ms += TICK_MS
            self._tick()

    def _tick(self) -> None:
        hb, now = self._heartbeat, self.now_ms
        while self._answers and self._answers[0] <= now:
            hb.received_ms = self._answers.pop(0)
        if not hb.is_check_due(now):
            return
        self.checks += 1
        resting = not self.is_busy and now - self._last_used_ms >= CFG.rest_after_ms
        interval_ms = REST_INTERVAL_MS if resting else float(CFG.heartbeat_interval_ms)
        if hb.check(now, 0.0, interval_ms, resting=resting) is Action.PING:
            self.pings.append(now)
            hb.queued_ms = now
            self._answers.append(now + self.answer_ms)
        if hb.is_silent:
            self.silent_at_ms = now


class HeartbeatTest(unittest.TestCase):
    @given(st.lists(st.floats(1, 3_000), max_size=30), st.floats(1, 400))
    def test_peer_that_answers_is_never_silent(self, gaps: list[float], answer_ms: float) -> None:
        """Guards against a link that is closed since a skipped check has missed an answer."""
        link = SimulatedLink(answer_ms)
        for gap_ms in gaps:
            link.run(gap_ms)
            link.use()
        link.run(5_000)
        self.assertIsNone(link.silent_at_ms)

    @given(st.floats(0, 6_000))
    def test_silence_after_a_use_is_found_in_time(self, rest_ms: float) -> None:
        """Guards against a silent peer that is found late, as the link rested before its use."""
        link = SimulatedLink(1.0)
        link.run(rest_ms)
        link.answer_ms = 1e9
        link.use()
        link.is_busy = True
        used_ms = link.now_ms
        link.run(5_000)
        assert link.silent_at_ms is not None
        # An answer to a ping before the use may still have arrived.
        self.assertLessEqual(link.silent_at_ms - used_ms, SILENT_MS + TICK_MS)

    def test_link_at_rest_is_rarely_checked(self) -> None:
        """Guards against nodes with many links whose checks take much of their processor time."""
        link = SimulatedLink(1.0)
        link.run(60_000)
        self.assertLess(link.checks, 60_000 / TICK_MS / 3)
        self.assertAlmostEqual(len(link.pings), 60_000 / REST_INTERVAL_MS, delta=3)


if __name__ == "__main__":
    unittest.main()
