"""Log record of the evidence against a part of a prompt."""

from dataclasses import dataclass

from mallowspindle.sharing.messages import PartEvidence
from mallowspindle.utils.codec import Codec, CodecError

quarantine_codec = Codec('quarantine record')


@quarantine_codec.register('refused-part')
@dataclass(frozen=True, slots=True)
class RefusedPart:
    """The crashes of a refused part, by crash, as Unix time in ms."""

    crashes: dict[str, int]


def encode_evidence(evidence: PartEvidence) -> bytes:
    """Return the record of the evidence against a refused part."""
    return quarantine_codec.encode(RefusedPart(evidence.crashes))


def decode_evidence(value: bytes) -> PartEvidence:
    """Return the evidence in a record; none if the record is unreadable."""
    try:
        record = quarantine_codec.decode(value)
    except CodecError:
        return PartEvidence({}, {})
    return PartEvidence(record.crashes, {})
