"""Clients that exceed the limits, and what a gateway uses meanwhile."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from itertools import chain, repeat
from pathlib import Path

KIB = 1024
MIB = 1024 * KIB
MAX_BODY_BYTES = MIB
# More than the buffers of both kernels take while the gateway reads nothing.
ENDLESS_BYTES = 24 * MIB
_SENT_TIMEOUT_S = 25.0
_POLL_S = 0.1
_LARGE_CHUNK = 64 * KIB
_ENDLESS_PIECE = 64 * KIB
# A field within aiohttp's limit on one field, and as many as it takes.
_FIELD_BYTES = 30_000
_FIELDS = 125
_ONE_BYTE_CHUNKS = 200_000
_ONE_BYTE_BATCH = 10_000
_ANNOUNCED_BYTES = 64 * MIB

Pieces = Iterator[bytes]


@dataclass(frozen=True, slots=True)
class Form:
    """What each client of a kind sends after the start of a head.

    A gateway has to end the connection of an ``endless`` form.
    """

    name: str
    clients: int
    pieces: Callable[[bytes], Pieces]
    endless: bool = False


def _chunk(data: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(data), data)


def _large_chunks(head: bytes) -> Pieces:
    yield b'%bTransfer-Encoding: chunked\r\n\r\n' % head
    whole, rest = divmod(MAX_BODY_BYTES - 1, _LARGE_CHUNK)
    yield from repeat(_chunk(bytes(_LARGE_CHUNK)), whole)
    yield _chunk(bytes(rest))


def _short_of_length(head: bytes) -> Pieces:
    yield b'%bContent-Length: %d\r\n\r\n' % (head, MAX_BODY_BYTES)
    yield bytes(MAX_BODY_BYTES - 1)


def _one_byte_chunks(head: bytes) -> Pieces:
    yield b'%bTransfer-Encoding: chunked\r\n\r\n' % head
    batch = _chunk(b'x') * _ONE_BYTE_BATCH
    yield from repeat(batch, _ONE_BYTE_CHUNKS // _ONE_BYTE_BATCH)


def _announced(head: bytes) -> Pieces:
    yield b'%bContent-Length: %d\r\n\r\n' % (head, _ANNOUNCED_BYTES)
    yield from repeat(bytes(_ENDLESS_PIECE), ENDLESS_BYTES // _ENDLESS_PIECE)


def _just_sent(head: bytes) -> Pieces:
    yield b'%bTransfer-Encoding: chunked\r\n\r\n' % head
    chunk = _chunk(bytes(_LARGE_CHUNK))
    yield from repeat(chunk, ENDLESS_BYTES // _LARGE_CHUNK)


def _large_heads(head: bytes) -> Pieces:
    yield head
    for number in range(_FIELDS):
        yield b'X-%d: %b\r\n' % (number, b'x' * _FIELD_BYTES)


def _endless_field(head: bytes) -> Pieces:
    yield b'%bX-Long: ' % head
    yield from repeat(b'x' * _ENDLESS_PIECE, ENDLESS_BYTES // _ENDLESS_PIECE)


def _empty_lines(head: bytes) -> Pieces:
    lines = b'\r\n' * (_ENDLESS_PIECE // 2)
    yield from repeat(lines, ENDLESS_BYTES // _ENDLESS_PIECE)


FORMS = (
    Form('large-chunks', 64, _large_chunks),
    Form('short-of-length', 64, _short_of_length),
    Form('one-byte-chunks', 64, _one_byte_chunks),
    Form('announced', 96, _announced, endless=True),
    Form('just-sent', 96, _just_sent, endless=True),
    Form('large-heads', 16, _large_heads),
    Form('endless-field', 8, _endless_field, endless=True),
    Form('empty-lines', 8, _empty_lines, endless=True),
)


class Client:
    """One connection that sends the pieces of a form and stays open."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pieces: Pieces,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._pieces = pieces

    async def send(self) -> None:
        """Send all pieces, until the gateway ends the connection."""
        with suppress(ConnectionError):
            for piece in self._pieces:
                self._writer.write(piece)
                await self._writer.drain()

    async def is_cut(self) -> bool:
        """Return whether the gateway has ended the connection."""
        try:
            async with asyncio.timeout(_POLL_S):
                await self._reader.read()
        except TimeoutError:
            return False
        except ConnectionError:
            return True
        return True

    def close(self) -> None:
        """Close the connection."""
        self._writer.transport.abort()


@asynccontextmanager
async def crowd(
    endpoint: str, head: bytes, *forms: Form
) -> AsyncIterator[dict[str, list[Client]]]:
    """Let all clients of the forms send; yield them once they have sent.

    Clients that the gateway keeps from sending wait from then on.
    """
    clients = {
        form.name: [
            await _connect(endpoint, form.pieces(head))
            for _ in range(form.clients)
        ]
        for form in forms
    }
    senders = [
        asyncio.create_task(client.send())
        for client in chain.from_iterable(clients.values())
    ]
    try:
        await asyncio.wait(senders, timeout=_SENT_TIMEOUT_S)
        yield clients
    finally:
        await _stop(senders)
        for client in chain.from_iterable(clients.values()):
            client.close()


async def _stop(senders: list[asyncio.Task[None]]) -> None:
    for sender in senders:
        sender.cancel()
    await asyncio.gather(*senders, return_exceptions=True)


async def _connect(endpoint: str, pieces: Pieces) -> Client:
    host, _, port = endpoint.rpartition(':')
    connection = await asyncio.open_connection(host, int(port))
    return Client(*connection, pieces)


def open_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(Path(f'/proc/{pid}/fd').iterdir()))


def resident_bytes(pid: int, field: str = 'VmRSS') -> int:
    """Return the resident memory of a process, or its peak (``VmHWM``)."""
    lines = Path(f'/proc/{pid}/status').read_text(encoding='ascii').split('\n')
    line = next(line for line in lines if line.startswith(f'{field}:'))
    return int(line.split()[1]) * KIB
