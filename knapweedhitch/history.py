"""The replicated state machine: configuration versions, change ids, history and snapshots."""

from __future__ import annotations

import zlib
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any

import cbor2

from knapweedhitch import configuration
from knapweedhitch.changes import (
    Change,
    DomainIn,
    DomainOut,
    NodeDrain,
    NodeUndrain,
    Operation,
    StampedChange,
    StartRollout,
    decode_stamped,
)
from knapweedhitch.codec import Record, from_plain, load_plain, to_plain
from knapweedhitch.configuration import drain_line
from knapweedhitch.exceptions import (
    ChangeError,
    CodecError,
    InvalidChange,
    RolloutInProgress,
    VersionConflict,
)
from knapweedhitch.model import Configuration
from knapweedhitch.settings import ControlSettings

MAX_DETAIL_CHARS = 400
# The leader makes these changes by itself; they must not make changes of operators conflict.
AUTOMATIC_KINDS = frozenset({"claim_group", "claim_groups", "advance_rollout", "finish_rollout"})


class ChangeResult(Record, frozen=True):
    """Describe the outcome of a change.

    The error is empty, `VersionConflict`, `InvalidChange` or `RolloutInProgress`.
    """

    version: int
    error: str = ""
    detail: str = ""
    base_version: int = 0

    def unwrap(self) -> int:
        """Return the version of an accepted change; raises ChangeError."""
        if self.error == VersionConflict.__name__:
            raise VersionConflict(self.base_version, self.version, self.detail)
        if self.error == RolloutInProgress.__name__:
            raise RolloutInProgress(self.detail)
        if self.error:
            raise InvalidChange(self.detail)
        return self.version


class HistoryRecord(Record, frozen=True):
    """Describe one accepted change with its diff; the body is the change as logged."""

    version: int
    change_id: str
    operator: str
    kind: str
    wall_ms: int
    diff: tuple[str, ...]
    body: bytes


AcceptedCallback = Callable[[HistoryRecord], None]


# Configuration, version of the last change of an operator, results by change id, records.
_State = tuple[Configuration, int, list[tuple[str, ChangeResult]], list[HistoryRecord]]


class ConfigurationMachine:
    """Apply log entries in order and deterministically, so that all replicas agree."""

    def __init__(self, limits: ControlSettings) -> None:
        self._limits = limits
        self.current = Configuration()
        # The lowest valid base version; changes of AUTOMATIC_KINDS do not raise it.
        self.operator_version = 0
        self._results: OrderedDict[str, ChangeResult] = OrderedDict()
        self._history: deque[HistoryRecord] = deque(maxlen=limits.max_history_entries)
        self._subscribers: list[AcceptedCallback] = []

    def subscribe(self, fn: AcceptedCallback) -> None:
        """Register a callback for each change that is accepted from now on."""
        self._subscribers.append(fn)

    def apply(self, body: bytes) -> ChangeResult:
        """Apply one logged change and return its result; a duplicate gets the first result."""
        try:
            stamped = decode_stamped(body)
        except InvalidChange as exc:
            return ChangeResult(self.current.version, InvalidChange.__name__, str(exc))
        change = stamped.change
        previous_result = self._results.get(change.change_id)
        if previous_result is not None:
            return previous_result
        result = self._apply_new(stamped, body)
        if change.seen_version is not None and result.error == VersionConflict.__name__:
            # The caller may send the order again, with the same id and a later version.
            return result
        self._results[change.change_id] = result
        while len(self._results) > self._limits.max_change_ids:
            self._results.popitem(last=False)
        return result

    def _apply_new(self, stamped: StampedChange, body: bytes) -> ChangeResult:
        change, before = stamped.change, self.current
        try:
            self._check_base(change)
            self._check_seen(change)
            after = configuration.apply_accepted(before, stamped, self._limits.max_services)
        except VersionConflict as exc:
            return ChangeResult(
                exc.current_version, type(exc).__name__, exc.winner, exc.base_version
            )
        except ChangeError as exc:
            cls = RolloutInProgress if isinstance(exc, RolloutInProgress) else InvalidChange
            return ChangeResult(before.version, cls.__name__, str(exc)[:MAX_DETAIL_CHARS])
        self.current = after
        if change.op.kind not in AUTOMATIC_KINDS:
            self.operator_version = after.version
        record = HistoryRecord(
            after.version,
            change.change_id,
            change.operator,
            change.op.kind,
            stamped.wall_ms,
            configuration.diff(before, after) or _drain_lines(change.op),
            body,
        )
        self._history.append(record)
        for fn in self._subscribers:
            fn(record)
        return ChangeResult(after.version)

    def _check_base(self, change: Change) -> None:
        base = change.base_version
        if base is None:
            if change.op.needs_base:
                raise InvalidChange(f"{change.op.kind} needs a base version")
            return
        self._check_version(change, base, self.operator_version)

    def _check_seen(self, change: Change) -> None:
        if change.seen_version is not None:
            self._check_version(change, change.seen_version, self._subject_version(change.op))

    def _check_version(self, change: Change, version: int, lowest: int) -> None:
        """Check that a version is the lowest valid one or later; raises VersionConflict."""
        if not lowest <= version <= self.current.version:
            winner = self._describe_conflict(change, lowest)
            raise VersionConflict(version, self.current.version, winner)

    def _subject_version(self, op: Operation) -> int:
        """Return the version that last changed what an operation replaces."""
        if isinstance(op, DomainOut | DomainIn):
            status = self.current.domains.get(op.domain)
            return status.version if status is not None else 0
        if isinstance(op, StartRollout):
            rollout = self.current.rollouts.get(op.service)
            return rollout.version if rollout is not None else 0
        if isinstance(op, NodeDrain | NodeUndrain):
            lines = {drain_line(op.node_id, draining) for draining in (True, False)}
            records = (r for r in reversed(self._history) if not lines.isdisjoint(r.diff))
            return next((r.version for r in records), self._forgotten_version)
        return self.operator_version

    @property
    def _forgotten_version(self) -> int:
        """Return the last version whose change is no longer in the history."""
        return self.current.version - len(self._history)

    def _describe_conflict(self, change: Change, version: int) -> str:
        winner = next((r for r in reversed(self._history) if r.version == version), None)
        refused = f"{change.change_id} ({change.op.kind} by {change.operator})"
        if winner is None:
            return f"version {version}; refused: {refused}"
        return f"{winner.change_id} ({winner.kind} by {winner.operator}); refused: {refused}"

    def result_of(self, change_id: str) -> ChangeResult | None:
        """Return the stored result of a change id, None if unknown or evicted."""
        return self._results.get(change_id)

    def history(self, after_version: int = 0) -> tuple[HistoryRecord, ...]:
        """Return the retained records after a version, oldest first."""
        return tuple(r for r in self._history if r.version > after_version)

    def bodies_since(self, version: int, limit: int) -> tuple[bytes, ...] | None:
        """Return the logged changes after a version, None if too many or not retained."""
        missing = self.current.version - version
        if missing < 0 or missing > min(limit, len(self._history)):
            return None
        return tuple(self._history[i].body for i in range(-missing, 0))

    def snapshot(self) -> bytes:
        """Return the whole state as compressed CBOR."""
        plain = [
            configuration.to_state(self.current),
            self.operator_version,
            [[change_id, to_plain(result)] for change_id, result in self._results.items()],
            [to_plain(record) for record in self._history],
        ]
        return zlib.compress(cbor2.dumps(plain), 1)

    def check(self, data: bytes) -> None:
        """Raise CodecError if `restore` would refuse a snapshot."""
        self._decode(data)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot; raises CodecError."""
        self.current, self.operator_version, results, records = self._decode(data)
        self._results = OrderedDict(results)
        self._history = deque(records, maxlen=self._limits.max_history_entries)

    def _decode(self, data: bytes) -> _State:
        raw = _unpack(data, self._limits.max_snapshot_bytes)
        try:
            state, operator_version, results, history = raw
            current = configuration.from_state(state, self._limits.max_snapshot_bytes)
            version: int = from_plain(int, operator_version)
            pairs = [(from_plain(str, n), from_plain(ChangeResult, r)) for n, r in results]
            records = [from_plain(HistoryRecord, r) for r in history]
        except (TypeError, ValueError) as exc:
            raise CodecError(f"invalid state: {exc}") from None
        return current, version, pairs, records


def _drain_lines(op: Operation) -> tuple[str, ...]:
    """Return the line of an order about a node that was in force, since it replaces others too."""
    if isinstance(op, NodeDrain | NodeUndrain):
        return (drain_line(op.node_id, isinstance(op, NodeDrain)),)
    return ()


def _unpack(data: bytes, max_bytes: int) -> Any:
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, max_bytes)
    except zlib.error as exc:
        raise CodecError(f"invalid state: {exc}") from None
    if not unpacker.eof:
        raise CodecError(f"a state is cut short, or over {max_bytes} bytes")
    return load_plain(plain)
