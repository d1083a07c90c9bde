"""Client of the platform's append-only log."""

from dataclasses import dataclass
from typing import Any, Self

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
)
from opentelemetry.trace import SpanKind

from mallowspindle.log.errors import (
    AppendRefused,
    AppendUncertain,
    LogError,
    RecordsExpired,
)
from mallowspindle.utils.bodies import read_bounded
from mallowspindle.utils.codec import CodecError, unpack
from mallowspindle.utils.telemetry import hop_span, trace_headers

_REFUSED_STATUSES = frozenset((400, 413, 429, 503))
_GONE = 410
_OK = 200
_MAX_RECORDS_PER_READ = 500
# A page of so many records; as much as a frame of peers.
_MAX_PAGE_BYTES = 16_000_000


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record with its offset in the stream, append time and payload."""

    offset: int
    appended_at_s: float
    payload: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records read from a stream.

    ``first_offset`` is the oldest offset that the log keeps; ``next_offset``
    is the offset to continue reading from.
    """

    first_offset: int
    next_offset: int
    records: list[LogRecord]


class LogClient:
    """Appends to and reads from streams of the log over HTTP."""

    def __init__(
        self, session: ClientSession, url: str, timeout_s: float
    ) -> None:
        self._session = session
        self._url = url.rstrip('/')
        self._timeout_s = timeout_s

    @classmethod
    def from_url(cls, url: str, timeout_s: float) -> Self:
        """Create a client with its own session."""
        return cls(ClientSession(), url, timeout_s)

    async def close(self) -> None:
        """Close the session."""
        await self._session.close()

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record and return its offset.

        ``AppendRefused`` means that nothing was appended. ``AppendUncertain``
        means that the record may have been appended, or may be later.
        """
        with hop_span('log append', SpanKind.CLIENT):
            try:
                return await self._post(stream, payload)
            except ClientConnectorError as error:
                raise AppendRefused(f'log unreachable: {error}') from error
            except (ClientError, TimeoutError, CodecError) as error:
                raise AppendUncertain(f'append answer lost: {error}') from error

    async def read(
        self, stream: str, offset: int, wait_s: float = 0
    ) -> LogPage:
        """Read from ``offset``; wait up to ``wait_s`` if there is no record.

        Raise ``RecordsExpired`` if the log no longer keeps ``offset``.
        """
        query = {
            'from': offset,
            'limit': _MAX_RECORDS_PER_READ,
            'wait_s': wait_s,
        }
        try:
            async with self._session.get(
                f'{self._url}/streams/{stream}',
                params=query,
                timeout=ClientTimeout(total=self._timeout_s + wait_s),
            ) as response:
                return await self._decode_page(stream, response)
        except (ClientError, TimeoutError, CodecError) as error:
            raise LogError(f'log read failed: {error}') from error

    async def read_to_end(self, stream: str, offset: int) -> LogPage:
        """Read all records from ``offset`` to the current end of the stream."""
        page = await self.read(stream, offset)
        records = list(page.records)
        while page.records:
            page = await self.read(stream, page.next_offset)
            records.extend(page.records)
        return LogPage(page.first_offset, page.next_offset, records)

    async def _post(self, stream: str, payload: bytes) -> int:
        async with self._session.post(
            f'{self._url}/streams/{stream}',
            data=payload,
            headers=trace_headers(),
            timeout=ClientTimeout(total=self._timeout_s),
        ) as response:
            if response.status in _REFUSED_STATUSES:
                raise AppendRefused(f'log answered {response.status}')
            if response.status != _OK:
                raise AppendUncertain(f'log answered {response.status}')
            return int(unpack(await read_bounded(response))['offset'])

    async def _decode_page(
        self, stream: str, response: ClientResponse
    ) -> LogPage:
        if response.status not in {_OK, _GONE}:
            raise LogError(f'log answered {response.status}')
        answer = await read_bounded(response, _MAX_PAGE_BYTES)
        page: dict[str, Any] = unpack(answer)
        if response.status == _GONE:
            raise RecordsExpired(stream, int(page['first']))
        records = [LogRecord(*fields) for fields in page['records']]
        return LogPage(page['first'], page['next'], records)
