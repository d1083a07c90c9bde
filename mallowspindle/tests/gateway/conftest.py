"""Gateways, model servers and shop servers on loopback."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest_asyncio

from mallowspindle.standins.gateways import GatewayVenture
from mallowspindle.tests.gateway.observations import EVENTS


@pytest_asyncio.fixture
async def venture(tmp_path: Path) -> AsyncIterator[GatewayVenture]:
    """Give two gateways, two model servers and two shop servers."""
    async with GatewayVenture(tmp_path) as made:
        await made.start_platform()
        await made.configure()
        await asyncio.gather(
            made.start_server('model-1', 'models', f'--events={EVENTS}'),
            made.start_server('model-2', 'models', f'--events={EVENTS}'),
            made.start_server('shop-1', 'shop'),
            made.start_server('shop-2', 'shop'),
        )
        await made.start_gateway('entry-1')
        await made.start_gateway('entry-2', 'b')
        yield made
