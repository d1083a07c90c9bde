"""Nodes that are out of step with the servers, in simulated time."""

import asyncio
from collections.abc import Callable
from typing import cast

import pytest

from mallowspindle.catalog.service import CatalogService
from mallowspindle.streams.messages import StreamBegun, StreamKey
from mallowspindle.streams.records import StreamOrigin
from mallowspindle.streams.service import OneVersion, StreamsService
from mallowspindle.streams.store import StreamStore
from mallowspindle.tests.streams.venture import (
    LAYOUT,
    SERVICE,
    CountingLog,
    FakeCatalog,
    StreamVenture,
    play,
)

_UNTOLD = StreamKey('farm', 'begun at another node')
_KNOWN_S = 1.0
_AGED_S = 10.0
_MAX_ANSWER_S = 1.1


class _OutdatedCatalog(FakeCatalog):
    """Knows the servers as they were when they last came up to date."""

    def __init__(self) -> None:
        super().__init__()
        # What a read of the log brings; None while the log is not reached.
        self.newer: dict[str, str] | None = None
        self.age_s = _AGED_S

    @property
    def servers_age_s(self) -> float:
        """Seconds since the servers were up to date."""
        return self.age_s

    async def confirm_servers(self, timeout_s: float) -> bool:
        """Read the newer servers if the log is reached."""
        if self.newer is None:
            await asyncio.sleep(timeout_s)
            return False
        for version in self.newer.values():
            self.register(version)
        return True


async def _start(
    venture: StreamVenture, *, all_outdated: bool = False
) -> tuple[StreamsService, _OutdatedCatalog]:
    """Start nodes, the first of which knows of one version only."""
    first, *others = venture.nodes
    outdated = _OutdatedCatalog()
    names = [first, *others] if all_outdated else [first]
    assert venture.log is not None
    for name in names:
        venture.nodes[name] = StreamsService(
            cast(CatalogService, outdated),
            venture.mesh.nodes[name],
            asyncio.get_running_loop().time,
            StreamStore(venture.log, LAYOUT, name),
        )
    await venture.start('v1')
    outdated.register('v1')
    await asyncio.sleep(_KNOWN_S)
    if not all_outdated:
        venture.catalog.register('v2')
    return venture.nodes[first], outdated


async def _find(node: StreamsService) -> StreamBegun | OneVersion | None:
    began_at_s = asyncio.get_running_loop().time()
    found = await node.find(_UNTOLD, SERVICE)
    assert asyncio.get_running_loop().time() - began_at_s <= _MAX_ANSWER_S
    return found


async def _cut_off(venture: StreamVenture) -> None:
    node, _ = await _start(venture)
    first, *others = venture.nodes
    venture.mesh.silent.update(others)
    assert await _find(node) is None


async def _cut_off_from_the_log(venture: StreamVenture) -> None:
    node, _ = await _start(venture)
    assert await _find(node) is None


async def _woken(venture: StreamVenture) -> None:
    """It reaches the log again, which it has not read since."""
    node, catalog = await _start(venture)
    venture.mesh.silent.update(list(venture.nodes)[1:])
    catalog.newer = {'i-new': 'v2'}
    assert await _find(node) is None


@pytest.mark.parametrize('scenario', [_cut_off, _cut_off_from_the_log, _woken])
def test_a_node_that_missed_a_version_does_not_take_it_for_the_only_one(
    scenario: Callable[[StreamVenture], object],
) -> None:
    """Guards against streams that a node joins from two versions.

    They have begun at servers of which it has not heard.
    """
    play(scenario, make_log=CountingLog)  # type: ignore[arg-type]


def test_streams_of_the_only_version_go_on_while_the_log_is_down() -> None:
    async def scenario(venture: StreamVenture) -> None:
        node, _ = await _start(venture, all_outdated=True)
        assert await _find(node) == OneVersion(StreamOrigin(SERVICE, 'v1'))

    play(scenario, make_log=CountingLog)


def test_streams_of_the_only_version_go_on_at_a_node_that_is_in_step() -> None:
    async def scenario(venture: StreamVenture) -> None:
        node, catalog = await _start(venture, all_outdated=True)
        venture.mesh.silent.update(list(venture.nodes)[1:])
        catalog.newer = {}
        assert await _find(node) == OneVersion(StreamOrigin(SERVICE, 'v1'))

    play(scenario, make_log=CountingLog)
