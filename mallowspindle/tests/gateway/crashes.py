"""Servers that crash and start again under the same address."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager, suppress

from aiohttp import ClientError

from mallowspindle.standins.gateways import GatewayVenture


@asynccontextmanager
async def restarts(
    venture: GatewayVenture, service: str, servers: Iterable[str]
) -> AsyncIterator[None]:
    """Register servers that have crashed anew, as started later."""

    async def watch(name: str) -> None:
        crashes = 0
        known_crashes = 0
        while True:
            with suppress(ClientError):
                crashes = len(await crashes_at_s(venture, name))
            if crashes > known_crashes:
                known_crashes = crashes
                await venture.register(name, service, born=1 + crashes)
            await asyncio.sleep(0.2)

    tasks = [asyncio.create_task(watch(name)) for name in servers]
    yield
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def crashes_at_s(venture: GatewayVenture, name: str) -> list[float]:
    """Return when a server has crashed, on its event loop's clock."""
    return list(await venture.get(f'{venture.process(name).url}/crashes'))
