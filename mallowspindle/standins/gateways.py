"""Gateways on loopback with stand-ins for the users' platform."""

import asyncio
import base64
import json
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any

from yarl import URL

from mallowspindle.bench.local import SHARED_KEY, LocalProcesses
from mallowspindle.bench.peer_paths import PeerPaths
from mallowspindle.bench.processes import ManagedProcess

HOST = 'shop.example'
API_KEY = 'key-of-farm'
_ANY_PORT = '127.0.0.1:0'

CONFIGURATION: Mapping[str, Any] = MappingProxyType(
    {
        'version': 7,
        'routes': [
            {
                'name': 'letters',
                'host': HOST,
                'path_prefix': '/letters/',
                'kind': 'streaming',
                'timeout_ms': 15000,
                'target_latency_ms': 1000,
                'service': 'models',
                'max_attempts': 2,
                'resumable': True,
                'sticky': True,
            },
            {
                'name': 'questions',
                'host': HOST,
                'path_prefix': '/questions/',
                'kind': 'streaming',
                'timeout_ms': 15000,
                'target_latency_ms': 1000,
                'service': 'models',
                'max_attempts': 1,
                'sticky': True,
            },
            {
                'name': 'orders',
                'host': HOST,
                'path_prefix': '/orders/',
                'kind': 'unsafe',
                'timeout_ms': 2000,
                'target_latency_ms': 200,
                'service': 'shop',
            },
            {
                'name': 'status',
                'host': HOST,
                'path_prefix': '/status/',
                'kind': 'safe',
                'timeout_ms': 2000,
                'target_latency_ms': 200,
                'service': 'shop',
                'max_attempts': 2,
            },
        ],
        'services': [
            {'name': 'models', 'max_connections': 100},
            {'name': 'shop', 'max_connections': 100},
        ],
        'tenants': [{'name': 'farm', 'api_keys': [API_KEY]}],
    }
)


class GatewayVenture(LocalProcesses):
    """Starts stand-ins and gateways and sends requests as callers do.

    With ``peer_paths``, gateways reach each other through these.
    """

    def __init__(
        self, folder: Path, peer_paths: PeerPaths | None = None
    ) -> None:
        super().__init__(folder)
        self._seeds: list[str] = []
        self._peer_paths = peer_paths
        # Sections that gateways get in addition, as INI text.
        self.more_settings = ''
        # Whether gateways take each start for their first one.
        self.bootstrap = True

    async def stop(self) -> None:
        """End all processes, then close the paths between gateways."""
        await super().stop()
        if self._peer_paths is not None:
            await self._peer_paths.stop()

    async def start_platform(self) -> None:
        """Start the store and the duties interface."""
        await asyncio.gather(
            self.start_standin('store', 'platform_store'),
            self.start_standin('duties', 'platform_duties'),
        )

    async def configure(self, **changes: Any) -> None:
        """Write the operators' configuration with ``changes`` applied."""
        document = json.dumps({**CONFIGURATION, **changes})
        await self.put_record('keyed.op', 'config', document.encode())

    async def start_server(
        self, name: str, service: str, *arguments: str
    ) -> ManagedProcess:
        """Start a backend server and register it."""
        process = await self.start_standin(
            name, 'platform_server', '--server-id', name, *arguments
        )
        await self.register(name, service)
        return process

    async def register(self, name: str, service: str, **changes: Any) -> None:
        """Write the store entry with which a server registers itself."""
        entry = {
            'service': service,
            'address': self.process(name).address,
            'zone': 'a',
            'slots': 8,
            'state': 'ready',
            'born': 1,
            **changes,
        }
        await self.put_record('keyed.servers', name, json.dumps(entry).encode())

    async def start_gateway(
        self,
        name: str,
        zone: str = 'a',
        *,
        wait: bool = True,
        traces: str = '',
        store: str = '',
        alone: bool = False,
        **proxy: Any,
    ) -> ManagedProcess:
        """Start a gateway; with ``wait``, return once it is ready.

        ``store`` is the address at which it reaches the store, if it is not
        that of the stand-in. One that is ``alone`` never meets the others.
        """
        settings = self.gateway_settings(name, zone, traces, **proxy)
        if store:
            settings = settings.replace(self.process('store').address, store)
        if alone:
            settings = settings.replace(f'seeds = {" ".join(self._seeds)}', '')
        process = await self.start_daemon(name, settings)
        endpoint = process.endpoint('peers')
        if self._peer_paths is not None:
            endpoint = await self._peer_paths.add(name, endpoint)
        if not alone and endpoint not in self._seeds:
            self._seeds.append(endpoint)
        if wait:
            await self.wait_until(lambda: self.is_ready(name))
        return process

    def gateway_settings(
        self, name: str, zone: str, traces: str = '', **proxy: Any
    ) -> str:
        """Return the settings of a gateway as INI text."""
        hedging_share = proxy.pop('hedging_share', 0)
        options = ''.join(f'{key} = {text}\n' for key, text in proxy.items())
        return (
            f'[node]\ninterface = platform\nname = {name}\nzone = {zone}\n'
            f'bootstrap = {self.bootstrap}\n'
            f'[listen]\ncallers = {_ANY_PORT}\nreadiness = {_ANY_PORT}\n'
            f'addresses = {_ANY_PORT}\npeers = {self.peers_endpoint(name)}\n'
            f'metrics = {_ANY_PORT}\n'
            f'[peers]\nshared_key = {SHARED_KEY}\n'
            f'seeds = {" ".join(self._seeds)}\n'
            f'[store]\naddress = {self.process("store").address}\n'
            f'[duties]\naddress = {self.process("duties").address}\n'
            f'kinds = usage autoscale\nusage_window_s = 1\n'
            f'[proxy]\n{options}'
            f'[hedging]\nshare = {hedging_share}\n'
            f'[telemetry]\ntraces_file = {traces}\n'
            f'{self.more_settings}'
        )

    def peers_endpoint(self, name: str) -> str:
        """Return where a gateway is to listen for peers, on a free port."""
        paths = self._peer_paths
        return f'{paths.listening}:0' if paths else _ANY_PORT

    def log_lines(self, name: str, message: str) -> list[dict[str, Any]]:
        """Return the log lines of a process that have ``message``."""
        text = self.log_path(name).read_text(encoding='utf-8')
        lines = [
            json.loads(line)
            for line in text.splitlines()
            if line.startswith('{')
        ]
        return [line for line in lines if line.get('message') == message]

    def request_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of a valid request."""
        return {
            'Host': HOST,
            'Request-Id': request_id,
            'Deadline-Ms': '10000',
            'Authorization': f'Token {API_KEY}',
        }

    def url(self, gateway: str, path: str) -> URL:
        """Return the URL of ``path`` for callers; it is not encoded again."""
        return URL(
            f'http://{self._endpoint(gateway, "callers")}{path}', encoded=True
        )

    async def call(
        self,
        gateway: str,
        method: str,
        path: str,
        request_id: str,
        body: bytes = b'',
        changes: dict[str, str] | None = None,
    ) -> tuple[int, dict[str, str], str]:
        """Send a caller's request; return status, headers and body text."""
        headers = {**self.request_headers(request_id), **(changes or {})}
        async with self._session.request(
            method, self.url(gateway, path), headers=headers, data=body or None
        ) as response:
            return (
                response.status,
                dict(response.headers),
                await response.text(),
            )

    async def is_ready(self, name: str) -> bool:
        """Return whether a gateway reports that it is ready."""
        url = f'http://{self._endpoint(name, "readiness")}/ready'
        async with self._session.get(url) as response:
            return response.status == 200

    async def addresses(self, name: str, zone: str = 'a') -> list[str]:
        """Return the gateway addresses that a gateway gives to callers."""
        endpoint = self._endpoint(name, 'addresses')
        url = f'http://{endpoint}/resolve?name={HOST}&zone={zone}'
        async with self._session.get(url) as response:
            answer = await response.json()
            return list(answer['addresses'])

    async def metrics(self, name: str) -> dict[str, float]:
        """Return the metrics of a gateway by name and labels."""
        url = f'http://{self._endpoint(name, "metrics")}/metrics'
        async with self._session.get(url) as response:
            text = await response.text()
        lines = [line for line in text.splitlines() if line[:1] != '#']
        pairs = [line.rpartition(' ') for line in lines]
        return {series: float(amount) for series, _, amount in pairs}

    async def runs(self, server: str) -> list[dict[str, Any]]:
        """Return the runs that a server recorded."""
        return list(await self.get(f'{self.process(server).url}/runs'))

    async def arrivals(self, server: str) -> list[dict[str, Any]]:
        """Return the requests that reached a server, also refused ones."""
        return list(await self.get(f'{self.process(server).url}/arrivals'))

    async def duty_calls(self) -> list[dict[str, Any]]:
        """Return the calls that the duties interface accepted."""
        return list(await self.get(f'{self.process("duties").url}/calls'))

    async def put_record(self, topic: str, key: str, content: bytes) -> None:
        """Write a keyed record; empty content deletes the key."""
        url = f'{self.process("store").url}/operator/{topic}/{key}'
        async with self._session.post(url, data=content) as response:
            response.raise_for_status()

    async def read_record(self, topic: str, key: str) -> bytes | None:
        """Return the newest record of a key as the store has it."""
        url = f'{self.process("store").url}/log-newest?topic={topic}'
        page = await self.get(url)
        found = [row for row in page['items'] if row['key'] == key]
        return base64.b64decode(found[0]['value']) if found else None

    async def restore_store(self, age_s: float) -> None:
        """Let the store come back from a copy that is ``age_s`` old."""
        url = f'{self.process("store").url}/operator-restore/{age_s}'
        async with self._session.post(url) as response:
            response.raise_for_status()

    def _endpoint(self, name: str, listener: str) -> str:
        return self.process(name).endpoint(listener)
