"""The data that is logged for one request of a caller."""

from __future__ import annotations

import dataclasses
from typing import Generic, TypeVar

from knapweedhitch.http1 import ServerConnection

C = TypeVar("C")


@dataclasses.dataclass(slots=True, eq=False)
class Trace(Generic[C]):
    """Record what is logged for one request, with its call once that exists."""

    request_id: str
    started_s: float
    method: str = ""
    status: int = 0
    reason: str = ""
    outcome: str = ""
    call: C | None = None
    # Set when the claim is requested; before that nothing is known about the idempotency key.
    claim_requested: bool = False

    def fields(self, conn: ServerConnection) -> dict[str, object]:
        """Return the log fields that tell what the caller got.

        The status is 0 unless the complete response was written; `intended_status` is then that of
        the response that was ready or had begun.
        """
        if conn.response_ended:
            fields: dict[str, object] = {"id": self.request_id, "status": self.status}
        else:
            progress = "cut" if conn.response_started else "none"
            fields = {"id": self.request_id, "status": 0, "response": progress}
            if self.status:
                fields["intended_status"] = self.status
            if conn.failure:
                fields["connection"] = conn.failure
        if self.reason:
            fields |= {"reason": self.reason, "outcome": self.outcome}
        return fields
