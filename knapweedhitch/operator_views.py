"""Pages of the operator listener: status, history, services, upstreams and members."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from knapweedhitch.exceptions import LastDomain, NotControlInstance, UnknownDomain, UnknownNode
from knapweedhitch.kernel import Kernel
from knapweedhitch.model import Configuration, Member, Target, UpstreamState


def _control_ids(kernel: Kernel) -> list[str]:
    return [member.id for member in kernel.cfg.control.members]


def status(kernel: Kernel, phase: str) -> dict[str, Any]:
    """Return the version in force at this node and, on control instances, at every node."""
    config = kernel.get("config")
    current: Configuration = config.current
    return {
        "node": kernel.cfg.node.id,
        "domain": kernel.cfg.node.domain,
        "region": kernel.cfg.node.region,
        "phase": phase,
        "version": current.version,
        "config_fresh": config.is_fresh(),
        "config_age_ms": config.age_ms(),
        "domains_out": sorted(name for name in current.domains if current.is_domain_out(name)),
        "draining_nodes": current.draining_nodes,
        "control_instances": _control_ids(kernel),
        "control_group": _control_group(kernel) if kernel.cfg.is_control else None,
        "nodes": _node_versions(kernel, current) if kernel.cfg.is_control else None,
    }


def _control_group(kernel: Kernel) -> dict[str, Any] | None:
    view = kernel.get("control").group_view()
    return None if view is None else dataclasses.asdict(view)


def _node_versions(kernel: Kernel, current: Configuration) -> Iterator[dict[str, Any]]:
    # Copied, because the rows are generated while other tasks run.
    reports = dict(kernel.get("control").versions())
    members = dict(kernel.get("membership").members())
    for node_id in sorted({*reports, *members}):
        report = reports.get(node_id)
        member = members.get(node_id)
        yield {
            "node": node_id,
            "domain": member.domain if member else None,
            "state": member.state if member else "unknown",
            "version": report.version if report else None,
            "age_ms": report.age_ms if report else None,
            "lags": report is None or report.version < current.version,
        }


def history(kernel: Kernel, limit: int) -> dict[str, Any]:
    """Return the last changes, oldest first; raises NotControlInstance."""
    if not kernel.cfg.is_control:
        raise NotControlInstance(detail=f"ask one of {', '.join(_control_ids(kernel))}")
    records = kernel.get("control").machine.history()[-limit:]
    # The body is left out: it is the encoded change, which the readable `diff` also describes.
    fields = ("version", "change_id", "operator", "kind", "wall_ms", "diff")
    return {"changes": [{name: getattr(record, name) for name in fields} for record in records]}


def services(kernel: Kernel) -> dict[str, Any]:
    """Return each service with its configuration and its target counts by failure domain."""
    current: Configuration = kernel.get("config").current
    return {"version": current.version, "services": _service_rows(kernel, current)}


def _service_rows(kernel: Kernel, current: Configuration) -> Iterator[dict[str, Any]]:
    for name in sorted(current.services):
        targets = kernel.get("membership").targets(name)
        usable = [target for target in targets if _is_usable(target, current)]
        yield {
            "name": name,
            "config": current.services[name],
            "targets": len(targets),
            "usable": len(usable),
            "usable_by_domain": _count_by_name(target.domain for target in usable),
        }


def _count_by_name(names: Iterable[str]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for name in names:
        counts[name] = counts.get(name, 0) + 1
    return dict(sorted(counts.items()))


def _is_usable(target: Target, current: Configuration) -> bool:
    return not (
        target.draining
        or target.upstream.state is UpstreamState.LEAVING
        or target.node_id in current.draining_nodes
        or current.is_domain_out(target.domain)
    )


def upstreams(kernel: Kernel) -> dict[str, Any]:
    """Return every announced upstream with its node, failure domain, address and state."""
    current: Configuration = kernel.get("config").current
    return {"version": current.version, "upstreams": _upstream_rows(kernel, current)}


def _upstream_rows(kernel: Kernel, current: Configuration) -> Iterator[dict[str, Any]]:
    for name in sorted(current.services):
        for target in sorted(kernel.get("membership").targets(name), key=lambda t: t.node_id):
            yield {
                "service": name,
                "node": target.node_id,
                "domain": target.domain,
                "address": str(target.upstream.address),
                "slots": target.upstream.slots,
                "connections": target.upstream.connections,
                "instance_id": target.upstream.instance_id,
                "state": target.upstream.state,
                "suspect": target.suspect,
                "usable": _is_usable(target, current),
            }


def members(kernel: Kernel) -> dict[str, Any]:
    """Return every node known to the membership protocol."""
    return {"members": _member_rows(dict(kernel.get("membership").members()))}


def _member_rows(members_by_id: Mapping[str, Member]) -> Iterator[dict[str, Any]]:
    for node_id in sorted(members_by_id):
        member = members_by_id[node_id]
        yield {
            "node": node_id,
            "address": str(member.address),
            "region": member.region,
            "domain": member.domain,
            "state": member.state,
            "draining": member.draining,
            "service": member.upstream.service if member.upstream else None,
        }


def check_known_domain(kernel: Kernel, domain: str) -> None:
    """Check that a node or the configuration names the failure domain; raises UnknownDomain."""
    current: Configuration = kernel.get("config").current
    known_domains = {member.domain for member in kernel.get("membership").members().values()}
    known_domains.update(current.domains, (kernel.cfg.node.domain,))
    if domain not in known_domains:
        raise UnknownDomain(detail=f"{domain}; known are {', '.join(sorted(known_domains))}")


def check_known_node(kernel: Kernel, node_id: str) -> None:
    """Check that the node is a known member or is draining; raises UnknownNode."""
    members = kernel.get("membership").members()
    drained = kernel.get("config").current.draining_nodes
    if node_id not in members and node_id not in drained and node_id != kernel.cfg.node.id:
        raise UnknownNode(detail=node_id)


def check_last_domain(kernel: Kernel, domain: str) -> None:
    """Check that no service has usable targets in this domain only; raises LastDomain."""
    current: Configuration = kernel.get("config").current
    affected = []
    for name in sorted(current.services):
        targets = kernel.get("membership").targets(name)
        domains = {target.domain for target in targets if _is_usable(target, current)}
        if domains == {domain}:
            affected.append(name)
    if affected:
        raise LastDomain(
            detail=f"{domain} is the last domain with usable targets of {', '.join(affected)}"
        )


def suspects(kernel: Kernel) -> Mapping[str, Any]:
    """Return the quarantined and the suspected requests that this node knows."""
    guard = kernel.get("crashguard")
    now = kernel.get("timers").now_ms()
    return {
        "quarantined": [
            {
                "request": verdict.request.hex(),
                "service": verdict.service,
                "evidence": verdict.evidence,
                "refused_ms": verdict.until_ms - now,
                "ends": [
                    {"instance": held.end.instance_id, "ended_ms_ago": now - held.ended_ms}
                    for held in verdict.ends
                ],
            }
            for verdict in guard.table.verdicts()
        ],
        "suspects": [
            {"request": request.hex(), "service": service}
            for request, service in guard.table.suspects().items()
        ],
    }


def find_suspects(kernel: Kernel, fields: Mapping[str, str]) -> Mapping[str, Any]:
    """Return what is held of requests with the given service, route, method and target."""
    identifier = kernel.get("crashguard").identifier
    target = fields["target"].encode("utf-8", errors="replace")
    head = identifier.head(fields["service"], fields["route"], fields["method"], target).hex()
    page = suspects(kernel)
    return {
        "head": head,
        **{
            name: [row for row in rows if row["request"].startswith(head)]
            for name, rows in page.items()
        },
    }
