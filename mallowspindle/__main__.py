"""``mallowspindle``: declarations of the operators' commands."""

import asyncio
import sys
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa

from mallowspindle.commands import (
    effects as effects_commands,
)
from mallowspindle.commands import (
    ledger as ledger_commands,
)
from mallowspindle.commands import (
    nodes as node_commands,
)
from mallowspindle.commands import (
    requests as request_commands,
)
from mallowspindle.commands import (
    settings as settings_commands,
)
from mallowspindle.commands.client import load_operator
from mallowspindle.commands.errors import CommandError
from mallowspindle.commands.output import Output
from mallowspindle.commands.platform import Quarantine, Rollouts
from mallowspindle.config.operator import OperatorSection

DEFAULT_SETTINGS = Path('mallowspindle.ini')


@dataclass
class CommonOptions:
    """Options that every command has."""

    settings: Annotated[
        Path, cappa.Arg(long=True, help='The operator INI file.')
    ] = DEFAULT_SETTINGS
    output: Annotated[Output, cappa.Arg(long=True, help='table or json')] = (
        Output.TABLE
    )

    @property
    def operator(self) -> OperatorSection:
        """The operator's settings."""
        return load_operator(self.settings)


@cappa.command(name='show', help='Print the documents in force.')
@dataclass
class SettingsShow(CommonOptions):
    """``settings show [--path PATH]``."""

    path: Annotated[str, cappa.Arg(long=True, help='Path in the tree.')] = ''

    def __call__(self) -> None:
        """Run the command."""
        run(settings_commands.show(self.operator, self.path, self.output))


@cappa.command(name='set', help='Publish the document of one path.')
@dataclass
class SettingsSet(CommonOptions):
    """``settings set --path PATH [--document FILE] [--base VERSION]``."""

    path: Annotated[str, cappa.Arg(long=True, required=True)] = ''
    document: Annotated[Path, cappa.Arg(long=True, help='INI file, or -')] = (
        Path('-')
    )
    base: Annotated[
        int | None, cappa.Arg(long=True, help='Version it is based on.')
    ] = None

    def __call__(self) -> None:
        """Run the command."""
        run(
            settings_commands.change(
                self.operator, self.path, self.document, self.base, self.output
            )
        )


@cappa.command(name='history', help='Print the changes of a path.')
@dataclass
class SettingsHistory(CommonOptions):
    """``settings history [--path PATH]``."""

    path: Annotated[str, cappa.Arg(long=True)] = ''

    def __call__(self) -> None:
        """Run the command."""
        run(settings_commands.history(self.operator, self.path, self.output))


@cappa.command(name='check', help='Check a document without publishing it.')
@dataclass
class SettingsCheck(CommonOptions):
    """``settings check [--document FILE]``."""

    document: Annotated[Path, cappa.Arg(long=True)] = Path('-')

    def __call__(self) -> None:
        """Run the command."""
        run(settings_commands.check(self.document, self.output))


@cappa.command(name='settings', help="The venture's settings tree.")
@dataclass
class Settings:
    """``settings``."""

    command: cappa.Subcommands[
        SettingsShow | SettingsSet | SettingsHistory | SettingsCheck
    ]


@cappa.command(name='nodes', help='The entry VMs that a node knows.')
@dataclass
class Nodes(CommonOptions):
    """``nodes``."""

    def __call__(self) -> None:
        """Run the command."""
        run(node_commands.nodes(self.operator, self.output))


@cappa.command(name='servers', help='The backend servers that a node knows.')
@dataclass
class Servers(CommonOptions):
    """``servers``."""

    def __call__(self) -> None:
        """Run the command."""
        run(node_commands.servers(self.operator, self.output))


@cappa.command(name='show', help='What the nodes know of a request.')
@dataclass
class RequestsShow(CommonOptions):
    """``requests show ID``."""

    request_id: Annotated[str, cappa.Arg(required=True)] = ''

    def __call__(self) -> None:
        """Run the command."""
        run(request_commands.show(self.operator, self.request_id, self.output))


@cappa.command(name='requests', help='Accepted requests.')
@dataclass
class Requests:
    """``requests``."""

    command: cappa.Subcommands[RequestsShow]


@cappa.command(name='drain', help='Shut the node down gracefully.')
@dataclass
class Drain(CommonOptions):
    """``drain``."""

    def __call__(self) -> None:
        """Run the command."""
        run(request_commands.drain(self.operator, self.output))


@cappa.command(name='list', help='Calls with an unknown outcome.')
@dataclass
class EffectsList(CommonOptions):
    """``effects list``."""

    unresolved: Annotated[bool, cappa.Arg(long=True)] = True

    def __call__(self) -> None:
        """Run the command."""
        run(effects_commands.list_unresolved(self.operator, self.output))


@cappa.command(name='resolve', help='Record whether a call ran.')
@dataclass
class EffectsResolve(CommonOptions):
    """``effects resolve``."""

    organisation: Annotated[str, cappa.Arg(long=True, required=True)] = ''
    service: Annotated[str, cappa.Arg(long=True, required=True)] = ''
    key: Annotated[str, cappa.Arg(long=True, required=True)] = ''
    claim_id: Annotated[str, cappa.Arg(long=True, required=True)] = ''
    evidence: Annotated[str, cappa.Arg(long=True, required=True)] = ''
    ran: Annotated[bool, cappa.Arg(long='--ran/--did-not-run')] = True

    def __call__(self) -> None:
        """Run the command."""
        call = {
            'organisation': self.organisation,
            'service': self.service,
            'key': self.key,
            'claim_id': self.claim_id,
        }
        run(
            effects_commands.resolve(
                self.operator,
                call,
                ran=self.ran,
                evidence=self.evidence,
                output=self.output,
            )
        )


@cappa.command(name='effects', help='Non-idempotent calls.')
@dataclass
class Effects:
    """``effects``."""

    command: cappa.Subcommands[EffectsList | EffectsResolve]


@cappa.command(name='report', help='Costs by partner.')
@dataclass
class LedgerReport(CommonOptions):
    """``ledger report``."""

    def __call__(self) -> None:
        """Run the command."""
        run(ledger_commands.report(self.operator, self.output))


@cappa.command(name='explain', help='The entries behind a cost.')
@dataclass
class LedgerExplain(CommonOptions):
    """``ledger explain ID``."""

    identifier: Annotated[str, cappa.Arg(required=True)] = ''

    def __call__(self) -> None:
        """Run the command."""
        run(
            ledger_commands.explain(self.operator, self.identifier, self.output)
        )


@cappa.command(name='ledger', help='Costs and their split.')
@dataclass
class Ledger:
    """``ledger``."""

    command: cappa.Subcommands[LedgerReport | LedgerExplain]


@cappa.command(name='mallowspindle', help='Operate a mallowspindle venture.')
@dataclass
class Mallowspindle:
    """The root command."""

    command: cappa.Subcommands[
        Settings
        | Nodes
        | Servers
        | Requests
        | Drain
        | Effects
        | Ledger
        | Quarantine
        | Rollouts
    ]


def run(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run the coroutine of a command to its end."""
    asyncio.run(coroutine)


def main() -> None:
    """Run ``mallowspindle``; errors end it with their exit code."""
    try:
        cappa.invoke(Mallowspindle)
    except CommandError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(error.exit_code)


if __name__ == '__main__':
    main()
