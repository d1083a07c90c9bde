"""What the nodes of a large venture know of one another."""

import asyncio
from collections.abc import Callable
from functools import partial

from mallowspindle.catalog.following import StreamRequest
from mallowspindle.peers.codec import OkReply
from mallowspindle.sharing.messages import (
    LeaseNews,
    NodeState,
    QuotaSpent,
    ServerLoad,
    WorkSum,
)
from mallowspindle.sharing.relays import relays_of
from mallowspindle.sharing.service import SharingService
from mallowspindle.tests.sharing.fakes import FakeMesh

_SIZE = 30
_ZONES = 3
_LIMIT_S = 5.0
_POLL_S = 0.02


def _provide_work(mesh: FakeMesh) -> None:
    """Let each node run one request at one server."""
    work = WorkSum(
        loads={'i-1': ServerLoad(1, 0)},
        quota_use={'farm': QuotaSpent(100, 10, 0)},
    )
    for node in mesh.nodes.values():
        node.register_work_source(lambda: work)


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(_LIMIT_S):
        while not condition():
            await asyncio.sleep(_POLL_S)


def _hears(node: SharingService, others: int) -> bool:
    """Tell whether a node knows the work of exactly so many others."""
    work = node.peer_work()
    running = work.loads.get('i-1', ServerLoad(0, 0)).running
    used = work.quota_use.get('farm', QuotaSpent(0, 0, 0)).used
    return work.nodes == running == others and used == 100 * others


def _all_hear(mesh: FakeMesh, others: int) -> bool:
    live = (
        node for name, node in mesh.nodes.items() if name not in mesh.silent
    )
    return all(_hears(node, others) for node in live)


async def _note(reached: set[str], name: str, message: object) -> OkReply:
    reached.add(name)
    return OkReply()


def _relays(mesh: FakeMesh, zone: str) -> list[str]:
    infos = [membership.own for membership in mesh.memberships.values()]
    return relays_of(zone, infos)


async def test_each_node_knows_the_work_of_all_others_but_its_own() -> None:
    mesh = FakeMesh(_SIZE, _ZONES)
    _provide_work(mesh)
    async with mesh:
        await _until(partial(_all_hear, mesh, _SIZE - 1))
        assert all(node.heard_fraction() == 1 for node in mesh.nodes.values())


async def test_nodes_of_a_small_venture_tell_each_other_directly() -> None:
    mesh = FakeMesh(8, 4)
    _provide_work(mesh)
    async with mesh:
        await _until(partial(_all_hear, mesh, 7))


async def test_the_second_relay_tells_while_the_first_is_silent() -> None:
    mesh = FakeMesh(_SIZE, _ZONES)
    _provide_work(mesh)
    async with mesh:
        await _until(partial(_all_hear, mesh, _SIZE - 1))
        first = _relays(mesh, 'zone-0')[0]
        await mesh.nodes[first].stop()
        mesh.silent.add(first)
        await _until(partial(_all_hear, mesh, _SIZE - 2))


async def test_a_node_that_is_cut_from_the_first_relay_is_heard() -> None:
    """Replays a cut between two nodes: no other node sees a silence."""
    mesh = FakeMesh(_SIZE, _ZONES)
    _provide_work(mesh)
    first, second = _relays(mesh, 'zone-0')
    apart = next(
        name
        for name, membership in mesh.memberships.items()
        if membership.own.zone == 'zone-0' and name not in {first, second}
    )
    mesh.cut.update({(first, apart), (apart, first)})
    async with mesh:
        await _until(partial(_all_hear, mesh, _SIZE - 1))


async def test_news_of_the_lease_reaches_all() -> None:
    mesh = FakeMesh(_SIZE, _ZONES)
    heard: dict[str, LeaseNews] = {}
    holder = next(iter(mesh.nodes))
    mesh.nodes[holder].register_lease_source(lambda: LeaseNews(holder, 7, 0))
    for name, node in mesh.nodes.items():
        node.watch_lease(partial(heard.__setitem__, name))
    others = mesh.nodes.keys() - {holder}
    async with mesh:
        await _until(lambda: heard.keys() >= others)


async def test_a_message_to_all_reaches_all() -> None:
    mesh = FakeMesh(_SIZE, _ZONES)
    reached: set[str] = set()
    for name, membership in mesh.memberships.items():
        membership.server.handle(StreamRequest, partial(_note, reached, name))
    async with mesh:
        for sender in list(mesh.nodes)[:_ZONES]:
            reached.clear()
            mesh.nodes[sender].tell_all(StreamRequest('servers'))
            others = mesh.nodes.keys() - {sender}
            await _until(partial(reached.issuperset, others))


async def test_a_zone_whose_nodes_all_leave_is_heard() -> None:
    """Replays a rolling restart that meets all nodes of a zone at once."""
    mesh = FakeMesh(_SIZE, _ZONES)
    _provide_work(mesh)
    async with mesh:
        await _until(partial(_all_hear, mesh, _SIZE - 1))
        mesh.leave('zone-0')
        await asyncio.sleep(2.5)
        assert _all_hear(mesh, _SIZE - 1)


async def _told_numbers(incarnation: int) -> set[int]:
    """Return the numbers of the states that a node tells in one life."""
    mesh = FakeMesh(2, 1, incarnation)
    numbers: set[int] = set()
    teller, listener = mesh.nodes

    async def note(state: NodeState) -> OkReply:
        if state.node == teller:
            numbers.add(state.number)
        return OkReply()

    async with mesh:
        mesh.servers[listener].handle(NodeState, note)
        await asyncio.sleep(1.2)
    return numbers


async def test_a_restarted_node_tells_other_numbers() -> None:
    """Its state of that number would be taken off a sum of its former life."""
    former, present = await asyncio.gather(
        _told_numbers(1_000), _told_numbers(9_000)
    )
    assert former
    assert present
    assert former.isdisjoint(present)
