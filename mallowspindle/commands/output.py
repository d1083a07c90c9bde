"""Prints rows as a table or as JSON."""

import json
import sys
from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import Any

Row = Mapping[str, Any]


class Output(StrEnum):
    """Format in which results are printed."""

    TABLE = 'table'
    JSON = 'json'


def print_rows(
    rows: Sequence[Row], columns: Sequence[str], output: Output
) -> None:
    """Print rows; a table has only the given columns, JSON all fields."""
    if output == Output.JSON:
        write_line(json.dumps([dict(row) for row in rows], indent=2))
        return
    cells = [[str(row.get(name, '')) for name in columns] for row in rows]
    header = [name.replace('_', ' ') for name in columns]
    widths = [
        max(len(text) for text in column)
        for column in zip(header, *cells, strict=True)
    ]
    for line in (header, *cells):
        padded = zip(line, widths, strict=True)
        write_line(
            '  '.join(text.ljust(width) for text, width in padded).rstrip()
        )


def print_document(document: Row, output: Output) -> None:
    """Print one document with a line for each field, or as JSON."""
    if output == Output.JSON:
        write_line(json.dumps(dict(document), indent=2))
        return
    for name, value in document.items():
        write_line(f'{name.replace("_", " ")}: {value}')


def write_line(text: str) -> None:
    """Write one line to standard output."""
    sys.stdout.write(f'{text}\n')
