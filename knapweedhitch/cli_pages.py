"""Text rendering of the JSON pages of the operator listener."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

# Hints by refusal reason, appended to the error line.
ADVICE: Mapping[str, str] = {
    "unauthorized": "; give the token file of that node with --token-file",
    "version-conflict": "; look at `knapweedhitch config history` and run the command again",
    "last-domain": "; bring another domain in first, or add --allow-last",
    "unknown-domain": "; check the name, or add --allow-unknown if all its nodes are gone",
    "unknown-node": "; check the name with `knapweedhitch members`",
    "no-leader": "; check the control instances with `knapweedhitch status`",
    "no-such-resource": "",
}


def table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return the rows as aligned columns."""
    texts = [[_cell(value) for value in row] for row in [header, *rows]]
    widths = [max(len(row[i]) for row in texts) for i in range(len(header))]
    lines = [
        "  ".join(f"{cell:{width}}" for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in texts
    ]
    return "\n".join(lines)


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.0f}"
    if isinstance(value, Mapping):
        return " ".join(f"{key}={_cell(item)}" for key, item in value.items()) or "-"
    if isinstance(value, (list, tuple)):
        return ",".join(_cell(item) for item in value) or "-"
    return str(value)


def status(page: Mapping[str, Any]) -> str:
    """Render the status of the node, the lagging nodes and all nodes."""
    fields = [(key, page[key]) for key in page if key != "nodes"]
    text = table(("fact", "value"), fields)
    nodes = page["nodes"]
    if nodes is None:
        others = ", ".join(page["control_instances"])
        return f"{text}\n\nThe versions of other nodes are known at: {others}"
    lagging = [row["node"] for row in nodes if row["lags"]]
    header = ("node", "domain", "state", "version", "age_ms", "lags")
    rows = [[row[key] for key in header] for row in nodes]
    return f"{text}\n\nlagging: {_cell(lagging)}\n\n{table(header, rows)}"


def config(page: Mapping[str, Any]) -> str:
    """Render the configuration in force."""
    out = sorted(name for name, domain in page["domains"].items() if domain["out"])
    fields = [
        ("version", page["version"]),
        ("domains out", out),
        ("draining nodes", page["draining_nodes"]),
    ]
    rows = [
        (name, svc["hosts"], svc["require_key"], svc["default_deadline_ms"], svc["max_deadline_ms"])
        for name, svc in sorted(page["services"].items())
    ]
    header = ("service", "hosts", "require_key", "default_deadline_ms", "max_deadline_ms")
    return f"{table(('fact', 'value'), fields)}\n\n{table(header, rows)}"


def history(page: Mapping[str, Any]) -> str:
    """Render each change with its difference, oldest first."""
    rows = []
    for change in page["changes"]:
        when = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(change["wall_ms"] / 1_000))
        rows.append(
            (change["version"], when, change["operator"], change["change_id"], change["kind"])
        )
        rows.extend(("", "", "", "", line) for line in change["diff"])
    return table(("version", "time", "operator", "change_id", "change"), rows)


def services(page: Mapping[str, Any]) -> str:
    """Render one line for each service."""
    rows = [
        (
            svc["name"],
            svc["config"]["hosts"],
            svc["targets"],
            svc["usable"],
            svc["usable_by_domain"],
        )
        for svc in page["services"]
    ]
    return table(("service", "hosts", "targets", "usable", "usable_by_domain"), rows)


def upstreams(page: Mapping[str, Any]) -> str:
    """Render one line for each upstream."""
    header = ("service", "node", "domain", "address", "slots", "state", "suspect", "usable")
    return table(header, [[row[key] for key in header] for row in page["upstreams"]])


def members(page: Mapping[str, Any]) -> str:
    """Render one line for each node."""
    header = ("node", "address", "region", "domain", "state", "draining", "service")
    return table(header, [[row[key] for key in header] for row in page["members"]])
