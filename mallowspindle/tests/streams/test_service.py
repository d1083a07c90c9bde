"""Which version began a stream, asked at other nodes, in simulated time."""

import asyncio

import pytest

from mallowspindle.peers.codec import peer_codec
from mallowspindle.streams.messages import StreamBegun, StreamKey
from mallowspindle.streams.records import StreamOrigin
from mallowspindle.streams.service import OneVersion
from mallowspindle.tests.streams.venture import (
    ROUTE,
    SERVICE,
    StreamVenture,
    play,
)
from mallowspindle.utils.codec import pack

_KEY = StreamKey('farm', 'r1')
_BEGUN = StreamBegun(_KEY, SERVICE, 'v1')
_TOLD_S = 0.1
_MAX_ANSWER_S = 0.6
# What a node may send for control at the size the project is built for.
_MAX_BYTES_PER_S = 9000


@pytest.mark.parametrize('nodes', [8, 58])
@pytest.mark.parametrize('lost_holders', [0, 1, 2])
def test_a_stream_is_known_after_its_node_and_others_are_lost(
    nodes: int, lost_holders: int
) -> None:
    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        first, *others = venture.nodes
        with venture.nodes[first].track(_BEGUN):
            await asyncio.sleep(_TOLD_S)
        holders = [name for name in venture.knowing(_KEY) if name != first]
        venture.lose(first, *holders[:lost_holders])
        for name in set(others) - venture.mesh.silent:
            began_at_s = asyncio.get_running_loop().time()
            assert await venture.nodes[name].find(_KEY, SERVICE) == _BEGUN
            elapsed_s = asyncio.get_running_loop().time() - began_at_s
            assert elapsed_s < _MAX_ANSWER_S

    play(scenario, nodes)


def test_peers_that_do_not_answer_are_replaced_by_the_next_ones() -> None:
    """Guards against begins that only dead peers were told."""

    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        first = next(iter(venture.nodes))
        with venture.nodes[first].track(_BEGUN):
            await asyncio.sleep(_TOLD_S)
        told = set(venture.knowing(_KEY)) - {first}
        venture.lose(*told)
        other = StreamBegun(_KEY, SERVICE, 'v2')
        with venture.nodes[first].track(other):
            await asyncio.sleep(2.5)
        knowing = set(venture.knowing(_KEY)) - {first}
        assert len(knowing - told) == len(told)

    play(scenario)


def test_a_stream_that_no_node_knows_is_unknown_soon() -> None:
    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        first, second, *others = venture.nodes
        with venture.nodes[first].track(_BEGUN):
            await asyncio.sleep(_TOLD_S)
        venture.lose(first, *others)
        began_at_s = asyncio.get_running_loop().time()
        found = await venture.nodes[second].find(
            StreamKey('farm', 'other'), SERVICE
        )
        assert found is None
        assert asyncio.get_running_loop().time() - began_at_s < _MAX_ANSWER_S

    play(scenario)


def test_another_organisation_learns_nothing_of_a_stream() -> None:
    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        first, second, *_ = venture.nodes
        with venture.nodes[first].track(_BEGUN):
            await asyncio.sleep(_TOLD_S)
            assert await venture.nodes[second].find(_KEY, SERVICE) == _BEGUN
            other = StreamKey('mill', _KEY.request_id)
            assert await venture.nodes[second].find(other, SERVICE) is None

    play(scenario)


def test_streams_that_run_when_a_second_version_comes_are_told() -> None:
    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1')
        first, second, *_ = venture.nodes
        with venture.nodes[first].track(_BEGUN):
            await asyncio.sleep(_TOLD_S)
            assert venture.knowing(_KEY) == [first]
            venture.catalog.register('v2')
            await asyncio.sleep(_TOLD_S)
        venture.lose(first)
        assert await venture.nodes[second].find(_KEY, SERVICE) == _BEGUN

    play(scenario)


def test_several_versions_count_until_their_streams_have_ended() -> None:
    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        node = next(iter(venture.nodes.values()))
        venture.catalog.servers.popitem()
        venture.catalog.register('v1')
        assert node.has_several_versions(SERVICE)
        await asyncio.sleep(29)
        assert node.has_several_versions(SERVICE)
        await asyncio.sleep(2)
        assert not node.has_several_versions(SERVICE)
        assert not node.has_several_versions('other service')

    play(scenario)


def test_a_stream_that_was_taken_up_can_be_taken_up_again() -> None:
    """The second node and the first holders are lost as well."""

    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        first, second, *_ = venture.nodes
        with venture.nodes[first].track(_BEGUN):
            await asyncio.sleep(_TOLD_S)
        venture.lose(first)
        found = await venture.nodes[second].find(_KEY, SERVICE)
        assert found == _BEGUN
        with venture.nodes[second].track(_BEGUN):
            await asyncio.sleep(_TOLD_S)
        venture.lose(second)
        third = min(venture.nodes.keys() - venture.mesh.silent)
        assert await venture.nodes[third].find(_KEY, SERVICE) == _BEGUN

    play(scenario)


def test_a_later_stream_with_the_same_id_replaces_the_former() -> None:
    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        first, second, *_ = venture.nodes
        later = StreamBegun(_KEY, SERVICE, 'v2')
        for begun in (_BEGUN, later):
            with venture.nodes[first].track(begun):
                await asyncio.sleep(_TOLD_S)
        venture.lose(first)
        assert await venture.nodes[second].find(_KEY, SERVICE) == later

    play(scenario)


def test_streams_are_forgotten_after_a_while() -> None:
    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        first = next(iter(venture.nodes))
        with venture.nodes[first].track(_BEGUN):
            await asyncio.sleep(_TOLD_S)
        await asyncio.sleep(31)
        other = StreamBegun(StreamKey('farm', 'r2'), SERVICE, 'v1')
        for node in venture.nodes.values():
            with node.track(other):
                await asyncio.sleep(_TOLD_S)
        assert not venture.knowing(_KEY)

    play(scenario)


def test_a_stream_of_a_split_route_joins_neither_service_unknown() -> None:
    """Guards against one version of each service taken for the only one."""

    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1')
        venture.catalog.register('v1', 'other models')
        node = next(iter(venture.nodes.values()))
        assert await node.find(_KEY, SERVICE, 'other models') is None

    play(scenario)


def test_a_stream_does_not_join_the_new_service_of_a_moved_route() -> None:
    """Guards against streams that began before the route was moved."""

    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1')
        venture.catalog.register('v1', 'other models')
        venture.catalog.lead_to(SERVICE)
        await asyncio.sleep(1)
        venture.catalog.lead_to('other models')
        node = next(iter(venture.nodes.values()))
        found = await node.find(_KEY, 'other models', route_name=ROUTE)
        assert found is None
        await asyncio.sleep(31)
        found = await node.find(_KEY, 'other models', route_name=ROUTE)
        assert found == OneVersion(StreamOrigin('other models', 'v1'))

    play(scenario)


@pytest.mark.parametrize(('nodes', 'streams_per_s'), [(8, 28), (77, 164)])
def test_bytes_that_tell_of_streams_are_bounded(
    nodes: int, streams_per_s: int
) -> None:
    """Streams per second of the operators' deployments, evenly spread."""

    async def scenario(venture: StreamVenture) -> None:
        await venture.start('v1', 'v2')
        first = next(iter(venture.nodes))
        with venture.nodes[first].track(_BEGUN):
            await asyncio.sleep(_TOLD_S)
        told = len(venture.knowing(_KEY)) - 1
        size = len(pack(peer_codec.to_wire(_BEGUN)))
        assert told * size * streams_per_s / nodes <= _MAX_BYTES_PER_S / 4

    play(scenario, nodes)
