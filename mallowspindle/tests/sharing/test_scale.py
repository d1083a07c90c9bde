"""What telling the others costs a node, by the size of the venture."""

import asyncio
from functools import partial

from mallowspindle.sharing.messages import (
    QuotaSpent,
    ServerLoad,
    WorkSum,
)
from mallowspindle.sharing.service import INTERVAL_S
from mallowspindle.tests.sharing.fakes import FakeMesh
from mallowspindle.tests.simulation import simulate

_ZONES = 5
_SERVERS = 45
_BUSY_SERVERS = 10
_ORGANISATIONS = 16
# Rounds until all nodes have heard their relays, and rounds that are counted.
_SETTLING_ROUNDS = 8
_ROUNDS = 4
# What a node may spend on control by the operators' figures for 410 nodes.
_MOST_BYTES_PER_S = 9_000


class _Rounds:
    """Gives each node's load and counts how often all have told it."""

    def __init__(self, mesh: FakeMesh) -> None:
        self._nodes = len(mesh.nodes)
        self._asked = 0
        for number, node in enumerate(mesh.nodes.values()):
            node.register_work_source(partial(self._work, number))

    @property
    def told(self) -> float:
        """States that each node has told, on average."""
        return self._asked / self._nodes

    def _work(self, number: int) -> WorkSum:
        self._asked += 1
        loads = {
            f'i-{(number + step) % _SERVERS:010}': ServerLoad(1, 50)
            for step in range(_BUSY_SERVERS)
        }
        quota_use = {
            f'organisation-{index}': QuotaSpent(1200, 400, 150)
            for index in range(_ORGANISATIONS)
        }
        return WorkSum(loads=loads, quota_use=quota_use)


async def _bytes_per_node_s(size: int) -> float:
    """Return what a node sends a second once all have heard each other."""
    mesh = FakeMesh(size, _ZONES)
    rounds = _Rounds(mesh)
    async with mesh:
        await _told(rounds, _SETTLING_ROUNDS)
        mesh.sent_bytes.clear()
        settled = rounds.told
        await _told(rounds, settled + _ROUNDS)
    counted = rounds.told - settled
    return mesh.sent_bytes.total() / size / counted / INTERVAL_S


async def _told(rounds: _Rounds, count: float) -> None:
    while rounds.told < count:
        await asyncio.sleep(0.01)


def test_a_node_of_a_large_venture_spends_little_on_telling() -> None:
    """Replays the grown deployments: states went from each node to each."""
    assert simulate(_bytes_per_node_s(60)) <= _MOST_BYTES_PER_S


def test_telling_stays_flat_as_nodes_are_added() -> None:
    few = simulate(_bytes_per_node_s(30))
    many = simulate(_bytes_per_node_s(90))
    assert many <= few * 1.25
