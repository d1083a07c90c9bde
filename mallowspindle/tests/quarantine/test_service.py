"""Quarantine of parts of prompts over many nodes, in simulated time."""

import asyncio
from collections.abc import Mapping

import pytest

from mallowspindle.log.errors import LogError
from mallowspindle.quarantine.store import QuarantineStore
from mallowspindle.sharing.messages import PartEvidence
from mallowspindle.tests.quarantine.crowd import SYSTEM_PART, Crowd
from mallowspindle.tests.sharing.fakes import FakeMesh
from mallowspindle.tests.simulation import simulate

# What the operators tolerate.
_TOLERATED_CRASHES = 5
_TOLERATED_REQUESTS = 3
_CONTACT_S = 3.0
# Sound requests that share all parts but the deadly one begin as often as this.
_SOUND_SHARE = 0.9
_BEFORE_S = 4.0
_DURATION_S = 12.0
_ZONES = 4


class _MemoryStore(QuarantineStore):
    """Keeps the logged evidence in memory; fails while it is ``down``."""

    def __init__(self) -> None:
        self._records: dict[str, PartEvidence] = {}
        self.down = False

    async def load(self) -> dict[str, PartEvidence]:
        self._check()
        return dict(self._records)

    async def save(self, part_id: str, evidence: PartEvidence) -> None:
        self._check()
        self._records[part_id] = evidence

    def _check(self) -> None:
        if self.down:
            raise LogError('the log is down')


def _parts_refused(crowd: Crowd) -> list[Mapping[str, object]]:
    return [node.suspects for node in crowd.nodes.values()]


@pytest.mark.parametrize(
    ('nodes', 'servers', 'requests_per_s', 'deadly_share', 'deadly_parts'),
    [
        (8, 9, 9, 0.05, 1),
        (8, 9, 9, 0.2, 1),
        (8, 45, 50, 0.005, 1),
        (8, 45, 50, 0.05, 2),
        (58, 45, 50, 0.05, 1),
        (77, 45, 50, 0.2, 2),
    ],
)
def test_deadly_parts_stop_to_reach_servers(
    nodes: int,
    servers: int,
    requests_per_s: float,
    deadly_share: float,
    deadly_parts: int,
) -> None:
    async def play() -> tuple[int, float]:
        async with FakeMesh(nodes, _ZONES) as mesh:
            crowd = Crowd(mesh, servers)
            crowd.deadly = {
                f'deadly-{number}' for number in range(deadly_parts)
            }
            await crowd.start()
            await crowd.run(_BEFORE_S, requests_per_s)
            await crowd.run(_CONTACT_S * 2, requests_per_s, deadly_share)
            await crowd.settle()
            crowd.begun.clear()
            await crowd.run(_DURATION_S, requests_per_s, deadly_share)
            await crowd.settle()
            late = crowd.late_requests(
                _TOLERATED_CRASHES * deadly_parts, _CONTACT_S
            )
            return late, crowd.begun[True] / crowd.begun.total()

    late, sound_share = simulate(play())
    assert late <= _TOLERATED_REQUESTS * deadly_parts
    assert sound_share >= _SOUND_SHARE


@pytest.mark.parametrize(('nodes', 'servers'), [(8, 9), (58, 45)])
def test_crashes_without_a_cause_in_prompts_refuse_none(
    nodes: int, servers: int
) -> None:
    """Zones are lost and servers crash under one hot part."""

    async def play() -> set[str]:
        refused: set[str] = set()
        async with FakeMesh(nodes, _ZONES) as mesh:
            crowd = Crowd(mesh, servers)
            await crowd.start()
            await crowd.run(_BEFORE_S, servers * 4)
            for crashes in (servers // 3, 1) * 3:
                crowd.crash(crashes)
                for _ in range(10):
                    await crowd.run(0.1, servers * 4)
                    refused.update(*_parts_refused(crowd))
            await crowd.settle()
        assert len(crowd.crashes_at_s) > _TOLERATED_CRASHES
        return refused

    assert not simulate(play())


def test_a_node_that_starts_later_refuses_as_the_others() -> None:
    async def play() -> int:
        async with FakeMesh(8, _ZONES) as mesh:
            crowd = Crowd(mesh, 9)
            crowd.deadly = {'deadly'}
            late_starter, *others = mesh.nodes
            await crowd.start(others)
            await crowd.run(_BEFORE_S, 9)
            await crowd.run(10, 9, 0.2)
            await crowd.settle()
            await crowd.start([late_starter])
            await asyncio.sleep(_CONTACT_S)
            crowd.nodes = {late_starter: crowd.nodes[late_starter]}
            crowd.reached_at_s.clear()
            await crowd.run(10, 9, 0.2)
            await crowd.settle()
            return len(crowd.reached_at_s)

    assert simulate(play()) == 0


@pytest.mark.parametrize('outage_s', [0, 12])
def test_parts_stay_refused_if_all_nodes_restart(outage_s: float) -> None:
    """The log may be down when the part is found, and at the restart."""

    async def play() -> int:
        store = _MemoryStore()
        async with FakeMesh(8, _ZONES) as mesh:
            crowd = Crowd(mesh, 9, store)
            crowd.deadly = {'deadly'}
            await crowd.start()
            await crowd.run(_BEFORE_S, 9)
            store.down = outage_s > 0
            await crowd.run(10, 9, 0.2)
            await asyncio.sleep(max(0, outage_s - 10))
            store.down = False
            await crowd.run(3, 9, 0.2)
            await crowd.settle()
        async with FakeMesh(8, _ZONES, incarnation=2) as mesh:
            restarted = Crowd(mesh, 9, store)
            restarted.deadly = {'deadly'}
            store.down = outage_s > 0
            await restarted.start()
            await asyncio.sleep(outage_s)
            store.down = False
            await asyncio.sleep(_CONTACT_S)
            await restarted.run(10, 9, 0.2)
            await restarted.settle()
            return len(restarted.reached_at_s)

    assert simulate(play()) <= _TOLERATED_REQUESTS


def test_a_part_that_is_sound_again_is_served_again() -> None:
    async def play() -> tuple[int, list[Mapping[str, object]]]:
        async with FakeMesh(2, 1) as mesh:
            crowd = Crowd(mesh, 9)
            crowd.deadly = {'deadly'}
            await crowd.start()
            await crowd.run(10, 9, 0.2)
            await crowd.settle()
            crowd.deadly = set()
            for _ in range(60):
                await asyncio.sleep(10)
                crowd.send('deadly')
                await crowd.settle()
            return len(crowd.reached_at_s), _parts_refused(crowd)

    reached, refused = simulate(play())
    assert reached > _TOLERATED_CRASHES
    assert all(not parts for parts in refused)


def test_requests_with_other_parts_of_a_deadly_prompt_are_served() -> None:
    """The deadly part always comes with a document that is rare otherwise."""

    async def play() -> tuple[int, list[Mapping[str, object]]]:
        async with FakeMesh(8, _ZONES) as mesh:
            crowd = Crowd(mesh, 9)
            crowd.deadly = {'deadly'}
            await crowd.start()
            for _ in range(12):
                crowd.send('deadly', document='rare')
                await asyncio.sleep(1)
            await crowd.settle()
            crowd.begun.clear()
            for _ in range(10):
                crowd.send(document='rare')
                await asyncio.sleep(0.5)
            await crowd.settle()
            return crowd.begun[True], _parts_refused(crowd)

    begun, refused = simulate(play())
    assert begun == 10
    assert all(set(parts) == {'deadly'} for parts in refused)


def test_a_lost_connection_is_no_crash() -> None:
    async def play() -> list[Mapping[str, object]]:
        async with FakeMesh(2, 1) as mesh:
            crowd = Crowd(mesh, 4)
            await crowd.start()
            for _ in range(10):
                crowd.send()
                await asyncio.sleep(0.1)
                crowd.break_connections()
                await asyncio.sleep(0.5)
            await crowd.settle()
            return _parts_refused(crowd)

    assert all(SYSTEM_PART not in parts for parts in simulate(play()))
