"""Heartbeats of a link: when a ping is due, and when the peer counts as silent."""

from __future__ import annotations

import enum

from knapweedhitch.settings import PeerSettings

# A silent link must be replaced within three heartbeats; closing it earlier leaves time to redial.
SILENCE_MARGIN_HEARTBEATS = 0.25
# Checks come four times per heartbeat. After a longer gap this process got no processor time, and
# what the peer has sent meanwhile is still unread.
MAX_CHECK_GAP_HEARTBEATS = 0.75


class Action(enum.Enum):
    """List what a check of the heartbeat may ask for."""

    NONE = enum.auto()
    PING = enum.auto()


class Heartbeat:
    """Track the signs of life on a link, in milliseconds of the event loop."""

    def __init__(self, cfg: PeerSettings, now_ms: float) -> None:
        self._cfg = cfg
        # When the last whole message arrived, and when the last one was queued for the peer.
        self.received_ms = now_ms
        self.queued_ms = now_ms
        # Whether the last check found the peer silent for longer than it may be.
        self.is_silent = False
        # A check before this time finds nothing to do. Nodes hold many links, and most are at rest.
        self._next_check_ms = now_ms
        self._active_since_ms = now_ms
        self._checked_ms = now_ms
        self._pinged_ms = 0.0
        self._is_resting = False

    def silent_ms(self, now_ms: float, last_read_ms: float) -> float:
        """Return for how long the peer has sent nothing although frames were due.

        A long message may take many heartbeats to arrive over a slow or shared link, so that each
        read counts.
        """
        return now_ms - max(self.received_ms, last_read_ms, self._active_since_ms)

    def end_rest(self, now_ms: float) -> None:
        """Start to count silence anew; while the link rested, few frames were due."""
        if self._is_resting:
            self._is_resting = False
            self._active_since_ms = self._next_check_ms = now_ms

    def is_check_due(self, now_ms: float) -> bool:
        """Return whether a check may find something to do; called as often as a check."""
        if now_ms >= self._next_check_ms:
            return True
        self._checked_ms = now_ms
        return False

    def check(
        self, now_ms: float, last_read_ms: float, interval_ms: float, *, resting: bool
    ) -> Action:
        """Look for silence and return what is due; called several times per heartbeat interval."""
        if not resting:
            self.end_rest(now_ms)
        self._is_resting = resting
        gap_ms, self._checked_ms = now_ms - self._checked_ms, now_ms
        was_paused = gap_ms > MAX_CHECK_GAP_HEARTBEATS * self._cfg.heartbeat_interval_ms
        limit_ms = (self._cfg.missed_heartbeats - SILENCE_MARGIN_HEARTBEATS) * interval_ms
        is_over_limit = self.silent_ms(now_ms, last_read_ms) >= limit_ms
        self.is_silent = is_over_limit and not was_paused
        # Any frame that arrived within the interval counts as a pong. A peer that only receives
        # pings as well, since the pings of the other side wait behind what it receives.
        quiet_since_ms = min(self.received_ms, self.queued_ms)
        is_ping_due = now_ms - max(quiet_since_ms, self._pinged_ms) >= interval_ms
        if is_ping_due:
            self._pinged_ms = now_ms
        self._next_check_ms = min(
            max(quiet_since_ms, self._pinged_ms) + interval_ms,
            max(self.received_ms, self._active_since_ms) + limit_ms,
            now_ms + self._cfg.heartbeat_interval_ms,
        )
        return Action.PING if is_ping_due else Action.NONE
