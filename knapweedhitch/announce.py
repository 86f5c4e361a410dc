"""The loopback listener on which the own upstream announces itself."""

from __future__ import annotations

import ipaddress
import json
import re
from typing import Any

import trio

from knapweedhitch import logs
from knapweedhitch.exceptions import (
    AnnouncementInvalid,
    AnnouncementStale,
    CallerGone,
    NotFound,
    Refusal,
    SettingsError,
    TooManyConnections,
)
from knapweedhitch.framing import RequestHead
from knapweedhitch.http1 import ServerConnection, refusal_headers
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.listener import StreamServer
from knapweedhitch.model import Address, UpstreamRecord, UpstreamState

PATH = b"/v1/announcement"
NAME = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?\Z")
INSTANCE = re.compile(r"[!-~]{1,128}\Z")
MAX_COUNT = 1_000_000
MAX_GONE = 1_000
NOTHING_HEARD = (-1, -1)
MAX_INCARNATION = (1 << 63) - 1
FIELDS = ("service", "address", "slots", "connections", "instance_id", "incarnation", "state")


def parse_announcement(data: bytes) -> UpstreamRecord:
    """Return the record in a JSON announcement; raises AnnouncementInvalid naming the field."""
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError):
        raise AnnouncementInvalid(detail="use a JSON object") from None
    if not isinstance(raw, dict):
        raise AnnouncementInvalid(detail="use a JSON object")
    if unknown := sorted(set(raw) - set(FIELDS)):
        raise AnnouncementInvalid(detail=f"unknown field {unknown[0][:40]!r}")
    return UpstreamRecord(
        service=_text(raw, "service", NAME),
        address=_address(raw),
        slots=_number(raw, "slots", 1, MAX_COUNT),
        connections=_number(raw, "connections", 1, MAX_COUNT),
        instance_id=_text(raw, "instance_id", INSTANCE),
        incarnation=_number(raw, "incarnation", 0, MAX_INCARNATION),
        state=_state(raw),
    )


def _text(raw: dict[str, Any], field: str, pattern: re.Pattern[str]) -> str:
    value = raw.get(field)
    if not isinstance(value, str) or not pattern.match(value):
        raise AnnouncementInvalid(detail=f"{field}: use text that matches {pattern.pattern}")
    return value


def _number(raw: dict[str, Any], field: str, low: int, high: int) -> int:
    value = raw.get(field)
    if type(value) is not int or not low <= value <= high:
        raise AnnouncementInvalid(detail=f"{field}: use a whole number from {low} to {high}")
    return value


def _address(raw: dict[str, Any]) -> Address:
    host, _, port = str(raw.get("address")).rpartition(":")
    try:
        ip = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        if not 1 <= int(port) <= 65_535:
            raise ValueError
    except ValueError:
        raise AnnouncementInvalid(detail="address: use an IP address with a port") from None
    return Address(str(ip), int(port))


def _state(raw: dict[str, Any]) -> UpstreamState:
    try:
        return UpstreamState(raw.get("state", "serving"))
    except ValueError:
        raise AnnouncementInvalid(detail="state: use serving or leaving") from None


@service("announce")
class Announce:
    """Keep the announcement of the own upstream until it is withdrawn or not renewed."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg
        self._renewed_ms = 0.0
        self.current: UpstreamRecord | None = None
        # Incarnation and sequence of the newest heartbeat, and whose it was.
        self._heartbeat = NOTHING_HEARD
        self._heartbeat_of = ("", -1)
        # The last start of each upstream that has said that it leaves, oldest first.
        self._gone: dict[str, int] = {}
        self._server = StreamServer(
            kernel.cfg.listen.announce,
            kernel.cfg.upstream.max_announcers,
            self.serve,
            self._refuse_connection,
        )

    @property
    def address(self) -> Address:
        """Return the address of the listener."""
        return self._server.address

    async def start(self) -> None:
        """Open the listener; raises SettingsError when its address is not loopback, OSError."""
        is_served = self._cfg.listen.announce.enabled
        if is_served and not ipaddress.ip_address(self._cfg.listen.announce.host).is_loopback:
            raise SettingsError("listen.announce.host", "use a loopback address")
        self._timers = self._kernel.get("timers")
        self._counters = self._kernel.get("counters")
        self._membership = self._kernel.get("membership")
        self._admission = self._kernel.get("admission")
        if is_served:
            await self._server.start(self._kernel.nursery)
        self._timers.every(self._cfg.upstream.announcement_ttl_ms / 4, self._expire)

    async def stop(self) -> None:
        """Close the listener."""
        self._server.close()

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Answer the requests of one connection."""
        conn = ServerConnection(stream, self._cfg.callers)
        try:
            while True:
                try:
                    head = await conn.receive_head()
                    if head is None:
                        return
                    await self._answer(conn, head)
                except Refusal as exc:
                    self._counters.add("refused", exc.reason)
                    conn.close_after = True
                    body = _json({"reason": exc.reason, "detail": exc.detail})
                    await conn.send_whole(exc.status, refusal_headers(exc, "-", body), [body])
                if not conn.start_next_request():
                    return
        except CallerGone:
            pass
        finally:
            await conn.close()

    async def _answer(self, conn: ServerConnection, head: RequestHead) -> None:
        if head.target != PATH or head.method not in ("GET", "PUT", "DELETE"):
            raise NotFound(detail="use GET, PUT or DELETE of /v1/announcement")
        conn.limit_body(head, self._cfg.upstream.max_announcement_bytes)
        data = b""
        while (part := await conn.receive()) is not None:
            data += part
        if head.method == "PUT":
            self.put(parse_announcement(data))
        elif head.method == "DELETE":
            self.withdraw(data)
        body = _json(self._view())
        headers = (
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
        )
        await conn.send_whole(200, headers, [body])

    def put(self, record: UpstreamRecord) -> None:
        """Take or renew an announcement; raises AnnouncementStale."""
        current = self.current
        if (
            current is not None
            and current.instance_id == record.instance_id
            and current.incarnation > record.incarnation
        ):
            raise AnnouncementStale(detail=f"current incarnation is {current.incarnation}")
        if (
            current is not None
            and current.state is UpstreamState.LEAVING
            and record.state is UpstreamState.SERVING
            and (current.instance_id, current.incarnation)
            == (record.instance_id, record.incarnation)
        ):
            # A renewal that was overtaken by the notice to leave must not undo it.
            raise AnnouncementStale(detail="this incarnation is leaving; use a higher one")
        self._renewed_ms = self._timers.now_ms()
        if record != current:
            self._set(record, "announced")

    def record_heartbeat(self, record: UpstreamRecord, sequence: int, cold_ms: float) -> bool:
        """Take a heartbeat; return False for one that a later one has overtaken.

        The upstream stays cold for `cold_ms` more milliseconds. A start is newer by its
        incarnation, and a heartbeat of one start by its sequence.
        """
        order = (record.incarnation, sequence)
        same_start = (record.instance_id, record.incarnation) == self._heartbeat_of
        if order <= self._heartbeat and (same_start or record.incarnation < self._heartbeat[0]):
            self._counters.add("heartbeats_late")
            return False
        if self._has_gone(record) and record.state is UpstreamState.SERVING:
            self._counters.add("heartbeats_late")
            return False
        self._heartbeat = order
        self._heartbeat_of = (record.instance_id, record.incarnation)
        if record.state is UpstreamState.LEAVING:
            self._note_gone(record.instance_id, record.incarnation)
        self._renewed_ms = self._timers.now_ms()
        self._set(record, "heartbeat")
        self._admission.set_cold_time(cold_ms)
        return True

    @property
    def has_reported(self) -> bool:
        """Tell whether the upstream has said anything since this node started."""
        return self._heartbeat != NOTHING_HEARD or bool(self._gone)

    def accept_probe_result(self, record: UpstreamRecord) -> None:
        """Take what a probe has found, until the upstream speaks for itself."""
        if not self.has_reported and self.current is None:
            self._renewed_ms = self._timers.now_ms()
            self._set(record, "probed")

    def deregister(self, instance_id: str, incarnation: int | None) -> None:
        """Drop an upstream that says it leaves; an incarnation of None is the current one."""
        known_id, known_incarnation = self._heartbeat_of
        if incarnation is None:
            same = instance_id == known_id
            incarnation = known_incarnation if same else self._timers.wall_ms()
        # Kept for an upstream that is not known as well: after a restart of this node its last
        # heartbeat may arrive behind its goodbye.
        self._note_gone(instance_id, incarnation)
        if (instance_id, incarnation) != self._heartbeat_of:
            self._counters.add("heartbeats_late")
            return
        self._set(None, "deregistered")

    def _has_gone(self, record: UpstreamRecord) -> bool:
        return record.incarnation <= self._gone.get(record.instance_id, -1)

    def _note_gone(self, instance_id: str, incarnation: int) -> None:
        self._gone[instance_id] = max(incarnation, self._gone.pop(instance_id, -1))
        if len(self._gone) > MAX_GONE:
            del self._gone[next(iter(self._gone))]

    def withdraw(self, data: bytes) -> None:
        """Drop the announcement; raises AnnouncementStale if the body names another instance."""
        current = self.current
        if data and current is not None:
            record = parse_announcement(data)
            named = (record.instance_id, record.incarnation)
            if named != (current.instance_id, current.incarnation):
                raise AnnouncementStale(detail=f"current instance is {current.instance_id}")
        self._set(None, "withdrawn")

    def _expire(self) -> None:
        age_ms = self._timers.now_ms() - self._renewed_ms
        if self.current is not None and age_ms > self._cfg.upstream.announcement_ttl_ms:
            self._set(None, "expired")

    def _set(self, record: UpstreamRecord | None, cause: str) -> None:
        if record == self.current:
            return
        shown = record or self.current
        assert shown is not None
        self._counters.add("announcements", cause)
        logs.event(
            "announcement",
            cause=cause,
            service=shown.service,
            instance=shown.instance_id,
            incarnation=shown.incarnation,
            state=shown.state.value,
        )
        self.current = record
        self._membership.announce_local(record)
        self._admission.set_upstream(record)

    def _view(self) -> dict[str, object]:
        current = self.current
        view: dict[str, object] = {"ttl_ms": self._cfg.upstream.announcement_ttl_ms}
        if current is not None:
            view |= {
                "service": current.service,
                "address": str(current.address),
                "instance_id": current.instance_id,
                "incarnation": current.incarnation,
                "state": current.state.value,
            }
        return view

    async def _refuse_connection(self, stream: trio.abc.Stream) -> None:
        refusal = TooManyConnections()
        self._counters.add("refused", refusal.reason)
        conn = ServerConnection(stream, self._cfg.callers)
        await conn.send_whole(refusal.status, refusal_headers(refusal, "-", b""), [])


def _json(value: dict[str, object]) -> bytes:
    return json.dumps(value).encode("utf-8")
