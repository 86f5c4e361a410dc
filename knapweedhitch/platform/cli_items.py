"""Commands about configuration calls of the platform."""

from __future__ import annotations

import contextlib
import http.client
from typing import TYPE_CHECKING, Any

from knapweedhitch import itemcheck
from knapweedhitch.cli_answers import command
from knapweedhitch.exceptions import (
    CallInvalid,
    CommandError,
    InvalidChange,
    NodeUnreachable,
)
from knapweedhitch.items import Items
from knapweedhitch.platform import itemfile
from knapweedhitch.platform.itemfile import Problem, UnreadableCall

if TYPE_CHECKING:
    from knapweedhitch.cli import Context

CONFIG_PATH = "/knapweedhitch/config/get"
FETCH_TIMEOUT_S = 5.0
MAX_CALL_BYTES = 16_777_216


class ItemCommands:
    """Check configuration calls before they are sent."""

    def __init__(self, context: Context) -> None:
        self._context = context

    @command
    def check(self, file: str, *, against: str = "", node: str = "", strict: bool = False) -> None:
        """Check a call in a JSON file; --against FILE or --node HOST:PORT give what is in force.

        With --strict, entries without effect count as errors.
        """
        held = _items_in_force(against, node)
        page = _check(_read(file), held)
        self._context.show(page, render)
        if page["errors"] or (strict and page["warnings"]):
            raise CallInvalid(len(page["errors"]), len(page["warnings"]))


def render(page: Any) -> str:
    """Render what is wrong with a call and what it changes."""
    lines = []
    for name in ("errors", "warnings"):
        for row in page[name]:
            place = f"{row['place']}: " if row["place"] else ""
            lines.append(f"{name.removesuffix('s')}: {place}{row['text']}")
    lines += page["difference"]
    return "\n".join(lines) or "no problem, no difference"


def _check(data: bytes, held: Items) -> dict[str, Any]:
    try:
        patch, document = itemfile.parse_call(data)
    except UnreadableCall as exc:
        return _page(exc.problems, (), ())
    report = itemcheck.check(patch, held)
    errors, warnings = (
        tuple(Problem(itemfile.place_of(found, document), found.text) for found in findings)
        for findings in (report.errors, report.warnings)
    )
    return _page(errors, warnings, report.difference)


def _page(
    errors: tuple[Problem, ...], warnings: tuple[Problem, ...], difference: tuple[str, ...]
) -> dict[str, Any]:
    rows = [[{"place": p.place, "text": p.text} for p in found] for found in (errors, warnings)]
    return {"errors": rows[0], "warnings": rows[1], "difference": list(difference)}


def _items_in_force(against: str, node: str) -> Items:
    """Return the items in a file or at a node, none without either; raises CommandError."""
    if against and node:
        raise CommandError("use --against or --node, not both")
    if not against and not node:
        return Items()
    data = _read(against) if against else _fetch(node)
    try:
        return itemfile.parse_items(data)
    except InvalidChange as exc:
        raise CommandError(f"{against or node}: {exc}") from None


def _read(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_CALL_BYTES + 1)
    except OSError as exc:
        raise CommandError(f"{path}: cannot be read: {exc.strerror}") from None
    if len(data) > MAX_CALL_BYTES:
        raise CommandError(f"{path}: over {MAX_CALL_BYTES} bytes")
    return data


def _fetch(node: str) -> bytes:
    try:
        conn = http.client.HTTPConnection(node, timeout=FETCH_TIMEOUT_S)
        with contextlib.closing(conn):
            conn.request("GET", CONFIG_PATH)
            response = conn.getresponse()
            data = response.read(MAX_CALL_BYTES)
    except (OSError, http.client.HTTPException) as exc:
        raise NodeUnreachable(f"{node} does not respond: {exc}") from None
    if response.status != http.client.OK:
        raise NodeUnreachable(f"{node} responds with status {response.status}")
    return data
