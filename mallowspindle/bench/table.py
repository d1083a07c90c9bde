"""Printing of measured values as a table."""

import sys


def print_header() -> None:
    """Print the names of the columns."""
    sys.stdout.write(f'{"what":<44}{"size":>10}{"value":>14} unit\n')


def print_row(name: str, size: object, value: float, unit: str) -> None:
    """Print one measured value."""
    sys.stdout.write(f'{name:<44}{size!s:>10}{value:>14.2f} {unit}\n')
    sys.stdout.flush()
