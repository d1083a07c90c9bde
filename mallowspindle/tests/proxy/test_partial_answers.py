"""Answers that break off before their end."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace

import pytest
from aiohttp import ClientError, ClientSession

from mallowspindle.standins.scripted_server import (
    Arrival,
    Script,
    ScriptedServer,
    answer,
)
from mallowspindle.tests.proxy.nodes import HOST, KEY, CutVenture, Node
from mallowspindle.tests.proxy.shops import PATHS, open_shop

_EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
_LAST_EVENT = b'id: 3\ndata: c\n\n'
_INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
# An upload that the server leaves unread.
_UPLOAD = b'x' * 2_000_000
# A server that has failed is avoided for a moment.
_AVOIDED_S = 0.45


async def _part_and_reset(
    server: ScriptedServer, arrival: Arrival
) -> AsyncIterator[bytes]:
    """Begin an answer without a length, and reset the connection."""
    server.runs[arrival.request_id] += 1
    part = answer(arrival.request_id, _EVENTS, framed=False)
    if arrival.target.endswith('old'):
        part = part.replace(b'HTTP/1.1', b'HTTP/1.0')
    yield _INTERIM + part
    await asyncio.sleep(0.05)
    raise ConnectionResetError


async def _part_and_close(
    server: ScriptedServer, arrival: Arrival
) -> AsyncIterator[bytes]:
    """Begin an answer without a length, and close the connection."""
    server.runs[arrival.request_id] += 1
    yield answer(arrival.request_id, _EVENTS, framed=False)
    yield b''


async def _status_zero(
    server: ScriptedServer, arrival: Arrival
) -> AsyncIterator[bytes]:
    server.runs[arrival.request_id] += 1
    yield answer(arrival.request_id, _EVENTS, status='000 Zero')


async def _whole(
    server: ScriptedServer, arrival: Arrival
) -> AsyncIterator[bytes]:
    yield answer(arrival.request_id, _LAST_EVENT)


async def _resumed(
    server: ScriptedServer, arrival: Arrival
) -> AsyncIterator[bytes]:
    """Break off a new stream, and end one that is resumed."""
    if 'last-event-id' in arrival.headers:
        yield answer(arrival.request_id, _LAST_EVENT)
        return
    async for part in _part_and_reset(server, arrival):
        yield part


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('body', [b'', _UPLOAD], ids=['', 'upload'])
@pytest.mark.parametrize('version', ['new', 'old'])
async def test_a_part_of_an_answer_is_no_answer(
    path: str, body: bytes, version: str
) -> None:
    """Guards against a part that reaches the caller as a whole answer."""
    async with open_shop(path, _part_and_reset) as shop:
        status, _, _ = await shop.order('r1', body, f'/orders/{version}')
        assert (status, shop.runs('r1')) == (502, 1)
        await asyncio.sleep(_AVOIDED_S)
        status, _, _ = await shop.order('r2', body, f'/status/{version}')
        # A peer gets one run, and there is one peer only.
        runs = 2 if path == 'direct' else 1
        assert (status, shop.runs('r2')) == (502, runs)
        await asyncio.sleep(_AVOIDED_S)
        for server in shop.servers:
            server.script = _whole
        status, found, _ = await shop.order('r3')
        assert (status, found) == (200, _LAST_EVENT)


async def _ask(node: Node, path: str) -> tuple[int, bytes | None]:
    """Return the status and the body of a response; None if it breaks off."""
    headers = {
        'Host': HOST,
        'Request-Id': 'r1',
        'Deadline-Ms': '2000',
        'Authorization': f'Token {KEY}',
    }
    url = f'http://{node.address}{path}'
    async with ClientSession() as session:
        async with session.post(url, headers=headers) as response:
            try:
                return response.status, await response.read()
            except ClientError:
                return response.status, None


@pytest.mark.parametrize(
    'script', [_part_and_reset, _part_and_close, _status_zero]
)
@pytest.mark.parametrize('path', ['/orders/1', '/letters/1'])
async def test_a_part_of_the_answer_of_a_peer_is_no_answer(
    script: Script, path: str
) -> None:
    """Guards against a part that comes from where a peer should answer."""
    async with CutVenture(2) as venture:
        node, peer = venture.nodes
        venture.cut([node], silent=False)
        server = ScriptedServer(script)
        assert venture.mesh is not None
        members = venture.mesh.memberships
        told = replace(
            members[peer.name].own, http_address=await server.start(), beat=9
        )
        members[node.name].table.merge(told)
        found = await _ask(node, path)
        assert found == (502, b'the server gave no whole answer\n')
        assert server.runs['r1'] == 1
        server.stop()


async def test_a_stream_without_a_length_that_is_reset_goes_on() -> None:
    """Guards against a stream that seems to have ended with its connection."""
    async with open_shop('direct', _resumed, 'models') as shop:
        status, body, _ = await shop.order('r1', path='/letters/1')
    assert (status, body) == (200, _EVENTS + _LAST_EVENT)
