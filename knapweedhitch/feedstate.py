"""States that are too long for one message: their source and their receiver."""

from __future__ import annotations

from collections.abc import Callable

from knapweedhitch import configuration
from knapweedhitch.clock import now_ms
from knapweedhitch.exceptions import CodecError
from knapweedhitch.messages import FeedPoll, FeedReply
from knapweedhitch.model import Configuration

# A call for one part ends within its timeout of 1 s on a link of 1 Mbit/s that others use as well.
PART_BYTES = 32_768
# A state is encoded again for another node once nobody has fetched it for this long.
KEEP_MS = 2_000.0


class StateSource:
    """Keep one encoded state while nodes fetch it, also while the configuration changes."""

    def __init__(self) -> None:
        self._version = 0
        self._data = b""
        self._used_ms = 0.0

    def part(
        self, msg: FeedPoll, current: Configuration, can_follow: Callable[[int], bool]
    ) -> tuple[bytes, int, int, int]:
        """Return a part, its offset, and version and size of the whole state.

        `can_follow` tells whether the changes since a version are at hand.
        """
        self.drop_unused()
        offset = msg.offset if msg.state_version == self._version and self._data else 0
        is_usable = self._data and self._version > msg.version and can_follow(self._version)
        if offset <= 0 and not is_usable:
            self._version, self._data = current.version, configuration.to_state(current)
        self._used_ms = now_ms()
        # A node of an earlier version takes a state in one piece only.
        end = len(self._data) if msg.offset < 0 else offset + PART_BYTES
        return self._data[offset:end], offset, self._version, len(self._data)

    def drop_unused(self) -> None:
        """Free the memory of a state that nobody fetches."""
        if now_ms() - self._used_ms > KEEP_MS:
            self._version, self._data = 0, b""


class StateReceiver:
    """Join the parts of a state from one source."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._data = bytearray()
        self.version = 0

    @property
    def offset(self) -> int:
        """Return the offset of the next part."""
        return len(self._data)

    def add(self, reply: FeedReply) -> bytes | None:
        """Add the part in a reply; return the whole state, None if more is to come.

        Raises CodecError.
        """
        if reply.state_bytes > self._max_bytes:
            raise CodecError(f"a state of {reply.state_bytes} bytes is over {self._max_bytes}")
        if reply.offset == 0:
            self._data, self.version = bytearray(), reply.state_version
        if (reply.state_version, reply.offset) != (self.version, len(self._data)):
            raise CodecError(f"a part at {reply.offset} where {len(self._data)} is next")
        self._data += reply.state
        if len(self._data) > reply.state_bytes:
            raise CodecError("more parts than the state has")
        return bytes(self._data) if len(self._data) == reply.state_bytes else None
