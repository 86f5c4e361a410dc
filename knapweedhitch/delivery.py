"""Tracking of the frames of a link that its peer has received."""

from __future__ import annotations


class DeliveryTracker:
    """Track by the answers to pings whether a peer has received all frames.

    Frames arrive in order, so the answer to a ping covers every frame that was queued before it.
    """

    def __init__(self) -> None:
        self._queued = 0
        self._confirmed = 0
        self._ping: int | None = None
        self._queued_before_ping = 0

    @property
    def is_confirmed(self) -> bool:
        """Return whether the peer has received every frame."""
        return self._confirmed == self._queued

    @property
    def is_waiting(self) -> bool:
        """Return whether the answer to a ping is awaited."""
        return self._ping is not None

    def record_queued(self) -> None:
        """Record a frame other than a ping or its answer."""
        self._queued += 1

    def record_ping(self, sequence: int) -> None:
        """Record a ping that confirms all frames queued so far."""
        self._ping = sequence
        self._queued_before_ping = self._queued

    def record_pong(self, sequence: int) -> None:
        """Record the answer to a ping."""
        if sequence == self._ping:
            self._ping = None
            self._confirmed = self._queued_before_ping
