"""What is logged of one request of a caller."""

from __future__ import annotations

import dataclasses
from typing import Generic, TypeVar

C = TypeVar("C")


@dataclasses.dataclass(slots=True, eq=False)
class Trace(Generic[C]):
    """Hold what is logged of one request and its call, once there is one."""

    request_id: str
    started_s: float
    method: str = ""
    status: int = 0
    reason: str = ""
    outcome: str = ""
    call: C | None = None
    # Set once the claim holders are asked; before that nothing is known of the request's key.
    claim_requested: bool = False
