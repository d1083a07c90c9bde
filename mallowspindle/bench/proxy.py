"""A TCP proxy that shows the faults of a network."""

import asyncio
from enum import StrEnum
from typing import Self

_CHUNK_BYTES = 65_536


class FaultMode(StrEnum):
    """What the proxy does with connections and bytes.

    ``CUT`` closes and refuses connections, ``FREEZE`` keeps them open and
    passes nothing, ``DROP_ANSWERS`` passes requests and cuts the connection
    where the answer would begin.
    """

    PASS = 'pass'
    CUT = 'cut'
    FREEZE = 'freeze'
    DROP_ANSWERS = 'drop_answers'


class FaultProxy:
    """Passes bytes between clients and one target."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._mode = FaultMode.PASS
        self._delay_s = 0.0
        self._cut_answer_after = -1
        self._passed_bytes = 0
        self._accepted = 0
        self._silent_through = 0
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @classmethod
    async def start(cls, target: str) -> Self:
        """Listen on a port of its own in front of ``host:port``."""
        proxy = cls(target)
        proxy._server = await asyncio.start_server(proxy._serve, '127.0.0.1', 0)
        return proxy

    @property
    def address(self) -> str:
        """The ``host:port`` that clients should use."""
        if self._server is None:
            return ''
        port = self._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    @property
    def url(self) -> str:
        """The URL that clients should use."""
        return f'http://{self.address}'

    @property
    def passed_bytes(self) -> int:
        """Bytes passed so far, both ways."""
        return self._passed_bytes

    @property
    def accepted_connections(self) -> int:
        """Connections accepted so far."""
        return self._accepted

    def blackhole_open_connections(self) -> None:
        """Pass nothing on the present connections any more, for good."""
        self._silent_through = self._accepted

    def switch_mode(self, mode: FaultMode, delay_s: float = 0) -> None:
        """Change the fault; open connections are affected, too."""
        self._mode = mode
        self._delay_s = delay_s
        if mode == FaultMode.FREEZE:
            self._thawed.clear()
        else:
            self._thawed.set()
        if mode == FaultMode.CUT:
            self._close_all()

    def cut_answer_after(self, count: int) -> None:
        """Cut each connection after ``count`` bytes of the answer; -1 never."""
        self._cut_answer_after = count

    async def stop(self) -> None:
        """Close everything."""
        self._thawed.set()
        self._close_all()
        if self._server is not None:
            self._server.close()

    def _close_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._mode == FaultMode.CUT:
            writer.transport.abort()
            return
        self._accepted += 1
        number = self._accepted
        host, port = self._target.rsplit(':', 1)
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, upstream[1]))
        await asyncio.gather(
            self._pump(number, reader, upstream[1], answer=False),
            self._pump(number, upstream[0], writer, answer=True),
        )
        self._writers.difference_update((writer, upstream[1]))

    async def _pump(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answer: bool,
    ) -> None:
        passed = 0
        try:
            while data := await self._next(number, reader):
                await asyncio.sleep(self._delay_s)
                if answer and self._mode == FaultMode.DROP_ANSWERS:
                    break
                allowed = self._allowed(data, passed, answer=answer)
                writer.write(allowed)
                await writer.drain()
                passed += len(allowed)
                self._passed_bytes += len(allowed)
                if len(allowed) < len(data):
                    break
        except OSError:
            writer.transport.abort()
        finally:
            writer.close()

    async def _next(self, number: int, reader: asyncio.StreamReader) -> bytes:
        """Return what a connection passes next; nothing at its end."""
        while data := await reader.read(_CHUNK_BYTES):
            await self._thawed.wait()
            if number > self._silent_through:
                return data
        return b''

    def _allowed(self, data: bytes, passed: int, *, answer: bool) -> bytes:
        if not answer or self._cut_answer_after < 0:
            return data
        return data[: max(0, self._cut_answer_after - passed)]
