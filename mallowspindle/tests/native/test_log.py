"""Tests of the log client: the error that each fault of the log causes."""

from collections.abc import AsyncIterator
from typing import Any

import pytest
import pytest_asyncio
from aiohttp.test_utils import TestServer

from mallowspindle.bench.proxy import FaultMode, FaultProxy
from mallowspindle.log.errors import (
    AppendRefused,
    AppendUncertain,
    LogError,
    RecordsExpired,
)
from mallowspindle.native.log import LogClient
from mallowspindle.standins.log import LogStandin

STREAM = 'stream'


@pytest_asyncio.fixture
async def server() -> AsyncIterator[TestServer]:
    test_server = TestServer(LogStandin(3600, 10_000).app())
    async with test_server:
        yield test_server


@pytest_asyncio.fixture
async def client(server: TestServer) -> AsyncIterator[LogClient]:
    log_client = LogClient.from_url(str(server.make_url('')), 0.3)
    yield log_client
    await log_client.close()


async def test_offsets_are_consecutive(client: LogClient) -> None:
    offsets = [await client.append(STREAM, b'x') for _ in range(3)]
    page = await client.read_to_end(STREAM, 0)
    assert offsets == [0, 1, 2]
    assert [record.offset for record in page.records] == offsets


# Faults, the expected error of an append, and whether the record is stored.
APPEND_FAULTS: dict[str, tuple[dict[str, Any], type[Exception], bool]] = {
    'refused': ({'refuse': 1}, AppendRefused, False),
    'down': ({'down': True}, AppendRefused, False),
    'answer lost': ({'lose_answers': 1}, AppendUncertain, True),
    'too slow': ({'slow_s': 0.6}, AppendUncertain, True),
}


@pytest.mark.parametrize('fault', APPEND_FAULTS.values(), ids=APPEND_FAULTS)
async def test_append_faults(
    server: TestServer,
    client: LogClient,
    fault: tuple[dict[str, Any], type[Exception], bool],
) -> None:
    faults, error, stored = fault
    await _set_faults(server, client, faults)
    with pytest.raises(error):
        await client.append(STREAM, b'x')
    no_faults = {'down': False, 'slow_s': 0}
    await _set_faults(server, client, no_faults)
    page = await client.read(STREAM, 0)
    assert bool(page.records) == stored


async def test_uncertain_append_may_take_effect_later(
    server: TestServer, client: LogClient
) -> None:
    await _set_faults(server, client, {'lose_answers': 1, 'late_s': 0.4})
    with pytest.raises(AppendUncertain):
        await client.append(STREAM, b'x')
    assert not (await client.read(STREAM, 0)).records
    assert (await client.read(STREAM, 0, wait_s=5)).records


async def test_read_of_expired_records_reports_the_first_offset(
    server: TestServer, client: LogClient
) -> None:
    for _ in range(3):
        await client.append(STREAM, b'x')
    url = server.make_url('/expire')
    await client._session.post(url, json={'stream': STREAM, 'before': 2})
    with pytest.raises(RecordsExpired) as caught:
        await client.read(STREAM, 0)
    assert caught.value.first_offset == 2


@pytest.mark.parametrize(
    ('mode', 'error'),
    [
        (FaultMode.CUT, LogError),
        (FaultMode.FREEZE, AppendUncertain),
        (FaultMode.DROP_ANSWERS, AppendUncertain),
    ],
)
async def test_network_faults(
    server: TestServer, mode: FaultMode, error: type[Exception]
) -> None:
    proxy = await FaultProxy.start(f'127.0.0.1:{server.port}')
    client = LogClient.from_url(proxy.url, 0.3)
    proxy.switch_mode(mode)
    with pytest.raises(error):
        await client.append(STREAM, b'x')
    with pytest.raises(LogError):
        await client.read(STREAM, 0)
    await client.close()
    await proxy.stop()


async def test_append_to_an_unreachable_log_is_refused() -> None:
    client = LogClient.from_url('http://127.0.0.1:1', 0.3)
    with pytest.raises(AppendRefused):
        await client.append(STREAM, b'x')
    await client.close()


async def _set_faults(
    server: TestServer, client: LogClient, faults: dict[str, Any]
) -> None:
    await client._session.post(server.make_url('/faults'), json=faults)
