"""The paths of machines to the servers and to the store.

Each machine has a path of its own to each server, a proxy on its own loopback
address, so that one machine alone can be partitioned from all servers. The
store shows to each machine the servers at its own paths; all else passes
unchanged.
"""

import asyncio
import base64
import json

from aiohttp import ClientSession, web

from harness.processes import Machine, free_port, ip_of

# The address under which servers register. That of a machine has as many bytes.
REGISTERED_IP = ip_of(0)


class ServerPath:
    """The path of one machine to one server."""

    def __init__(self, host: str, port: int, target: str) -> None:
        self._host = host
        self._port = port
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port
        )

    def cut(self) -> None:
        """Refuse new channels and reset the open ones."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        await asyncio.gather(
            _pump(reader, far_writer), _pump(far_reader, writer)
        )
        self._writers -= {writer, far_writer}


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
        writer.close()
    except OSError:
        writer.transport.abort()


class Paths:
    """All paths between the machines and the servers."""

    def __init__(self, machines: list[Machine]) -> None:
        self._machines = machines
        self._paths: dict[str, list[ServerPath]] = {
            machine.name: [] for machine in machines
        }

    async def add_server(self, target: str) -> str:
        """Open the paths to a server; return the address to register."""
        hosts = [machine.ip for machine in self._machines]
        port = free_port([REGISTERED_IP, *hosts])
        for machine in self._machines:
            path = ServerPath(machine.ip, port, target)
            await path.open()
            self._paths[machine.name].append(path)
        return f'{REGISTERED_IP}:{port}'

    def cut(self, machine: Machine) -> None:
        """Partition a machine from all servers."""
        for path in self._paths[machine.name]:
            path.cut()

    async def heal(self, machine: Machine) -> None:
        for path in self._paths[machine.name]:
            await path.open()


class StoreView:
    """The store as one machine reaches it."""

    def __init__(self, store_address: str, machine: Machine) -> None:
        self._url = f'http://{store_address}'
        self._old = f'{REGISTERED_IP}:'.encode()
        self._new = f'{machine.ip}:'.encode()
        self._session = ClientSession()
        self._runner: web.ServerRunner | None = None
        self._ip = machine.ip

    async def start(self) -> str:
        """Start to listen; return the address."""
        self._runner = web.ServerRunner(web.Server(self._serve))
        await self._runner.setup()
        port = free_port([self._ip])
        await web.TCPSite(self._runner, self._ip, port).start()
        return f'{self._ip}:{port}'

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()
        await self._session.close()

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        async with self._session.request(
            request.method,
            f'{self._url}{request.path_qs}',
            data=await request.read(),
        ) as response:
            body = await response.read()
            headers = {
                name: text
                for name, text in response.headers.items()
                if name in {'Store-Era', 'Content-Type'}
            }
            status = response.status
        if request.path == '/log-newest' and status == 200:
            body = self._translate_newest(body)
        elif request.path == '/log-read':
            body = body.replace(self._old, self._new)
        return web.Response(status=status, body=body, headers=headers)

    def _translate_newest(self, body: bytes) -> bytes:
        document = json.loads(body)
        for item in document['items']:
            text = base64.b64decode(item['value'])
            text = text.replace(self._old, self._new)
            item['value'] = base64.b64encode(text).decode()
        return json.dumps(document).encode()
