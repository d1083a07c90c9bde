"""Messages of the streams service."""

from dataclasses import dataclass
from typing import NamedTuple

from mallowspindle.peers.codec import peer_codec


class StreamKey(NamedTuple):
    """A stream by the request whose response brought its first event.

    Request ids belong to their organisation, so another one's query finds
    nothing.
    """

    organisation: str
    request_id: str


@peer_codec.register('stream-begun')
@dataclass(frozen=True, slots=True)
class StreamBegun:
    """A server of ``service`` and ``software_version`` has begun a stream."""

    key: StreamKey
    service: str
    software_version: str


@peer_codec.register('stream-query')
@dataclass(frozen=True, slots=True)
class StreamQuery:
    """Question which software version began a stream.

    The reply is ``StreamBegun``, or ``OkReply`` if the node does not know.
    """

    key: StreamKey
