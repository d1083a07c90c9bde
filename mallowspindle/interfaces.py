"""Registry of the interfaces that the daemon can serve, by name."""

from collections.abc import Callable
from dataclasses import dataclass
from importlib import import_module

from mallowspindle.config.common import CommonSettings


@dataclass(frozen=True, slots=True)
class Interface:
    """The settings model of an interface and the modules of its services."""

    settings: type[CommonSettings]
    modules: tuple[str, ...]

    def load_services(self) -> None:
        """Import the modules, whose decorators register the services."""
        for module in self.modules:
            import_module(module)


Factory = Callable[[], Interface]
interfaces: dict[str, Factory] = {}


def interface(name: str) -> Callable[[Factory], Factory]:
    """Return a decorator that registers a factory under ``name``."""

    def decorate(factory: Factory) -> Factory:
        interfaces[name] = factory
        return factory

    return decorate


@interface('native')
def native() -> Interface:
    """Return mallowspindle's own HTTP interface."""
    from mallowspindle.config.native import NativeSettings  # noqa: PLC0415

    return Interface(
        NativeSettings,
        (
            'mallowspindle.intake.service',
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
        ),
    )


@interface('platform')
def platform() -> Interface:
    """Return the users' platform's interface, a proxy for its servers."""
    from mallowspindle.config.platform import PlatformSettings  # noqa: PLC0415

    return Interface(
        PlatformSettings,
        (
            'mallowspindle.intake.service',
            'mallowspindle.platform.service',
            'mallowspindle.membership.service',
            'mallowspindle.sharing.service',
            'mallowspindle.retries.service',
            'mallowspindle.catalog.service',
            'mallowspindle.rollouts.service',
            'mallowspindle.backends.service',
            'mallowspindle.backends.evacuation',
            'mallowspindle.quarantine.service',
            'mallowspindle.streams.service',
            'mallowspindle.proxy.service',
            'mallowspindle.duties.service',
            'mallowspindle.rollouts.control',
        ),
    )
