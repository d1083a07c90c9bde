"""Callers of a node that gets no processor time for a while."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType

import pytest

from mallowspindle.standins.gateways import CONFIGURATION, GatewayVenture
from mallowspindle.tests.gateway.observations import all_runs, has_version

_CALLERS = 16
_LIMITS = MappingProxyType({'header_timeout_ms': 3000, 'idle_timeout_ms': 3000})
# Within the limits, but not together with a standstill.
_PAUSE_S = 1.9
_LONG_PAUSE_S = 2.6
_STANDSTILL_S = 1.5
_BODY = b'one bird'
_HEAD_BYTES = 60

Trouble = Callable[[GatewayVenture], Awaitable[None]]


async def _stand_still(venture: GatewayVenture) -> None:
    """Stop a node from just before to long after its callers go on."""
    await asyncio.sleep(_PAUSE_S - 0.05)
    venture.process('entry-1').send_signal(signal.SIGSTOP)
    await asyncio.sleep(_STANDSTILL_S)
    venture.process('entry-1').send_signal(signal.SIGCONT)


async def _starve(venture: GatewayVenture) -> None:
    """Give a node 30 ms of each 930 ms, but not when its callers go on."""
    await asyncio.sleep(0.5)
    for _ in range(4):
        venture.process('entry-1').send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.9)
        venture.process('entry-1').send_signal(signal.SIGCONT)
        await asyncio.sleep(0.03)


class _Caller:
    """Sends an order in two parts; the second one after a pause."""

    def __init__(self, venture: GatewayVenture, request_id: str) -> None:
        self._venture = venture
        self.request_id = request_id
        self.status = ''

    async def send(self, first_bytes: int, pause_s: float) -> None:
        """Send ``first_bytes`` at once; none mean an earlier request."""
        url = self._venture.url('entry-1', '/')
        reader, writer = await asyncio.open_connection(url.host, url.port)
        data = self._order(self.request_id)
        first = data[:first_bytes] or self._order(f'former-{self.request_id}')
        writer.write(first)
        if first_bytes == 0:
            await self._read(reader)
        await asyncio.sleep(pause_s)
        writer.write(data[first_bytes:])
        self.status = await self._read(reader)
        writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> str:
        """Return the status of a response, or how the connection ended."""
        try:
            head = await reader.readuntil(b'\r\n\r\n')
        except (OSError, asyncio.IncompleteReadError) as error:
            return type(error).__name__
        fields: Mapping[str, str] = dict(
            line.split(': ', 1) for line in head.decode().split('\r\n')[1:-2]
        )
        await reader.readexactly(int(fields['Content-Length']))
        return head.split()[1].decode()

    def _order(self, request_id: str) -> bytes:
        headers = {
            **self._venture.request_headers(request_id),
            'Content-Length': str(len(_BODY)),
        }
        lines = ''.join(f'{name}: {text}\r\n' for name, text in headers.items())
        return f'POST /orders/x HTTP/1.1\r\n{lines}\r\n'.encode() + _BODY


async def _play(
    venture: GatewayVenture,
    first_bytes: int,
    trouble: Trouble,
    pause_s: float = _PAUSE_S,
) -> list[str]:
    """Return the statuses; no order may run that is answered as not run."""
    routes = [{**each, 'timeout_ms': 8000} for each in CONFIGURATION['routes']]
    await venture.configure(version=8, routes=routes, limits=dict(_LIMITS))
    await venture.wait_until(lambda: has_version(venture, 8))
    callers = [
        _Caller(venture, f'order-{number}') for number in range(_CALLERS)
    ]
    await asyncio.gather(
        trouble(venture),
        *(caller.send(first_bytes, pause_s) for caller in callers),
    )
    for caller in callers:
        if caller.status in {'408', '421', '429', '503'}:
            assert not await all_runs(venture, caller.request_id)
    return [caller.status for caller in callers]


@pytest.mark.parametrize(
    'first_bytes',
    [_HEAD_BYTES, -len(_BODY), 0],
    ids=['head', 'body', 'kept connection'],
)
async def test_callers_are_served_whose_node_stood_still(
    venture: GatewayVenture, first_bytes: int
) -> None:
    """Guards against a 408 or a reset for the node's own standstill."""
    statuses = await _play(venture, first_bytes, _stand_still)
    assert set(statuses) == {'200'}


async def test_callers_of_a_starved_node_are_not_taken_for_late(
    venture: GatewayVenture,
) -> None:
    """Guards against a 408 that a node with little processor time writes."""
    statuses = await _play(venture, _HEAD_BYTES, _starve, _LONG_PAUSE_S)
    assert '408' not in statuses
