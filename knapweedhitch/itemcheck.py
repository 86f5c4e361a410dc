"""Check of a patch of items before it is sent: errors, entries without effect, and differences."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from knapweedhitch import items as itemrules
from knapweedhitch.codec import Record
from knapweedhitch.exceptions import InvalidChange
from knapweedhitch.items import BackendItem, CustomerItem, ItemPatch, Items, LimitsItem, RouteItem
from knapweedhitch.routedispatch import MAX_TARGETS_PER_CALL

# Hosts and paths as clients can send them; a path ends before its query.
POSSIBLE_HOST = re.compile(r"(?:[A-Za-z0-9._~-]+|\[[0-9A-Fa-f:.]+\])(?::[0-9]{1,5})?")
POSSIBLE_PATH = re.compile(r"/[!-\"$->@-~]*")
# Fields of items that are not compared: the document repeats the others, and keys are secret.
UNCOMPARED = frozenset({"name", "version", "document", "keys"})
LIMITS = "limits"
TITLES = {"routes": "route", "backends": "service", "customers": "customer"}


class Finding(Record, frozen=True):
    """Describe a problem of one item; `field` is empty if it concerns the whole item."""

    kind: str
    name: str
    field: str
    text: str


class Report(Record, frozen=True):
    """Collect what is wrong with a patch, and what it changes."""

    errors: tuple[Finding, ...]
    warnings: tuple[Finding, ...]
    difference: tuple[str, ...]


Rule = Callable[[Any], Iterator[tuple[str, str]]]

_rules: list[tuple[str, Rule]] = []


def _register_rule(kind: str) -> Callable[[Rule], Rule]:
    """Register a rule that yields field and text of entries without effect in an item."""

    def register(fn: Rule) -> Rule:
        _rules.append((kind, fn))
        return fn

    return register


def check(patch: ItemPatch, held: Items) -> Report:
    """Return the report on a patch of the items in force."""
    errors = [*_item_errors(patch), *_version_errors(patch, held)]
    after = held
    if not errors:
        try:
            after = itemrules.combine(held, patch)
            errors = _conflict_errors(patch, after) if after != held else []
            itemrules.merge(held, patch)
        except InvalidChange as exc:
            errors = errors or [Finding("", "", "", str(exc))]
    warnings = [*_outdated(patch, held), *_ineffective(patch), *_unused_services(patch, after)]
    lines = () if errors else difference(held, after)
    return Report(tuple(errors), tuple(warnings), tuple(lines))


# Errors


def _conflict_errors(patch: ItemPatch, after: Items) -> list[Finding]:
    found = (*itemrules.find_shared_keys(patch.customers), *itemrules.find_conflicts(after))
    return [Finding(c.kind, c.name, "", c.text) for c in dict.fromkeys(found)]


def _item_errors(patch: ItemPatch) -> Iterator[Finding]:
    checks: tuple[tuple[str, Callable[[Any], None]], ...] = (
        ("routes", itemrules.check_route),
        ("backends", itemrules.check_backend),
        ("customers", itemrules.check_customer),
    )
    for kind, check_item in checks:
        for item in getattr(patch, kind):
            try:
                check_item(item)
            except InvalidChange as exc:
                yield Finding(kind, item.name, "", str(exc))


def _version_errors(patch: ItemPatch, held: Items) -> Iterator[Finding]:
    for kind, item, current in _pairs(patch, held):
        removed_at = getattr(held, f"removed_{kind}", {}).get(item.name)
        if item.version < 0:
            yield Finding(kind, item.name, "version", "use a version from 0")
        elif removed_at == item.version:
            yield Finding(kind, item.name, "version", f"version {removed_at} removes the item")
        elif current is not None and current.version == item.version and current != item:
            text = f"version {item.version} is held with other content"
            yield Finding(kind, item.name, "version", text)
    for kind in TITLES:
        for removal in getattr(patch, f"removed_{kind}"):
            current = getattr(held, kind).get(removal.name)
            if current is not None and current.version == removal.version:
                text = f"version {removal.version} sets the item"
                yield Finding(f"removed_{kind}", removal.name, "version", text)


def _pairs(patch: ItemPatch, held: Items) -> Iterator[tuple[str, Any, Any]]:
    """Yield each item of a patch with its kind and the item in force, None without one."""
    for kind in TITLES:
        for item in getattr(patch, kind):
            yield kind, item, getattr(held, kind).get(item.name)


# Entries without effect


def _outdated(patch: ItemPatch, held: Items) -> Iterator[Finding]:
    for kind, item, current in _pairs(patch, held):
        removed_at = getattr(held, f"removed_{kind}").get(item.name, -1)
        newest = removed_at if current is None else current.version
        if 0 <= item.version < newest:
            text = f"has no effect: version {newest} is newer"
            yield Finding(kind, item.name, "version", text)
    for kind in TITLES:
        for removal in getattr(patch, f"removed_{kind}"):
            current = getattr(held, kind).get(removal.name)
            if current is None:
                yield Finding(f"removed_{kind}", removal.name, "", "removes nothing")
            elif removal.version < current.version:
                text = f"has no effect: version {current.version} is newer"
                yield Finding(f"removed_{kind}", removal.name, "version", text)


def _ineffective(patch: ItemPatch) -> Iterator[Finding]:
    for kind, rule in _rules:
        found = (patch.limits,) if kind == LIMITS else getattr(patch, kind)
        for item in found:
            if item is not None:
                name = getattr(item, "name", "")
                yield from (Finding(kind, name, field, text) for field, text in rule(item))


def _unused_services(patch: ItemPatch, after: Items) -> Iterator[Finding]:
    used = {part.service for route in after.routes.values() for part in route.parts}
    for backend in patch.backends:
        if after.backends.get(backend.name) is backend and backend.name not in used:
            yield Finding("backends", backend.name, "", "no route leads to this service")


@_register_rule("routes")
def _check_match(route: RouteItem) -> Iterator[tuple[str, str]]:
    """Check that requests can have the host and the prefix.

    Of the routes of one host the longest prefix wins, so that none is hidden by another one.
    """
    if not POSSIBLE_HOST.fullmatch(route.host):
        yield "host", "no request can have this host"
    if not POSSIBLE_PATH.fullmatch(route.path_prefix):
        yield "path_prefix", "no request can have a path with this prefix"
    elif not route.path_prefix.endswith("/"):
        yield "path_prefix", "longer names match too; end the prefix with a slash"


@_register_rule("routes")
def _check_weights(route: RouteItem) -> Iterator[tuple[str, str]]:
    for part in route.parts:
        if part.weight == 0:
            yield "parts", f"service {part.service} has weight 0 and gets no request"


@_register_rule("routes")
def _check_times(route: RouteItem) -> Iterator[tuple[str, str]]:
    if route.timeout_ms < route.target_latency_ms:
        yield "timeout_ms", "requests end before their latency objective"


@_register_rule("routes")
def _check_attempts(route: RouteItem) -> Iterator[tuple[str, str]]:
    if route.max_attempts > MAX_TARGETS_PER_CALL:
        yield "max_attempts", f"a request is tried at no more than {MAX_TARGETS_PER_CALL} targets"


@_register_rule("backends")
def _check_cold_start(backend: BackendItem) -> Iterator[tuple[str, str]]:
    if backend.cold_start_ms > 0 and backend.cold_calls_per_s <= 0:
        yield "cold_calls_per_s", "upstreams get no request while they are cold"


@_register_rule("customers")
def _check_keys(customer: CustomerItem) -> Iterator[tuple[str, str]]:
    if not customer.keys:
        yield "keys", "no request can be from a customer without keys"


@_register_rule("customers")
def _check_quota(customer: CustomerItem) -> Iterator[tuple[str, str]]:
    if customer.rate_per_s > 0 and customer.burst < 1:
        yield "burst", "the burst is below one request"
    if customer.rate_per_s == 0 and customer.burst > 0:
        yield "burst", "has no effect: a rate of 0 is no limit"


@_register_rule(LIMITS)
def _check_limits(limits: LimitsItem) -> Iterator[tuple[str, str]]:
    for field in ("max_header_bytes", "header_timeout_ms", "idle_timeout_ms"):
        if getattr(limits, field) <= 0:
            yield field, "no request stays within this limit"


# Differences


def difference(before: Items, after: Items) -> list[str]:
    """Return the items that differ, with the fields that do, but without keys."""
    lines = []
    for kind, title in TITLES.items():
        old, new = getattr(before, kind), getattr(after, kind)
        for name in sorted(old.keys() | new.keys()):
            lines += _compare(f"{title} {name}", old.get(name), new.get(name))
    return lines + _compare(LIMITS, before.limits, after.limits)


def _compare(title: str, old: Any, new: Any) -> list[str]:
    if old == new:
        return []
    if old is None:
        return [f"+ {title} version {new.version}"]
    if new is None:
        return [f"- {title}"]
    fields = [_describe_keys(old, new)] if isinstance(new, CustomerItem) else []
    for name in (f.name for f in msgspec.structs.fields(new) if f.name not in UNCOMPARED):
        if getattr(old, name) != getattr(new, name):
            fields.append(f"{name} {getattr(old, name)} -> {getattr(new, name)}")
    shown = ", ".join(field for field in fields if field) or "other fields of the document"
    return [f"~ {title} version {old.version} -> {new.version}: {shown}"]


def _describe_keys(old: CustomerItem, new: CustomerItem) -> str:
    added, removed = len(set(new.keys) - set(old.keys)), len(set(old.keys) - set(new.keys))
    return f"keys {added} added, {removed} removed" if added or removed else ""
