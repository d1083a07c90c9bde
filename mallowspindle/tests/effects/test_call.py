"""Classification of the responses of plain services."""

import asyncio
from itertools import accumulate

import pytest
from aiohttp import ClientSession, TCPConnector

from mallowspindle.bench.proxy import FaultMode, FaultProxy
from mallowspindle.effects.call import PlainCall, PlainClient
from mallowspindle.outcomes import Done, NotRun, Outcome, Unknown
from mallowspindle.tests.endless import MAX_TAKEN_BYTES, endless_answers

CALL = PlainCall('o', 'v/p/o', 's', 'POST', 'file', 'text/plain', b'x', 'k')
COMPLETE_RESPONSE = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
    b'Content-Length: 5\r\nX-Request-Id: own\r\n\r\nfiled'
)
REFUSAL = b'HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n'

RESPONSES: dict[str, tuple[bytes, type[Outcome]]] = {
    'whole': (COMPLETE_RESPONSE, Done),
    'for another request': (COMPLETE_RESPONSE.replace(b'own', b'not'), Unknown),
    'refused, which means not run': (REFUSAL, NotRun),
    'empty': (b'', Unknown),
    'not HTTP': (b'hello\r\n\r\n', Unknown),
    'length unknown': (b'HTTP/1.1 200 OK\r\n\r\nfiled', Unknown),
    **{
        f'status {status}': (
            COMPLETE_RESPONSE.replace(b'200', status.encode()),
            Unknown,
        )
        for status in ('000', '001', '099', '101', '103', '600', '999')
    },
    'error of the service': (
        COMPLETE_RESPONSE.replace(b'200 OK', b'500 No'),
        Done,
    ),
}


@pytest.mark.parametrize('answer', RESPONSES.values(), ids=RESPONSES)
async def test_response_classification(
    answer: tuple[bytes, type[Outcome]],
) -> None:
    sent, expected = answer
    assert isinstance(await _call(sent), expected)


async def test_truncated_response_has_unknown_outcome() -> None:
    prefixes = accumulate(bytes([byte]) for byte in COMPLETE_RESPONSE[:-1])
    for prefix in prefixes:
        outcome = await _call(prefix)
        assert isinstance(outcome, Unknown), (prefix, outcome)


@pytest.mark.parametrize(
    ('mode', 'expected'),
    [
        (FaultMode.CUT, Unknown),
        (FaultMode.FREEZE, Unknown),
        (FaultMode.DROP_ANSWERS, Unknown),
        (FaultMode.PASS, Done),
    ],
)
async def test_network_faults(mode: FaultMode, expected: type[Outcome]) -> None:
    server = await _serve(COMPLETE_RESPONSE)
    port = server.sockets[0].getsockname()[1]
    proxy = await FaultProxy.start(f'127.0.0.1:{port}')
    proxy.switch_mode(mode)
    assert isinstance(await _send(proxy.address), expected)
    await proxy.stop()
    server.close()


async def test_failed_connection_means_not_run() -> None:
    assert isinstance(await _send('127.0.0.1:1'), NotRun)


async def _call(answer: bytes) -> Outcome:
    server = await _serve(answer)
    port = server.sockets[0].getsockname()[1]
    outcome = await _send(f'127.0.0.1:{port}')
    server.close()
    return outcome


async def _serve(answer: bytes) -> asyncio.Server:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(65_536)
        writer.write(answer)
        await writer.drain()
        writer.close()

    return await asyncio.start_server(serve, '127.0.0.1', 0)


async def _send(address: str) -> Outcome:
    connector = TCPConnector(force_close=True)
    client = PlainClient(ClientSession(connector=connector), 0.5, 0.5)
    outcome = await client.send(
        CALL, address, 'own', refusal_means_not_run=True
    )
    await client.close()
    return outcome


async def test_response_without_end_has_unknown_outcome() -> None:
    """Guards against a response that fills the memory of a node."""
    async with endless_answers() as server, ClientSession() as session:
        client = PlainClient(session, 0.2, 5)
        outcome = await client.send(
            CALL, server.address, 'own', refusal_means_not_run=True
        )
    assert isinstance(outcome, Unknown)
    assert server.sent_bytes < MAX_TAKEN_BYTES
