"""Commands about requests that crash their upstreams."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any
from urllib.parse import quote, urlencode

from knapweedhitch.cli_answers import command
from knapweedhitch.cli_pages import table

if TYPE_CHECKING:
    from knapweedhitch.cli import Context


def render(page: Mapping[str, Any]) -> str:
    """Render the quarantined and the suspected requests."""
    quarantined = [
        (
            row["request"],
            row["service"],
            row["evidence"],
            row["refused_ms"],
            [f"{end['instance']}:{end['ended_ms_ago']:.0f}" for end in row["ends"]],
        )
        for row in page["quarantined"]
    ]
    header = ("quarantined", "service", "evidence", "refused_ms", "ended_ms_ago")
    suspects = [(row["request"], row["service"]) for row in page["suspects"]]
    return f"{table(header, quarantined)}\n\n{table(('suspect', 'service'), suspects)}"


class SuspectCommands:
    """Show, look up or lift verdicts on requests that crash their upstreams."""

    def __init__(self, context: Context) -> None:
        self._context = context

    @command
    def show(self) -> None:
        """Show the quarantined and the suspected requests that this node knows."""
        self._context.show(self._context.get("/v1/suspects"), render)

    @command
    def find(self, service: str, method: str, target: str, *, route: str = "") -> None:
        """Show what is held of one request; the target is the path with its query."""
        fields = {"service": service, "method": method, "target": target, "route": route}
        page = self._context.get(f"/v1/suspects?{urlencode(fields)}")
        self._context.show(page, lambda p: f"head {p['head']}\n\n{render(p)}")

    @command
    def lift(self, request: str, *, change_id: str = "") -> None:
        """Drop the evidence against a request, so that it reaches upstreams again."""
        path = f"/v1/suspects/{quote(request, safe='', errors='replace')}/lift"
        response = self._context.change(path, {}, change_id)
        self._context.show(response, lambda r: f"{r['request']} is lifted at all nodes")
