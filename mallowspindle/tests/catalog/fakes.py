"""An in-memory log in which tests can inject faults."""

from collections import defaultdict
from collections.abc import Sequence

from mallowspindle.log.errors import (
    AppendConflict,
    AppendUncertain,
    LogError,
    RecordsExpired,
)
from mallowspindle.log.interface import Log
from mallowspindle.log.records import (
    KeyedRecord,
    KeyedState,
    LogPage,
    LogRecord,
)


class FakeLog(Log):
    """Streams in memory; the faults are ``down``, ``lose_answer``, ``trim``."""

    def __init__(self) -> None:
        self._streams: dict[str, list[bytes]] = defaultdict(list)
        self._first: dict[str, int] = defaultdict(int)
        self._newest: dict[str, dict[str, KeyedRecord]] = defaultdict(dict)
        self.down = False
        self.lose_answer = False

    async def append(
        self,
        stream: str,
        payloads: Sequence[bytes],
        expected_end: int | None = None,
    ) -> int:
        """Append records."""
        self._check()
        records = self._streams[stream]
        if expected_end is not None and expected_end != len(records):
            raise AppendConflict(stream, len(records))
        offset = len(records)
        records.extend(payloads)
        if self.lose_answer:
            self.lose_answer = False
            raise AppendUncertain('the answer was lost')
        return offset

    async def read(
        self, stream: str, offset: int, wait_s: float = 0
    ) -> LogPage:
        """Read records."""
        self._check()
        if offset < self._first[stream]:
            raise RecordsExpired(stream, self._first[stream])
        records = [
            LogRecord(number, payload)
            for number, payload in enumerate(self._streams[stream])
            if number >= offset
        ]
        end = len(self._streams[stream])
        return LogPage(end, end, records)

    async def read_latest(self, stream: str) -> KeyedState:
        """Return the newest record of each key."""
        self._check()
        records = [
            record
            for record in self._newest[stream].values()
            if record.value is not None
        ]
        return KeyedState(records, len(self._streams[stream]))

    def put(self, stream: str, key: str, content: bytes | None) -> None:
        """Append a keyed record as the platform does."""
        offset = len(self._streams[stream])
        record = KeyedRecord(key, content, offset)
        self._newest[stream][key] = record
        payload = b'='.join((key.encode(), content or b''))
        self._streams[stream].append(payload)

    def trim(self, stream: str) -> None:
        """Drop the history of a stream."""
        self._first[stream] = len(self._streams[stream])

    def fail(self) -> None:
        """Raise the error of a node that cannot reach the log."""
        raise LogError('the log is down')

    def _check(self) -> None:
        if self.down:
            self.fail()


def decode_keyed(record: LogRecord) -> KeyedRecord:
    """Decode a record that ``FakeLog.put`` wrote."""
    key, _, content = record.payload.partition(b'=')
    return KeyedRecord(key.decode(), content or None, record.offset)


def encode_keyed(key: str, content: bytes) -> bytes:
    """Encode a record as ``FakeLog.put`` does."""
    return b'='.join((key.encode(), content))
