"""Fixtures shared by all tests."""

import asyncio
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
    await asyncio.gather(
        venture.start_engine('engine-1', 'a', '--seed=1'),
        venture.start_engine('engine-2', 'b', '--seed=2'),
        venture.start_plain('claims-1', 'a'),
    )
    await venture.start_nodes({'entry-1': 'a', 'entry-2': 'b', 'entry-3': 'c'})
    return venture
