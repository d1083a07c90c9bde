"""What tests of gateways look at."""

import asyncio
from typing import Any

import pytest
from aiohttp import ClientError, ClientResponse

from mallowspindle.standins.gateways import GatewayVenture

EVENTS = 5
WHOLE_STREAM = ''.join(
    f'id: {number}\ndata: t{number}\n\n' for number in range(1, EVENTS + 1)
)


async def all_runs(
    venture: GatewayVenture, request_id: str
) -> list[dict[str, Any]]:
    """Return the runs of a request at all servers."""
    names = ('model-1', 'model-2', 'shop-1', 'shop-2')
    runs = await asyncio.gather(*(venture.runs(name) for name in names))
    return [run for part in runs for run in part if run['id'] == request_id]


async def find_holder(venture: GatewayVenture) -> str:
    """Wait for the holder of the duties and return its name."""

    async def known() -> bool:
        return any(
            venture.log_lines(name, 'duties taken over')
            for name in ('entry-1', 'entry-2')
        )

    await venture.wait_until(known)
    return next(
        name
        for name in ('entry-1', 'entry-2')
        if venture.log_lines(name, 'duties taken over')
    )


async def has_version(venture: GatewayVenture, version: int) -> bool:
    """Tell whether a version is in force at both gateways."""
    return all(
        any(
            line['version'] == version
            for line in venture.log_lines(name, 'configuration in force')
        )
        for name in ('entry-1', 'entry-2')
    )


async def registered(venture: GatewayVenture, server: str) -> bool:
    """Tell whether the first gateway knows a server."""
    return any(
        line['server'] == server
        for line in venture.log_lines('entry-1', 'backend server registered')
    )


async def has_run(venture: GatewayVenture, request_id: str) -> bool:
    """Tell whether a request ran at the third model server."""
    return any(run['id'] == request_id for run in await venture.runs('model-3'))


async def is_draining(venture: GatewayVenture, server: str) -> bool:
    """Tell whether the first gateway knows that a server is leaving."""
    return any(
        line['server'] == server and line['draining']
        for line in venture.log_lines('entry-1', 'backend server registered')
    )


def text_of_events(count: int) -> str:
    """Return a stream of so many events."""
    return ''.join(
        f'id: {number}\ndata: t{number}\n\n' for number in range(1, count + 1)
    )


async def read_until_cut(response: ClientResponse) -> str:
    """Return what came of a stream that must not look whole."""
    got = b''
    with pytest.raises(ClientError):
        async with asyncio.timeout(10):
            while chunk := await response.content.readany():
                got += chunk
    return got.decode()
