"""Log records of begun streams and of the software versions that served."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import groupby
from operator import attrgetter

from xxhash import xxh3_64_digest

from mallowspindle.streams.messages import StreamBegun, StreamKey
from mallowspindle.utils.codec import Codec

streams_codec = Codec('stream record')

_DIGEST_BYTES = 8


@streams_codec.register('streams-begun')
@dataclass(frozen=True, slots=True)
class StreamsBegun:
    """Streams that servers of one service and software version have begun.

    ``digests`` has eight bytes of each stream's key.
    """

    service: str
    software_version: str
    digests: bytes


@streams_codec.register('software-versions')
@dataclass(frozen=True, slots=True)
class ServedVersions:
    """By service and software version, the seconds since it last served."""

    ages_s: dict[str, dict[str, float]]


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The service and software version that began a stream."""

    service: str
    software_version: str


def digest_of(key: StreamKey) -> bytes:
    """Return the digest that stands for a stream in records."""
    return xxh3_64_digest('\0'.join(key).encode())


def records_of(streams: Iterable[StreamBegun]) -> list[StreamsBegun]:
    """Return the records of streams, one for each service and version.

    Of several streams with the same key, the last one counts.
    """
    latest = {begun.key: begun for begun in streams}
    origin = attrgetter('service', 'software_version')
    return [
        StreamsBegun(
            *group, b''.join(digest_of(begun.key) for begun in members)
        )
        for group, members in groupby(
            sorted(latest.values(), key=origin), key=origin
        )
    ]


def origins_in(record: StreamsBegun) -> Iterator[tuple[bytes, StreamOrigin]]:
    """Return the digest and the origin of each stream of a record."""
    origin = StreamOrigin(record.service, record.software_version)
    for start in range(0, len(record.digests), _DIGEST_BYTES):
        yield record.digests[start : start + _DIGEST_BYTES], origin
