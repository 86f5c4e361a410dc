"""Parse and check the announcement of an upstream, whatever source it comes from."""

from __future__ import annotations

import ipaddress
import json
import re
from typing import Any

from knapweedhitch.codec import from_plain, to_plain
from knapweedhitch.exceptions import AnnouncementInvalid, CodecError
from knapweedhitch.model import (
    INSTANCE_ID,
    MAX_COUNT,
    MAX_INCARNATION,
    Address,
    UpstreamRecord,
    UpstreamState,
)

SERVICE_NAME = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?\Z")
MAX_PORT = 65_535
FIELDS = ("service", "address", "slots", "connections", "instance_id", "incarnation", "state")


def parse_announcement(data: bytes) -> UpstreamRecord:
    """Return the record in a JSON announcement; raises AnnouncementInvalid naming the field."""
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError):
        raise AnnouncementInvalid(detail="use a JSON object") from None
    if not isinstance(raw, dict):
        raise AnnouncementInvalid(detail="use a JSON object")
    if unknown := sorted(set(raw) - set(FIELDS)):
        raise AnnouncementInvalid(detail=f"unknown field {unknown[0][:40]!r}")
    return UpstreamRecord(
        service=_parse_text(raw, "service", SERVICE_NAME),
        address=parse_address(str(raw.get("address"))),
        slots=_parse_int(raw, "slots", 1, MAX_COUNT),
        connections=_parse_int(raw, "connections", 1, MAX_COUNT),
        instance_id=_parse_text(raw, "instance_id", re.compile(INSTANCE_ID)),
        incarnation=_parse_int(raw, "incarnation", 0, MAX_INCARNATION),
        state=_parse_state(raw),
    )


def check_record(record: UpstreamRecord) -> None:
    """Check the record of an upstream from any source; raises AnnouncementInvalid."""
    try:
        from_plain(UpstreamRecord, to_plain(record))
    except CodecError as exc:
        raise AnnouncementInvalid(detail=str(exc)) from None
    if record.address.port == 0:
        raise AnnouncementInvalid(detail="address: use a port from 1")


def check_instance_id(instance_id: str) -> None:
    """Check the id of an instance; raises AnnouncementInvalid."""
    if not re.match(INSTANCE_ID, instance_id):
        raise AnnouncementInvalid(detail="instance id: use 1 to 128 visible ASCII characters")


def parse_address(text: str) -> Address:
    """Return the address in `IP:PORT`; raises AnnouncementInvalid."""
    host, _, port = text.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        if not (port.isascii() and port.isdigit() and 1 <= int(port) <= MAX_PORT):
            raise ValueError
    except ValueError:
        raise AnnouncementInvalid(detail="address: use an IP address with a port") from None
    return Address(str(ip), int(port))


def _parse_text(raw: dict[str, Any], field: str, pattern: re.Pattern[str]) -> str:
    value = raw.get(field)
    if not isinstance(value, str) or not pattern.match(value):
        raise AnnouncementInvalid(detail=f"{field}: use text that matches {pattern.pattern}")
    return value


def _parse_int(raw: dict[str, Any], field: str, low: int, high: int) -> int:
    value = raw.get(field)
    if type(value) is not int or not low <= value <= high:
        raise AnnouncementInvalid(detail=f"{field}: use a whole number from {low} to {high}")
    return value


def _parse_state(raw: dict[str, Any]) -> UpstreamState:
    try:
        return UpstreamState(raw.get("state", "serving"))
    except ValueError:
        raise AnnouncementInvalid(detail="state: use serving or leaving") from None
