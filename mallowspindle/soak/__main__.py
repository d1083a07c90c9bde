"""``mallowspindle-soak``: plays schedules of disturbances by their seeds."""

import asyncio
import signal
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from mallowspindle.soak.disturbances.library import all_disturbances
from mallowspindle.soak.paths import MAX_NODES
from mallowspindle.soak.playing import DEFAULT_SIZE, Result, play
from mallowspindle.soak.schedules import Schedule

_BROKEN = 1
_BAD_INPUT = 2

Size = Annotated[int, cappa.Arg(long=True, help='The number of nodes.')]
Folder = Annotated[
    Path | None,
    cappa.Arg(long=True, help='Where logs and results go; kept if given.'),
]


@cappa.command(name='run', help='Play seeds, several at a time.')
@dataclass
class RunSeeds:
    """Arguments of ``run``."""

    seeds: Annotated[int, cappa.Arg(long=True, help='How many seeds.')] = 10
    first: Annotated[int, cappa.Arg(long=True, help='The first seed.')] = 1
    jobs: Annotated[int, cappa.Arg(long=True, help='Runs at a time.')] = 2
    nodes: Size = DEFAULT_SIZE
    folder: Folder = None

    def __call__(self) -> None:
        """Play the seeds and print a line for each."""
        if min(self.seeds, self.jobs) < 1:
            _fail('seeds and jobs are at least 1')
        _require_size(self.nodes)
        folder = _folder_of(self.folder)
        results = asyncio.run(self._play_all(folder))
        broken = [result for result in results if result.broken]
        rules = Counter(
            finding.partition(':')[0]
            for result in broken
            for finding in result.broken
        )
        sys.stdout.write(
            f'{len(results)} seeds, {len(broken)} broke a promise: '
            f'{dict(rules)}; logs are in {folder}\n'
        )
        sys.exit(_BROKEN if broken else 0)

    async def _play_all(self, folder: Path) -> list[Result]:
        limit = asyncio.Semaphore(self.jobs)

        async def play_one(seed: int) -> Result:
            async with limit:
                result = await play(
                    Schedule.from_seed(seed), folder / str(seed), self.nodes
                )
                _print(result)
                return result

        numbers = range(self.first, self.first + self.seeds)
        return await asyncio.gather(*map(play_one, numbers))


@cappa.command(name='replay', help='Play the schedule of a seed again.')
@dataclass
class Replay:
    """Arguments of ``replay``."""

    seed: Annotated[int, cappa.Arg(help='The seed.')]
    nodes: Size = DEFAULT_SIZE
    folder: Folder = None

    def __call__(self) -> None:
        """Play the seed and print what it broke."""
        _require_size(self.nodes)
        folder = _folder_of(self.folder)
        schedule = Schedule.from_seed(self.seed)
        result = asyncio.run(play(schedule, folder, self.nodes))
        _print(result)
        sys.stdout.write(f'logs are in {folder}\n')
        sys.exit(_BROKEN if result.broken else 0)


@cappa.command(name='shrink', help='Drop disturbances while a rule breaks.')
@dataclass
class Shrink:
    """Arguments of ``shrink``."""

    seed: Annotated[int, cappa.Arg(help='The seed.')]
    rule: Annotated[str, cappa.Arg(help='The rule that breaks, as printed.')]
    nodes: Size = DEFAULT_SIZE
    tries: Annotated[
        int, cappa.Arg(long=True, help='Plays of a shorter schedule.')
    ] = 2
    folder: Folder = None

    def __call__(self) -> None:
        """Print the shortest schedule that still breaks the rule."""
        _require_size(self.nodes)
        folder = _folder_of(self.folder)
        schedule = asyncio.run(self._shrink(folder))
        sys.stdout.write(f'{schedule}\n')
        for line in lines_about(folder, self.rule):
            sys.stdout.write(f'{line}\n')

    async def _shrink(self, folder: Path) -> Schedule:
        schedule = Schedule.from_seed(self.seed)
        if not await self._breaks(schedule, folder / 'whole'):
            _fail(f'seed {self.seed} does not break {self.rule} now')
        position = 0
        while position < len(schedule.entries):
            shorter = schedule.without(position)
            name = f'{len(schedule.entries)}-{position}'
            if shorter.entries and await self._breaks(shorter, folder / name):
                schedule = shorter
            else:
                position += 1
        return schedule

    async def _breaks(self, schedule: Schedule, folder: Path) -> bool:
        for number in range(self.tries):
            result = await play(schedule, folder / str(number), self.nodes)
            _print(result)
            if any(text.startswith(self.rule) for text in result.broken):
                return True
        return False


@cappa.command(name='report', help='Print and plot the result of a run.')
@dataclass
class Report:
    """Arguments of ``report``."""

    folder: Annotated[Path, cappa.Arg(help="The run's folder.")]
    output: Annotated[
        Path | None, cappa.Arg(long=True, help='An image file to write.')
    ] = None

    def __call__(self) -> None:
        """Print the result; write a plot if asked to."""
        try:
            result = Result.load(self.folder)
        except (OSError, ValueError, TypeError) as error:
            _fail(f'no result of a run in {self.folder}: {error}')
        _print(result)
        for kind, statuses in result.statuses.items():
            sys.stdout.write(f'  {kind:10} {statuses}\n')
        if self.output is not None:
            # Imported only if it is used: it belongs to the optional tools.
            from mallowspindle.soak.plots import plot  # noqa: PLC0415

            plot(self.folder, result, self.output)


@cappa.command(name='list', help='List the disturbances.')
@dataclass
class ListNames:
    """Arguments of ``list``."""

    def __call__(self) -> None:
        """Print the names."""
        sys.stdout.write(
            ''.join(f'{name}\n' for name in sorted(all_disturbances()))
        )


@cappa.command(name='mallowspindle-soak', help=__doc__)
@dataclass
class Soak:
    """The command with its subcommands."""

    subcommand: cappa.Subcommands[
        RunSeeds | Replay | Shrink | Report | ListNames
    ]


def lines_about(folder: Path, rule: str) -> list[str]:
    """Return the log lines of the last run about the first broken request."""
    results = sorted(
        folder.rglob('result.json'), key=lambda path: path.stat().st_mtime
    )
    for path in reversed(results):
        broken = Result.load(path.parent).broken
        found = [text for text in broken if text.startswith(rule)]
        if found:
            request_id = found[0].split()[1]
            return [
                line
                for log in sorted(path.parent.glob('*.log'))
                for line in log.read_text(errors='replace').splitlines()
                if f'"{request_id}"' in line
            ]
    return []


def _print(result: Result) -> None:
    verdict = '; '.join(result.broken[:3]) or 'held'
    repeats = ', '.join(
        f'{service} {found:.0f} of {allowed:.0f}'
        for service, (found, allowed) in result.repeats.items()
    )
    sys.stdout.write(
        f'seed {result.seed}, {result.size} nodes, {result.duration_s} s: '
        f'{result.schedule}: {verdict} (repeats: {repeats or "none"})\n'
    )
    sys.stdout.flush()


def _folder_of(folder: Path | None) -> Path:
    return folder or Path(tempfile.mkdtemp(prefix='soak-'))


def _require_size(nodes: int) -> None:
    if not 1 <= nodes <= MAX_NODES:
        _fail(f'expected 1 to {MAX_NODES} nodes, found {nodes}')


def _fail(reason: str) -> None:
    sys.stderr.write(f'{reason}\n')
    sys.exit(_BAD_INPUT)


def main(arguments: list[str] | None = None) -> None:
    """Run ``mallowspindle-soak``."""
    # As for Ctrl-C, all processes are ended.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    cappa.invoke(Soak, argv=arguments)


if __name__ == '__main__':
    main()
