"""Client side of HTTP connections, with bounds on what a server sends."""

import asyncio
from typing import cast

from aiohttp import StreamReader
from aiohttp.client_proto import ResponseHandler

from mallowspindle.intake.reading import TurnReader
from mallowspindle.intake.turns import ReadTurns
from mallowspindle.proxy.faults import Fault, note_given_up

# Bytes of a body that a connection buffers, twice, before it pauses reading.
READ_BUFFER_BYTES = 8192
# What may arrive without a whole head, or without data of a body: chunk
# extensions and trailers. Heads of sound servers have up to some KB.
_MAX_IDLE_BYTES = 65_536
# Each is kept until the next one is read; sound servers send one or two.
_MAX_INTERIM_HEADS = 32
# What is dropped of late answers to other requests.
_MAX_STRAY_BYTES = 8_000_000


class BoundedProtocol(ResponseHandler):
    """A connection that is read in turns with the others.

    It is ended if it sends much that is neither a head nor data of a body.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, turns: ReadTurns
    ) -> None:
        super().__init__(loop)
        self._turns = turns
        self._response_received = True
        # What has arrived since data of the body was last looked for, and how
        # much of it there was.
        self._idle_bytes = 0
        self._body_bytes = 0
        self._interim_heads = 0
        # The body of an answer to another request.
        self._stray: StreamReader | None = None
        self._stray_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Read in turns from now on."""
        reader = TurnReader(self, self._turns)
        gate = reader.attach(transport)
        cast(asyncio.Transport, transport).set_protocol(reader)
        super().connection_made(cast(asyncio.BaseTransport, gate))

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, and count what is no data of a body."""
        super().data_received(data)
        if self._stray is not None:
            self._drop_stray(self._stray)
            return
        self._idle_bytes += len(data)
        if self._idle_bytes > _MAX_IDLE_BYTES:
            self._require_progress()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Parse and read on, if reading was paused.

        aiohttp calls this for each chunk of a body that is read; the parser
        would run each time.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def _expect_response(self) -> None:
        self._response_received = False
        self._idle_bytes = 0
        self._body_bytes = 0
        self._interim_heads = 0
        self._stray_bytes = 0

    def _note_head(self, status: int) -> bool:
        """Record a head; return whether the answer goes on."""
        self._stray = None
        self._response_received = status >= 200
        self._interim_heads += not self._response_received
        if self._interim_heads > _MAX_INTERIM_HEADS:
            self._give_up(Fault.HEAD)
            return False
        return True

    def _require_progress(self) -> None:
        """End the connection unless data of a body has arrived meanwhile."""
        body = self._payload if self._response_received else None
        body_bytes = body.total_bytes if body else 0
        if body_bytes == self._body_bytes:
            self._give_up(Fault.FRAMING if body else Fault.HEAD)
        self._body_bytes = body_bytes
        self._idle_bytes = 0

    def _drop_stray(self, stray: StreamReader) -> None:
        """Drop what has arrived of an answer to another request."""
        if stray.exception() is None:
            self._stray_bytes += len(stray.read_nowait())
        if stray.is_eof():
            self._stray = None
        if self._stray_bytes > _MAX_STRAY_BYTES:
            self._give_up(Fault.STRAY)

    def _give_up(self, fault: Fault) -> None:
        """End the connection, and the answer that is received on it."""
        transport = self.transport
        if transport is None or self._exception is not None:
            return
        error = note_given_up(fault)
        body = self._payload
        if self._response_received and body is not None:
            body.set_exception(error)
        self.set_exception(error)
        transport.abort()
