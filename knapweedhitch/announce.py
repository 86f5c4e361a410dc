"""The loopback listener on which the local upstream announces itself."""

from __future__ import annotations

import ipaddress
import json
import math

import trio
from msgspec import structs

from knapweedhitch import logs
from knapweedhitch.announcement import check_instance_id, check_record, parse_announcement
from knapweedhitch.budget import TokenBucket
from knapweedhitch.departures import DepartureTable
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
from knapweedhitch.messages import UpstreamDeparted
from knapweedhitch.model import (
    UNKNOWN_INCARNATION,
    Address,
    Configuration,
    UpstreamRecord,
    UpstreamState,
)
from knapweedhitch.upstreamload import UpstreamReport
from knapweedhitch.upstreamstatus import UpstreamStart, next_start

PATH = b"/v1/announcement"
NO_HEARTBEAT = (-1, -1)
DEREGISTERED = "deregistered"
WARNING_LINES_PER_S = 0.2
WARNING_BURST = 2.0


@service("announce")
class Announce:
    """Track the announcement of the local upstream until it is withdrawn or expires."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg
        self._renewed_ms = 0.0
        self.current: UpstreamRecord | None = None
        # The (incarnation, sequence) of the newest heartbeat and its (instance id, incarnation).
        self._last_heartbeat = NO_HEARTBEAT
        self._last_heartbeat_source = ("", -1)
        self._last_heartbeat_ms = -math.inf
        self._departures = DepartureTable()
        self._start: UpstreamStart | None = None
        # What other nodes know of a departed upstream.
        self._announced_departure: UpstreamRecord | None = None
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
        """Open the listener; raises SettingsError if its address is not loopback, and OSError."""
        is_enabled = self._cfg.listen.announce.enabled
        if is_enabled and not ipaddress.ip_address(self._cfg.listen.announce.host).is_loopback:
            raise SettingsError("listen.announce.host", "use a loopback address")
        self._timers = self._kernel.get("timers")
        self._counters = self._kernel.get("counters")
        self._membership = self._kernel.get("membership")
        self._admission = self._kernel.get("admission")
        if self._kernel.has("pool"):
            self._kernel.get("pool").subscribe_reports(self.record_report)
        if self._kernel.has("config"):
            self._kernel.get("config").subscribe(self._on_config)
        if self._kernel.has("peers"):
            self._kernel.get("peers").handle(UpstreamDeparted, self._on_departed)
        if is_enabled:
            await self._server.start(self._kernel)
        self._warning_budget = TokenBucket(WARNING_LINES_PER_S, WARNING_BURST, self._timers.now_ms)
        self._timers.every(self._cfg.upstream.announcement_ttl_ms / 4, self._expire, align=True)

    async def stop(self) -> None:
        """Close the listener."""
        self._server.close()

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve the requests of one connection."""
        conn = ServerConnection(stream, self._cfg.callers)
        try:
            while True:
                try:
                    head = await conn.receive_head()
                    if head is None:
                        return
                    await self._respond(conn, head)
                except Refusal as exc:
                    self._counters.add("refused", exc.reason)
                    conn.close_after = True
                    body = _encode_json({"reason": exc.reason, "detail": exc.detail})
                    await conn.send_response(exc.status, refusal_headers(exc, "-", body), [body])
                if not conn.start_next_request():
                    return
        except CallerGone:
            pass
        finally:
            await conn.close()

    async def _respond(self, conn: ServerConnection, head: RequestHead) -> None:
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
        body = _encode_json(self._describe_current())
        headers = (
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
        )
        await conn.send_response(200, headers, [body])

    def put(self, record: UpstreamRecord) -> None:
        """Accept or renew an announcement; raises AnnouncementStale."""
        current = self.current
        if (
            current is not None
            and current.instance_id == record.instance_id
            and current.incarnation > record.incarnation
        ):
            raise AnnouncementStale(detail=f"current incarnation is {current.incarnation}")
        if self._departures.includes(record) and record.state is UpstreamState.SERVING:
            # A delayed renewal must not return an upstream that is leaving or has left.
            raise AnnouncementStale(detail="this incarnation has departed; use a higher one")
        if record.state is UpstreamState.LEAVING:
            self._departures.record(record.instance_id, record.incarnation)
        self._renewed_ms = self._timers.now_ms()
        if record != current:
            self._set_current(record, "announced")

    def record_heartbeat(self, record: UpstreamRecord, sequence: int, cold_ms: float) -> bool:
        """Record a heartbeat; return False if it arrived after a newer one.

        The upstream stays cold for another `cold_ms`. Heartbeats are ordered by their
        incarnation, and within one incarnation by their sequence. One of a later incarnation holds
        for as long as an announcement. Raises AnnouncementInvalid.
        """
        check_record(record)
        order = (record.incarnation, sequence)
        same_source = (record.instance_id, record.incarnation) == self._last_heartbeat_source
        is_earlier = record.incarnation < self._last_heartbeat[0] and self._holds_last_heartbeat()
        if order <= self._last_heartbeat and (same_source or is_earlier):
            self._counters.add("heartbeats_late")
            return False
        if self._departures.includes(record) and record.state is UpstreamState.SERVING:
            self._counters.add("heartbeats_late")
            return False
        self._last_heartbeat = order
        self._last_heartbeat_source = (record.instance_id, record.incarnation)
        self._last_heartbeat_ms = self._timers.now_ms()
        if record.state is UpstreamState.LEAVING:
            self._departures.record(record.instance_id, record.incarnation)
        self._renewed_ms = self._timers.now_ms()
        self._set_current(record, "heartbeat", cold_ms)
        return True

    def _holds_last_heartbeat(self) -> bool:
        """Return whether the newest heartbeat still keeps out those of earlier incarnations.

        Its sender may be a foreign one, or one whose clock was ahead; an upstream that goes on
        sending while the other is silent is the one that runs.
        """
        age_ms = self._timers.now_ms() - self._last_heartbeat_ms
        return age_ms <= self._cfg.upstream.announcement_ttl_ms

    def _on_config(self, current: Configuration) -> None:
        """Drop an upstream of a service that is not named, which came before it was known."""
        backends, record = current.items.backends, self.current
        if record is None or not backends or record.service in backends:
            return
        self._last_heartbeat_ms = -math.inf
        self._set_current(None, "unnamed-service")

    @property
    def has_reported(self) -> bool:
        """Return whether the upstream has reported anything since this node started."""
        return self._last_heartbeat != NO_HEARTBEAT or len(self._departures) > 0

    def accept_probe_result(self, record: UpstreamRecord) -> None:
        """Use the record found by a probe unless the upstream has reported itself."""
        try:
            check_record(record)
        except AnnouncementInvalid as exc:
            self._counters.add("announcements_invalid", "probed")
            if self._warning_budget.take():
                logs.warning("probed_upstream_invalid", address=record.address, detail=exc.detail)
            return
        if not self.has_reported and self.current is None and not self._departures.includes(record):
            self._renewed_ms = self._timers.now_ms()
            self._set_current(record, "probed")

    def deregister(self, instance_id: str, incarnation: int | None) -> None:
        """Drop an upstream that reports leaving; an incarnation of None is the current one.

        Raises AnnouncementInvalid.
        """
        check_instance_id(instance_id)
        known_id, known_incarnation = self._last_heartbeat_source
        if incarnation is None:
            same = instance_id == known_id
            incarnation = known_incarnation if same else self._timers.wall_ms()
        # Recorded for an unknown upstream as well: after a restart of this node, the last heartbeat
        # of an upstream may arrive after its report that it is leaving.
        self._departures.record(instance_id, incarnation)
        # What is in use may be known from a probe only, so the last heartbeat does not tell it.
        if self.current is None or not self.current.is_start_up_to(instance_id, incarnation):
            self._counters.add("heartbeats_late")
            in_use = self.current.instance_id if self.current is not None else None
            logs.event("deregistration_of_unused", instance=instance_id, in_use=in_use)
            return
        self._set_current(None, DEREGISTERED)

    def record_report(self, report: UpstreamReport) -> None:
        """Use the report in a response, which may tell that the upstream is leaving."""
        start = self._start
        if report.leaving and start is not None and start.sent(report):
            record = start.record
            self.record_departure(record.instance_id, record.incarnation, "response")

    def record_departure(self, instance_id: str, incarnation: int, cause: str) -> None:
        """Record that an upstream departed; it gets no new calls, whatever it reports later."""
        if incarnation == UNKNOWN_INCARNATION:
            incarnation = self._timers.wall_ms()
        self._departures.record(instance_id, incarnation)
        current = self.current
        if current is None or current.state is UpstreamState.LEAVING:
            return
        if current.instance_id == instance_id and current.incarnation <= incarnation:
            self._set_current(self._as_departed(current), cause)

    async def _on_departed(self, node_id: str, msg: UpstreamDeparted) -> None:
        self._counters.add("departures_told")
        self.record_departure(msg.instance_id, msg.incarnation, "told")

    def withdraw(self, data: bytes) -> None:
        """Drop the announcement; raises AnnouncementStale if `data` names another instance."""
        current = self.current
        withdrawn = parse_announcement(data) if data else current
        if withdrawn is None:
            return
        if current is not None and not _is_same_start(withdrawn, current):
            raise AnnouncementStale(detail=f"current instance is {current.instance_id}")
        # A probe may still find the upstream, which may go on serving for a while.
        self._departures.record(withdrawn.instance_id, withdrawn.incarnation)
        self._set_current(None, "withdrawn")

    def _expire(self) -> None:
        age_ms = self._timers.now_ms() - self._renewed_ms
        if self.current is not None and age_ms > self._cfg.upstream.announcement_ttl_ms:
            self._set_current(None, "expired")
        if (
            self._announced_departure is not None
            and age_ms > self._cfg.upstream.announcement_ttl_ms
        ):
            self._announced_departure = None
            self._membership.announce_local(self.current)

    def _set_current(
        self, record: UpstreamRecord | None, cause: str, cold_ms: float | None = None
    ) -> None:
        is_change = record != self.current
        if is_change:
            self._change_current(record, cause)
        if record is not None and cold_ms is not None:
            self._admission.record_heartbeat(record, cold_ms)
        elif is_change:
            self._admission.set_upstream(record)

    def _change_current(self, record: UpstreamRecord | None, cause: str) -> None:
        logged = record or self.current
        assert logged is not None
        self._counters.add("announcements", cause)
        logs.event(
            "announcement",
            cause=cause,
            service=logged.service,
            instance=logged.instance_id,
            incarnation=logged.incarnation,
            state=logged.state.value,
        )
        self._start = next_start(self._start, record, self._timers) if record is not None else None
        self.current = record
        # Other nodes learn that a deregistered upstream left, so that they do not use it if this
        # node restarts and finds it again.
        left = cause == DEREGISTERED
        self._announced_departure = self._as_departed(logged) if left else None
        self._membership.announce_local(self._announced_departure or record)

    def _as_departed(self, record: UpstreamRecord) -> UpstreamRecord:
        """Return the record of a departed upstream, with the highest incarnation that departed.

        Other nodes could not tell later that an unknown or a later incarnation is a departed one.
        """
        departed = self._departures.incarnation_of(record.instance_id)
        incarnation = max(record.incarnation, departed)
        return structs.replace(record, incarnation=incarnation, state=UpstreamState.LEAVING)

    def _describe_current(self) -> dict[str, object]:
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
        await conn.send_response(refusal.status, refusal_headers(refusal, "-", b""), [])


def _is_same_start(record: UpstreamRecord, other: UpstreamRecord | None) -> bool:
    return other is not None and record.is_same_start(other.instance_id, other.incarnation)


def _encode_json(value: dict[str, object]) -> bytes:
    return json.dumps(value).encode("utf-8")
