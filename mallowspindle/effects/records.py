"""Records of the effects streams."""

from dataclasses import dataclass

from mallowspindle.ledger.records import LedgerEntry
from mallowspindle.utils.codec import Codec
from mallowspindle.utils.identifiers import bucket_of

effects_codec = Codec('effects record')


@dataclass(frozen=True, slots=True)
class CallKey:
    """What makes two calls the same call."""

    organisation: str
    service: str
    key: str

    def __str__(self) -> str:
        return f'{self.organisation}/{self.service}/{self.key}'


@effects_codec.register('claim')
@dataclass(frozen=True, slots=True)
class Claim:
    """``node`` asks for the right to run the call.

    A claim that is carried forward keeps its id and is marked so.
    """

    key: CallKey
    claim_id: str
    node: str
    at_s: float
    carried: bool = False


@effects_codec.register('release')
@dataclass(frozen=True, slots=True)
class Release:
    """The claim was given up: nothing was sent on it, or ever will be."""

    key: CallKey
    claim_id: str


@effects_codec.register('outcome')
@dataclass(frozen=True, slots=True)
class CallOutcome:
    """How the call ended; ``unknown`` says why that is not known."""

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
    """An operator's finding about a call with an unknown outcome."""

    key: CallKey
    claim_id: str
    ran: bool
    evidence: str
    author: str
    at_s: float


EffectsRecord = Claim | Release | CallOutcome | Resolution


def stream_of(key: CallKey, streams: int) -> str:
    """Return the name of the stream that holds the key's records."""
    return f'effects-{bucket_of(str(key), streams)}'
