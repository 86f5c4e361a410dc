"""The interfaces through which a call and its response pass between modules."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable
from typing import Protocol

from knapweedhitch.deadline import Deadline
from knapweedhitch.model import CallResult, LoadSample

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CallSpec:
    """Describe one call to one upstream; headers contain no hop-by-hop fields."""

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
    # Whether the call may be sent twice; None derives it from the method and the headers.
    idempotent: bool | None = None
    # The service on the instance where the call began; empty if it is not used.
    caller_service: str = ""
    # 0 is the most urgent priority.
    priority: int = 0
    # The remaining time to meet the latency objective; 0 if it has passed or is unknown.
    target_latency_ms: float = 0.0
    route: str = ""
    # The upstream declines the call if work is slowed by more than this factor, because another
    # target is then expected to respond sooner.
    decline_above: float = math.inf
    # Whether another upstream may have received this call before, or the caller is itself a run
    # that was repeated.
    is_repeat: bool = False
    # Called if the node of the target or its upstream is silent, to start another attempt beside
    # this one. Without it, an attempt at a silent node that may be replaced is given up.
    on_silence: Callable[[], None] | None = None
    # The customer that sent the request; empty if it is not known or the request is anonymous.
    customer: str = ""
    # Whether a run of an upstream makes this call. It belongs to the customer of the run, but its
    # target is not told the customer, since no key came with the call.
    is_nested: bool = False


class BodySource(Protocol):
    """Read the body of a request part by part."""

    async def receive(self) -> bytes | None:
        """Return the next part, None at the end; raises Refusal or CallerGone."""
        ...


class ResponseSink(Protocol):
    """Receive the response of an upstream part by part; each async call applies backpressure."""

    def mark_dispatched(self) -> None:
        """Record that bytes of the call may reach the upstream from now on."""
        ...

    async def informational(self, status: int, headers: Headers) -> None:
        """Forward a 1xx response."""
        ...

    async def head(self, status: int, headers: Headers, load: LoadSample | None) -> None:
        """Receive status and headers."""
        ...

    async def data(self, data: bytes) -> None:
        """Receive a part of the body."""
        ...

    async def end(self) -> None:
        """Receive the end of a complete response."""
        ...


class CallPath(Protocol):
    """Run a call on one target; gate, forward and direct implement this protocol.

    `execute` returns after `sink.end`. It raises Refusal with the outcome NOT_RUN only if no byte
    of the call was sent to the upstream, and with UNKNOWN for a failure after `sink.head`. After a
    cancellation no connection of the call is reused.
    """

    async def execute(
        self, node_id: str, spec: CallSpec, body: BodySource, sink: ResponseSink
    ) -> CallResult:
        """Run the call and pass the response to the sink; raises Refusal, CallerGone."""
        ...
