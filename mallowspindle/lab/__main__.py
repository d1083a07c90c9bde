"""``mallowspindle-lab``: replays load patterns against the policies."""

import sys
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from itertools import product
from pathlib import Path
from statistics import fmean
from typing import Annotated

import cappa

from mallowspindle.lab.replay import replay
from mallowspindle.lab.scenario import patterns
from mallowspindle.policies.placement import policies

_HEAD = (
    'pattern          policy         worth  whole  windows  kind   price'
    '   read Mtok  refused  lost'
)
_MEGA = 1_000_000


@cappa.command(name='list', help='List the load patterns and policies.')
@dataclass
class ListNames:
    """Arguments of ``list``."""

    def __call__(self) -> None:
        """Print the names."""
        sys.stdout.write(f'patterns: {" ".join(sorted(patterns))}\n')
        sys.stdout.write(f'policies: {" ".join(sorted(policies))}\n')


@cappa.command(name='compare', help='Replay patterns with each policy.')
@dataclass
class Compare:
    """Arguments of ``compare``; an empty list selects all names."""

    pattern: Annotated[
        list[str], cappa.Arg(long=True, help='A load pattern.')
    ] = ()  # type: ignore[assignment]
    policy: Annotated[
        list[str], cappa.Arg(long=True, help='A placement policy.')
    ] = ()  # type: ignore[assignment]
    seeds: Annotated[int, cappa.Arg(long=True, help='Seeds to replay.')] = 3

    def __call__(self) -> None:
        """Print a row of means over the seeds for each pattern and policy."""
        _require_known('pattern', self.pattern, patterns)
        _require_known('policy', self.policy, policies)
        sys.stdout.write(f'{_HEAD}\n')
        names = product(
            self.pattern or sorted(patterns), self.policy or sorted(policies)
        )
        for pattern, policy in names:
            sys.stdout.write(_row(pattern, policy, self.seeds))
            sys.stdout.flush()


@cappa.command(name='plot', help='Plot one replay over the day.')
@dataclass
class Plot:
    """Arguments of ``plot``."""

    pattern: Annotated[str, cappa.Arg(long=True, help='The load pattern.')]
    output: Annotated[Path, cappa.Arg(long=True, help='The image file.')]
    policy: Annotated[
        str, cappa.Arg(long=True, help='The placement policy.')
    ] = 'predicted'
    seed: Annotated[int, cappa.Arg(long=True, help='The seed.')] = 1

    def __call__(self) -> None:
        """Write the plot to the image file."""
        # Imported here because importing matplotlib takes half a second.
        from mallowspindle.lab.plots import plot_replay  # noqa: PLC0415

        _require_known('pattern', [self.pattern], patterns)
        _require_known('policy', [self.policy], policies)
        result = replay(patterns[self.pattern](), self.policy, self.seed)
        plot_replay(result, f'{self.pattern}, {self.policy}', self.output)


@cappa.command(name='mallowspindle-lab', help='Replay load patterns.')
@dataclass
class Lab:
    """Arguments of ``mallowspindle-lab``."""

    command: cappa.Subcommands[ListNames | Compare | Plot]


def main() -> None:
    """Run ``mallowspindle-lab``."""
    cappa.invoke(Lab)


def _row(pattern: str, policy: str, seeds: int) -> str:
    rows = [
        replay(patterns[pattern](), policy, seed).summary
        for seed in range(1, seeds + 1)
    ]
    return (
        f'{pattern:16} {policy:14}'
        f'{fmean(row.score for row in rows):6.3f}'
        f'{fmean(row.earned_share for row in rows):7.3f}'
        f'{fmean(row.worst_windows_share for row in rows):9.3f}'
        f'{fmean(row.worst_profile_share for row in rows):6.3f}'
        f'{fmean(row.cost for row in rows):8.1f}'
        f'{fmean(row.prefilled_tokens for row in rows) / _MEGA:12.2f}'
        f'{fmean(row.refused for row in rows):9.1f}'
        f'{fmean(row.lost for row in rows):6.1f}\n'
    )


def _require_known(
    option: str, names: Sequence[str], known: Collection[str]
) -> None:
    unknown = sorted(set(names) - set(known))
    if unknown:
        raise cappa.Exit(
            f'unknown {option} {", ".join(unknown)}; '
            f'known are {", ".join(sorted(known))}',
            code=2,
        )


if __name__ == '__main__':
    main()
