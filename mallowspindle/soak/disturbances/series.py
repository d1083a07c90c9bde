"""Disturbances that overlap while servers refuse requests."""

import asyncio

from mallowspindle.soak.disturbances.links import cut_all_from_peers
from mallowspindle.soak.disturbances.nodes import (
    kill_all_twice,
    start_apart,
)
from mallowspindle.soak.disturbances.scene import OFTEN, Scene, disturbance
from mallowspindle.soak.disturbances.servers import refuse_all


@disturbance('refused-while-apart', weight=2 * OFTEN)
async def refused_while_apart(scene: Scene) -> None:
    """Let a service refuse requests once no node sees another any more."""
    # So long it takes until silent members count as lost.
    await asyncio.gather(
        cut_all_from_peers(scene),
        _refuse_later(scene, scene.rng.uniform(3, 7)),
    )


@disturbance('refused-after-start-apart', weight=OFTEN)
async def refused_after_start_apart(scene: Scene) -> None:
    """Let a service refuse requests some time after nodes started apart."""
    await asyncio.gather(
        start_apart(scene),
        _refuse_later(scene, scene.rng.uniform(8, 12)),
    )


@disturbance('refused-while-restarting', weight=2 * OFTEN)
async def refused_while_restarting(scene: Scene) -> None:
    """Let a service refuse requests while all nodes are killed twice."""
    await asyncio.gather(
        kill_all_twice(scene),
        _refuse_later(scene, scene.rng.uniform(0, 2)),
    )


async def _refuse_later(scene: Scene, after_s: float) -> None:
    await asyncio.sleep(after_s)
    await refuse_all(scene)
