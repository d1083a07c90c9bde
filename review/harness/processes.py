"""Processes of a small venture on loopback, started as the deploy file says."""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from aiohttp import ClientSession, ClientTimeout

ROOT = Path(__file__).resolve().parents[2]
HOST = 'desk.example'
KEY = 'key-of-haulier'
TENANT = 'haulier'
_START_TIMEOUT_S = 20.0
_ENVIRONMENT = ('PATH', 'HOME', 'LANG')

# Bounds of the sheet of vagmoms-reclaim that the template names.
BOUNDS = {
    'grace_s': 8,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 52,
    'quota_window_s': 8,
    'usage_window_s': 5,
    'config_apply_ms': 2000,
    # The site has no rollouts, so these are rendered as empty text.
    'expose_share': '',
    'expose_slack': '',
    'rollback_ms': '',
}
# Limits of its machines.
LIMITS = {'memory_mb': 300, 'max_fds': 4200}


def ip_of(number: int) -> str:
    """Return the loopback address of a machine; all have the same length.

    Cases that run at the same time use different ones, since the port of the
    metrics is fixed in the template.
    """
    return f'127.{100 + os.getpid() % 100}.{50 + number}.1'


def free_port(hosts: list[str]) -> int:
    """Return a port that is free at all of some loopback addresses."""
    for _ in range(100):
        with socket.socket() as first:
            first.bind((hosts[0], 0))
            port = int(first.getsockname()[1])
            try:
                for host in hosts[1:]:
                    with socket.socket() as other:
                        other.bind((host, port))
            except OSError:
                continue
            return port
    raise RuntimeError('no free port was found')


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the parts of the template language that deploy/ uses."""

    def find(path: str) -> Any:
        found: Any = fields
        for name in path.split('.'):
            found = found[name]
        return found

    def section(match: re.Match[str]) -> str:
        return ''.join(
            match.group(2).replace('{{.}}', str(entry))
            for entry in find(match.group(1))
        )

    text = re.sub(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', section, template)
    return re.sub(
        r'\{\{([\w.]+)\}\}', lambda match: str(find(match.group(1))), text
    )


class Process:
    """A child process whose output goes to a file."""

    def __init__(
        self, child: asyncio.subprocess.Process, log_path: Path
    ) -> None:
        self._child = child
        self._log_path = log_path

    @property
    def pid(self) -> int:
        return self._child.pid

    @property
    def running(self) -> bool:
        return self._child.returncode is None

    @property
    def exit_status(self) -> int | None:
        return self._child.returncode

    def signal(self, number: signal.Signals) -> None:
        if self.running:
            self._child.send_signal(number)

    async def kill(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self._child.wait()

    def lines(self, message: str) -> list[dict[str, Any]]:
        """Return the logged lines that have a message."""
        found = []
        for line in self._log_path.read_text(errors='replace').splitlines():
            if line.startswith('{') and f'"message": "{message}"' in line:
                found.append(json.loads(line))
        return found

    async def port(self) -> int:
        """Return the port that a stand-in prints when it listens."""
        async with asyncio.timeout(_START_TIMEOUT_S):
            while True:
                for line in self._log_path.read_text().splitlines():
                    if line.startswith('{"port"'):
                        return int(json.loads(line)['port'])
                if not self.running:
                    raise RuntimeError(self._log_path.read_text())
                await asyncio.sleep(0.05)


class Machine:
    """An entry VM: its addresses, its settings and its process."""

    def __init__(self, number: int, name: str, zone: str) -> None:
        self.number = number
        self.name = name
        self.zone = zone
        self.ip = ip_of(number)
        ports = {
            listener: free_port([self.ip])
            for listener in ('front', 'ready', 'control', 'directory')
        }
        self.listen = {
            listener: f'{self.ip}:{port}' for listener, port in ports.items()
        }
        self.process: Process | None = None

    @property
    def running_process(self) -> Process:
        if self.process is None:
            raise RuntimeError(f'{self.name} was not started')
        return self.process


class Venture:
    """Starts processes in a temporary folder and ends them all."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.session = ClientSession(timeout=ClientTimeout(total=30))
        self.store_address = ''
        self.duties_address = ''
        self.machines: list[Machine] = []
        self._processes: list[Process] = []

    async def __aenter__(self) -> 'Venture':
        return self

    async def __aexit__(self, *error: object) -> None:
        await asyncio.gather(*(process.kill() for process in self._processes))
        await self.session.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def start(
        self, name: str, command: list[str], extra: dict[str, str] | None = None
    ) -> Process:
        """Start a command at the repository root."""
        environment = {
            key: os.environ[key] for key in _ENVIRONMENT if key in os.environ
        }
        environment['PYTHONPATH'] = f'{ROOT}/target/deps:{ROOT}:{ROOT}/review'
        environment['PYTHONUNBUFFERED'] = '1'
        environment.update(extra or {})
        log_path = self.folder / f'{name}.log'
        with log_path.open('ab') as log_file:
            child = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
            )
        process = Process(child, log_path)
        self._processes.append(process)
        return process

    async def start_standin(self, module: str, *arguments: str) -> str:
        """Start a stand-in and return its address."""
        name = f'{module.rpartition(".")[-1]}-{len(self._processes)}'
        process = await self.start(
            name, [sys.executable, '-m', module, *arguments]
        )
        return f'127.0.0.1:{await process.port()}'

    async def start_platform(self) -> None:
        """Start the project's stand-ins of the store and of the duties."""
        self.store_address = await self.start_standin(
            'mallowspindle.standins.platform_store'
        )
        self.duties_address = await self.start_standin(
            'mallowspindle.standins.platform_duties'
        )

    async def put(self, topic: str, key: str, document: Any) -> None:
        """Write a record as the operator and the servers do."""
        url = f'http://{self.store_address}/operator/{topic}/{key}'
        async with self.session.post(
            url, data=json.dumps(document).encode()
        ) as response:
            response.raise_for_status()

    async def get(self, address: str, path: str) -> Any:
        async with self.session.get(f'http://{address}{path}') as response:
            response.raise_for_status()
            return await response.json(content_type=None)

    def add_machine(self, name: str, zone: str) -> Machine:
        machine = Machine(len(self.machines) + 1, name, zone)
        self.machines.append(machine)
        return machine

    async def start_machine(
        self, machine: Machine, store_address: str | None = None
    ) -> Process:
        """Start the daemon of a machine with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['gateway']
        zones = {other.zone: 'se-mitt' for other in self.machines}
        fields = {
            'node': machine.name,
            'region': 'se-mitt',
            'zone': machine.zone,
            'zones': zones,
            'ip': machine.ip,
            'listen': machine.listen,
            'seeds': [other.listen['control'] for other in self.machines][:3],
            'provider': {'address': store_address or self.store_address},
            'cloud_api': {'address': self.duties_address, 'duties': ['usage']},
            'bounds': BOUNDS,
            'limits': LIMITS,
        }
        settings = render((ROOT / role['template']).read_text(), fields)
        path = self.folder / f'{machine.name}.ini'
        path.write_text(settings)
        command = [
            sys.executable if word == 'python3' else word
            for word in role['run'].split()
        ]
        variables = {**role['env'], 'MALLOWSPINDLE_SETTINGS': str(path)}
        machine.process = await self.start(machine.name, command, variables)
        return machine.process

    async def wait_until_ready(self, machine: Machine) -> None:
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not await self.is_ready(machine):
                if not machine.running_process.running:
                    raise RuntimeError(f'{machine.name} has ended')
                await asyncio.sleep(0.05)

    async def is_ready(self, machine: Machine) -> bool:
        url = f'http://{machine.listen["ready"]}/ready'
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except OSError:
            return False
