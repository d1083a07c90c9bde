"""One effects stream: follows it and appends to it in batches."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from mallowspindle.effects.errors import ClaimRefused, ClaimUncertain
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
    """A record and the future of its offset."""

    record: EffectsRecord
    appended: asyncio.Future[int]


class EffectsStream:
    """Reads a stream into a table and commits records in groups."""

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
        self._folded = asyncio.Condition()
        self._reading = asyncio.Lock()
        self._queue: asyncio.Queue[_Append] = asyncio.Queue()
        self._tasks = BackgroundTasks()

    @property
    def name(self) -> str:
        """The stream's name in the log."""
        return self._name

    @property
    def table(self) -> KeyTable:
        """The state of all keys, up to what was read."""
        return self._table

    @property
    def ready(self) -> bool:
        """Whether the stream was read to its end once."""
        return self._ready

    def start(self) -> None:
        """Begin to follow and to commit."""
        self._tasks.spawn(self._follow(), f'follow {self._name}')
        self._tasks.spawn(self._commit_forever(), f'commit {self._name}')

    async def stop(self) -> None:
        """Stop following and committing."""
        await self._tasks.cancel()

    async def append(self, record: EffectsRecord) -> None:
        """Append a record and fold all records up to it.

        ``ClaimRefused`` if the log took nothing, ``ClaimUncertain`` if the
        record may be in the log or come later.
        """
        entry = _Append(record, asyncio.get_running_loop().create_future())
        self._queue.put_nowait(entry)
        await self.catch_up(await entry.appended)

    async def catch_up(self, offset: int) -> None:
        """Fold all records up to and including ``offset``."""
        try:
            while self._next_offset <= offset:
                await self._read(0)
        except LogError as error:
            raise ClaimUncertain(str(error)) from error

    async def read_forward(self) -> None:
        """Fold what the log has now; ``ClaimUncertain`` if it can't be read."""
        try:
            await self._read(0)
        except LogError as error:
            raise ClaimUncertain(str(error)) from error

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Wait until the folded records meet a condition."""
        async with self._folded:
            await self._folded.wait_for(condition)

    async def _follow(self) -> None:
        while True:
            try:
                await self._read(_LONG_POLL_S if self._ready else 0)
            except LogError as error:
                log.warning('%s not read: %s', self._name, error)
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
        async with self._reading:
            for record in page.records:
                if record.offset >= self._next_offset:
                    self._next_offset = record.offset + 1
                    self._fold_payload(record.appended_at_s, record.payload)
        if not page.records:
            self._ready = True
        async with self._folded:
            self._folded.notify_all()

    def _fold_payload(self, logged_at_s: float, payload: bytes) -> None:
        try:
            records = effects_codec.decode_all(payload)
        except CodecError as error:
            log.error('%s holds an invalid record: %s', self._name, error)
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
            _fail(batch, ClaimRefused(str(error)))
        except LogError as error:
            _fail(batch, ClaimUncertain(str(error)))
        else:
            for entry in _waiting(batch):
                entry.appended.set_result(offset)


def _fail(batch: list[_Append], error: Exception) -> None:
    for entry in _waiting(batch):
        entry.appended.set_exception(error)


def _waiting(batch: list[_Append]) -> list[_Append]:
    return [entry for entry in batch if not entry.appended.done()]
