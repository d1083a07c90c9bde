"""Length-prefixed msgpack frames."""

from asyncio import IncompleteReadError, StreamReader, StreamWriter
from typing import Any

from mallowspindle.peers.errors import PeerError
from mallowspindle.utils.codec import CodecError, pack, unpack

LENGTH_BYTES = 4


class FrameStream:
    """Reads and writes frames, counting bytes for the control budget."""

    def __init__(
        self, reader: StreamReader, writer: StreamWriter, max_bytes: int
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._max_bytes = max_bytes

    async def read(self, max_bytes: int = 0) -> Any:
        """Return the next frame's value; ``PeerError`` when it is unusable."""
        limit = max_bytes or self._max_bytes
        try:
            prefix = await self._reader.readexactly(LENGTH_BYTES)
            length = int.from_bytes(prefix)
            if length > limit:
                raise PeerError(f'frame of {length} bytes, limit {limit}')
            return unpack(await self._reader.readexactly(length))
        except (IncompleteReadError, OSError, CodecError) as error:
            raise PeerError(f'connection lost: {error}') from error

    @property
    def queued_bytes(self) -> int:
        """Bytes that wait in this process."""
        return self._writer.transport.get_write_buffer_size()

    async def write(self, value: Any) -> int:
        """Send one frame and return its size in bytes."""
        size = self.put(value)
        await self.drain()
        return size

    def put(self, value: Any) -> int:
        """Queue one frame for sending and return its size in bytes."""
        payload = pack(value)
        if len(payload) > self._max_bytes:
            raise PeerError(f'frame of {len(payload)} bytes is over the limit')
        if self._writer.is_closing():
            raise PeerError('connection lost: it is closed')
        self._writer.write(len(payload).to_bytes(LENGTH_BYTES) + payload)
        return LENGTH_BYTES + len(payload)

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
        """Close the connection at once; what is not sent yet is dropped."""
        self._writer.transport.abort()
