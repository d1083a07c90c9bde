"""Tests of what the nodes of a venture know of each other's work."""

import asyncio
from collections.abc import Callable
from functools import partial

from mallowspindle.catalog.following import StreamRequest
from mallowspindle.peers.codec import OkReply
from mallowspindle.sharing.messages import (
    LeaseUpdate,
    NodeState,
    QuotaUse,
    ServerLoad,
    WorkSum,
)
from mallowspindle.sharing.relays import relays_of
from mallowspindle.sharing.service import SharingService
from mallowspindle.tests.sharing.fakes import FakeMesh

_SIZE = 30
_ZONES = 3
_TIMEOUT_S = 5.0
_POLL_S = 0.02


def _provide_work(mesh: FakeMesh) -> None:
    """Let each node report one request running at the same server."""
    work = WorkSum(
        loads={'i-1': ServerLoad(1, 0)},
        quota_use={'farm': QuotaUse(100, 10, 0)},
    )
    for node in mesh.nodes.values():
        node.register_work_source(lambda: work)


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(_POLL_S)


def _knows(node: SharingService, others: int) -> bool:
    """Tell whether a node knows the work of exactly ``others`` nodes."""
    work = node.peer_work()
    running = work.loads.get('i-1', ServerLoad(0, 0)).running
    used = work.quota_use.get('farm', QuotaUse(0, 0, 0)).used
    return work.nodes == running == others and used == 100 * others


def _all_know(mesh: FakeMesh, others: int) -> bool:
    live = (
        node for name, node in mesh.nodes.items() if name not in mesh.silent
    )
    return all(_knows(node, others) for node in live)


async def _record_receiver(
    receivers: set[str], name: str, message: object
) -> OkReply:
    receivers.add(name)
    return OkReply()


def _relays(mesh: FakeMesh, zone: str) -> list[str]:
    infos = [membership.own for membership in mesh.memberships.values()]
    return relays_of(zone, infos)


async def test_each_node_knows_the_work_of_others_but_not_its_own() -> None:
    mesh = FakeMesh(_SIZE, _ZONES)
    _provide_work(mesh)
    async with mesh:
        await _wait_until(partial(_all_know, mesh, _SIZE - 1))
        assert all(
            node.reporting_fraction() == 1 for node in mesh.nodes.values()
        )


async def test_nodes_of_a_small_venture_know_all_others() -> None:
    mesh = FakeMesh(8, 4)
    _provide_work(mesh)
    async with mesh:
        await _wait_until(partial(_all_know, mesh, 7))


async def test_the_second_relay_takes_over_from_a_silent_first() -> None:
    mesh = FakeMesh(_SIZE, _ZONES)
    _provide_work(mesh)
    async with mesh:
        await _wait_until(partial(_all_know, mesh, _SIZE - 1))
        first = _relays(mesh, 'zone-0')[0]
        await mesh.nodes[first].stop()
        mesh.silent.add(first)
        await _wait_until(partial(_all_know, mesh, _SIZE - 2))


async def test_a_node_cut_off_from_the_first_relay_stays_known() -> None:
    """Guards against a broken link that only its two nodes notice."""
    mesh = FakeMesh(_SIZE, _ZONES)
    _provide_work(mesh)
    first, second = _relays(mesh, 'zone-0')
    cut_off = next(
        name
        for name, membership in mesh.memberships.items()
        if membership.own.zone == 'zone-0' and name not in {first, second}
    )
    mesh.cut.update({(first, cut_off), (cut_off, first)})
    async with mesh:
        await _wait_until(partial(_all_know, mesh, _SIZE - 1))


async def test_a_lease_update_reaches_all_nodes() -> None:
    mesh = FakeMesh(_SIZE, _ZONES)
    received: dict[str, LeaseUpdate] = {}
    holder = next(iter(mesh.nodes))
    mesh.nodes[holder].register_lease_source(lambda: LeaseUpdate(holder, 7, 0))
    for name, node in mesh.nodes.items():
        node.watch_lease(partial(received.__setitem__, name))
    others = mesh.nodes.keys() - {holder}
    async with mesh:
        await _wait_until(lambda: received.keys() >= others)


async def test_a_broadcast_reaches_all_nodes() -> None:
    mesh = FakeMesh(_SIZE, _ZONES)
    receivers: set[str] = set()
    for name, membership in mesh.memberships.items():
        membership.server.handle(
            StreamRequest, partial(_record_receiver, receivers, name)
        )
    async with mesh:
        for sender in list(mesh.nodes)[:_ZONES]:
            receivers.clear()
            mesh.nodes[sender].broadcast(StreamRequest('servers'))
            others = mesh.nodes.keys() - {sender}
            await _wait_until(partial(receivers.issuperset, others))


async def test_a_zone_whose_nodes_are_all_leaving_stays_known() -> None:
    """Guards against losing a zone whose nodes all restart at once."""
    mesh = FakeMesh(_SIZE, _ZONES)
    _provide_work(mesh)
    async with mesh:
        await _wait_until(partial(_all_know, mesh, _SIZE - 1))
        mesh.leave('zone-0')
        await asyncio.sleep(2.5)
        assert _all_know(mesh, _SIZE - 1)


async def _sent_numbers(incarnation: int) -> set[int]:
    """Return the numbers of the states that one incarnation sends."""
    mesh = FakeMesh(2, 1, incarnation)
    numbers: set[int] = set()
    sender, receiver = mesh.nodes

    async def note(state: NodeState) -> OkReply:
        if state.node == sender:
            numbers.add(state.number)
        return OkReply()

    async with mesh:
        mesh.servers[receiver].handle(NodeState, note)
        await asyncio.sleep(1.2)
    return numbers


async def test_a_restarted_node_does_not_reuse_state_numbers() -> None:
    """Else it would subtract a new state from a sum with the old one."""
    former, present = await asyncio.gather(
        _sent_numbers(1_000), _sent_numbers(9_000)
    )
    assert former
    assert present
    assert former.isdisjoint(present)
