"""The log's record of what is refused."""

import asyncio
import logging
from collections.abc import Callable

from mallowspindle.adapter import LogLayout
from mallowspindle.log.errors import LogError
from mallowspindle.log.interface import Log
from mallowspindle.policies.quarantine import Crashes
from mallowspindle.quarantine.records import decode_evidence, encode_evidence
from mallowspindle.sharing.messages import PartEvidence

log = logging.getLogger(__name__)

# Pause between two tries to reach the log, and the number of tries to write to
# it. The log is away for some seconds; meanwhile the peers keep the evidence.
_LOG_PAUSE_S = 1.0
_SAVE_TRIES = 60


class QuarantineStore:
    """The log's record of the parts and requests that are refused.

    A venture whose nodes all restart at the same time reads it.
    """

    def __init__(self, source: Log, layout: LogLayout) -> None:
        self._log = source
        self._layout = layout

    async def load(self) -> dict[str, PartEvidence]:
        """Return the logged evidence; raise ``LogError`` if it fails."""
        state = await self._log.read_latest(self._layout.quarantine_stream)
        return {
            record.key: decode_evidence(record.value)
            for record in state.records
            if record.value is not None
        }

    async def save(self, part_id: str, evidence: PartEvidence) -> None:
        """Log the evidence of a part; raise ``LogError`` if it fails."""
        value = encode_evidence(evidence) if evidence.crashes else b''
        record = self._layout.encode_keyed(part_id, value)
        await self._log.append(self._layout.quarantine_stream, [record])


async def save_when_reached(
    store: QuarantineStore, part_id: str, known_crashes: Callable[[], Crashes]
) -> None:
    """Log what is known of a part by the time the log takes it."""
    for _ in range(_SAVE_TRIES):
        try:
            return await store.save(
                part_id, PartEvidence(dict(known_crashes()), {})
            )
        except LogError as error:
            log.info(
                'quarantine not logged',
                extra={'part': part_id, 'error': str(error)},
            )
        await asyncio.sleep(_LOG_PAUSE_S)


async def load_when_reached(
    store: QuarantineStore,
) -> dict[str, PartEvidence]:
    """Return the logged evidence as soon as the log is reached."""
    while True:
        try:
            return await store.load()
        except LogError as error:
            log.info('quarantine not read', extra={'error': str(error)})
        await asyncio.sleep(_LOG_PAUSE_S)
