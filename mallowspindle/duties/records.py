"""Records of the stream that decides which node holds the duties."""

from dataclasses import dataclass

from mallowspindle.utils.codec import Codec

DUTIES_STREAM = 'duties'
duties_codec = Codec('duty record')


@dataclass(frozen=True, slots=True)
class WrittenIn:
    """The era of the log in which a record was written, and the Unix time.

    The log came back to this era before ``at_s``.
    """

    era: int
    at_s: float


@duties_codec.register('claim')
@dataclass(frozen=True, slots=True)
class Claim:
    """A node claims the lease; the record's offset is its fencing number.

    ``written`` is None if the writer's time of day is not certain yet.
    """

    holder: str
    incarnation: int
    written: WrittenIn | None = None


@duties_codec.register('renewal')
@dataclass(frozen=True, slots=True)
class Renewal:
    """The holder renews the lease."""

    fencing_number: int
    written: WrittenIn | None = None


@duties_codec.register('release')
@dataclass(frozen=True, slots=True)
class Release:
    """The holder releases the lease; any node may claim it at once."""

    fencing_number: int


@duties_codec.register('usage')
@dataclass(frozen=True, slots=True)
class UsageReport:
    """The counts of a window, logged before they are sent.

    Every holder sends exactly these counts. Older builds give no ``written``.
    """

    fencing_number: int
    window: int
    counts: dict[str, int]
    written: WrittenIn | None = None


DutyRecord = Claim | Renewal | Release | UsageReport
