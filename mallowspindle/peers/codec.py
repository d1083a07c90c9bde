"""The registry of messages between entry VMs."""

from dataclasses import dataclass

from mallowspindle.utils.codec import Codec

peer_codec = Codec('peer message')


@peer_codec.register('error')
@dataclass(frozen=True, slots=True)
class ErrorReply:
    """The peer could not handle a message."""

    text: str


@peer_codec.register('ok')
@dataclass(frozen=True, slots=True)
class OkReply:
    """The message was handled; there is nothing to say."""
