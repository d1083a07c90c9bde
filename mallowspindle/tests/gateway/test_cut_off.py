"""A node that alone hears nothing of the configuration."""

import asyncio
import signal
import time
from pathlib import Path
from typing import Any

import pytest

from mallowspindle.bench.peer_paths import PeerPaths
from mallowspindle.bench.proxy import FaultMode, FaultProxy
from mallowspindle.standins.gateways import CONFIGURATION, GatewayVenture

_NODES = ('entry-0', 'entry-1', 'entry-2')
_VICTIM = 'entry-1'
_OTHERS = ('entry-0', 'entry-2')
_APPLY_MS = 2000
# A request that is sent later than this after the acknowledgement of a version
# is handled by that version or a newer one.
_APPLY_S = _APPLY_MS / 1000
_POLL_S = 0.05
_HELD_S = 5.0
_NEWER = 8
_PATH = '/status/1'
# The stream lasts until the node has been refusing requests for a while.
_EVENTS = 40
# Requests that a frozen node finds waiting still have time left.
_ROUTES = [{**route, 'timeout_ms': 15_000} for route in CONFIGURATION['routes']]


class _CutVenture(GatewayVenture):
    """Three gateways, whose paths to the store and to peers can be held."""

    def __init__(self, folder: Path) -> None:
        self.paths = PeerPaths('127.91.2.98', '127.91.2.99')
        self._stores: dict[str, FaultProxy] = {}
        super().__init__(folder, self.paths)

    async def start(self) -> None:
        """Start the platform, one server and the gateways."""
        await self.start_platform()
        await self.configure(routes=_ROUTES)
        await self.start_server('shop-1', 'shop')
        await self.start_server(
            'model-1', 'models', f'--events={_EVENTS}', '--pause-s=0.1'
        )
        for name in _NODES:
            store = await FaultProxy.start(self.process('store').address)
            self._stores[name] = store
            await self.start_gateway(
                name, store=store.address, config_apply_ms=_APPLY_MS
            )
        await asyncio.sleep(1)

    async def stop(self) -> None:
        """End all processes and close all paths."""
        await super().stop()
        for store in self._stores.values():
            await store.stop()

    def switch_store(self, mode: FaultMode, *names: str) -> None:
        """Change the mode of the paths from nodes to the store."""
        for name in names:
            self._stores[name].switch_mode(mode)

    def switch_peers(self, mode: FaultMode) -> None:
        """Change the mode of the paths between the victim and the others."""
        for name in _OTHERS:
            self.paths.switch(mode, _VICTIM, name)

    async def remove_route(self) -> float:
        """Write a version without the route; return when it was acknowledged."""
        routes = [route for route in _ROUTES if route['name'] != 'status']
        await self.configure(version=_NEWER, routes=routes)
        return time.monotonic()

    async def status(self, name: str) -> int:
        """Send a request; return the status of the response."""
        request_id = f'{name}-{time.monotonic()}'
        status, _, _ = await self.call(name, 'GET', _PATH, request_id)
        return status

    async def statuses(
        self, name: str, for_s: float
    ) -> list[tuple[float, int]]:
        """Send requests one by one; return when each was sent, and its status."""
        ends_at_s = time.monotonic() + for_s
        seen = []
        sent_at_s = 0.0
        while sent_at_s < ends_at_s:
            sent_at_s = time.monotonic()
            seen.append((sent_at_s, await self.status(name)))
            await asyncio.sleep(_POLL_S)
        return seen


@pytest.mark.parametrize('mode', [FaultMode.FREEZE, FaultMode.CUT])
async def test_node_that_hears_nothing_serves_by_no_old_configuration(
    tmp_path: Path, mode: FaultMode
) -> None:
    """Guards against a response by a version that was replaced 2 s before."""
    async with _CutVenture(tmp_path) as venture:
        await venture.start()
        assert await venture.status(_VICTIM) == 200
        stream = asyncio.create_task(
            venture.call(_VICTIM, 'POST', '/letters/1', 'stream')
        )
        own = venture.process(_VICTIM).endpoint('callers')
        venture.switch_store(mode, _VICTIM)
        venture.switch_peers(mode)
        acknowledged_at_s = await venture.remove_route()
        held = await venture.statuses(_VICTIM, _HELD_S)
        ready = await venture.is_ready(_VICTIM)
        addresses = await venture.addresses(_VICTIM)
        venture.switch_store(FaultMode.PASS, _VICTIM)
        venture.switch_peers(FaultMode.PASS)
        healed = await venture.statuses(_VICTIM, _HELD_S)
        late = [
            (round(sent_at_s - acknowledged_at_s, 2), status)
            for sent_at_s, status in held + healed
            if sent_at_s > acknowledged_at_s + _APPLY_S
        ]
        assert not any(status == 200 for _, status in late), late
        assert held[-1][1] == 503
        status, _, text = await stream
        assert (status, text.count('data:')) == (200, _EVENTS)
        assert not ready
        assert own not in addresses
        assert set(addresses) == {
            venture.process(name).endpoint('callers') for name in _OTHERS
        }
        assert healed[-1][1] == 404
        assert await venture.is_ready(_VICTIM)
        assert own in await venture.addresses(_VICTIM)


async def test_all_nodes_serve_while_the_store_is_down_for_all(
    tmp_path: Path,
) -> None:
    """Guards against refusals by nodes whose peers answer."""
    async with _CutVenture(tmp_path) as venture:
        await venture.start()
        venture.switch_store(FaultMode.FREEZE, *_NODES)
        seen = await asyncio.gather(
            *(venture.statuses(name, _HELD_S) for name in _NODES)
        )
        # Shorter than the bound: silence of peers beside the outage.
        venture.switch_peers(FaultMode.FREEZE)
        seen.append(await venture.statuses(_VICTIM, _APPLY_S / 2))
        venture.switch_peers(FaultMode.PASS)
        seen.append(await venture.statuses(_VICTIM, _APPLY_S))
        assert {status for part in seen for _, status in part} == {200}
        assert all([await venture.is_ready(name) for name in _NODES])


async def test_node_serves_again_beside_its_peers_while_the_store_is_down(
    tmp_path: Path,
) -> None:
    """Guards against a node that waits for the store to be back."""
    async with _CutVenture(tmp_path) as venture:
        await venture.start()
        venture.switch_store(FaultMode.FREEZE, *_NODES)
        venture.switch_peers(FaultMode.FREEZE)
        held = await venture.statuses(_VICTIM, _HELD_S)
        assert held[-1][1] == 503
        venture.switch_peers(FaultMode.PASS)
        await venture.wait_until(lambda: venture.is_ready(_VICTIM))
        assert await venture.status(_VICTIM) == 200


async def test_node_that_wakes_serves_by_no_old_configuration(
    tmp_path: Path,
) -> None:
    """Guards against requests that a node finds waiting when it wakes."""
    async with _CutVenture(tmp_path) as venture:
        await venture.start()
        victim = venture.process(_VICTIM)
        # Messages that wait for it would tell it of the new version at once.
        venture.switch_store(FaultMode.FREEZE, _VICTIM)
        venture.switch_peers(FaultMode.FREEZE)
        victim.send_signal(signal.SIGSTOP)
        await venture.remove_route()
        await asyncio.sleep(_APPLY_S + _POLL_S)
        waiting: list[asyncio.Task[Any]] = [
            asyncio.create_task(venture.status(_VICTIM)) for _ in range(20)
        ]
        await asyncio.sleep(0.5)
        victim.send_signal(signal.SIGCONT)
        await asyncio.sleep(_POLL_S)
        venture.switch_store(FaultMode.PASS, _VICTIM)
        venture.switch_peers(FaultMode.PASS)
        statuses = await asyncio.gather(*waiting)
        assert set(statuses) <= {404, 503}
        await venture.wait_until(lambda: venture.is_ready(_VICTIM))
        assert await venture.status(_VICTIM) == 404
