"""Grants of retries as the log has them."""

from dataclasses import dataclass
from typing import Self

from mallowspindle.policies.grants import Grant
from mallowspindle.utils.codec import Codec, CodecError

_grants_codec = Codec('retry grants')


@_grants_codec.register('grants')
@dataclass(frozen=True, slots=True)
class GrantList:
    """All grants of one service that counted when the list was written.

    ``era`` is that of the log at that time: one of a former era may lack grants
    that were lost when the log came back from an older copy.
    """

    grants: list[Grant]
    era: int = 0

    def encode(self) -> bytes:
        """Return the record of the list."""
        return _grants_codec.encode(self)

    @classmethod
    def decode(cls, record: bytes) -> Self:
        """Return the list in a record; raise ``CodecError`` if malformed."""
        decoded = _grants_codec.decode(record)
        if not isinstance(decoded, cls):
            raise CodecError('expected a list of grants')
        return decoded
