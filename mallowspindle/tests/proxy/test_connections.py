"""Connections to servers that send more, or less, than one answer."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio
from aiohttp import ClientError
from multidict import CIMultiDict

from mallowspindle.proxy.upstream import SendMark, Upstream

ID_HEADER = 'Request-Id'


class RawServer:
    """Answers with the bytes that a test gives."""

    def __init__(self) -> None:
        self.opened = 0
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
        self.opened += 1
        while self.answers:
            try:
                await reader.readuntil(b'\r\n\r\n')
            except asyncio.IncompleteReadError:
                return
            writer.write(self.answers.pop(0))
            await writer.drain()
        if self.reset:
            await asyncio.sleep(0.05)
            # A close with a linger time of zero sends a reset.
            raw = writer.get_extra_info('socket')
            linger = struct.pack('ii', 1, 0)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()


def _whole(request_id: str, text: str = 'ok', extra: str = '') -> bytes:
    return (
        f'HTTP/1.1 200 OK\r\n{ID_HEADER}: {request_id}\r\n{extra}'
        f'Content-Length: {len(text)}\r\n\r\n{text}'
    ).encode()


@pytest_asyncio.fixture(name='server')
async def _server() -> AsyncIterator[RawServer]:
    made = RawServer()
    yield made
    made.stop()


@pytest_asyncio.fixture(name='upstream')
async def _upstream() -> AsyncIterator[Upstream]:
    made = Upstream(1, ID_HEADER)
    yield made
    await made.close()


async def _ask(upstream: Upstream, url: str, request_id: str) -> bytes:
    headers = CIMultiDict({ID_HEADER: request_id})
    async with upstream.send('GET', url, headers, b'', SendMark()) as answer:
        body = await answer.read()
        if answer.truncated:
            raise ClientError('cut')
        return body


async def test_connections_are_used_again(
    server: RawServer, upstream: Upstream
) -> None:
    server.answers = [_whole(f'r{number}') for number in range(5)]
    url = await server.start()
    for number in range(5):
        assert await _ask(upstream, url, f'r{number}') == b'ok'
    assert server.opened == 1


async def test_a_connection_that_closes_soon_is_not_kept(
    server: RawServer, upstream: Upstream
) -> None:
    server.answers = [
        _whole(f'r{number}', extra='Keep-Alive: timeout=1\r\n')
        for number in range(2)
    ]
    url = await server.start()
    for number in range(2):
        await _ask(upstream, url, f'r{number}')
    assert server.opened == 2


async def test_a_second_answer_behind_the_first_is_dropped(
    server: RawServer, upstream: Upstream
) -> None:
    server.answers = [
        _whole('r0') + _whole('r0', 'again'),
        _whole('r1', 'mine'),
    ]
    url = await server.start()
    assert await _ask(upstream, url, 'r0') == b'ok'
    assert await _ask(upstream, url, 'r1') == b'mine'


async def test_an_answer_to_another_request_is_dropped(
    server: RawServer, upstream: Upstream
) -> None:
    server.answers = [_whole('old', 'not mine') + _whole('r0', 'mine')]
    url = await server.start()
    assert await _ask(upstream, url, 'r0') == b'mine'


async def test_an_answer_without_length_that_is_reset_is_cut(
    server: RawServer, upstream: Upstream
) -> None:
    server.answers = [f'HTTP/1.1 200 OK\r\n{ID_HEADER}: r0\r\n\r\nha'.encode()]
    server.reset = True
    url = await server.start()
    with pytest.raises(ClientError):
        await _ask(upstream, url, 'r0')
