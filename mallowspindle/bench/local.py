"""Stand-ins and daemons on loopback that are stopped together."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Self

from aiohttp import ClientSession, ClientTimeout

from mallowspindle.bench.polling import WAIT_S, wait_until
from mallowspindle.bench.processes import ManagedProcess

# Longer than any answer that a test or a demo waits for.
_CALL_TIMEOUT_S = 60.0
SHARED_KEY = 'a-shared-key-for-loopback'


class LocalProcesses:
    """Starts named processes and keeps their logs and settings in a folder."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: dict[str, ManagedProcess] = {}
        self._session = ClientSession(
            timeout=ClientTimeout(total=_CALL_TIMEOUT_S)
        )

    @property
    def session(self) -> ClientSession:
        """The HTTP session of the callers."""
        return self._session

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.stop()

    def process(self, name: str) -> ManagedProcess:
        """Return a process by name."""
        return self._processes[name]

    def log_path(self, name: str) -> Path:
        """Return the file that a process's output goes to."""
        return self._folder / f'{name}.log'

    async def start_standin(
        self, name: str, kind: str, *arguments: str
    ) -> ManagedProcess:
        """Start one stand-in."""
        return await self._start(
            name, f'mallowspindle.standins.{kind}', list(arguments)
        )

    async def start_daemon(self, name: str, settings: str) -> ManagedProcess:
        """Start a daemon with these INI settings."""
        path = self.write_settings(name, settings)
        return await self._start(
            name, 'mallowspindle.daemon', ['--settings', str(path)]
        )

    def write_settings(self, name: str, settings: str) -> Path:
        """Write the INI file of a daemon."""
        path = self._folder / f'{name}.ini'
        path.write_text(settings, encoding='utf-8')
        return path

    async def wait_until(
        self,
        condition: Callable[[], Awaitable[bool]],
        timeout_s: float = WAIT_S,
    ) -> None:
        """Poll a condition; raise ``TimeoutError`` if it stays false."""
        await wait_until(condition, timeout_s)

    async def set_faults(self, name: str, **faults: Any) -> None:
        """Set the faults that a stand-in simulates."""
        await self.post(f'{self.process(name).url}/faults', faults)

    async def post(self, url: str, document: Any) -> None:
        """Post JSON to a stand-in."""
        async with self._session.post(url, json=document) as response:
            response.raise_for_status()

    async def get(self, url: str, token: str = '') -> Any:
        """Return a JSON document, or None for an error status."""
        headers = {'Authorization': f'Bearer {token}'} if token else {}
        async with self._session.get(url, headers=headers) as response:
            return await response.json() if response.ok else None

    async def stop(self) -> None:
        """Kill all processes and close the session."""
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
        await asyncio.gather(
            *(process.kill() for process in self._processes.values())
        )
        await self._session.close()

    async def _start(
        self, name: str, module: str, arguments: list[str]
    ) -> ManagedProcess:
        started = await ManagedProcess.start(
            name, module, arguments, self.log_path(name)
        )
        self._processes[name] = started
        return started
