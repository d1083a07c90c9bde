"""Reloads the daemon's settings when their file changes."""

import asyncio
import logging
import signal
from collections.abc import Callable
from pathlib import Path

from mallowspindle.config.common import CommonSettings
from mallowspindle.config.errors import ConfigError
from mallowspindle.utils.tasks import BackgroundTasks, wait_for_event

log = logging.getLogger(__name__)

# Interval between checks of the file: a change that is not signalled takes
# effect within this time.
_POLL_INTERVAL_S = 0.5

Load = Callable[[Path], CommonSettings]
Apply = Callable[[CommonSettings], None]
FileStamp = tuple[int, int, int]


class SettingsWatcher:
    """Reloads the settings on SIGHUP or when their file changes.

    If the new settings are invalid, the old ones stay in force.
    """

    def __init__(
        self, path: Path, config: CommonSettings, load: Load, apply: Apply
    ) -> None:
        self._path = path
        self._config = config
        self._load = load
        self._apply = apply
        self._stamp = _file_stamp(path)
        self._reload_requested = asyncio.Event()
        self._tasks = BackgroundTasks()

    def listen(self) -> None:
        """Remember SIGHUP until the file is watched."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)

    def start(self) -> None:
        """Start watching the file."""
        self._tasks.spawn(self._watch(), 'settings file')

    async def stop(self) -> None:
        """Stop watching the file."""
        await self._tasks.cancel()

    def reload(self) -> None:
        """Apply the file's settings if they are valid and have changed."""
        try:
            config = self._load(self._path)
        except ConfigError as error:
            log.error(
                'settings not reloaded, the old ones stay in force',
                extra={'problems': str(error)},
            )
            return
        if config == self._config:
            log.info('settings read again, nothing changed')
            return
        self._config = config
        self._apply(config)
        log.info('settings reloaded')

    async def _watch(self) -> None:
        while True:
            signalled = await self._wait_for_sighup()
            stamp = _file_stamp(self._path)
            if signalled or stamp != self._stamp:
                self._stamp = stamp
                self.reload()

    async def _wait_for_sighup(self) -> bool:
        """Wait for SIGHUP or the next check; return whether it was SIGHUP."""
        signalled = await wait_for_event(
            self._reload_requested, _POLL_INTERVAL_S
        )
        if signalled:
            self._reload_requested.clear()
        return signalled


def _file_stamp(path: Path) -> FileStamp:
    """Return the file's modification time, size and inode.

    These change with the file; all are 0 while it is missing.
    """
    try:
        status = path.stat()
    except OSError as error:
        log.warning('settings file not found: %s', error)
        return 0, 0, 0
    return status.st_mtime_ns, status.st_size, status.st_ino
