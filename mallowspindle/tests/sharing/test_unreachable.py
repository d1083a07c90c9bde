"""Servers that take no connections, as the nodes of a venture hear of them."""

import asyncio
from collections.abc import Callable
from functools import partial
from types import SimpleNamespace
from typing import Any

import pytest

from mallowspindle.backends.service import BackendsService
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.tests.clock import FakeClock
from mallowspindle.tests.sharing.fakes import FakeMesh

_LIMIT_S = 5.0
_POLL_S = 0.02
_ROUNDS_S = 1.5
_SERVERS = ('i-1', 'i-2', 'i-3')


def _backends(mesh: FakeMesh, clock: FakeClock) -> dict[str, BackendsService]:
    servers = {
        name: BackendServer(name, 'models', f'{name}:80', 'zone-0', 8)
        for name in _SERVERS
    }
    catalog: Any = SimpleNamespace(servers=servers, configuration=None)
    return {
        name: BackendsService(catalog, node, clock)
        for name, node in mesh.nodes.items()
    }


def _find_unreachable(backends: BackendsService, server_id: str) -> None:
    for view in backends.views('models'):
        if view.server.server_id == server_id:
            backends.note_unreachable(view)
        else:
            view.note_success()


def _usable(backends: BackendsService) -> set[str]:
    return {view.server.server_id for view in backends.usable('models', ())}


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(_LIMIT_S):
        while not condition():
            await asyncio.sleep(_POLL_S)


def _all_use(services: dict[str, BackendsService], expected: set[str]) -> bool:
    return all(_usable(each) == expected for each in services.values())


@pytest.mark.parametrize('size', [8, 30])
async def test_two_nodes_tell_all_of_a_dead_server(size: int) -> None:
    """Replays a crash: each node lost attempts at the server by itself."""
    mesh = FakeMesh(size, 3)
    clock = FakeClock()
    services = _backends(mesh, clock)
    for each in services.values():
        await each.start()
    async with mesh:
        for name in list(services)[:2]:
            _find_unreachable(services[name], 'i-1')
        await _until(partial(_all_use, services, {'i-2', 'i-3'}))
        clock.advance(3)
        await _until(partial(_all_use, services, set(_SERVERS)))


@pytest.mark.parametrize('size', [8, 30])
async def test_one_node_alone_is_not_believed(size: int) -> None:
    mesh = FakeMesh(size, 3)
    services = _backends(mesh, FakeClock())
    for each in services.values():
        await each.start()
    first = next(iter(services))
    async with mesh:
        _find_unreachable(services[first], 'i-1')
        await asyncio.sleep(_ROUNDS_S)
        assert _usable(services.pop(first)) == {'i-2', 'i-3'}
        assert _all_use(services, set(_SERVERS))
