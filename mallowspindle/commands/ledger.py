"""``mallowspindle ledger``: costs by partner, and the entries behind them."""

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
    """Print the costs by partner, in millionths of the currency."""
    ledger_report = await _read_ledger(operator)
    document: dict[str, Any] = {
        'entries': len(ledger_report.entries),
        'total_micro': ledger_report.total_micro(),
        'recomputed_tokens': ledger_report.recomputed_tokens(),
    }
    if output == Output.JSON:
        document['by_partner'] = ledger_report.by_partner()
    else:
        document.update(
            {
                f'partner {name}': amount
                for name, amount in sorted(ledger_report.by_partner().items())
            }
        )
    print_document(document, output)


async def explain(
    operator: OperatorSection, identifier: str, output: Output
) -> None:
    """Print the entries of a request, an attempt or an entry id."""
    ledger_report = await _read_ledger(operator)
    entries = ledger_report.explain(identifier)
    if not entries:
        raise CommandError(ExitCode.REFUSED, f'no entry for {identifier}')
    print_rows([asdict(entry) for entry in entries], _COLUMNS, output)


async def _read_ledger(operator: OperatorSection) -> LedgerReport:
    async with open_log(operator) as log_client:
        try:
            return await read_report(log_client, operator.effects_streams)
        except LedgerError as error:
            raise CommandError(ExitCode.UNREACHABLE, str(error)) from error
