"""Fixtures shared by all tests."""

from collections.abc import AsyncIterator
from pathlib import Path

import pytest_asyncio

from mallowspindle.bench.venture import Venture


@pytest_asyncio.fixture
async def venture(tmp_path: Path) -> AsyncIterator[Venture]:
    """Give a venture without processes; all it starts ends with the test."""
    async with Venture(tmp_path) as made:
        yield made


@pytest_asyncio.fixture
async def small_venture(venture: Venture) -> Venture:
    """Give a venture of three entry VMs, two engines and one service."""
    await venture.start_platform()
    await venture.publish_defaults('haulier', 'farm')
    await venture.start_engine('engine-1', 'a', '--seed=1')
    await venture.start_engine('engine-2', 'b', '--seed=2')
    await venture.start_plain('claims-1', 'a')
    for number, zone in enumerate('abc', 1):
        await venture.start_node(f'entry-{number}', zone)
    await venture.wait_ready('entry-1', 'entry-2', 'entry-3')
    return venture
