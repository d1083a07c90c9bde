"""The interface of the log that services build on."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from mallowspindle.log.records import KeyedState, LogPage


class Log(ABC):
    """Streams of records with dense offsets, and streams kept by key."""

    @abstractmethod
    async def append(
        self,
        stream: str,
        payloads: Sequence[bytes],
        expected_end: int | None = None,
    ) -> int:
        """Append records and return the offset of the first.

        With ``expected_end`` the stream must end there, else nothing is
        appended and ``AppendConflict`` tells where it ends.
        ``AppendRefused`` means that nothing was appended,
        ``AppendUncertain`` that the records may be there or land later.
        """

    @abstractmethod
    async def read(
        self, stream: str, offset: int, wait_s: float = 0
    ) -> LogPage:
        """Read from ``offset`` on, waiting up to ``wait_s`` for a record.

        ``RecordsExpired`` if the log no longer keeps ``offset``.
        """

    @abstractmethod
    async def read_latest(self, stream: str) -> KeyedState:
        """Return the newest record of each key of a keyed stream."""
