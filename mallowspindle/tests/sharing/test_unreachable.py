"""Tests of how nodes share that a server accepts no connections."""

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

_TIMEOUT_S = 5.0
_POLL_S = 0.02
_WAIT_S = 1.5
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


def _report_unreachable(backends: BackendsService, server_id: str) -> None:
    for view in backends.views('models'):
        if view.server.server_id == server_id:
            backends.record_unreachable(view)
        else:
            view.record_success()


def _usable(backends: BackendsService) -> set[str]:
    return {view.server.server_id for view in backends.usable('models', ())}


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(_POLL_S)


def _all_use(services: dict[str, BackendsService], expected: set[str]) -> bool:
    return all(_usable(each) == expected for each in services.values())


@pytest.mark.parametrize('size', [8, 30])
async def test_all_nodes_avoid_a_server_that_two_cannot_reach(
    size: int,
) -> None:
    """Guards against every node losing own attempts at a crashed server."""
    mesh = FakeMesh(size, 3)
    clock = FakeClock()
    services = _backends(mesh, clock)
    for each in services.values():
        await each.start()
    async with mesh:
        for name in list(services)[:2]:
            _report_unreachable(services[name], 'i-1')
        await _wait_until(partial(_all_use, services, {'i-2', 'i-3'}))
        clock.advance(3)
        await _wait_until(partial(_all_use, services, set(_SERVERS)))


@pytest.mark.parametrize('size', [8, 30])
async def test_other_nodes_ignore_the_report_of_a_single_node(
    size: int,
) -> None:
    mesh = FakeMesh(size, 3)
    services = _backends(mesh, FakeClock())
    for each in services.values():
        await each.start()
    first = next(iter(services))
    async with mesh:
        _report_unreachable(services[first], 'i-1')
        await asyncio.sleep(_WAIT_S)
        assert _usable(services.pop(first)) == {'i-2', 'i-3'}
        assert _all_use(services, set(_SERVERS))
