"""All disturbances by name."""

from importlib import import_module

from mallowspindle.soak.disturbances.scene import Disturbance, registry

_MODULES = ('links', 'nodes', 'platform', 'series', 'servers')


def all_disturbances() -> dict[str, Disturbance]:
    """Import the modules, whose decorators register, and return the registry."""
    for name in _MODULES:
        import_module(f'mallowspindle.soak.disturbances.{name}')
    return registry
