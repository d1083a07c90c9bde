"""Codec of the messages between entry VMs."""

from dataclasses import dataclass
from functools import cached_property

from mallowspindle.utils.codec import Codec

peer_codec = Codec('peer message')


class EncodedMessage:
    """A message that is encoded once, whatever the number of its receivers.

    A relay sends the same sum to each node of its zone several times a second.
    """

    def __init__(self, message: object) -> None:
        self._message = message

    @property
    def message(self) -> object:
        """The message itself."""
        return self._message

    @property
    def kind(self) -> str:
        """The name of the message's type."""
        return type(self._message).__name__

    @cached_property
    def parts(self) -> bytes:
        """The encoded tag and fields, as two items of a frame."""
        return peer_codec.encode_parts(self._message)


@peer_codec.register('error')
@dataclass(frozen=True, slots=True)
class ErrorReply:
    """Reply to a message that the peer could not handle."""

    text: str


@peer_codec.register('ok')
@dataclass(frozen=True, slots=True)
class OkReply:
    """Empty reply to a message that was handled."""
