"""Reading in turns, from real sockets of one process."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from aiohttp.web import BaseRequest, Response

from mallowspindle.config.common import IntakeSection
from mallowspindle.intake.bounds import IntakeBounds
from mallowspindle.intake.server import BoundedServer
from mallowspindle.intake.service import IntakeService

_CHUNKED = (
    b'POST / HTTP/1.1\r\nHost: shop.example\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
_LARGE_FIELD = b'X-Large: %b\r\n' % (b'x' * 30_000)
_BODY_BYTES = 300_000
_PATIENCE_S = 30.0


async def _echo_size(request: BaseRequest) -> Response:
    return Response(text=str(len(await request.read())))


@asynccontextmanager
async def _serving(**bounds: int) -> AsyncIterator[tuple[IntakeService, int]]:
    section = IntakeSection.model_validate(bounds)
    intake = IntakeService(IntakeBounds.from_config(section))
    server = BoundedServer(_echo_size, intake)
    listener = await asyncio.get_running_loop().create_server(
        server, '127.0.0.1', 0
    )
    yield intake, listener.sockets[0].getsockname()[1]
    await server.shutdown(0.01)
    listener.close()


async def _ask(port: int, request: bytes) -> bytes:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(request)
    async with asyncio.timeout(_PATIENCE_S):
        response = await reader.read(1000)
    writer.close()
    return response


@pytest.mark.parametrize('chunk_bytes', [1, 8, 1000, 100_000])
async def test_a_body_in_chunks_of_any_size_is_read_whole(
    chunk_bytes: int,
) -> None:
    """Guards against pauses that are never resumed."""
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, bytes(chunk_bytes))
    body = chunk * (_BODY_BYTES // chunk_bytes)
    async with _serving() as (intake, port):
        response = await _ask(port, b'%b%b0\r\n\r\n' % (_CHUNKED, body))
        assert response.endswith(str(_BODY_BYTES).encode())
        assert not intake.budget.used_bytes


async def test_requests_behind_one_in_progress_are_answered() -> None:
    """Guards against pipelined requests that stay unread."""
    request = b'GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n'
    async with _serving() as (intake, port):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        count = 3000
        writer.write(request * count)
        async with asyncio.timeout(_PATIENCE_S):
            for _ in range(count):
                await reader.readuntil(b'\r\n\r\n0')
        writer.close()
        assert not intake.budget.used_bytes


async def test_a_body_without_room_is_refused_as_not_run() -> None:
    """Guards against a connection that waits without end for room."""
    async with _serving(unfinished_bytes=100_000) as (_, port):
        head = _CHUNKED.replace(
            b'Transfer-Encoding: chunked', b'Content-Length: 300000'
        )
        response = await _ask(port, head + bytes(_BODY_BYTES - 1))
        assert response.startswith(b'HTTP/1.1 503 ')
        assert b'Retry-After: ' in response


@pytest.mark.parametrize(
    ('request_start', 'status'),
    [
        (b'GET / HTTP/1.1\r\nX-Long: %b' % (b'x' * 200_000), b'400'),
        (b'\r\n' * 100_000, b'431'),
        (b'%b1;%b' % (_CHUNKED, b'x' * 200_000), b'400'),
        (
            b'GET / HTTP/1.1\r\n%b' % (_LARGE_FIELD * 9),
            b'431',
        ),
    ],
)
async def test_bytes_without_progress_end_a_connection(
    request_start: bytes, status: bytes
) -> None:
    """Guards against heads, lines and chunk extensions without end."""
    async with _serving() as (_, port):
        response = await _ask(port, request_start)
        assert response.split()[1] == status


async def test_new_connections_replace_those_without_a_request() -> None:
    """Guards against silent connections that keep others out."""
    async with _serving(caller_connections=8) as (_, port):
        silent = [
            await asyncio.open_connection('127.0.0.1', port) for _ in range(20)
        ]
        response = await _ask(port, b'%b0\r\n\r\n' % _CHUNKED)
        assert response.startswith(b'HTTP/1.1 200 ')
        for _, writer in silent:
            writer.close()
