"""The configuration feed of a node: new versions and the proof that they are current."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Mapping, Sequence

import trio
from msgspec import structs

from knapweedhitch import configuration, logs
from knapweedhitch.boundedlog import BoundedLog
from knapweedhitch.changes import decode_stamped
from knapweedhitch.clock import now_ms
from knapweedhitch.codec import Message
from knapweedhitch.exceptions import ChangeError, CodecError, PeerError
from knapweedhitch.feedsource import Subscribers
from knapweedhitch.feedstate import StateReceiver, StateSource
from knapweedhitch.history import ConfigurationMachine, HistoryRecord
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.messages import FeedPoll, FeedPush, FeedReply, VersionReport
from knapweedhitch.model import Configuration, DomainStatus
from knapweedhitch.pollsources import PollSources
from knapweedhitch.supervisor import OnFault

MAX_POLLS_IN_FLIGHT = 4
SOURCES_PER_POLL = 3
# Part of the configuration lease after which a proof counts as old.
OLD_PROOF_RATIO = 0.75
# Applies shortly before and after the configuration lease expires.
POLLS_PER_INTERVAL_NEAR_EXPIRY = 5
PEERS_PER_POLL = 2
MAX_CHANGES_BYTES = 262_144
FULL_STATE_VERSION = -1
PROOF_CHECK_INTERVAL_MS = 10.0
# Failed calls for one part of a state after which it is fetched from another source.
MAX_PART_FAILURES = 3


@service("config")
class Feed:
    """Track the current configuration and the time up to which it is proved current."""

    def __init__(self, kernel: Kernel, rng: random.Random | None = None) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.feed
        self._rng = rng or random.Random()
        self.node_id = kernel.cfg.node.id
        self.current = Configuration()
        self.group_id = ""
        self._proof_ms: float | None = None
        self._bodies: deque[bytes] = deque(maxlen=self._cfg.max_changes_per_reply)
        self._subscriptions: list[Callable[[Configuration], None]] = []
        self._sources = PollSources(self._cfg, self.node_id)
        self._polls_in_flight = 0
        self._report_is_due = False
        self._needs_state = False
        self._state_source = StateSource()
        # Whether a state is being fetched in parts; copies from several sources would share a link.
        self._is_fetching = False

    async def start(self) -> None:
        """Start polling and serving."""
        self._timers = self._kernel.get("timers")
        self._counters = self._kernel.get("counters")
        self._log = BoundedLog(self._kernel.cfg.log, self._counters, now_ms)
        self._peers = self._kernel.get("peers")
        self._control = self._kernel.get("control") if self._kernel.has("control") else None
        is_control = self._machine is not None
        # Nodes other than control instances relay to few nodes, to stay within their 3 KB/s.
        limit = self._cfg.max_subscribers if is_control else self._cfg.max_relay_subscribers
        self._subscribers = Subscribers(self._cfg, limit, self._peers, self._counters)
        self._peers.handle(FeedPoll, self._on_poll)
        self._peers.handle(FeedPush, self._on_push)
        if self._machine is not None:
            self._machine.subscribe(self._on_accepted)
        self._kernel.start_task(OnFault.RESTART, self._subscribers.run)
        # Every other proof is older than the one of its control instance, so control instances
        # poll at the shorter heartbeat interval; as they are few, that costs little.
        interval_ms = self._kernel.cfg.control.heartbeat_ms if is_control else 0
        self._timers.every(
            interval_ms or self._cfg.poll_interval_ms, self._tick, jitter=0.1, align=True
        )
        self._timers.every(
            self._cfg.poll_interval_ms / POLLS_PER_INTERVAL_NEAR_EXPIRY,
            self._poll_near_expiry,
            jitter=0.1,
            align=True,
        )
        self._timers.every(
            self._cfg.report_interval_ms, self._schedule_report, jitter=0.2, align=True
        )
        self._tick()

    async def stop(self) -> None:
        """Do nothing; the kernel cancels the tasks."""

    @property
    def _machine(self) -> ConfigurationMachine | None:
        return None if self._control is None else self._control.machine

    def age_ms(self) -> float | None:
        """Return the age of the proof that the state is current, None without a proof."""
        return None if self._proof_ms is None else now_ms() - self._proof_ms

    def is_fresh(self) -> bool:
        """Return whether the proof is within the configuration lease."""
        age_ms = self.age_ms()
        return age_ms is not None and age_ms <= self._cfg.config_lease_ms

    def may_serve(self) -> bool:
        """Return whether new requests may start under the current configuration."""
        return self.is_fresh() or (self._cfg.serve_stale and self.current.version > 0)

    async def wait_for_proof(self, timeout_ms: float) -> bool:
        """Wait until the state is proved to include every change accepted before this call.

        Return False on timeout.
        """
        start_ms = now_ms()
        while self._proof_ms is None or self._proof_ms < start_ms:
            if now_ms() - start_ms >= timeout_ms:
                return False
            await trio.sleep(PROOF_CHECK_INTERVAL_MS / 1_000)
        return True

    def subscribe(self, fn: Callable[[Configuration], None]) -> None:
        """Register a callback for each new configuration."""
        self._subscriptions.append(fn)

    # Local replica

    def _on_accepted(self, record: HistoryRecord) -> None:
        self._refresh_from_replica()

    def _refresh_from_replica(self) -> bool:
        """Update state and proof from the local replica and return whether it has a proof."""
        if self._machine is None:
            return False
        replica = self._control.replica if self._control is not None else None
        if replica is None or not self._is_same_group(replica.group_id):
            return False
        self.group_id = replica.group_id
        ahead = self._machine.current.version - self.current.version
        if ahead > 0:
            bodies = self._machine.bodies_since(self.current.version, ahead) or ()
            self._advance(self._machine.current, bodies)
        start_ms = now_ms()
        age_ms = replica.freshness_age_ms()
        if age_ms is None or ahead < 0:
            return False
        # The time is taken before the age is read, so that the proof never looks too recent.
        self._update_proof(start_ms - age_ms)
        return True

    # Polling

    def _tick(self) -> None:
        self._state_source.drop_unused()
        if not self._refresh_from_replica():
            self._poll_soon()

    def _poll_near_expiry(self) -> None:
        """Poll more often around the lease expiry, because a new leader may have a proof by then.

        A node that may serve without a proof polls as often until it has any state.
        """
        age_ms, lease_ms = self.age_ms(), self._cfg.config_lease_ms
        if self._cfg.serve_stale and not self.current.version:
            self._poll_soon()
            return
        # Bounded in time, so that a long loss of the quorum does not keep the poll rate high.
        if age_ms is not None and OLD_PROOF_RATIO * lease_ms < age_ms < 1.25 * lease_ms:
            self._poll_soon()

    def _poll_soon(self) -> None:
        if self._polls_in_flight < MAX_POLLS_IN_FLIGHT and not self._is_fetching:
            self._kernel.start_task(OnFault.END, self._poll_sources)

    async def _poll_sources(self) -> None:
        self._polls_in_flight += 1
        try:
            for source in self._sources_in_order()[:SOURCES_PER_POLL]:
                if await self._poll(source):
                    self._sources.record_proof(source)
                    return
        finally:
            self._polls_in_flight -= 1

    def _sources_in_order(self) -> list[str]:
        control = self._control_ids()
        self._rng.shuffle(control)
        leader = self._control.leader_id if self._control is not None else None
        return self._sources.in_order(
            leader or "", control, self._sample_peers(), has_old_proof=self._has_old_proof()
        )

    def _has_old_proof(self) -> bool:
        age_ms = self.age_ms()
        return age_ms is not None and age_ms > OLD_PROOF_RATIO * self._cfg.config_lease_ms

    def _control_ids(self) -> list[str]:
        if self._kernel.has("membership"):
            return list(self._kernel.get("membership").control_ids())
        return [member.id for member in self._kernel.cfg.control.members]

    def _sample_peers(self) -> list[str]:
        if not self._kernel.has("membership"):
            return []
        names = list(self._kernel.get("membership").members())
        return self._rng.sample(names, min(PEERS_PER_POLL, len(names)))

    async def _poll(self, source: str) -> bool:
        """Poll a source, apply its reply and return whether it gave a recent proof."""
        with self._sources.polling(source):
            reply, has_proof = await self._poll_once(source)
            if reply is not None and reply.state_version == self.current.version < reply.version:
                # Changes have been accepted since the state was encoded.
                reply, has_proof = await self._poll_once(source)
        # Nodes that poll each other give ever older proofs, so a source with an old proof is used
        # but not preferred.
        max_age_ms = self._cfg.config_lease_ms / 2
        if reply is not None and has_proof and reply.age_ms <= max_age_ms:
            return True
        self._sources.record_no_proof(source)
        return False

    async def _poll_once(self, source: str) -> tuple[FeedReply | None, bool]:
        """Apply the reply of a source; return it, and whether it proves the state to be current."""
        version = FULL_STATE_VERSION if self._needs_state else self.current.version
        sent_ms, reply = await self._call(source, FeedPoll(version, True, 0))
        if isinstance(reply, FeedReply) and reply.state_bytes > len(reply.state):
            sent_ms, reply = await self._fetch_state(source, version, sent_ms, reply)
        if not isinstance(reply, FeedReply):
            return None, False
        return reply, self._apply_reply(reply, sent_ms)

    async def _call(self, source: str, msg: FeedPoll) -> tuple[float, Message | None]:
        """Return when a poll was sent and its reply, None without one."""
        sent_ms = now_ms()
        try:
            return sent_ms, await self._peers.call(source, msg, self._cfg.call_timeout_ms)
        except PeerError as exc:
            self._counters.add("feed_poll_failed", type(exc).__name__)
            return sent_ms, None

    async def _fetch_state(
        self, source: str, version: int, sent_ms: float, first: FeedReply
    ) -> tuple[float, Message | None]:
        """Fetch the other parts of a state; return when the first was asked for, and the whole.

        Return None in its place if another state is being fetched or the source fails.
        """
        if self._is_fetching:
            return sent_ms, None
        self._is_fetching = True
        try:
            receiver, n_failures = StateReceiver(self._cfg.max_state_bytes), 0
            state = receiver.add(first)
            while state is None:
                msg = FeedPoll(version, True, receiver.offset, receiver.version)
                part = (await self._call(source, msg))[1]
                # A source that has lost its proof replies without a part.
                if isinstance(part, FeedReply) and part.state:
                    n_failures, state = 0, receiver.add(part)
                    continue
                n_failures += 1
                if n_failures >= MAX_PART_FAILURES:
                    return sent_ms, None
            self._counters.add("feed_states_fetched")
            return sent_ms, structs.replace(first, state=state)
        except CodecError as exc:
            self._record_refusal(exc)
            return sent_ms, None
        finally:
            self._is_fetching = False

    def _apply_reply(self, reply: FeedReply, sent_ms: float) -> bool:
        has_proof = reply.age_ms >= 0.0
        if not (has_proof or self._cfg.serve_stale) or not self._is_same_group(reply.group_id):
            return False
        try:
            if reply.state:
                cfg = configuration.from_state(reply.state, self._cfg.max_state_bytes)
                if cfg.version > self.current.version:
                    self._bodies.clear()
                    self._advance(cfg, ())
                self._needs_state = False
            else:
                self._apply_changes(reply.version - len(reply.changes), reply.changes)
        except (ChangeError, CodecError) as exc:
            self._record_refusal(exc)
            return False
        if self.current.version < reply.version:
            return False
        self.group_id = reply.group_id
        if not has_proof:
            return False
        # The proof counts from the time of sending, so that neither a late reply nor clock skew
        # can make this node look fresher than it is.
        self._update_proof(sent_ms - reply.age_ms)
        return True

    def _is_same_group(self, group_id: str) -> bool:
        if group_id and self.group_id in ("", group_id):
            return True
        if group_id:
            # A newly formed group counts versions from 0; following it would revert the state.
            self._counters.add("feed_foreign_group")
        return False

    def _record_refusal(self, exc: Exception) -> None:
        self._needs_state = True
        self._counters.add("feed_refused", type(exc).__name__)
        logs.warning("feed_refused", node=self.node_id, error=type(exc).__name__, detail=exc)

    def _update_proof(self, at_ms: float) -> None:
        if self._proof_ms is None or at_ms > self._proof_ms:
            self._proof_ms = at_ms

    # New versions

    def _apply_changes(self, from_version: int, bodies: Sequence[bytes]) -> None:
        """Apply the changes that are newer than the current version.

        Raises InvalidChange, CodecError.
        """
        n_known = self.current.version - from_version
        if n_known < 0 or n_known >= len(bodies):
            return
        cfg = self.current
        for body in bodies[n_known:]:
            cfg = configuration.apply_accepted(cfg, decode_stamped(body))
        self._advance(cfg, bodies[n_known:])

    def _advance(self, cfg: Configuration, bodies: Sequence[bytes]) -> None:
        if cfg.version <= self.current.version:
            self._counters.add("feed_revert_refused")
            raise AssertionError(f"version {cfg.version} after {self.current.version}")
        domains, before, self.current = self.current.domains, self.current.version, cfg
        self._counters.add("feed_advances")
        self._counters.gauge("config_version", cfg.version)
        routes = len(cfg.items.routes)
        self._log.event(
            "config", node=self.node_id, before=before, version=cfg.version, routes=routes
        )
        self._log_domains(domains)
        if len(bodies) == cfg.version - before:
            self._bodies.extend(bodies)
            self._subscribers.push(FeedPush(self.group_id, before, tuple(bodies)))
        else:
            self._bodies.clear()
        for fn in self._subscriptions:
            fn(cfg)
        self._schedule_report()

    def _log_domains(self, before: Mapping[str, DomainStatus]) -> None:
        """Log each domain whose status has changed, so that logs tell which node knew it when."""
        for name, status in self.current.domains.items():
            if status != before.get(name):
                self._log.event(
                    "domain_status",
                    node=self.node_id,
                    domain=name,
                    out=int(status.out),
                    version=status.version,
                )

    async def _on_push(self, node_id: str, msg: FeedPush) -> None:
        # Until its group id is known, this node cannot tell whether the push is from its own group.
        if not self.group_id or not self._is_same_group(msg.group_id):
            return
        if msg.from_version > self.current.version:
            self._counters.add("feed_push_gap")
            self._poll_soon()
            return
        try:
            self._apply_changes(msg.from_version, msg.changes)
        except (ChangeError, CodecError) as exc:
            self._record_refusal(exc)

    # Serving

    async def _on_poll(self, node_id: str, msg: FeedPoll) -> FeedReply:
        self._refresh_from_replica()
        age_ms = self.age_ms()
        if not self.group_id:
            return FeedReply(self.group_id, self.current.version, -1.0, (), b"")
        if age_ms is None or not self.is_fresh():
            # A restarted node that reaches no fresh node still gets the state known here.
            if self._cfg.serve_stale:
                return self._reply_to(msg, -1.0)
            return FeedReply(self.group_id, self.current.version, -1.0, (), b"")
        lag = self.current.version - msg.version
        if not self._subscribers.admit(node_id, lag, subscribe=msg.subscribe):
            return FeedReply(self.group_id, self.current.version, -1.0, (), b"")
        reply = self._reply_to(msg, age_ms)
        self._counters.add("feed_polls_served", "state" if reply.state else "")
        return reply

    def _reply_to(self, msg: FeedPoll, age_ms: float) -> FeedReply:
        """Return a reply with the changes that a node misses, or a part of the state."""
        bodies = None if msg.offset > 0 else self._changes_since(msg.version)
        if bodies is not None:
            return FeedReply(self.group_id, self.current.version, age_ms, bodies, b"")
        part = self._state_source.part(
            msg, self.current, lambda version: self._changes_since(version) is not None
        )
        return FeedReply(self.group_id, self.current.version, age_ms, (), *part)

    def _changes_since(self, version: int) -> tuple[bytes, ...] | None:
        """Return the changes after a version, None if they are not at hand or too long."""
        missing = self.current.version - version
        if missing <= 0:
            return ()
        if version < 0 or missing > len(self._bodies):
            return None
        bodies = tuple(self._bodies[i] for i in range(-missing, 0))
        return bodies if sum(map(len, bodies)) <= MAX_CHANGES_BYTES else None

    # Reports

    def _schedule_report(self) -> None:
        if not self._report_is_due:
            self._report_is_due = True
            self._timers.after(self._rng.random() * self._cfg.report_delay_ms, self._report)

    def _report(self) -> None:
        self._report_is_due = False
        age_ms = self.age_ms()
        msg = VersionReport(self.node_id, self.current.version, -1.0 if age_ms is None else age_ms)
        for node_id in self._control_ids():
            if node_id == self.node_id:
                if self._control is not None:
                    self._control.record_report(msg)
                continue
            try:
                self._peers.send(node_id, msg)
            except PeerError as exc:
                self._counters.add("feed_report_failed", type(exc).__name__)
