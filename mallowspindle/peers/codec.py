"""Codec of the messages between entry VMs."""

from dataclasses import dataclass

from mallowspindle.utils.codec import Codec

peer_codec = Codec('peer message')


@peer_codec.register('error')
@dataclass(frozen=True, slots=True)
class ErrorReply:
    """Reply to a message that the peer could not handle."""

    text: str


@peer_codec.register('ok')
@dataclass(frozen=True, slots=True)
class OkReply:
    """Empty reply to a message that was handled."""
