"""Translate the heartbeats of a target into announcements."""

from __future__ import annotations

from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta, field

from knapweedhitch.announcement import parse_address
from knapweedhitch.clock import MS_PER_S
from knapweedhitch.exceptions import AnnouncementInvalid
from knapweedhitch.model import MAX_COUNT, UpstreamRecord, UpstreamState
from knapweedhitch.rollout import VERSION_LABEL

# The end of the year 9999. A later start would make all heartbeats of other starts look late.
MAX_UNIX_MS = 253_402_300_799_999
MAX_SEQUENCE = (1 << 53) - 1
# The version of a target that tells none; empty stands for one that is not known yet.
NO_VERSION = "-"
UnixMs = Annotated[int, Meta(ge=0, le=MAX_UNIX_MS)]
UPSTREAM_STATES = {"ready": UpstreamState.SERVING, "draining": UpstreamState.LEAVING}


T = TypeVar("T", bound=msgspec.Struct)


class Info(msgspec.Struct, frozen=True):
    """Describe the properties of a target that stay constant while it runs."""

    service: str
    slots: Annotated[int, Meta(ge=1, le=MAX_COUNT)]
    # Read only where versions are rolled out, so that others may send anything.
    version: Any = None


class Status(msgspec.Struct, frozen=True):
    """Describe the current status of a target; `seq` orders its heartbeats since its start."""

    state: str
    seq: Annotated[int, Meta(ge=0, le=MAX_SEQUENCE)]
    cold_remaining_s: Annotated[float, Meta(ge=0)] = field(name="coldRemainingS")


class Heartbeat(msgspec.Struct, frozen=True):
    """Represent one heartbeat; `born` is the start of the target in Unix milliseconds."""

    address: str
    info: Info
    status: Status
    born: UnixMs

    def record(
        self, instance_id: str, max_connections: int, *, with_version: bool = False
    ) -> UpstreamRecord:
        """Return the announced upstream, with its version if asked; raises AnnouncementInvalid."""
        state = UPSTREAM_STATES.get(self.status.state)
        if state is None:
            raise AnnouncementInvalid(detail=f"unknown state {self.status.state[:40]!r}")
        return UpstreamRecord(
            self.info.service,
            parse_address(self.address),
            self.info.slots,
            max_connections,
            instance_id,
            self.born,
            state,
            self._version() if with_version else "",
        )

    def _version(self) -> str:
        version = self.info.version
        if version is None:
            return NO_VERSION
        if not isinstance(version, str) or not VERSION_LABEL.fullmatch(version):
            raise AnnouncementInvalid(detail="version: use 1 to 128 visible ASCII characters")
        return version

    @property
    def cold_ms(self) -> float:
        """Return the time until the target is warm."""
        return self.status.cold_remaining_s * MS_PER_S


class Deregistration(msgspec.Struct, frozen=True):
    """Represent a deregistration, with the start of the target if given."""

    born: UnixMs | None = None


def decode_heartbeat(body: bytes) -> Heartbeat:
    """Return the heartbeat in a body; raises AnnouncementInvalid with the field."""
    return _decode(Heartbeat, body)


def decode_deregistration(body: bytes) -> Deregistration:
    """Return the deregistration in a body, which may be empty; raises AnnouncementInvalid."""
    return _decode(Deregistration, body) if body else Deregistration()


def _decode(message_type: type[T], body: bytes) -> T:
    try:
        return msgspec.json.decode(body, type=message_type)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise AnnouncementInvalid(detail=f"use a JSON object: {exc}") from None
