"""Follows one effects stream and appends records to it in batches."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from mallowspindle.effects.errors import RecordRefused, RecordUncertain
from mallowspindle.effects.records import EffectsRecord, effects_codec
from mallowspindle.effects.table import KeyTable
from mallowspindle.log.errors import (
    AppendRefused,
    LogError,
    RecordsExpired,
)
from mallowspindle.native.log import LogClient, LogPage
from mallowspindle.utils.codec import CodecError
from mallowspindle.utils.tasks import BackgroundTasks

log = logging.getLogger(__name__)

_LONG_POLL_S = 5.0
_RETRY_PAUSE_S = 0.1


@dataclass(frozen=True, slots=True)
class _Append:
    """A record to append and the future for its offset."""

    record: EffectsRecord
    appended: asyncio.Future[int]


class EffectsStream:
    """Folds a stream into a table and appends records in batches."""

    def __init__(
        self,
        name: str,
        log_client: LogClient,
        window_s: float,
        commit_interval_s: float,
    ) -> None:
        self._name = name
        self._log = log_client
        self._commit_interval_s = commit_interval_s
        self._table = KeyTable(window_s)
        self._next_offset = 0
        self._ready = False
        self._records_folded = asyncio.Condition()
        self._fold_lock = asyncio.Lock()
        self._queue: asyncio.Queue[_Append] = asyncio.Queue()
        self._tasks = BackgroundTasks()

    @property
    def name(self) -> str:
        """The stream's name in the log."""
        return self._name

    @property
    def table(self) -> KeyTable:
        """The state of all keys after the records read so far."""
        return self._table

    @property
    def ready(self) -> bool:
        """Whether the stream has been read to its end once."""
        return self._ready

    def start(self) -> None:
        """Start to follow the stream and to commit records."""
        self._tasks.spawn(self._follow(), f'follow {self._name}')
        self._tasks.spawn(self._commit_forever(), f'commit {self._name}')

    async def stop(self) -> None:
        """Stop following and committing."""
        await self._tasks.cancel()

    async def append(self, record: EffectsRecord) -> None:
        """Append a record and fold all records up to and including it.

        Raises ``RecordRefused`` if the log refused it, and
        ``RecordUncertain`` if it may be in the log or be added later.
        """
        entry = _Append(record, asyncio.get_running_loop().create_future())
        self._queue.put_nowait(entry)
        await self.catch_up(await entry.appended)

    async def catch_up(self, offset: int) -> None:
        """Fold all records up to and including ``offset``.

        Raises ``RecordUncertain`` if the log can't be read.
        """
        try:
            while self._next_offset <= offset:
                await self._read(0)
        except LogError as error:
            raise RecordUncertain(str(error)) from error

    async def read_available(self) -> None:
        """Fold the records that the log has now.

        Raises ``RecordUncertain`` if the log can't be read.
        """
        try:
            await self._read(0)
        except LogError as error:
            raise RecordUncertain(str(error)) from error

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds; it is checked after each fold."""
        async with self._records_folded:
            await self._records_folded.wait_for(condition)

    async def _follow(self) -> None:
        while True:
            try:
                await self._read(_LONG_POLL_S if self._ready else 0)
            except LogError as error:
                log.warning(
                    'stream %s could not be read: %s', self._name, error
                )
                await asyncio.sleep(_RETRY_PAUSE_S)

    async def _read(self, wait_s: float) -> None:
        start = self._next_offset
        try:
            page = await self._log.read(self._name, start, wait_s)
        except RecordsExpired as expired:
            self._next_offset = max(self._next_offset, expired.first_offset)
            return
        await self._fold(page)

    async def _fold(self, page: LogPage) -> None:
        async with self._fold_lock:
            for record in page.records:
                if record.offset >= self._next_offset:
                    self._next_offset = record.offset + 1
                    self._fold_payload(record.appended_at_s, record.payload)
        if not page.records:
            self._ready = True
        async with self._records_folded:
            self._records_folded.notify_all()

    def _fold_payload(self, logged_at_s: float, payload: bytes) -> None:
        try:
            records = effects_codec.decode_all(payload)
        except CodecError as error:
            log.error('stream %s has invalid records: %s', self._name, error)
            return
        for record in records:
            self._table.fold(logged_at_s, record)

    async def _commit_forever(self) -> None:
        while True:
            first = await self._queue.get()
            await asyncio.sleep(self._commit_interval_s)
            batch = [first]
            while not self._queue.empty():
                batch.append(self._queue.get_nowait())
            await self._commit(batch)

    async def _commit(self, batch: list[_Append]) -> None:
        payload = effects_codec.encode_all([entry.record for entry in batch])
        try:
            offset = await self._log.append(self._name, payload)
        except AppendRefused as error:
            _fail_appends(batch, RecordRefused(str(error)))
        except LogError as error:
            _fail_appends(batch, RecordUncertain(str(error)))
        else:
            for entry in _unfinished(batch):
                entry.appended.set_result(offset)


def _fail_appends(batch: list[_Append], error: Exception) -> None:
    for entry in _unfinished(batch):
        entry.appended.set_exception(error)


def _unfinished(batch: list[_Append]) -> list[_Append]:
    return [entry for entry in batch if not entry.appended.done()]
