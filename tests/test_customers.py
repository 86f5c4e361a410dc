"""Tests of customers: their items, the sender of a request, and keys that must not be shown."""

from __future__ import annotations

import json
import unittest
from collections.abc import Iterable
from types import SimpleNamespace
from typing import Any

import h11
import logbook
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from trio.testing import memory_stream_pair

from knapweedhitch import codec, configuration, framing, items, metrics
from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import (
    BadRequest,
    InvalidChange,
    ItemConflict,
    NoRoom,
    PeerFailed,
    PeerUnreachable,
)
from knapweedhitch.exchange import CallSpec
from knapweedhitch.forward import Forward
from knapweedhitch.http1 import ServerConnection
from knapweedhitch.items import CustomerItem, ItemPatch, Items, Removal, merge
from knapweedhitch.messages import OpenStream
from knapweedhitch.model import Configuration
from knapweedhitch.payload import NoBody
from knapweedhitch.platform import items as platform_items
from knapweedhitch.pool import Pool
from knapweedhitch.settings import CallerSettings, HeaderSettings
from tests.test_items import BASE, backend, patch, route
from tests.test_relay import HEADERS, World, run_on_mock_clock, start_world

SECRET = "s3cret-key"


def customer(
    name: str = "c1", keys: Iterable[str] = ("k1",), version: int = 1, **fields: Any
) -> CustomerItem:
    values: dict[str, Any] = {"rate_per_s": 0.0, "burst": 0.0, "priority": None, **fields}
    keys = tuple(keys)
    return CustomerItem(name, version, keys, document=f"{name}@{version} {keys}", **values)


def call_spec(**fields: Any) -> CallSpec:
    deadline = Deadline.after_ms(1_000)
    return CallSpec("r", "s1", "i1", "GET", b"/", (), False, deadline, 0, 0, 1, **fields)


def send(*customers: CustomerItem, gone: Iterable[Removal] = ()) -> ItemPatch:
    return ItemPatch((), (), None, (), (), customers, tuple(gone))


HELD = merge(BASE, send(customer(), customer("c2", ["k2", "k3"])))
# Each entry is a call: customers by name with version and keys, where None removes the customer.
CALLS = st.lists(
    st.dictionaries(
        st.sampled_from("abc"),
        st.tuples(st.integers(1, 6), st.none() | st.frozensets(st.sampled_from("xyz"), max_size=2)),
        min_size=1,
    ),
    max_size=12,
)


class ItemsTest(unittest.TestCase):
    def test_invalid_calls_change_nothing(self) -> None:
        """Guards against an invalid call whose valid part takes effect, or that shows a key."""
        cases = {
            "key of another": customer("c3", ["k2"]),
            "key twice": customer("c3", [SECRET, SECRET]),
            "no key": customer("c3", [""]),
            "line end": customer("c3", [f"{SECRET}\r\nx: y"]),
            "space": customer("c3", [f" {SECRET}"]),
            "not ASCII": customer("c3", [f"{SECRET}é"]),
            "too long": customer("c3", [SECRET * 200]),
            "no name": customer(""),
            "odd name": customer("a\nb"),
            "rate": customer("c3", [SECRET], rate_per_s=-1.0),
            "endless": customer("c3", [SECRET], rate_per_s=float("inf")),
            "burst": customer("c3", [SECRET], burst=-1.0),
            "priority": customer("c3", [SECRET], priority=-1),
            "version": customer("c3", [SECRET], -1),
        }
        for name, bad in cases.items():
            with self.subTest(name), self.assertRaises(InvalidChange) as caught:
                merge(HELD, send(customer("c4", ["k4"]), bad))
            self.assertNotIn(SECRET, str(caught.exception))
        with self.assertRaises(InvalidChange):
            merge(HELD, send(customer("c4", ["k4"]), customer("c5", ["k4"])))

    def test_key_moves_between_customers(self) -> None:
        """Guards against a key that two customers hold, or none, after it is moved."""
        give, take = customer("c1", ["k1", "k2"], 2), customer("c2", ["k3"], 2)
        for order in ((give, take), (take, give)):
            moved = merge(HELD, send(*order))
            self.assertEqual(moved.customers["c1"].keys, ("k1", "k2"))
        with self.assertRaises(InvalidChange):
            merge(HELD, send(give))
        in_two_calls = merge(merge(HELD, send(take)), send(give))
        self.assertEqual(in_two_calls.customers, moved.customers)

    @settings(
        max_examples=300, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck)
    )
    @given(CALLS)
    def test_calls_in_any_order_agree_with_the_oracle(self, calls: Any) -> None:
        """Guards against a change that is lost, reverted or refused without a reason."""
        held, oracle = Items(), dict[str, tuple[int, Any]]()
        accepted = []
        for call in calls:
            sent = send(
                *(
                    customer(n, sorted(keys), v)
                    for n, (v, keys) in call.items()
                    if keys is not None
                ),
                gone=[Removal(n, v) for n, (v, keys) in call.items() if keys is None],
            )
            after = dict(oracle)
            after.update({n: c for n, c in call.items() if c[0] > oracle.get(n, (0,))[0]})
            conflicts = any(
                keys != after[n][1] for n, (v, keys) in call.items() if v == after[n][0]
            )
            in_call = [key for _, keys in call.values() for key in keys or ()]
            in_force = [key for _, keys in after.values() for key in keys or ()]
            shares = any(len(set(keys)) < len(keys) for keys in (in_call, in_force))
            try:
                held = merge(held, sent)
            except InvalidChange as exc:
                self.assertTrue(conflicts if isinstance(exc, ItemConflict) else shares)
                continue
            self.assertFalse(conflicts or shares)
            oracle = after
            accepted.append(sent)
            live = {n: frozenset(c.keys) for n, c in held.customers.items()}
            self.assertEqual(live, {n: keys for n, (_, keys) in oracle.items() if keys is not None})
            self.assertEqual(items.from_state(items.to_state(held)), held)
        for sent in accepted:
            self.assertIs(merge(held, sent), held)

    def test_state_without_customers_is_that_of_an_earlier_version(self) -> None:
        """Guards against nodes that cannot read each other's state during an upgrade."""
        state = items.to_state(BASE)
        self.assertEqual(len(state), 5)
        self.assertEqual(items.from_state(state), BASE)

    def test_difference_names_customers_without_keys(self) -> None:
        """Guards against keys in the history that operators read."""
        before = Configuration(items=HELD)
        after = Configuration(items=merge(HELD, send(customer("c1", [SECRET], 2))))
        self.assertEqual(configuration.diff(before, after), ("~ customers c1",))
        self.assertNotIn(SECRET, repr(after))


class AdapterTest(unittest.TestCase):
    def decode(self, upsert: Any, remove: Any = None, **fields: Any) -> ItemPatch:
        body = {"upsert": upsert, "remove": remove or {}, **fields}
        return platform_items.decode_patch(json.dumps(body).encode())

    def test_customers_are_read_back_as_they_were_sent(self) -> None:
        """Guards against a customer that loses a field, or a list that appears without items."""
        sent = [
            {"name": "a", "apiKeys": ["x", "y"], "priority": 0, "ratePerS": 1.5, "burst": 3}
            | {"version": 7, "homes": ["kept"]},
            {"name": "b", "apiKeys": [], "version": 8},
        ]
        held = merge(Items(), self.decode({"tenants": sent}))
        self.assertEqual(json.loads(platform_items.encode_items(held))["tenants"], sent)
        first = held.customers["a"]
        self.assertEqual((first.rate_per_s, first.burst, first.priority), (1.5, 3.0, 0))
        self.assertIsNone(held.customers["b"].priority)
        removals = [{"name": name, "version": 9} for name in "ab"]
        held = merge(held, self.decode({}, {"tenants": removals}))
        self.assertEqual(held.removed_customers, {"a": 9, "b": 9})
        self.assertNotIn("tenants", json.loads(platform_items.encode_items(held)))

    def test_calls_that_cannot_be_kept_are_refused(self) -> None:
        """Guards against a list of items that is acknowledged and dropped, and keys in errors."""
        good = {"name": "a", "apiKeys": [SECRET], "version": 7}
        cases: list[tuple[Any, Any, Any]] = [
            ({"tenant": [good]}, {}, {}),
            ({"tenants": [good]}, {"customers": []}, {}),
            ({"tenants": [good]}, {}, {"dryRun": True}),
            ({"tenants": [{**good, "apiKeys": SECRET}]}, {}, {}),
            ({"tenants": [{**good, "apiKeys": [[SECRET]]}]}, {}, {}),
            ({"tenants": [{**good, "priority": SECRET}]}, {}, {}),
            ({"tenants": [{"name": "a", "version": 7}]}, {}, {}),
        ]
        for upsert, remove, fields in cases:
            with self.subTest(upsert), self.assertRaises(InvalidChange) as caught:
                self.decode(upsert, remove, **fields)
            self.assertNotIn(SECRET, str(caught.exception))


OPEN = route("open", path_prefix="/open/", allow_anonymous=True)
ITEMS = merge(
    Items(),
    patch(
        [route("safe", path_prefix="/safe/"), OPEN],
        [backend()],
    ),
)
WITH_CUSTOMERS = merge(
    ITEMS, send(customer("c1", [SECRET], priority=0), customer("c2", ["other key"]))
)


class SenderTest(unittest.TestCase):
    async def send(self, world: World, path: str, key: str, request_id: str = "r1") -> bytes:
        headers = "X-Customer: liar\r\n" + (f"X-Key: {key}\r\n" if key else "")
        return (await world.request(path, headers=headers, request_id=request_id))[9:12]

    @run_on_mock_clock
    async def test_requests_need_a_known_key(self) -> None:
        """Guards against requests that run without a key or for another customer, and refusals of
        requests that need none.
        """
        world = await start_world([], items=WITH_CUSTOMERS)
        await self.send(world, "/safe/x", SECRET)
        world.runs = {"r1": world.specs[0]}
        cases: tuple[tuple[str, str, str, bytes, Any], ...] = (
            ("/safe/x", SECRET, "r2", b"200", ("c1", 0, False)),
            ("/safe/x", "other key", "r2", b"200", ("c2", 1, False)),
            ("/safe/x", "", "r2", b"401", None),
            ("/safe/x", "unknown", "r2", b"401", None),
            ("/safe/x", SECRET.upper(), "r2", b"401", None),
            ("/none/x", "unknown", "r2", b"404", None),
            ("/open/x", "", "r2", b"200", ("", 1, False)),
            ("/open/x", "unknown", "r2", b"200", ("", 1, False)),
            ("/open/x", SECRET, "r2", b"200", ("c1", 0, False)),
            # Calls of a run that is in progress, of one that has ended, and with a key.
            ("/safe/x", "", "r1.1", b"200", ("c1", 1, True)),
            ("/open/x", "", "r1.1", b"200", ("c1", 1, True)),
            ("/safe/x", "", "r7.1", b"503", None),
            ("/safe/x", "unknown", "r1.1", b"401", None),
            ("/safe/x", "other key", "r1.1", b"200", ("c2", 1, False)),
        )
        for path, key, request_id, status, expected in cases:
            world.specs = []
            with self.subTest(path=path, key=key, request_id=request_id):
                self.assertEqual(await self.send(world, path, key, request_id), status)
                sent = [(s.customer, s.priority, s.is_nested) for s in world.specs]
                self.assertEqual(sent, [] if expected is None else [expected])
                self.assertFalse(
                    {name for s in world.specs for name, _ in s.headers} & {b"x-key", b"x-customer"}
                )
        self.assertEqual(world.counters.get("requests_by_sender", "customer"), 5)
        self.assertEqual(world.counters.get("refused", "customer-key-unknown"), 3)

    @run_on_mock_clock
    async def test_no_key_is_needed_without_customers(self) -> None:
        """Guards against 401 in deployments without customers, and routes that are open to all
        once the last customer is removed.
        """
        removed = merge(WITH_CUSTOMERS, send(gone=[Removal("c1", 2), Removal("c2", 2)]))
        for held, status in ((ITEMS, b"200"), (removed, b"401"), (Items(), b"503")):
            world = await start_world([], items=held)
            self.assertEqual(await self.send(world, "/safe/x", "unknown"), status)

    @run_on_mock_clock
    async def test_keys_follow_the_configuration(self) -> None:
        """Guards against a key that is served after its removal, or refused after it was added."""
        world = await start_world([], items=WITH_CUSTOMERS)
        moved = merge(WITH_CUSTOMERS, send(customer("c1", ["new"], 2)))
        for version, held, statuses in (
            (1, WITH_CUSTOMERS, {SECRET: b"200", "new": b"401"}),
            (2, moved, {SECRET: b"401", "new": b"200"}),
            (3, merge(moved, send(gone=[Removal("c1", 3)])), {SECRET: b"401", "new": b"401"}),
        ):
            world.config.current = Configuration(version=version, items=held)
            for key, status in statuses.items():
                self.assertEqual(await self.send(world, "/safe/x", key), status, (version, key))

    @run_on_mock_clock
    async def test_node_without_proof_of_its_configuration_does_not_answer_401(self) -> None:
        """Guards against callers that give up since a node cut off does not know their new key."""
        world = await start_world([], items=WITH_CUSTOMERS)
        world.config.is_fresh = lambda: False
        self.assertEqual(await self.send(world, "/safe/x", "new"), b"503")
        self.assertEqual(await self.send(world, "/safe/x", SECRET), b"200")

    @run_on_mock_clock
    async def test_key_is_not_shown(self) -> None:
        """Guards against a key in log lines, metrics, responses, calls or errors."""
        for held in (WITH_CUSTOMERS, merge(WITH_CUSTOMERS, send(gone=[Removal("c1", 2)]))):
            world = await start_world([], items=held)
            with logbook.TestHandler() as handler:
                response = await world.request("/safe/x", headers=f"X-Key: {SECRET}\r\n")
            shown = [record.message for record in handler.records]
            self.assertTrue(any("event=request " in line for line in shown))
            shown += [metrics.render(world.counters.snapshot()), repr(world.specs), repr(response)]
            self.assertNotIn(SECRET, "\n".join(shown))

    @run_on_mock_clock
    async def test_errors_of_the_parser_quote_no_key(self) -> None:
        """Guards against a key in the detail of a refusal: h11 quotes the line that it refuses."""
        for line in (f"X-Key: {SECRET}\x00", f"X-Key : {SECRET}", f"X-Key: {SECRET}\r\nX-Key: 2"):
            client, server = self.connection()
            await client.send_all(f"GET / HTTP/1.1\r\nHost: h\r\n{line}\r\n\r\n".encode())
            with self.subTest(line), self.assertRaises(BadRequest) as caught:
                await server.receive_head()
            self.assertNotIn(SECRET, repr(caught.exception) + caught.exception.detail)
        with self.assertRaises(h11.RemoteProtocolError) as quoted:
            conn = h11.Connection(h11.SERVER)
            conn.receive_data(f"GET / HTTP/1.1\r\nX-Key: {SECRET}\x00\r\n\r\n".encode())
            conn.next_event()
        self.assertIn(SECRET, str(quoted.exception), "the parser quotes no line any more")

    def connection(self) -> Any:
        client, server = memory_stream_pair()
        return client, ServerConnection(server, CallerSettings(), framing.header_names(HEADERS))


class HeadersTest(unittest.TestCase):
    def test_headers_pass_where_they_are_not_configured(self) -> None:
        """Guards against headers of earlier deployments that are dropped for their name."""
        sent = [(b"host", b"h"), (b"credential", b"a"), (b"credential", b"b"), (b"tenant-id", b"c")]
        names = framing.header_names(HeaderSettings())
        head = framing.parse_request(b"GET", b"/", b"1.1", sent, 100, names)
        self.assertEqual(list(head.headers), sent)

    @run_on_mock_clock
    async def test_target_is_told_the_customer_of_a_key_only(self) -> None:
        """Guards against the customer of a run in the header of a call that came without a key."""
        pool = Pool(World([]).relay._kernel)
        for name, is_nested, told in (("c1", False, b"c1"), ("c1", True, None), ("", False, None)):
            spec = call_spec(customer=name, is_nested=is_nested)
            headers = dict(pool._build_headers(spec, b"e"))
            self.assertEqual(headers.get(b"x-customer"), told)

    @run_on_mock_clock
    async def test_sender_reaches_the_node_of_the_target(self) -> None:
        """Guards against a gate that takes a call for one of another customer."""
        openings: list[OpenStream] = []
        specs: list[CallSpec] = []

        async def open_stream(node_id: str, opening: OpenStream) -> None:
            openings.append(opening)
            raise PeerUnreachable

        async def execute(node_id: str, spec: CallSpec, *args: object) -> None:
            specs.append(spec)
            raise NoRoom

        kernel = World([]).relay._kernel
        kernel.add("peers", SimpleNamespace(open_stream=open_stream))
        forward = Forward(kernel)
        kernel.get("gate").execute = execute
        sent = call_spec(customer="c1", is_nested=True, priority=3, is_repeat=True)
        with self.assertRaises(PeerFailed):
            await forward.execute("n2", sent, NoBody(), None)  # type: ignore[arg-type]
        opening = codec.decode(codec.encode(openings[0]))
        stream = SimpleNamespace(on_stop=lambda fn: None, end_reason="", finished=True)
        await forward._serve("n1", opening, stream)  # type: ignore[arg-type]
        names = ("customer", "is_nested", "priority", "is_repeat")
        self.assertEqual(*([getattr(spec, name) for name in names] for spec in (sent, specs[0])))
