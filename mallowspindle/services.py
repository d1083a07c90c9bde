"""Loads the modules whose services make up the daemon."""

from importlib import import_module

_MODULES = (
    'mallowspindle.native.service',
    'mallowspindle.membership.service',
    'mallowspindle.settings.service',
    'mallowspindle.routing.directory',
    'mallowspindle.routing.router',
    'mallowspindle.ledger.service',
    'mallowspindle.recovery.service',
    'mallowspindle.attempts.service',
    'mallowspindle.effects.service',
    'mallowspindle.entry.service',
)


def load_services() -> None:
    """Import the modules; their decorators fill the registry of services."""
    for module in _MODULES:
        import_module(module)
