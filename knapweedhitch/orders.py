"""Submit orders that carry no version, such as to take a failure domain out or back.

A caller that gets no response in time sends its order to another node and may then replace it by
the opposite one. The first order, held up by a paused process or a cut link, must not undo that.
"""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable

from msgspec import structs

from knapweedhitch import logs
from knapweedhitch.caller import Caller
from knapweedhitch.changes import MAX_ID_CHARS, Change
from knapweedhitch.exceptions import OrderAbandoned, VersionConflict

# The end of a caller's connection may follow a request that was held up by a round trip.
SETTLE_MS = 50.0
MAX_ATTEMPTS = 20

Submit = Callable[[Change], Awaitable[int]]


async def submit_order(
    submit: Submit, known_version: Callable[[], int], caller: Caller, change: Change
) -> int:
    """Submit an order while its caller waits and nothing newer has replaced it; return its version.

    Raises OrderAbandoned, ChangeError, ConsensusError, PeerError.
    """
    # Read before the check of the caller: whatever replaces the order has a higher version.
    seen_version = known_version()
    logs.event(
        "order_received",
        change=change.change_id,
        kind=change.op.kind,
        subject=change.op.subject,
        known_version=seen_version,
    )
    for number in itertools.count(1):
        await caller.wait_until_left(SETTLE_MS)
        if caller.has_left:
            raise _abandon(change, "the caller has left")
        if number > MAX_ATTEMPTS:
            raise _abandon(change, "other changes came first")
        attempt = structs.replace(
            change,
            # A change id that was submitted keeps its first result.
            change_id=_attempt_id(change.change_id, number),
            seen_version=seen_version,
        )
        try:
            return await submit(attempt)
        except VersionConflict as exc:
            seen_version = exc.current_version
    raise AssertionError("the loop ends by a result or an error")


def _attempt_id(change_id: str, number: int) -> str:
    if number == 1:
        return change_id
    suffix = f".{number}"
    return change_id[: MAX_ID_CHARS - len(suffix)] + suffix


def _abandon(change: Change, cause: str) -> OrderAbandoned:
    logs.event(
        "order_abandoned",
        change=change.change_id,
        kind=change.op.kind,
        subject=change.op.subject,
        cause=cause,
    )
    return OrderAbandoned(f"{change.op.kind}: {cause}")
