"""Translate configuration calls of operators into items, and items into JSON documents."""

from __future__ import annotations

import json
from typing import Any

import pydantic

from knapweedhitch.exceptions import InvalidChange
from knapweedhitch.items import BackendItem, ItemPatch, Items, LimitsItem, Removal, RouteItem
from knapweedhitch.items import RoutePart as Part
from knapweedhitch.validation import first_problem

MS_PER_S = 1_000.0
# Requests of routes of this kind are idempotent; those of any other kind are not.
IDEMPOTENT_KIND = "safe"

Version = pydantic.StrictInt
Number = pydantic.StrictInt | pydantic.StrictFloat


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(frozen=True, extra="ignore", allow_inf_nan=False)


class WeightedService(_Model):
    """Describe the weight of one service of a route."""

    service: pydantic.StrictStr
    weight: Number


class Route(_Model):
    """Describe one route as sent by an operator."""

    name: pydantic.StrictStr
    host: pydantic.StrictStr
    path_prefix: pydantic.StrictStr = pydantic.Field(alias="pathPrefix")
    kind: pydantic.StrictStr
    timeout_s: Number = pydantic.Field(alias="timeoutS")
    target_latency_s: Number = pydantic.Field(alias="targetLatencyS", default=0)
    priority: pydantic.StrictInt = 0
    service: pydantic.StrictStr | None = None
    weighted_services: tuple[WeightedService, ...] = pydantic.Field(
        alias="weightedServices", default=()
    )
    max_attempts: pydantic.StrictInt = pydantic.Field(alias="maxAttempts", default=1)
    version: Version


class Service(_Model):
    """Describe one service as sent by an operator."""

    name: pydantic.StrictStr
    max_connections: pydantic.StrictInt = pydantic.Field(alias="maxConnections")
    cold_start_s: Number = pydantic.Field(alias="coldStartS", default=0)
    cold_per_s: Number = pydantic.Field(alias="coldPerS", default=1e6)
    health_path: pydantic.StrictStr = pydantic.Field(alias="healthPath", default="/health")
    version: Version


class Limits(_Model):
    """Describe the limits of callers as sent by an operator."""

    max_header_bytes: pydantic.StrictInt = pydantic.Field(alias="maxHeaderBytes")
    max_body_bytes: pydantic.StrictInt = pydantic.Field(alias="maxBodyBytes")
    header_timeout_s: Number = pydantic.Field(alias="headerTimeoutS")
    idle_timeout_s: Number = pydantic.Field(alias="idleTimeoutS")
    version: Version


class RemovedItem(_Model):
    """Describe the removal of an item, with its name and the version of the removal."""

    name: pydantic.StrictStr
    version: Version


class Upsert(_Model):
    """List the items that a call creates or replaces."""

    routes: tuple[dict[str, Any], ...] = ()
    services: tuple[dict[str, Any], ...] = ()
    limits: dict[str, Any] | None = None


class Remove(_Model):
    """List the items that a call removes."""

    routes: tuple[RemovedItem, ...] = ()
    services: tuple[RemovedItem, ...] = ()


class Patch(_Model):
    """Represent the body of one configuration call."""

    upsert: Upsert = Upsert()
    remove: Remove = Remove()


def decode_patch(body: bytes) -> ItemPatch:
    """Return the item patch of a configuration call; raises InvalidChange with the field."""
    try:
        patch = Patch.model_validate(json.loads(body))
        limits = patch.upsert.limits
        return ItemPatch(
            tuple(_decode_route(fields) for fields in patch.upsert.routes),
            tuple(_decode_service(fields) for fields in patch.upsert.services),
            None if limits is None else _decode_limits(limits),
            tuple(Removal(item.name, item.version) for item in patch.remove.routes),
            tuple(Removal(item.name, item.version) for item in patch.remove.services),
        )
    except pydantic.ValidationError as exc:
        problem = first_problem(exc)
        raise InvalidChange(f"{problem.path or 'body'}: {problem.message}") from None
    except (ValueError, RecursionError) as exc:
        raise InvalidChange(f"the body is not JSON: {exc}") from None


def _encode_document(fields: dict[str, Any]) -> str:
    return json.dumps(fields, separators=(",", ":"), ensure_ascii=False, sort_keys=True)


def _decode_route(fields: dict[str, Any]) -> RouteItem:
    route = Route.model_validate(fields)
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
    )


def _decode_service(fields: dict[str, Any]) -> BackendItem:
    item = Service.model_validate(fields)
    return BackendItem(
        item.name,
        item.version,
        item.max_connections,
        item.cold_start_s * MS_PER_S,
        float(item.cold_per_s),
        item.health_path,
        _encode_document(fields),
    )


def _decode_limits(fields: dict[str, Any]) -> LimitsItem:
    item = Limits.model_validate(fields)
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
    if items.limits is not None:
        parts.append(f'"limits":{items.limits.document}')
    return ("{" + ",".join(parts) + "}").encode("utf-8")
