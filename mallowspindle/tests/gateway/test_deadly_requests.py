"""Tests of requests that crash each server that runs them."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from itertools import count

import pytest
import pytest_asyncio
from aiohttp import ClientError

from mallowspindle.standins.gateways import GatewayVenture
from mallowspindle.tests.gateway.crashes import crashes_at_s, restarts

_GATEWAYS = ('entry-1', 'entry-2', 'entry-3', 'entry-4')
_SERVERS = ('shop-1', 'shop-2', 'shop-3', 'shop-4')
# What the operators tolerate: so many more times at servers, later than the
# contact time after so many crashes.
_TOLERATED_CRASHES = 3
_TOLERATED_REQUESTS = 3
_CONTACT_S = 3.0
# Sound requests are answered at least this often at the end.
_SOUND_FRACTION = 0.9
_DURATION_S = 10.0
_CRASH_S = 0.6
_DEADLY_INTERVAL_S = 0.3
_SOUND_INTERVAL_S = 0.1


@pytest_asyncio.fixture
async def shops(venture: GatewayVenture) -> AsyncIterator[GatewayVenture]:
    """Add gateways and shop servers, which restart when they crash."""
    await asyncio.gather(
        venture.start_gateway('entry-3', 'b'),
        venture.start_gateway('entry-4', 'b'),
        *(venture.start_server(name, 'shop') for name in _SERVERS[2:]),
    )
    async with restarts(venture, 'shop', _SERVERS):
        yield venture


async def _send(
    venture: GatewayVenture, number: int, method: str, target: str, body: bytes
) -> int:
    gateway = _GATEWAYS[number % len(_GATEWAYS)]
    try:
        status, _, _ = await venture.call(
            gateway, method, target, f'request-{number}', body
        )
    except ClientError:
        return 0
    return status


async def _send_both(
    venture: GatewayVenture, method: str, target: str, body: bytes
) -> Counter[int]:
    """Send a deadly and sound requests; return how the last sound ones fared."""
    numbers = count()

    async def send_for(interval_s: float, targets: list[str]) -> list[int]:
        calls = []
        for sent in range(int(_DURATION_S / interval_s)):
            call = _send(
                venture,
                next(numbers),
                method,
                targets[sent % len(targets)],
                body,
            )
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(interval_s)
        return list(await asyncio.gather(*calls))

    prefix = target.rpartition('/')[0]
    sound, _ = await asyncio.gather(
        send_for(_SOUND_INTERVAL_S, [f'{prefix}/{item}' for item in range(50)]),
        send_for(_DEADLY_INTERVAL_S, [target]),
    )
    return Counter(sound[-int(2 / _SOUND_INTERVAL_S) :])


@pytest.mark.parametrize(
    ('method', 'target', 'body'),
    [('GET', '/status/deadly', b''), ('POST', '/orders/deadly', b'a goose')],
)
async def test_a_repeated_request_does_not_crash_server_after_server(
    shops: GatewayVenture, method: str, target: str, body: bytes
) -> None:
    """Guards against a request without a prompt that is sent on and on."""
    for name in _SERVERS:
        await shops.set_faults(name, deadly_target=target, crash_s=_CRASH_S)
    fates = await _send_both(shops, method, target, body)
    await asyncio.sleep(_CRASH_S)
    crashed_at_s: list[float] = []
    reached_at_s: list[float] = []
    for name in _SERVERS:
        crashed_at_s += await crashes_at_s(shops, name)
        reached_at_s += [
            run['began_at_s']
            for run in await shops.runs(name)
            if run['target'] == target
        ]
    third_s = sorted(crashed_at_s)[_TOLERATED_CRASHES - 1]
    late = [at_s for at_s in reached_at_s if at_s > third_s + _CONTACT_S]
    assert len(late) <= _TOLERATED_REQUESTS
    assert fates[200] / fates.total() >= _SOUND_FRACTION
    reasons = {
        line['reason'].partition(' (')[0]
        for gateway in _GATEWAYS
        for line in shops.log_lines(gateway, 'request refused')
    }
    assert 'the request has crashed servers' in reasons
