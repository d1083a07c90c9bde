"""Start, drain and stop the registered services."""

import asyncio
import logging
import time
from graphlib import CycleError, TopologicalSorter
from typing import TypeVar

from mallowspindle.config.common import CommonSettings
from mallowspindle.kernel.errors import KernelError
from mallowspindle.kernel.service import Service, registry
from mallowspindle.utils.tasks import BackgroundTasks

log = logging.getLogger(__name__)
# Peers that do not answer are not waited for any longer before requests in
# progress are finished.
_ANNOUNCE_TIMEOUT_S = 1.0

ServiceT = TypeVar('ServiceT', bound=Service)
SettingsT = TypeVar('SettingsT', bound=CommonSettings)


class Kernel:
    """The running services of the daemon, which look each other up by name."""

    def __init__(self, config: CommonSettings) -> None:
        self._config = config
        self._services: dict[str, Service] = {}
        self._tasks = BackgroundTasks()

    @property
    def config(self) -> CommonSettings:
        """The settings that every interface has."""
        return self._config

    def settings(self, expected_type: type[SettingsT]) -> SettingsT:
        """Return the settings, which must be an ``expected_type``."""
        if not isinstance(self._config, expected_type):
            raise KernelError(
                f'expected settings of type {expected_type.__name__}'
            )
        return self._config

    def reload(self, config: CommonSettings) -> None:
        """Apply new settings and pass them to the services."""
        self._config = config
        for service in self._services.values():
            service.reload(self)

    def listen_addresses(self) -> dict[str, str | int]:
        """Return the listen addresses of all services by their keys."""
        return {
            name: address
            for service in self._services.values()
            for name, address in service.listen_addresses().items()
        }

    async def wait_for_reclaim_notice(self) -> float:
        """Wait for a reclaim notice and return the seconds left.

        The first service that receives a notice ends the wait.
        """
        notice_tasks = [
            asyncio.create_task(service.wait_for_reclaim_notice())
            for service in self._services.values()
        ]
        try:
            done, _ = await asyncio.wait(
                notice_tasks, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in notice_tasks:
                task.cancel()
        return done.pop().result()

    def find(self, name: str, expected_type: type[ServiceT]) -> ServiceT:
        """Return the running service ``name``, an ``expected_type``."""
        found = self._services.get(name)
        if not isinstance(found, expected_type):
            raise KernelError(
                f'service {name} is not running as {expected_type.__name__}'
            )
        return found

    async def start(self) -> None:
        """Construct and start all services in dependency order."""
        for name in start_order(registry):
            new_service = registry[name].from_config(self)
            self._services[name] = new_service
            await new_service.start()
            log.debug('service %s started', name)

    async def drain(self, timeout_s: float) -> None:
        """Drain all services, dependents first, within ``timeout_s``.

        All are told at once, since some wait for others to hear of it.
        """
        deadline_s = time.monotonic() + timeout_s
        announcements = [
            self._tasks.spawn(service.prepare_drain(), f'leaving {name}')
            for name, service in self._services.items()
        ]
        if announcements:
            await asyncio.wait(announcements, timeout=_ANNOUNCE_TIMEOUT_S)
        for service in reversed(list(self._services.values())):
            await service.drain(max(0, deadline_s - time.monotonic()))

    async def stop(self) -> None:
        """Stop all services, dependents first."""
        await self._tasks.cancel()
        for service in reversed(list(self._services.values())):
            await service.stop()


def start_order(services: dict[str, type[Service]]) -> list[str]:
    """Return the service names, each after the services that it requires."""
    missing = [
        f'{name} requires {requirement}'
        for name, service_class in services.items()
        for requirement in service_class.requires
        if requirement not in services
    ]
    if missing:
        raise KernelError(f'missing services: {", ".join(missing)}')
    graph = {
        name: service_class.requires for name, service_class in services.items()
    }
    try:
        return list(TopologicalSorter(graph).static_order())
    except CycleError as error:
        raise KernelError(f'services require each other: {error}') from error
