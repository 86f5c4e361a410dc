"""The data that is logged for one request of a caller."""

from __future__ import annotations

import dataclasses
from typing import Generic, TypeVar

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
