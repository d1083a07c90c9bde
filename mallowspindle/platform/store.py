"""The platform's store as a log."""

import base64
import binascii
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
from mallowspindle.log.records import (
    KeyedRecord,
    KeyedState,
    LogPage,
    LogRecord,
)

# Names of the store's streams that the platform itself writes.
SERVERS_STREAM = 'keyed.servers'
CONFIGURATION_STREAM = 'keyed.op'

_OK = 200
_GONE = 410
_ENDS_ELSEWHERE = 412
# The platform promises that nothing was done for these.
_NOTHING_DONE = frozenset((400, 403, 404, 409, 413, 429, 503, 507))
_LENGTH = struct.Struct('>I')
_READ_HEAD = struct.Struct('>QQ')
_PARTITION = '0'
_MAX_PAGES = 200


class _AppendAnswer(BaseModel):
    model_config = ConfigDict(extra='ignore')

    # The offset of the first record that was appended.
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
    # Base64 of the value.
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
    """Appends to and reads from the platform's store over HTTP."""

    def __init__(
        self, session: ClientSession, address: str, timeout_s: float
    ) -> None:
        self._session = session
        self._url = f'http://{address}'
        self._timeout_s = timeout_s

    async def append(
        self,
        stream: str,
        payloads: Sequence[bytes],
        expected_end: int | None = None,
    ) -> int:
        """Append records; see ``Log.append``."""
        query = {'topic': stream, 'part': _PARTITION}
        if expected_end is not None:
            query['at'] = str(expected_end)
        body = b''.join(
            _LENGTH.pack(len(payload)) + payload for payload in payloads
        )
        try:
            status, answer = await self._call(
                'POST', '/log-append', query, body
            )
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            raise AppendRefused(f'store unreachable: {error}') from error
        except (ClientError, TimeoutError) as error:
            raise AppendUncertain(f'append answer lost: {error!r}') from error
        if status != _OK:
            raise _append_error(stream, status, answer)
        return int(_validated(_append_answer, answer).offset)

    async def read(
        self, stream: str, offset: int, wait_s: float = 0
    ) -> LogPage:
        """Read records; see ``Log.read``."""
        query = {'topic': stream, 'part': _PARTITION, 'from': str(offset)}
        if wait_s:
            query['wait_ms'] = str(int(wait_s * 1000))
        status, answer = await self._get('/log-read', query, wait_s)
        if status == _GONE:
            first = _validated(_first_answer, answer).first
            raise RecordsExpired(stream, first)
        _require_ok(status)
        return _decode_page(answer, offset)

    async def read_latest(self, stream: str) -> KeyedState:
        """Return the newest record of each key; see ``Log.read_latest``."""
        records: list[KeyedRecord] = []
        ends: list[int] = []
        query = {'topic': stream, 'part': _PARTITION}
        for _ in range(_MAX_PAGES):
            status, answer = await self._get('/log-newest', query)
            _require_ok(status)
            page = _validated(_newest_page, answer)
            records.extend(map(_decode_item, page.items))
            ends.append(page.end)
            if not page.has_more or not page.items:
                # Pages are not a snapshot: what changed after the first page
                # is read again from where that page ended.
                return KeyedState(records, ends[0])
            query['after'] = page.items[-1].key
        raise LogError(f'{stream} has more than {_MAX_PAGES} pages of keys')

    async def _get(
        self, path: str, query: Mapping[str, str], wait_s: float = 0
    ) -> tuple[int, bytes]:
        try:
            return await self._call('GET', path, query, wait_s=wait_s)
        except (ClientError, TimeoutError) as error:
            raise LogError(f'store unreachable: {error!r}') from error

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        body: bytes | None = None,
        wait_s: float = 0,
    ) -> tuple[int, bytes]:
        async with self._session.request(
            method,
            f'{self._url}{path}',
            params=query,
            data=body,
            timeout=ClientTimeout(
                total=self._timeout_s + wait_s, sock_connect=self._timeout_s / 2
            ),
        ) as response:
            return response.status, await response.read()


def decode_keyed(record: LogRecord) -> KeyedRecord:
    """Return the key and value in a record of a keyed stream."""
    payload = record.payload
    length = payload[0] if payload else 0
    key = payload[1 : 1 + length].decode('utf-8', 'replace')
    return KeyedRecord(key, payload[1 + length :] or None, record.offset)


def _decode_item(item: _NewestItem) -> KeyedRecord:
    try:
        value = base64.b64decode(item.value, validate=True)
    except binascii.Error as error:
        raise LogError(f'value of {item.key} is no base64') from error
    return KeyedRecord(item.key, value or None, item.offset)


def _decode_page(answer: bytes, offset: int) -> LogPage:
    if len(answer) < _READ_HEAD.size:
        raise LogError('the store sent no read head')
    end, _ = _READ_HEAD.unpack_from(answer)
    records = [
        LogRecord(number, payload)
        for number, payload in zip(
            count(offset), _frames(answer, _READ_HEAD.size), strict=False
        )
    ]
    return LogPage(offset + len(records), end, records)


def _frames(answer: bytes, position: int) -> Iterator[bytes]:
    while position + _LENGTH.size <= len(answer):
        length = _LENGTH.unpack_from(answer, position)[0]
        position += _LENGTH.size
        if position + length > len(answer):
            raise LogError('the store sent a record that is cut short')
        yield answer[position : position + length]
        position += length


def _append_error(stream: str, status: int, answer: bytes) -> LogError:
    if status == _ENDS_ELSEWHERE:
        return AppendConflict(stream, _validated(_end_answer, answer).end)
    if status in _NOTHING_DONE:
        return AppendRefused(f'store answered {status}')
    return AppendUncertain(f'store answered {status}')


def _require_ok(status: int) -> None:
    if status != _OK:
        raise LogError(f'store answered {status}')


def _validated(adapter: TypeAdapter[Any], answer: bytes) -> Any:
    try:
        return adapter.validate_json(answer)
    except ValidationError as error:
        raise LogError(f'malformed answer of the store: {error}') from error
