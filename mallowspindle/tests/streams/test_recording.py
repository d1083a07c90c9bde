"""Streams that are found in the log after all nodes have died."""

import asyncio
from collections.abc import Collection
from contextlib import ExitStack
from itertools import cycle

import pytest

from mallowspindle.streams.messages import StreamBegun, StreamKey
from mallowspindle.streams.records import StreamOrigin
from mallowspindle.streams.service import OneVersion, StreamsService
from mallowspindle.tests.sharing.fakes import FakeMesh
from mallowspindle.tests.streams.venture import (
    LAYOUT,
    SERVICE,
    CountingLog,
    StreamVenture,
    play,
)

_STREAMS = 40
_LOGGED_S = 0.4
_STREAMS_LAST_S = 5.0
# All nodes together, of the 400 calls a second that the smallest log takes.
_MAX_APPENDS_PER_S = 25
_MAX_BYTES_PER_STREAM = 60
# While one version serves: twice a second at each of the two nodes that log.
_MAX_CALM_APPENDS_PER_S = 5
# Nodes of the operators' deployments, and streams that begin there per second.
_DEPLOYMENTS = pytest.mark.parametrize(
    ('nodes', 'streams_per_s'), [(8, 49), (58, 243), (77, 244), (195, 237)]
)


def _begun(number: int, version: str = 'v1') -> StreamBegun:
    return StreamBegun(StreamKey('farm', f'r{number}'), SERVICE, version)


async def _begin(venture: StreamVenture, streams: ExitStack) -> None:
    """Begin streams at all nodes in turn, half at each version."""
    nodes = list(venture.nodes.values())
    for number in range(_STREAMS):
        begun = _begun(number, f'v{1 + number % 2}')
        streams.enter_context(nodes[number % len(nodes)].track(begun))


async def _restart(venture: StreamVenture) -> StreamVenture:
    """Start as many nodes again after all were killed."""
    mesh = FakeMesh(len(venture.nodes), 4, incarnation=2)
    restarted = StreamVenture(mesh, venture.log, venture.catalog)
    await restarted.start()
    await asyncio.sleep(0.1)
    return restarted


async def _known(venture: StreamVenture) -> int:
    """Return how many streams are found, each at another node."""
    nodes: list[StreamsService] = list(venture.nodes.values())
    found = [
        await nodes[number % len(nodes)].find(_begun(number).key, SERVICE)
        for number in range(_STREAMS)
    ]
    assert all(
        begun in {None, _begun(number, f'v{1 + number % 2}')}
        for number, begun in enumerate(found)
    )
    return sum(begun is not None for begun in found)


@pytest.mark.parametrize('nodes', [1, 8, 58])
def test_streams_are_known_after_all_nodes_were_killed(nodes: int) -> None:
    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        with ExitStack() as streams:
            await _begin(venture, streams)
            await asyncio.sleep(_LOGGED_S)
            await venture.kill_all()
        assert await _known(await _restart(venture)) == _STREAMS

    play(scenario, nodes, CountingLog)


def test_streams_are_known_after_two_kills_in_a_row() -> None:
    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        with ExitStack() as streams:
            await _begin(venture, streams)
            await asyncio.sleep(_LOGGED_S)
            await venture.kill_all()
        second = await _restart(venture)
        await asyncio.sleep(1)
        await second.kill_all()
        assert await _known(await _restart(venture)) == _STREAMS

    play(scenario, make_log=CountingLog)


def test_one_node_that_survives_finds_the_streams_of_the_others() -> None:
    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        survivor, *others = venture.nodes
        with ExitStack() as streams:
            await _begin(venture, streams)
            await asyncio.sleep(_LOGGED_S)
            venture.lose(*others)
        found = [
            await venture.nodes[survivor].find(_begun(number).key, SERVICE)
            for number in range(_STREAMS)
        ]
        assert None not in found

    play(scenario, make_log=CountingLog)


def test_streams_that_run_when_a_second_version_comes_are_logged() -> None:
    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1')
        await asyncio.sleep(1)
        first = next(iter(venture.nodes.values()))
        with first.track(_begun(0)):
            venture.catalog.register('v2')
            await asyncio.sleep(_LOGGED_S)
            await venture.kill_all()
        restarted = await _restart(venture)
        node = next(iter(restarted.nodes.values()))
        assert await node.find(_begun(0).key, SERVICE) == _begun(0)

    play(scenario, make_log=CountingLog)


def test_streams_are_logged_once_the_log_is_back() -> None:
    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        assert venture.log is not None
        await asyncio.sleep(1)
        venture.log.down = True
        with ExitStack() as streams:
            await _begin(venture, streams)
            await asyncio.sleep(3)
            venture.log.down = False
            await asyncio.sleep(2 * _LOGGED_S)
            await venture.kill_all()
        assert await _known(await _restart(venture)) == _STREAMS

    play(scenario, make_log=CountingLog)


def test_streams_stay_known_after_the_log_has_lost_its_history() -> None:
    """Guards against a history that is dropped while no node runs."""

    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        assert venture.log is not None
        with ExitStack() as streams:
            await _begin(venture, streams)
            await asyncio.sleep(_LOGGED_S)
            await venture.kill_all()
        venture.log.trim(LAYOUT.streams_stream)
        venture.log.trim(LAYOUT.versions_stream)
        restarted = await _restart(venture)
        assert await _known(restarted) == _STREAMS
        # Also those that are logged after the first read.
        nodes = list(restarted.nodes.values())
        with nodes[0].track(_begun(1000)):
            await asyncio.sleep(_LOGGED_S)
            venture.log.trim(LAYOUT.streams_stream)
            restarted.lose(*list(restarted.nodes)[:-1])
        assert await nodes[-1].find(_begun(1000).key, SERVICE) == _begun(1000)

    play(scenario, make_log=CountingLog)


def test_the_log_keeps_no_streams_after_a_release() -> None:
    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        assert venture.log is not None
        with ExitStack() as streams:
            await _begin(venture, streams)
            await asyncio.sleep(1)
        state = await venture.log.read_latest(LAYOUT.streams_stream)
        assert state.records
        venture.catalog.replace_all('v2')
        await asyncio.sleep(35)
        state = await venture.log.read_latest(LAYOUT.streams_stream)
        assert not state.records

    play(scenario, make_log=CountingLog)


def test_a_recorder_that_restarts_keeps_what_its_former_process_logged() -> (
    None
):
    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        for number in range(6):
            venture = await _restart(venture)
            await asyncio.sleep(1)
            node = next(iter(venture.nodes.values()))
            with node.track(_begun(number)):
                await asyncio.sleep(_LOGGED_S)
                await venture.kill_all()
        node = next(iter((await _restart(venture)).nodes.values()))
        found = [
            await node.find(_begun(number).key, SERVICE) for number in range(6)
        ]
        assert None not in found

    play(scenario, make_log=CountingLog)


def test_a_log_that_is_away_is_waited_for_only_shortly() -> None:
    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        assert venture.log is not None
        await asyncio.sleep(1)
        venture.log.down = True
        node = next(iter(venture.nodes.values()))
        began_at_s = asyncio.get_running_loop().time()
        assert await node.find(_begun(0).key, SERVICE) is None
        assert asyncio.get_running_loop().time() - began_at_s < 1

    play(scenario, make_log=CountingLog)


async def _appends(
    venture: StreamVenture, nodes: Collection[str], streams_per_s: int
) -> int:
    """Begin streams at some nodes in turn; return how many appends it took."""
    log = venture.log
    assert isinstance(log, CountingLog)
    before = log.calls[LAYOUT.streams_stream]
    turns = cycle(venture.nodes[name] for name in nodes)
    with ExitStack() as streams:
        for number in range(int(_STREAMS_LAST_S * streams_per_s)):
            streams.enter_context(next(turns).track(_begun(number)))
            await asyncio.sleep(1 / streams_per_s)
    return log.calls[LAYOUT.streams_stream] - before


@_DEPLOYMENTS
def test_few_appends_record_many_streams(
    nodes: int, streams_per_s: int
) -> None:
    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        await asyncio.sleep(1)
        appends = await _appends(venture, venture.nodes, streams_per_s)
        assert 0 < appends <= _STREAMS_LAST_S * _MAX_APPENDS_PER_S
        begun = int(_STREAMS_LAST_S * streams_per_s)
        assert isinstance(venture.log, CountingLog)
        size = venture.log.sizes[LAYOUT.streams_stream]
        assert size <= begun * _MAX_BYTES_PER_STREAM

    play(scenario, nodes, CountingLog)


@_DEPLOYMENTS
def test_streams_of_a_single_version_take_few_appends(
    nodes: int, streams_per_s: int
) -> None:
    """Guards against costs of the log that nobody needs in calm."""

    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1')
        await asyncio.sleep(1)
        appends = await _appends(venture, venture.nodes, streams_per_s)
        assert 0 < appends <= _STREAMS_LAST_S * _MAX_CALM_APPENDS_PER_S
        assert isinstance(venture.log, CountingLog)
        assert venture.log.calls[LAYOUT.versions_stream] == 1

    play(scenario, nodes, CountingLog)


def test_streams_of_a_single_version_are_not_looked_up_in_the_log() -> None:
    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1')
        log = venture.log
        assert isinstance(log, CountingLog)
        nodes = list(venture.nodes.values())
        with ExitStack() as streams:
            for number in range(_STREAMS):
                streams.enter_context(nodes[number % 8].track(_begun(number)))
                await asyncio.sleep(1)
        reads = log.reads[LAYOUT.streams_stream]
        found = await nodes[0].find(_begun(1000).key, SERVICE)
        assert found == OneVersion(StreamOrigin(SERVICE, 'v1'))
        # Each node that logs streams reads which slot it has written last.
        assert reads <= 2
        assert log.reads[LAYOUT.streams_stream] == reads

    play(scenario, make_log=CountingLog)


def test_streams_are_logged_while_the_nodes_that_do_so_are_dead() -> None:
    """Guards against begins that are dropped when nobody takes them."""

    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        survivor = (venture.nodes.keys() - set(venture.recorders())).pop()
        await venture.kill(*(venture.nodes.keys() - {survivor}))
        with ExitStack() as streams:
            for number in range(_STREAMS):
                begun = _begun(number, f'v{1 + number % 2}')
                streams.enter_context(venture.nodes[survivor].track(begun))
            await asyncio.sleep(1.5)
            await venture.kill_all()
        assert await _known(await _restart(venture)) == _STREAMS

    play(scenario, 4, CountingLog)


def test_streams_are_logged_whose_recorders_came_back_under_their_names() -> (
    None
):
    """Guards against an acceptance by a node that dies before it logs."""

    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        survivor, *others = venture.nodes
        with ExitStack() as streams:
            for number in range(_STREAMS):
                begun = _begun(number, f'v{1 + number % 2}')
                streams.enter_context(venture.nodes[survivor].track(begun))
            await asyncio.sleep(0.07)
            await venture.restart(*others)
            await asyncio.sleep(3)
            await venture.kill_all()
        assert await _known(await _restart(venture)) == _STREAMS

    play(scenario, 5, CountingLog)


@pytest.mark.parametrize('lost', [1, 2])
def test_streams_of_one_version_are_known_when_a_second_one_comes(
    lost: int,
) -> None:
    """Guards against begins that only a node knows that has died since.

    The nodes that die are those that log streams, as far as there are two.
    """

    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1')
        # While a node starts, it does not know that there is one version.
        await asyncio.sleep(1)
        recorders = venture.recorders()
        with ExitStack() as streams:
            for number in range(_STREAMS):
                node = venture.nodes[recorders[number % lost]]
                streams.enter_context(node.track(_begun(number)))
            await asyncio.sleep(1)
            await venture.kill(*recorders[:lost])
        venture.catalog.register('v2')
        nodes = [
            venture.nodes[name]
            for name in venture.nodes.keys() - set(recorders[:lost])
        ]
        found = [
            await nodes[number % len(nodes)].find(_begun(number).key, SERVICE)
            for number in range(_STREAMS)
        ]
        assert found == [_begun(number) for number in range(_STREAMS)]

    play(scenario, 6, CountingLog)


@_DEPLOYMENTS
def test_the_loss_of_both_recorders_takes_few_appends(
    nodes: int, streams_per_s: int
) -> None:
    """Guards against a herd of nodes that each log for themselves."""

    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        recorders = venture.recorders()
        await venture.kill(*recorders)
        members = venture.nodes.keys() - set(recorders)
        appends = await _appends(venture, members, streams_per_s)
        assert 0 < appends <= _STREAMS_LAST_S * _MAX_APPENDS_PER_S

    play(scenario, nodes, CountingLog)
