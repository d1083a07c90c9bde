"""``mallowspindled``: the daemon of one entry VM."""

import asyncio
import json
import logging
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import uvloop
from aiohttp import ClientSession

from mallowspindle.config.daemon import DaemonSettings
from mallowspindle.config.errors import ConfigError, Problem
from mallowspindle.config.ini import load_model
from mallowspindle.entry.service import EntryService
from mallowspindle.kernel.errors import KernelError
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.membership.service import MembershipService
from mallowspindle.native.cloud import CloudClient
from mallowspindle.native.errors import PlatformError
from mallowspindle.routing.policies import policies
from mallowspindle.services import load_services
from mallowspindle.utils.logs import configure_logging
from mallowspindle.utils.telemetry import configure_telemetry

log = logging.getLogger(__name__)

_INVALID_SETTINGS = 2


@cappa.command(name='mallowspindled', help='Run the daemon of an entry VM.')
@dataclass
class Daemon:
    """Arguments of the daemon."""

    settings: Annotated[Path, cappa.Arg(long=True, help='The INI file.')]
    check_settings: Annotated[
        bool, cappa.Arg(long=True, help='Check the file and stop.')
    ] = False


def main() -> None:
    """Run ``mallowspindled``."""
    arguments = cappa.parse(Daemon)
    try:
        config = load_settings(arguments.settings)
    except ConfigError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(_INVALID_SETTINGS)
    if arguments.check_settings:
        sys.stdout.write('the settings are valid\n')
        return
    uvloop.run(run(config))


def load_settings(path: Path) -> DaemonSettings:
    """Return the settings in a file; ``ConfigError`` lists all problems."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError([Problem('file', str(path), str(error))]) from error
    config = load_model(DaemonSettings, text)
    if config.routing.policy not in policies:
        known = ', '.join(sorted(policies))
        raise ConfigError([Problem('routing', 'policy', f'is none of {known}')])
    return config


async def run(config: DaemonSettings) -> None:
    """Run all services until a signal or a reclaim notice, then drain."""
    configure_logging(config.telemetry.log_level, config.node.name)
    traces = configure_telemetry(
        config.node.name,
        config.telemetry.traces_file,
        config.telemetry.otlp_endpoint,
    )
    load_services()
    kernel = Kernel(config)
    try:
        await kernel.start()
    except KernelError as error:
        log.error('not started: %s', error)
        sys.exit(_INVALID_SETTINGS)
    _announce(kernel)
    drain_s = await _wait_for_end(config)
    await kernel.drain(drain_s)
    await kernel.stop()
    traces.shutdown()


def _announce(kernel: Kernel) -> None:
    """Print the ports in use as one JSON line."""
    membership = kernel.find('membership', MembershipService)
    entry = kernel.find('entry', EntryService)
    ports = {
        'port': entry.port,
        'peer_address': membership.own.peer_address,
    }
    sys.stdout.write(f'{json.dumps(ports)}\n')
    sys.stdout.flush()
    log.info('serving callers on port %s', entry.port)


async def _wait_for_end(config: DaemonSettings) -> float:
    """Return the seconds left to drain, once this node has to leave."""
    loop = asyncio.get_running_loop()
    signalled = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, signalled.set)
    waits = {
        asyncio.create_task(_signalled(signalled, config)),
        asyncio.create_task(_noticed(config)),
    }
    done, pending = await asyncio.wait(
        waits, return_when=asyncio.FIRST_COMPLETED
    )
    for wait in pending:
        wait.cancel()
    return done.pop().result()


async def _signalled(event: asyncio.Event, config: DaemonSettings) -> float:
    await event.wait()
    log.info('asked to stop')
    return config.limits.drain_timeout_s


async def _noticed(config: DaemonSettings) -> float:
    """Return once the cloud gives a reclaim notice for this VM."""
    platform = config.native
    async with ClientSession() as session:
        cloud = CloudClient(session, platform.cloud_url, platform.log_timeout_s)
        while True:
            await asyncio.sleep(platform.notice_poll_interval_s)
            if not config.node.vm_id:
                continue
            try:
                notice = await cloud.notice(config.node.vm_id)
            except PlatformError as error:
                log.debug('notice not read: %s', error)
                continue
            if notice is not None:
                log.info('reclaim in %.1f s', notice.leaves_in_s)
                return notice.leaves_in_s


if __name__ == '__main__':
    main()
