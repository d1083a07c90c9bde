"""``mallowspindle settings``: show, set, history and check."""

import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from mallowspindle.commands.client import open_log, read_settings
from mallowspindle.commands.errors import CommandError, ExitCode
from mallowspindle.commands.output import (
    Output,
    print_document,
    print_rows,
    write_line,
)
from mallowspindle.config.operator import OperatorSection
from mallowspindle.ledger.report import first_offset
from mallowspindle.log.errors import LogError
from mallowspindle.settings.document import parse_document
from mallowspindle.settings.errors import (
    ChangeUncertain,
    DocumentInvalid,
    SettingsError,
)
from mallowspindle.settings.publisher import new_change, publish
from mallowspindle.settings.reader import decode_record
from mallowspindle.settings.records import SETTINGS_STREAM, Change
from mallowspindle.settings.tree import SettingsTree


async def show(operator: OperatorSection, path: str, output: Output) -> None:
    """Print the documents in force at and below a path."""
    async with open_log(operator) as log_client:
        tree = await read_settings(log_client)
    rows = [
        {
            'path': node.path,
            'version': node.version,
            'author': node.author,
            'at': _format_time(node.at_s),
            'document': node.document,
        }
        for node in tree.documents.nodes.values()
        if node.path == path or node.path.startswith(f'{path}/') or not path
    ]
    if output == Output.JSON:
        print_rows(rows, [], output)
        return
    for row in sorted(rows, key=lambda row: str(row['path'])):
        write_line(
            f'# {row["path"]}, version {row["version"]}, '
            f'{row["author"]}, {row["at"]}'
        )
        write_line(str(row['document']))


async def change(
    operator: OperatorSection,
    path: str,
    document: Path,
    base: int | None,
    output: Output,
) -> None:
    """Publish a document; ``base`` defaults to the version in force."""
    text = _read_document(document)
    _ensure_valid(text)
    async with open_log(operator) as log_client:
        tree = await read_settings(log_client)
        version = tree.path_version(path) if base is None else base
        new = new_change(path, text, version, operator.name)
        try:
            change_result = await publish(tree, log_client, new)
        except ChangeUncertain as error:
            raise CommandError(ExitCode.UNCERTAIN, str(error)) from error
        except SettingsError as error:
            raise CommandError(ExitCode.UNREACHABLE, str(error)) from error
    if not change_result.accepted:
        raise CommandError(ExitCode.REFUSED, f'refused: {change_result.reason}')
    print_document(
        {'accepted': True, 'path': path, 'version': change_result.version},
        output,
    )


async def history(operator: OperatorSection, path: str, output: Output) -> None:
    """Print the changes of a path that the log holds, with their results."""
    async with open_log(operator) as log_client:
        try:
            tree = await read_settings(log_client)
            first = await first_offset(log_client, SETTINGS_STREAM)
            page = await log_client.read_to_end(SETTINGS_STREAM, first)
        except LogError as error:
            raise CommandError(ExitCode.UNREACHABLE, str(error)) from error
    decoded = (
        (record.offset, decode_record(record)) for record in page.records
    )
    rows = [
        _history_row(offset, logged, tree)
        for offset, logged in decoded
        if isinstance(logged, Change) and path in {'', logged.path}
    ]
    columns = ('offset', 'path', 'author', 'at', 'base', 'accepted', 'reason')
    print_rows(rows, columns, output)


async def check(document: Path, output: Output) -> None:
    """Check a document without publishing it."""
    _ensure_valid(_read_document(document))
    print_document({'valid': True}, output)


def _history_row(
    offset: int, logged: Change, tree: SettingsTree
) -> dict[str, Any]:
    """Return a row of the history.

    The result is known only if the tree applied the change at ``offset``,
    which it does not if it starts from a later snapshot.
    """
    change_result = tree.change_result(logged.change_id)
    known = change_result is not None and change_result.version == offset
    return {
        'offset': offset,
        'path': logged.path,
        'author': logged.author,
        'at': _format_time(logged.at_s),
        'base': logged.base,
        'accepted': change_result.accepted
        if change_result and known
        else 'not known',
        'reason': change_result.reason if change_result and known else '',
    }


def _read_document(document: Path) -> str:
    if str(document) == '-':
        return sys.stdin.read()
    try:
        return document.read_text(encoding='utf-8')
    except OSError as error:
        raise CommandError(ExitCode.INVALID, str(error)) from error


def _ensure_valid(text: str) -> None:
    try:
        parse_document(text)
    except DocumentInvalid as error:
        raise CommandError(ExitCode.INVALID, str(error)) from error


def _format_time(at_s: float) -> str:
    return datetime.fromtimestamp(at_s, UTC).isoformat(timespec='seconds')
