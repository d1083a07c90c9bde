"""Follows one keyed stream by own reads and by what peers tell."""

import logging
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from mallowspindle.log.errors import RecordsExpired
from mallowspindle.log.interface import Log
from mallowspindle.log.records import (
    KeyedRecord,
    KeyedState,
    LogPage,
    LogRecord,
)
from mallowspindle.peers.codec import peer_codec

log = logging.getLogger(__name__)

# News of more bytes than this are not passed on: at 5 Mbit/s, the slowest
# link of an entry VM, sending them to some twenty peers takes a quarter of a
# second, while each peer can read them from the log at its own pace.
MOST_TOLD_BYTES = 8_192
# Reading all keys takes their bytes in base64.
_COST_OF_NEWEST = 4 / 3

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


@peer_codec.register('stream-end')
@dataclass(frozen=True, slots=True)
class StreamEnd:
    """Tells how far a stream went ``age_s`` ago, without its records.

    It stands for news that are too large to be passed on.
    """

    stream: str
    through: int
    age_s: float


@peer_codec.register('stream-request')
@dataclass(frozen=True, slots=True)
class StreamRequest:
    """Asks a peer for all that it knows of a stream.

    What ends at the offset ``known`` or before is of no use to the asker.
    """

    stream: str
    known: int | None = None


def message_of(news: StreamNews) -> StreamNews | StreamEnd:
    """Return what peers are told of the news."""
    size = sum(len(record.value or b'') for record in news.records)
    if size <= MOST_TOLD_BYTES:
        return news
    return StreamEnd(news.stream, news.through, news.age_s)


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
        self._heard_at_s = 0.0
        self._gap_at_s = time.monotonic()
        # The offset up to which records are known to exist.
        self._end = 0
        # Peers were told, or have told, all news up to here.
        self._shared: int | None = None
        # The newest record of each key that was news.
        self._news: dict[str, KeyedRecord] = {}

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
        """Whether records are missing that are known to exist."""
        return self._through is None or self._through < self._end

    @property
    def behind_s(self) -> float:
        """Seconds for which records have been missing; 0 without a gap."""
        return time.monotonic() - self._gap_at_s if self.has_gap else 0

    @property
    def silence_s(self) -> float:
        """Seconds since some node read the stream, as far as is known."""
        return time.monotonic() - self._heard_at_s

    async def read(self, *, for_peers: bool = True) -> StreamNews:
        """Read what is new and return the news since those last told.

        What is not read ``for_peers`` is told with the next news that are.
        """
        asked_at_s = time.monotonic()
        base = self._shared
        known_end = self._end
        try:
            await self._read_on()
        except RecordsExpired as error:
            log.info('history is gone, reading all keys', extra=_told(error))
            base = None
            self._replace(await self._log.read_latest(self._stream))
        through = self._through or 0
        if self._end == known_end:
            # A log that was set up anew may end before the former one.
            self._end = through
        self._fresh_at_s = max(self._fresh_at_s, asked_at_s)
        self._heard_at_s = max(self._heard_at_s, asked_at_s)
        if for_peers:
            self._shared = through
        age_s = time.monotonic() - asked_at_s
        news = self._news_since(base)
        return StreamNews(self._stream, base, through, age_s, news)

    def learn(self, news: StreamNews) -> None:
        """Take over what a peer has read."""
        if news.base is None:
            if self._through is None or news.through > self._through:
                self._replace(KeyedState(news.records, news.through))
        elif self._through is None or news.base > self._through:
            self._note_end(news.through, news.age_s)
            if self._through is not None:
                # Each record replaces the one before it, whatever is missing.
                self._apply(news.records)
            return
        self._apply(news.records)
        self._note_known(news.through, news.age_s)

    def learn_end(self, end: StreamEnd) -> None:
        """Note how far the stream goes; only a read brings what is missing."""
        self._note_end(end.through, end.age_s)
        if not self.has_gap:
            self._note_known(end.through, end.age_s)

    def state(self) -> StreamNews | None:
        """Return all that is known, for a peer that can't read the store."""
        if self._through is None:
            return None
        records = list(self._records.values())
        return StreamNews(
            self._stream, None, self._through, self.age_s, records
        )

    def _note_end(self, end: int, age_s: float) -> None:
        self._heard_at_s = max(self._heard_at_s, time.monotonic() - age_s)
        had_gap = self.has_gap
        self._end = max(self._end, end)
        if not had_gap:
            self._gap_at_s = time.monotonic()

    def _note_known(self, through: int, age_s: float) -> None:
        if self._through is None or through < self._through:
            return
        self._through = through
        self._shared = through
        read_at_s = time.monotonic() - age_s
        self._fresh_at_s = max(self._fresh_at_s, read_at_s)
        self._heard_at_s = max(self._heard_at_s, read_at_s)

    def _news_since(self, base: int | None) -> list[KeyedRecord]:
        if base is None:
            return [
                record
                for record in self._records.values()
                if record.value is not None
            ]
        return [
            record for record in self._news.values() if record.offset >= base
        ]

    async def _read_on(self) -> None:
        if self._through is None or self._is_far_behind(self._through):
            self._replace(await self._log.read_latest(self._stream))
            return
        # Peers may tell more while the log's answer is on its way.
        offset = self._through
        page = await self._log.read(self._stream, offset)
        if page.end_offset < offset:
            raise RecordsExpired(self._stream, page.end_offset)
        self._take_page(page)
        while page.records and page.next_offset < page.end_offset:
            page = await self._log.read(self._stream, page.next_offset)
            self._take_page(page)

    def _take_page(self, page: LogPage) -> None:
        self._apply([self._decode(record) for record in page.records])
        self._through = max(self._through or 0, page.next_offset)

    def _is_far_behind(self, through: int) -> bool:
        """Tell whether all missing records are more than all keys."""
        keys = sum(
            record.value is not None for record in self._records.values()
        )
        return self._end - through > keys * _COST_OF_NEWEST

    def _replace(self, state: KeyedState) -> None:
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

    def _apply(self, records: Sequence[KeyedRecord]) -> None:
        for record in records:
            known = self._records.get(record.key)
            if known is not None and known.offset >= record.offset:
                continue
            self._records[record.key] = record
            if self._fold(record):
                self._news[record.key] = record


def _told(error: Exception) -> dict[str, str]:
    return {'error': str(error)}
