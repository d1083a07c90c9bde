"""Logs begun streams in batches, and finds them in the log."""

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable

from mallowspindle.log.errors import LogError
from mallowspindle.streams.messages import StreamBegun, StreamKey
from mallowspindle.streams.records import StreamOrigin, digest_of
from mallowspindle.streams.store import StreamStore
from mallowspindle.streams.versions import STREAM_MEMORY_S
from mallowspindle.utils.tasks import BackgroundTasks
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

# Streams that begin within this time share an append.
_BATCH_S = 0.1
# Pause after an append that failed.
_RETRY_S = 0.5
# Streams that were told within this time share a slot, which is written again
# with each append.
_SLOT_S = 0.5
# The streams of so many slots stay in the log: a stream lasts 15 s, and its
# caller may take it up for as long.
_SLOTS = 40
# Streams of the largest load in some seconds.
_MAX_PENDING = 20_000
# Shortest pause between two reads of the log.
_READ_PAUSE_S = 0.25
_MAX_FOUND = 40_000

appends_total = meter.create_counter('stream_appends')


class StreamRecorder:
    """Logs the streams of which this node is told, several at a time."""

    def __init__(
        self, store: StreamStore, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._store = store
        self._clock = clock
        self._pending: deque[StreamBegun] = deque(maxlen=_MAX_PENDING)
        self._added = asyncio.Event()
        self._slot: int | None = None
        self._in_slot: list[StreamBegun] = []
        self._slot_began_at_s = clock()

    def add(self, begun: StreamBegun) -> None:
        """Log a stream with the next batch."""
        self._pending.append(begun)
        self._added.set()

    async def run(self) -> None:
        """Log batches until cancelled."""
        while True:
            await self._added.wait()
            await asyncio.sleep(_BATCH_S)
            try:
                await self.flush()
            except LogError as error:
                log.info('streams not logged', extra={'error': str(error)})
                await asyncio.sleep(_RETRY_S)

    async def flush(self) -> None:
        """Log what is pending; raise ``LogError`` if the log fails.

        What was not logged stays pending.
        """
        self._added.clear()
        if not self._pending:
            return
        batch = list(self._pending)
        self._pending.clear()
        try:
            slot = await self._choose_slot()
            await self._store.record(slot, [*self._in_slot, *batch])
        except LogError:
            self._pending.extendleft(reversed(batch))
            self._added.set()
            raise
        self._in_slot.extend(batch)
        appends_total.add(1)

    async def _choose_slot(self) -> int:
        """Return the slot to write, the next one once its time is over.

        A process that was started again goes on behind its former one.
        """
        now_s = self._clock()
        if self._slot is None:
            self._slot = await self._store.newest_slot() or 0
        elif now_s - self._slot_began_at_s < _SLOT_S:
            return self._slot
        self._slot = (self._slot + 1) % _SLOTS
        self._in_slot = []
        self._slot_began_at_s = now_s
        return self._slot


class RecordedStreams:
    """Finds streams in the log; queries that come together share a read."""

    def __init__(
        self, store: StreamStore, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._store = store
        self._clock = clock
        # With the time at which each was read.
        self._found: dict[bytes, tuple[StreamOrigin, float]] = {}
        self._read_at_s = float('-inf')
        self._reading: asyncio.Task[None] | None = None
        self._tasks = BackgroundTasks()

    async def find(
        self, key: StreamKey, timeout_s: float
    ) -> StreamOrigin | None:
        """Return where a stream began; None if the log does not tell in time.

        A stream that is known is not looked up again.
        """
        digest = digest_of(key)
        if digest not in self._found:
            await self._read_on(timeout_s)
        found = self._found.get(digest)
        return found[0] if found else None

    async def stop(self) -> None:
        """Stop reading."""
        await self._tasks.cancel()

    async def _read_on(self, timeout_s: float) -> None:
        if self._reading is None:
            if self._clock() - self._read_at_s < _READ_PAUSE_S:
                return
            self._reading = self._tasks.spawn(self._read(), 'stream records')
        await asyncio.wait([self._reading], timeout=timeout_s)

    async def _read(self) -> None:
        try:
            streams = await self._store.read_new()
        except LogError as error:
            log.info('streams not read', extra={'error': str(error)})
        else:
            now_s = self._clock()
            self._forget(now_s - STREAM_MEMORY_S)
            self._found.update(
                {digest: (origin, now_s) for digest, origin in streams.items()}
            )
        finally:
            self._read_at_s = self._clock()
            self._reading = None

    def _forget(self, oldest_s: float) -> None:
        """Drop what was read before ``oldest_s``, and the oldest beyond."""
        kept = [
            entry for entry in self._found.items() if entry[1][1] >= oldest_s
        ]
        self._found = dict(kept[-_MAX_FOUND:])
