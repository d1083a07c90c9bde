"""A small venture on loopback: daemons, stand-ins and callers."""

import asyncio
from functools import partial
from hashlib import sha256
from pathlib import Path
from typing import Any

from mallowspindle.bench.local import SHARED_KEY, LocalProcesses
from mallowspindle.bench.processes import ManagedProcess
from mallowspindle.native.log import LogClient
from mallowspindle.settings.publisher import new_change, publish
from mallowspindle.settings.reader import catch_up
from mallowspindle.settings.tree import ChangeResult, SettingsTree

OPERATOR_TOKEN = 'operator-token'

ROOT_DOCUMENT = """
[split]
north = 60
south = 40

[service:claims]
idempotency_key = header
refusal_means_not_run = true
pay_per_call_micro = 1000
"""

ORGANISATION_DOCUMENT = """
[organisation]
token_sha256 = {token_hash}

[access]
services = *
models = *
"""


class Venture(LocalProcesses):
    """Starts processes, publishes settings and talks to the daemons."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self._log_client: LogClient | None = None
        self._tree = SettingsTree()
        self._seeds: list[str] = []
        self.overrides: dict[str, dict[str, Any]] = {}

    @property
    def log_client(self) -> LogClient:
        """A client of the log stand-in."""
        if self._log_client is None:
            raise RuntimeError('the platform is not started')
        return self._log_client

    @property
    def tree(self) -> SettingsTree:
        """The settings that this client has read from the log."""
        return self._tree

    async def start_platform(
        self, *, vm_list_lag_s: float = 0.2, **log_options: float
    ) -> None:
        """Start the stand-ins of the log and the cloud."""
        arguments = [
            f'--{name.replace("_", "-")}={value}'
            for name, value in log_options.items()
        ]
        await self.start_standin('log', 'log', *arguments)
        await self.start_standin('cloud', 'cloud', f'--lag-s={vm_list_lag_s}')
        self._log_client = LogClient(self._session, self.process('log').url, 2)

    async def start_engine(
        self, name: str, zone: str, *arguments: str, **fields: Any
    ) -> ManagedProcess:
        """Start an engine and add its VM to the cloud's list."""
        started = await self.start_standin(name, 'engine', *arguments)
        await self.list_vm(
            name,
            'engine',
            zone,
            started.address,
            serves='letters',
            price_micro_per_hour=2_000_000_000,
            **fields,
        )
        return started

    async def start_plain(
        self, name: str, zone: str, *arguments: str, **fields: Any
    ) -> ManagedProcess:
        """Start a plain server and add its VM to the cloud's list."""
        started = await self.start_standin(name, 'plain', *arguments)
        await self.list_vm(
            name, 'plain', zone, started.address, serves='claims', **fields
        )
        return started

    async def list_vm(
        self, vm_id: str, role: str, zone: str, address: str, **fields: Any
    ) -> None:
        """Add a VM to the cloud's list."""
        vm = {'vm_id': vm_id, 'role': role, 'zone': zone, 'address': address}
        await self.post(
            f'{self.process("cloud").url}/vms?known_before=1', {**vm, **fields}
        )

    async def start_node(
        self, name: str, zone: str, **overrides: dict[str, Any]
    ) -> ManagedProcess:
        """Start the daemon of one entry VM."""
        started = await self.start_daemon(
            name, self.node_settings(name, zone, overrides)
        )
        self._seeds.append(started.peer_address)
        await self.list_vm(name, 'entry', zone, started.address)
        return started

    async def start_nodes(self, zones: dict[str, str]) -> None:
        """Start several daemons and wait until all of them are ready."""
        (first, first_zone), *others = zones.items()
        await self.start_node(first, first_zone)
        await asyncio.gather(
            *(self.start_node(name, zone) for name, zone in others)
        )
        await self.wait_ready(*zones)

    def node_settings(
        self, name: str, zone: str, overrides: dict[str, dict[str, Any]]
    ) -> str:
        """Return the INI settings of a daemon."""
        sections: dict[str, dict[str, Any]] = {
            'node': {'name': name, 'zone': zone, 'vm_id': name},
            'peers': {
                'shared_key': SHARED_KEY,
                'seeds': ' '.join(self._seeds),
            },
            'native': {
                'log_url': self.process('log').url,
                'cloud_url': self.process('cloud').url,
            },
            'operators': {
                'token_sha256': sha256(OPERATOR_TOKEN.encode()).hexdigest()
            },
        }
        for changes in (self.overrides, overrides):
            for section, options in changes.items():
                sections.setdefault(section, {}).update(options)
        return '\n'.join(
            f'[{section}]\n'
            + ''.join(f'{key} = {value}\n' for key, value in options.items())
            for section, options in sections.items()
        )

    async def publish(self, path: str, document: str) -> ChangeResult:
        """Publish a settings document as a change to its current version."""
        await catch_up(self._tree, self.log_client)
        base = self._tree.path_version(path)
        change = new_change(path, document, base, 'operator')
        return await publish(self._tree, self.log_client, change)

    async def publish_defaults(self, *organisations: str) -> None:
        """Publish a split, a service and organisations with their tokens."""
        await self.publish('venture', ROOT_DOCUMENT)
        for name in organisations:
            token_hash = sha256(token_of(name).encode()).hexdigest()
            await self.publish(
                f'venture/north/{name}',
                ORGANISATION_DOCUMENT.format(token_hash=token_hash),
            )

    async def wait_ready(self, *nodes: str) -> None:
        """Wait until each node knows the other nodes, settings and servers."""
        for name in nodes:
            await self.wait_until(partial(self._is_ready, name, nodes))

    async def wait_in_force(self, name: str, version: int) -> None:
        """Wait until a settings version is in force at a node."""
        url = f'{self.process(name).url}/health'

        async def in_force() -> bool:
            health = await self.get(url)
            return bool(health['settings_through'] >= version)

        await self.wait_until(in_force)

    async def reclaim(self, vm_id: str, notice_s: float) -> None:
        """Send a VM a reclaim notice."""
        await self.post(
            f'{self.process("cloud").url}/vms/{vm_id}/reclaim',
            {'notice_s': notice_s},
        )

    async def runs(self, name: str) -> list[dict[str, Any]]:
        """Return the requests that a plain server has run."""
        ledger = await self.get(f'{self.process(name).url}/ledger')
        return list(ledger)

    async def _is_ready(self, name: str, nodes: tuple[str, ...]) -> bool:
        url = self.process(name).url
        known = await self.get(f'{url}/operator/nodes', OPERATOR_TOKEN)
        live = {
            info['name']
            for info in known or []
            if info['live'] and info['http_address']
        }
        servers = await self.get(f'{url}/operator/servers', OPERATOR_TOKEN)
        health = await self.get(f'{url}/health')
        return (
            live.issuperset(nodes)
            and bool(servers)
            and health['settings_through'] >= self._tree.through
        )


def token_of(organisation: str) -> str:
    """Return the token of an organisation of the venture."""
    return f'token-of-{organisation}'
