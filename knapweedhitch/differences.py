"""Line-by-line differences between two sets of services or generated files."""

from __future__ import annotations

import difflib
from collections.abc import Iterable, Iterator, Mapping

from knapweedhitch import plain
from knapweedhitch.model import ServiceConfig


def of_services(old: Iterable[ServiceConfig], new: Iterable[ServiceConfig]) -> list[str]:
    """Return one line for each service or field that is added, removed or changed."""
    before = {svc.name: svc for svc in old}
    after = {svc.name: svc for svc in new}
    lines = [f"- service {name}" for name in sorted(before.keys() - after.keys())]
    for name in sorted(after):
        if name not in before:
            lines.append(f"+ service {name}")
            lines.extend(f"+ {name}.{field}: {value}" for field, value in _iter_fields(after[name]))
        else:
            lines.extend(_iter_changes(before[name], after[name]))
    return lines


def _iter_fields(svc: ServiceConfig) -> Iterator[tuple[str, object]]:
    for name in svc.__struct_fields__:
        if name != "name":
            yield name, plain.to_json(getattr(svc, name))


def _iter_changes(old: ServiceConfig, new: ServiceConfig) -> Iterator[str]:
    for (name, before), (_, after) in zip(_iter_fields(old), _iter_fields(new), strict=True):
        if before != after:
            yield f"~ {old.name}.{name}: {before} -> {after}"


def of_files(old: Mapping[str, str], new: Mapping[str, str]) -> list[str]:
    """Return a unified diff of file contents by file name."""
    lines: list[str] = []
    for name in sorted(old.keys() | new.keys()):
        lines.extend(
            difflib.unified_diff(
                old.get(name, "").splitlines(),
                new.get(name, "").splitlines(),
                f"old/{name}" if name in old else "/dev/null",
                f"new/{name}" if name in new else "/dev/null",
                lineterm="",
                n=1,
            )
        )
    return lines
