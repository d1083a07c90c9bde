"""Records and pages that are read from the log."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream with its offset and payload."""

    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records read from a stream.

    ``next_offset`` is the offset to continue reading from; ``end_offset`` is
    the end of the stream at the time of the answer.
    """

    next_offset: int
    end_offset: int
    records: list[LogRecord]


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The newest record of a key; ``value`` is None if the key was removed."""

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True, slots=True)
class KeyedState:
    """The newest record of each key, complete up to ``end_offset``."""

    records: list[KeyedRecord]
    end_offset: int
