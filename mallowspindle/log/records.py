"""What is read from the log."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream: its offset and its bytes."""

    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records read from a stream.

    ``next_offset`` is where to read on; ``end_offset`` is where the stream
    ended at the time of the answer.
    """

    next_offset: int
    end_offset: int
    records: list[LogRecord]


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The newest record of a key; no value means that the key was dropped."""

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True, slots=True)
class KeyedState:
    """The newest record of each key, complete up to ``end_offset``."""

    records: list[KeyedRecord]
    end_offset: int
