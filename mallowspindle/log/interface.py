"""Interface of the log that services use."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from mallowspindle.log.records import KeyedState, LogPage


class Log(ABC):
    """Append-only streams of records, and keyed streams.

    Offsets in a stream are consecutive. A keyed stream can also be read as
    the newest record of each key. A log that comes back from an older copy has
    lost its newest records; its offsets then continue behind all former ones
    (see ``mallowspindle.log.positions``), and earlier offsets have expired.
    """

    @abstractmethod
    async def append(
        self,
        stream: str,
        payloads: Sequence[bytes],
        expected_end: int | None = None,
    ) -> int:
        """Append records and return the offset of the first.

        If ``expected_end`` is given and the stream ends elsewhere, nothing is
        appended and ``AppendConflict`` holds the actual end.
        ``AppendRefused`` means that nothing was appended. ``AppendUncertain``
        means that the records may have been appended, or may be later.
        """

    @abstractmethod
    async def read(
        self, stream: str, offset: int, wait_s: float = 0
    ) -> LogPage:
        """Read from ``offset``; wait up to ``wait_s`` if there is no record.

        Raise ``RecordsExpired`` if the log no longer keeps ``offset``.
        """

    @abstractmethod
    async def read_latest(self, stream: str) -> KeyedState:
        """Return the newest record of each key of a keyed stream."""
