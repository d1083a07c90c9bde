"""Where disturbances take place, and how they are registered.

A disturbance is a coroutine of a ``Scene`` that a decorator registers::

    @disturbance('kill', weight=OFTEN)
    async def kill(scene: Scene) -> None:
        ...
"""

import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from mallowspindle.soak.records import Observations
from mallowspindle.soak.world import World

# Weight of what hurts most together with something else.
OFTEN = 4


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
