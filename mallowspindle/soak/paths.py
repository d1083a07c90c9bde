"""The paths of each node to the servers and to the store, which can fail."""

import base64
import json
import random
import socket
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any, Self

from aiohttp import ClientError, ClientSession
from aiohttp.web import BaseRequest, Response, Server, ServerRunner, TCPSite

from mallowspindle.bench.proxy import FaultMode, FaultProxy

# Each node has an address whose last number has two digits.
MAX_NODES = 80
_OK = 200
_UNAVAILABLE = 503
_SHUTDOWN_TIMEOUT_S = 0.1
_KEPT_HEADERS = frozenset(('Store-Era', 'Content-Type'))


class AddressRange:
    """Loopback addresses of one run: all of them are equally long.

    Servers register at the first one, which nobody listens on; each node is
    shown its own one in its place.
    """

    def __init__(self, rng: random.Random) -> None:
        octets = (rng.randint(100, 254) for _ in range(2))
        self._prefix = '.'.join(['127', *map(str, octets)])

    @property
    def registered(self) -> str:
        """The address at which servers register."""
        return f'{self._prefix}.10'

    @property
    def listening_for_peers(self) -> str:
        """The address on which nodes listen for each other."""
        return f'{self._prefix}.98'

    @property
    def shown_to_peers(self) -> str:
        """The address at which nodes see each other."""
        return f'{self._prefix}.99'

    def of_node(self, number: int) -> str:
        """Return the address of a node's paths; numbers begin with 0."""
        return f'{self._prefix}.{number + 11}'


def free_endpoints(host: str, number: int) -> list[str]:
    """Return so many endpoints of an address that nobody listens on."""
    with ExitStack() as stack:
        listeners = [
            stack.enter_context(socket.create_server((host, 0)))
            for _ in range(number)
        ]
        return [f'{host}:{each.getsockname()[1]}' for each in listeners]


class StoreView:
    """The store as one node reaches it, with the servers at its own paths."""

    def __init__(self, store: str, registered: str, own: str) -> None:
        self._url = f'http://{store}'
        self._registered = f'{registered}:'.encode()
        self._own = f'{own}:'.encode()
        self._host = own
        self._session = ClientSession()
        self._runner = ServerRunner(
            Server(self._serve, access_log=None),
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        self.reached = True

    @classmethod
    async def start(cls, store: str, registered: str, own: str) -> Self:
        """Start to listen on a free port of the node's address."""
        view = cls(store, registered, own)
        await view._runner.setup()
        await TCPSite(view._runner, own, 0).start()
        return view

    @property
    def address(self) -> str:
        """The ``host:port`` that the node uses."""
        return f'{self._host}:{self._runner.addresses[0][1]}'

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()
        await self._session.close()

    async def _serve(self, request: BaseRequest) -> Response:
        if not self.reached:
            if request.transport is not None:
                request.transport.abort()
            return Response(status=_UNAVAILABLE)
        try:
            return await self._forward(request)
        except ClientError:
            return Response(status=_UNAVAILABLE)

    async def _forward(self, request: BaseRequest) -> Response:
        async with self._session.request(
            request.method,
            f'{self._url}{request.path_qs}',
            data=await request.read(),
        ) as response:
            body = await response.read()
            headers = {
                name: text
                for name, text in response.headers.items()
                if name in _KEPT_HEADERS
            }
            if response.status == _OK:
                body = self._translate(request.path, body)
            return Response(status=response.status, body=body, headers=headers)

    def _translate(self, path: str, body: bytes) -> bytes:
        if path == '/log-read':
            return body.replace(self._registered, self._own)
        if path != '/log-newest':
            return body
        document: dict[str, Any] = json.loads(body)
        for entry in document['items']:
            content = base64.b64decode(entry['value'])
            content = content.replace(self._registered, self._own)
            entry['value'] = base64.b64encode(content).decode()
        return json.dumps(document).encode()


class ServerPaths:
    """One proxy for each node and server."""

    def __init__(self, addresses: AddressRange) -> None:
        self._addresses = addresses
        self._proxies: dict[tuple[int, str], FaultProxy] = {}

    async def add(self, name: str, target: str, nodes: int) -> str:
        """Open the paths of all nodes to a server; return what it registers."""
        port = int(target.rpartition(':')[2])
        for node in range(nodes):
            self._proxies[node, name] = await FaultProxy.start(
                target, self._addresses.of_node(node), port
            )
        return f'{self._addresses.registered}:{port}'

    def pass_on(self, address: str, target: str) -> None:
        """Let an address that servers registered lead to another server."""
        port = address.rpartition(':')[2]
        for proxy in self._proxies.values():
            if proxy.address.endswith(f':{port}'):
                proxy.change_target(target)

    def switch(
        self, mode: FaultMode, matches: Callable[[int, str], bool]
    ) -> None:
        """Change what happens on the paths of some nodes to some servers."""
        for (node, name), proxy in self._proxies.items():
            if matches(node, name):
                proxy.switch_mode(mode)

    async def stop(self) -> None:
        """Close all paths."""
        for proxy in self._proxies.values():
            await proxy.stop()
