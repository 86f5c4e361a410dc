"""The order of the responses to pipelined requests."""

from __future__ import annotations

from typing import Protocol


class ResponseOrder(Protocol):
    """Tell when the response to one of several pipelined requests may be written."""

    @property
    def is_due(self) -> bool:
        """Return whether all earlier responses are complete."""
        ...

    @property
    def is_last(self) -> bool:
        """Return whether no later request waits, so that this response may close the connection."""
        ...

    @property
    def has_room(self) -> bool:
        """Return whether a short write completes at once, since the caller reads."""
        ...

    async def wait_due(self) -> None:
        """Wait until all earlier responses are complete.

        A cancelled wait leaves the connection as it was, so that another response can be written.
        """
        ...

    def try_hold_back(self, n_bytes: int, held_bytes: int, *, until_complete: bool) -> bool:
        """Reserve memory for bytes of a response, some of them before; return False if it is full.

        They are held until the response is due, or until it is due and complete.
        """
        ...

    def release(self, n_bytes: int) -> None:
        """Release the memory of a response that will not be written."""
        ...


class NoPipelining:
    """Represent the order of responses without pipelined requests."""

    is_due = True
    is_last = True
    has_room = True

    async def wait_due(self) -> None:
        """Return at once."""

    def try_hold_back(self, n_bytes: int, held_bytes: int, *, until_complete: bool) -> bool:
        """Return False, since the response is due and there is no memory for it."""
        return False

    def release(self, n_bytes: int) -> None:
        """Do nothing, since no memory is reserved."""
