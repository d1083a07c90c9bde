"""Tests of responses of servers that never end."""

import asyncio

import pytest
from aiohttp import ClientError

from mallowspindle.standins.gateways import GatewayVenture
from mallowspindle.tests.gateway.observations import COMPLETE_STREAM

_MEGABYTE = 1_000_000
# What a gateway may take of a response before it closes the connection, with
# what the sockets on both sides hold. The smallest nodes have 160 MB.
_MAX_TAKEN_BYTES = 40 * _MEGABYTE
_MAX_MEMORY_KB = 160_000
_SOON_S = 5.0


def _resident_kb(pid: int) -> int:
    with open(f'/proc/{pid}/status', encoding='ascii') as status:
        line = next(line for line in status if line.startswith('VmHWM'))
    return int(line.split()[1])


@pytest.mark.parametrize(
    ('path', 'where'),
    [
        ('/letters/x', 'head'),
        ('/letters/x', 'event'),
        ('/questions/x', 'event'),
        ('/status/x', 'head'),
        ('/status/x', 'body'),
        ('/orders/x', 'body'),
    ],
)
async def test_endless_responses_are_ended_and_others_go_on(
    venture: GatewayVenture, path: str, where: str
) -> None:
    """Guards against a response that fills the memory of a node."""
    names = ('model-1', 'model-2', 'shop-1', 'shop-2')
    for name in names:
        await venture.set_faults(name, endless=where)
    began_at_s = asyncio.get_running_loop().time()
    method = 'GET' if path.startswith('/status') else 'POST'
    try:
        status, _, _ = await venture.call('entry-1', method, path, 'r1')
    except ClientError:
        status = 0
    assert status in {0, 502}
    assert asyncio.get_running_loop().time() - began_at_s < _SOON_S
    taken_bytes = 0
    for name in names:
        await venture.set_faults(name, endless='')
        url = f'{venture.process(name).url}/endless-bytes'
        taken_bytes += int(await venture.get(url))
    assert 0 < taken_bytes <= _MAX_TAKEN_BYTES
    assert _resident_kb(venture.process('entry-1').pid) < _MAX_MEMORY_KB
    _, _, text = await venture.call('entry-1', 'POST', '/letters/x', 'r2')
    assert text == COMPLETE_STREAM
