"""Report of the costs in the log, with sums by partner and request."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from mallowspindle.effects.records import CallOutcome, effects_codec
from mallowspindle.ledger.errors import LedgerError
from mallowspindle.ledger.records import (
    LEDGER_STREAM,
    LedgerEntry,
    ledger_codec,
)
from mallowspindle.log.errors import LogError, RecordsExpired
from mallowspindle.native.log import LogClient
from mallowspindle.utils.codec import CodecError


@dataclass(slots=True)
class LedgerReport:
    """Ledger entries by id, each counted once, and sums of their costs."""

    entries: dict[str, LedgerEntry] = field(default_factory=dict)

    def add(self, entries: Iterable[LedgerEntry]) -> None:
        """Add entries; later ones with the same id are ignored."""
        for entry in entries:
            self.entries.setdefault(entry.entry_id, entry)

    def total_micro(self) -> int:
        """Return the sum of all costs."""
        return sum(entry.amount_micro for entry in self.entries.values())

    def by_partner(self) -> dict[str, int]:
        """Return the sum of the costs of each partner."""
        sums: Counter[str] = Counter()
        for entry in self.entries.values():
            sums.update(entry.parts)
        return dict(sums)

    def by_request(self) -> dict[str, int]:
        """Return the sum of the costs of each request."""
        sums: Counter[str] = Counter()
        for entry in self.entries.values():
            sums[entry.request_id] += entry.amount_micro
        return dict(sums)

    def recomputed_tokens(self) -> int:
        """Return the number of prompt tokens computed again after losses."""
        return sum(
            entry.tokens
            for entry in self.entries.values()
            if entry.kind == 'recompute'
        )

    def explain(self, identifier: str) -> list[LedgerEntry]:
        """Return the entries whose request, attempt or entry id this is."""
        return [
            entry
            for entry in self.entries.values()
            if identifier
            in {entry.entry_id, entry.request_id, entry.attempt_id}
        ]


async def read_report(
    log_client: LogClient, effects_streams: int
) -> LedgerReport:
    """Read the ledger stream and the costs in the outcomes of calls.

    Raises ``LedgerError`` if the log can't be read.
    """
    report = LedgerReport()
    try:
        for payload in await _read_payloads(log_client, LEDGER_STREAM):
            report.add(_decode_entries(payload))
        for index in range(effects_streams):
            for payload in await _read_payloads(log_client, f'effects-{index}'):
                report.add(_decode_outcomes(payload))
    except LogError as error:
        raise LedgerError(f'the ledger was not read: {error}') from error
    return report


async def first_offset(log_client: LogClient, stream: str) -> int:
    """Return the oldest offset of a stream that the log still has."""
    try:
        page = await log_client.read(stream, 0)
    except RecordsExpired as expired:
        return expired.first_offset
    return page.first_offset


async def _read_payloads(log_client: LogClient, stream: str) -> list[bytes]:
    first = await first_offset(log_client, stream)
    page = await log_client.read_to_end(stream, first)
    return [record.payload for record in page.records]


def _decode_entries(payload: bytes) -> list[LedgerEntry]:
    try:
        return ledger_codec.decode_all(payload)
    except CodecError:
        return []


def _decode_outcomes(payload: bytes) -> list[LedgerEntry]:
    try:
        records = effects_codec.decode_all(payload)
    except CodecError:
        return []
    return [
        record.cost
        for record in records
        if isinstance(record, CallOutcome) and record.cost is not None
    ]
