"""Nodes of a large venture that hear nothing of the configuration."""

import asyncio
from itertools import count

import pytest

from mallowspindle.tests.catalog.venture import Venture
from mallowspindle.tests.simulation import simulated

_SIZE = 58
_APPLY_S = 2.0
_SETTLING_S = 1.5
_POLL_S = 0.02
_CUT_S = 8.0
# Time in which a node serves again after its paths are back.
_RETURN_S = 2.5
_WRITE_INTERVAL_S = 0.7


class _Operators:
    """Write versions all the while and know the acknowledgement of each."""

    def __init__(self, venture: Venture) -> None:
        self._venture = venture
        self._clock = asyncio.get_running_loop().time
        self._written_at_s: dict[int, float] = {}

    async def write_forever(self) -> None:
        """Write versions until cancelled."""
        for version in count(2):
            self._venture.configure(version)
            self._written_at_s[version] = self._clock()
            await asyncio.sleep(_WRITE_INTERVAL_S)

    def due(self) -> int:
        """Return the version that must be in force now."""
        due_s = self._clock() - _APPLY_S
        return max(
            (
                version
                for version, written_at_s in self._written_at_s.items()
                if written_at_s < due_s
            ),
            default=1,
        )


async def _watch(venture: Venture, for_s: float, cut_off: list[str]) -> None:
    """Add the nodes that are cut off at any time."""
    loop = asyncio.get_running_loop()
    ends_at_s = loop.time() + for_s
    while loop.time() < ends_at_s:
        cut_off += [
            name
            for name, catalog in venture.catalogs.items()
            if catalog.is_cut_off
        ]
        await asyncio.sleep(_POLL_S)


def _isolate(venture: Venture, names: list[str]) -> None:
    """Cut nodes off from the log and from each other node."""
    venture.cut_off.update(names)
    for name in names:
        for other in venture.names:
            venture.mesh.cut.update(((name, other), (other, name)))


@pytest.mark.parametrize('victims', [1, 5])
@simulated
async def test_isolated_nodes_serve_by_no_old_configuration(
    victims: int,
) -> None:
    """Guards against a version that was replaced longer ago than the bound.

    Also while several nodes, each for itself, come back at the same moment.
    """
    venture = Venture(_SIZE, _APPLY_S)
    venture.configure(1)
    loop = asyncio.get_running_loop()
    async with venture:
        await asyncio.sleep(_SETTLING_S)
        operators = _Operators(venture)
        writing = asyncio.create_task(operators.write_forever())
        names = venture.names[:victims]
        await asyncio.sleep(_SETTLING_S)
        _isolate(venture, names)
        began_at_s = loop.time()
        refused: set[str] = set()
        served_by_old: list[tuple[float, str]] = []
        while loop.time() < began_at_s + _CUT_S + _RETURN_S:
            for name in names:
                if venture.catalogs[name].is_cut_off:
                    refused.add(name)
                elif (venture.version_at(name) or 0) < operators.due():
                    served_by_old.append((loop.time() - began_at_s, name))
            if loop.time() > began_at_s + _CUT_S:
                venture.cut_off.clear()
                venture.mesh.cut.clear()
            await asyncio.sleep(_POLL_S)
        writing.cancel()
        assert not served_by_old
        assert refused == set(names)
        assert not any(
            catalog.is_cut_off for catalog in venture.catalogs.values()
        )


@pytest.mark.parametrize('delay_s', [0, 0.3])
@simulated
async def test_no_node_refuses_while_the_log_is_down_for_all(
    delay_s: float,
) -> None:
    """Guards against an outage of the store that stops nodes.

    Peers may answer slowly, or not at all for a second.
    """
    venture = Venture(_SIZE, _APPLY_S)
    venture.configure(1)
    venture.mesh.delays_s = dict.fromkeys(venture.names, delay_s)
    cut_off: list[str] = []
    async with venture:
        await _watch(venture, _SETTLING_S, [])
        venture.cut_off.update(venture.names)
        await _watch(venture, _CUT_S, cut_off)
        venture.mesh.silent.update(venture.names)
        await _watch(venture, _APPLY_S / 2, cut_off)
        venture.mesh.silent.clear()
        await _watch(venture, _APPLY_S, cut_off)
        venture.cut_off.clear()
        await _watch(venture, _APPLY_S, cut_off)
    assert not cut_off


@simulated
async def test_all_nodes_serve_again_beside_an_outage_of_the_log() -> None:
    """Guards against nodes that each wait for one that serves already."""
    venture = Venture(_SIZE, _APPLY_S)
    venture.configure(1)
    async with venture:
        await asyncio.sleep(_SETTLING_S)
        _isolate(venture, venture.names)
        cut_off: list[str] = []
        await _watch(venture, _CUT_S, cut_off)
        assert set(cut_off) == set(venture.names)
        venture.mesh.cut.clear()
        await asyncio.sleep(_RETURN_S)
        cut_off.clear()
        await _watch(venture, _APPLY_S, cut_off)
        assert not cut_off
