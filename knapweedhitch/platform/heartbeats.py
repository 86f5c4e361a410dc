"""Translate the heartbeats of a target into announcements."""

from __future__ import annotations

import json
from typing import Any, TypeVar

import pydantic

from knapweedhitch.exceptions import AnnouncementInvalid
from knapweedhitch.model import Address, UpstreamRecord, UpstreamState
from knapweedhitch.validation import first_problem

MS_PER_S = 1_000.0
UPSTREAM_STATES = {"ready": UpstreamState.SERVING, "draining": UpstreamState.LEAVING}


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(frozen=True, extra="ignore", allow_inf_nan=False)


M = TypeVar("M", bound=_Model)


class Info(_Model):
    """Describe the properties of a target that stay constant while it runs."""

    service: pydantic.StrictStr
    slots: pydantic.StrictInt = pydantic.Field(ge=1)


class Status(_Model):
    """Describe the current status of a target; `seq` orders its heartbeats since its start."""

    state: pydantic.StrictStr
    seq: pydantic.StrictInt
    cold_remaining_s: float = pydantic.Field(alias="coldRemainingS", ge=0)


class Heartbeat(_Model):
    """Represent one heartbeat; `born` is the start of the target in Unix milliseconds."""

    address: pydantic.StrictStr
    info: Info
    status: Status
    born: pydantic.StrictInt

    def record(self, instance_id: str, max_connections: int) -> UpstreamRecord:
        """Return the announced upstream; raises AnnouncementInvalid."""
        state = UPSTREAM_STATES.get(self.status.state)
        if state is None:
            raise AnnouncementInvalid(detail=f"unknown state {self.status.state[:40]!r}")
        host, _, port = self.address.rpartition(":")
        if not host or not port.isdigit():
            raise AnnouncementInvalid(detail="address: use host:port")
        return UpstreamRecord(
            self.info.service,
            Address(host, int(port)),
            self.info.slots,
            max_connections,
            instance_id,
            self.born,
            state,
        )

    @property
    def cold_ms(self) -> float:
        """Return the time until the target is warm."""
        return self.status.cold_remaining_s * MS_PER_S


class Deregistration(_Model):
    """Represent a deregistration, with the start of the target if given."""

    born: pydantic.StrictInt | None = None


def decode_heartbeat(body: bytes) -> Heartbeat:
    """Return the heartbeat in a body; raises AnnouncementInvalid with the field."""
    return _decode(Heartbeat, _parse_object(body))


def decode_deregistration(body: bytes) -> Deregistration:
    """Return the deregistration in a body, which may be empty; raises AnnouncementInvalid."""
    return _decode(Deregistration, _parse_object(body) if body else {})


def _decode(model_type: type[M], fields: dict[str, Any]) -> M:
    try:
        return model_type.model_validate(fields)
    except pydantic.ValidationError as exc:
        problem = first_problem(exc)
        raise AnnouncementInvalid(detail=f"{problem.path}: {problem.message}") from None


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        raise AnnouncementInvalid(detail="use a JSON object") from None
    if not isinstance(fields, dict):
        raise AnnouncementInvalid(detail="use a JSON object")
    return fields
