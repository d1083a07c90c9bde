"""Tests of the start order of services, and of their drain."""

import asyncio
from typing import Self, cast
from unittest.mock import patch

import pytest

from mallowspindle.config.common import CommonSettings
from mallowspindle.interfaces import interfaces
from mallowspindle.kernel.errors import KernelError
from mallowspindle.kernel.kernel import Kernel, start_order
from mallowspindle.kernel.service import Service, registry
from mallowspindle.tests.simulation import simulated


def _service_class(*requires: str) -> type[Service]:
    return type('Made', (Service,), {'requires': requires})


def test_services_start_after_their_requirements() -> None:
    # All tests share the registry, and which services it holds depends on the
    # modules imported so far. Importing all of them makes it complete.
    for interface in interfaces.values():
        interface().load_services()
    order = start_order(registry)
    assert set(order) == set(registry)
    for name, service_class in registry.items():
        for requirement in service_class.requires:
            assert order.index(requirement) < order.index(name)


@pytest.mark.parametrize(
    ('services', 'text'),
    [
        ({'a': _service_class('b')}, 'a requires b'),
        (
            {'a': _service_class('b'), 'b': _service_class('a')},
            'require each other',
        ),
    ],
)
def test_missing_and_circular_requirements_are_refused(
    services: dict[str, type[Service]], text: str
) -> None:
    with pytest.raises(KernelError, match=text):
        start_order(services)


class _Quick(Service):
    """Records when it is told to drain."""

    def __init__(self) -> None:
        self.prepared_at_s: float | None = None
        self.drained_at_s: float | None = None

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service."""
        return cls()

    async def prepare_drain(self) -> None:
        """Record the time."""
        self.prepared_at_s = asyncio.get_running_loop().time()

    async def drain(self, timeout_s: float) -> None:
        """Record the time."""
        self.drained_at_s = asyncio.get_running_loop().time()


class _Slow(_Quick):
    """Waits for peers that do not answer."""

    async def prepare_drain(self) -> None:
        """Wait for a long time."""
        await asyncio.sleep(20)


@simulated
async def test_services_that_wait_for_peers_do_not_delay_a_drain() -> None:
    """Guards against nodes that stay ready while their peers hang."""
    services = {'slow': _Slow, 'quick': _Quick}
    with patch('mallowspindle.kernel.kernel.registry', services):
        kernel = Kernel(cast(CommonSettings, None))
        await kernel.start()
        began_at_s = asyncio.get_running_loop().time()
        await kernel.drain(8)
        await kernel.stop()
    quick = kernel.find('quick', _Quick)
    assert quick.prepared_at_s == began_at_s
    assert quick.drained_at_s is not None
    assert quick.drained_at_s <= began_at_s + 1
