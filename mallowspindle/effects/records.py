"""Records of the effects streams."""

from dataclasses import dataclass

from mallowspindle.ledger.records import LedgerEntry
from mallowspindle.utils.codec import Codec
from mallowspindle.utils.identifiers import bucket_of

effects_codec = Codec('effects record')


@dataclass(frozen=True, slots=True)
class CallKey:
    """Identifies a call: calls with equal keys are one call."""

    organisation: str
    service: str
    key: str

    def __str__(self) -> str:
        return f'{self.organisation}/{self.service}/{self.key}'


@effects_codec.register('claim')
@dataclass(frozen=True, slots=True)
class Claim:
    """A request of ``node`` for the right to run the call.

    A claim that is appended again before it expires keeps its id and has
    ``carried`` set.
    """

    key: CallKey
    claim_id: str
    node: str
    at_s: float
    carried: bool = False


@effects_codec.register('release')
@dataclass(frozen=True, slots=True)
class Release:
    """Withdraws a claim: no server ran the call for it, or ever will."""

    key: CallKey
    claim_id: str


@effects_codec.register('outcome')
@dataclass(frozen=True, slots=True)
class CallOutcome:
    """The result of a call; ``unknown`` is the reason if it is not known."""

    key: CallKey
    claim_id: str
    status: int = 0
    content_type: str = ''
    body: bytes = b''
    unknown: str = ''
    cost: LedgerEntry | None = None


@effects_codec.register('resolution')
@dataclass(frozen=True, slots=True)
class Resolution:
    """An operator's finding whether a call with unknown outcome ran."""

    key: CallKey
    claim_id: str
    ran: bool
    evidence: str
    author: str
    at_s: float


EffectsRecord = Claim | Release | CallOutcome | Resolution


def stream_name_of(key: CallKey, streams: int) -> str:
    """Return the name of the stream that holds the key's records."""
    return f'effects-{bucket_of(str(key), streams)}'
