"""Starts, drains and stops the registered services."""

import asyncio
import logging
import time
from graphlib import CycleError, TopologicalSorter
from typing import TypeVar

from mallowspindle.config.common import CommonSettings
from mallowspindle.kernel.errors import KernelError
from mallowspindle.kernel.service import Service, registry

log = logging.getLogger(__name__)
ServiceT = TypeVar('ServiceT', bound=Service)
SettingsT = TypeVar('SettingsT', bound=CommonSettings)


class Kernel:
    """Holds the running services and lets them find each other by name."""

    def __init__(self, config: CommonSettings) -> None:
        self._config = config
        self._services: dict[str, Service] = {}

    @property
    def config(self) -> CommonSettings:
        """The settings that every interface has."""
        return self._config

    def settings(self, kind: type[SettingsT]) -> SettingsT:
        """Return the settings of the interface, which must be a ``kind``."""
        if not isinstance(self._config, kind):
            raise KernelError(f'the settings are not {kind.__name__}')
        return self._config

    def reload(self, config: CommonSettings) -> None:
        """Put new settings in force and tell the services."""
        self._config = config
        for running in self._services.values():
            running.reload(self)

    def listen_addresses(self) -> dict[str, str | int]:
        """Return the addresses in use, as the services name them."""
        return {
            name: address
            for running in self._services.values()
            for name, address in running.listen_addresses().items()
        }

    async def wait_for_reclaim_notice(self) -> float:
        """Return the seconds left, once a service has to leave with its VM."""
        waits = [
            asyncio.create_task(running.wait_for_reclaim_notice())
            for running in self._services.values()
        ]
        try:
            done, _ = await asyncio.wait(
                waits, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for wait in waits:
                wait.cancel()
        return done.pop().result()

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
