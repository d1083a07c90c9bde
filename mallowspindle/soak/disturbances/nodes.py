"""Nodes that are killed, frozen, stopped or removed."""

import asyncio
import signal

from mallowspindle.bench.proxy import FaultMode
from mallowspindle.soak.disturbances.scene import OFTEN, Scene, disturbance


@disturbance('kill', weight=OFTEN)
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


@disturbance('kill-all-twice', weight=OFTEN)
async def kill_all_twice(scene: Scene) -> None:
    """Kill all nodes twice within a window of the retry bounds."""
    await kill_all(scene)
    await asyncio.sleep(scene.rng.uniform(2.5, 6))
    await kill_all(scene)


@disturbance('start-apart', weight=OFTEN)
async def start_apart(scene: Scene) -> None:
    """Let all nodes start again without seeing each other for seconds."""
    scene.world.cut_all_from_peers(FaultMode.CUT)
    await kill_all(scene)
    await asyncio.sleep(scene.rng.uniform(10, 20))
    scene.world.cut_all_from_peers(FaultMode.PASS)
    scene.trouble(*scene.world.nodes)


@disturbance('stand-still', weight=OFTEN)
async def stand_still(scene: Scene) -> None:
    """Let a node stand still for seconds."""
    name = scene.pick_node()
    process = scene.world.process(name)
    scene.trouble(name)
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(scene.rng.uniform(1, 4))
    process.send_signal(signal.SIGCONT)
    scene.trouble(name)


@disturbance('freezes', weight=2)
async def freezes(scene: Scene) -> None:
    """Let several nodes stand still, for overlapping times."""
    names = scene.running()
    names = scene.rng.sample(names, scene.rng.randint(1, len(names)))
    await asyncio.gather(
        *(_freeze(scene, name, scene.rng.uniform(0, 3)) for name in names)
    )


async def _freeze(scene: Scene, name: str, after_s: float) -> None:
    frozen_s = scene.rng.uniform(0.5, 4)
    await asyncio.sleep(after_s)
    scene.trouble(name)
    # By the time it wakes, the node may have another process.
    process = scene.world.process(name)
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(frozen_s)
    process.send_signal(signal.SIGCONT)
    scene.trouble(name)


@disturbance('stop', planned=True, weight=OFTEN)
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
