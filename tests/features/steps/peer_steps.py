"""Steps of peer_messages.feature."""

from __future__ import annotations

from typing import Any

import cbor2
import trio
import trio.testing
from behave import given, then, when

from knapweedhitch import codec
from knapweedhitch.exceptions import Outcome, QueueFull, Refusal, UpstreamFailed
from knapweedhitch.messages import Ack, FeedPoll, Ping, ReplyMessage, StreamData
from knapweedhitch.model import CallResult
from tests.fake_net import running_nodes
from tests.test_forward import dispatch, execute, install, make_spec, respond
from tests.test_peers import POLL, link_of, reply_ack

FRAMES = {
    "a reply that was cut": codec.encode(ReplyMessage(1, b"abc", ""))[:-1],
    "a ping with a trailing byte": codec.encode(Ping(1)) + b"\x00",
    "arbitrary bytes": b"\xff\x00\x80" * 9,
    "data of a stream never opened": codec.encode(StreamData(77, b"x")),
    "an unknown message type": cbor2.dumps([9_999]),
    "a reply that nobody waits for": codec.encode(ReplyMessage(999, codec.encode(Ack()), "")),
}


async def refuse(call: Any, body: Any, sink: Any) -> CallResult:
    """Refuse the call as a full queue does."""
    raise QueueFull(Outcome.NOT_RUN)


async def fail(call: Any, body: Any, sink: Any) -> CallResult:
    """Fail after the response head."""
    await dispatch(sink)
    await sink.head(200, (), None)
    raise UpstreamFailed(Outcome.NOT_RUN)


async def wait_in_queue(call: Any, body: Any, sink: Any) -> CallResult:
    """Wait forever for a slot."""
    await trio.sleep_forever()
    raise AssertionError


async def hang(call: Any, body: Any, sink: Any) -> CallResult:
    """Wait forever for the upstream."""
    await dispatch(sink)
    return await wait_in_queue(call, body, sink)


async def ignore_cancel(call: Any, body: Any, sink: Any) -> CallResult:
    """Ignore a cancellation for 2 seconds."""
    with trio.CancelScope(shield=True):
        await trio.sleep(2)
    return CallResult(True, 1.0, 200)


BEHAVIOURS = {
    "answers": respond,
    "refuses before dispatch": refuse,
    "fails after the head": fail,
    "keeps the call in its queue": wait_in_queue,
    "hangs after dispatch": hang,
    "does not confirm a cancel": ignore_cancel,
    "loses the link after the opening": hang,
    "has no address": respond,
}


def run(fn: Any, *args: Any) -> Any:
    """Run an async function on a mock clock that skips idle time."""
    return trio.run(fn, *args, clock=trio.testing.MockClock(autojump_threshold=0))


@given("peer nodes with a link")
def _(context: Any) -> None:
    context.frame = b""


@when('peer "n0" sends {frame}')
def _(context: Any, frame: str) -> None:
    async def main() -> tuple[int, object]:
        async with running_nodes(2) as (a, b):
            b.peers.handle(FeedPoll, reply_ack)
            await a.peers.call("n1", POLL, 100)
            link_of(a, "n1")._enqueue(FRAMES[frame], "control")
            await trio.sleep(0.1)
            return len(b.peers.linked_peers()), await a.peers.call("n1", POLL, 100)

    context.links, context.reply = run(main)


@then('peer "n1" has {count:d} links')
def _(context: Any, count: int) -> None:
    assert context.links == count, context.links


@then('peer "n0" can call peer "n1"')
def _(context: Any) -> None:
    assert context.reply == Ack()


@given("peer nodes whose target {behaviour}")
def _(context: Any, behaviour: str) -> None:
    context.behaviour = behaviour


@when('peer "n0" forwards a call with a deadline of {deadline_ms:d} ms')
def _(context: Any, deadline_ms: int) -> None:
    async def main() -> object:
        count = 1 if context.behaviour == "has no address" else 2
        prepare = install(BEHAVIOURS[context.behaviour])
        async with running_nodes(count, prepare=prepare) as nodes, trio.open_nursery() as nursery:

            async def close_link() -> None:
                await trio.sleep(0.05)
                link_of(nodes[1], "n0").close("test")

            if context.behaviour.startswith("loses"):
                nursery.start_soon(close_link)
            return await execute(nodes[0], make_spec(deadline_ms=deadline_ms))

    context.result = run(main)


@then('peer "n0" gets {result} with outcome {outcome}')
def _(context: Any, result: str, outcome: str) -> None:
    actual = context.result
    if outcome == "none":
        assert isinstance(actual, CallResult) and actual.ok, actual
        return
    assert isinstance(actual, Refusal), actual
    assert (actual.reason, actual.outcome.value) == (result, outcome), actual
