"""Calls under a slot lease, for which the entry node calls the upstream directly."""

from __future__ import annotations

from typing import Any

from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import NoLease, Outcome, PeerError, Refusal
from knapweedhitch.exchange import BodySource, CallSpec, ResponseSink
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.messages import (
    Ack,
    LeaseGrant,
    LeaseRenew,
    LeaseRequest,
    LeaseReturn,
    LeaseRevoke,
    LeaseUse,
)
from knapweedhitch.model import Address, CallResult
from knapweedhitch.peers import Peers
from knapweedhitch.supervisor import OnFault
from knapweedhitch.timers import Timers

LEASE_REQUEST_TIMEOUT_MS = 200.0
# A call that runs longer than this share of the lease lifetime sends a use notice to the target
# node, which then keeps the slot reserved.
USE_NOTICE_LIFETIME_RATIO = 0.5
MAX_PENDING_REQUESTS = 1_024


@service("direct")
class Direct:
    """Use slot leases of other nodes and grant leases of the local upstream."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._peers: Peers = kernel.get("peers")
        self._timers: Timers = kernel.get("timers")
        self._counters: Counters = kernel.get("counters")
        self._pending_requests: set[str] = set()
        self._pending_renewals = 0

    async def start(self) -> None:
        """Register the handlers for lease messages."""
        self._peers.handle(LeaseRequest, self._on_request)
        self._peers.handle(LeaseRenew, self._on_renew)
        self._peers.handle(LeaseReturn, self._on_return)
        self._peers.handle(LeaseUse, self._on_use)
        self._peers.handle(LeaseRevoke, self._on_revoke)
        if self._kernel.has("admission"):
            self._kernel.get("admission").on_revoke(self.revoke)

    async def stop(self) -> None:
        """Do nothing; leases expire."""

    # Entry side

    async def execute(
        self, node_id: str, spec: CallSpec, body: BodySource, sink: ResponseSink
    ) -> CallResult:
        """Run the call under a lease; raises NoLease if there is none, and Refusal."""
        leases = self._kernel.get("slotlease")
        address = self._target_address(spec)
        lease_id: int | None = leases.acquire(spec.instance_id) if address is not None else None
        if lease_id is None or address is None:
            self._request_leases(node_id, spec.instance_id)
            raise NoLease(f"instance={spec.instance_id}")
        # A failed or cancelled call has used its lease unless it was provably not run.
        used, result = True, CallResult(False, 0.0)
        started_ms = self._timers.now_ms()
        use_timer = self._timers.after(
            self._kernel.cfg.admission.lease_lifetime_ms * USE_NOTICE_LIFETIME_RATIO,
            lambda: self._notify_use(node_id, spec.instance_id, lease_id),
        )
        try:
            result = await self._kernel.get("pool").exchange(address, spec, body, sink)
            return result
        except Refusal as exc:
            used = exc.outcome is not Outcome.NOT_RUN
            raise
        finally:
            use_timer.cancel()
            elapsed_ms = self._timers.now_ms() - started_ms
            if not result.ok and not result.service_ms:
                result = CallResult(False, elapsed_ms, result.status)
            if self._may_retain(elapsed_ms, result) and leases.retain(spec.instance_id, lease_id):
                self._pending_renewals += 1
                self._kernel.start_task(
                    OnFault.END, self._renew, node_id, spec.instance_id, lease_id, result
                )
            elif not leases.release(spec.instance_id, lease_id, used=used):
                self._return_lease(node_id, spec.instance_id, lease_id, used, result)
            self._request_leases(node_id, spec.instance_id)

    def _may_retain(self, elapsed_ms: float, result: CallResult) -> bool:
        # Once the target has received a use notice, it counts the lease as used until its return.
        notice_ms = self._kernel.cfg.admission.lease_lifetime_ms * USE_NOTICE_LIFETIME_RATIO
        return (
            result.ok and elapsed_ms < notice_ms and self._pending_renewals < MAX_PENDING_REQUESTS
        )

    async def _renew(
        self, node_id: str, instance_id: str, lease_id: int, result: CallResult
    ) -> None:
        """Report the call to the target and renew the lease if the target grants it."""
        leases = self._kernel.get("slotlease")
        sent_ms = self._timers.now_ms()
        try:
            msg = LeaseRenew(instance_id, lease_id, result.ok, result.status, result.service_ms)
            grant = await self._peers.call(node_id, msg, LEASE_REQUEST_TIMEOUT_MS)
        except PeerError as exc:
            # The lease expires here before it expires at the target.
            self._counters.add("lease_renewals", type(exc).__name__)
            return
        finally:
            self._pending_renewals -= 1
        if not isinstance(grant, LeaseGrant) or grant.instance_id != instance_id:
            return
        self._counters.add("lease_renewals", "granted" if grant.lease_ids else "refused")
        self._record_load(instance_id, grant)
        if lease_id in grant.lease_ids:
            leases.record_renewal(instance_id, lease_id, grant.lifetime_ms, sent_ms)
        elif leases.record_withdrawal(instance_id, lease_id):
            self._return_lease(node_id, instance_id, lease_id, False, CallResult(True, 0.0))

    def _record_load(self, instance_id: str, grant: LeaseGrant) -> None:
        if grant.load is not None and self._kernel.has("picker"):
            self._kernel.get("picker").observe(instance_id, grant.load)

    def _notify_use(self, node_id: str, instance_id: str, lease_id: int) -> None:
        self._peers.send(node_id, LeaseUse(instance_id, lease_id))

    def _target_address(self, spec: CallSpec) -> Address | None:
        for target in self._kernel.get("membership").targets(spec.service):
            if target.upstream.instance_id == spec.instance_id and not target.draining:
                return target.upstream.address
        return None

    def _return_lease(
        self, node_id: str, instance_id: str, lease_id: int, used: bool, result: CallResult
    ) -> None:
        self._counters.add("lease_returns", "used" if used else "unused")
        msg = LeaseReturn(instance_id, lease_id, used, result.ok, result.status, result.service_ms)
        # A lost message is harmless, since the target frees the slot when the lease expires.
        self._peers.send(node_id, msg)

    def _request_leases(self, node_id: str, instance_id: str) -> None:
        wanted: int = self._kernel.get("slotlease").wanted_count(instance_id)
        if (
            wanted < 1
            or instance_id in self._pending_requests
            or len(self._pending_requests) >= MAX_PENDING_REQUESTS
        ):
            return
        self._pending_requests.add(instance_id)
        self._kernel.start_task(OnFault.END, self._send_request, node_id, instance_id, wanted)

    async def _send_request(self, node_id: str, instance_id: str, wanted: int) -> None:
        leases = self._kernel.get("slotlease")
        requested_ms = leases.record_request(instance_id)
        try:
            msg = LeaseRequest(instance_id, wanted)
            grant = await self._peers.call(node_id, msg, LEASE_REQUEST_TIMEOUT_MS)
        except PeerError as exc:
            # Leases of a lost grant expire unused at the target.
            self._counters.add("lease_requests", type(exc).__name__)
            return
        finally:
            self._pending_requests.discard(instance_id)
        if not isinstance(grant, LeaseGrant) or grant.instance_id != instance_id:
            return
        self._counters.add("lease_requests", "granted" if grant.lease_ids else "refused")
        self._record_load(instance_id, grant)
        # The lifetime starts at the request, so it ends here no later than at the target.
        for lease_id in leases.record_grant(
            instance_id, grant.lease_ids, grant.lifetime_ms, requested_ms
        ):
            self._return_lease(node_id, instance_id, lease_id, False, CallResult(True, 0.0))

    async def _on_revoke(self, node_id: str, msg: LeaseRevoke) -> Ack:
        self._counters.add("lease_revokes")
        for lease_id in self._kernel.get("slotlease").revoke(msg.instance_id):
            self._return_lease(node_id, msg.instance_id, lease_id, False, CallResult(True, 0.0))
        return Ack()

    # Target side

    def revoke(self, peer_ids: tuple[str, ...]) -> None:
        """Revoke the unused leases of peers; called by admission."""
        upstream = self._kernel.get("membership").own_member.upstream
        if upstream is None:
            return
        for peer_id in peer_ids:
            self._peers.send(peer_id, LeaseRevoke(upstream.instance_id))

    async def _on_request(self, node_id: str, msg: LeaseRequest) -> LeaseGrant:
        upstream = self._kernel.get("membership").own_member.upstream
        lifetime_ms = float(self._kernel.cfg.admission.lease_lifetime_ms)
        if upstream is None or upstream.instance_id != msg.instance_id:
            return LeaseGrant(msg.instance_id, (), lifetime_ms, None)
        admission: Any = self._kernel.get("admission")
        limit = self._kernel.cfg.admission.max_leases_per_peer
        lease_ids = tuple(admission.grant_leases(node_id, max(0, min(msg.wanted, limit))))
        if self._kernel.has("loadreports"):
            self._kernel.get("loadreports").record_interest(node_id)
        return LeaseGrant(msg.instance_id, lease_ids, lifetime_ms, admission.load())

    async def _on_renew(self, node_id: str, msg: LeaseRenew) -> LeaseGrant:
        lifetime_ms = float(self._kernel.cfg.admission.lease_lifetime_ms)
        admission: Any = self._kernel.get("admission")
        result = CallResult(msg.ok, max(0.0, msg.service_ms), msg.status)
        renewed = admission.renew_lease(node_id, msg.lease_id, result)
        if self._kernel.has("loadreports"):
            self._kernel.get("loadreports").record_interest(node_id)
        lease_ids = (msg.lease_id,) if renewed else ()
        return LeaseGrant(msg.instance_id, lease_ids, lifetime_ms, admission.load())

    async def _on_return(self, node_id: str, msg: LeaseReturn) -> Ack:
        result = CallResult(msg.ok, max(0.0, msg.service_ms), msg.status)
        self._kernel.get("admission").record_lease_return(msg.lease_id, msg.used, result)
        return Ack()

    async def _on_use(self, node_id: str, msg: LeaseUse) -> Ack:
        self._kernel.get("admission").record_lease_use(msg.lease_id)
        return Ack()
