"""Configuration items: routes, services, customers and limits, each with its own version."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import msgspec

from knapweedhitch.codec import Float, Record, from_plain, to_plain
from knapweedhitch.exceptions import InvalidChange, ItemConflict

MAX_TIMEOUT_MS = 600_000
MAX_ITEMS = 100_000
MAX_KEY_CHARS = 1_024
MAX_CUSTOMER_NAME_CHARS = 128
# Both are sent as the value of a header, where spaces at either end are not part of the value.
HEADER_VALUE = re.compile(r"[!-~](?:[ -~]*[!-~])?")


class RoutePart(Record, frozen=True):
    """Configure the share of a route's requests that one service gets."""

    service: str
    weight: Float


class RouteItem(Record, frozen=True):
    """Configure one route; `document` is the operator's text, returned verbatim."""

    name: str
    version: int
    host: str
    path_prefix: str
    idempotent: bool
    timeout_ms: Float
    target_latency_ms: Float
    priority: int
    parts: tuple[RoutePart, ...]
    max_attempts: int
    document: str
    # Whether requests without a key of a customer are accepted.
    allow_anonymous: bool = False


class BackendItem(Record, frozen=True):
    """Configure the capacity of the upstreams of one service."""

    name: str
    version: int
    max_connections: int
    cold_start_ms: Float
    cold_calls_per_s: Float
    health_path: str
    document: str


class LimitsItem(Record, frozen=True):
    """Configure size limits and timeouts for callers."""

    version: int
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: Float
    idle_timeout_ms: Float
    document: str


class CustomerItem(Record, frozen=True):
    """Configure one customer, its keys and the quota of its requests over all nodes."""

    name: str
    version: int
    keys: tuple[str, ...]
    # Requests per second, and requests beyond that rate in a burst; a rate of 0 is no limit.
    rate_per_s: Float
    burst: Float
    # Replaces the priority of the route; None keeps it.
    priority: int | None
    document: str

    def __repr__(self) -> str:
        """Return a text without keys, which must not reach logs or error messages."""
        return f"CustomerItem(name={self.name!r}, version={self.version})"


class Removal(Record, frozen=True):
    """Describe the removal of an item at a version."""

    name: str
    version: int


class Items(Record, frozen=True):
    """Collect all items in force and the versions of removed items."""

    routes: Mapping[str, RouteItem] = msgspec.field(default_factory=dict)
    backends: Mapping[str, BackendItem] = msgspec.field(default_factory=dict)
    limits: LimitsItem | None = None
    removed_routes: Mapping[str, int] = msgspec.field(default_factory=dict)
    removed_backends: Mapping[str, int] = msgspec.field(default_factory=dict)
    customers: Mapping[str, CustomerItem] = msgspec.field(default_factory=dict)
    removed_customers: Mapping[str, int] = msgspec.field(default_factory=dict)

    @property
    def is_empty(self) -> bool:
        """Return whether no item has ever been accepted."""
        items = (self.routes, self.backends, self.customers)
        removed = (self.removed_routes, self.removed_backends, self.removed_customers)
        return not any((*items, *removed)) and self.limits is None


class Conflict(Record, frozen=True):
    """Describe why an item cannot stand beside the others."""

    # The field of Items that holds the item.
    kind: str
    name: str
    text: str


class ItemPatch(Record, frozen=True):
    """Describe the items of one operator request; each takes effect by its own version."""

    routes: tuple[RouteItem, ...]
    backends: tuple[BackendItem, ...]
    limits: LimitsItem | None
    removed_routes: tuple[Removal, ...]
    removed_backends: tuple[Removal, ...]
    customers: tuple[CustomerItem, ...] = ()
    removed_customers: tuple[Removal, ...] = ()


def merge(items: Items, patch: ItemPatch) -> Items:
    """Return the items after a patch; the highest version of each name wins.

    A lower version changes nothing, nor does an equal one with the same content, so applying a
    patch is idempotent. An equal version with different content is refused, because its sender
    must not believe that it is in force. Raises ItemConflict, InvalidChange.
    """
    for route in patch.routes:
        check_route(route)
    for backend in patch.backends:
        check_backend(backend)
    for customer in patch.customers:
        check_customer(customer)
    _check_versions(patch)
    after = combine(items, patch)
    _refuse_first(find_shared_keys(patch.customers))
    if after == items:
        return items
    if len(after.routes) + len(after.backends) + len(after.customers) > MAX_ITEMS:
        raise InvalidChange(f"over {MAX_ITEMS} items")
    _refuse_first(find_conflicts(after))
    return after


def combine(items: Items, patch: ItemPatch) -> Items:
    """Return the items after a patch that is not checked; raises ItemConflict."""
    routes, removed_routes = _merge_kind(
        items.routes, items.removed_routes, patch.routes, patch.removed_routes
    )
    backends, removed_backends = _merge_kind(
        items.backends, items.removed_backends, patch.backends, patch.removed_backends
    )
    customers, removed_customers = _merge_kind(
        items.customers, items.removed_customers, patch.customers, patch.removed_customers
    )
    limits = items.limits
    if patch.limits is not None and (limits is None or patch.limits.version > limits.version):
        limits = patch.limits
    elif patch.limits is not None and limits is not None:
        _check_same_content("limits", limits, patch.limits)
    return Items(
        routes,
        backends,
        limits,
        removed_routes,
        removed_backends,
        customers,
        removed_customers,
    )


def _refuse_first(conflicts: Iterator[Conflict]) -> None:
    for conflict in conflicts:
        raise InvalidChange(conflict.text)


def _merge_kind(
    current: Mapping[str, Any],
    removed: Mapping[str, int],
    upserts: Iterable[Any],
    removals: Iterable[Removal],
) -> tuple[dict[str, Any], dict[str, int]]:
    live, tombstones = dict(current), dict(removed)
    for item in upserts:
        if item.version > _version_of(item.name, live, tombstones):
            live[item.name] = item
            tombstones.pop(item.name, None)
        else:
            _check_same_content(item.name, live.get(item.name), item, tombstones.get(item.name))
    for removal in removals:
        if removal.version > _version_of(removal.name, live, tombstones):
            live.pop(removal.name, None)
            tombstones[removal.name] = removal.version
        elif removal.name in live and live[removal.name].version == removal.version:
            raise ItemConflict(f"{removal.name}: version {removal.version} sets the item")
    return live, tombstones


def _check_same_content(name: str, current: Any, sent: Any, removed_at: int | None = None) -> None:
    """Raise ItemConflict if this version is stored with different content or as a removal."""
    differs = current is not None and current.version == sent.version and current != sent
    if differs or removed_at == sent.version:
        raise ItemConflict(f"{name}: version {sent.version} is held with other content")


def _version_of(name: str, live: Mapping[str, Any], tombstones: Mapping[str, int]) -> int:
    item = live.get(name)
    return int(item.version) if item is not None else tombstones.get(name, -1)


def check_route(route: RouteItem) -> None:
    """Check one route on its own; raises InvalidChange that names the problem."""
    if not route.path_prefix.startswith("/"):
        raise InvalidChange(f"route {route.name}: a path prefix begins with a slash")
    if not 0 < route.timeout_ms <= MAX_TIMEOUT_MS:
        raise InvalidChange(f"route {route.name}: use a timeout up to {MAX_TIMEOUT_MS} ms")
    if route.max_attempts < 1:
        raise InvalidChange(f"route {route.name}: use one attempt or more")
    if not route.parts or any(part.weight < 0 for part in route.parts):
        raise InvalidChange(f"route {route.name}: use weights from 0 for one service or more")
    if sum(part.weight for part in route.parts) <= 0:
        raise InvalidChange(f"route {route.name}: the weights add up to 0")


def check_backend(backend: BackendItem) -> None:
    """Check one service on its own; raises InvalidChange that names the problem."""
    if backend.max_connections < 1:
        raise InvalidChange(f"service {backend.name}: use one connection or more")


def check_customer(customer: CustomerItem) -> None:
    """Check one customer on its own; raises InvalidChange that names the problem, but no key."""
    name, keys = customer.name, customer.keys
    if len(name) > MAX_CUSTOMER_NAME_CHARS or not HEADER_VALUE.fullmatch(name):
        raise InvalidChange(
            f"customer {name[:80]!r}: use a name of 1 to {MAX_CUSTOMER_NAME_CHARS} printable "
            "ASCII characters"
        )
    # Errors tell the position of a key, never the key itself.
    for number, key in enumerate(keys, start=1):
        if len(key) > MAX_KEY_CHARS or not HEADER_VALUE.fullmatch(key):
            raise InvalidChange(f"customer {name}: key {number} cannot be the value of a header")
    if len(set(keys)) < len(keys):
        raise InvalidChange(f"customer {name}: a key is listed twice")
    if not all(
        math.isfinite(value) and value >= 0 for value in (customer.rate_per_s, customer.burst)
    ):
        raise InvalidChange(f"customer {name}: use a rate and a burst from 0")
    if customer.priority is not None and customer.priority < 0:
        raise InvalidChange(f"customer {name}: use a priority from 0")


def find_shared_keys(customers: Iterable[CustomerItem]) -> Iterator[Conflict]:
    """Yield the customers with a key that an earlier one has."""
    owners: dict[str, str] = {}
    for customer in customers:
        others = {owners.setdefault(key, customer.name) for key in customer.keys}
        for other in sorted(others - {customer.name}):
            text = f"customers {other} and {customer.name} have the same key"
            yield Conflict("customers", customer.name, text)


def _check_versions(patch: ItemPatch) -> None:
    """Raise InvalidChange for a version below 0, which would be accepted and have no effect."""
    versions = [(item.name, item.version) for item in patch.routes]
    versions += [(item.name, item.version) for item in patch.backends]
    versions += [(item.name, item.version) for item in patch.customers]
    for removals in (patch.removed_routes, patch.removed_backends, patch.removed_customers):
        versions += [(item.name, item.version) for item in removals]
    if patch.limits is not None:
        versions.append(("limits", patch.limits.version))
    for name, version in versions:
        if version < 0:
            raise InvalidChange(f"{name}: use a version from 0, got {version}")


def find_conflicts(items: Items) -> Iterator[Conflict]:
    """Yield the items that cannot stand beside the others."""
    owners: dict[tuple[str, str], str] = {}
    for name, route in items.routes.items():
        for part in route.parts:
            if part.service not in items.backends:
                yield Conflict("routes", name, f"route {name}: no service {part.service[:80]!r}")
        other = owners.setdefault((route.host.lower(), route.path_prefix), name)
        if other != name:
            text = f"routes {other} and {name} share host and path prefix"
            yield Conflict("routes", name, text)
    yield from find_shared_keys(items.customers.values())


def to_state(items: Items) -> list[Any]:
    """Return the items as CBOR arrays and scalars.

    The fields of customers are left out where there are none, so that nodes of an earlier version
    can read the state.
    """
    state = [
        [to_plain(route) for _, route in sorted(items.routes.items())],
        [to_plain(backend) for _, backend in sorted(items.backends.items())],
        to_plain(items.limits),
        sorted([name, version] for name, version in items.removed_routes.items()),
        sorted([name, version] for name, version in items.removed_backends.items()),
    ]
    if items.customers or items.removed_customers:
        state += [
            [to_plain(customer) for _, customer in sorted(items.customers.items())],
            sorted([name, version] for name, version in items.removed_customers.items()),
        ]
    return state


def from_state(raw: Any) -> Items:
    """Decode the items from CBOR arrays; raises CodecError, TypeError, ValueError."""
    routes, backends, limits, removed_routes, removed_backends, *of_customers = raw
    customers, removed_customers = of_customers or ((), ())
    return Items(
        {route.name: route for route in (from_plain(RouteItem, plain) for plain in routes)},
        {
            backend.name: backend
            for backend in (from_plain(BackendItem, plain) for plain in backends)
        },
        None if limits is None else from_plain(LimitsItem, limits),
        {str(name): int(version) for name, version in removed_routes},
        {str(name): int(version) for name, version in removed_backends},
        {item.name: item for item in (from_plain(CustomerItem, plain) for plain in customers)},
        {str(name): int(version) for name, version in removed_customers},
    )
