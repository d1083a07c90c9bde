"""What goes wrong, or is changed, in a run.

A disturbance is a coroutine of a ``Scene`` that a decorator registers::

    @disturbance('kill', weight=_OFTEN)
    async def kill(scene: Scene) -> None:
        ...
"""

import asyncio
import json
import random
import signal
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from itertools import count
from typing import Any

from aiohttp import ClientError

from mallowspindle.bench.proxy import FaultMode
from mallowspindle.soak.records import Observations, Try
from mallowspindle.soak.world import NEW_VERSION, World
from mallowspindle.standins.gateways import CONFIGURATION

# How often an odd entry is deeply nested, and an old server leaves.
_DEEP_SHARE = 0.2
_LEAVING_SHARE = 0.5
# Weight of what hurts most together with something else.
_OFTEN = 4

# The operators' pages: from then on a new configuration is in force.
APPLY_S = 2.0
_ROUTE_CHECKS = 10
_ROUTE_CHECK_PAUSE_S = 0.1

_names = count()


@dataclass(frozen=True, slots=True)
class Scene:
    """Where a disturbance takes place; ``rng`` is its own."""

    world: World
    seen: Observations
    rng: random.Random

    def running(self) -> list[str]:
        """Return the nodes that run."""
        return list(filter(self.world.is_running, self.world.nodes))

    def pick_node(self) -> str:
        """Return a node that runs."""
        return self.rng.choice(self.running())

    def trouble(self, *nodes: str) -> None:
        """Record that nodes are disturbed now."""
        self.seen.troubled_at_s.update(dict.fromkeys(nodes, time.monotonic()))


Disturb = Callable[[Scene], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A registered disturbance; ``planned`` is work that loses nothing.

    One with a higher ``weight`` is drawn more often.
    """

    name: str
    disturb: Disturb
    planned: bool
    weight: int


registry: dict[str, Disturbance] = {}


def disturbance(
    name: str, *, planned: bool = False, weight: int = 1
) -> Callable[[Disturb], Disturb]:
    """Return a decorator that registers a disturbance under ``name``."""

    def decorate(disturb: Disturb) -> Disturb:
        registry[name] = Disturbance(name, disturb, planned, weight)
        return disturb

    return decorate


@disturbance('kill', weight=_OFTEN)
async def kill(scene: Scene) -> None:
    """Kill a node, which starts again."""
    name = scene.pick_node()
    scene.trouble(name)
    scene.world.process(name).send_signal(signal.SIGKILL)
    scene.world.restart_later(name, scene.rng.uniform(0.2, 2))


@disturbance('kill-all')
async def kill_all(scene: Scene) -> None:
    """Kill all nodes at once; they start again."""
    names = scene.running()
    scene.trouble(*names)
    for name in names:
        scene.world.process(name).send_signal(signal.SIGKILL)
        scene.world.restart_later(name, 0.3)


@disturbance('stand-still', weight=_OFTEN)
async def stand_still(scene: Scene) -> None:
    """Let a node stand still for seconds."""
    name = scene.pick_node()
    process = scene.world.process(name)
    scene.trouble(name)
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(scene.rng.uniform(1, 4))
    process.send_signal(signal.SIGCONT)
    scene.trouble(name)


@disturbance('cut-from-servers', weight=_OFTEN)
async def cut_from_servers(scene: Scene) -> None:
    """Cut a node off from all servers; its connections are reset or hang."""
    name = scene.pick_node()
    mode = scene.rng.choice([FaultMode.CUT, FaultMode.FREEZE])
    scene.world.cut_from_servers(name, mode)
    await asyncio.sleep(scene.rng.uniform(2, 5))
    scene.world.cut_from_servers(name, FaultMode.PASS)


@disturbance('slow-paths', weight=_OFTEN)
async def slow_paths(scene: Scene) -> None:
    """Let what a node and its peers send each other wait for seconds."""
    name = scene.pick_node()
    scene.trouble(name)
    scene.world.slow_down_paths(name, scene.rng.uniform(0.3, 3.5))
    await asyncio.sleep(scene.rng.uniform(2, 5))
    scene.world.slow_down_paths(name, 0)
    scene.trouble(name)


@disturbance('cut-from-peers')
async def cut_from_peers(scene: Scene) -> None:
    """Cut a node off from one of its peers, or from all of them."""
    name = scene.pick_node()
    others = [other for other in scene.world.nodes if other != name]
    others = others[: scene.rng.choice([1, len(others)])]
    mode = scene.rng.choice([FaultMode.CUT, FaultMode.FREEZE])
    scene.trouble(name, *others)
    scene.world.cut_from_peers(name, others, mode)
    await asyncio.sleep(scene.rng.uniform(2, 5))
    scene.world.cut_from_peers(name, others, FaultMode.PASS)
    scene.trouble(name, *others)


@disturbance('cut-from-store')
async def cut_from_store(scene: Scene) -> None:
    """Cut a node off from the store."""
    name = scene.pick_node()
    scene.trouble(name)
    scene.world.cut_from_store(name, reached=False)
    await asyncio.sleep(scene.rng.uniform(2, 5))
    scene.world.cut_from_store(name, reached=True)
    scene.trouble(name)


@disturbance('store-down')
async def store_down(scene: Scene) -> None:
    """Let the store refuse all calls for seconds."""
    scene.trouble(*scene.world.nodes)
    await scene.world.set_faults('store', down=True)
    await asyncio.sleep(scene.rng.uniform(1, 4))
    await scene.world.set_faults('store', down=False)
    scene.trouble(*scene.world.nodes)


@disturbance('store-restored', weight=_OFTEN)
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


@disturbance('quiet-servers')
async def quiet_servers(scene: Scene) -> None:
    """Let sound servers fall silent while the configuration changes."""
    service = scene.rng.choice(['models', 'shop'])
    names = scene.world.servers_of(service)
    names = scene.rng.sample(names, scene.rng.randint(2, len(names)))
    await scene.world.change_configuration(
        limits={'idle_timeout_ms': scene.rng.choice([5000, 15_000])}
    )
    for name in names:
        scene.world.process(name).send_signal(signal.SIGSTOP)
    await asyncio.sleep(scene.rng.uniform(0.9, 1.3))
    for name in names:
        scene.world.process(name).send_signal(signal.SIGCONT)


@disturbance('refusals')
async def refusals(scene: Scene) -> None:
    """Let a server refuse requests, and repeat the refusals later."""
    name = scene.rng.choice(scene.world.servers_of('models'))
    await scene.world.set_faults(name, refuse=30, repeats_refusals=True)
    await asyncio.sleep(2)
    await scene.world.set_faults(name, refuse=0)


@disturbance('errors')
async def errors(scene: Scene) -> None:
    """Let servers fail, lose answers, cut streams and mix answers up."""
    for service in ('models', 'shop'):
        name = scene.rng.choice(scene.world.servers_of(service))
        fault = scene.rng.choice(['truncate', 'lose_answers', 'cuts'])
        await scene.world.set_faults(name, **{fault: 8, 'cut_after_tokens': 3})


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


@disturbance('release', weight=_OFTEN)
async def release(scene: Scene) -> None:
    """Let servers of a new software version join; some old ones leave."""
    old = scene.world.servers_of('models')
    for _ in range(2):
        name = f'model-new-{next(_names)}'
        await scene.world.add_server(name, 'models', NEW_VERSION)
    if scene.rng.random() < _LEAVING_SHARE:
        await asyncio.sleep(scene.rng.uniform(0.5, 2))
        for name in old[:1]:
            await scene.world.remove_entry(name)
            scene.seen.left_at_s[name] = time.monotonic()


@disturbance('stop', planned=True, weight=_OFTEN)
async def stop(scene: Scene) -> None:
    """Stop one node as planned; it starts again."""
    await scene.world.stop_node(scene.pick_node())


@disturbance('rolling-stops', planned=True)
async def rolling_stops(scene: Scene) -> None:
    """Stop two nodes shortly one after the other."""
    names = scene.running()
    for name in scene.rng.sample(names, min(2, max(1, len(names) - 1))):
        await scene.world.stop_node(name)
        await asyncio.sleep(scene.rng.uniform(0.3, 2))


@disturbance('removal', planned=True)
async def removal(scene: Scene) -> None:
    """Remove a node for good; a planned stop of another one follows."""
    names = scene.running()
    if len(names) > 2:
        name = scene.rng.choice(names)
        await scene.world.remove_node(name)
        await asyncio.sleep(scene.rng.uniform(0.5, 2))
        await stop(scene)


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
    await asyncio.sleep(APPLY_S)
    for _ in range(_ROUTE_CHECKS):
        await asyncio.gather(
            *(_ask_for_route(scene, name, prefix) for name in scene.running())
        )
        await asyncio.sleep(_ROUTE_CHECK_PAUSE_S)


async def _ask_for_route(scene: Scene, name: str, prefix: str) -> None:
    request_id = f'route-{next(_names)}'
    attempt = Try(request_id, 'route', name, time.monotonic())
    with suppress(ClientError, TimeoutError, OSError):
        answer = await scene.world.call(
            name, 'GET', f'{prefix}{request_id}', request_id
        )
        attempt.status = answer[0]
    attempt.ended_at_s = time.monotonic()
    scene.seen.route_tries.append(attempt)
