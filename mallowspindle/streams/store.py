"""The log's record of begun streams and of the versions that served."""

import logging
from collections.abc import Callable, Collection, Iterable, Mapping
from itertools import starmap
from operator import attrgetter
from typing import Any

from mallowspindle.adapter import LogLayout
from mallowspindle.log.errors import RecordsExpired
from mallowspindle.log.interface import Log
from mallowspindle.log.records import KeyedRecord
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


class StreamStore:
    """Reads and writes what has to outlast all nodes.

    Streams are kept in numbered slots of the node that logs them, each with
    those of half a second, since the log keeps only the newest record of a
    key if it drops its history. All methods raise ``LogError`` if the log gives
    no usable answer.
    """

    def __init__(self, source: Log, layout: LogLayout, node: str) -> None:
        self._log = source
        self._layout = layout
        self._node = node
        self._next_offset: int | None = None

    async def record(self, slot: int, streams: Iterable[StreamBegun]) -> None:
        """Replace the streams in a slot of this node."""
        content = streams_codec.encode_all(records_of(streams))
        await self._append([(f'{self._node}/{slot}', content)])

    async def newest_slot(self) -> int | None:
        """Return the slot that this node or its former process wrote last."""
        state = await self._log.read_latest(self._layout.streams_stream)
        own = [
            (record.offset, int(slot))
            for record in state.records
            for node, _, slot in (record.key.rpartition('/'),)
            if node == self._node and slot.isdecimal()
        ]
        return max(own)[1] if own else None

    async def read_new(self) -> dict[bytes, StreamOrigin]:
        """Return the streams that were logged since the last call."""
        if self._next_offset is None:
            return await self._read_newest()
        try:
            return await self._read_on(self._next_offset)
        except RecordsExpired:
            return await self._read_newest()

    async def drop_own(self) -> None:
        """Drop the streams that this node has logged."""
        await self._drop(lambda node: node == self._node)

    async def drop_streams(self, kept_nodes: Collection[str]) -> None:
        """Drop the streams that other nodes than ``kept_nodes`` have logged."""
        await self._drop(lambda node: node not in kept_nodes)

    async def _drop(self, is_dropped: Callable[[str], bool]) -> None:
        state = await self._log.read_latest(self._layout.streams_stream)
        dropped = [
            (record.key, b'')
            for record in state.records
            if is_dropped(record.key.rpartition('/')[0])
        ]
        if dropped:
            await self._append(dropped)

    async def _append(self, entries: Iterable[tuple[str, bytes]]) -> None:
        payloads = list(starmap(self._layout.encode_keyed, entries))
        await self._log.append(self._layout.streams_stream, payloads)

    async def _read_newest(self) -> dict[bytes, StreamOrigin]:
        state = await self._log.read_latest(self._layout.streams_stream)
        self._next_offset = state.end_offset
        return _origins_of(state.records)

    async def _read_on(self, offset: int) -> dict[bytes, StreamOrigin]:
        found: dict[bytes, StreamOrigin] = {}
        while True:
            page = await self._log.read(self._layout.streams_stream, offset)
            records = map(self._layout.decode_keyed, page.records)
            found.update(_origins_of(records))
            offset = page.next_offset
            self._next_offset = offset
            if not page.records or offset >= page.end_offset:
                return found

    async def load_versions(self) -> Mapping[str, Mapping[str, float]]:
        """Return the age in seconds of each service's versions."""
        state = await self._log.read_latest(self._layout.versions_stream)
        for record in state.records:
            if record.key == _VERSIONS_KEY and record.value is not None:
                served = _decode(record.key, record.value)
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


def _origins_of(records: Iterable[KeyedRecord]) -> dict[bytes, StreamOrigin]:
    """Return the streams of some records, where the last one counts."""
    found: dict[bytes, StreamOrigin] = {}
    for record in sorted(records, key=attrgetter('offset')):
        for begun in _decode_all(record.key, record.value or b''):
            if isinstance(begun, StreamsBegun):
                found.update(origins_in(begun))
    return found


def _decode_all(key: str, content: bytes) -> list[Any]:
    """Return the records of a slot; none if they are unreadable."""
    if not content:
        return []
    try:
        return streams_codec.decode_all(content)
    except CodecError as error:
        log.warning(
            'unreadable record of streams',
            extra={'key': key, 'error': str(error)},
        )
        return []


def _decode(key: str, payload: bytes) -> Any:
    """Return a record; None if it is unreadable, which is logged."""
    try:
        return streams_codec.decode(payload)
    except CodecError as error:
        log.warning(
            'unreadable record of versions',
            extra={'key': key, 'error': str(error)},
        )
        return None
