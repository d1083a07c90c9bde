"""``mallowspindle quarantine``: what is refused since it crashes servers."""

from datetime import UTC, datetime
from pathlib import Path

from mallowspindle.commands.daemons import call_daemon
from mallowspindle.commands.errors import CommandError, ExitCode
from mallowspindle.commands.output import Output, print_rows, write_line
from mallowspindle.quarantine.messages import (
    QuarantineClear,
    QuarantineList,
    QuarantineQuery,
)

_COLUMNS = ('part', 'crashes', 'last_crash', 'request')
_MS = 1000


async def show(settings: Path, node: str, output: Output) -> None:
    """Print the parts of prompts and the requests that a node refuses."""
    answer = await call_daemon(settings, node, QuarantineQuery())
    if not isinstance(answer, QuarantineList):
        raise CommandError(ExitCode.REFUSED, 'the node sent another answer')
    rows = [
        {
            'part': part_id,
            'crashes': len(crashes),
            'last_crash': _utc_text(max(crashes.values())),
            'request': answer.requests.get(part_id, ''),
            'servers': sorted(crashes),
        }
        for part_id, crashes in sorted(answer.parts.items())
    ]
    print_rows(rows, _COLUMNS, output)


async def clear(settings: Path, node: str, part_id: str) -> None:
    """Let all nodes serve a request, or prompts with a part, again."""
    await call_daemon(settings, node, QuarantineClear(part_id))
    write_line(f'{part_id}: cleared')


def _utc_text(time_ms: int) -> str:
    moment = datetime.fromtimestamp(time_ms / _MS, UTC)
    return moment.isoformat(timespec='seconds')
