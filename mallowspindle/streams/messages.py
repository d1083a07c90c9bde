"""Messages of the streams service."""

import math
from dataclasses import dataclass, replace
from typing import NamedTuple, Self

from mallowspindle.peers.codec import peer_codec
from mallowspindle.peers.transit import DatedMessage


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


@peer_codec.register('streams-to-log')
@dataclass(frozen=True, slots=True)
class LogStreams:
    """Request to log streams; the reply is ``StreamsLogged``."""

    streams: list[StreamBegun]


@peer_codec.register('streams-logged')
@dataclass(frozen=True, slots=True)
class StreamsLogged:
    """Which of the streams of a request the log has, in the same order.

    The others are about to be logged, and are lost if the node dies before.
    """

    logged: list[bool]


@peer_codec.register('versions-query')
@dataclass(frozen=True, slots=True)
class VersionsQuery:
    """Question which software versions have served lately."""


@peer_codec.register('versions-reply')
@dataclass(frozen=True, slots=True)
class VersionsReply(DatedMessage):
    """By service and software version, the seconds since it last served.

    ``complete`` tells that the node knows all of them, as of
    ``servers_age_s`` ago.
    """

    ages_s: dict[str, dict[str, float]]
    complete: bool
    servers_age_s: float = math.inf

    def older_by(self, delay_s: float) -> Self:
        """Return the reply as it reads later.

        Versions that seem to have served more recently are kept for longer.
        """
        return replace(self, servers_age_s=self.servers_age_s + delay_s)


@peer_codec.register('stream-query')
@dataclass(frozen=True, slots=True)
class StreamQuery:
    """Question which software version began a stream.

    The reply is ``StreamBegun``, or ``OkReply`` if the node does not know.
    """

    key: StreamKey
