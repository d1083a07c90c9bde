"""Starts the daemons as the deploy file says, before stand-ins on loopback."""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from harness_2.http import Message, call
from harness_2.settings import render

ROOT = Path(__file__).resolve().parents[2]
HOST = 'desk.example'
KEY = 'key-of-haulier'
TENANT = 'haulier'
_BOUNDS = {
    'grace_s': 8,
    'usage_window_s': 5,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 52,
    'quota_window_s': 8,
    'config_apply_ms': 2000,
}
_HEARTBEAT_S = 1.2


def is_disturbed() -> bool:
    """Return whether the script shall bring about the disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


class CannotRun(Exception):
    """The case could not run, so it shows nothing."""


class Record:
    """Writes what was sent, answered and run into ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._began_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line with the time since the start."""
        at_s = time.monotonic() - self._began_s
        self._file.write(f'{at_s:8.3f} {text}\n')
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class World:
    """A store, the platform's API, servers and daemons, and their ends."""

    def __init__(self, record: Record, limits: dict[str, Any]) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self._limits = limits
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._listen: dict[str, dict[str, str]] = {}
        self._daemons: dict[str, tuple[list[str], dict[str, str]]] = {}
        self._seeds: list[str] = []
        self._entries: dict[str, dict[str, Any]] = {}
        self._store = ''
        self._duties = ''
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start_platform(self) -> None:
        """Start the stand-ins of the store and of the platform's API."""
        self._store = await self._start_standin('store', 'platform_store')
        self._duties = await self._start_standin('duties', 'platform_duties')
        self.spawn(self._heartbeats())

    async def configure(self, document: dict[str, Any]) -> None:
        """Write the operator's configuration."""
        await self._put('keyed.op', 'config', document)

    async def register(self, server_id: str, **entry: Any) -> None:
        """Let a server register; its entry is written again and again."""
        entry = {
            'zone': 'a',
            'slots': 8,
            'state': 'ready',
            'version': 'v1',
            'cold_remaining_ms': 0,
            'sequence': 0,
            **entry,
        }
        self._entries[server_id] = entry
        await self._put('keyed.servers', server_id, entry)

    async def unregister(self, server_id: str) -> None:
        """Remove a server's entry, as after three silent intervals."""
        if self._entries.pop(server_id, None) is not None:
            await self._post(f'/operator/keyed.servers/{server_id}', b'')

    async def start_daemon(self, name: str, zone: str = 'a') -> None:
        """Start a daemon with the command and settings of the deploy file."""
        deploy = tomllib.loads(
            (ROOT / 'deploy/system.toml').read_text(encoding='utf-8')
        )
        role = deploy['roles']['gateway']
        listen = {
            listener: f'127.0.0.1:{free_port()}'
            for listener in ('front', 'ready', 'control', 'directory')
        }
        metrics_port = free_port()
        fields = {
            'node': name,
            'region': 'r',
            'zone': zone,
            'ip': '127.0.0.1',
            'listen': listen,
            'seeds': self._seeds[:3],
            'limits': self._limits,
            'provider': {'address': self._store},
            'cloud_api': {
                'address': self._duties,
                'duties': ['usage', 'autoscale'],
            },
            'bounds': _BOUNDS,
        }
        template = (ROOT / role['template']).read_text(encoding='utf-8')
        # On one machine, each daemon needs a metrics port of its own.
        template = template.replace(':9464', f':{metrics_port}')
        path = self.folder / f'{name}.ini'
        path.write_text(render(template, fields), encoding='utf-8')
        environment = {
            **_plain_environment(),
            **role.get('env', {}),
            'MALLOWSPINDLE_SETTINGS': str(path),
        }
        self._daemons[name] = shlex.split(role['run']), environment
        self._listen[name] = listen
        self._seeds.append(listen['control'])
        await self.restart_daemon(name)

    async def restart_daemon(self, name: str) -> None:
        """Start a daemon that has ended, with the same settings."""
        await self._start(name, *self._daemons[name])

    async def wait_ready(self, name: str, timeout_s: float = 40.0) -> None:
        """Wait until a daemon says that it is ready."""

        async def is_ready() -> bool:
            answer = await call(
                self._listen[name]['ready'], 'GET', '/ready', {'Host': name}
            )
            return answer is not None and answer.status == 200

        await self.wait_for(is_ready, timeout_s, f'{name} is ready')

    async def wait_for(
        self,
        condition: Callable[[], Awaitable[bool]],
        timeout_s: float,
        what: str,
    ) -> None:
        """Wait for a condition; raise ``CannotRun`` if it does not come."""
        ends_at_s = time.monotonic() + timeout_s
        while not await condition():
            if time.monotonic() > ends_at_s:
                raise CannotRun(f'not in time: {what}')
            await asyncio.sleep(0.1)

    def pid(self, name: str) -> int:
        """Return the id of a process of this test."""
        return self._processes[name].pid

    def front(self, name: str) -> str:
        """Return the address of a daemon for callers."""
        return self._listen[name]['front']

    def listener(self, name: str, which: str) -> str:
        """Return another address of a daemon."""
        return self._listen[name][which]

    def is_running(self, name: str) -> bool:
        """Return whether a process has not ended."""
        return self._processes[name].returncode is None

    def log_text(self, name: str) -> str:
        """Return what a process has written."""
        path = self.folder / f'{name}.log'
        return path.read_text(encoding='utf-8', errors='replace')

    def send_signal(self, name: str, signum: signal.Signals) -> None:
        """Send a signal to a process of this test."""
        if self.is_running(name):
            self._processes[name].send_signal(signum)

    def spawn(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        """Run something until the end of the test."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        return task

    async def stop(self) -> None:
        """End all tasks and processes, and remove the folder."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for process in self._processes.values():
            with suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _start_standin(self, name: str, module: str) -> str:
        command = ['python3', '-m', f'mallowspindle.standins.{module}']
        process = await self._start(name, command, _plain_environment())
        assert process.returncode is None

        async def has_port() -> bool:
            return bool(self._port_of(name))

        await self.wait_for(has_port, 20.0, f'{name} listens')
        return f'127.0.0.1:{self._port_of(name)}'

    def _port_of(self, name: str) -> int:
        for line in self.log_text(name).splitlines():
            if line.startswith('{"port"'):
                return int(json.loads(line)['port'])
        return 0

    async def _start(
        self, name: str, command: list[str], environment: dict[str, str]
    ) -> asyncio.subprocess.Process:
        if command[0] == 'python3':
            command = [sys.executable, *command[1:]]
        with (self.folder / f'{name}.log').open('ab') as output:
            process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env={**environment, 'PYTHONUNBUFFERED': '1'},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self._processes[name] = process
        return process

    async def _heartbeats(self) -> None:
        while True:
            await asyncio.sleep(_HEARTBEAT_S)
            for server_id, entry in list(self._entries.items()):
                entry['sequence'] += 1
                with suppress(CannotRun):
                    await self._put('keyed.servers', server_id, entry)

    async def _put(
        self, topic: str, key: str, document: dict[str, Any]
    ) -> None:
        await self._post(
            f'/operator/{topic}/{key}', json.dumps(document).encode()
        )

    async def _post(self, path: str, body: bytes) -> Message:
        headers = {'Host': self._store}
        answer = await call(self._store, 'POST', path, headers, body)
        if answer is None or answer.status >= 300:
            raise CannotRun(f'the store did not take {path}')
        return answer


def free_port() -> int:
    """Return a port of loopback that is free now.

    It is below the ports that outgoing connections take, also those of scripts
    that run beside this one.
    """
    for _ in range(100):
        port = random.randrange(10_000, 30_000)
        with socket.socket() as probe, suppress(OSError):
            probe.bind(('127.0.0.1', port))
            return port
    raise CannotRun('no port is free')


def caller_headers(request_id: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a proper request."""
    return {
        'Host': HOST,
        'Request-Id': request_id,
        'Deadline-Ms': str(deadline_ms),
        'Authorization': f'Token {KEY}',
    }


def _plain_environment() -> dict[str, str]:
    names = ('PATH', 'HOME', 'LANG', 'TMPDIR')
    kept = {name: os.environ[name] for name in names if name in os.environ}
    return {**kept, 'PYTHONPATH': f'{ROOT / "target/deps"}:{ROOT}'}


def run(folder: Path, case: Callable[[Record], Awaitable[bool]]) -> int:
    """Run a case; return 1 if a rule was broken, 0 if not, 2 if it failed."""
    record = Record(folder)

    async def bounded() -> bool:
        async with asyncio.timeout(110):
            return await case(record)

    try:
        is_broken = asyncio.run(bounded())
    except (CannotRun, TimeoutError, OSError) as error:
        record.note(f'could not run: {error!r}')
        return 2
    except Exception as error:
        record.note(f'could not run: {error!r}')
        raise SystemExit(2) from error
    finally:
        record.close()
    return 1 if is_broken else 0
