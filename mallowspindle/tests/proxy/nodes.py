"""Entry VMs in one process that reach the servers, or are cut off from them."""

import asyncio
import socket
import time
from collections import Counter
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import replace
from functools import partial
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import Mock

from aiohttp import ClientError, ClientSession
from aiohttp.web import BaseRequest, StreamResponse

from mallowspindle.adapter import MigrationClient
from mallowspindle.backends.service import BackendsService
from mallowspindle.catalog.configuration import (
    BackendService,
    Configuration,
    Organisation,
    Route,
    RouteKind,
    TrafficShare,
)
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.catalog.service import CatalogService
from mallowspindle.config.platform import HedgingSection, ProxySection
from mallowspindle.platform.codec import PlatformHttpCodec
from mallowspindle.policies.budget import BudgetTerms
from mallowspindle.proxy.callers import CallerServer
from mallowspindle.proxy.context import ProxyContext
from mallowspindle.proxy.gate import AdmissionGate
from mallowspindle.proxy.hedge_limits import HedgeLimits
from mallowspindle.proxy.lost_runs import LostRuns
from mallowspindle.proxy.peers import PeerRelays
from mallowspindle.proxy.quotas import Quotas
from mallowspindle.proxy.upstream import Upstream
from mallowspindle.quarantine.service import QuarantineService
from mallowspindle.retries.service import RetriesService
from mallowspindle.standins.platform_server import ServerStandin
from mallowspindle.standins.server import Listener
from mallowspindle.streams.service import StreamsService
from mallowspindle.tests.retries.fakes import LAYOUT, KeyedLog
from mallowspindle.tests.sharing.fakes import FakeMesh
from mallowspindle.usage import UsageCounter

HOST = 'shop.example'
KEY = 'key-of-farm'
EVENTS = 3
_TIMEOUT_S = 2.0
_HOLD_POLL_S = 0.01
_SERVERS = (('models', EVENTS), ('shop', 0))
_SERVERS_EACH = 2


def _route(name: str, service: str, kind: RouteKind, attempts: int) -> Route:
    return Route(
        name,
        HOST,
        f'/{name}/',
        kind,
        (TrafficShare(service, 1),),
        timeout_s=_TIMEOUT_S,
        objective_s=1,
        max_attempts=attempts,
        resumable=kind is RouteKind.STREAM,
    )


CONFIGURATION = Configuration(
    1,
    (
        _route('letters', 'models', RouteKind.STREAM, 2),
        _route('orders', 'shop', RouteKind.UNSAFE, 1),
        _route('status', 'shop', RouteKind.SAFE, 2),
    ),
    services={name: BackendService(name, 100) for name, _ in _SERVERS},
    organisations=(Organisation('farm', frozenset((KEY,))),),
)


class Node:
    """One entry VM; ``catalog.servers`` is what it knows of the servers."""

    def __init__(
        self,
        mesh: FakeMesh,
        name: str,
        log: KeyedLog,
        hedging_share: float = 0,
    ) -> None:
        sharing = mesh.nodes[name]
        self.name = name
        self.servers: dict[str, BackendServer] = {}
        self._watchers: list[Callable[[], None]] = []
        self.catalog = cast(
            CatalogService,
            SimpleNamespace(
                configuration=CONFIGURATION,
                servers=self.servers,
                is_current=True,
                is_cut_off=False,
                watch=self._watchers.append,
                note_leaving=self._note_leaving,
                servers_age_s=0,
                confirm_servers=self._confirm_servers,
            ),
        )
        self.backends = BackendsService(self.catalog, sharing)
        self.quotas = Quotas(sharing, 8)
        self.usage = UsageCounter(5, time.time)
        self.streams = StreamsService(self.catalog, sharing)
        self.quarantine = QuarantineService(sharing)
        self.upstream = Upstream(0.2, 'Request-Id')
        self.retries = RetriesService(
            BudgetTerms(0.2, 10, 50), sharing, log, LAYOUT
        )
        self.hedge_limits = HedgeLimits(
            HedgingSection(share=hedging_share, min_delay_s=0.03)
        )
        self.address = ''
        # Whether requests are held before they are handled, and answers before
        # they are sent.
        self.holds_requests = False
        self.holds_answers = False
        self._sharing = sharing
        self._caller_server: CallerServer | None = None

    async def _confirm_servers(self, timeout_s: float) -> bool:
        return True

    def _note_leaving(self, server_id: str, started_at_ms: int) -> None:
        known = self.servers[server_id]
        self.servers[server_id] = replace(known, draining=True)

    def note_servers(self) -> None:
        """Tell the services of the node that its servers have changed."""
        for watcher in self._watchers:
            watcher()

    def connections(self) -> int:
        """Return the number of connections of callers and peers."""
        server = self._caller_server
        return len(server.connections) if server else 0

    def break_connections(self) -> None:
        """Reset all connections of callers and peers."""
        if self._caller_server is not None:
            for connection in self._caller_server.connections:
                if connection.transport is not None:
                    connection.transport.abort()

    def begun(self) -> Counter[str]:
        """Return the requests that count as begun here, by organisation."""
        windows = self.usage.windows().values()
        return sum(map(Counter, windows), Counter())

    def context(self) -> ProxyContext:
        """Return the services and policies of the node's proxy."""
        return ProxyContext(
            config=ProxySection.model_validate({}),
            catalog=self.catalog,
            backends=self.backends,
            http_codec=PlatformHttpCodec(),
            upstream=self.upstream,
            quotas=self.quotas,
            retries=self.retries,
            quarantine=self.quarantine,
            streams=self.streams,
            usage=self.usage,
            peers=PeerRelays(self._sharing, b'a key'),
            lost_runs=LostRuns(Mock(MigrationClient)),
            hedge_limits=self.hedge_limits,
        )

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen for callers."""
        for each in (
            self.backends,
            self.streams,
            self.quarantine,
            self.retries,
        ):
            await each.start()
            stack.push_async_callback(each.stop)
        context = self.context()
        stalls = asyncio.create_task(context.stalls.run())
        stack.callback(stalls.cancel)
        gate = AdmissionGate(context)
        server = CallerServer(partial(self._handle, gate))
        self._caller_server = server
        listener = await asyncio.get_running_loop().create_server(
            server, '127.0.0.1', 0
        )
        stack.push_async_callback(self.upstream.close)
        stack.push_async_callback(server.shutdown, 0.1)
        stack.callback(listener.close)
        port = listener.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def _handle(
        self, gate: AdmissionGate, request: BaseRequest
    ) -> StreamResponse:
        while self.holds_requests:
            await asyncio.sleep(_HOLD_POLL_S)
        response = await gate.handle(request)
        while self.holds_answers:
            await asyncio.sleep(_HOLD_POLL_S)
        return response


class CutVenture:
    """Nodes before model and shop servers, some of them cut off."""

    def __init__(self, size: int, hedging_share: float = 0) -> None:
        self._size = size
        self._hedging_share = hedging_share
        self._stack = AsyncExitStack()
        self._entries: dict[str, BackendServer] = {}
        self.nodes: list[Node] = []
        self.mesh: FakeMesh | None = None
        self.log = KeyedLog()
        self._sent = 0

    async def __aenter__(self) -> 'CutVenture':
        mesh = await self._stack.enter_async_context(FakeMesh(self._size, 2))
        self.mesh = mesh
        self._session = await self._stack.enter_async_context(ClientSession())
        for service, events in _SERVERS:
            for number in range(_SERVERS_EACH):
                await self._start_server(f'{service}-{number}', service, events)
        for name in mesh.nodes:
            node = Node(mesh, name, self.log, self._hedging_share)
            node.servers.update(self._entries)
            await node.start(self._stack)
            self.nodes.append(node)
            self._announce(mesh, node)
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._stack.aclose()

    def cut(self, nodes: list[Node], *, silent: bool) -> None:
        """Cut nodes off from all servers: no answer, or connections refused."""
        for node in nodes:
            for name, entry in self._entries.items():
                address = self._dead_address(silent=silent)
                node.servers[name] = replace(entry, address=address)

    def heal(self, nodes: list[Node], *names: str) -> None:
        """Let nodes reach the servers again, or those with ``names``."""
        for node in nodes:
            node.servers.update(
                {
                    name: entry
                    for name, entry in self._entries.items()
                    if not names or name in names
                }
            )

    async def send(self, node: Node, path: str) -> int:
        """Send a request once; return its status, 0 for a broken answer."""
        headers = self._headers()
        method = 'GET' if path.startswith('/status/') else 'POST'
        url = f'http://{node.address}{path}'
        try:
            async with self._session.request(
                method, url, headers=headers
            ) as response:
                text = await response.text()
        except ClientError:
            return 0
        if path.startswith('/letters/') and response.status == 200:
            return 200 if text.count('data:') == EVENTS else 0
        return response.status

    def raw_request(self, path: str) -> bytes:
        """Return the bytes of a request."""
        lines = [f'POST {path} HTTP/1.1', 'Content-Length: 0']
        lines += [f'{name}: {text}' for name, text in self._headers().items()]
        return '\r\n'.join([*lines, '', '']).encode()

    def _headers(self) -> dict[str, str]:
        """Return the headers of the next request."""
        self._sent += 1
        return {
            'Host': HOST,
            'Request-Id': f'request-{self._sent}',
            'Deadline-Ms': '2000',
            'Authorization': f'Token {KEY}',
        }

    async def set_faults(self, service: str, **faults: float) -> None:
        """Set faults of all servers of a service."""
        for entry in self._entries.values():
            if entry.service == service:
                url = f'http://{entry.address}/faults'
                async with self._session.post(url, json=faults) as response:
                    response.raise_for_status()

    async def turned_away_at_s(self, name: str) -> list[float]:
        """Return when a server has turned requests away, on the loop's clock."""
        url = f'http://{self._entries[name].address}/turned-away'
        async with self._session.get(url) as response:
            return list(await response.json())

    async def set_server_faults(self, name: str, **faults: object) -> None:
        """Set faults of one server."""
        url = f'http://{self._entries[name].address}/faults'
        async with self._session.post(url, json=faults) as response:
            response.raise_for_status()

    async def runs(self) -> list[dict[str, Any]]:
        """Return all runs at all servers, with the server's version."""
        found: list[dict[str, Any]] = []
        for entry in self._entries.values():
            url = f'http://{entry.address}/runs'
            async with self._session.get(url) as response:
                found += [
                    {**run, 'version': entry.software_version}
                    for run in await response.json()
                ]
        return found

    def set_versions(self, **versions: str) -> None:
        """Set the software versions of servers, by name with underscores."""
        for name, version in versions.items():
            self._update_entry(name.replace('_', '-'), software_version=version)

    def _update_entry(self, name: str, **changes: Any) -> None:
        self._entries[name] = replace(self._entries[name], **changes)
        for node in self.nodes:
            node.servers[name] = replace(node.servers[name], **changes)
            node.note_servers()

    async def _start_server(self, name: str, service: str, events: int) -> None:
        standin = ServerStandin(name, events, 0.01)
        listener = Listener(standin.app(), '127.0.0.1', 0)
        standin.use_listener(listener)
        port = await listener.start()
        self._stack.push_async_callback(listener.close)
        self._entries[name] = BackendServer(
            name, service, f'127.0.0.1:{port}', 'zone-0', 50
        )

    def _announce(self, mesh: FakeMesh, node: Node) -> None:
        membership = mesh.memberships[node.name]
        membership.own = replace(
            membership.own, http_address=node.address, beat=2
        )
        for other in mesh.memberships.values():
            if other is not membership:
                other.table.merge(membership.own)

    def _dead_address(self, *, silent: bool) -> str:
        """Return an address that answers no connection, or refuses it."""
        listener = socket.socket()
        self._stack.callback(listener.close)
        listener.bind(('127.0.0.1', 0))
        host, port = listener.getsockname()
        if silent:
            # With its queue full, further connections get no answer.
            listener.listen(0)
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex((host, port))
                self._stack.callback(filler.close)
        return f'{host}:{port}'
