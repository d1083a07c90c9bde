"""Declarations of commands that call a daemon on the users' platform."""

import asyncio
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from mallowspindle.commands import quarantine, rollouts
from mallowspindle.commands.output import Output

DEFAULT_SETTINGS = Path('mallowspindle.ini')


@dataclass
class DaemonOptions:
    """Options of commands that call a daemon as its peers do."""

    settings: Annotated[
        Path, cappa.Arg(long=True, help='The INI file of a daemon.')
    ] = DEFAULT_SETTINGS
    node: Annotated[
        str, cappa.Arg(long=True, help='HOST:PORT for peers, if another one.')
    ] = ''


@cappa.command(name='list', help='The parts of prompts that are refused.')
@dataclass
class QuarantineShow(DaemonOptions):
    """``quarantine list [--settings FILE] [--node ADDRESS]``."""

    output: Annotated[Output, cappa.Arg(long=True, help='table or json')] = (
        Output.TABLE
    )

    def __call__(self) -> None:
        """Run the command."""
        asyncio.run(quarantine.show(self.settings, self.node, self.output))


@cappa.command(name='clear', help='Serve prompts with a part again.')
@dataclass
class QuarantineReset(DaemonOptions):
    """``quarantine clear PART [--settings FILE] [--node ADDRESS]``."""

    part: Annotated[str, cappa.Arg(required=True)] = ''

    def __call__(self) -> None:
        """Run the command."""
        asyncio.run(quarantine.clear(self.settings, self.node, self.part))


@cappa.command(name='quarantine', help='Requests that crash servers.')
@dataclass
class Quarantine:
    """``quarantine``."""

    command: cappa.Subcommands[QuarantineShow | QuarantineReset]


@cappa.command(name='rollouts', help='Versions that are rolled out.')
@dataclass
class Rollouts(DaemonOptions):
    """``rollouts [--settings FILE] [--node ADDRESS]``."""

    output: Annotated[Output, cappa.Arg(long=True, help='table or json')] = (
        Output.TABLE
    )

    def __call__(self) -> None:
        """Run the command."""
        asyncio.run(rollouts.show(self.settings, self.node, self.output))
