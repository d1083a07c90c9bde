"""Two scripted servers behind a node that callers use."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

from aiohttp import ClientSession

from mallowspindle.standins.scripted_server import Script, ScriptedServer
from mallowspindle.tests.proxy.nodes import HOST, KEY, CutVenture, Node

PATHS = ('direct', 'through a peer')


class Shop:
    """Two servers with one script, and the node that callers use."""

    def __init__(self, node: Node, session: ClientSession) -> None:
        self._node = node
        self._session = session
        self.servers: list[ScriptedServer] = []

    async def order(
        self, request_id: str, body: bytes = b'', path: str = '/orders/1'
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send a request; return status, body and headers of its response."""
        headers = {
            'Host': HOST,
            'Request-Id': request_id,
            'Deadline-Ms': '2000',
            'Authorization': f'Token {KEY}',
            **({'X-Unread': '1'} if body else {}),
        }
        async with self._session.post(
            f'http://{self._node.address}{path}', headers=headers, data=body
        ) as response:
            text = await response.read()
            return response.status, text, dict(response.headers)

    def runs(self, request_id: str) -> int:
        """Return how often a request has run."""
        return sum(server.runs[request_id] for server in self.servers)

    def arrivals(self, request_id: str) -> int:
        """Return how often a request has reached a server."""
        return sum(
            arrival.request_id == request_id
            for server in self.servers
            for arrival in server.arrivals
        )


@asynccontextmanager
async def open_shop(
    path: str, script: Script, service: str = 'shop'
) -> AsyncIterator[Shop]:
    """Start two servers of a service, reached by a node or by its peer only."""
    async with CutVenture(2) as venture, ClientSession() as session:
        caller_node, serving_node = venture.nodes
        if path == 'direct':
            serving_node = caller_node
        else:
            venture.cut([caller_node], silent=False)
        shop = Shop(caller_node, session)
        for name in (f'{service}-0', f'{service}-1'):
            server = ScriptedServer(script)
            serving_node.servers[name] = replace(
                serving_node.servers[name], address=await server.start()
            )
            shop.servers.append(server)
        serving_node.note_servers()
        yield shop
        for server in shop.servers:
            server.stop()
