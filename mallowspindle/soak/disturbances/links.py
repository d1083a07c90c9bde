"""Paths between nodes, and from nodes to servers and the store, that fail."""

import asyncio

from mallowspindle.bench.proxy import FaultMode
from mallowspindle.soak.disturbances.scene import OFTEN, Scene, disturbance


@disturbance('cut-from-servers', weight=OFTEN)
async def cut_from_servers(scene: Scene) -> None:
    """Cut a node off from all servers; its connections are reset or hang."""
    name = scene.pick_node()
    mode = scene.rng.choice([FaultMode.CUT, FaultMode.FREEZE])
    scene.world.cut_from_servers(name, mode)
    await asyncio.sleep(scene.rng.uniform(2, 5))
    scene.world.cut_from_servers(name, FaultMode.PASS)


@disturbance('slow-paths', weight=OFTEN)
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


@disturbance('cut-all-from-peers', weight=OFTEN)
async def cut_all_from_peers(scene: Scene) -> None:
    """Cut all nodes off from each other for long while they serve."""
    mode = scene.rng.choice([FaultMode.CUT, FaultMode.FREEZE])
    scene.trouble(*scene.world.nodes)
    scene.world.cut_all_from_peers(mode)
    await asyncio.sleep(scene.rng.uniform(8, 18))
    scene.world.cut_all_from_peers(FaultMode.PASS)
    scene.trouble(*scene.world.nodes)


@disturbance('cut-from-store')
async def cut_from_store(scene: Scene) -> None:
    """Cut a node off from the store."""
    name = scene.pick_node()
    scene.trouble(name)
    scene.world.cut_from_store(name, reached=False)
    await asyncio.sleep(scene.rng.uniform(2, 5))
    scene.world.cut_from_store(name, reached=True)
    scene.trouble(name)
