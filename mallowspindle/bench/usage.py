"""Processor time and memory of a process, from ``/proc``."""

import os
from dataclasses import dataclass
from pathlib import Path

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_UTIME, _STIME, _RSS = 11, 12, 21


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor seconds since the process started, and resident bytes."""

    cpu_s: float
    resident_bytes: int


def read_usage(pid: int) -> Usage:
    """Return the current usage of a running process."""
    text = Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = text.rsplit(')', 1)[1].split()
    ticks = int(fields[_UTIME]) + int(fields[_STIME])
    return Usage(ticks / _TICKS_PER_S, int(fields[_RSS]) * _PAGE_BYTES)
