"""Plays one schedule against real processes."""

import asyncio
import json
import random
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, Self

from mallowspindle.soak.bounds import RetryBounds
from mallowspindle.soak.callers import Callers
from mallowspindle.soak.checks import broken_promises
from mallowspindle.soak.disturbances.library import all_disturbances
from mallowspindle.soak.disturbances.scene import Scene
from mallowspindle.soak.records import Arrival, Observations, Run
from mallowspindle.soak.schedules import Entry, Schedule
from mallowspindle.soak.sums import worst_windows
from mallowspindle.soak.world import World
from mallowspindle.standins.faults import Faults
from mallowspindle.standins.gateways import CONFIGURATION

DEFAULT_SIZE = 4
# Time after the last disturbance has ended until nodes count as in touch.
_CALM_S = 3.5
# Usage of the last windows is reported in this time.
_REPORTING_S = 2.0
_LAST_TRIES = 3
_RESULT = 'result.json'


@dataclass(frozen=True, slots=True)
class Result:
    """What a run broke; ``statuses`` counts the answers of callers by kind."""

    seed: int
    size: int
    entries: list[dict[str, Any]]
    broken: list[str]
    statuses: dict[str, dict[str, int]]
    duration_s: float
    # By service, the repeats and those allowed in the worst window.
    repeats: dict[str, list[float]] = field(default_factory=dict)
    bootstrap: bool = False

    @classmethod
    def load(cls, folder: Path) -> Self:
        """Read the result in a run's folder."""
        return cls(**json.loads((folder / _RESULT).read_text()))

    def save(self, folder: Path) -> None:
        """Write the result into the run's folder."""
        text = json.dumps(asdict(self), indent=1)
        (folder / _RESULT).write_text(f'{text}\n')

    @property
    def schedule(self) -> Schedule:
        """The schedule that was played."""
        entries = (Entry(**entry) for entry in self.entries)
        return Schedule(self.seed, tuple(entries), bootstrap=self.bootstrap)


async def play(
    schedule: Schedule, folder: Path, size: int = DEFAULT_SIZE
) -> Result:
    """Play a schedule, write logs and the result into a folder."""
    await asyncio.to_thread(folder.mkdir, parents=True, exist_ok=True)
    rng = random.Random(schedule.seed)  # noqa: S311
    seen = Observations(
        only_planned=schedule.only_planned,
        retry_bounds=RetryBounds.from_size(size),
    )
    began_at_s = time.monotonic()
    async with World(folder, rng, size) as world:
        world.bootstrap = schedule.bootstrap
        await world.begin()
        await _disturb(world, seen, schedule, rng)
        await _observe(world, seen)
    result = Result(
        schedule.seed,
        size,
        [asdict(entry) for entry in schedule.entries],
        broken_promises(seen),
        _count_statuses(seen),
        round(time.monotonic() - began_at_s, 1),
        {
            window.service: [window.repeats, round(window.allowed, 1)]
            for window in worst_windows(seen)
        },
        schedule.bootstrap,
    )
    result.save(folder)
    _save(seen, folder)
    return result


async def _disturb(
    world: World, seen: Observations, schedule: Schedule, rng: random.Random
) -> None:
    """Play the disturbances under load, and ask all nodes at the end."""
    callers = Callers(world, rng)
    load = asyncio.create_task(callers.run())
    await asyncio.gather(
        *(_start(entry, world, seen) for entry in schedule.entries)
    )
    await world.settle()
    await asyncio.sleep(_CALM_S)
    callers.stopped.set()
    await load
    seen.tries = callers.tries
    seen.stalls = callers.stalls
    # The allowance for retries is used up by what came before.
    await _restore_servers(world)
    seen.last_tries = await callers.ask_all_nodes(_LAST_TRIES)


async def _start(entry: Entry, world: World, seen: Observations) -> None:
    await asyncio.sleep(entry.at_s)
    rng = random.Random(entry.seed)  # noqa: S311
    scene = Scene(world, seen, rng)
    if scene.running():
        await all_disturbances()[entry.name].disturb(scene)


async def _restore_servers(world: World) -> None:
    """End the faults that are left, and the effects of all changes."""
    await world.change_configuration(routes=CONFIGURATION['routes'], limits={})
    for name in world.servers:
        await world.set_faults(name, **Faults().model_dump())
    await world.set_faults('store', lose_answers=0)
    await asyncio.sleep(_REPORTING_S)


async def _observe(world: World, seen: Observations) -> None:
    """Ask the servers and the platform what they have seen."""
    await asyncio.sleep(_REPORTING_S)
    seen.ended_by_themselves = world.ended_by_themselves
    seen.stopped_at_s = dict(world.stopped_at_s)
    seen.duty_calls = await world.duty_calls()
    for server in world.servers:
        version = world.version_of(server)
        seen.runs += [
            Run(server, version, run['id'], run['began_at_s'], run['headers'])
            for run in await world.runs(server)
        ]
        seen.arrivals += [
            Arrival(
                server,
                world.service_of(server),
                each['id'],
                each['at_s'],
                each['ran'],
                each['port'],
                bool(each['kv_from']),
            )
            for each in await world.arrivals(server)
        ]


def _count_statuses(seen: Observations) -> dict[str, dict[str, int]]:
    counts: dict[str, Counter[str]] = {}
    for attempt in seen.tries:
        counts.setdefault(attempt.kind, Counter())[str(attempt.status)] += 1
    return {kind: dict(count) for kind, count in counts.items()}


def _save(seen: Observations, folder: Path) -> None:
    """Write what callers sent and what servers received."""
    for name, records in (
        ('tries', [*seen.tries, *seen.last_tries]),
        ('arrivals', seen.arrivals),
    ):
        with (folder / f'{name}.jsonl').open('w') as output:
            output.writelines(
                f'{json.dumps(asdict(record))}\n' for record in records
            )
