"""Requests that a peer passes on, and those that only claim to be such."""

import asyncio
from dataclasses import replace

from multidict import CIMultiDict

from mallowspindle.proxy.messages import CallerRequest
from mallowspindle.proxy.peers import PeerRelays
from mallowspindle.sharing.messages import WorkSum
from mallowspindle.tests.sharing.fakes import FakeMesh

_KEY = b'a key'


def _request(request_id: str, headers: dict[str, str]) -> CallerRequest:
    return CallerRequest(
        'GET', '/', 'shop.example', request_id, CIMultiDict(headers)
    )


async def test_only_requests_with_a_proof_count_as_passed_on() -> None:
    """A caller that names itself a peer must not escape its quota."""
    async with FakeMesh(2, 1) as mesh:
        one, two = mesh.nodes.values()
        signed = PeerRelays(one, _KEY).sign('r1')
        relays = PeerRelays(two, _KEY)
        accepted = relays.accept(_request('r1', signed))
        assert accepted.relayed_by == one.membership.own.name
        assert not accepted.headers
        forged = PeerRelays(one, b'another key').sign('r1')
        for request in (_request('r1', forged), _request('r2', signed)):
            refused = relays.accept(request)
            assert refused.relayed_by is None
            assert not refused.headers


async def test_peers_that_reach_no_server_or_leave_are_not_chosen() -> None:
    async with FakeMesh(4, 1) as mesh:
        own, disconnected, leaving, other = mesh.nodes
        mesh.nodes[disconnected].register_work_source(
            lambda: WorkSum(not_reached={disconnected: ['shop']})
        )
        membership = mesh.memberships[leaving]
        mesh.memberships[own].table.merge(
            replace(membership.own, leaving=True, beat=2)
        )
        relays = PeerRelays(mesh.nodes[own], _KEY)
        while not mesh.nodes[own].peer_work().not_reached:
            await asyncio.sleep(0.05)
        chosen = [relays.choose('shop', ()) for _ in range(20)]
        assert {info and info.name for info in chosen} == {other}
        chosen = [relays.choose('models', ()) for _ in range(40)]
        assert {info and info.name for info in chosen} == {other, disconnected}
        assert relays.choose('shop', {other}) is None
