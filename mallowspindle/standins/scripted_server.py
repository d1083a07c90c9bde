"""Stand-in for a backend server that writes bytes as a script yields them.

It keeps connections open, so that answers too many arrive on a connection that
carries other requests.
"""

import asyncio
import logging
import socket
import struct
from collections import Counter
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

log = logging.getLogger(__name__)

_ACCEPT_SIZE = 1_000_000


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as it came; ``earlier_ids`` came on its connection before."""

    headers: dict[str, str]
    target: str
    earlier_ids: tuple[str, ...]

    @property
    def request_id(self) -> str:
        """The id that the sender gave to the request."""
        return self.headers.get('request-id', '')

    @property
    def was_carried(self) -> bool:
        """Whether the connection has carried the same request before."""
        return self.request_id in self.earlier_ids


class ScriptedServer:
    """Answers requests on kept connections with the bytes of a script.

    The script yields the bytes to write for a request. An empty part closes the
    connection, and ``ConnectionResetError`` resets it. The script counts in
    ``runs`` the requests that it has run, by id.
    """

    def __init__(self, script: 'Script') -> None:
        self.script = script
        self.arrivals: list[Arrival] = []
        self.runs: Counter[str] = Counter()
        self.address = ''
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen and return the address."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=_ACCEPT_SIZE
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return self.address

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async for part in self._answer_all(reader):
                if not part:
                    break
                writer.write(part)
                await writer.drain()
        except asyncio.IncompleteReadError:
            log.debug('the other end has closed the connection')
        except ConnectionResetError:
            _reset(writer)
        finally:
            writer.close()

    async def _answer_all(
        self, reader: asyncio.StreamReader
    ) -> AsyncIterator[bytes]:
        """Yield the bytes to write for all requests of a connection."""
        earlier_ids: tuple[str, ...] = ()
        while True:
            arrival = await _read_request(reader, earlier_ids)
            earlier_ids += (arrival.request_id,)
            self.arrivals.append(arrival)
            async for part in self.script(self, arrival):
                yield part


Script = Callable[[ScriptedServer, Arrival], AsyncIterator[bytes]]


async def _read_request(
    reader: asyncio.StreamReader, earlier_ids: tuple[str, ...]
) -> Arrival:
    """Return the next request; its body is read only if it is announced."""
    lines = (await reader.readuntil(b'\r\n\r\n')).decode().split('\r\n')
    fields = [line.partition(':') for line in lines[1:-2]]
    headers = {name.lower(): text.strip() for name, _, text in fields}
    arrival = Arrival(headers, lines[0].split(' ')[1], earlier_ids)
    if 'x-unread' not in headers:
        await reader.readexactly(int(headers.get('content-length', '0')))
    return arrival


def answer(
    request_id: str | None,
    body: bytes = b'',
    *,
    status: str = '200 OK',
    lines: tuple[str, ...] = (),
    framed: bool = True,
) -> bytes:
    """Return a response, with a length if it is ``framed``."""
    head = [f'HTTP/1.1 {status}', 'Response-Signature: proof', *lines]
    if request_id is not None:
        head.append(f'Request-Id: {request_id}')
    if framed:
        head.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*head, '', '']).encode() + body


def refusal(
    request_id: str | None,
    body: bytes = b'',
    *,
    status: str = '503 Full',
    framed: bool = True,
) -> bytes:
    """Return a response that states that the request has not run."""
    return answer(
        request_id,
        body,
        status=status,
        lines=('Not-Executed: 1',),
        framed=framed,
    )


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection: it is closed with a linger time of zero."""
    raw = writer.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
