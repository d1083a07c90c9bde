"""The store, its records and the configuration, which fail or change."""

import asyncio
import json
import time
from contextlib import suppress
from itertools import count
from typing import Any

from aiohttp import ClientError

from mallowspindle.soak.callers import ADDED
from mallowspindle.soak.disturbances.scene import OFTEN, Scene, disturbance
from mallowspindle.soak.records import Try
from mallowspindle.standins.gateways import CONFIGURATION

# How often an odd entry is deeply nested.
_DEEP_SHARE = 0.2

# The operators' pages: from then on a new configuration is in force.
_APPLY_S = 2.0
_ROUTE_CHECKS = 10
_ROUTE_CHECK_PAUSE_S = 0.1

_names = count()


@disturbance('store-down')
async def store_down(scene: Scene) -> None:
    """Let the store refuse all calls for seconds."""
    scene.trouble(*scene.world.nodes)
    await scene.world.set_faults('store', down=True)
    await asyncio.sleep(scene.rng.uniform(1, 4))
    await scene.world.set_faults('store', down=False)
    scene.trouble(*scene.world.nodes)


@disturbance('store-restored', weight=OFTEN)
async def store_restored(scene: Scene) -> None:
    """Let the store come back from an older copy; others write again."""
    scene.trouble(*scene.world.nodes)
    await scene.world.set_faults('store', down=True)
    await asyncio.sleep(0.6)
    await scene.world.restore_store(scene.rng.uniform(2, 6))
    await scene.world.set_faults('store', down=False)
    await scene.world.change_configuration()
    await scene.world.write_entries()
    scene.trouble(*scene.world.nodes)


@disturbance('answers-lost')
async def answers_lost(scene: Scene) -> None:
    """Let the store carry out appends late that it does not answer."""
    await scene.world.set_faults('store', lose_answers=6, late_s=1)


@disturbance('odd-entry')
async def odd_entry(scene: Scene) -> None:
    """Write an entry that names no server to use."""
    entry: dict[str, Any] = {
        'service': scene.rng.choice(['models', 'shop']),
        'address': '127.0.0.1:7',
        'zone': 'a',
        'slots': 8,
        'state': 'ready',
        'born': 1,
    }
    entry |= scene.rng.choice(
        [
            {'address': '127.0.0.1:99999'},
            {'address': '....:80'},
            {'slots': 10**40},
            {'born': 10**30},
            {'models': [[[[]]]]},
        ]
    )
    content = json.dumps(entry).encode()
    if scene.rng.random() < _DEEP_SHARE:
        content = b'[' * 50_000
    await scene.world.put_record(
        'keyed.servers', f'odd-{next(_names)}', content
    )


@disturbance('configuration', planned=True)
async def configuration(scene: Scene) -> None:
    """Change the configuration several times."""
    for _ in range(scene.rng.randint(1, 4)):
        timeout_ms = scene.rng.choice([2000, 2200])
        routes = [
            {**route, 'timeout_ms': timeout_ms}
            if route['kind'] == 'unsafe'
            else route
            for route in CONFIGURATION['routes']
        ]
        await scene.world.change_configuration(routes=routes)
        await asyncio.sleep(scene.rng.uniform(0.1, 0.6))


@disturbance('new-route', planned=True, weight=2)
async def new_route(scene: Scene) -> None:
    """Add a route, and ask all nodes for it once it has to be in force."""
    prefix = await scene.world.add_route()
    await asyncio.sleep(_APPLY_S)
    for _ in range(_ROUTE_CHECKS):
        await asyncio.gather(
            *(_ask_for_route(scene, name, prefix) for name in scene.running())
        )
        await asyncio.sleep(_ROUTE_CHECK_PAUSE_S)


async def _ask_for_route(scene: Scene, name: str, prefix: str) -> None:
    request_id = f'{ADDED}-{next(_names)}'
    attempt = Try(request_id, ADDED, name, time.monotonic())
    with suppress(ClientError, TimeoutError, OSError):
        answer = await scene.world.call(
            name, 'GET', f'{prefix}{request_id}', request_id
        )
        attempt.status = answer[0]
    attempt.ended_at_s = time.monotonic()
    scene.seen.route_tries.append(attempt)
