"""Steps of operator.feature."""

from __future__ import annotations

import contextlib
import io
import json
from typing import Any
from unittest import mock

from behave import given, register_type, then, when
from parse import with_pattern

from knapweedhitch import cli
from tests.operator_fakes import MemoryClient, World, run


@with_pattern(r".*")
def _maybe_empty(text: str) -> str:
    return text


register_type(OperatorFaults=_maybe_empty)


@given("operator listener of a {role} instance")
def _listener(context: Any, role: str) -> None:
    context.operator_world = World(control=role == "control")


@when("operator sends {method} {path} with {body}")
def _send(context: Any, method: str, path: str, body: str) -> None:
    raw = None if body == "-" else json.loads(body)
    context.operator_answer = run(context.operator_world.ask, method, path, raw)


@then("operator gets {status:d} {reason}")
def _gets(context: Any, status: int, reason: str) -> None:
    found, body = context.operator_answer
    assert found == status, context.operator_answer
    if reason != "-":
        assert body["error"] == reason, body


@when('operator runs "{command}" and the tries end "{faults:OperatorFaults}"')
def _run(context: Any, command: str, faults: str) -> None:
    left = [fault for fault in faults.split(",") if fault]
    client = MemoryClient(context.operator_world, *left)
    with contextlib.ExitStack() as stack:
        stack.enter_context(contextlib.redirect_stdout(io.StringIO()))
        stack.enter_context(contextlib.redirect_stderr(io.StringIO()))
        stack.enter_context(mock.patch.object(cli.Context, "client", lambda _: client))
        stack.enter_context(mock.patch.object(cli.Context, "_run", staticmethod(run)))
        context.operator_code = cli.run(command.split())


@then("operator sees exit code {code:d}")
def _code(context: Any, code: int) -> None:
    assert context.operator_code == code, context.operator_code
