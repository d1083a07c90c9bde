"""Which software versions served before the nodes started."""

import asyncio

from mallowspindle.tests.sharing.fakes import FakeMesh
from mallowspindle.tests.streams.venture import (
    SERVICE,
    CountingLog,
    StreamVenture,
    play,
)

_LOGGED_S = 1.0
_STREAM_MEMORY_S = 30.0


async def _restart(venture: StreamVenture) -> StreamVenture:
    mesh = FakeMesh(len(venture.nodes), 4, incarnation=2)
    restarted = StreamVenture(mesh, venture.log, venture.catalog)
    await restarted.start()
    restarted.catalog.replace_all('v2')
    await asyncio.sleep(0.1)
    return restarted


def _count_several(venture: StreamVenture) -> int:
    return sum(
        node.has_several_versions(SERVICE) for node in venture.nodes.values()
    )


def test_a_version_that_left_before_all_nodes_died_counts() -> None:
    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        await asyncio.sleep(_LOGGED_S)
        venture.catalog.replace_all('v2')
        await asyncio.sleep(_LOGGED_S)
        await venture.kill_all()
        restarted = await _restart(venture)
        assert _count_several(restarted) == 8
        await asyncio.sleep(_STREAM_MEMORY_S)
        assert _count_several(restarted) == 0

    play(scenario, make_log=CountingLog)


def test_a_version_that_left_while_no_node_ran_counts() -> None:
    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1')
        await asyncio.sleep(_LOGGED_S)
        await venture.kill_all()
        assert _count_several(await _restart(venture)) == 8

    play(scenario, make_log=CountingLog)


def test_an_old_release_is_forgotten() -> None:
    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        await asyncio.sleep(_LOGGED_S)
        venture.catalog.replace_all('v2')
        await asyncio.sleep(_STREAM_MEMORY_S + 2 * _LOGGED_S)
        await venture.kill_all()
        assert _count_several(await _restart(venture)) == 0

    play(scenario, make_log=CountingLog)


def test_versions_are_taken_for_several_until_they_are_known() -> None:
    async def scenario(venture: StreamVenture) -> None:
        assert venture.log is not None
        venture.log.down = True
        await venture.start('v1')
        await asyncio.sleep(5)
        assert _count_several(venture) == 8
        venture.log.down = False
        await asyncio.sleep(_LOGGED_S)
        assert _count_several(venture) == 0

    play(scenario, make_log=CountingLog)


def test_a_node_that_starts_without_the_log_learns_versions_from_peers() -> (
    None
):
    async def scenario(venture: StreamVenture) -> None:
        assert venture.log is not None
        names = list(venture.nodes)
        late = venture.nodes.pop(names[0])
        await venture.start('v1')
        await asyncio.sleep(_LOGGED_S)
        venture.log.down = True
        await late.start()
        await asyncio.sleep(_LOGGED_S)
        assert not late.has_several_versions(SERVICE)

    play(scenario, make_log=CountingLog)
