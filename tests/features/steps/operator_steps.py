"""Steps for operator.feature."""

from __future__ import annotations

import json
from typing import Any

from behave import given, then, when

from tests.operator_fakes import World, run


@given("operator listener of a {role} instance")
def _listener(context: Any, role: str) -> None:
    context.operator_world = World(control=role == "control")


@when("operator sends {method} {path} with {body}")
def _send(context: Any, method: str, path: str, body: str) -> None:
    raw = None if body == "-" else json.loads(body)
    context.operator_response = run(context.operator_world.ask, method, path, raw)


@then("operator gets {status:d} {reason}")
def _gets(context: Any, status: int, reason: str) -> None:
    actual, body = context.operator_response
    assert actual == status, context.operator_response
    if reason != "-":
        assert body["error"] == reason, body
