"""The configuration view of a node: how it gets new versions and proves that it is current."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Sequence

import trio

from knapweedhitch import configuration, logs
from knapweedhitch.budget import TokenBucket
from knapweedhitch.changes import decode_stamped
from knapweedhitch.exceptions import ChangeError, CodecError, PeerError
from knapweedhitch.feedsource import Subscribers
from knapweedhitch.history import ConfigurationMachine, HistoryRecord
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.messages import FeedPoll, FeedPush, FeedReply, VersionReport
from knapweedhitch.model import Configuration
from knapweedhitch.raftstate import now_ms

MAX_POLLS_IN_FLIGHT = 4
SOURCES_PER_POLL = 3
# Polls per poll interval shortly before and after the end of the lease.
HURRY = 5
PEERS_PER_POLL = 2
MAX_BODY_BYTES = 262_144
WHOLE_STATE = -1
PROOF_POLL_MS = 10.0


@service("config")
class Feed:
    """Hold the current configuration and the moment at which it was proved to be current."""

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
        self._preferred = ""
        self._avoid_until_ms: dict[str, float] = {}
        self._polling: set[str] = set()
        self._polls = 0
        self._report_is_due = False
        self._needs_state = False
        lines = kernel.cfg.log.max_lines_per_s
        self._log_budget = TokenBucket(lines, lines, now_ms)

    async def start(self) -> None:
        """Start polling and serving."""
        self._timers = self._kernel.get("timers")
        self._counters = self._kernel.get("counters")
        self._peers = self._kernel.get("peers")
        self._control = self._kernel.get("control") if self._kernel.has("control") else None
        is_control = self._machine is not None
        # An ordinary node relays to a few nodes only, to stay within its 3 KB/s.
        limit = self._cfg.max_subscribers if is_control else self._cfg.max_relay_subscribers
        self._subscribers = Subscribers(self._cfg, limit, self._peers, self._counters)
        self._peers.handle(FeedPoll, self._on_poll)
        self._peers.handle(FeedPush, self._on_push)
        if self._machine is not None:
            self._machine.subscribe(self._on_accepted)
        self._kernel.nursery.start_soon(self._subscribers.run)
        # The proof of a control instance ages every other proof; its polls are few.
        interval_ms = self._kernel.cfg.control.heartbeat_ms if is_control else 0
        self._timers.every(interval_ms or self._cfg.poll_interval_ms, self._tick, jitter=0.1)
        self._timers.every(self._cfg.poll_interval_ms / HURRY, self._hurry, jitter=0.1)
        self._timers.every(self._cfg.report_interval_ms, self._schedule_report, jitter=0.2)
        self._tick()

    async def stop(self) -> None:
        """Do nothing; the tasks end with the kernel."""

    @property
    def _machine(self) -> ConfigurationMachine | None:
        return None if self._control is None else self._control.machine

    def age_ms(self) -> float | None:
        """Return the age in milliseconds of the proof that the state is current, else None."""
        return None if self._proof_ms is None else now_ms() - self._proof_ms

    def is_fresh(self) -> bool:
        """Tell whether the proof is younger than the lease."""
        age_ms = self.age_ms()
        return age_ms is not None and age_ms <= self._cfg.config_lease_ms

    def may_serve(self) -> bool:
        """Tell whether new work may start under the current configuration."""
        return self.is_fresh() or (self._cfg.serve_stale and self.current.version > 0)

    async def wait_for_proof(self, timeout_ms: float) -> bool:
        """Wait until the state is proved to hold every change accepted before this call."""
        asked_ms = now_ms()
        while self._proof_ms is None or self._proof_ms < asked_ms:
            if now_ms() - asked_ms >= timeout_ms:
                return False
            await trio.sleep(PROOF_POLL_MS / 1_000)
        return True

    def subscribe(self, fn: Callable[[Configuration], None]) -> None:
        """Call fn with each new configuration."""
        self._subscriptions.append(fn)

    # The own replica

    def _on_accepted(self, record: HistoryRecord) -> None:
        self._take_local()

    def _take_local(self) -> bool:
        """Take state and proof of the own replica; return whether it has a proof."""
        if self._machine is None:
            return False
        replica = self._control.replica if self._control is not None else None
        if replica is None or not self._same_group(replica.group_id):
            return False
        self.group_id = replica.group_id
        ahead = self._machine.current.version - self.current.version
        if ahead > 0:
            bodies = self._machine.bodies_since(self.current.version, ahead) or ()
            self._advance(self._machine.current, bodies)
        asked_ms = now_ms()
        age_ms = replica.freshness_age_ms()
        if age_ms is None or ahead < 0:
            return False
        # Dated to the moment before the question, so that no time passes uncounted.
        self._prove(asked_ms - age_ms)
        return True

    # Polling

    def _tick(self) -> None:
        if not self._take_local():
            self._poll_soon()

    def _hurry(self) -> None:
        """Poll more often around the end of the lease, as a new leader may just have a proof.

        A node that may serve without proof polls as often until it has learnt any state.
        """
        age_ms, lease_ms = self.age_ms(), self._cfg.config_lease_ms
        if self._cfg.serve_stale and not self.current.version:
            self._poll_soon()
            return
        # Bounded in time, so that a majority lost for long does not raise the load of polls.
        if age_ms is not None and 0.75 * lease_ms < age_ms < 1.25 * lease_ms:
            self._poll_soon()

    def _poll_soon(self) -> None:
        if self._polls < MAX_POLLS_IN_FLIGHT:
            self._kernel.nursery.start_soon(self._poll_sources)

    async def _poll_sources(self) -> None:
        self._polls += 1
        try:
            for source in self._sources()[:SOURCES_PER_POLL]:
                if await self._poll(source):
                    self._preferred = source
                    return
        finally:
            self._polls -= 1

    def _sources(self) -> list[str]:
        """Return the sources to ask, best first: the last good one, control instances, peers."""
        now = now_ms()
        self._avoid_until_ms = {n: t for n, t in self._avoid_until_ms.items() if t > now}
        control = self._control_ids()
        self._rng.shuffle(control)
        leader = self._control.leader_id if self._control is not None else None
        order = [leader or "", self._preferred, *control, *self._some_peers()]
        usable = [n for n in dict.fromkeys(order) if n and n != self.node_id]
        good = [n for n in usable if n not in self._avoid_until_ms and n not in self._polling]
        return good or [n for n in usable if n not in self._polling]

    def _control_ids(self) -> list[str]:
        if self._kernel.has("membership"):
            return list(self._kernel.get("membership").control_ids())
        return [member.id for member in self._kernel.cfg.control.members]

    def _some_peers(self) -> list[str]:
        if not self._kernel.has("membership"):
            return []
        names = list(self._kernel.get("membership").members())
        return self._rng.sample(names, min(PEERS_PER_POLL, len(names)))

    async def _poll(self, source: str) -> bool:
        """Return whether the source gave a recent proof."""
        sent_ms = now_ms()
        version = WHOLE_STATE if self._needs_state else self.current.version
        self._polling.add(source)
        try:
            msg = FeedPoll(version, True)
            reply = await self._peers.call(source, msg, self._cfg.call_timeout_ms)
        except PeerError as exc:
            self._counters.add("feed_poll_failed", type(exc).__name__)
            reply = None
        finally:
            self._polling.discard(source)
        # Nodes that poll each other give ever older proofs; a source whose proof is old is used but
        # not kept.
        oldest_ms = self._cfg.config_lease_ms / 2
        if (
            isinstance(reply, FeedReply)
            and self._take_reply(reply, sent_ms)
            and reply.age_ms <= oldest_ms
        ):
            return True
        self._avoid_until_ms[source] = now_ms() + 2 * self._cfg.poll_interval_ms
        if self._preferred == source:
            self._preferred = ""
        return False

    def _take_reply(self, reply: FeedReply, sent_ms: float) -> bool:
        has_proof = reply.age_ms >= 0.0
        if not (has_proof or self._cfg.serve_stale) or not self._same_group(reply.group_id):
            return False
        try:
            if reply.state:
                cfg = configuration.from_state(reply.state, self._cfg.max_state_bytes)
                if cfg.version > self.current.version:
                    self._bodies.clear()
                    self._advance(cfg, ())
                self._needs_state = False
            else:
                self._apply(reply.version - len(reply.changes), reply.changes)
        except (ChangeError, CodecError) as exc:
            self._refuse(exc)
            return False
        if self.current.version < reply.version:
            return False
        self.group_id = reply.group_id
        if not has_proof:
            return False
        # Dated to the moment of sending: neither a late reply nor another clock can make this
        # node look fresher than it is.
        self._prove(sent_ms - reply.age_ms)
        return True

    def _same_group(self, group_id: str) -> bool:
        if group_id and self.group_id in ("", group_id):
            return True
        if group_id:
            # A group that was formed anew counts versions from 0; following it would be a revert.
            self._counters.add("feed_foreign_group")
        return False

    def _refuse(self, exc: Exception) -> None:
        self._needs_state = True
        self._counters.add("feed_refused", type(exc).__name__)
        logs.warning("feed_refused", node=self.node_id, error=type(exc).__name__, detail=exc)

    def _prove(self, at_ms: float) -> None:
        if self._proof_ms is None or at_ms > self._proof_ms:
            self._proof_ms = at_ms

    # New versions

    def _apply(self, from_version: int, bodies: Sequence[bytes]) -> None:
        """Apply the changes that are new here; raises InvalidChange, CodecError."""
        known = self.current.version - from_version
        if known < 0 or known >= len(bodies):
            return
        cfg = self.current
        for body in bodies[known:]:
            cfg = configuration.apply_accepted(cfg, decode_stamped(body))
        self._advance(cfg, bodies[known:])

    def _advance(self, cfg: Configuration, bodies: Sequence[bytes]) -> None:
        if cfg.version <= self.current.version:
            self._counters.add("feed_revert_refused")
            raise AssertionError(f"version {cfg.version} after {self.current.version}")
        before, self.current = self.current.version, cfg
        self._counters.add("feed_advances")
        self._counters.gauge("config_version", cfg.version)
        if self._log_budget.take():
            routes = len(cfg.items.routes)
            logs.event(
                "config", node=self.node_id, before=before, version=cfg.version, routes=routes
            )
        if len(bodies) == cfg.version - before:
            self._bodies.extend(bodies)
            self._subscribers.push(FeedPush(self.group_id, before, tuple(bodies)))
        else:
            self._bodies.clear()
        for fn in self._subscriptions:
            fn(cfg)
        self._schedule_report()

    async def _on_push(self, node_id: str, msg: FeedPush) -> None:
        # Without a proof this node cannot know whether the push is from its own group.
        if not self.group_id or not self._same_group(msg.group_id):
            return
        if msg.from_version > self.current.version:
            self._counters.add("feed_push_gap")
            self._poll_soon()
            return
        try:
            self._apply(msg.from_version, msg.changes)
        except (ChangeError, CodecError) as exc:
            self._refuse(exc)

    # Serving

    async def _on_poll(self, node_id: str, msg: FeedPoll) -> FeedReply:
        self._take_local()
        age_ms = self.age_ms()
        if not self.group_id:
            return FeedReply(self.group_id, self.current.version, -1.0, (), b"")
        if age_ms is None or not self.is_fresh():
            # A restarted node that reaches no fresh one still learns the state that is known here.
            known = self._since(msg.version) if self._cfg.serve_stale else ((), b"")
            return FeedReply(self.group_id, self.current.version, -1.0, *known)
        lag = self.current.version - msg.version
        if not self._subscribers.admit(node_id, lag, subscribe=msg.subscribe):
            return FeedReply(self.group_id, self.current.version, -1.0, (), b"")
        bodies, state = self._since(msg.version)
        self._counters.add("feed_polls_served", "state" if state else "")
        return FeedReply(self.group_id, self.current.version, age_ms, bodies, state)

    def _since(self, version: int) -> tuple[tuple[bytes, ...], bytes]:
        missing = self.current.version - version
        if missing <= 0:
            return (), b""
        if version >= 0 and missing <= len(self._bodies):
            bodies = tuple(self._bodies[i] for i in range(-missing, 0))
            if sum(map(len, bodies)) <= MAX_BODY_BYTES:
                return bodies, b""
        return (), configuration.to_state(self.current)

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
                    self._control.note_report(msg)
                continue
            try:
                self._peers.send(node_id, msg)
            except PeerError as exc:
                self._counters.add("feed_report_failed", type(exc).__name__)
