"""How long messages are on their way, so that the ages in them stay true.

A message may wait for seconds in the queue of a link or of a node. The clocks
of two nodes have nothing in common, but each node knows when it sent the time
that the other one had received before it sent a message.
"""

from dataclasses import replace
from typing import Annotated, Any, NamedTuple, Self

from pydantic import Field, TypeAdapter, ValidationError

from mallowspindle.utils.clock import boot_clock_s
from mallowspindle.utils.codec import CodecError

_MS = 1000
# The clocks of two nodes may drift apart by this fraction.
_MAX_DRIFT = 0.001
# About 34 years.
_MAX_MS = 1 << 40

Milliseconds = Annotated[int, Field(strict=True, ge=0, le=_MAX_MS)]


class DatedMessage:
    """A message with an age in seconds, ``age_s``, which grows on the way."""

    __slots__ = ()

    @property
    def is_dated(self) -> bool:
        """Whether anything in the message depends on its age."""
        return True

    def older_by(self, delay_s: float) -> Self:
        """Return the message as it reads ``delay_s`` later."""
        age_s = self.age_s + delay_s  # type: ignore[attr-defined]
        return replace(self, age_s=age_s)  # type: ignore[type-var]


def aged(message: Any, delay_s: float) -> Any:
    """Return a message that was on its way for ``delay_s`` at most."""
    if isinstance(message, DatedMessage):
        return message.older_by(delay_s)
    return message


class Stamp(NamedTuple):
    """When a message was sent, in milliseconds of the connection's two ends.

    At ``received_at_ms``, the sender had read the receiver's time ``peer_ms``.
    The message was made ``waited_ms`` before it was sent.
    """

    sent_ms: Milliseconds
    waited_ms: Milliseconds
    peer_ms: Milliseconds
    received_at_ms: Milliseconds


_stamp = TypeAdapter(Stamp)
_milliseconds = TypeAdapter(Milliseconds)


class PeerTime(NamedTuple):
    """A time of the peer, and the own time at which it was read."""

    peer_ms: int
    received_at_ms: int


class ConnectionClock:
    """The time of one end of a connection, since it was opened.

    It also runs while the VM is suspended.
    """

    def __init__(self) -> None:
        self._opened_at_s = boot_clock_s()

    def now_ms(self) -> int:
        """Return the milliseconds since the connection was opened."""
        return int((boot_clock_s() - self._opened_at_s) * _MS)


class TransitBound:
    """Upper bound of the time that the messages of a connection take."""

    def __init__(self, clock: ConnectionClock) -> None:
        self._clock = clock
        # The own time at the begin of the peer's time is this at the least, as
        # found at ``_found_at_ms``.
        self._offset_ms = float('-inf')
        self._found_at_ms = 0

    def delay_s(self, wire_stamp: Any) -> float:
        """Return the seconds since a message was made, at the most.

        Raise ``CodecError`` if its stamp is invalid.
        """
        try:
            stamp = _stamp.validate_python(wire_stamp)
        except ValidationError as error:
            raise CodecError('invalid stamp of a message') from error
        now_ms = self._clock.now_ms()
        if stamp.peer_ms > now_ms:
            raise CodecError('stamp of a message with a time to come')
        known_for_ms = now_ms - self._found_at_ms
        told_for_ms = max(0, stamp.sent_ms - stamp.received_at_ms)
        self._offset_ms = max(
            self._offset_ms - known_for_ms * _MAX_DRIFT,
            stamp.peer_ms - stamp.received_at_ms - told_for_ms * _MAX_DRIFT,
        )
        self._found_at_ms = now_ms
        sent_at_ms = stamp.sent_ms + self._offset_ms
        return (max(0, now_ms - sent_at_ms) + stamp.waited_ms) / _MS


def read_peer_time(wire_time: Any, clock: ConnectionClock) -> PeerTime:
    """Return a time of the peer; raise ``CodecError`` if it is none."""
    try:
        peer_ms = _milliseconds.validate_python(wire_time)
    except ValidationError as error:
        raise CodecError('invalid time of a peer') from error
    return PeerTime(peer_ms, clock.now_ms())
