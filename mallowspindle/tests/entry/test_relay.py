"""Answers that entry VMs of the native interface relay from each other."""

import asyncio

import pytest
from aiohttp import ClientError, ClientSession
from aiohttp.test_utils import TestServer
from aiohttp.web import Application, Request, StreamResponse

from mallowspindle.entry.relay import AnswerRelay

_EVENT = b'id: 1-a\ndata: x\n\n'


@pytest.mark.parametrize(
    'body',
    [
        b'Transfer-Encoding: chunked\r\n\r\n11\r\n%b\r\n',
        b'Content-Length: 900\r\n\r\n%b',
        b'\r\n%b',
    ],
)
async def test_an_answer_that_breaks_off_at_its_owner_is_not_ended(
    body: bytes,
) -> None:
    """Guards against a part of an answer that seems whole."""

    async def own(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\n%b' % (body % _EVENT))
        writer.close()

    owner = await asyncio.start_server(own, '127.0.0.1', 0)
    host, port = owner.sockets[0].getsockname()

    async def relay(request: Request) -> StreamResponse:
        return await AnswerRelay(session).forward(request, f'{host}:{port}')

    app = Application()
    app.router.add_get('/{path:.*}', relay)
    async with owner, ClientSession() as session, TestServer(app) as node:
        async with session.get(node.make_url('/v1/requests/r/events')) as found:
            with pytest.raises(ClientError):
                await found.read()
