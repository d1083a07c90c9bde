"""Servers that answer with something else than an answer."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from mallowspindle.standins.gateways import GatewayVenture

_FIRST_EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
_LAST_CHUNK = b'0\r\n\r\n'
# A server that has failed is not used for a moment.
_RECOVERY_S = 0.6
_INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'

Respond = Callable[[dict[str, str]], bytes]


def _head(headers: dict[str, str], status: str, *more: str) -> bytes:
    lines = [
        f'HTTP/1.1 {status}',
        f'Request-Id: {headers["request-id"]}',
        'Response-Signature: proof',
        *more,
    ]
    return '\r\n'.join([*lines, '', '']).encode()


class _OddServer:
    """Answers each request with bytes, and closes the connection."""

    def __init__(self, respond: Respond) -> None:
        self._respond = respond
        self._server: asyncio.Server | None = None
        self.requests: list[dict[str, str]] = []

    async def start(self) -> str:
        """Listen and return the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError:
            return
        lines = head.decode().split('\r\n')[1:-2]
        fields = [line.partition(':') for line in lines]
        headers = {name.lower(): text.strip() for name, _, text in fields}
        if 'request-id' in headers:
            self.requests.append(headers)
            writer.write(self._respond(headers))
            await writer.drain()
        writer.close()


async def _start_odd_server(
    venture: GatewayVenture, service: str, respond: Respond
) -> _OddServer:
    server = _OddServer(respond)
    entry = {
        'service': service,
        'address': await server.start(),
        'zone': 'a',
        'slots': 8,
        'state': 'ready',
        'born': 1,
    }
    content = json.dumps(entry).encode()
    # Two lifetimes of it, so that a request may go on at the second one.
    for name in ('odd-1', 'odd-2'):
        await venture.put_record('keyed.servers', name, content)
    return server


@asynccontextmanager
async def _venture(folder: Path) -> AsyncIterator[GatewayVenture]:
    async with GatewayVenture(folder) as venture:
        await venture.start_platform()
        await venture.configure()
        yield venture


async def _exchange(
    venture: GatewayVenture, path: str, request_id: str
) -> tuple[str, bytes]:
    """Return the status line and the rest of all that the caller gets."""
    url = venture.url('entry-1', path)
    reader, writer = await asyncio.open_connection(url.host, url.port)
    headers = venture.request_headers(request_id) | {'Connection': 'close'}
    lines = [f'{name}: {text}' for name, text in headers.items()]
    request = '\r\n'.join([f'GET {path} HTTP/1.1', *lines, '', ''])
    writer.write(request.encode())
    async with asyncio.timeout(12):
        received = await reader.read()
    writer.close()
    status_line, _, rest = received.partition(b'\r\n')
    return status_line.decode(), rest


@pytest.mark.parametrize('path', ['/orders/1', '/status/1', '/letters/1'])
async def test_a_status_that_is_no_final_one_is_no_answer(
    tmp_path: Path, path: str
) -> None:
    """Guards against an interim answer without a final one."""
    statuses = [
        '101 Switching Protocols',
        '099 Low',
        '000 Zero',
        '600 High',
    ]
    answers = [
        (interim, status) for interim in (b'', _INTERIM) for status in statuses
    ]

    def respond(headers: dict[str, str]) -> bytes:
        interim, status = answers[int(headers['request-id'])]
        return interim + _head(headers, status, 'Content-Length: 0')

    found = []
    async with _venture(tmp_path) as venture:
        service = 'models' if path.startswith('/letters') else 'shop'
        server = await _start_odd_server(venture, service, respond)
        await venture.start_gateway('entry-1')
        for number, answer in enumerate(answers):
            status_line, _ = await _exchange(venture, path, f'{number}')
            found.append((*answer, status_line))
            await asyncio.sleep(_RECOVERY_S)
        server.stop()
    assert found == [
        (*answer, 'HTTP/1.1 502 Bad Gateway') for answer in answers
    ]


@pytest.mark.parametrize(
    'error',
    [
        b'no such run',
        b'{"error": "no such run"}',
        b'<h1>Bad gateway</h1>\n',
        b'data: no such run',
        b'id: 7\ndata: c',
    ],
)
async def test_text_of_an_error_is_no_part_of_a_stream(
    tmp_path: Path, error: bytes
) -> None:
    """Guards against the text of an error in a stream that goes on."""

    def respond(headers: dict[str, str]) -> bytes:
        if len(server.requests) == 1:
            length = len(_FIRST_EVENTS) + 1
            head = _head(headers, '200 OK', f'Content-Length: {length}')
            return head + _FIRST_EVENTS
        head = _head(headers, '200 OK', f'Content-Length: {len(error)}')
        return head + error

    async with _venture(tmp_path) as venture:
        server = await _start_odd_server(venture, 'models', respond)
        await venture.start_gateway('entry-1')
        _, rest = await _exchange(venture, '/letters/1', 'r1')
        server.stop()
    assert _FIRST_EVENTS in rest
    assert error not in rest
    assert not rest.endswith(_LAST_CHUNK)
    assert len(server.requests) == 2


async def test_a_last_event_without_its_end_goes_on_in_a_stream(
    tmp_path: Path,
) -> None:
    last_event = b'id: 3\ndata: c'

    def respond(headers: dict[str, str]) -> bytes:
        if len(server.requests) == 1:
            length = len(_FIRST_EVENTS) + 1
            head = _head(headers, '200 OK', f'Content-Length: {length}')
            return head + _FIRST_EVENTS
        head = _head(headers, '200 OK', f'Content-Length: {len(last_event)}')
        return head + last_event

    async with _venture(tmp_path) as venture:
        server = await _start_odd_server(venture, 'models', respond)
        await venture.start_gateway('entry-1')
        _, rest = await _exchange(venture, '/letters/1', 'r1')
        server.stop()
    assert last_event in rest
    assert rest.endswith(_LAST_CHUNK)


async def test_a_continuation_without_length_and_events_is_no_end(
    tmp_path: Path,
) -> None:
    """Guards against a stream that seems whole after its next server broke."""

    def respond(headers: dict[str, str]) -> bytes:
        if len(server.requests) == 1:
            length = len(_FIRST_EVENTS) + 1
            head = _head(headers, '200 OK', f'Content-Length: {length}')
            return head + _FIRST_EVENTS
        return _head(headers, '200 OK')

    async with _venture(tmp_path) as venture:
        server = await _start_odd_server(venture, 'models', respond)
        await venture.start_gateway('entry-1')
        _, rest = await _exchange(venture, '/letters/1', 'r1')
        server.stop()
    assert _FIRST_EVENTS in rest
    assert not rest.endswith(_LAST_CHUNK)
    assert len(server.requests) == 2
