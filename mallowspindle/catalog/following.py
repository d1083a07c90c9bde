"""Follow a keyed stream by reading it and by updates from peers."""

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import Self

from mallowspindle.log.errors import RecordsExpired
from mallowspindle.log.interface import Log
from mallowspindle.log.positions import era_of
from mallowspindle.log.records import (
    KeyedRecord,
    KeyedState,
    LogPage,
    LogRecord,
)
from mallowspindle.peers.codec import peer_codec
from mallowspindle.peers.transit import DatedMessage
from mallowspindle.utils.clock import boot_clock_s

log = logging.getLogger(__name__)

# Larger updates are not sent to peers: on the slowest link of an entry VM,
# 5 Mbit/s, sending this much to about twenty peers takes a quarter of a second,
# while each peer can read it from the log at its own pace.
MAX_UPDATE_BYTES = 8_192
# ``read_latest`` returns all keys in base64, which takes 4/3 of their bytes.
_READ_LATEST_COST = 4 / 3

# The store is down if no node is known to have read it for this time. A shorter
# outage removes no server entries: they expire after three missed heartbeats.
OUTAGE_AFTER_S = 2.0

# Apply a record and return whether peers need to receive it.
Fold = Callable[[KeyedRecord], bool]
DecodeKeyed = Callable[[LogRecord], KeyedRecord]


class _DelayedMessage(DatedMessage):
    """A message that keeps its age apart from the time on its way."""

    __slots__ = ()

    def older_by(self, delay_s: float) -> Self:
        """Return the message with more time on its way."""
        told_s = self.delay_s  # type: ignore[attr-defined]
        return replace(  # type: ignore[type-var]
            self, delay_s=told_s + delay_s
        )


@peer_codec.register('stream-news')
@dataclass(frozen=True, slots=True)
class StreamUpdate(_DelayedMessage):
    """Records of a stream that a peer has read.

    They are all changes between the offsets ``base`` and ``through``, as of
    ``age_s`` before they were sent, and have taken ``delay_s`` at the most since.
    Without a ``base`` they are all keys
    of the stream.
    """

    stream: str
    base: int | None
    through: int
    age_s: float
    records: list[KeyedRecord] = field(default_factory=list)
    delay_s: float = 0


@peer_codec.register('stream-end')
@dataclass(frozen=True, slots=True)
class StreamEnd(_DelayedMessage):
    """The end offset of a stream ``age_s`` before it was sent.

    It is sent in place of an update that is too large for peers.
    """

    stream: str
    through: int
    age_s: float
    delay_s: float = 0


@peer_codec.register('stream-request')
@dataclass(frozen=True, slots=True)
class StreamRequest:
    """Request for a peer's state of a stream.

    A state that ends at the offset ``known`` or before is not needed.
    """

    stream: str
    known: int | None = None


@peer_codec.register('outage-query')
@dataclass(frozen=True, slots=True)
class OutageQuery:
    """Question whether the store was down, from a node that did not reach it."""


@peer_codec.register('outage-reply')
@dataclass(frozen=True, slots=True)
class OutageReply:
    """For how many seconds the store has been read without an outage."""

    read_without_gap_s: float


def message_for_peers(update: StreamUpdate) -> StreamUpdate | StreamEnd:
    """Return the update, or only its end if it is too large for peers."""
    size = sum(len(record.value or b'') for record in update.records)
    if size <= MAX_UPDATE_BYTES:
        return update
    return StreamEnd(
        update.stream, update.through, update.age_s, update.delay_s
    )


class StreamFollower:
    """The newest record of each key, and how current this state is."""

    def __init__(
        self,
        stream: str,
        source: Log,
        decode: DecodeKeyed,
        fold: Fold,
        note_restored: Callable[[], None] | None = None,
    ) -> None:
        self._stream = stream
        self._log = source
        self._decode = decode
        self._fold = fold
        self._note_restored = note_restored
        self._records: dict[str, KeyedRecord] = {}
        self._through: int | None = None
        self._current_at_s = 0.0
        # Like that, with the time on the way of what peers have sent.
        self._certain_at_s = 0.0
        self._last_read_at_s = 0.0
        # Since then no two reads by any nodes were further apart than an outage.
        self._read_without_gap_from_s = boot_clock_s()
        self._gap_since_s = boot_clock_s()
        # The offset up to which records are known to exist.
        self._known_end = 0
        # Peers have sent or been sent all updates up to this offset.
        self._shared_through: int | None = None
        # The newest record of each key among those that peers need.
        self._changes: dict[str, KeyedRecord] = {}

    @property
    def stream(self) -> str:
        """The name of the stream."""
        return self._stream

    @property
    def through(self) -> int | None:
        """The offset up to which all records are known; None at first."""
        return self._through

    @property
    def certain_at_s(self) -> float:
        """When the state certainly matched the store, on the boot clock."""
        return self._certain_at_s

    @property
    def age_s(self) -> float:
        """Seconds since the state matched the store, as peers have told it.

        It lacks the time for which what they sent was on its way. While all
        nodes are busy, they read the store no more often because of it.
        """
        return boot_clock_s() - self._current_at_s

    @property
    def certain_age_s(self) -> float:
        """Seconds since the state certainly matched the store."""
        return boot_clock_s() - self._certain_at_s

    @property
    def has_gap(self) -> bool:
        """Whether records that are known to exist are missing."""
        return self._through is None or self._through < self._known_end

    @property
    def gap_age_s(self) -> float:
        """Seconds for which records have been missing; 0 without a gap."""
        return boot_clock_s() - self._gap_since_s if self.has_gap else 0

    @property
    def since_last_read_s(self) -> float:
        """Seconds since the last read of the stream by any node, if known."""
        return boot_clock_s() - self._last_read_at_s

    @property
    def read_without_gap_s(self) -> float:
        """Seconds for which nodes have read the stream without an outage.

        0 if no node is known to have read it lately.
        """
        if self.since_last_read_s > OUTAGE_AFTER_S:
            return 0
        return boot_clock_s() - self._read_without_gap_from_s

    async def read(self, *, for_peers: bool = True) -> StreamUpdate:
        """Read new records and return the update for peers.

        It holds all changes since the last update, those of reads that were
        not ``for_peers`` too.
        """
        requested_at_s = boot_clock_s()
        base = self._shared_through
        previous_end = self._known_end
        try:
            await self._read_new()
        except RecordsExpired as error:
            log.info(
                'history is gone, reading all keys', extra=_error_field(error)
            )
            base = None
            self._replace(await self._log.read_latest(self._stream))
        through = self._through or 0
        if self._known_end == previous_end:
            # A log that was created anew may end before the old one did.
            self._known_end = through
        self._current_at_s = max(self._current_at_s, requested_at_s)
        self._certain_at_s = max(self._certain_at_s, requested_at_s)
        self._note_read(requested_at_s)
        if for_peers:
            self._shared_through = through
        age_s = boot_clock_s() - requested_at_s
        records = self._changes_since(base)
        return StreamUpdate(self._stream, base, through, age_s, records)

    def apply_update(self, update: StreamUpdate) -> None:
        """Apply the records that a peer has read."""
        if update.base is None:
            if self._through is None or update.through > self._through:
                self._replace(KeyedState(update.records, update.through))
        elif self._through is None or update.base > self._through:
            self._note_end(update.through, update.age_s + update.delay_s)
            if self._through is not None:
                # A record replaces the former one even if others are missing.
                self._apply(update.records)
            return
        self._apply(update.records)
        self._advance(update.through, update.age_s, update.delay_s)

    def apply_end(self, end: StreamEnd) -> None:
        """Note the end of the stream; missing records need a read."""
        self._note_end(end.through, end.age_s + end.delay_s)
        if not self.has_gap:
            self._advance(end.through, end.age_s, end.delay_s)

    def state(self) -> StreamUpdate | None:
        """Return all records, for a peer that can't read the store."""
        if self._through is None:
            return None
        records = list(self._records.values())
        age_s = self.age_s
        return StreamUpdate(
            self._stream,
            None,
            self._through,
            age_s,
            records,
            max(0, self.certain_age_s - age_s),
        )

    def _note_end(self, end: int, age_s: float) -> None:
        self._note_read(boot_clock_s() - age_s)
        had_gap = self.has_gap
        self._known_end = max(self._known_end, end)
        if not had_gap:
            self._gap_since_s = boot_clock_s()

    def _note_read(self, read_at_s: float) -> None:
        """Record when this node or another one has read the stream."""
        if read_at_s - self._last_read_at_s > OUTAGE_AFTER_S:
            self._read_without_gap_from_s = read_at_s
        self._last_read_at_s = max(self._last_read_at_s, read_at_s)

    def _advance(self, through: int, age_s: float, delay_s: float) -> None:
        if self._through is None or through < self._through:
            return
        self._through = through
        self._shared_through = through
        told_at_s = boot_clock_s() - age_s
        read_at_s = told_at_s - delay_s
        self._current_at_s = max(self._current_at_s, told_at_s)
        self._certain_at_s = max(self._certain_at_s, read_at_s)
        self._note_read(read_at_s)

    def _changes_since(self, base: int | None) -> list[KeyedRecord]:
        if base is None:
            return [
                record
                for record in self._records.values()
                if record.value is not None
            ]
        return [
            record for record in self._changes.values() if record.offset >= base
        ]

    async def _read_new(self) -> None:
        if self._through is None or self._is_far_behind(self._through):
            self._replace(await self._log.read_latest(self._stream))
            return
        # Updates from peers may arrive before the log's answer.
        offset = self._through
        page = await self._log.read(self._stream, offset)
        if page.end_offset < offset:
            raise RecordsExpired(self._stream, page.end_offset)
        self._apply_page(page)
        while page.records and page.next_offset < page.end_offset:
            page = await self._log.read(self._stream, page.next_offset)
            self._apply_page(page)

    def _apply_page(self, page: LogPage) -> None:
        self._apply([self._decode(record) for record in page.records])
        self._through = max(self._through or 0, page.next_offset)

    def _is_far_behind(self, through: int) -> bool:
        """Tell whether reading all keys costs less than the missing records."""
        keys = sum(
            record.value is not None for record in self._records.values()
        )
        return self._known_end - through > keys * _READ_LATEST_COST

    def _replace(self, state: KeyedState) -> None:
        if self._is_restored(state.end_offset) and self._note_restored:
            self._note_restored()
        present = {record.key for record in state.records}
        removed = [
            KeyedRecord(record.key, None, state.end_offset)
            for record in self._records.values()
            if record.key not in present
            and record.value is not None
            and record.offset < state.end_offset
        ]
        self._apply([*state.records, *removed])
        if self._through is None or state.end_offset > self._through:
            self._through = state.end_offset

    def _is_restored(self, end_offset: int) -> bool:
        """Return whether the log came back from an older copy since a read."""
        through = self._through
        return through is not None and era_of(end_offset) > era_of(through)

    def _apply(self, records: Sequence[KeyedRecord]) -> None:
        for record in records:
            known = self._records.get(record.key)
            if known is not None and known.offset >= record.offset:
                continue
            self._records[record.key] = record
            if self._fold_safely(record):
                self._changes[record.key] = record

    def _fold_safely(self, record: KeyedRecord) -> bool:
        """Apply a record; one that raises an error does not stop the others."""
        try:
            return self._fold(record)
        except Exception:
            log.exception(
                'record skipped',
                extra={
                    'stream': self._stream,
                    'key': record.key,
                    'offset': record.offset,
                },
            )
            return False


def _error_field(error: Exception) -> dict[str, str]:
    return {'error': str(error)}
