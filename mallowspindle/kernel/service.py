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

    ``start`` is called in dependency order, ``drain`` and ``stop`` in reverse.
    """

    name: ClassVar[str] = ''
    requires: ClassVar[tuple[str, ...]] = ()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service from the daemon's settings."""
        raise NotImplementedError

    async def start(self) -> None:
        """Start the service; those named in ``requires`` already run."""

    def listen_addresses(self) -> dict[str, str | int]:
        """Return the listen addresses that the daemon prints at its start."""
        return {}

    def reload(self, kernel: Kernel) -> None:
        """Apply settings that changed while the daemon runs."""

    async def wait_for_reclaim_notice(self) -> float:
        """Wait for a reclaim notice of this VM and return the seconds left.

        The default waits forever: most services receive no notices.
        """
        return await asyncio.get_running_loop().create_future()

    async def prepare_drain(self) -> None:
        """Announce that this node is leaving and accept no new work."""

    async def drain(self, timeout_s: float) -> None:
        """Finish work in progress or hand it over within ``timeout_s``."""

    async def stop(self) -> None:
        """Cancel tasks and close connections."""


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
