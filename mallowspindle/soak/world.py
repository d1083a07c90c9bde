"""The daemons, servers, store and duties of one run."""

import asyncio
import random
import signal
import socket
import time
from collections import defaultdict
from contextlib import suppress
from functools import partial
from itertools import combinations
from pathlib import Path
from typing import Any

from mallowspindle.bench.peer_paths import PeerPaths
from mallowspindle.bench.proxy import FaultMode
from mallowspindle.soak.bounds import RetryBounds
from mallowspindle.soak.paths import (
    AddressRange,
    ServerPaths,
    StoreView,
    free_endpoints,
)
from mallowspindle.standins.gateways import CONFIGURATION, GatewayVenture

OLD_VERSION = 'v1'
NEW_VERSION = 'v2'
# Streams last longer than a stopping node takes requests.
EVENTS = 45
EVENT_PAUSE_S = 0.1
_MODEL_VERSIONS = (OLD_VERSION, OLD_VERSION, NEW_VERSION, NEW_VERSION)
_SHOPS = 3
_RESTART_PAUSE_S = 0.5
# The operators' sheets of small sites.
_INTAKE = '[intake]\nmemory_mb = 300\nmax_fds = 4100\n'


class World(GatewayVenture):
    """Nodes before servers of two kinds, each node with paths of its own."""

    def __init__(self, folder: Path, rng: random.Random, size: int) -> None:
        self._addresses = AddressRange(rng)
        self._between_nodes = PeerPaths(
            self._addresses.listening_for_peers, self._addresses.shown_to_peers
        )
        super().__init__(folder, self._between_nodes)
        self._paths = ServerPaths(self._addresses)
        self._views: list[StoreView] = []
        self._listeners: list[socket.socket] = []
        self._entries: dict[str, dict[str, Any]] = {}
        self._restarts: dict[str, asyncio.Task[None]] = {}
        self._config_version = int(CONFIGURATION['version'])
        self._added_routes: list[dict[str, Any]] = []
        self._peer_endpoints = {
            f'entry-{number}': endpoint
            for number, endpoint in enumerate(
                free_endpoints(self._addresses.listening_for_peers, size)
            )
        }
        self._seeds = self._between_nodes.shown(self._peer_endpoints.values())
        self._retry_bounds = RetryBounds.from_size(size)
        self.bootstrap = False
        self.more_settings = _INTAKE
        self.size = size
        # Nodes that were removed for good.
        self.removed: set[str] = set()
        self.stopped_at_s: defaultdict[str, list[float]] = defaultdict(list)
        self.ended_by_themselves: list[str] = []

    @property
    def nodes(self) -> list[str]:
        """The names of the nodes that were not removed."""
        names = (f'entry-{number}' for number in range(self.size))
        return [name for name in names if name not in self.removed]

    @property
    def servers(self) -> list[str]:
        """The names of all servers so far."""
        return list(self._entries)

    def is_running(self, name: str) -> bool:
        """Return whether a node's process runs."""
        with suppress(KeyError):
            return self.process(name).running
        return False

    def version_of(self, server: str) -> str:
        """Return the software version of a server."""
        return str(self._entries[server]['version'])

    def service_of(self, server: str) -> str:
        """Return the service that a server belongs to."""
        return str(self._entries[server]['service'])

    def servers_of(self, service: str) -> list[str]:
        """Return the servers of a service that are registered."""
        return [
            name
            for name, entry in self._entries.items()
            if entry['service'] == service and not entry.get('gone')
        ]

    async def begin(self) -> None:
        """Start everything; return once all nodes are ready."""
        await self.start_platform()
        await self.change_configuration()
        await asyncio.gather(
            *(
                self.add_server(f'model-{number}', 'models', version)
                for number, version in enumerate(_MODEL_VERSIONS)
            ),
            *(
                self.add_server(f'shop-{number}', 'shop')
                for number in range(_SHOPS)
            ),
        )
        for number in range(self.size):
            view = await StoreView.start(
                self.process('store').address,
                self._addresses.registered,
                self._addresses.of_node(number),
            )
            self._views.append(view)
        first, *others = self.nodes
        await self.start_node(first)
        await asyncio.gather(*map(self.start_node, others))
        for name in self.nodes:
            await self.wait_until(partial(self.is_ready, name))

    async def start_node(self, name: str) -> None:
        """Start a node, or start it again."""
        number = int(name.partition('-')[2])
        await self.start_gateway(
            name,
            zone='abcd'[number % 4],
            wait=False,
            store=self._views[number].address,
            drain_timeout_s=8,
            quota_window_s=8,
            config_apply_ms=2000,
            **self._retry_bounds.proxy_options(),
        )

    def peers_endpoint(self, name: str) -> str:
        """Return where a node listens for peers, also when it starts again.

        All nodes have all of these among their seeds, as in deployments.
        """
        return self._peer_endpoints[name]

    async def change_configuration(self, **changes: Any) -> None:
        """Write the next version of the configuration.

        Routes that were added stay.
        """
        self._config_version += 1
        routes = changes.pop('routes', CONFIGURATION['routes'])
        await self.configure(
            version=self._config_version,
            routes=[*routes, *self._added_routes],
            **changes,
        )

    async def add_route(self) -> str:
        """Add a route for lookups; return its path prefix."""
        name = f'added-{len(self._added_routes)}'
        prefix = f'/{name}/'
        route = {
            **CONFIGURATION['routes'][-1],
            'name': name,
            'path_prefix': prefix,
        }
        self._added_routes.append(route)
        await self.change_configuration()
        return prefix

    async def add_server(
        self, name: str, service: str, version: str = OLD_VERSION
    ) -> None:
        """Start a server and register it at the nodes' paths."""
        await self.prepare_server(name, service, version)
        await self.write_entry(name)

    async def prepare_server(
        self,
        name: str,
        service: str,
        version: str = OLD_VERSION,
        former: str = '',
    ) -> None:
        """Start a server at the nodes' paths, without an entry.

        It takes the address of the server ``former``, which can't be reached
        any more, if there is one.
        """
        arguments = [f'--events={EVENTS}'] if service == 'models' else []
        await self.start_standin(
            name,
            'platform_server',
            f'--server-id={name}',
            f'--pause-s={EVENT_PAUSE_S if arguments else 0.02}',
            *arguments,
        )
        target = self.process(name).address
        if former:
            address = self._entries[former]['address']
            self._paths.pass_on(address, target)
        else:
            address = await self._paths.add(name, target, self.size)
        self._entries[name] = {
            'service': service,
            'address': address,
            'version': version,
        }

    async def write_entry(self, name: str, **changes: Any) -> None:
        """Write a server's entry with ``changes`` applied."""
        entry = {**self._entries[name], **changes}
        await self.register(name, entry.pop('service'), **entry)

    async def write_entries(self) -> None:
        """Write all entries again, and remove those that are gone."""
        for name, entry in list(self._entries.items()):
            if entry.get('gone'):
                await self.remove_entry(name)
            else:
                await self.write_entry(name)

    async def remove_entry(self, name: str) -> None:
        """Remove the entry of a server, which goes on serving."""
        self._entries[name]['gone'] = True
        await self.put_record('keyed.servers', name, b'')

    def cut_from_servers(self, node: str, mode: FaultMode) -> None:
        """Change a node's paths to all servers."""
        number = int(node.partition('-')[2])
        self._paths.switch(mode, lambda each, _: each == number)

    def slow_down_paths(self, node: str, delay_s: float) -> None:
        """Let what a node and the others send each other arrive later."""
        for other in self.nodes:
            if other != node:
                self._between_nodes.delay(node, other, delay_s)
                self._between_nodes.delay(other, node, delay_s)

    def cut_from_peers(
        self, node: str, others: list[str], mode: FaultMode
    ) -> None:
        """Change the paths between a node and others."""
        for other in others:
            self._between_nodes.switch(mode, node, other)

    def cut_all_from_peers(self, mode: FaultMode) -> None:
        """Change the paths between all nodes."""
        for name, other in combinations(self._peer_endpoints, 2):
            self._between_nodes.switch(mode, name, other)

    def cut_from_store(self, node: str, *, reached: bool) -> None:
        """Change whether a node reaches the store."""
        self._views[int(node.partition('-')[2])].reached = reached

    def restart_later(self, name: str, after_s: float) -> None:
        """Start a node again once its process has ended.

        One that is about to be started again already is started once.
        """

        async def restart() -> None:
            await self.process(name).wait()
            await asyncio.sleep(after_s)
            await self.start_node(name)

        former = self._restarts.get(name)
        if former is None or former.done():
            self._restarts[name] = asyncio.create_task(restart())

    async def stop_node(self, name: str) -> None:
        """Tell a node to stop, as the platform does."""
        self.stopped_at_s[name].append(time.monotonic())
        self.process(name).send_signal(signal.SIGTERM)
        self.restart_later(name, _RESTART_PAUSE_S)

    async def remove_node(self, name: str) -> None:
        """Stop a node for good; nothing answers at its address any more."""
        self.removed.add(name)
        restart = self._restarts.pop(name, None)
        if restart is not None:
            restart.cancel()
        process = self.process(name)
        peers = process.endpoint('peers')
        self.stopped_at_s[name].append(time.monotonic())
        process.send_signal(signal.SIGTERM)
        await process.wait()
        host, _, port = peers.rpartition(':')
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(0)
        self._listeners.append(listener)

    async def settle(self) -> None:
        """Wait until restarts have ended and all nodes are ready."""
        if self._restarts:
            await asyncio.wait(self._restarts.values())
        for name in self.nodes:
            if not self.is_running(name):
                self.ended_by_themselves.append(name)
                continue
            await self.wait_until(partial(self.is_ready, name))

    async def stop(self) -> None:
        """End all processes and close all paths."""
        for task in self._restarts.values():
            task.cancel()
        # A process that is being started is killed by its own task.
        await asyncio.gather(*self._restarts.values(), return_exceptions=True)
        await super().stop()
        for view in self._views:
            await view.stop()
        for listener in self._listeners:
            listener.close()
        await self._paths.stop()
