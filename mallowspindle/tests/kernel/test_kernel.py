"""Tests of the start order of services."""

import pytest

from mallowspindle.interfaces import interfaces
from mallowspindle.kernel.errors import KernelError
from mallowspindle.kernel.kernel import start_order
from mallowspindle.kernel.service import Service, registry


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
