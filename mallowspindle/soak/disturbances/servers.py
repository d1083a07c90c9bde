"""Servers that refuse, fail, leave or come at addresses used before."""

import asyncio
import signal
import time
from itertools import count
from typing import Any

from mallowspindle.soak.disturbances.scene import OFTEN, Scene, disturbance
from mallowspindle.soak.world import NEW_VERSION

_SERVICES = ('models', 'shop')
_LEAVING_SHARE = 0.5
# More than servers get in a run.
_ALL = 1_000_000
# An address may go to another service so long after its server has gone.
_REUSE_AFTER_S = 2.0
_BURST_S = 3.0
# How many servers of a service that rejects requests stay sound.
_SOUND_SERVERS = (0, 0, 1)
_REJECTIONS: tuple[dict[str, Any], ...] = (
    {'refuse': _ALL},
    {'refuse': _ALL},
    {'turn_away': '1'},
    {'truncate': _ALL},
)

_names = count()


@disturbance('quiet-servers')
async def quiet_servers(scene: Scene) -> None:
    """Let sound servers fall silent while the configuration changes."""
    service = scene.rng.choice(_SERVICES)
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
    service = scene.rng.choice(_SERVICES)
    name = scene.rng.choice(scene.world.servers_of(service))
    await scene.world.set_faults(name, refuse=30, repeats_refusals=True)
    await asyncio.sleep(2)
    await scene.world.set_faults(name, refuse=0)


@disturbance('rejecting-service', weight=4 * OFTEN)
async def rejecting_service(scene: Scene) -> None:
    """Let all servers of a service, or all but one, fail for seconds.

    They refuse what they get, with or without a time to come back, or answer
    it with a failure; often in two spells.
    """
    names = scene.world.servers_of(scene.rng.choice(_SERVICES))
    names = names[scene.rng.choice(_SOUND_SERVERS) :]
    for _ in range(scene.rng.randint(1, 2)):
        await _reject(scene, names, **scene.rng.choice(_REJECTIONS))
        await asyncio.sleep(scene.rng.uniform(0.5, 2))


async def refuse_all(scene: Scene) -> None:
    """Let all servers of a service refuse what they get for seconds."""
    names = scene.world.servers_of(scene.rng.choice(_SERVICES))
    await _reject(scene, names, refuse=_ALL)


async def _reject(scene: Scene, names: list[str], **faults: Any) -> None:
    await _set_faults(scene, names, **faults)
    await asyncio.sleep(scene.rng.uniform(4, 12))
    await _set_faults(scene, names, refuse=0, turn_away='', truncate=0)


@disturbance('copied-refusals', weight=2)
async def copied_refusals(scene: Scene) -> None:
    """Let all servers of a service refuse some requests, and copy that.

    Copies come when the request is back on the connection, or some time later.
    """
    names = scene.world.servers_of(scene.rng.choice(_SERVICES))
    copy_s = scene.rng.choice([0, 0.002, 0.03, 0.5])
    await _refuse_in_bursts(scene, names, 2 * _BURST_S, copy_refusals_s=copy_s)


async def _refuse_in_bursts(
    scene: Scene, names: list[str], duration_s: float, **faults: Any
) -> None:
    until_s = time.monotonic() + duration_s
    await _set_faults(scene, names, repeats_refusals=True, **faults)
    while time.monotonic() < until_s:
        await _set_faults(scene, names, refuse=3)
        await asyncio.sleep(scene.rng.uniform(0.05, 0.3))
    await _set_faults(scene, names, refuse=0)


async def _set_faults(scene: Scene, names: list[str], **faults: Any) -> None:
    await asyncio.gather(
        *(scene.world.set_faults(name, **faults) for name in names)
    )


@disturbance('errors')
async def errors(scene: Scene) -> None:
    """Let servers fail, lose answers, cut streams and mix answers up."""
    for service in _SERVICES:
        name = scene.rng.choice(scene.world.servers_of(service))
        fault = scene.rng.choice(['truncate', 'lose_answers', 'cuts'])
        await scene.world.set_faults(name, **{fault: 8, 'cut_after_tokens': 3})


@disturbance('lost-answers', weight=2)
async def lost_answers(scene: Scene) -> None:
    """Let one server lose its answers in bursts."""
    name = scene.rng.choice(scene.world.servers_of(scene.rng.choice(_SERVICES)))
    until_s = time.monotonic() + scene.rng.uniform(2, 2 * _BURST_S)
    while time.monotonic() < until_s:
        await scene.world.set_faults(name, lose_answers=4)
        await asyncio.sleep(scene.rng.uniform(0.1, 0.8))
    await scene.world.set_faults(name, lose_answers=0)


@disturbance('refused-moves', weight=2)
async def refused_moves(scene: Scene) -> None:
    """Let a server leave that asks for moves, while these are refused."""
    name, *others = scene.world.servers_of('models')
    where: dict[str, Any] = scene.rng.choice(
        [{'no_room': 5}, {'no_room_at_last': 5}, {}]
    )
    await scene.world.set_faults(name, leaving=True, **where)
    await scene.world.write_entry(name, state='draining', spot=True)
    await _refuse_in_bursts(scene, others, _BURST_S)
    await _remove(scene, name)


async def _remove(scene: Scene, name: str) -> None:
    await scene.world.remove_entry(name)
    scene.seen.left_at_s[name] = time.monotonic()


@disturbance('release', weight=OFTEN)
async def release(scene: Scene) -> None:
    """Let servers of a new software version join; some old ones leave."""
    old = scene.world.servers_of('models')
    for _ in range(2):
        name = f'model-new-{next(_names)}'
        await scene.world.add_server(name, 'models', NEW_VERSION)
    if scene.rng.random() < _LEAVING_SHARE:
        await asyncio.sleep(scene.rng.uniform(0.5, 2))
        for name in old[:1]:
            await _remove(scene, name)


@disturbance('release-at-used-address', weight=2)
async def release_at_used_address(scene: Scene) -> None:
    """Let new servers take the addresses of old ones, one after the other."""
    for former in scene.world.servers_of('models')[:2]:
        await _remove(scene, former)
        await asyncio.sleep(_REUSE_AFTER_S + scene.rng.uniform(0, 1))
        name = f'model-new-{next(_names)}'
        await scene.world.prepare_server(name, 'models', NEW_VERSION, former)
        await scene.world.write_entry(name)


@disturbance('new-id', weight=2)
async def new_id(scene: Scene) -> None:
    """Let two servers start again under new ids while the others refuse.

    Until its entry is written, a server gets requests for its former id. These
    wait at the others, so that some come back to it under its new one.
    """
    for _ in range(2):
        former, *others = scene.world.servers_of('shop')
        name = f'shop-new-{next(_names)}'
        await _set_faults(scene, others, refuse=_ALL, refuse_s=0.4)
        await scene.world.prepare_server(name, 'shop', former=former)
        await scene.world.set_faults(name, repeats_refusals=True)
        await asyncio.sleep(scene.rng.uniform(0.2, 0.7))
        await _remove(scene, former)
        await scene.world.write_entry(name)
        await asyncio.sleep(_BURST_S)
        await _set_faults(scene, others, refuse=0, refuse_s=0)


@disturbance('address-of-another', weight=2)
async def address_of_another(scene: Scene) -> None:
    """Let the address of a server that is gone pass to another service."""
    service, other = scene.rng.sample(_SERVICES, 2)
    names = scene.world.servers_of(service)
    if len(names) < 3:
        return
    former = scene.rng.choice(names)
    await _remove(scene, former)
    await asyncio.sleep(_REUSE_AFTER_S + scene.rng.uniform(0, 1))
    name = f'{other}-new-{next(_names)}'
    await scene.world.prepare_server(name, other, former=former)
    await scene.world.set_faults(name, repeats_refusals=True)
    await scene.world.write_entry(name)
