"""``mallowspindled``: the daemon of one entry VM."""

import asyncio
import logging
import os
import signal
import sys
from pathlib import Path

import uvloop

from mallowspindle.config.common import CommonSettings, InterfaceChoice
from mallowspindle.config.errors import ConfigError, Problem
from mallowspindle.config.ini import load_model, parse_sections
from mallowspindle.interfaces import interfaces
from mallowspindle.kernel.errors import KernelError
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.reloading import SettingsWatch
from mallowspindle.utils.logs import configure_logging
from mallowspindle.utils.telemetry import configure_telemetry

log = logging.getLogger(__name__)

_INVALID_SETTINGS = 2
# Names the INI file where the daemon is started without arguments.
_SETTINGS_VARIABLE = 'MALLOWSPINDLE_SETTINGS'


def main() -> None:
    """Run ``mallowspindled``."""
    path, check_only = _arguments()
    try:
        config = load_settings(path)
    except ConfigError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(_INVALID_SETTINGS)
    if check_only:
        sys.stdout.write('the settings are valid\n')
        return
    uvloop.run(run(config, path))


def _arguments() -> tuple[Path, bool]:
    """Return the path of the settings and whether they are only checked."""
    named = os.environ.get(_SETTINGS_VARIABLE)
    if named and len(sys.argv) == 1:
        return Path(named), False
    # Loaded only where it is used: it takes a fifth of a second, in which a
    # restarted node would not serve.
    from mallowspindle.arguments import parse_arguments  # noqa: PLC0415

    arguments = parse_arguments()
    return arguments.settings, arguments.check_settings


def load_settings(path: Path) -> CommonSettings:
    """Return the settings in a file; ``ConfigError`` lists all problems."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError([Problem('file', str(path), str(error))]) from error
    return parse_settings(text)


def parse_settings(text: str) -> CommonSettings:
    """Return the settings of the interface that ``[node]`` names."""
    node = parse_sections(text).get('node', {})
    choice = InterfaceChoice.model_validate(node)
    factory = interfaces.get(choice.interface)
    if factory is None:
        known = ', '.join(sorted(interfaces))
        raise ConfigError([Problem('node', 'interface', f'is none of {known}')])
    return load_model(factory().settings, text)


async def run(config: CommonSettings, path: Path) -> None:
    """Run all services until a signal or a reclaim notice, then drain."""
    log_writer = configure_logging(config.telemetry.log_level, config.node.name)
    traces = configure_telemetry(
        config.node.name,
        config.telemetry.traces_file,
        config.telemetry.otlp_endpoint,
    )
    interfaces[config.node.interface]().load_services()
    kernel = Kernel(config)
    watch = SettingsWatch(path, config, load_settings, kernel.reload)
    stop_signal = _stop_signal()
    try:
        await kernel.start()
    except KernelError as error:
        log.error('not started: %s', error)
        sys.exit(_INVALID_SETTINGS)
    _announce(kernel)
    watch.start()
    drain_s = await _wait_for_end(kernel, stop_signal)
    await kernel.drain(drain_s)
    await watch.stop()
    await kernel.stop()
    log.info('stopped')
    traces.shutdown()
    log_writer.stop()


def _announce(kernel: Kernel) -> None:
    """Log the addresses in use."""
    log.info('started', extra={'announced': kernel.listen_addresses()})


def _stop_signal() -> asyncio.Event:
    loop = asyncio.get_running_loop()
    signalled = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, signalled.set)
    return signalled


async def _wait_for_end(kernel: Kernel, signalled: asyncio.Event) -> float:
    """Return the seconds left to drain, once this node has to leave."""
    waits = {
        asyncio.create_task(_signalled(signalled, kernel)),
        asyncio.create_task(kernel.wait_for_reclaim_notice()),
    }
    done, pending = await asyncio.wait(
        waits, return_when=asyncio.FIRST_COMPLETED
    )
    for wait in pending:
        wait.cancel()
    return done.pop().result()


async def _signalled(event: asyncio.Event, kernel: Kernel) -> float:
    await event.wait()
    log.info('asked to stop')
    return kernel.config.drain_timeout_s


if __name__ == '__main__':
    main()
