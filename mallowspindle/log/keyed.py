"""Conditional appends to a keyed stream."""

from mallowspindle.adapter import LogLayout
from mallowspindle.log.errors import LogError
from mallowspindle.log.interface import Log


class KeyedWriter:
    """Appends to a keyed stream only what follows on what was read of it."""

    def __init__(self, source: Log, layout: LogLayout, stream: str) -> None:
        self._log = source
        self._layout = layout
        self._stream = stream
        self._end: int | None = None

    @property
    def end(self) -> int | None:
        """The end of the stream, if it is known from a read or an append."""
        return self._end

    async def read(self) -> dict[str, bytes]:
        """Return the newest records; raise ``LogError`` if it fails."""
        state = await self._log.read_latest(self._stream)
        self._end = state.end_offset
        return {
            record.key: record.value
            for record in state.records
            if record.value is not None
        }

    async def write(self, key: str, value: bytes) -> None:
        """Append a record; raise ``LogError`` if it fails.

        If others have appended, or the answer is lost, the stream has to be
        read before the next append.
        """
        payload = self._layout.encode_keyed(key, value)
        expected_end = self._end
        self._end = None
        if expected_end is None:
            raise LogError(f'{self._stream} was not read')
        offset = await self._log.append(self._stream, [payload], expected_end)
        self._end = offset + 1
