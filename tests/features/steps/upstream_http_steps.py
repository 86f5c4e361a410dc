"""Steps that call a misbehaving stand-in through the request path of a node."""

from __future__ import annotations

import trio
import trio.testing
from behave import given, then, when

from tests.request_world import node, run


def run_calls(context, send_calls):
    async def main():
        async with node() as world:
            up = world.add_upstream("up-1", local=True)
            world.up = up
            up.behaviour = up.behaviour.changed(context.behaviour)
            await send_calls(world)
            context.sent = len(up.requests)
            # The bytes of a surplus response may arrive after the connection became idle.
            await trio.testing.wait_all_tasks_blocked()
            idle = [conn for conns in world.pool._idle.values() for conn in conns]
            context.kept = "kept" if any(conn.is_quiet() for conn in idle) else "closed"

    run(main)


@given('upstream behaves as "{how}"')
def behave_as(context, how):
    context.behaviour = how


@when("upstream gets one {method}")
def one(context, method):
    async def send_calls(world):
        body = b"x" * 200_000 if "early" in context.behaviour else b"x" if method == "POST" else b""
        context.response = await world.caller().call(method, body=body)

    run_calls(context, send_calls)


@when("upstream goes silent on its open connections")
def silent(context):
    async def send_calls(world):
        await world.caller().call()
        world.up.go_silent()
        context.response = await world.caller().call()

    run_calls(context, send_calls)


@when("upstream gets two POST at once with {ids} request ids")
def two(context, ids):
    context.responses = {}

    async def one_call(world, name):
        headers = f"X-Request-Id: {name if ids == 'different' else 'same'}\r\n"
        context.responses[name] = await world.caller().call("POST", "/" + name, headers=headers)

    async def send_calls(world):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(one_call, world, "first")
            nursery.start_soon(one_call, world, "second")

    run_calls(context, send_calls)


@then(
    'upstream answer is {status:d} "{reason}" {end}, sent {sent:d} times, connection {kept}',
)
def check(context, status, reason, end, sent, kept):
    response = context.response
    actual = (
        response.status,
        response.headers.get("knapweedhitch-reason", ""),
        "whole" if response.is_complete else "cut",
        context.sent,
        context.kept,
    )
    assert actual == (status, reason, end, sent, kept), (actual, response.headers)
    assert response.early_hints == ("hints" in context.behaviour), "a 1xx response was lost"
    if reason:
        assert response.headers["knapweedhitch-outcome"] == "unknown", response


@then('upstream answer is {status:d} "" {end}, sent {sent:d} times, connection {kept}')
def check_answer(context, status, end, sent, kept):
    check(context, status, "", end, sent, kept)


@then("upstream gives no caller the answer of the other")
def check_crossed(context):
    for response in context.responses.values():
        assert response.status == 502, response
        assert response.headers["knapweedhitch-outcome"] == "unknown", response
