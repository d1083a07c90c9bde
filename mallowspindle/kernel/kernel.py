"""Starts, drains and stops the registered services."""

import logging
import time
from graphlib import CycleError, TopologicalSorter
from typing import TypeVar

from mallowspindle.config.daemon import DaemonSettings
from mallowspindle.kernel.errors import KernelError
from mallowspindle.kernel.service import Service, registry

log = logging.getLogger(__name__)
ServiceT = TypeVar('ServiceT', bound=Service)


class Kernel:
    """Holds the running services and lets them find each other by name."""

    def __init__(self, config: DaemonSettings) -> None:
        self._config = config
        self._services: dict[str, Service] = {}

    @property
    def config(self) -> DaemonSettings:
        """The daemon's settings."""
        return self._config

    def find(self, name: str, kind: type[ServiceT]) -> ServiceT:
        """Return the running service ``name``, which must be a ``kind``."""
        found = self._services.get(name)
        if not isinstance(found, kind):
            raise KernelError(f'service {name} does not run as {kind.__name__}')
        return found

    async def start(self) -> None:
        """Construct and start all services in dependency order."""
        for name in start_order(registry):
            started = registry[name].from_config(self)
            self._services[name] = started
            await started.start()
            log.debug('service %s started', name)

    async def drain(self, timeout_s: float) -> None:
        """Drain all services, dependents first, within ``timeout_s``."""
        ends_at_s = time.monotonic() + timeout_s
        for prepared in self._services.values():
            await prepared.prepare_drain()
        for running in reversed(list(self._services.values())):
            await running.drain(max(0, ends_at_s - time.monotonic()))

    async def stop(self) -> None:
        """Stop all services, dependents first."""
        for running in reversed(list(self._services.values())):
            await running.stop()


def start_order(services: dict[str, type[Service]]) -> list[str]:
    """Return the service names so that each follows what it requires."""
    missing = [
        f'{name} requires {needed}'
        for name, kind in services.items()
        for needed in kind.requires
        if needed not in services
    ]
    if missing:
        raise KernelError(f'missing services: {", ".join(missing)}')
    graph = {name: kind.requires for name, kind in services.items()}
    try:
        return list(TopologicalSorter(graph).static_order())
    except CycleError as error:
        raise KernelError(f'services require each other: {error}') from error
