"""The daemon's command line."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa


@cappa.command(name='mallowspindled', help='Run the daemon of an entry VM.')
@dataclass
class Daemon:
    """Arguments of the daemon."""

    settings: Annotated[Path, cappa.Arg(long=True, help='The INI file.')]
    check_settings: Annotated[
        bool, cappa.Arg(long=True, help='Check the file and stop.')
    ] = False


def parse_arguments() -> Daemon:
    """Return the arguments; exit the process if they are invalid."""
    return cappa.parse(Daemon)
