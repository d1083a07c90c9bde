"""Records of the ledger stream."""

from dataclasses import dataclass, field

from mallowspindle.utils.codec import Codec

LEDGER_STREAM = 'ledger'
ledger_codec = Codec('ledger record')


@ledger_codec.register('entry')
@dataclass(frozen=True, slots=True)
class LedgerEntry:
    """One cost, in millionths of the currency, and its parts by partner.

    ``kind`` is prompt, recompute, tokens or call. ``entry_id`` is derived from
    the attempt, so that an entry written twice is counted once.
    """

    entry_id: str
    kind: str
    request_id: str
    attempt_id: str
    organisation: str
    subject: str
    vm_id: str
    version: int
    tokens: int
    cached_tokens: int
    amount_micro: int
    at_s: float
    parts: dict[str, int] = field(default_factory=dict)
