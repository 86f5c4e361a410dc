"""Accept orders about a domain, node or roll-out only if no later one can have replaced them.

An order carries no version, and a paused process or a slow link may deliver it after any delay. Its
caller has then sent it elsewhere and may have replaced it by the opposite one. So an order that
would change the state is redirected to a path that names the version which its node knows. Only a
caller that still waits follows, and the log refuses the second request if another order about the
same domain or node was accepted after that version.
"""

from __future__ import annotations

import dataclasses
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol

from msgspec import structs

from knapweedhitch import logs
from knapweedhitch.caller import Caller
from knapweedhitch.changes import (
    Change,
    DomainIn,
    DomainOut,
    NodeDrain,
    NodeUndrain,
    Operation,
    StartRollout,
)
from knapweedhitch.clock import now_ms
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import BadRequest, OrderAbandoned, OrderRedirected, VersionConflict
from knapweedhitch.model import Configuration

SEEN_VERSION = "seen_version"
MAX_VERSION_DIGITS = 18
# A caller that does not follow redirects tries all control instances, with a growing delay between
# them, before it comes back.
REPEAT_WINDOW_MS = 10_000.0
MAX_REDIRECTS_KEPT = 64
# The end of a caller's connection may follow a request that was held up by a round trip.
SETTLE_MS = 50.0

Submit = Callable[[Change], Awaitable[int]]


class ConfigSource(Protocol):
    """Provide the configuration that this node knows."""

    @property
    def current(self) -> Configuration: ...


@dataclasses.dataclass(frozen=True, slots=True)
class _Redirect:
    """Describe the last redirect of an order: the version that it named, and when it was sent."""

    version: int
    sent_ms: float


class Orders:
    """Submit orders of callers, or redirect them."""

    def __init__(self, submit: Submit, config: ConfigSource, counters: Counters) -> None:
        self._submit = submit
        self._config = config
        self._counters = counters
        self._redirects: OrderedDict[tuple[str, str], _Redirect] = OrderedDict()

    async def submit(self, change: Change, caller: Caller, seen_version: int | None) -> int:
        """Submit an order and return its version; `seen_version` is the one that its path names.

        Raises OrderRedirected, OrderAbandoned, ChangeError, ConsensusError, PeerError.
        """
        current = self._config.current
        logs.event(
            "order_received",
            change=change.change_id,
            kind=change.op.kind,
            subject=change.op.subject,
            known_version=current.version,
            seen_version=seen_version,
        )
        earlier = self._redirects.pop(_key(change.op), None)
        follows_redirects = seen_version is not None
        if not follows_redirects:
            await self._check_caller(change, caller)
            seen_version = proven_version(change.op, current)
            if seen_version is None and earlier is not None:
                seen_version = _version_at_repetition(change.op, earlier, current)
        if seen_version is None:
            self._remember(change.op, current.version)
            raise self._redirect(change, current.version, "version-needed")
        try:
            return await self._submit(structs.replace(change, seen_version=seen_version))
        except VersionConflict as exc:
            if not follows_redirects:
                self._remember(change.op, exc.current_version)
            raise self._redirect(change, exc.current_version, "replaced") from None

    async def _check_caller(self, change: Change, caller: Caller) -> None:
        """Raise OrderAbandoned if the caller's connection has ended, or ends just behind it."""
        await caller.wait_until_left(SETTLE_MS)
        if not caller.has_left:
            return
        self._counters.add("orders_abandoned", "caller-left")
        logs.event(
            "order_abandoned",
            change=change.change_id,
            kind=change.op.kind,
            subject=change.op.subject,
            cause="caller-left",
        )
        raise OrderAbandoned(f"{change.op.kind}: the caller has left")

    def _remember(self, op: Operation, version: int) -> None:
        self._redirects[_key(op)] = _Redirect(version, now_ms())
        while len(self._redirects) > MAX_REDIRECTS_KEPT:
            self._redirects.popitem(last=False)

    def _redirect(self, change: Change, version: int, cause: str) -> OrderRedirected:
        self._counters.add("orders_redirected", cause)
        logs.event(
            "order_redirected",
            change=change.change_id,
            kind=change.op.kind,
            subject=change.op.subject,
            version=version,
            cause=cause,
        )
        return OrderRedirected(version)


def proven_version(op: Operation, current: Configuration) -> int | None:
    """Return a version after which nothing can have replaced the order, None if there is none.

    This holds for the first order about a domain, and for one that asks for what is in force.
    """
    match op:
        case DomainOut(domain=domain) | DomainIn(domain=domain):
            status = current.domains.get(domain)
            if status is None:
                return 0
            return status.version if status.out == isinstance(op, DomainOut) else None
        case NodeDrain(node_id=node_id) | NodeUndrain(node_id=node_id):
            is_draining = node_id in current.draining_nodes
            return current.version if is_draining == isinstance(op, NodeDrain) else None
        case StartRollout():
            last = current.rollouts.get(op.service)
            if last is None:
                return 0
            is_same = last.is_same_order(op.target_version, op.duration_ms, op.order_id)
            return last.version if is_same else None
    return None


def _version_at_repetition(op: Operation, earlier: _Redirect, current: Configuration) -> int | None:
    """Return the version of the redirect after which a caller sent its order here again.

    Such a caller follows no redirects, and that it comes back suggests that it got the response.
    Two orders of the past may look alike, so an order that starts traffic is accepted on that only
    after the first order about its domain, when none can be left from an earlier time.
    """
    if now_ms() - earlier.sent_ms > REPEAT_WINDOW_MS:
        return None
    match op:
        case DomainOut() | NodeDrain():
            return earlier.version
        case DomainIn(domain=domain):
            status = current.domains[domain]
            return earlier.version if status.version == status.first_version else None
    return None


def parse_seen_version(query: Mapping[str, str]) -> int | None:
    """Return the version that the query of a redirected order names; raises BadRequest."""
    text = query.get(SEEN_VERSION)
    if text is None:
        return None
    if not (text.isascii() and text.isdecimal() and len(text) <= MAX_VERSION_DIGITS):
        raise BadRequest(detail=f"{SEEN_VERSION}: use a whole number from 0")
    return int(text)


def _key(op: Operation) -> tuple[str, str]:
    return op.kind, op.subject
