"""Starts entry VMs and stand-ins on loopback, as the deploy file says."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
_SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_FIELD = re.compile(r'\{\{([\w.]+)\}\}')
_START_S = 20.0
# Below the ports that the kernel gives to outgoing connections.
_PORTS = (15_000, 30_000)
# Bounds of a small deployment, from its settings file.
BOUNDS = {
    'grace_s': 8,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 56,
    'quota_window_s': 8,
    'config_apply_ms': 2000,
    'usage_window_s': 5,
}
LIMITS = {'memory_mb': 300, 'max_fds': 4100}
HOST = 'shop.example'
KEY = 'i9n73hh2b9wu3fexd9dn'


def free_port() -> int:
    """Return a port that nothing listens on, outside of those for clients."""
    while True:
        port = random.randrange(*_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        return port


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the settings template of the deploy file."""

    def value(name: str) -> Any:
        found: Any = fields
        for part in name.split('.'):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match: re.Match[str]) -> str:
        return ''.join(
            match[2].replace('{{.}}', str(entry))
            for entry in value(match[1]) or ()
        )

    def text(match: re.Match[str]) -> str:
        found = value(match[1])
        return '' if found is None else str(found)

    return _FIELD.sub(text, _SECTION.sub(section, template))


class Process:
    """A child process whose output goes to a file."""

    def __init__(
        self, name: str, child: asyncio.subprocess.Process, log: Path
    ) -> None:
        self.name = name
        self.child = child
        self.log = log

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self.child.returncode is None

    def send(self, signum: signal.Signals) -> None:
        """Send a signal unless it has ended."""
        if self.running:
            self.child.send_signal(signum)

    async def end(self) -> None:
        """Kill it and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.child.wait()


class Fleet:
    """Entry VMs before stand-ins of the platform and of its servers."""

    def __init__(self, record: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix='review-3-'))
        self._deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = self._deploy['roles']['gateway']
        self._run = [sys.executable, *role['run'].split()[1:]]
        self._env = role['env']
        self._template = (ROOT / role['template']).read_text()
        self._record = record.open('w')
        self._began_s = time.monotonic()
        self.processes: dict[str, Process] = {}
        self.ports: dict[str, dict[str, int]] = {}
        self.store_port = 0
        self.duties_port = 0

    def note(self, *words: object) -> None:
        """Write a line to the record."""
        elapsed_s = time.monotonic() - self._began_s
        self._record.write(f'{elapsed_s:8.3f} {" ".join(map(str, words))}\n')
        self._record.flush()

    async def start_process(
        self, name: str, command: list[str], more_env: dict[str, str]
    ) -> Process:
        """Start a process with few variables, as the platform does."""
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        deps = f'{ROOT / "target/deps"}:{ROOT}'
        env |= {'PYTHONPATH': deps, 'PYTHONUNBUFFERED': '1', **more_env}
        log = self.folder / f'{name}.log'
        with log.open('ab') as output:
            child = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=output, stderr=output
            )
        process = Process(name, child, log)
        self.processes[name] = process
        return process

    async def start_standin(self, name: str, *command: str) -> int:
        """Start a stand-in; return the port that it prints."""
        process = await self.start_process(
            name, [sys.executable, *command], {}
        )
        ends_s = time.monotonic() + _START_S
        while time.monotonic() < ends_s and process.running:
            first = process.log.read_text().partition('\n')[0]
            if first.startswith('{'):
                return int(json.loads(first)['port'])
            await asyncio.sleep(0.05)
        raise RuntimeError(f'{name} did not start: {process.log.read_text()}')

    def write_settings(self, name: str, zone: str, **changes: Any) -> Path:
        """Write the settings file of an entry VM."""
        ports = self.ports.setdefault(
            name,
            {
                part: free_port()
                for part in ('front', 'ready', 'control', 'directory')
            },
        )
        fields = {
            'node': name,
            'region': 'bayern',
            'zone': zone,
            'ip': '127.0.0.1',
            'listen': {
                part: f'127.0.0.1:{port}' for part, port in ports.items()
            },
            'seeds': [
                f'127.0.0.1:{known["control"]}'
                for known in list(self.ports.values())[:3]
            ],
            'limits': LIMITS,
            'bounds': BOUNDS,
            'provider': {'address': f'127.0.0.1:{self.store_port}'},
            'cloud_api': {
                'address': f'127.0.0.1:{self.duties_port}',
                'duties': ['usage', 'autoscale'],
            },
            **changes,
        }
        text = render(self._template, fields)
        # All entry VMs of a script share one address.
        text = text.replace('127.0.0.1:9464', f'127.0.0.1:{free_port()}')
        path = self.folder / f'{name}.ini'
        path.write_text(text)
        return path

    async def start_gateway(self, name: str, zone: str = 'garching') -> Process:
        """Start the role of the deploy file on one entry VM."""
        path = self.folder / f'{name}.ini'
        if not path.exists():
            path = self.write_settings(name, zone)
        env = {**self._env, 'MALLOWSPINDLE_SETTINGS': str(path)}
        return await self.start_process(name, self._run, env)

    async def is_ready(self, name: str) -> bool:
        """Return whether an entry VM says that it is ready."""
        try:
            status, _ = await get(self.ports[name]['ready'], '/ready')
        except OSError:
            return False
        return status == 200

    async def wait_ready(self, *names: str) -> None:
        """Wait until entry VMs are ready."""
        ends_s = time.monotonic() + _START_S
        for name in names:
            while not await self.is_ready(name):
                if time.monotonic() > ends_s or not self.processes[name].running:
                    raise RuntimeError(f'{name} is not ready')
                await asyncio.sleep(0.05)

    async def start_platform(self) -> None:
        """Start the stand-ins of the store and of the duties interface."""
        kind = 'mallowspindle.standins.platform_'
        self.store_port = await self.start_standin('store', '-m', f'{kind}store')
        self.duties_port = await self.start_standin(
            'duties', '-m', f'{kind}duties'
        )

    async def put(self, topic: str, key: str, document: object) -> None:
        """Write a record as the operator or a server does."""
        body = json.dumps(document).encode() if document is not None else b''
        status, _ = await post(
            self.store_port, f'/operator/{topic}/{key}', body
        )
        if status != 200:
            raise RuntimeError(f'the store answered {status}')

    async def stop(self) -> None:
        """End all processes, and drop the temporary folder."""
        for process in self.processes.values():
            await process.end()
        self._record.close()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)


async def read_response(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    """Return status, headers and body of a response with a length."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in filter(None, lines):
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).strip() or b'0', 16)
            part = await reader.readexactly(size + 2)
            if not size:
                break
            body += part[:-2]
    else:
        length = int(headers.get('content-length', '0'))
        body = await reader.readexactly(length)
    return int(first.split()[1]), headers, body


async def call(port: int, head: str, body: bytes = b'') -> tuple[int, bytes]:
    """Send one request on a new connection; return status and body."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        writer.write(head.encode() + body)
        status, _, answer = await read_response(reader)
        return status, answer
    finally:
        writer.close()


async def get(port: int, path: str) -> tuple[int, bytes]:
    """Return the answer to a GET request."""
    return await call(
        port, f'GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
    )


async def post(port: int, path: str, body: bytes) -> tuple[int, bytes]:
    """Return the answer to a POST request."""
    head = (
        f'POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return await call(port, head, body)
