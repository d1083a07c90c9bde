"""Tests of the bytes that nodes send, by size of the venture."""

import asyncio
from functools import partial

from mallowspindle.quarantine.evidence import EvidenceTable
from mallowspindle.sharing.messages import (
    PartEvidence,
    QuotaUse,
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
# Rounds until all nodes know their relays, and rounds that are measured.
_SETTLING_ROUNDS = 8
_ROUNDS = 4
# Bound on control traffic per node, from the operators' limits for 410 nodes.
_MAX_BYTES_PER_S = 9_000
# Half of the slowest link of an entry VM, 5 Mbit/s: the rest is for requests.
_MAX_RELAY_BYTES_PER_S = 312_500
_BORN_MS = 1_777_176_594_000
# Evidence counts as recent for 3 s, of which these are measured.
_LEARNING_S = 0.4
_MEASURED_S = 2.0


class _RoundCounter:
    """Source of the nodes' work that counts how often it is sent."""

    def __init__(self, mesh: FakeMesh) -> None:
        self._nodes = len(mesh.nodes)
        self._calls = 0
        for number, node in enumerate(mesh.nodes.values()):
            node.register_work_source(partial(self._work, number))

    @property
    def sent(self) -> float:
        """Number of states that each node has sent, on average."""
        return self._calls / self._nodes

    def _work(self, number: int) -> WorkSum:
        self._calls += 1
        loads = {
            f'i-{(number + step) % _SERVERS:010}': ServerLoad(1, 50)
            for step in range(_BUSY_SERVERS)
        }
        quota_use = {
            f'organisation-{index}': QuotaUse(1200, 400, 150)
            for index in range(_ORGANISATIONS)
        }
        return WorkSum(loads=loads, quota_use=quota_use)


async def _bytes_per_node_s(size: int) -> float:
    """Return the bytes a node sends per second in a settled venture."""
    mesh = FakeMesh(size, _ZONES)
    rounds = _RoundCounter(mesh)
    async with mesh:
        await _wait_for_rounds(rounds, _SETTLING_ROUNDS)
        mesh.sent_bytes.clear()
        settled = rounds.sent
        await _wait_for_rounds(rounds, settled + _ROUNDS)
    counted = rounds.sent - settled
    return mesh.sent_bytes.total() / size / counted / INTERVAL_S


async def _wait_for_rounds(rounds: _RoundCounter, count: float) -> None:
    while rounds.sent < count:
        await asyncio.sleep(0.01)


def test_a_node_of_a_large_venture_sends_few_bytes() -> None:
    """Guards against sending each node's state to all in large ventures."""
    assert simulate(_bytes_per_node_s(60)) <= _MAX_BYTES_PER_S


def test_bytes_per_node_stay_flat_as_nodes_are_added() -> None:
    few = simulate(_bytes_per_node_s(30))
    many = simulate(_bytes_per_node_s(90))
    assert many <= few * 1.25


async def _most_bytes_s_after_crashes(
    parts: int, crashes: int, prefix: str = ''
) -> float:
    """Return what the busiest node sends per second after many crashes."""
    mesh = FakeMesh(77, 4)
    clock = asyncio.get_running_loop().time
    evidence = {
        f'{prefix}{number:012x}': PartEvidence(
            {
                f'i-{(number * 7 + crash) % 94:010x}@{_BORN_MS}': _BORN_MS
                for crash in range(crashes)
            },
            {},
        )
        for number in range(parts)
    }
    for node in mesh.nodes.values():
        table = EvidenceTable(clock, lambda: _BORN_MS / 1000)
        table.merge(evidence)
        node.register_work_source(partial(_shared_evidence, table))
    async with mesh:
        await asyncio.sleep(_LEARNING_S)
        mesh.sent_bytes.clear()
        await asyncio.sleep(_MEASURED_S)
    return max(mesh.sent_bytes.values()) / _MEASURED_S


def _shared_evidence(table: EvidenceTable) -> WorkSum:
    return WorkSum(evidence=table.shared())


def test_evidence_of_many_crashes_does_not_fill_the_link_of_a_relay() -> None:
    """Guards against a relay that its own states cut off from all others.

    At 77 nodes, after a quarter of the servers had crashed, a relay with a link
    of 10 Mbit/s reached neither the store nor its peers nor servers for 18 s.
    """
    assert (
        simulate(_most_bytes_s_after_crashes(128, 4)) <= _MAX_RELAY_BYTES_PER_S
    )
