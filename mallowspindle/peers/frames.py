"""Length-prefixed msgpack frames."""

from asyncio import IncompleteReadError, StreamReader, StreamWriter
from typing import Any

from mallowspindle.peers.backlog import limit_unsent, unsent_bytes
from mallowspindle.peers.errors import PeerError
from mallowspindle.utils.codec import CodecError, pack, unpack

LENGTH_PREFIX_BYTES = 4


class FrameStream:
    """Reads and writes frames.

    Writing returns a frame's size for the budget of control traffic.
    """

    def __init__(
        self, reader: StreamReader, writer: StreamWriter, max_bytes: int
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._max_bytes = max_bytes

    async def read(self, max_bytes: int = 0) -> Any:
        """Read and decode one frame; raise ``PeerError`` if it is invalid."""
        limit = max_bytes or self._max_bytes
        try:
            prefix = await self._reader.readexactly(LENGTH_PREFIX_BYTES)
            length = int.from_bytes(prefix)
            if length > limit:
                raise PeerError(
                    f'frame of {length} bytes exceeds the limit of {limit}'
                )
            return unpack(await self._reader.readexactly(length))
        except (IncompleteReadError, OSError, CodecError) as error:
            raise PeerError(f'connection lost: {error}') from error

    async def read_numbered(self) -> tuple[int, list[Any]]:
        """Read one frame; return the call number and the rest of it."""
        match await self.read():
            case [int() as number, *message]:
                return number, message
            case frame:
                raise PeerError(
                    'malformed frame: expected a list that begins with a call '
                    f'number, found {type(frame).__name__}'
                )

    @property
    def queued_bytes(self) -> int:
        """Bytes buffered in this process that are still to be sent."""
        return self._writer.transport.get_write_buffer_size()

    def limit_unsent(self) -> None:
        """Bound the bytes that wait here and in the kernel to be sent."""
        limit_unsent(self._writer.transport)

    @property
    def unsent_bytes(self) -> int:
        """Bytes buffered in this process and in the kernel."""
        return unsent_bytes(self._writer.transport)

    async def write(self, value: Any) -> int:
        """Send one frame and return its size in bytes."""
        size = self.enqueue(value)
        await self.drain()
        return size

    def enqueue(self, value: Any) -> int:
        """Queue one frame for sending and return its size in bytes."""
        return self.enqueue_encoded(pack(value))

    def enqueue_encoded(self, payload: bytes) -> int:
        """Queue one frame with an encoded list; return its size in bytes."""
        if len(payload) > self._max_bytes:
            raise PeerError(f'frame of {len(payload)} bytes exceeds the limit')
        if self._writer.is_closing():
            raise PeerError('connection lost: already closed')
        self._writer.write(len(payload).to_bytes(LENGTH_PREFIX_BYTES) + payload)
        return LENGTH_PREFIX_BYTES + len(payload)

    async def drain(self) -> None:
        """Wait until most of the queued frames are sent."""
        try:
            await self._writer.drain()
        except OSError as error:
            raise PeerError(f'connection lost: {error}') from error

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    def abort(self) -> None:
        """Close the connection at once and drop unsent bytes."""
        self._writer.transport.abort()
