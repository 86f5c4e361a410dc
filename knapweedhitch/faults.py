"""Record unexpected exceptions: counted, and logged with their traceback."""

from __future__ import annotations

import time
import traceback
from collections.abc import Iterator
from typing import TYPE_CHECKING

from knapweedhitch import logs
from knapweedhitch.exceptions import InvariantViolated

if TYPE_CHECKING:
    from knapweedhitch.counters import Counters

# An input that is sent again and again must not flood the log.
MIN_LINE_GAP_S = 1.0
MAX_TRACEBACK_CHARS = 4_000

# When an event of a place in the code was last logged.
_logged_s: dict[tuple[str, str], float] = {}


def record(counters: Counters, event: str, exc: BaseException, **fields: object) -> None:
    """Count an unexpected exception and log it, at most once a second for each place.

    Raises it again if it tells that the durable state is wrong.
    """
    if any(isinstance(leaf, InvariantViolated) for leaf in leaves(exc)):
        raise exc
    counters.add("faults", event)
    first = next(leaves(exc))
    place = logs.location_of(first)
    now_s = time.monotonic()
    if now_s - _logged_s.get((event, place), -MIN_LINE_GAP_S) < MIN_LINE_GAP_S:
        return
    _logged_s[event, place] = now_s
    # The end names the innermost calls.
    text = "".join(traceback.format_exception(exc))[-MAX_TRACEBACK_CHARS:]
    logs.warning(
        event, **fields, error=type(first).__name__, place=place, detail=first, traceback=text
    )


def leaves(exc: BaseException) -> Iterator[BaseException]:
    """Yield the exceptions within a group, or the exception itself."""
    if isinstance(exc, BaseExceptionGroup):
        for inner in exc.exceptions:
            yield from leaves(inner)
    else:
        yield exc


def breaks_invariant(exc: BaseException) -> bool:
    """Return whether an exception tells that the state of the process can't be trusted."""
    return any(isinstance(leaf, AssertionError) for leaf in leaves(exc))
