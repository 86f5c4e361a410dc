"""Read files with configuration calls, and name the places of problems as in the file."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Mapping
from typing import Any

import msgspec

from knapweedhitch.exceptions import InvalidChange
from knapweedhitch.itemcheck import Finding
from knapweedhitch.items import ItemPatch, Items, merge
from knapweedhitch.platform import items
from knapweedhitch.validation import describe_problem

# Lists of a call by the kind of item in the product, and their types in a file.
LISTS: Mapping[str, str] = {"routes": "routes", "backends": "services", "customers": "tenants"}
TYPES: Mapping[str, Any] = {
    "routes": items.Route,
    "services": items.Service,
    "tenants": items.Tenant,
}
# Fields whose name in a file does not follow from that in the product.
FIELDS: Mapping[str, str] = {
    "parts": "weightedServices",
    "timeout_ms": "timeoutS",
    "cold_calls_per_s": "coldPerS",
    "header_timeout_ms": "headerTimeoutS",
    "idle_timeout_ms": "idleTimeoutS",
    "keys": "apiKeys",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Describe a problem at a place of the file; an empty place is the whole file."""

    place: str
    text: str


class UnreadableCall(InvalidChange):
    """Report all places of a call that cannot be read."""

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = tuple(problems)
        super().__init__("; ".join(f"{p.place}: {p.text}" for p in problems))


def parse_call(data: bytes) -> tuple[ItemPatch, Any]:
    """Return the patch and the JSON of a call; raises UnreadableCall."""
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise UnreadableCall([Problem("", f"not JSON: {exc}")]) from None
    problems = _find_problems(document)
    if problems:
        raise UnreadableCall(problems)
    try:
        return items.decode_patch(data), document
    except InvalidChange as exc:
        raise UnreadableCall([Problem("", str(exc))]) from None


def _find_problems(document: Any) -> list[Problem]:
    try:
        patch = msgspec.convert(document, items.Patch)
    except msgspec.ValidationError as exc:
        found = describe_problem(exc, document)
        return [Problem(found.path, found.message)]
    problems = []
    for name, cls in TYPES.items():
        for number, fields in enumerate(getattr(patch.upsert, name)):
            problems += _find_item_problems(f"upsert.{name}[{number}]", fields, cls)
    if patch.upsert.limits is not None:
        problems += _find_item_problems("upsert.limits", patch.upsert.limits, items.Limits)
    return problems


def _find_item_problems(place: str, fields: Any, cls: Any) -> list[Problem]:
    try:
        msgspec.convert(fields, cls)
    except msgspec.ValidationError as exc:
        found = describe_problem(exc, fields)
        return [Problem(".".join(filter(None, (place, found.path))), found.message)]
    return []


def parse_items(data: bytes) -> Items:
    """Return the items of a call or of a configuration read back; raises InvalidChange."""
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise InvalidChange(f"not JSON: {exc}") from None
    if isinstance(document, dict) and "upsert" not in document:
        document = {"upsert": document}
    return merge(Items(), items.decode_patch(json.dumps(document).encode()))


def place_of(finding: Finding, document: Any) -> str:
    """Return the place of a finding in the JSON of a call."""
    if not finding.kind:
        return ""
    removed = finding.kind.startswith("removed_")
    kind = finding.kind.removeprefix("removed_")
    section = "remove" if removed else "upsert"
    path = f"{section}.{LISTS.get(kind, kind)}"
    if kind in LISTS:
        entries = document.get(section, {}).get(LISTS[kind], [])
        names = [entry.get("name") for entry in entries]
        if finding.name not in names:
            # An item in force that does not fit to those of the call.
            return f"{LISTS[kind]} {finding.name}"
        path += f"[{names.index(finding.name)}]"
    return f"{path}.{_field_name(finding.field)}" if finding.field else path


def _field_name(field: str) -> str:
    head, *rest = field.split("_")
    return FIELDS.get(field, head + "".join(word.capitalize() for word in rest))
