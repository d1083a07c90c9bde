"""The service interface and the registry of services."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, ClassVar, Self, TypeVar

from mallowspindle.kernel.errors import KernelError

if TYPE_CHECKING:
    from mallowspindle.kernel.kernel import Kernel

ServiceT = TypeVar('ServiceT', bound='Service')


class Service:
    """One named part of the daemon.

    ``start`` runs in dependency order; ``drain`` and ``stop`` run in reverse.
    """

    name: ClassVar[str] = ''
    requires: ClassVar[tuple[str, ...]] = ()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service from the daemon's settings."""
        raise NotImplementedError

    async def start(self) -> None:
        """Begin work; services named in ``requires`` run already."""

    def listen_addresses(self) -> dict[str, str | int]:
        """Return addresses in use that the daemon prints at its start."""
        return {}

    def reload(self, kernel: Kernel) -> None:
        """Take over settings that changed while the daemon runs."""

    async def wait_for_reclaim_notice(self) -> float:
        """Return the seconds left once this VM is about to be taken away."""
        return await asyncio.get_running_loop().create_future()

    async def prepare_drain(self) -> None:
        """Tell others that this node is leaving; take no new work."""

    async def drain(self, timeout_s: float) -> None:
        """Finish work in progress, or hand it over by ``timeout_s``."""

    async def stop(self) -> None:
        """Release tasks and connections."""


registry: dict[str, type[Service]] = {}


def service(
    name: str, requires: tuple[str, ...] = ()
) -> Callable[[type[ServiceT]], type[ServiceT]]:
    """Return a decorator that registers a service class under ``name``."""

    def decorate(cls: type[ServiceT]) -> type[ServiceT]:
        if name in registry:
            raise KernelError(f'service {name} is registered twice')
        cls.name = name
        cls.requires = requires
        registry[name] = cls
        return cls

    return decorate
