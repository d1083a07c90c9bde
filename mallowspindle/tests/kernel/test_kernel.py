"""Services start after those they require."""

import pytest

from mallowspindle.interfaces import interfaces
from mallowspindle.kernel.errors import KernelError
from mallowspindle.kernel.kernel import start_order
from mallowspindle.kernel.service import Service, registry


def _kind(*requires: str) -> type[Service]:
    return type('Made', (Service,), {'requires': requires})


def test_daemon_services_follow_what_they_require() -> None:
    # The registry is shared by all tests: it holds the services of each
    # interface whose modules were imported, so all of them are.
    for interface in interfaces.values():
        interface().load_services()
    order = start_order(registry)
    assert set(order) == set(registry)
    for name, kind in registry.items():
        for needed in kind.requires:
            assert order.index(needed) < order.index(name)


@pytest.mark.parametrize(
    ('services', 'text'),
    [
        ({'a': _kind('b')}, 'a requires b'),
        ({'a': _kind('b'), 'b': _kind('a')}, 'require each other'),
    ],
)
def test_services_that_can_not_start(
    services: dict[str, type[Service]], text: str
) -> None:
    with pytest.raises(KernelError, match=text):
        start_order(services)
