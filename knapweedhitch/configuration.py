"""The rules by which each operation changes the configuration, and its encoding."""

from __future__ import annotations

import re
import zlib
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import cbor2
from msgspec import structs

from knapweedhitch import changes, rollout
from knapweedhitch import items as itemrules
from knapweedhitch.changes import StampedChange
from knapweedhitch.codec import from_plain, load_plain, to_plain
from knapweedhitch.exceptions import CodecError, InvalidChange
from knapweedhitch.model import ClaimGroup, Configuration, DomainStatus, ServiceConfig
from knapweedhitch.rollout import Rollout

NAME = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
MAX_HOSTS = 100
MAX_DEADLINE_MS = 3_600_000
# A claim group is kept until every key created under it has expired; the margin covers clock skew.
GROUP_MARGIN_MS = 60_000
MAX_CLAIM_GROUPS = 512
HOLDERS = 3

Rule = Callable[[Configuration, Any, StampedChange, int], Configuration]

_rules: dict[str, Rule] = {}


def _register_rule(cls: type[changes.Operation]) -> Callable[[Rule], Rule]:
    def register(fn: Rule) -> Rule:
        _rules[cls.kind] = fn
        return fn

    return register


def apply_accepted(
    cfg: Configuration, stamped: StampedChange, max_services: int = 1_000_000
) -> Configuration:
    """Return the next configuration; raises InvalidChange if the rules refuse the change."""
    version = cfg.version + 1
    op = stamped.change.op
    after = _rules[op.kind](cfg, op, stamped, version)
    if len(after.services.keys() | after.claim_groups.keys()) > max_services:
        raise InvalidChange(f"over {max_services} services")
    return structs.replace(after, version=version)


def check_service(svc: ServiceConfig) -> None:
    """Check the fields of a service; raises InvalidChange that names the field."""
    if not NAME.fullmatch(svc.name):
        raise InvalidChange(f"service name {svc.name[:80]!r}: use lower-case letters, digits, . -")
    if not 1 <= len(svc.hosts) <= MAX_HOSTS:
        raise InvalidChange(f"service {svc.name}: use 1 to {MAX_HOSTS} hosts")
    for host in svc.hosts:
        if not host or host != host.lower() or len(host) > 253 or any(c.isspace() for c in host):
            raise InvalidChange(f"service {svc.name}: host {host[:80]!r} is not a host name")
    if not 1 <= svc.default_deadline_ms <= svc.max_deadline_ms <= MAX_DEADLINE_MS:
        raise InvalidChange(f"service {svc.name}: use 1 <= default_deadline_ms <= max_deadline_ms")
    for field in ("max_body_bytes", "claim_retention_s", "max_recorded_answer_bytes"):
        if getattr(svc, field) < 1:
            raise InvalidChange(f"service {svc.name}: {field} is at least 1")
    if svc.retries < 0 or svc.hold_back_bytes < 0 or not 0.0 <= svc.max_ejected_ratio <= 1.0:
        raise InvalidChange(f"service {svc.name}: retries, hold_back_bytes or max_ejected_ratio")


def _check_hosts(services: Mapping[str, ServiceConfig]) -> None:
    owners: dict[str, str] = {}
    for svc in services.values():
        for host in svc.hosts:
            other = owners.setdefault(host, svc.name)
            if other != svc.name:
                raise InvalidChange(f"host {host} is used by service {other} and {svc.name}")


@_register_rule(changes.PutService)
def _put_service(
    cfg: Configuration, op: changes.PutService, stamped: StampedChange, version: int
) -> Configuration:
    check_service(op.service)
    services = {**cfg.services, op.service.name: op.service}
    _check_hosts(services)
    return structs.replace(cfg, services=services)


@_register_rule(changes.RemoveService)
def _remove_service(
    cfg: Configuration, op: changes.RemoveService, stamped: StampedChange, version: int
) -> Configuration:
    if op.name not in cfg.services:
        raise InvalidChange(f"no service {op.name[:80]!r}")
    # The claim groups stay: a service that is added again must not accept old keys a second time.
    services = {name: svc for name, svc in cfg.services.items() if name != op.name}
    return structs.replace(cfg, services=services)


@_register_rule(changes.PutAllServices)
def _put_all_services(
    cfg: Configuration, op: changes.PutAllServices, stamped: StampedChange, version: int
) -> Configuration:
    for svc in op.services:
        check_service(svc)
    services = {svc.name: svc for svc in op.services}
    if len(services) != len(op.services):
        raise InvalidChange("a service is listed twice")
    _check_hosts(services)
    return structs.replace(cfg, services=services)


@_register_rule(changes.PatchItems)
def _patch_items(
    cfg: Configuration, op: changes.PatchItems, stamped: StampedChange, version: int
) -> Configuration:
    return structs.replace(cfg, items=itemrules.merge(cfg.items, op.patch))


@_register_rule(changes.DomainOut)
def _domain_out(
    cfg: Configuration, op: changes.DomainOut, stamped: StampedChange, version: int
) -> Configuration:
    _check_name("domain", op.domain)
    if not op.allow_last:
        for name, domains in sorted(stamped.serving.items()):
            remaining = [d for d in domains if d != op.domain and not cfg.is_domain_out(d)]
            if op.domain in domains and not remaining:
                raise InvalidChange(
                    f"domain {op.domain} is the last one that serves {name}; "
                    "use allow_last to take it out all the same"
                )
    return _with_domain(cfg, op.domain, DomainStatus(True, version))


@_register_rule(changes.DomainIn)
def _domain_in(
    cfg: Configuration, op: changes.DomainIn, stamped: StampedChange, version: int
) -> Configuration:
    _check_name("domain", op.domain)
    return _with_domain(cfg, op.domain, DomainStatus(False, version))


def _with_domain(cfg: Configuration, name: str, status: DomainStatus) -> Configuration:
    before = cfg.domains.get(name)
    first_version = status.version if before is None else before.first_version
    status = structs.replace(status, first_version=first_version)
    return structs.replace(cfg, domains={**cfg.domains, name: status})


@_register_rule(changes.NodeDrain)
def _node_drain(
    cfg: Configuration, op: changes.NodeDrain, stamped: StampedChange, version: int
) -> Configuration:
    _check_name("node", op.node_id)
    return structs.replace(cfg, draining_nodes=cfg.draining_nodes | {op.node_id})


@_register_rule(changes.NodeUndrain)
def _node_undrain(
    cfg: Configuration, op: changes.NodeUndrain, stamped: StampedChange, version: int
) -> Configuration:
    return structs.replace(cfg, draining_nodes=cfg.draining_nodes - {op.node_id})


@_register_rule(changes.StartRollout)
def _start_rollout(
    cfg: Configuration, op: changes.StartRollout, stamped: StampedChange, version: int
) -> Configuration:
    if op.service not in cfg.items.backends and op.service not in cfg.services:
        raise InvalidChange(f"no service {op.service[:80]!r}")
    order = rollout.Rollout(
        op.service, op.target_version, op.duration_ms, op.order_id, version, stamped.wall_ms
    )
    versions = stamped.serving.get(op.service, frozenset())
    return structs.replace(cfg, rollouts=rollout.start(cfg.rollouts, order, versions))


@_register_rule(changes.AdvanceRollout)
def _advance_rollout(
    cfg: Configuration, op: changes.AdvanceRollout, stamped: StampedChange, version: int
) -> Configuration:
    rollouts = rollout.advance(cfg.rollouts, op.service, op.order_version, op.step)
    return structs.replace(cfg, rollouts=rollouts)


@_register_rule(changes.FinishRollout)
def _finish_rollout(
    cfg: Configuration, op: changes.FinishRollout, stamped: StampedChange, version: int
) -> Configuration:
    rollouts = rollout.finish(
        cfg.rollouts,
        op.service,
        op.order_version,
        completed=op.completed,
        reason=op.reason,
        versions=stamped.serving.get(op.service, frozenset()),
    )
    return structs.replace(cfg, rollouts=rollouts)


@_register_rule(changes.AddClaimGroup)
def _add_claim_group(
    cfg: Configuration, op: changes.AddClaimGroup, stamped: StampedChange, version: int
) -> Configuration:
    return _with_groups(cfg, (op.group,), stamped)


@_register_rule(changes.AddClaimGroups)
def _add_claim_groups(
    cfg: Configuration, op: changes.AddClaimGroups, stamped: StampedChange, version: int
) -> Configuration:
    return _with_groups(cfg, op.groups(), stamped)


def _with_groups(
    cfg: Configuration, added: Sequence[ClaimGroup], stamped: StampedChange
) -> Configuration:
    """Add all groups or none; raises InvalidChange."""
    claim_groups = dict(cfg.claim_groups)
    for group in added:
        groups = claim_groups.get(group.service, ())
        claim_groups[group.service] = _next_groups(cfg, groups, group, stamped)
    return structs.replace(cfg, claim_groups=claim_groups)


def _next_groups(
    cfg: Configuration, groups: tuple[ClaimGroup, ...], group: ClaimGroup, stamped: StampedChange
) -> tuple[ClaimGroup, ...]:
    if group.service not in cfg.services:
        raise InvalidChange(f"no service {group.service[:80]!r}")
    if not 1 <= len(set(group.holders)) == len(group.holders) <= HOLDERS:
        raise InvalidChange(f"a claim group has 1 to {HOLDERS} different holders")
    if group.epoch != (groups[-1].epoch + 1 if groups else 1):
        raise InvalidChange(f"claim group epoch {group.epoch} is not the next one")
    # Only before a first group can no claim exist; a later group must not start in the past.
    if groups and group.from_wall_ms <= max(groups[-1].from_wall_ms, stamped.wall_ms):
        raise InvalidChange(f"claim group epoch {group.epoch} would start in the past")
    retention_s = cfg.services[group.service].claim_retention_s
    kept = _without_expired((*groups, group), stamped.wall_ms, retention_s)
    if len(kept) > MAX_CLAIM_GROUPS:
        raise InvalidChange(f"over {MAX_CLAIM_GROUPS} claim groups of {group.service}")
    return kept


def _without_expired(
    groups: tuple[ClaimGroup, ...], wall_ms: int, retention_s: int
) -> tuple[ClaimGroup, ...]:
    keep_from = 0
    for number, next_group in enumerate(groups[1:], start=1):
        if next_group.from_wall_ms + retention_s * 1_000 + GROUP_MARGIN_MS < wall_ms:
            keep_from = number
    return groups[keep_from:]


def _check_name(kind: str, name: str) -> None:
    if not NAME.fullmatch(name):
        raise InvalidChange(f"{kind} {name[:80]!r} is not a name")


def to_state(cfg: Configuration) -> bytes:
    """Return the configuration as compressed CBOR."""
    plain = [
        cfg.version,
        [to_plain(svc) for _, svc in sorted(cfg.services.items())],
        [[name, d.out, d.version, d.first_version] for name, d in sorted(cfg.domains.items())],
        sorted(cfg.draining_nodes),
        [[to_plain(g) for g in groups] for _, groups in sorted(cfg.claim_groups.items())],
        itemrules.to_state(cfg.items),
    ]
    if cfg.rollouts:
        # States of earlier builds have no seventh field.
        plain.append([to_plain(r) for _, r in sorted(cfg.rollouts.items())])
    return zlib.compress(cbor2.dumps(plain), 6)


def from_state(data: bytes, max_bytes: int = 1 << 24) -> Configuration:
    """Decode a configuration from compressed CBOR; raises CodecError."""
    try:
        unpacker = zlib.decompressobj()
        plain = unpacker.decompress(data, max_bytes)
        if not unpacker.eof or unpacker.unused_data:
            raise CodecError(f"a state is cut short, or over {max_bytes} bytes")
        version, services, domains, draining, groups, items, *rest = load_plain(plain)
        svcs = [from_plain(ServiceConfig, raw) for raw in services]
        group_lists = [tuple(from_plain(ClaimGroup, g) for g in raw) for raw in groups]
        rollouts = [from_plain(Rollout, raw) for raw in (rest[0] if rest else ())]
        return Configuration(
            version=_version(version),
            services={svc.name: svc for svc in svcs},
            domains={str(n): _domain_status(*fields) for n, *fields in domains},
            draining_nodes=frozenset(str(node) for node in draining),
            claim_groups={gs[0].service: gs for gs in group_lists},
            items=itemrules.from_state(items),
            rollouts={r.service: r for r in rollouts},
        )
    except (zlib.error, TypeError, ValueError, IndexError) as exc:
        raise CodecError(f"invalid configuration state: {exc}") from None


def _domain_status(out: object, version: object, first_version: object = 0) -> DomainStatus:
    return DomainStatus(bool(out), _version(version), _version(first_version))


def _version(raw: object) -> int:
    if type(raw) is not int or raw < 0:
        raise CodecError("a version must be a non-negative integer")
    return raw


def diff(before: Configuration, after: Configuration, max_lines: int = 50) -> tuple[str, ...]:
    """Return the differences as lines that start with +, - or ~ and name the section."""
    lines: list[str] = []
    for part in ("services", "domains", "claim_groups", "rollouts"):
        old, new = getattr(before, part), getattr(after, part)
        if old is new:
            continue
        for name in sorted(old.keys() | new.keys()):
            if name not in old:
                lines.append(f"+ {part} {name}: {new[name]}")
            elif name not in new:
                lines.append(f"- {part} {name}: {old[name]}")
            elif old[name] != new[name]:
                lines.append(f"~ {part} {name}: {old[name]} -> {new[name]}")
    for kind in ("routes", "backends", "customers"):
        old_items, new_items = getattr(before.items, kind), getattr(after.items, kind)
        if old_items is not new_items:
            names = sorted(old_items.keys() | new_items.keys())
            changed = [n for n in names if old_items.get(n) is not new_items.get(n)]
            lines += [f"~ {kind} {n}" for n in changed[:max_lines]]
    lines += [drain_line(n, True) for n in sorted(after.draining_nodes - before.draining_nodes)]
    lines += [drain_line(n, False) for n in sorted(before.draining_nodes - after.draining_nodes)]
    if len(lines) > max_lines:
        lines[max_lines:] = [f"and {len(lines) - max_lines} more"]
    return tuple(lines)


def drain_line(node_id: str, draining: bool) -> str:
    """Return the line of a difference that tells that a node drains, or does not any more."""
    return f"{'+' if draining else '-'} draining {node_id}"
