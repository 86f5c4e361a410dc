"""Parsing of configuration changes in JSON and their conversion to log operations."""

from __future__ import annotations

import re
import typing
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from knapweedhitch import changes
from knapweedhitch.exceptions import InvalidChange
from knapweedhitch.model import ServiceConfig

NAME = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
CHANGE_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
OPERATOR = re.compile(r"[^\x00-\x1f\x7f]{1,128}")
MAX_SERVICES = 10_000
MAX_VERSION = 1 << 53
MAX_REPR_CHARS = 60

# For each kind of change: its field in JSON, and its operation class in the log.
KINDS: Mapping[str, tuple[str, Callable[..., changes.Operation]]] = {
    "put_service": ("service", changes.PutService),
    "remove_service": ("name", changes.RemoveService),
    "domain_out": ("domain", changes.DomainOut),
    "domain_in": ("domain", changes.DomainIn),
    "node_drain": ("node_id", changes.NodeDrain),
    "node_undrain": ("node_id", changes.NodeUndrain),
    "apply_all": ("services", changes.PutAllServices),
}

_SERVICE_TYPES = typing.get_type_hints(ServiceConfig)
_LIMITS: Mapping[str, tuple[float, float]] = {
    "default_deadline_ms": (1, 86_400_000),
    "max_deadline_ms": (1, 86_400_000),
    "max_body_bytes": (0, 1 << 40),
    "retries": (0, 10),
    "hold_back_bytes": (0, 16_777_216),
    "claim_retention_s": (60, 86_400),
    "max_recorded_answer_bytes": (0, 1_048_576),
    "max_ejected_ratio": (0.0, 1.0),
}


class ChangeForm(msgspec.Struct, frozen=True):
    """Describe a validated change; value is a name, a ServiceConfig or a tuple of ServiceConfig."""

    change_id: str
    base_version: int | None
    operator: str
    kind: str
    value: str | ServiceConfig | tuple[ServiceConfig, ...]
    allow_last: bool = False


def _short_repr(value: object) -> str:
    return repr(value)[:MAX_REPR_CHARS]


def _match(raw: object, pattern: re.Pattern[str], field: str) -> str:
    if not isinstance(raw, str) or not pattern.fullmatch(raw):
        raise InvalidChange(f"{field}: {_short_repr(raw)} is not accepted; use {pattern.pattern}")
    return raw


def _check_keys(raw: object, keys: frozenset[str], field_path: str) -> dict[str, Any]:
    if not isinstance(raw, dict):
        raise InvalidChange(f"{field_path}: use a JSON object")
    unknown = sorted(set(raw) - keys)
    if unknown:
        raise InvalidChange(f"{field_path}: unknown field {_short_repr(unknown[0])}")
    return raw


def parse_service(raw: object, field_path: str = "service") -> ServiceConfig:
    """Return the service configuration of a JSON object; raises InvalidChange."""
    fields = _check_keys(raw, frozenset(_SERVICE_TYPES), field_path)
    values = {}
    for name, value in fields.items():
        try:
            values[name] = msgspec.convert(value, _SERVICE_TYPES[name])
        except msgspec.ValidationError as exc:
            shown = _short_repr(value)
            raise InvalidChange(f"{field_path}: {name}: {exc}; got {shown}") from None
    try:
        svc = ServiceConfig(**values)
    except TypeError as exc:
        raise InvalidChange(f"{field_path}: {exc}") from None
    check_service(svc, field_path)
    return svc


def check_service(svc: ServiceConfig, field_path: str = "service") -> None:
    """Check the names and the limits of a service configuration; raises InvalidChange."""
    _match(svc.name, NAME, f"{field_path}.name")
    if not svc.hosts:
        raise InvalidChange(f"{field_path}.hosts: use at least one host name")
    for host in svc.hosts:
        _match(host, NAME, f"{field_path}.hosts")
    for field, (low, high) in _LIMITS.items():
        value = getattr(svc, field)
        if not low <= value <= high:
            raise InvalidChange(
                f"{field_path}.{field}: {value} is not accepted; use {low} to {high}"
            )
    if svc.default_deadline_ms > svc.max_deadline_ms:
        raise InvalidChange(f"{field_path}.default_deadline_ms: use at most max_deadline_ms")


def _parse_services(raw: object) -> tuple[ServiceConfig, ...]:
    if not isinstance(raw, list) or len(raw) > MAX_SERVICES:
        raise InvalidChange(f"op.services: use a list of at most {MAX_SERVICES} services")
    services = tuple(parse_service(item, f"op.services[{i}]") for i, item in enumerate(raw))
    names: set[str] = set()
    hosts: set[str] = set()
    for svc in services:
        if svc.name in names or not hosts.isdisjoint(svc.hosts):
            raise InvalidChange(f"op.services: {svc.name} repeats a name or a host name")
        names.add(svc.name)
        hosts.update(svc.hosts)
    return services


def parse_change(raw: object) -> ChangeForm:
    """Return the validated change in a JSON object; raises InvalidChange with the field name."""
    fields = _check_keys(raw, frozenset({"change_id", "base_version", "operator", "op"}), "change")
    change_id = _match(fields.get("change_id"), CHANGE_ID, "change_id")
    operator = _match(fields.get("operator"), OPERATOR, "operator")
    base_version = fields.get("base_version")
    if base_version is not None and (
        type(base_version) is not int or not 0 <= base_version <= MAX_VERSION
    ):
        raise InvalidChange(
            f"base_version: {_short_repr(base_version)} is not accepted; use a version or null"
        )
    op = fields.get("op")
    kind = op.get("kind") if isinstance(op, dict) else None
    if not isinstance(kind, str) or kind not in KINDS:
        raise InvalidChange(f"op.kind: {_short_repr(kind)} is not accepted; use {', '.join(KINDS)}")
    field = KINDS[kind][0]
    allowed = {"kind", field} | ({"allow_last"} if kind == "domain_out" else set())
    op_fields = _check_keys(op, frozenset(allowed), "op")
    value = op_fields.get(field)
    allow_last = op_fields.get("allow_last", False)
    if type(allow_last) is not bool:
        raise InvalidChange(
            f"op.allow_last: {_short_repr(allow_last)} is not accepted; use a boolean"
        )
    if kind == "put_service":
        return ChangeForm(
            change_id, base_version, operator, kind, parse_service(value, "op.service")
        )
    if kind == "apply_all":
        return ChangeForm(change_id, base_version, operator, kind, _parse_services(value))
    name = _match(value, NAME, f"op.{field}")
    return ChangeForm(change_id, base_version, operator, kind, name, allow_last)


def to_change(form: ChangeForm) -> changes.Change:
    """Return the log change for a validated form."""
    operation_class = KINDS[form.kind][1]
    op = (
        operation_class(form.value, allow_last=True)
        if form.allow_last
        else operation_class(form.value)
    )
    return changes.Change(form.change_id, form.base_version, form.operator, op)
