"""A plain HTTP/1.1 reader and a client on one connection."""

import asyncio
from dataclasses import dataclass, field


class Ended(Exception):
    """The other end closed the connection within a message."""


@dataclass(slots=True)
class Message:
    """A request or response; ``start`` is its first line."""

    start: str
    headers: dict[str, str]
    body: bytes = b''
    complete: bool = True
    problem: str = ''

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split(' ')[1])


@dataclass(slots=True)
class Connection:
    """One connection to a VM."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    sent: list[str] = field(default_factory=list)

    @classmethod
    async def open(cls, address: str) -> 'Connection':
        """Connect to ``host:port``."""
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        return cls(reader, writer)

    async def send(self, data: bytes) -> None:
        """Write bytes."""
        self.writer.write(data)
        await self.writer.drain()

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of the next message; None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if not error.partial.strip():
            return None
        raise Ended(f'within a head: {error.partial[:200]!r}') from error
    lines = raw.decode('latin-1').lstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    return Message(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of a message; note where it breaks off."""
    try:
        if message.headers.get('transfer-encoding', '') == 'chunked':
            await _read_chunks(reader, message)
        elif 'content-length' in message.headers:
            length = int(message.headers['content-length'])
            message.body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
        message.complete = False
        message.problem = 'the connection ended within the body'
    except (ConnectionError, Ended) as error:
        message.complete = False
        message.problem = str(error) or repr(error)


async def _read_chunks(reader: asyncio.StreamReader, message: Message) -> None:
    while True:
        line = await reader.readuntil(b'\r\n')
        try:
            size = int(line.strip(), 16)
        except ValueError:
            message.complete = False
            message.problem = f'no chunk but {line!r}'
            return
        if size == 0:
            await reader.readuntil(b'\r\n')
            return
        message.body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next whole message; None at the end."""
    message = await read_head(reader)
    if message is not None:
        await read_body(reader, message)
    return message


def request_bytes(
    method: str, path: str, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Return a request with a length."""
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 20.0,
) -> Message | None:
    """Send one request on a new connection; None if there is no answer."""
    try:
        async with asyncio.timeout(timeout_s):
            connection = await Connection.open(address)
            try:
                await connection.send(
                    request_bytes(method, path, headers, body)
                )
                return await read_message(connection.reader)
            finally:
                connection.close()
    except (OSError, TimeoutError, Ended, asyncio.IncompleteReadError):
        return None
