"""Connections that the server closes, and callers that take long."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import cast

import pytest
from aiohttp.web import BaseRequest, Response

from mallowspindle.catalog.configuration import CallerLimits
from mallowspindle.proxy.callers import CallerConnection, CallerServer

_REQUEST = b'GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n'
_UNFINISHED = (
    b'POST / HTTP/1.1\r\nHost: shop.example\r\n'
    b'Content-Length: 50\r\n\r\nsome of it'
)
_CLOSE_TIMEOUT_S = 0.3
# The operators tolerate requests that cross the close of their connection if it
# ends within this time.
_LOSS_SLACK_S = 0.2
_PATIENCE_S = 2.0
_LIMITS = CallerLimits(header_timeout_s=0.3, idle_timeout_s=0.4)
# Longer than the limits, and longer than a step that counts as running.
_STANDSTILL_S = 1.0

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@asynccontextmanager
async def _serving(work_s: float) -> AsyncIterator[tuple[CallerServer, int]]:
    """Serve requests, each for so long; yield the server and its port."""

    async def handle(request: BaseRequest) -> Response:
        await asyncio.sleep(work_s)
        return Response(text='done')

    server = CallerServer(handle)
    listener = await asyncio.get_running_loop().create_server(
        server, '127.0.0.1', 0
    )
    yield server, listener.sockets[0].getsockname()[1]
    await server.shutdown(0.01)
    listener.close()


async def _ask(connection: Connection) -> bytes:
    """Send a request and return the response; empty if there is none."""
    reader, writer = connection
    try:
        writer.write(_REQUEST)
        async with asyncio.timeout(_PATIENCE_S):
            head = await reader.readuntil(b'\r\n\r\n')
            return head + await reader.readexactly(len('done'))
    except (OSError, asyncio.IncompleteReadError):
        return b''


@pytest.mark.parametrize('sent_after_s', [0.02, 0.05, 0.09])
async def test_requests_on_kept_connections_are_not_read_and_dropped(
    sent_after_s: float,
) -> None:
    """Guards against callers who wait for an answer that never comes."""
    loop = asyncio.get_running_loop()
    async with _serving(0) as (server, port):
        kept = await asyncio.open_connection('127.0.0.1', port)
        assert await _ask(kept)
        closing = asyncio.create_task(server.close(_CLOSE_TIMEOUT_S))
        await asyncio.sleep(sent_after_s)
        sent_at_s = loop.time()
        answer = await _ask(kept)
        assert answer or loop.time() - sent_at_s < _LOSS_SLACK_S / 2
        await closing
        kept[1].close()


async def test_requests_in_progress_are_answered_before_the_close() -> None:
    async with _serving(0.1) as (server, port):
        connection = await asyncio.open_connection('127.0.0.1', port)
        asked = asyncio.create_task(_ask(connection))
        await asyncio.sleep(0.05)
        await server.close(_CLOSE_TIMEOUT_S)
        assert b'200 OK' in await asked
        connection[1].close()


async def test_requests_that_last_longer_do_not_delay_the_close() -> None:
    loop = asyncio.get_running_loop()
    async with _serving(5) as (server, port):
        connection = await asyncio.open_connection('127.0.0.1', port)
        asked = asyncio.create_task(_ask(connection))
        await asyncio.sleep(0.05)
        began_at_s = loop.time()
        await server.close(_CLOSE_TIMEOUT_S)
        assert loop.time() - began_at_s < 2 * _CLOSE_TIMEOUT_S
        assert await asked == b''
        connection[1].close()


def _stand_still() -> None:
    """Keep the event loop of this process from running."""
    time.sleep(_STANDSTILL_S)


@pytest.mark.parametrize('first_bytes', [0, 20], ids=['idle', 'head'])
async def test_requests_that_wait_to_be_read_are_not_late(
    first_bytes: int,
) -> None:
    """Guards against limits that count what the process has not read yet."""
    async with _serving(0.1) as (server, port):
        connection = await asyncio.open_connection('127.0.0.1', port)
        if first_bytes:
            connection[1].write(_REQUEST[:first_bytes])
        await asyncio.sleep(0.1)
        connection[1].write(_REQUEST[first_bytes:])
        _stand_still()
        await server.close_overdue(_LIMITS)
        async with asyncio.timeout(_PATIENCE_S):
            head = await connection[0].readuntil(b'\r\n\r\n')
        assert b'200 OK' in head
        connection[1].close()


async def test_standstills_of_the_process_do_not_count() -> None:
    """Guards against limits that pass while a caller's data is on its way."""
    limits = CallerLimits(header_timeout_s=0.8)
    async with _serving(0) as (server, port):
        connection = await asyncio.open_connection('127.0.0.1', port)
        connection[1].write(_REQUEST[:20])
        await asyncio.sleep(0.1)
        _stand_still()
        await server.close_overdue(limits)
        connection[1].write(_REQUEST[20:])
        async with asyncio.timeout(_PATIENCE_S):
            head = await connection[0].readuntil(b'\r\n\r\n')
        assert b'200 OK' in head
        connection[1].close()


async def test_nothing_runs_after_the_refusal_of_a_late_head() -> None:
    """Guards against requests that run although they were answered 408."""
    async with _serving(0) as (server, port):
        connection = await asyncio.open_connection('127.0.0.1', port)
        connection[1].write(_REQUEST[:20])
        await asyncio.sleep(0.4)
        await server.close_overdue(_LIMITS)
        async with asyncio.timeout(_PATIENCE_S):
            answer = await connection[0].readuntil(b'\r\n\r\n')
        assert answer.split()[1] == b'408'
        connection[1].write(_REQUEST[20:])
        await asyncio.sleep(0.1)
        assert not server.requests_count
        connection[1].close()


@pytest.mark.parametrize('refuse', ['close_unless_serving', 'refuse_costly'])
async def test_refusals_wait_for_the_response_in_progress(refuse: str) -> None:
    """Guards against a 503 for the next request, told to one that runs."""
    async with _serving(0.3) as (server, port):
        connection = await asyncio.open_connection('127.0.0.1', port)
        connection[1].write(_REQUEST + _UNFINISHED)
        await asyncio.sleep(0.1)
        (open_connection,) = server.connections
        getattr(cast(CallerConnection, open_connection), refuse)()
        async with asyncio.timeout(_PATIENCE_S):
            head = await connection[0].readuntil(b'\r\n\r\n')
        assert b'200 OK' in head
        connection[1].close()
