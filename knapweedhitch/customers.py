"""Identification of the customer that sent a request, by its key."""

from __future__ import annotations

import dataclasses

from knapweedhitch.exceptions import CustomerKeyMissing, CustomerKeyUnknown, RunEnded
from knapweedhitch.exchange import CallSpec
from knapweedhitch.items import CustomerItem, Items, RouteItem


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """Describe who sent a request: the customer of its key, or a run of the local upstream."""

    customer: CustomerItem | None = None
    run: CallSpec | None = None

    @property
    def customer_name(self) -> str:
        """Return the customer of the key, or else that of the run; empty without one."""
        if self.customer is not None:
            return self.customer.name
        return "" if self.run is None else self.run.customer

    @property
    def is_nested(self) -> bool:
        """Return whether a run makes the request and no key came with it."""
        return self.customer is None and self.run is not None

    @property
    def kind(self) -> str:
        """Return the reason of a counter, which must not grow with the number of customers."""
        if self.customer is not None:
            return "customer"
        return "anonymous" if self.run is None else "run"

    def priority(self, route: RouteItem) -> int:
        """Return the priority of a request, 0 being the most urgent."""
        if self.customer is None or self.customer.priority is None:
            return route.priority
        return self.customer.priority


class CustomerTable:
    """Find the customer of a key under one version of the items."""

    def __init__(self, items: Items) -> None:
        self._by_key = {
            key.encode(): customer for customer in items.customers.values() for key in customer.keys
        }
        # The removal of the last customer must not open the routes to everybody.
        self.requires_keys = bool(items.customers or items.removed_customers)

    def identify(
        self, key: bytes, route: RouteItem, run: CallSpec | None, *, is_nested: bool
    ) -> Sender:
        """Return the sender of a request; raises CustomerKeyMissing, CustomerKeyUnknown, RunEnded.

        `is_nested` tells that a run of the local upstream makes the request, which needs no key
        then, and `run` is that run while it is in progress.
        """
        sender = Sender(self._by_key.get(key), run)
        if sender.customer is not None or route.allow_anonymous or not self.requires_keys:
            return sender
        if key:
            raise CustomerKeyUnknown
        if not is_nested:
            raise CustomerKeyMissing
        if run is None:
            raise RunEnded
        return sender
