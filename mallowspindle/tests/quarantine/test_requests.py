"""Quarantine of requests over many nodes, in simulated time."""

import asyncio
from collections.abc import Mapping

import pytest

from mallowspindle.tests.quarantine.crowd import Crowd
from mallowspindle.tests.sharing.fakes import FakeMesh
from mallowspindle.tests.simulation import simulate

# What the operators tolerate.
_TOLERATED_CRASHES = 3
_TOLERATED_REQUESTS = 3
_CONTACT_S = 3.0
_SOUND_SHARE = 0.9
_ZONES = 4
_OTHERS = [f'/status/{number}' for number in range(40)]


def _refused(crowd: Crowd) -> list[Mapping[str, object]]:
    return [node.suspects for node in crowd.nodes.values()]


@pytest.mark.parametrize(
    ('nodes', 'servers', 'interval_s'),
    [(8, 4, 0.1), (8, 4, 0.7), (58, 5, 0.1), (77, 4, 0.1), (77, 4, 1)],
)
def test_a_repeated_request_stops_to_reach_servers(
    nodes: int, servers: int, interval_s: float
) -> None:
    async def play() -> tuple[int, float]:
        async with FakeMesh(nodes, _ZONES) as mesh:
            crowd = Crowd(mesh, servers)
            crowd.deadly_targets = {'/status/deadly'}
            await crowd.start()
            await crowd.look_up_all(4, 0.05, *_OTHERS)
            await asyncio.gather(
                crowd.look_up_all(25, interval_s, '/status/deadly'),
                crowd.look_up_all(25, 0.05, *_OTHERS),
            )
            await crowd.settle()
            crowd.begun.clear()
            await asyncio.gather(
                crowd.look_up_all(10, interval_s, '/status/deadly'),
                crowd.look_up_all(10, 0.05, *_OTHERS),
            )
            await crowd.settle()
            late = crowd.late_requests(_TOLERATED_CRASHES, _CONTACT_S)
            return late, crowd.begun[True] / crowd.begun.total()

    late, sound_share = simulate(play())
    assert late <= _TOLERATED_REQUESTS
    assert sound_share >= _SOUND_SHARE


def test_a_poll_is_served_though_its_servers_crash_for_another_reason() -> None:
    async def play() -> tuple[list[Mapping[str, object]], int]:
        async with FakeMesh(8, _ZONES) as mesh:
            crowd = Crowd(mesh, 4)
            await crowd.start()
            for _ in range(8):
                crowd.look_up('/status/polled')
                await asyncio.sleep(0.02)
                crowd.crash(1)
                await crowd.look_up_all(4, 1, '/status/polled')
            await crowd.settle()
            assert len(crowd.crashes_at_s) > _TOLERATED_CRASHES
            return _refused(crowd), crowd.begun[True]

    refused, answered = simulate(play())
    assert not any(refused)
    assert answered >= 30


def test_nodes_that_reach_no_server_give_no_evidence() -> None:
    async def play() -> list[Mapping[str, object]]:
        async with FakeMesh(8, _ZONES) as mesh:
            crowd = Crowd(mesh, 4)
            await crowd.start()
            for _ in range(6):
                await crowd.look_up_all(1, 0.02, '/status/hot')
                crowd.cut_off = True
                crowd.break_connections()
                await asyncio.sleep(1)
                crowd.cut_off = False
            await crowd.settle()
            return _refused(crowd)

    assert not any(simulate(play()))


def test_many_requests_lost_at_once_hide_no_deadly_one() -> None:
    """A crash takes hundreds of other requests with it, at every node."""

    async def play() -> int:
        async with FakeMesh(8, _ZONES) as mesh:
            crowd = Crowd(mesh, 4)
            crowd.deadly_targets = {'/status/deadly'}
            await crowd.start()
            for number in range(12):
                for victim in range(300):
                    crowd.look_up(f'/status/{number}-{victim}')
                crowd.look_up('/status/deadly')
                await asyncio.sleep(0.03)
                crowd.crash(len(crowd.nodes) // 4)
                await asyncio.sleep(5)
            await crowd.settle()
            return len(crowd.reached_at_s)

    assert simulate(play()) <= _TOLERATED_CRASHES + _TOLERATED_REQUESTS
