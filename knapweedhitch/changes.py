"""Typed configuration changes and their encoding."""

from __future__ import annotations

import secrets
import zlib
from collections.abc import Callable, Mapping, Sequence
from typing import Any, ClassVar, TypeVar

import cbor2

from knapweedhitch.codec import Record, from_plain, load_plain, to_plain
from knapweedhitch.exceptions import CodecError, DuplicateRegistration, InvalidChange
from knapweedhitch.items import ItemPatch
from knapweedhitch.model import ClaimGroup, ServiceConfig
from knapweedhitch.rollout import Step

MAX_ID_CHARS = 128
MAX_UNPACKED_BYTES = 524_288
# Links of a few Mbit/s take seconds for a change of many routes, whose texts are alike.
COMPRESS_FROM_BYTES = 4_096
# Twice what control.max_change_bytes allows on the platform, since the stamp adds to a change.
MAX_UNPACKED_CHANGE_BYTES = 33_554_432


class Operation(Record, frozen=True):
    """Define the base of all operations; `needs_base` makes a base version mandatory."""

    kind: ClassVar[str] = ""
    needs_base: ClassVar[bool] = False

    @property
    def subject(self) -> str:
        """Return the domain or node that the operation is about, empty for others."""
        return ""


O = TypeVar("O", bound=type[Operation])  # noqa: E741

_by_kind: dict[str, type[Operation]] = {}


def operation(kind: str, *, needs_base: bool = False) -> Callable[[O], O]:
    """Register an operation data class by its kind; raises DuplicateRegistration."""

    def register(cls: O) -> O:
        if kind in _by_kind:
            raise DuplicateRegistration(f"operation {kind} is registered twice")
        cls.kind = kind
        cls.needs_base = needs_base
        _by_kind[kind] = cls
        return cls

    return register


def operations() -> Mapping[str, type[Operation]]:
    """Return every operation class by its kind."""
    return dict(_by_kind)


@operation("put_service", needs_base=True)
class PutService(Operation, frozen=True):
    """Add or replace one service."""

    service: ServiceConfig


@operation("remove_service", needs_base=True)
class RemoveService(Operation, frozen=True):
    """Remove one service."""

    name: str


@operation("put_all_services", needs_base=True)
class PutAllServices(Operation, frozen=True):
    """Replace all services at once, as a generated configuration does."""

    services: tuple[ServiceConfig, ...]


@operation("patch_items")
class PatchItems(Operation, frozen=True):
    """Set and remove items, each by its own version."""

    patch: ItemPatch


@operation("domain_out")
class DomainOut(Operation, frozen=True):
    """Take a failure domain out of service, with `allow_last` even the last one of a service."""

    domain: str
    allow_last: bool = False

    @property
    def subject(self) -> str:
        """Return the domain."""
        return self.domain


@operation("domain_in")
class DomainIn(Operation, frozen=True):
    """Return a failure domain to service."""

    domain: str

    @property
    def subject(self) -> str:
        """Return the domain."""
        return self.domain


@operation("node_drain")
class NodeDrain(Operation, frozen=True):
    """Drain one node."""

    node_id: str

    @property
    def subject(self) -> str:
        """Return the node."""
        return self.node_id


@operation("node_undrain")
class NodeUndrain(Operation, frozen=True):
    """End the drain of one node."""

    node_id: str

    @property
    def subject(self) -> str:
        """Return the node."""
        return self.node_id


@operation("start_rollout")
class StartRollout(Operation, frozen=True):
    """Move a service's traffic to targets of a version; equal orders of one id are one order."""

    service: str
    target_version: str
    duration_ms: int
    order_id: str = ""

    @property
    def subject(self) -> str:
        """Return the service."""
        return self.service


@operation("advance_rollout")
class AdvanceRollout(Operation, frozen=True):
    """Record a step of the roll-out that was ordered at a version of the log."""

    service: str
    order_version: int
    step: Step

    @property
    def subject(self) -> str:
        """Return the service."""
        return self.service


@operation("finish_rollout")
class FinishRollout(Operation, frozen=True):
    """End the roll-out that was ordered at a version of the log."""

    service: str
    order_version: int
    completed: bool
    reason: str

    @property
    def subject(self) -> str:
        """Return the service."""
        return self.service


@operation("claim_group")
class AddClaimGroup(Operation, frozen=True):
    """Add the next claim group of a service."""

    group: ClaimGroup


@operation("claim_groups")
class AddClaimGroups(Operation, frozen=True):
    """Add the next claim groups of many services at once; `packed` is compressed CBOR."""

    packed: bytes

    @classmethod
    def pack(cls, groups: Sequence[ClaimGroup]) -> AddClaimGroups:
        """Return the operation that adds these groups."""
        return cls(zlib.compress(cbor2.dumps([to_plain(group) for group in groups])))

    def groups(self) -> tuple[ClaimGroup, ...]:
        """Return the unpacked groups; raises InvalidChange."""
        try:
            data = _decompress(self.packed, MAX_UNPACKED_BYTES)
            return tuple(from_plain(ClaimGroup, raw) for raw in load_plain(data))
        except (CodecError, TypeError) as exc:
            raise InvalidChange(f"not a list of claim groups: {exc}") from None


class Change(Record, frozen=True):
    """Describe one change; a retry carries the same change id.

    An order about a domain or node has no base version. It is refused if its subject was changed
    after `seen_version`, which its caller knew or which proves that nothing has replaced it.
    """

    change_id: str
    base_version: int | None
    operator: str
    op: Operation
    seen_version: int | None = None


class StampedChange(Record, frozen=True):
    """Describe a change with the leader's wall clock and what serves each service.

    That is the domains for an order about a domain, and the versions for a roll-out.
    """

    change: Change
    wall_ms: int
    serving: Mapping[str, frozenset[str]]


def new_change_id() -> str:
    """Return a random change id."""
    return secrets.token_hex(16)


def encode_change(change: Change) -> bytes:
    """Encode a change."""
    return cbor2.dumps(_change_to_plain(change))


def decode_change(data: bytes) -> Change:
    """Decode and validate a change; raises InvalidChange."""
    try:
        return _change_from_plain(load_plain(data))
    except CodecError as exc:
        raise InvalidChange(f"not a change: {exc}") from None


def encode_stamped(stamped: StampedChange) -> bytes:
    """Encode a stamped change, as stored in the log."""
    serving = [[name, sorted(domains)] for name, domains in sorted(stamped.serving.items())]
    data = cbor2.dumps([_change_to_plain(stamped.change), stamped.wall_ms, serving])
    return data if len(data) < COMPRESS_FROM_BYTES else cbor2.dumps(zlib.compress(data))


def decode_stamped(data: bytes) -> StampedChange:
    """Decode and validate a stamped change; raises InvalidChange."""
    try:
        raw = load_plain(data)
        if isinstance(raw, bytes):
            raw = load_plain(_decompress(raw, MAX_UNPACKED_CHANGE_BYTES))
        if not isinstance(raw, list) or len(raw) != 3 or type(raw[1]) is not int:
            raise CodecError("a change, a time and the serving domains are expected")
        serving = {str(name): frozenset(map(str, domains)) for name, domains in raw[2]}
        return StampedChange(_change_from_plain(raw[0]), raw[1], serving)
    except (CodecError, TypeError, ValueError) as exc:
        raise InvalidChange(f"not a stamped change: {exc}") from None


def _decompress(data: bytes, max_bytes: int) -> bytes:
    """Return the decompressed data; raises CodecError if it is damaged or over a limit."""
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(data, max_bytes)
    except zlib.error as exc:
        raise CodecError(str(exc)) from None
    if not unpacker.eof or unpacker.unused_data:
        raise CodecError(f"cut short, or over {max_bytes} bytes")
    return unpacked


def _change_to_plain(change: Change) -> list[Any]:
    plain = [
        change.change_id,
        change.base_version,
        change.operator,
        change.op.kind,
        to_plain(change.op),
    ]
    # Logs of earlier builds have no sixth field.
    return plain if change.seen_version is None else [*plain, change.seen_version]


def _change_from_plain(raw: Any) -> Change:
    if not isinstance(raw, list) or len(raw) not in (5, 6):
        raise CodecError("five or six fields are expected")
    change_id, base, operator, kind, fields, *rest = raw
    seen = rest[0] if rest else None
    if not isinstance(change_id, str) or not 1 <= len(change_id) <= MAX_ID_CHARS:
        raise CodecError(f"a change id has 1 to {MAX_ID_CHARS} characters")
    if not isinstance(operator, str) or len(operator) > MAX_ID_CHARS:
        raise CodecError(f"an operator name has up to {MAX_ID_CHARS} characters")
    for version in (base, seen):
        if version is not None and (type(version) is not int or version < 0):
            raise CodecError("a version is a number from 0 or absent")
    cls = _by_kind.get(kind) if isinstance(kind, str) else None
    if cls is None:
        raise CodecError(f"no operation {kind!r}")
    return Change(change_id, base, operator, from_plain(cls, fields), seen)
