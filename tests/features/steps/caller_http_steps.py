"""Steps that send raw bytes to the caller listener."""

from __future__ import annotations

import re

from behave import then, when

from knapweedhitch import settings
from tests.request_world import node, run


def decode(text: str) -> bytes:
    text = re.sub(r"(?:\((.+)\)|(x))\*(\d+)", lambda m: (m[1] or m[2]) * int(m[3]), text)
    return text.replace("\\n", "\r\n").replace("^", "\n").encode("latin-1")


@when('caller sends "{data}"')
def send(context, data):
    async def main():
        # The body timeout must be below the default deadline of a call.
        limits = settings.CallerSettings(body_timeout_ms=2_000)
        async with node(callers=limits) as world:
            up = world.add_upstream("up-1", local=True)
            caller = world.caller()
            raw = decode(data)
            await caller.send(raw)
            context.response = await caller.read_response()
            if raw.count(b"HTTP/1.1") > 1:
                await caller.read_response()
            context.runs = sum(up.runs.values())
            reason = context.response.headers.get("knapweedhitch-reason", "")
            context.counted = world.counters.get("refused", reason)

    run(main)


@then('caller gets status {status:d} with reason "{reason}" and {runs:d} runs upstream')
def check(context, status, reason, runs):
    response = context.response
    actual = (response.status, response.headers.get("knapweedhitch-reason", ""), context.runs)
    assert actual == (status, reason, runs), (actual, response)
    assert response.is_complete and "x-request-id" in response.headers, response
    if reason:
        assert response.headers["knapweedhitch-outcome"] == "not-run", response
        assert context.counted == 1, "the refusal is not counted"


@then('caller gets status {status:d} with reason "" and {runs:d} runs upstream')
def check_answer(context, status, runs):
    check(context, status, "", runs)


@then('caller gets status {status:d} with reason "{reason}" and outcome unknown')
def check_unknown(context, status, reason):
    response = context.response
    assert (response.status, response.headers["knapweedhitch-reason"]) == (status, reason), response
    assert response.headers["knapweedhitch-outcome"] == "unknown", response
