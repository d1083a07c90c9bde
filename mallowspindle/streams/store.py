"""The log's record of begun streams and of the versions that served."""

import logging
from collections.abc import Iterable, Mapping
from typing import Any

from mallowspindle.adapter import LogLayout
from mallowspindle.log.errors import LogError, RecordsExpired
from mallowspindle.log.interface import Log
from mallowspindle.log.records import LogPage
from mallowspindle.streams.messages import StreamBegun
from mallowspindle.streams.records import (
    ServedVersions,
    StreamOrigin,
    StreamsBegun,
    origins_in,
    records_of,
    streams_codec,
)
from mallowspindle.utils.codec import CodecError

log = logging.getLogger(__name__)

_VERSIONS_KEY = 'served'
# The log may drop records while they are read; more often than this in a row
# it is taken for unreadable.
_MAX_EXPIRIES = 4


class StreamStore:
    """Reads and writes what has to outlast all nodes.

    All methods raise ``LogError`` if the log gives no usable answer.
    """

    def __init__(self, source: Log, layout: LogLayout) -> None:
        self._log = source
        self._layout = layout
        self._next_offset = 0

    async def record(self, streams: Iterable[StreamBegun]) -> None:
        """Log streams that servers have begun."""
        payloads = [
            streams_codec.encode(record) for record in records_of(streams)
        ]
        await self._log.append(self._layout.streams_stream, payloads)

    async def read_new(self) -> dict[bytes, StreamOrigin]:
        """Return the streams that were logged since the last call."""
        found: dict[bytes, StreamOrigin] = {}
        while True:
            page = await self._read_page()
            for record in page.records:
                found.update(_decode_origins(record.payload))
            self._next_offset = page.next_offset
            if not page.records or page.next_offset >= page.end_offset:
                return found

    async def load_versions(self) -> Mapping[str, Mapping[str, float]]:
        """Return the age in seconds of each service's versions."""
        state = await self._log.read_latest(self._layout.versions_stream)
        for record in state.records:
            if record.key == _VERSIONS_KEY and record.value is not None:
                served = _decode(record.value)
                if isinstance(served, ServedVersions):
                    return served.ages_s
        return {}

    async def save_versions(
        self, ages_s: Mapping[str, Mapping[str, float]]
    ) -> None:
        """Log the age in seconds of each service's versions."""
        served = ServedVersions(
            {service: dict(ages) for service, ages in ages_s.items()}
        )
        record = self._layout.encode_keyed(
            _VERSIONS_KEY, streams_codec.encode(served)
        )
        await self._log.append(self._layout.versions_stream, [record])

    async def _read_page(self) -> LogPage:
        """Read on, behind the records that the log has dropped."""
        for _ in range(_MAX_EXPIRIES):
            try:
                return await self._log.read(
                    self._layout.streams_stream, self._next_offset
                )
            except RecordsExpired as error:
                self._next_offset = error.first_offset
        raise LogError('records expired while they were read')


def _decode_origins(payload: bytes) -> dict[bytes, StreamOrigin]:
    record = _decode(payload)
    if isinstance(record, StreamsBegun):
        return dict(origins_in(record))
    return {}


def _decode(payload: bytes) -> Any:
    """Return a record; None if it is unreadable, which is logged."""
    try:
        return streams_codec.decode(payload)
    except CodecError as error:
        log.warning('unreadable record of streams', extra={'error': str(error)})
        return None
