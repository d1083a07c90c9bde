"""Fixture with gateways, model servers and shop servers on loopback."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest_asyncio

from mallowspindle.standins.gateways import GatewayVenture
from mallowspindle.tests.gateway.observations import EVENTS


@pytest_asyncio.fixture
async def venture(tmp_path: Path) -> AsyncIterator[GatewayVenture]:
    """Start two gateways, two model servers and two shop servers."""
    async with GatewayVenture(tmp_path) as gateways:
        await gateways.start_platform()
        await gateways.configure()
        await asyncio.gather(
            gateways.start_server('model-1', 'models', f'--events={EVENTS}'),
            gateways.start_server('model-2', 'models', f'--events={EVENTS}'),
            gateways.start_server('shop-1', 'shop'),
            gateways.start_server('shop-2', 'shop'),
        )
        await gateways.start_gateway('entry-1')
        await gateways.start_gateway('entry-2', 'b')
        yield gateways
