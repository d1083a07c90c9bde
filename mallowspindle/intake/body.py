"""Collects a body that arrives in pieces of any size."""

# Smaller pieces are merged: one byte as an object of its own takes 34.
_MIN_BLOCK_BYTES = 4096


class BodyBuffer:
    """Blocks of similar size, whose memory other bodies can use again."""

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        self._pieces = bytearray()
        self._size = 0

    @property
    def size(self) -> int:
        """The number of bytes so far."""
        return self._size

    def append(self, piece: bytes) -> None:
        """Add a piece at the end."""
        self._size += len(piece)
        if len(piece) >= _MIN_BLOCK_BYTES and not self._pieces:
            self._blocks.append(piece)
            return
        self._pieces += piece
        if len(self._pieces) >= _MIN_BLOCK_BYTES:
            self._blocks.append(bytes(self._pieces))
            self._pieces.clear()

    def clear(self) -> None:
        """Drop all bytes."""
        self._blocks.clear()
        self._pieces.clear()
        self._size = 0

    def join(self) -> bytes:
        """Return the whole body."""
        if not self._pieces and len(self._blocks) == 1:
            return self._blocks[0]
        return b''.join((*self._blocks, self._pieces))
