"""Translate configuration calls of operators into items, and items into JSON documents."""

from __future__ import annotations

import json
from typing import Any

import msgspec
from msgspec import field

from knapweedhitch.clock import MS_PER_S
from knapweedhitch.exceptions import InvalidChange
from knapweedhitch.items import (
    BackendItem,
    CustomerItem,
    ItemPatch,
    Items,
    LimitsItem,
    Removal,
    RouteItem,
)
from knapweedhitch.items import RoutePart as Part

# Requests of routes of this kind are idempotent; those of any other kind are not.
IDEMPOTENT_KIND = "safe"


class WeightedService(msgspec.Struct, frozen=True):
    """Describe the weight of one service of a route."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one route as sent by an operator."""

    name: str
    host: str
    path_prefix: str = field(name="pathPrefix")
    kind: str
    timeout_s: float = field(name="timeoutS")
    target_latency_s: float = field(name="targetLatencyS", default=0)
    priority: int = 0
    service: str | None = None
    weighted_services: tuple[WeightedService, ...] = field(name="weightedServices", default=())
    max_attempts: int = field(name="maxAttempts", default=1)
    allow_anonymous: bool = field(name="allowAnonymous", default=False)
    version: int


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one service as sent by an operator."""

    name: str
    max_connections: int = field(name="maxConnections")
    cold_start_s: float = field(name="coldStartS", default=0)
    cold_per_s: float = field(name="coldPerS", default=1e6)
    health_path: str = field(name="healthPath", default="/health")
    version: int


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one customer as sent by an operator."""

    name: str
    api_keys: tuple[str, ...] = field(name="apiKeys")
    priority: int | None = None
    rate_per_s: float = field(name="ratePerS", default=0)
    burst: float = 0
    version: int


class Limits(msgspec.Struct, frozen=True):
    """Describe the limits of callers as sent by an operator."""

    max_header_bytes: int = field(name="maxHeaderBytes")
    max_body_bytes: int = field(name="maxBodyBytes")
    header_timeout_s: float = field(name="headerTimeoutS")
    idle_timeout_s: float = field(name="idleTimeoutS")
    version: int


class RemovedItem(msgspec.Struct, frozen=True):
    """Describe the removal of an item, with its name and the version of the removal."""

    name: str
    version: int


# A field of an item that is unknown here is kept in the item's document. A list of items that is
# unknown here could not be kept, so it must not be acknowledged.
class Upsert(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """List the items that a call creates or replaces."""

    routes: tuple[dict[str, Any], ...] = ()
    services: tuple[dict[str, Any], ...] = ()
    tenants: tuple[dict[str, Any], ...] = ()
    limits: dict[str, Any] | None = None


class Remove(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """List the items that a call removes."""

    routes: tuple[RemovedItem, ...] = ()
    services: tuple[RemovedItem, ...] = ()
    tenants: tuple[RemovedItem, ...] = ()


class Patch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Represent the body of one configuration call."""

    upsert: Upsert = Upsert()
    remove: Remove = Remove()


def decode_patch(body: bytes) -> ItemPatch:
    """Return the item patch of a configuration call; raises InvalidChange with the field."""
    try:
        patch = msgspec.json.decode(body, type=Patch)
        limits = patch.upsert.limits
        return ItemPatch(
            tuple(_decode_route(fields) for fields in patch.upsert.routes),
            tuple(_decode_service(fields) for fields in patch.upsert.services),
            None if limits is None else _decode_limits(limits),
            _removals(patch.remove.routes),
            _removals(patch.remove.services),
            tuple(_decode_customer(fields) for fields in patch.upsert.tenants),
            _removals(patch.remove.tenants),
        )
    except msgspec.ValidationError as exc:
        raise InvalidChange(f"body: {exc}") from None
    except (ValueError, RecursionError) as exc:
        raise InvalidChange(f"the body is not JSON: {exc}") from None


def _removals(items: tuple[RemovedItem, ...]) -> tuple[Removal, ...]:
    return tuple(Removal(item.name, item.version) for item in items)


def _encode_document(fields: dict[str, Any]) -> str:
    return json.dumps(fields, separators=(",", ":"), ensure_ascii=False, sort_keys=True)


def _decode_route(fields: dict[str, Any]) -> RouteItem:
    route = msgspec.convert(fields, Route)
    parts = tuple(Part(part.service, float(part.weight)) for part in route.weighted_services)
    if route.service is not None:
        if parts:
            raise InvalidChange(
                f"route {route.name}: service and weightedServices exclude each other"
            )
        parts = (Part(route.service, 1.0),)
    return RouteItem(
        route.name,
        route.version,
        route.host,
        route.path_prefix,
        route.kind == IDEMPOTENT_KIND,
        route.timeout_s * MS_PER_S,
        route.target_latency_s * MS_PER_S,
        route.priority,
        parts,
        route.max_attempts,
        _encode_document(fields),
        route.allow_anonymous,
    )


def _decode_service(fields: dict[str, Any]) -> BackendItem:
    item = msgspec.convert(fields, Service)
    return BackendItem(
        item.name,
        item.version,
        item.max_connections,
        item.cold_start_s * MS_PER_S,
        float(item.cold_per_s),
        item.health_path,
        _encode_document(fields),
    )


def _decode_customer(fields: dict[str, Any]) -> CustomerItem:
    tenant = msgspec.convert(fields, Tenant)
    return CustomerItem(
        tenant.name,
        tenant.version,
        tenant.api_keys,
        float(tenant.rate_per_s),
        float(tenant.burst),
        tenant.priority,
        _encode_document(fields),
    )


def _decode_limits(fields: dict[str, Any]) -> LimitsItem:
    item = msgspec.convert(fields, Limits)
    return LimitsItem(
        item.version,
        item.max_header_bytes,
        item.max_body_bytes,
        item.header_timeout_s * MS_PER_S,
        item.idle_timeout_s * MS_PER_S,
        _encode_document(fields),
    )


def encode_items(items: Items) -> bytes:
    """Return all current items as JSON, in the layout of an upsert."""
    parts = [
        f'"routes":[{",".join(route.document for route in items.routes.values())}]',
        f'"services":[{",".join(item.document for item in items.backends.values())}]',
    ]
    if items.customers:
        documents = ",".join(item.document for item in items.customers.values())
        parts.append(f'"tenants":[{documents}]')
    if items.limits is not None:
        parts.append(f'"limits":{items.limits.document}')
    return ("{" + ",".join(parts) + "}").encode("utf-8")
