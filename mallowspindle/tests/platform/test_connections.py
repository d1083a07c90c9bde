"""Connections to the store whose path is lost while they are idle."""

import asyncio
from types import SimpleNamespace
from typing import cast

from aiohttp.test_utils import TestServer

from mallowspindle.bench.proxy import FaultProxy
from mallowspindle.config.platform import PlatformSettings
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.platform.service import PlatformService
from mallowspindle.standins.platform_store import StoreStandin

_TIMEOUT_S = 0.3
_CONNECTIONS = 5
_IDLE_S = 2.5
_STREAM = 'keyed.op'


def _settings(store: str) -> PlatformSettings:
    listen = dict.fromkeys(
        ('callers', 'readiness', 'addresses', 'peers'), '127.0.0.1:0'
    )
    return PlatformSettings.model_validate(
        {
            'node': {'name': 'one', 'zone': 'a'},
            'peers': {'shared_key': 'a-key-of-sixteen-characters'},
            'listen': listen,
            'store': {'address': store, 'timeout_s': _TIMEOUT_S},
        }
    )


async def test_idle_connections_do_not_each_cost_a_timeout() -> None:
    """Guards against a node that takes up dead connections one by one.

    The store answers on new ones as soon as the path is back.
    """
    async with TestServer(StoreStandin().app()) as server:
        proxy = await FaultProxy.start(f'{server.host}:{server.port}')
        settings = _settings(proxy.address)
        kernel = SimpleNamespace(settings=lambda model: settings)
        platform = PlatformService.from_config(cast(Kernel, kernel))
        reads = (platform.log.read_latest(_STREAM) for _ in range(_CONNECTIONS))
        await asyncio.gather(*reads)
        assert proxy.accepted_connections == _CONNECTIONS
        await asyncio.sleep(_IDLE_S)
        proxy.blackhole_open_connections()
        state = await platform.log.read_latest(_STREAM)
        assert not state.records
        await platform.stop()
        await proxy.stop()
