"""``mallowspindle rollouts``: software versions that are rolled out."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from mallowspindle.commands.daemons import call_daemon
from mallowspindle.commands.errors import CommandError, ExitCode
from mallowspindle.commands.output import Output, print_rows
from mallowspindle.rollouts.records import (
    ReportQuery,
    RolloutReport,
    RolloutReports,
    VersionReport,
)

_COLUMNS = (
    'service',
    'to',
    'phase',
    'share',
    'stream_share',
    'sent',
    'reason',
)


async def show(settings: Path, node: str, output: Output) -> None:
    """Print the rollouts that a node knows, with the counts of all nodes."""
    answer = await call_daemon(settings, node, ReportQuery())
    if not isinstance(answer, RolloutReports):
        raise CommandError(ExitCode.REFUSED, 'the node sent another answer')
    print_rows(list(map(_row, answer.rollouts)), _COLUMNS, output)


def _row(report: RolloutReport) -> dict[str, Any]:
    state = report.state
    return {
        'service': state.service,
        'to': state.target,
        'phase': str(state.phase),
        'share': round(report.share, 3),
        'stream_share': round(report.stream_share, 3),
        'sent': ' '.join(
            f'{version or "-"}:{counts.sent}'
            for version, counts in sorted(report.versions.items())
        ),
        'reason': state.reason or report.finding,
        'barred': state.barred,
        'versions': _counts(report.versions),
    }


def _counts(versions: Mapping[str, VersionReport]) -> dict[str, Any]:
    """Return responses and failures by version and measure."""
    return {
        version: {
            measure: {'responses': responses, 'failed': failed}
            for measure, (responses, failed) in sorted(counts.measures.items())
        }
        for version, counts in versions.items()
    }
