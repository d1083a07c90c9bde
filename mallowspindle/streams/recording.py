"""Logs begun streams in batches, and finds them in the log."""

import asyncio
import logging
import time
from collections.abc import Callable, Iterable

from mallowspindle.log.errors import LogError
from mallowspindle.streams.messages import StreamBegun, StreamKey
from mallowspindle.streams.records import StreamOrigin, digest_of
from mallowspindle.streams.store import StreamStore
from mallowspindle.streams.versions import STREAM_MEMORY_S
from mallowspindle.utils.tasks import BackgroundTasks, wait_for_event
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

# Streams that begin within this time share an append.
BATCH_S = 0.1
# The same while all servers have one version, so that nobody asks the log.
CALM_BATCH_S = 0.5
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
    """Logs the streams of which this node is told, several at a time.

    ``batch_s`` tells how long those that come together are collected.
    """

    def __init__(
        self,
        store: StreamStore,
        clock: Callable[[], float] = time.monotonic,
        batch_s: Callable[[], float] | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._batch_s = batch_s or (lambda: BATCH_S)
        self._pending: dict[StreamKey, StreamBegun] = {}
        self._added = asyncio.Event()
        self._slot: int | None = None
        self._in_slot: dict[StreamKey, StreamBegun] = {}
        self._in_former_slot: dict[StreamKey, StreamBegun] = {}
        self._slot_began_at_s = clock()

    def add(self, streams: Iterable[StreamBegun]) -> list[bool]:
        """Log streams with the next batch; return which are logged already."""
        return list(map(self._add, streams))

    async def run(self) -> None:
        """Log batches until cancelled."""
        while True:
            if not await wait_for_event(self._added, STREAM_MEMORY_S):
                await self._drop_slots()
                await self._added.wait()
            await asyncio.sleep(self._batch_s())
            try:
                await self.flush()
            except LogError as error:
                log.info(
                    'streams not logged',
                    extra={'error': str(error), 'streams': len(self._pending)},
                )
                await asyncio.sleep(_RETRY_S)

    async def flush(self) -> None:
        """Log what is pending; raise ``LogError`` if the log fails.

        What was not logged stays pending.
        """
        self._added.clear()
        if not self._pending:
            return
        batch = dict(self._pending)
        try:
            slot = await self._choose_slot()
            await self._store.record(
                slot, (*self._in_slot.values(), *batch.values())
            )
        except LogError:
            self._added.set()
            raise
        self._in_slot.update(batch)
        self._pending = {
            key: begun
            for key, begun in self._pending.items()
            if batch.get(key) != begun
        }
        appends_total.add(1)

    def _add(self, begun: StreamBegun) -> bool:
        key = begun.key
        known = self._in_slot.get(key) or self._in_former_slot.get(key)
        if known == begun:
            return True
        self._pending.pop(key, None)
        self._pending[key] = begun
        if len(self._pending) > _MAX_PENDING:
            self._pending.pop(next(iter(self._pending)))
        self._added.set()
        return False

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
        self._in_former_slot = self._in_slot
        self._in_slot = {}
        self._slot_began_at_s = now_s
        return self._slot

    async def _drop_slots(self) -> None:
        """Drop what no caller takes up any more."""
        if self._slot is None:
            return
        try:
            await self._store.drop_own()
        except LogError as error:
            log.info('streams not dropped', extra={'error': str(error)})
        else:
            self._slot = None
            self._in_slot = {}
            self._in_former_slot = {}


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
        self._read_began_at_s = float('-inf')
        self._reading: asyncio.Task[None] | None = None
        self._tasks = BackgroundTasks()

    async def find(
        self, key: StreamKey, timeout_s: float
    ) -> StreamOrigin | None:
        """Return where a stream began; None if the log does not tell in time.

        A stream that is known is not looked up again.
        """
        digest = digest_of(key)
        asked_at_s = self._clock()
        try:
            async with asyncio.timeout(timeout_s):
                # A read that is in progress may have begun too early.
                while digest not in self._found and (
                    self._read_began_at_s < asked_at_s
                ):
                    await self._read_on()
        except TimeoutError:
            log.info('streams not read in time')
        found = self._found.get(digest)
        return found[0] if found else None

    async def stop(self) -> None:
        """Stop reading."""
        await self._tasks.cancel()

    async def _read_on(self) -> None:
        """Wait for the read in progress, or for the next one."""
        if self._reading is None:
            self._reading = self._tasks.spawn(self._read(), 'stream records')
        await asyncio.wait([self._reading])

    async def _read(self) -> None:
        pause_s = self._read_at_s + _READ_PAUSE_S - self._clock()
        try:
            await asyncio.sleep(max(0, pause_s))
            self._read_began_at_s = self._clock()
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
