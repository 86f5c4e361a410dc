"""Steps that announce an upstream over HTTP."""

from __future__ import annotations

import json

import trio
from behave import given, then, when

from tests.request_world import Caller, node, run, stream_pair

RECORD = {
    "service": "shop",
    "address": "127.0.0.1:9000",
    "slots": 9,
    "connections": 220,
    "instance_id": "a",
    "incarnation": 5,
    "state": "serving",
}


@given('announcement of instance "{instance}" with incarnation {incarnation:d} was taken')
def taken(context, instance, incarnation):
    first = RECORD | {"instance_id": instance, "incarnation": incarnation}
    context.requests = [("PUT", json.dumps(first))]
    context.pause_ms = 0


@when('announcement changes "{field}" to {value}')
def change(context, field, value):
    if field == "DELETE":
        context.requests.append(("DELETE", ""))
        return
    value = json.loads(value)
    if isinstance(value, str) and value.endswith("*2000"):
        value = value[0] * 8_000
    context.requests.append(("PUT", json.dumps(RECORD | {field: value})))


@when("announcement is not renewed for {pause_ms:d} ms")
def pause(context, pause_ms):
    context.pause_ms = pause_ms


@then('announcement gets status {status:d} and the state in force is "{state}"')
def check(context, status, state):
    async def main():
        async with node() as world:
            service = world.kernel.get("announce")
            client_stream, server_stream = stream_pair()
            world.kernel.nursery.start_soon(service.serve, server_stream)
            caller = Caller(client_stream, server_stream)
            for method, body in context.requests:
                head = f"{method} /v1/announcement HTTP/1.1\r\nHost: a\r\n"
                await caller.send(f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode())
                response = await caller.read_response()
            await trio.sleep(context.pause_ms / 1_000)
            current = service.current
            assert response.status == status, response
            assert (current.state.value if current else "gone") == state, current
            assert world.membership.announced[-1] == current == world.admission.upstream

    run(main)
