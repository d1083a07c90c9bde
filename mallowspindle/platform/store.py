"""Log client for the platform's store."""

import base64
import binascii
import logging
import struct
from collections.abc import Iterator, Mapping, Sequence
from itertools import count
from typing import Any

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)
from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError

from mallowspindle.log.errors import (
    AppendConflict,
    AppendRefused,
    AppendUncertain,
    LogError,
    RecordsExpired,
)
from mallowspindle.log.interface import Log
from mallowspindle.log.positions import era_of, offset_of, position_of
from mallowspindle.log.records import (
    KeyedRecord,
    KeyedState,
    LogPage,
    LogRecord,
)
from mallowspindle.utils.bodies import read_bounded

log = logging.getLogger(__name__)

# Streams of the store that the platform itself writes.
SERVERS_STREAM = 'keyed.servers'
CONFIGURATION_STREAM = 'keyed.op'
# Written by this system. The store keeps the newest record of each key.
QUARANTINE_STREAM = 'keyed.quarantine'
VERSIONS_STREAM = 'keyed.versions'
STREAMS_STREAM = 'keyed.streams'
ROLLOUTS_STREAM = 'keyed.rollouts'
RETRIES_STREAM = 'keyed.retries'
# Written by this system for the operators.
STATUS_STREAM = 'keyed.status'

_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412
# The platform guarantees that a request with one of these had no effect.
_REJECTED_STATUSES = frozenset((400, 403, 404, 409, 413, 429, 503, 507))
_LENGTH_PREFIX = struct.Struct('>I')
_READ_HEADER = struct.Struct('>QQ')
_PARTITION = '0'
_MAX_KEY_BYTES = 255
# A whole number that rises by one each time the store comes back from an older
# copy. Older platforms do not send it.
_ERA_HEADER = 'Store-Era'
# Positions of larger eras would not fit into messages to peers.
_MAX_ERA_DIGITS = 6
_MAX_PAGES = 200
# The store sends pages of up to 1 MB, and values in Base64.
_MAX_ANSWER_BYTES = 4_000_000


class _AppendAnswer(BaseModel):
    model_config = ConfigDict(extra='ignore')

    # Offset of the first appended record.
    offset: int


class _EndAnswer(BaseModel):
    model_config = ConfigDict(extra='ignore')

    end: int


class _FirstAnswer(BaseModel):
    model_config = ConfigDict(extra='ignore')

    first: int


class _NewestItem(BaseModel):
    model_config = ConfigDict(extra='ignore')

    key: str
    # Encoded in Base64.
    value: str = ''
    offset: int


class _NewestPage(BaseModel):
    model_config = ConfigDict(extra='ignore')

    items: list[_NewestItem]
    has_more: bool = False
    end: int


_append_answer = TypeAdapter(_AppendAnswer)
_end_answer = TypeAdapter(_EndAnswer)
_first_answer = TypeAdapter(_FirstAnswer)
_newest_page = TypeAdapter(_NewestPage)


class StoreLog(Log):
    """Appends to and reads from the platform's store over HTTP.

    Offsets of the interface are positions, which include the store's era.
    """

    def __init__(
        self, session: ClientSession, address: str, timeout_s: float
    ) -> None:
        self._session = session
        self._url = f'http://{address}'
        self._timeout_s = timeout_s
        self._era = 0

    async def append(
        self,
        stream: str,
        payloads: Sequence[bytes],
        expected_end: int | None = None,
    ) -> int:
        """Append records; see ``Log.append``."""
        query = {'topic': stream, 'part': _PARTITION}
        if expected_end is not None:
            self._require_current(stream, expected_end)
            query['at'] = str(offset_of(expected_end))
        body = b''.join(
            _LENGTH_PREFIX.pack(len(payload)) + payload for payload in payloads
        )
        try:
            status, answer, era = await self._request(
                'POST', '/log-append', query, body
            )
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            raise AppendRefused(f'store unreachable: {error}') from error
        except (ClientError, LogError, TimeoutError) as error:
            raise AppendUncertain(
                f'no usable answer to an append to {stream}: {error!r}'
            ) from error
        if status != _OK:
            raise _append_error(stream, status, answer, era)
        position = position_of(era, _validate(_append_answer, answer).offset)
        _require_expected(stream, position, expected_end)
        return position

    async def read(
        self, stream: str, offset: int, wait_s: float = 0
    ) -> LogPage:
        """Read records; see ``Log.read``."""
        if era_of(offset) < self._era:
            raise RecordsExpired(stream, position_of(self._era, 0))
        query = {
            'topic': stream,
            'part': _PARTITION,
            'from': str(offset_of(offset)),
        }
        if wait_s:
            query['wait_ms'] = str(int(wait_s * 1000))
        status, answer, era = await self._get('/log-read', query, wait_s)
        _require_present(stream, offset, status, answer, era)
        return _decode_page(answer, offset)

    async def read_latest(self, stream: str) -> KeyedState:
        """Return the newest record of each key; see ``Log.read_latest``."""
        records: list[KeyedRecord] = []
        end_offsets: list[int] = []
        query = {'topic': stream, 'part': _PARTITION}
        for _ in range(_MAX_PAGES):
            status, answer, era = await self._get('/log-newest', query)
            _require_ok(status)
            page = _validate(_newest_page, answer)
            records.extend(_decode_item(item, era) for item in page.items)
            end_offsets.append(position_of(era, page.end))
            if era != era_of(end_offsets[0]):
                raise LogError(
                    f'expected all pages of {stream} in era '
                    f'{era_of(end_offsets[0])}, found one in era {era}'
                )
            if not page.has_more or not page.items:
                # The pages are not one snapshot. The caller reads on from the
                # end offset of the first page, and so sees the changes that
                # were made while later pages were read.
                return KeyedState(records, end_offsets[0])
            query['after'] = page.items[-1].key
        raise LogError(f'{stream} has more than {_MAX_PAGES} pages of keys')

    def _require_current(self, stream: str, expected_end: int) -> None:
        """Raise ``AppendConflict`` for an end in a former era."""
        if era_of(expected_end) < self._era:
            raise AppendConflict(stream, position_of(self._era, 0))

    async def _get(
        self, path: str, query: Mapping[str, str], wait_s: float = 0
    ) -> tuple[int, bytes, int]:
        try:
            return await self._request('GET', path, query, wait_s=wait_s)
        except (ClientError, TimeoutError) as error:
            raise LogError(f'store unreachable: {error!r}') from error

    async def _request(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        body: bytes | None = None,
        wait_s: float = 0,
    ) -> tuple[int, bytes, int]:
        """Return the status, the body and the era of an answer."""
        async with self._session.request(
            method,
            f'{self._url}{path}',
            params=query,
            data=body,
            timeout=ClientTimeout(
                total=self._timeout_s + wait_s, sock_connect=self._timeout_s / 2
            ),
        ) as response:
            answer = await read_bounded(response, _MAX_ANSWER_BYTES)
            era = self._note_era(response.headers.get(_ERA_HEADER))
            return response.status, answer, era

    def _note_era(self, text: str | None) -> int:
        """Return the era of an answer, and log it if it is a new one.

        Raise ``LogError`` for an answer of a former era.
        """
        if text is None:
            return self._era
        is_number = text.isascii() and text.isdecimal()
        if not is_number or len(text) > _MAX_ERA_DIGITS:
            raise LogError(
                f'expected a whole number of up to {_MAX_ERA_DIGITS} digits '
                f'in {_ERA_HEADER}, found {text!r}'
            )
        era = int(text)
        if era < self._era:
            raise LogError(
                f'expected an answer of the store of era {self._era} or later, '
                f'found era {era}'
            )
        if era > self._era:
            log.info(
                'the store is in a new era',
                extra={'era': era, 'former_era': self._era},
            )
            self._era = era
        return era


def decode_keyed(record: LogRecord) -> KeyedRecord:
    """Decode the key and value in a record of a keyed stream."""
    payload = record.payload
    length = payload[0] if payload else 0
    key = payload[1 : 1 + length].decode('utf-8', 'replace')
    return KeyedRecord(key, payload[1 + length :] or None, record.offset)


def encode_keyed(key: str, value: bytes) -> bytes:
    """Encode a record of a keyed stream; an empty value drops the key.

    Keys of more than 255 bytes are cut.
    """
    encoded = key.encode()[:_MAX_KEY_BYTES]
    return bytes([len(encoded)]) + encoded + value


def _decode_item(item: _NewestItem, era: int) -> KeyedRecord:
    try:
        value = base64.b64decode(item.value, validate=True)
    except binascii.Error as error:
        raise LogError(f'value of {item.key} is not valid Base64') from error
    position = position_of(era, item.offset)
    return KeyedRecord(item.key, value or None, position)


def _decode_page(answer: bytes, offset: int) -> LogPage:
    if len(answer) < _READ_HEADER.size:
        raise LogError('the store sent an incomplete read header')
    end, _ = _READ_HEADER.unpack_from(answer)
    end_position = position_of(era_of(offset), end)
    records = [
        LogRecord(record_offset, payload)
        for record_offset, payload in zip(
            count(offset),
            _split_records(answer, _READ_HEADER.size),
            strict=False,
        )
    ]
    return LogPage(offset + len(records), end_position, records)


def _split_records(answer: bytes, position: int) -> Iterator[bytes]:
    while position + _LENGTH_PREFIX.size <= len(answer):
        length = _LENGTH_PREFIX.unpack_from(answer, position)[0]
        position += _LENGTH_PREFIX.size
        if position + length > len(answer):
            raise LogError('the store sent a truncated record')
        yield answer[position : position + length]
        position += length


def _append_error(
    stream: str, status: int, answer: bytes, era: int
) -> LogError:
    if status == _PRECONDITION_FAILED:
        end = _validate(_end_answer, answer).end
        return AppendConflict(stream, position_of(era, end))
    if status in _REJECTED_STATUSES:
        return AppendRefused(f'store answered {status}')
    return AppendUncertain(f'store answered {status}')


def _require_present(
    stream: str, offset: int, status: int, answer: bytes, era: int
) -> None:
    """Raise an error unless a read from ``offset`` was answered in its era."""
    if era != era_of(offset):
        raise RecordsExpired(stream, position_of(era, 0))
    if status == _GONE:
        first = _validate(_first_answer, answer).first
        raise RecordsExpired(stream, position_of(era, first))
    _require_ok(status)


def _require_expected(
    stream: str, position: int, expected_end: int | None
) -> None:
    """Raise ``AppendUncertain`` if the store appended in a new era.

    The record is then behind others than expected.
    """
    if expected_end not in {None, position}:
        raise AppendUncertain(
            f'expected the record at position {expected_end} of {stream}, '
            f'found it at {position}'
        )


def _require_ok(status: int) -> None:
    if status != _OK:
        raise LogError(f'expected status 200 from the store, found {status}')


def _validate(adapter: TypeAdapter[Any], answer: bytes) -> Any:
    try:
        return adapter.validate_json(answer)
    except ValidationError as error:
        raise LogError(f'malformed answer from the store: {error}') from error
