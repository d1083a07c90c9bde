"""Starts and ends the processes of a venture on loopback."""

import asyncio
import json
import os
import signal
import sys
from asyncio.subprocess import PIPE, Process
from pathlib import Path
from typing import Any, Self

_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 40.0
_LONGEST_LINE = 1_000_000


class ManagedProcess:
    """One process that announced its ports in a JSON line."""

    def __init__(self, name: str, process: Process, ports: dict[str, Any]):
        self._name = name
        self._process = process
        self._ports = ports
        self._log_task: asyncio.Task[None] | None = None

    @classmethod
    async def start(
        cls, name: str, module: str, arguments: list[str], log_path: Path
    ) -> Self:
        """Start ``python -m module`` and wait for its announcement."""
        with log_path.open('ab') as log_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                module,
                *arguments,
                stdout=PIPE,
                stderr=log_file,
                limit=_LONGEST_LINE,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )
        if process.stdout is None:
            raise RuntimeError('no standard output')
        ports = await asyncio.wait_for(
            _read_announcement(process.stdout, log_path), _START_TIMEOUT_S
        )
        if ports is None:
            raise RuntimeError(f'{name} ended at its start: see {log_path}')
        started = cls(name, process, ports)
        started.keep_log(process.stdout, log_path)
        return started

    @property
    def name(self) -> str:
        """The name of the process in its venture."""
        return self._name

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def address(self) -> str:
        """The ``host:port`` of its HTTP server."""
        return f'127.0.0.1:{self._ports["port"]}'

    @property
    def url(self) -> str:
        """The URL of its HTTP server."""
        return f'http://{self.address}'

    @property
    def peer_address(self) -> str:
        """The ``host:port`` for peers, of daemons only."""
        return str(self._ports['peer_address'])

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.returncode is None

    def endpoint(self, name: str) -> str:
        """The ``host:port`` of a listener, of gateways only."""
        return str(self._ports[name])

    def keep_log(self, output: asyncio.StreamReader, log_path: Path) -> None:
        """Copy the output to a file, so that the process never waits."""
        self._log_task = asyncio.create_task(_copy_lines(output, log_path))

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal to a process that still runs."""
        if self.running:
            self._process.send_signal(signum)

    async def wait(self) -> int:
        """Wait for the end and return the exit code."""
        return await asyncio.wait_for(self._process.wait(), _STOP_TIMEOUT_S)

    async def kill(self) -> None:
        """End the process at once."""
        if self.running:
            self._process.kill()
        await self._process.wait()
        if self._log_task is not None:
            await self._log_task


async def _read_announcement(
    output: asyncio.StreamReader, log_path: Path
) -> dict[str, Any] | None:
    """Return the ports in the first line that tells them."""
    async for line in output:
        with log_path.open('ab') as log_file:
            log_file.write(line)
        try:
            entry = json.loads(line)
        except ValueError:
            continue
        ports = entry.get('announced', entry)
        if 'port' in ports or 'callers' in ports:
            return dict(ports)
    return None


async def _copy_lines(output: asyncio.StreamReader, log_path: Path) -> None:
    with log_path.open('ab') as log_file:
        async for line in output:
            log_file.write(line)
            log_file.flush()
