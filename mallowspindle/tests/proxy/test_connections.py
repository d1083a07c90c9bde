"""Connections to servers that send duplicate or truncated responses."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio
from aiohttp import ClientError
from multidict import CIMultiDict

from mallowspindle.proxy.upstream import SendState, Upstream

ID_HEADER = 'Request-Id'


class RawServer:
    """Sends one of the given byte strings for each request."""

    def __init__(self) -> None:
        self.connection_count = 0
        self.answers: list[bytes] = []
        self.reset = False
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen and return the URL."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        return f'http://127.0.0.1:{port}/'

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        while self.answers:
            try:
                await reader.readuntil(b'\r\n\r\n')
            except asyncio.IncompleteReadError:
                return
            writer.write(self.answers.pop(0))
            await writer.drain()
        if self.reset:
            await asyncio.sleep(0.05)
            # Closing a socket with a linger time of zero sends a TCP reset.
            raw = writer.get_extra_info('socket')
            linger = struct.pack('ii', 1, 0)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()


def _complete_response(
    request_id: str, text: str = 'ok', extra: str = ''
) -> bytes:
    return (
        f'HTTP/1.1 200 OK\r\n{ID_HEADER}: {request_id}\r\n{extra}'
        f'Content-Length: {len(text)}\r\n\r\n{text}'
    ).encode()


@pytest_asyncio.fixture(name='server')
async def _server() -> AsyncIterator[RawServer]:
    instance = RawServer()
    yield instance
    instance.stop()


@pytest_asyncio.fixture(name='upstream')
async def _upstream() -> AsyncIterator[Upstream]:
    instance = Upstream(1, ID_HEADER)
    yield instance
    await instance.close()


async def _fetch(upstream: Upstream, url: str, request_id: str) -> bytes:
    headers = CIMultiDict({ID_HEADER: request_id})
    async with upstream.send('GET', url, headers, b'', SendState()) as answer:
        body = await answer.read()
        if answer.truncated:
            raise ClientError('response is truncated')
        return body


async def test_connection_is_reused_after_complete_response(
    server: RawServer, upstream: Upstream
) -> None:
    server.answers = [_complete_response(f'r{number}') for number in range(5)]
    url = await server.start()
    for number in range(5):
        assert await _fetch(upstream, url, f'r{number}') == b'ok'
    assert server.connection_count == 1


async def test_connection_with_short_keep_alive_is_not_reused(
    server: RawServer, upstream: Upstream
) -> None:
    server.answers = [
        _complete_response(f'r{number}', extra='Keep-Alive: timeout=1\r\n')
        for number in range(2)
    ]
    url = await server.start()
    for number in range(2):
        await _fetch(upstream, url, f'r{number}')
    assert server.connection_count == 2


async def test_second_response_to_one_request_is_dropped(
    server: RawServer, upstream: Upstream
) -> None:
    server.answers = [
        _complete_response('r0') + _complete_response('r0', 'again'),
        _complete_response('r1', 'mine'),
    ]
    url = await server.start()
    assert await _fetch(upstream, url, 'r0') == b'ok'
    assert await _fetch(upstream, url, 'r1') == b'mine'


async def test_response_with_another_request_id_is_dropped(
    server: RawServer, upstream: Upstream
) -> None:
    server.answers = [
        _complete_response('old', 'not mine') + _complete_response('r0', 'mine')
    ]
    url = await server.start()
    assert await _fetch(upstream, url, 'r0') == b'mine'


async def test_unframed_response_ended_by_reset_is_truncated(
    server: RawServer, upstream: Upstream
) -> None:
    server.answers = [f'HTTP/1.1 200 OK\r\n{ID_HEADER}: r0\r\n\r\nha'.encode()]
    server.reset = True
    url = await server.start()
    with pytest.raises(ClientError):
        await _fetch(upstream, url, 'r0')
