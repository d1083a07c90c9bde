"""Starts and stops the processes of a venture on loopback."""

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
_MAX_LINE_BYTES = 1_000_000


class ManagedProcess:
    """A child process that has announced its ports in a JSON line."""

    def __init__(self, name: str, process: Process, ports: dict[str, Any]):
        self._name = name
        self._process = process
        self._ports = ports
        self._log_task: asyncio.Task[None] | None = None

    @classmethod
    async def start(
        cls, name: str, module: str, arguments: list[str], log_path: Path
    ) -> Self:
        """Start ``python -m module`` and wait until it announces its ports."""
        with log_path.open('ab') as log_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                module,
                *arguments,
                stdout=PIPE,
                stderr=log_file,
                limit=_MAX_LINE_BYTES,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )
        if process.stdout is None:
            raise RuntimeError('the process has no stdout pipe')
        try:
            ports = await asyncio.wait_for(
                _read_announcement(process.stdout, log_path), _START_TIMEOUT_S
            )
        except BaseException:
            # Also if the start is cancelled, since nobody else knows it.
            process.kill()
            raise
        if ports is None:
            raise RuntimeError(
                f'{name} ended before it announced its ports: see {log_path}'
            )
        started = cls(name, process, ports)
        started.copy_output(process.stdout, log_path)
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
        """Whether the process still runs."""
        return self._process.returncode is None

    def endpoint(self, name: str) -> str:
        """The ``host:port`` of a listener, of gateways only."""
        return str(self._ports[name])

    def copy_output(self, output: asyncio.StreamReader, log_path: Path) -> None:
        """Copy the output to a file, so that its pipe never fills up."""
        self._log_task = asyncio.create_task(_copy_lines(output, log_path))

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal to a process that still runs."""
        if self.running:
            self._process.send_signal(signum)

    async def wait(self) -> int:
        """Wait until the process ends and return its exit code."""
        return await asyncio.wait_for(self._process.wait(), _STOP_TIMEOUT_S)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.running:
            self._process.kill()
        await self._process.wait()
        if self._log_task is not None:
            await self._log_task


async def _read_announcement(
    output: asyncio.StreamReader, log_path: Path
) -> dict[str, Any] | None:
    """Return the ports from the first line that announces them."""
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
