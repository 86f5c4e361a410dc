"""Micro-kernel that starts services in order and looks them up by name."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

import trio

from knapweedhitch.exceptions import DuplicateRegistration, DuplicateService, UnknownService
from knapweedhitch.supervisor import OnFault, Supervisor, Task

if TYPE_CHECKING:
    from knapweedhitch.settings import Settings

START_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 5.0


class Service(Protocol):
    """Define the interface of services, which the kernel starts and stops."""

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


ServiceFactory = Callable[["Kernel"], Service]
T = TypeVar("T", bound=type)

_factories: dict[str, ServiceFactory] = {}


def service(name: str) -> Callable[[T], T]:
    """Register a class as the factory of the named service; raises DuplicateRegistration."""

    def register(cls: T) -> T:
        if name in _factories:
            raise DuplicateRegistration(f"service {name} is registered twice")
        _factories[name] = cls
        return cls

    return register


def registered_services() -> frozenset[str]:
    """Return the names of all registered service factories."""
    return frozenset(_factories)


class Kernel:
    """Manage the services of one process and the nursery of their tasks."""

    def __init__(self, cfg: Settings) -> None:
        self.cfg = cfg
        self._services: dict[str, Any] = {}
        self._order: list[str] = []
        self._nursery: trio.Nursery | None = None
        self.supervisor = Supervisor(self)

    @property
    def nursery(self) -> trio.Nursery:
        """Return the nursery for background tasks; raises UnknownService before `run`."""
        if self._nursery is None:
            raise UnknownService("the kernel is not running")
        return self._nursery

    def start_task(self, on_fault: OnFault, fn: Task, *args: object) -> None:
        """Start a background task; raises UnknownService before `run`."""
        self.nursery.start_soon(self.supervisor.run, on_fault, fn, *args)

    def add(self, name: str, instance: object) -> None:
        """Add a service object under a name; raises DuplicateService."""
        if name in self._services:
            raise DuplicateService(f"service {name} already exists")
        self._services[name] = instance
        self._order.append(name)

    def get(self, name: str) -> Any:
        """Return the named service; raises UnknownService."""
        try:
            return self._services[name]
        except KeyError:
            raise UnknownService(f"unknown service {name}") from None

    def has(self, name: str) -> bool:
        """Return whether the named service exists."""
        return name in self._services

    def build(self, names: Sequence[str]) -> None:
        """Construct the named services in order; raises UnknownService.

        An entry `name=factory` builds the service under a name other than that of its factory.
        """
        for entry in names:
            name, _, factory = entry.partition("=")
            factory = factory or name
            if factory not in _factories:
                raise UnknownService(f"unknown service factory {factory}")
            self.add(name, _factories[factory](self))

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all services in the order of construction; raises trio.TooSlowError."""
        self._nursery = nursery
        for name in self._order:
            with trio.fail_after(START_TIMEOUT_S):
                await self._services[name].start()

    async def stop(self) -> None:
        """Stop all services in reverse order, each within STOP_TIMEOUT_S."""
        for name in reversed(self._order):
            with trio.move_on_after(STOP_TIMEOUT_S):
                await self._services[name].stop()

    async def run(
        self,
        names: Sequence[str],
        *,
        task_status: trio.TaskStatus[Kernel] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Build and start the named services, then run until cancelled."""
        self.build(names)
        async with trio.open_nursery() as nursery:
            await self.start(nursery)
            task_status.started(self)
            try:
                await trio.sleep_forever()
            finally:
                with trio.CancelScope(shield=True):
                    await self.stop()
                nursery.cancel_scope.cancel()
