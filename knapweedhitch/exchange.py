"""The interfaces through which a call and its answer pass between modules."""

from __future__ import annotations

import dataclasses
import math
from typing import Protocol

from knapweedhitch.deadline import Deadline
from knapweedhitch.model import CallResult, LoadSample

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CallSpec:
    """Hold one call to one upstream; headers carry no hop-by-hop fields."""

    request_id: str
    service: str
    instance_id: str
    method: str
    target: bytes
    headers: Headers
    has_body: bool
    deadline: Deadline
    retries_left: int
    depth: int
    config_version: int
    # None leaves it to the method and the headers whether the call may be sent twice.
    idempotent: bool | None = None
    # The service on the instance where the call began; empty when nobody asks for it.
    caller_service: str = ""
    # The most urgent calls have priority 0.
    priority: int = 0
    # The answer should be there this long after the start of the call; 0 is unknown.
    target_latency_ms: float = 0.0
    route: str = ""
    # Another target is expected to be better if work takes more times longer than usual than this.
    decline_above: float = math.inf


class BodySource(Protocol):
    """Give the body of a request part by part."""

    async def receive(self) -> bytes | None:
        """Return the next part, or None at the whole end; raises Refusal or CallerGone."""
        ...


class ResponseSink(Protocol):
    """Take the answer of an upstream part by part; each async call waits for backpressure."""

    def mark_dispatched(self) -> None:
        """Note that bytes of the call are handed to the upstream from now on."""
        ...

    async def informational(self, status: int, headers: Headers) -> None:
        """Pass a 1xx answer on."""
        ...

    async def head(self, status: int, headers: Headers, load: LoadSample | None) -> None:
        """Take status and headers."""
        ...

    async def data(self, data: bytes) -> None:
        """Take a part of the body."""
        ...

    async def end(self) -> None:
        """Take the whole end of the answer."""
        ...


class CallPath(Protocol):
    """Run a call on one target: gate, forward and slot leases each are such a path.

    `execute` returns after `sink.end`; raises Refusal whose outcome is NOT_RUN only when no byte
    of the call was handed to the upstream. After `sink.head` a failure raises Refusal with UNKNOWN.
    When it is cancelled it makes sure that no connection of the call is used again.
    """

    async def execute(
        self, node_id: str, spec: CallSpec, body: BodySource, sink: ResponseSink
    ) -> CallResult:
        """Run the call and pass the answer to the sink."""
        ...
