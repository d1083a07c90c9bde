"""``mallowspindled``: the daemon of one entry VM."""

import asyncio
import logging
import os
import signal
import sys
import time
from pathlib import Path

import uvloop

from mallowspindle.config.common import CommonSettings, InterfaceChoice
from mallowspindle.config.errors import ConfigError, Problem
from mallowspindle.config.ini import load_model, parse_sections
from mallowspindle.interfaces import interfaces
from mallowspindle.kernel.errors import KernelError
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.reloading import SettingsWatcher
from mallowspindle.utils.heap import permanent_objects
from mallowspindle.utils.logs import configure_logging
from mallowspindle.utils.telemetry import configure_telemetry

log = logging.getLogger(__name__)

_INVALID_SETTINGS = 2
# Holds the path of the INI file if the daemon gets no arguments.
_SETTINGS_PATH_VARIABLE = 'MALLOWSPINDLE_SETTINGS'


def main() -> None:
    """Run ``mallowspindled``."""
    # Without a handler, SIGHUP would end a process that is still starting. The
    # settings are read later, so nothing is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path, check_only = _read_arguments()
    try:
        config = load_settings(path)
    except ConfigError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(_INVALID_SETTINGS)
    if check_only:
        sys.stdout.write('the settings are valid\n')
        return
    uvloop.run(run(config, path))


def _read_arguments() -> tuple[Path, bool]:
    """Return the path of the settings and whether to only check them."""
    path_text = os.environ.get(_SETTINGS_PATH_VARIABLE)
    if path_text and len(sys.argv) == 1:
        return Path(path_text), False
    # Imported only if it is used: the import takes 0.2 s, during which a
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
    """Return the settings for the interface selected in ``[node]``."""
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
    with permanent_objects():
        interfaces[config.node.interface]().load_services()
        kernel = Kernel(config)
    watcher = SettingsWatcher(path, config, load_settings, kernel.reload)
    watcher.listen()
    stop_signal = StopSignal()
    stop_signal.listen()
    try:
        started = await _start(kernel, stop_signal)
    except KernelError as error:
        log.error('not started: %s', error)
        sys.exit(_INVALID_SETTINGS)
    if started:
        _log_listen_addresses(kernel)
        watcher.start()
        drain_s = await _wait_for_stop(kernel, stop_signal)
    else:
        drain_s = await _wait_for_signal(stop_signal, kernel)
    await kernel.drain(drain_s)
    await watcher.stop()
    await kernel.stop()
    log.info('stopped')
    traces.shutdown()
    log_writer.stop()


def _log_listen_addresses(kernel: Kernel) -> None:
    """Log the addresses on which the services listen."""
    log.info('started', extra={'announced': kernel.listen_addresses()})


class StopSignal:
    """Whether and when this process was asked to stop."""

    def __init__(self) -> None:
        self._received = asyncio.Event()
        self._received_at_s = 0.0

    @property
    def age_s(self) -> float:
        """Seconds since the signal."""
        return time.monotonic() - self._received_at_s

    def listen(self) -> None:
        """Wait for SIGTERM and SIGINT from now on."""
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self._note)

    async def wait(self) -> None:
        """Wait for the first signal."""
        await self._received.wait()

    def _note(self) -> None:
        if not self._received.is_set():
            self._received_at_s = time.monotonic()
            self._received.set()


async def _start(kernel: Kernel, stop_signal: StopSignal) -> bool:
    """Start all services; return False if a signal ends the start before."""
    starting = asyncio.create_task(kernel.start())
    stopping = asyncio.create_task(stop_signal.wait())
    await asyncio.wait(
        {starting, stopping}, return_when=asyncio.FIRST_COMPLETED
    )
    stopping.cancel()
    if not starting.done():
        starting.cancel()
        await asyncio.wait({starting})
    if starting.cancelled():
        return False
    starting.result()
    return True


async def _wait_for_stop(kernel: Kernel, stop_signal: StopSignal) -> float:
    """Wait for a signal or a reclaim notice.

    Return the seconds that are left to drain.
    """
    tasks = {
        asyncio.create_task(_wait_for_signal(stop_signal, kernel)),
        asyncio.create_task(kernel.wait_for_reclaim_notice()),
    }
    done, pending = await asyncio.wait(
        tasks, return_when=asyncio.FIRST_COMPLETED
    )
    for task in pending:
        task.cancel()
    return done.pop().result()


async def _wait_for_signal(stop_signal: StopSignal, kernel: Kernel) -> float:
    await stop_signal.wait()
    log.info('asked to stop')
    return max(0, kernel.config.drain_timeout_s - stop_signal.age_s)


if __name__ == '__main__':
    main()
