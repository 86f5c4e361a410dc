"""What the response of an upstream states about its request (docs/design/responses.md)."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from knapweedhitch.framing import HeaderNames

# Statuses that promise the caller that its request was not run and never will be.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# An instance that is not the expected one responds with this, and does not run the request.
MISDIRECTED_STATUS = 421


class Meaning(enum.Enum):
    """List what a response can mean for its request."""

    # The request has run, or may have; the response goes to the caller as it is.
    RESULT = "result"
    # The upstream states that it did not run the request; another one may.
    NOT_RUN = "not-run"
    # The status promises what the upstream does not state: the request may have run, and the
    # response must not go to the caller.
    UNPROVEN = "unproven"


def meaning_of(status: int, headers: Iterable[tuple[bytes, bytes]], names: HeaderNames) -> Meaning:
    """Return what a response with this status and these headers means for its request."""
    if not names.not_run:
        # Upstreams of this deployment make no statement, so their statuses promise nothing.
        return Meaning.RESULT
    if names.expected_instance and status == MISDIRECTED_STATUS:
        return Meaning.NOT_RUN
    if any(name == names.not_run for name, _ in headers):
        return Meaning.NOT_RUN
    return Meaning.UNPROVEN if status in NOT_RUN_STATUSES else Meaning.RESULT
