"""Follows one keyed stream by own reads and by what peers tell."""

import logging
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from mallowspindle.log.errors import RecordsExpired
from mallowspindle.log.interface import Log
from mallowspindle.log.records import KeyedRecord, KeyedState, LogRecord
from mallowspindle.peers.codec import peer_codec

log = logging.getLogger(__name__)

# Tells whether a record that replaces another is news to peers.
Fold = Callable[[KeyedRecord], bool]
DecodeKeyed = Callable[[LogRecord], KeyedRecord]


@peer_codec.register('stream-news')
@dataclass(frozen=True, slots=True)
class StreamNews:
    """Records of a stream that a peer has read.

    They are all the news between the offsets ``base`` and ``through``, as
    the stream was ``age_s`` before the message was sent. Without a base they
    are all keys of the stream.
    """

    stream: str
    base: int | None
    through: int
    age_s: float
    records: list[KeyedRecord] = field(default_factory=list)


@peer_codec.register('stream-request')
@dataclass(frozen=True, slots=True)
class StreamRequest:
    """Asks a peer for all that it knows of a stream."""

    stream: str


class StreamFollower:
    """The newest record of each key, and how fresh this knowledge is."""

    def __init__(
        self, stream: str, source: Log, decode: DecodeKeyed, fold: Fold
    ) -> None:
        self._stream = stream
        self._log = source
        self._decode = decode
        self._fold = fold
        self._records: dict[str, KeyedRecord] = {}
        self._through: int | None = None
        self._fresh_at_s = 0.0
        self._gap = True

    @property
    def stream(self) -> str:
        """The name of the stream."""
        return self._stream

    @property
    def through(self) -> int | None:
        """The offset up to which all records are known; None at first."""
        return self._through

    @property
    def age_s(self) -> float:
        """Seconds since the state was that of the store."""
        return time.monotonic() - self._fresh_at_s

    @property
    def has_gap(self) -> bool:
        """Whether records are missing, so that only a read can help."""
        return self._gap

    async def read(self) -> StreamNews:
        """Read what is new and return it for the peers."""
        asked_at_s = time.monotonic()
        base = self._through
        try:
            news = await self._read_on()
        except RecordsExpired as error:
            log.info('history is gone, reading all keys', extra=_told(error))
            base = None
            news = self._replace(await self._log.newest(self._stream))
        self._gap = False
        self._fresh_at_s = asked_at_s
        through = self._through or 0
        age_s = time.monotonic() - asked_at_s
        return StreamNews(self._stream, base, through, age_s, news)

    def learn(self, news: StreamNews) -> None:
        """Take over what a peer has read."""
        if news.base is None:
            if self._through is None or news.through > self._through:
                self._replace(KeyedState(news.records, news.through))
                self._gap = False
        elif self._through is None or news.base > self._through:
            self._gap = True
            return
        self._apply(news.records)
        if self._through is None or news.through < self._through:
            return
        self._through = news.through
        heard_at_s = time.monotonic() - news.age_s
        self._fresh_at_s = max(self._fresh_at_s, heard_at_s)

    def state(self) -> StreamNews | None:
        """Return all that is known, for a peer that can't read the store."""
        if self._through is None:
            return None
        records = list(self._records.values())
        return StreamNews(
            self._stream, None, self._through, self.age_s, records
        )

    async def _read_on(self) -> list[KeyedRecord]:
        if self._through is None:
            return self._replace(await self._log.newest(self._stream))
        page = await self._log.read(self._stream, self._through)
        if page.end_offset < self._through:
            raise RecordsExpired(self._stream, page.end_offset)
        news = self._apply([self._decode(record) for record in page.records])
        self._through = page.next_offset
        while page.records and page.next_offset < page.end_offset:
            page = await self._log.read(self._stream, page.next_offset)
            news += self._apply(
                [self._decode(record) for record in page.records]
            )
            self._through = page.next_offset
        return news

    def _replace(self, state: KeyedState) -> list[KeyedRecord]:
        present = {record.key for record in state.records}
        gone = [
            KeyedRecord(record.key, None, state.end_offset)
            for record in self._records.values()
            if record.key not in present
            and record.value is not None
            and record.offset < state.end_offset
        ]
        self._apply([*state.records, *gone])
        if self._through is None or state.end_offset > self._through:
            self._through = state.end_offset
        return [
            record
            for record in self._records.values()
            if record.value is not None
        ]

    def _apply(self, records: Sequence[KeyedRecord]) -> list[KeyedRecord]:
        return [record for record in records if self._take(record)]

    def _take(self, record: KeyedRecord) -> bool:
        known = self._records.get(record.key)
        if known is not None and known.offset >= record.offset:
            return False
        self._records[record.key] = record
        return self._fold(record)


def _told(error: Exception) -> dict[str, str]:
    return {'error': str(error)}
