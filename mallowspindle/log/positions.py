"""Positions in a stream, which also order records across eras of the log.

A log that comes back from an older copy begins a new era: it has lost its
newest records, and gives their offsets to others. A position is a whole number
that consists of the era and of the offset, so that each record of a later era
is behind all records of earlier ones.
"""

_OFFSET_BITS = 40
_MAX_OFFSET = (1 << _OFFSET_BITS) - 1


def position_of(era: int, offset: int) -> int:
    """Return the position of an offset in an era."""
    return (era << _OFFSET_BITS) + offset


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position >> _OFFSET_BITS


def offset_of(position: int) -> int:
    """Return the offset of a position in its era."""
    return position & _MAX_OFFSET
