"""Record what clients, targets and the operator saw, for the checks."""

from __future__ import annotations

import dataclasses
import enum
import json
import time
from pathlib import Path
from typing import Any


class Ending(enum.Enum):
    """Name the way in which a request ended for its client."""

    OPEN = "open"
    ANSWERED = "answered"
    # The connection ended in good order, or was reset, before the whole response.
    CLOSED = "closed"
    RESET = "reset"
    # The response broke the protocol.
    GARBLED = "garbled"
    # The client closed the connection itself.
    ABANDONED = "abandoned"

    @property
    def is_cut(self) -> bool:
        """Return whether the system ended the connection without a complete response."""
        return self in (Ending.CLOSED, Ending.RESET)


class RunState(enum.Enum):
    """Name the state of a run at a target."""

    WORKING = "working"
    ANSWERED = "answered"
    EXPIRED = "expired"
    # The caller closed its connection.
    DROPPED = "dropped"
    # The target broke off.
    BROKEN = "broken"


@dataclasses.dataclass(eq=False)
class Run:
    """Describe one run of a request at a target."""

    request_id: str
    target: str
    ip: str
    service: str
    # When its head came, and when the target began to work on it.
    arrived_s: float
    started_s: float
    state: RunState = RunState.WORKING
    status: int = 0
    ended_s: float = 0.0


@dataclasses.dataclass(eq=False)
class Request:
    """Describe one request of a client, or a call of a target, and what became of it."""

    id: str
    habit: str
    entry: str
    method: str
    host: str
    path: str
    kind: str
    deadline_s: float
    route_timeout_s: float
    body: bytes = b""
    connection: str = ""
    # Requests without a response that were sent earlier on the connection.
    ahead: int = 0
    sent_s: float = 0.0
    ending: Ending = Ending.OPEN
    ended_s: float = 0.0
    status: int = 0
    received_bytes: int = 0
    problem: str = ""
    error: str = ""
    # Id of an earlier request with whose connection this one ended.
    behind: str = ""
    runs: list[Run] = dataclasses.field(default_factory=list)

    def end(self, ending: Ending) -> None:
        """Record how the request ended."""
        self.ending, self.ended_s = ending, time.monotonic()

    def end_cut(self, received_bytes: int, error: str, *, is_reset: bool) -> None:
        """Record that the connection ended before a whole response."""
        self.end(Ending.RESET if is_reset else Ending.CLOSED)
        self.received_bytes, self.error = received_bytes, error

    @property
    def may_repeat(self) -> bool:
        """Return whether the route allows more than one run."""
        return self.kind == "safe"

    @property
    def expires_s(self) -> float:
        """Return the moment at which its own deadline or the timeout of its route passes."""
        return self.sent_s + min(self.deadline_s, self.route_timeout_s)


@dataclasses.dataclass(frozen=True)
class Event:
    """Describe one fault, order or change of state outside of requests."""

    at_s: float
    kind: str
    subject: str
    # Moment at which the subject was sound again.
    until_s: float = 0.0
    is_planned: bool = False


@dataclasses.dataclass(frozen=True)
class Violation:
    """Describe a broken promise."""

    rule: str
    at_s: float
    text: str


class Ledger:
    """Hold the requests, runs, events and violations of one seed, and write them to a folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.requests: dict[str, Request] = {}
        self.strays: list[Run] = []
        self.events: list[Event] = []
        self.violations: list[Violation] = []
        # Times in which the soak itself was late, with how late, in seconds.
        self.lags: list[tuple[float, float, float]] = []
        self._start_s = time.monotonic()
        self._wall_offset_s = time.time() - self._start_s
        self._file = (folder / "events.jsonl").open("w", encoding="utf-8")

    def elapsed(self, at_s: float) -> float:
        """Return seconds since the start of the soak."""
        return at_s - self._start_s

    def wall_clock(self, at_s: float) -> str:
        """Return a moment as the processes log it."""
        return time.strftime("%H:%M:%S", time.gmtime(at_s + self._wall_offset_s)) + (
            f".{int((at_s + self._wall_offset_s) % 1 * 1_000):03d}"
        )

    def add_event(self, event: Event) -> Event:
        """Record an event."""
        self.events.append(event)
        self.write(event.kind, at_s=event.at_s, subject=event.subject)
        return event

    def start_run(self, run: Run) -> None:
        """Record that a target began to work on a request."""
        request = self.requests.get(run.request_id)
        if request is None:
            self.strays.append(run)
        else:
            request.runs.append(run)

    def lag_in(self, from_s: float, to_s: float) -> float:
        """Return for how long the soak itself was late in a time, in seconds."""
        return sum(late_s for at_s, end_s, late_s in self.lags if at_s <= to_s and end_s >= from_s)

    def report(self, rule: str, at_s: float, text: str) -> None:
        """Record a violation."""
        self.violations.append(Violation(rule, at_s, text))
        self.write("violation", at_s=at_s, rule=rule, text=text)

    def write(self, event: str, at_s: float | None = None, **fields: Any) -> None:
        """Append a line to the record file."""
        at_s = time.monotonic() if at_s is None else at_s
        line = {
            "t": round(self.elapsed(at_s), 3),
            "clock": self.wall_clock(at_s),
            "event": event,
            **fields,
        }
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def describe(self, request: Request) -> str:
        """Return one line on a request and its runs."""
        runs = "; ".join(
            f"{run.target} at {self.elapsed(run.started_s):.3f} {run.state.value} {run.status}"
            f" until {self.elapsed(run.ended_s):.3f}"
            for run in request.runs
        )
        return (
            f"{request.id} {request.habit} {request.kind} {request.host} via {request.entry} "
            f"connection={request.connection} ahead={request.ahead} "
            f"sent={self.elapsed(request.sent_s):.3f} deadline={request.deadline_s:.3f} "
            f"{request.ending.value}={self.elapsed(request.ended_s):.3f} "
            f"({self.wall_clock(request.ended_s)}) status={request.status} "
            f"received={request.received_bytes} behind={request.behind or None} "
            f"{request.error} {request.problem} runs=[{runs}]"
        )

    def close(self) -> None:
        """Write all requests and close the record file."""
        with (self.folder / "requests.txt").open("w", encoding="utf-8") as file:
            for request in self.requests.values():
                file.write(self.describe(request) + "\n")
        self._file.close()
