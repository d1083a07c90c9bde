"""Reads a connection in small pieces, in turns with the others."""

import asyncio
import time
from collections.abc import Callable
from enum import Flag, auto
from typing import Any, cast

from mallowspindle.intake.turns import (
    READ_BYTES,
    SLICE_BYTES,
    TURN_S,
    ReadTurns,
)


class Pause(Flag):
    """Why nothing is read from a connection."""

    PROTOCOL = auto()
    TURN = auto()
    ROOM = auto()
    PIPELINE = auto()


_NO_PAUSE = Pause(0)
_NO_DATA = memoryview(b'')


class GatedTransport:
    """A transport that several parties may pause, each for its own reason.

    ``on_resume`` is called when at most turns still keep it paused.
    """

    def __init__(
        self, transport: asyncio.Transport, on_resume: Callable[[], None]
    ) -> None:
        self._transport = transport
        self._on_resume = on_resume
        self._pauses = _NO_PAUSE

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    @property
    def is_paused(self) -> bool:
        """Whether something that has arrived may be unread or unparsed."""
        return bool(self._pauses)

    @property
    def waits_for_turn_only(self) -> bool:
        """Whether nothing but the turns of others delays reading."""
        # Checked for each slice; operators of flags take 2 us each.
        return self._pauses is _NO_PAUSE or self._pauses is Pause.TURN

    def pause_reading(self) -> None:
        """Pause for the protocol."""
        self.pause(Pause.PROTOCOL)

    def resume_reading(self) -> None:
        """Resume for the protocol."""
        self.resume(Pause.PROTOCOL)

    def pause(self, reason: Pause) -> None:
        """Read nothing until ``reason`` has gone."""
        if not self._pauses and not self._transport.is_closing():
            self._transport.pause_reading()
        self._pauses |= reason

    def resume(self, reason: Pause) -> None:
        """Read again unless there is another reason not to."""
        if reason not in self._pauses:
            return
        self._pauses &= ~reason
        if reason != Pause.TURN and self.waits_for_turn_only:
            self._on_resume()
        if not self._pauses and not self._transport.is_closing():
            self._transport.resume_reading()


class TurnReader(asyncio.BufferedProtocol):
    """Passes what it reads on to a protocol, a slice at a time.

    What is not passed on yet is at most one read; more stays in the kernel.
    ``on_costly`` is called if parsing has taken much time, while many others
    wait for turns.
    """

    def __init__(
        self,
        protocol: asyncio.Protocol,
        turns: ReadTurns,
        on_costly: Callable[[], None] | None = None,
    ) -> None:
        self._protocol = protocol
        self._turns = turns
        self._on_costly = on_costly
        self._cost_s = 0.0
        self._unparsed = _NO_DATA
        self._queued = False
        self._gate: GatedTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect the protocol."""
        gate = self.attach(transport)
        self._protocol.connection_made(cast(asyncio.BaseTransport, gate))

    def attach(self, transport: asyncio.BaseTransport) -> GatedTransport:
        """Return the transport for a protocol that is connected already."""
        self._gate = GatedTransport(
            cast(asyncio.Transport, transport), self._continue_unparsed
        )
        return self._gate

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the protocol, and drop what it has not read."""
        self._unparsed = _NO_DATA
        self._gate = None
        self._protocol.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer, which all connections share."""
        return self._turns.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what has been read."""
        if nbytes <= SLICE_BYTES and not (self._on_costly or self._unparsed):
            # The event of a stream needs no turn, and its cost does not count.
            self._protocol.data_received(bytes(self._turns.buffer[:nbytes]))
            return
        self._turns.note_read(nbytes)
        self._unparsed = memoryview(bytes(self._turns.buffer[:nbytes]))
        self._pass_on()
        if nbytes == READ_BYTES and self._turns.is_busy:
            self._wait_for_turn()

    def eof_received(self) -> bool | None:
        """Tell the protocol."""
        return self._protocol.eof_received()

    def pause_writing(self) -> None:
        """Tell the protocol."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Tell the protocol."""
        self._protocol.resume_writing()

    def take_turn(self, max_cost_s: float) -> None:
        """Pass on more, and read again once all has been passed on."""
        self._queued = False
        if self._gate is None:
            return
        if self._cost_s > max_cost_s and self._on_costly:
            self._cost_s = 0
            self._on_costly()
        self._pass_on()
        if self._gate is not None and not self._queued and not self._unparsed:
            self._gate.resume(Pause.TURN)

    def _pass_on(self) -> None:
        """Pass on slices until the turn ends or the protocol pauses."""
        began_at_s = time.thread_time()
        now_s = began_at_s
        while self._unparsed and self._gate is not None:
            if not self._gate.waits_for_turn_only:
                self._gate.pause(Pause.TURN)
                return
            piece = bytes(self._unparsed[:SLICE_BYTES])
            self._unparsed = self._unparsed[SLICE_BYTES:]
            self._protocol.data_received(piece)
            self._cost_s -= now_s
            now_s = time.thread_time()
            self._cost_s += now_s
            if self._unparsed and now_s - began_at_s > TURN_S:
                self._wait_for_turn()
                return

    def _wait_for_turn(self) -> None:
        if self._gate is not None and not self._queued:
            self._gate.pause(Pause.TURN)
            self._queued = True
            self._turns.wait(self)

    def _continue_unparsed(self) -> None:
        if self._unparsed:
            self._wait_for_turn()
