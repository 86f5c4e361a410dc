"""The command-line tool `knapweedhitch`."""

from __future__ import annotations

import contextlib
import io
import json
import os
import re
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Any
from urllib.parse import quote

import fire
import trio

from knapweedhitch import __version__, cli_answers, cli_pages
from knapweedhitch.cli_answers import Pending, command, expect_known_format
from knapweedhitch.cli_suspects import SuspectCommands
from knapweedhitch.exceptions import (
    AnswersError,
    ChangeConflict,
    ChangeUnconfirmed,
    CommandError,
    KnapweedhitchError,
    NodeUnreachable,
    NoLeader,
    OperatorAnswerLost,
    OperatorRefused,
    OperatorUnreachable,
    SettingsError,
    VersionLags,
)
from knapweedhitch.idempotency import generate_uuid7
from knapweedhitch.operator_client import OperatorClient, new_change_id, parse_address
from knapweedhitch.platform.cli_items import ItemCommands
from knapweedhitch.settings import load_secret, load_settings

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_CONFLICT = 4

DEFAULT_SETTINGS = "/etc/knapweedhitch/settings.yaml"
# Flags without a value; fire would otherwise consume the next argument as their value.
SWITCHES = frozenset({"--json", "--yes", "--allow-last", "--allow-unknown", "--force", "--strict"})
TOKEN = re.compile(rb"[A-Za-z0-9._~+/=-]+")
HELP_REQUESTS = (["--help"], ["-h"], ["help"])
HELP_NOTE = re.compile(r"^INFO: Showing help.*\n\n?", re.MULTILINE)
MS_PER_S = 1_000


class Context:
    """Store the options that all commands share: listener address, token and output format."""

    def __init__(self, address: str, token_file: str, settings: str, as_json: bool) -> None:
        self._address = address
        self._token_file = token_file
        self._settings = settings
        self.as_json = as_json

    def show(self, value: Any, page: Callable[[Any], str] | None = None) -> None:
        """Print a result as JSON or as formatted text."""
        if self.as_json or page is None:
            print(json.dumps(value, indent=2))
            return
        with expect_known_format():
            text = page(value)
        print(text.rstrip("\n"))

    def client(self) -> OperatorClient:
        """Return a client of the operator listener; raises CommandError and SettingsError."""
        address, token_file = self._address, self._token_file
        if not address or not token_file:
            cfg = load_settings(self._settings)
            listener = cfg.listen.operator
            host = f"[{listener.host}]" if ":" in listener.host else listener.host
            address = address or f"{host}:{listener.port}"
            token_file = token_file or cfg.secrets.operator_token_file
        try:
            parsed = parse_address(address)
        except ValueError as exc:
            raise CommandError(f"--address: {exc}") from None
        token = load_secret(token_file)
        if not TOKEN.fullmatch(token):
            raise CommandError(f"{token_file}: use letters, digits and -._~+/= for the token")
        return OperatorClient(parsed, token.decode("ascii"))

    def get(self, path: str) -> Any:
        """Return a page of the operator listener."""
        return self._run(self.client().get, path)

    def change(self, path: str, body: dict[str, Any], change_id: str = "") -> dict[str, Any]:
        """Post a change under one change id and return the response."""
        fields = {"change_id": change_id or new_change_id(), "operator": operator_name(), **body}
        response: dict[str, Any] = self._run(self.client().change, path, fields)
        return response

    def wait(self, version: int, timeout_ms: float) -> None:
        """Wait until a version is in force at every node; raises VersionLags."""
        with expect_known_format():
            self._run(self.client().wait_everywhere, version, timeout_ms)

    @staticmethod
    def _run(fn: Callable[..., Awaitable[Any]], *args: Any) -> Any:
        return trio.run(fn, *args)


def quote_segment(text: str) -> str:
    """Return the text percent-encoded as one path segment."""
    return quote(text, safe="", errors="replace")


def operator_name() -> str:
    """Return the name under which changes are recorded."""
    return os.environ.get("KNAPWEEDHITCH_OPERATOR") or os.environ.get("USER") or "unknown"


class Config:
    """Show the configuration in force, its history, or how it differs from answers."""

    def __init__(self, context: Context) -> None:
        self._context = context

    @command
    def show(self) -> None:
        """Show the configuration in force at this node."""
        self._context.show(self._context.get("/v1/config"), cli_pages.config)

    @command
    def history(self, *, limit: str = "20") -> None:
        """Show the last changes; works at control instances only."""
        page = self._context.get(f"/v1/config/history?limit={quote_segment(limit)}")
        self._context.show(page, cli_pages.history)

    @command
    def diff(self, answers: str) -> None:
        """Show what `answers apply` would change, without changing anything."""
        difference = cli_answers.difference(self._context, answers)
        self._context.show(difference.plain(), lambda _: difference.text())


class Domain:
    """Take a failure domain out of service, or back in."""

    def __init__(self, context: Context) -> None:
        self._context = context
        # The command name `in` is a Python keyword.
        setattr(self, "in", self._domain_in)

    @command
    def out(
        self,
        name: str,
        *,
        allow_last: bool = False,
        allow_unknown: bool = False,
        change_id: str = "",
    ) -> None:
        """Take a failure domain out; --allow-last permits it for the last domain of a service."""
        body = {"allow_last": bool(allow_last), "allow_unknown": bool(allow_unknown)}
        path = f"/v1/domains/{quote_segment(name)}/out"
        response = self._context.change(path, body, change_id)
        self._context.show(response, lambda r: f"{name} is out since version {r['version']}")

    @command
    def _domain_in(self, name: str, *, change_id: str = "") -> None:
        """Take a failure domain back in; its load ramps up gradually."""
        response = self._context.change(f"/v1/domains/{quote_segment(name)}/in", {}, change_id)
        self._context.show(response, lambda r: f"{name} is in since version {r['version']}")


class Node:
    """Drain a node, or end the drain."""

    def __init__(self, context: Context) -> None:
        self._context = context

    @command
    def drain(self, node_id: str, *, change_id: str = "") -> None:
        """Send no new calls to a node; calls in flight continue."""
        self._post(node_id, "drain", change_id)

    @command
    def undrain(self, node_id: str, *, change_id: str = "") -> None:
        """End the drain of a node, so that it receives calls again."""
        self._post(node_id, "undrain", change_id)

    def _post(self, node_id: str, verb: str, change_id: str) -> None:
        path = f"/v1/nodes/{quote_segment(node_id)}/{verb}"
        response = self._context.change(path, {}, change_id)
        self._context.show(response, lambda r: f"{node_id}: {verb} since version {r['version']}")


class Commands:
    """Inspect and change a knapweedhitch deployment.

    A new team starts with `knapweedhitch answers template`.

    Options of every command: --json for output that scripts read; --settings FILE for the settings
    of the daemon on this instance, from which the address and the token come; --address HOST:PORT
    and --token-file FILE to name them instead. The environment variables KNAPWEEDHITCH_SETTINGS,
    KNAPWEEDHITCH_ADDRESS and KNAPWEEDHITCH_TOKEN_FILE set the same options.

    Exit codes: 0 success, 1 refused, 2 usage error, 3 no response from the daemon, 4 conflict with
    another change.
    """

    def __init__(
        self, address: str = "", token_file: str = "", settings: str = "", json: bool = False
    ) -> None:
        env = os.environ
        self._context = Context(
            address or env.get("KNAPWEEDHITCH_ADDRESS", ""),
            token_file or env.get("KNAPWEEDHITCH_TOKEN_FILE", ""),
            settings or env.get("KNAPWEEDHITCH_SETTINGS", DEFAULT_SETTINGS),
            bool(json),
        )
        self.answers = cli_answers.AnswerCommands(self._context)
        self.config = Config(self._context)
        self.domain = Domain(self._context)
        self.items = ItemCommands(self._context)
        self.node = Node(self._context)
        self.suspects = SuspectCommands(self._context)

    @command
    def status(self) -> None:
        """Show the version in force, and on a control instance which nodes lag behind."""
        self._context.show(self._context.get("/v1/status"), cli_pages.status)

    @command
    def services(self) -> None:
        """Show each service and its number of usable targets in each failure domain."""
        self._context.show(self._context.get("/v1/services"), cli_pages.services)

    @command
    def upstreams(self) -> None:
        """Show every announced upstream."""
        self._context.show(self._context.get("/v1/upstreams"), cli_pages.upstreams)

    @command
    def members(self) -> None:
        """Show every node that this node knows."""
        self._context.show(self._context.get("/v1/members"), cli_pages.members)

    @command
    def wait(self, version: str, *, seconds: str = "10") -> None:
        """Wait until a version is in force at every node; works at control instances only."""
        if not all(text.isdecimal() and len(text) < 10 for text in (version, seconds)):
            raise CommandError("wait: use whole numbers for the version and --seconds")
        self._context.wait(int(version), int(seconds) * MS_PER_S)
        self._context.show({"version": int(version)}, lambda _: f"{version} is in force everywhere")

    @command
    def explain(self, request_id: str) -> None:
        """Show how one request was routed; send it with the header Knapweedhitch-Explain: 1."""
        self._context.show(self._context.get(f"/v1/explain/{quote_segment(request_id)}"))

    @command
    def metrics(self) -> None:
        """Print all counters, gauges and histograms in the Prometheus text format."""
        print(self._context.get("/metrics"), end="")

    @command
    def key(self) -> None:
        """Generate an idempotency key for a booking, deposit or order."""
        print(generate_uuid7(time.time_ns() // 1_000_000))

    @command
    def version(self) -> None:
        """Print the version."""
        print(__version__)


def quote_arguments(args: Sequence[str]) -> list[str]:
    """Return arguments for fire: values are passed as strings, switches take no value."""
    result = []
    for arg in args:
        name, equals, value = arg.partition("=")
        if arg in SWITCHES:
            result.append(f"{arg}=True")
        elif arg.startswith("--") and equals:
            result.append(f"{name}={_quote_value(value)}")
        else:
            result.append(arg if arg.startswith("-") else _quote_value(arg))
    return result


def _quote_value(text: str) -> str:
    # Fire parses 0123 or 1e5 as a number and None as no value; quoted, they stay strings.
    return text if fire.parser.DefaultParseValue(text) == text else repr(text)


def exit_code(exc: KnapweedhitchError) -> int:
    """Return the exit code of an error."""
    if isinstance(exc, OperatorRefused):
        if exc.error == ChangeConflict.reason:
            return EXIT_CONFLICT
        if exc.error in (NoLeader.reason, ChangeUnconfirmed.reason):
            return EXIT_UNREACHABLE
        return EXIT_REFUSED
    if isinstance(exc, (OperatorUnreachable, NodeUnreachable, OperatorAnswerLost, VersionLags)):
        return EXIT_UNREACHABLE
    if isinstance(exc, (CommandError, SettingsError)):
        return EXIT_USAGE
    return EXIT_REFUSED


def advice(exc: KnapweedhitchError) -> str:
    """Return a hint on how to resolve an error, or an empty string."""
    if isinstance(exc, OperatorAnswerLost):
        return f"; run the same command with --change-id {exc.change_id}"
    if isinstance(exc, OperatorUnreachable):
        return "; check that the daemon runs and that --address is its operator listener"
    if isinstance(exc, OperatorRefused):
        return cli_pages.ADVICE.get(exc.error, "")
    if isinstance(exc, SettingsError):
        return "; name the files with --settings, or with --address and --token-file"
    if isinstance(exc, AnswersError):
        return "; correct the answer and run the command again"
    return ""


def parse(args: Sequence[str]) -> Pending | None:
    """Return the parsed command, None after printing help only; raises CommandError."""
    if list(args) in HELP_REQUESTS:
        args = ()
    usage = io.StringIO()
    # By default, fire shows the help in a pager.
    fire.core.Display = lambda lines, out: print(*lines, sep="\n", file=out)
    try:
        with contextlib.redirect_stderr(usage):
            component = fire.Fire(
                Commands, command=quote_arguments(args), name="knapweedhitch", serialize=_serialize
            )
    except fire.core.FireExit as exc:
        if exc.code != EXIT_OK:
            problem = exc.trace.elements[-1].ErrorAsStr()
            raise CommandError(f"{problem}; see knapweedhitch --help") from None
        print(HELP_NOTE.sub("", usage.getvalue()), end="")
        return None
    return component if isinstance(component, Pending) else None


def _serialize(component: Any) -> Any:
    # Otherwise fire would print a help page for the returned command.
    return None if isinstance(component, Pending) else component


def run(args: Sequence[str]) -> int:
    """Run one command and return its exit code."""
    try:
        pending = parse(args)
        if pending is not None:
            pending.execute()
    except KnapweedhitchError as exc:
        return _print_error(f"{exc}{advice(exc)}", exit_code(exc))
    except KeyboardInterrupt:
        return _print_error("interrupted before completion", EXIT_REFUSED)
    except BrokenPipeError:
        # The reader closed the pipe; the flush at interpreter exit must not report it again.
        sys.stdout = open(os.devnull, "w", encoding="utf-8")  # noqa: SIM115
    return EXIT_OK


def _print_error(problem: str, code: int) -> int:
    print(f"knapweedhitch: {' '.join(problem.split())}", file=sys.stderr)
    return code


def main() -> None:
    """Run the command line of the process and exit."""
    sys.exit(run(sys.argv[1:]))
