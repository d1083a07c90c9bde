"""``mallowspindle ledger``: costs by partner, and their explanation."""

from dataclasses import asdict
from typing import Any

from mallowspindle.commands.client import open_log
from mallowspindle.commands.errors import CommandError, ExitCode
from mallowspindle.commands.output import Output, print_document, print_rows
from mallowspindle.config.operator import OperatorSection
from mallowspindle.ledger.errors import LedgerError
from mallowspindle.ledger.report import LedgerReport, read_report

_COLUMNS = (
    'entry_id',
    'kind',
    'organisation',
    'subject',
    'vm_id',
    'version',
    'tokens',
    'cached_tokens',
    'amount_micro',
    'parts',
)


async def report(operator: OperatorSection, output: Output) -> None:
    """Print the sums by partner, in millionths of the currency."""
    folded = await _read(operator)
    document: dict[str, Any] = {
        'entries': len(folded.entries),
        'total_micro': folded.total_micro(),
        'recomputed_tokens': folded.recomputed_tokens(),
    }
    if output == Output.JSON:
        document['by_partner'] = folded.by_partner()
    else:
        document.update(
            {
                f'partner {name}': amount
                for name, amount in sorted(folded.by_partner().items())
            }
        )
    print_document(document, output)


async def explain(
    operator: OperatorSection, identifier: str, output: Output
) -> None:
    """Print the entries of a request, an attempt or an entry id."""
    folded = await _read(operator)
    entries = folded.explain(identifier)
    if not entries:
        raise CommandError(ExitCode.REFUSED, f'no entry for {identifier}')
    print_rows([asdict(entry) for entry in entries], _COLUMNS, output)


async def _read(operator: OperatorSection) -> LedgerReport:
    async with open_log(operator) as log_client:
        try:
            return await read_report(log_client, operator.effects_streams)
        except LedgerError as error:
            raise CommandError(ExitCode.UNREACHABLE, str(error)) from error
