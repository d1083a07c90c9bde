"""The lease of the duties: a claim on condition, renewed by appends."""

import logging
import time
from collections.abc import AsyncIterator, Callable

from mallowspindle.duties.ledger import DutyLedger, Tenure
from mallowspindle.duties.records import (
    DUTIES_STREAM,
    Claim,
    DutyRecord,
    Release,
    Renewal,
    duties_codec,
)
from mallowspindle.log.errors import (
    AppendConflict,
    LogError,
    RecordsExpired,
)
from mallowspindle.log.interface import Log
from mallowspindle.log.records import LogPage
from mallowspindle.sharing.messages import LeaseNews
from mallowspindle.utils.codec import CodecError

log = logging.getLogger(__name__)

# Parts of the lease: the holder renews after the first, and stops acting
# after the second unless it has renewed.
_RENEWED_AFTER = 0.4
_TRUSTED_FOR = 0.8
# Time beyond the lease after which others may claim.
_MARGIN_S = 0.3


def boot_clock_s() -> float:
    """Return a clock that also counts the time while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Lease:
    """This node's side of the lease.

    All records are appended only where this node has read everything, so an
    append that succeeds proves that nobody has claimed in between.
    """

    def __init__(
        self,
        source: Log,
        node: str,
        incarnation: int,
        lease_s: float,
        clock: Callable[[], float] = boot_clock_s,
    ) -> None:
        self._log = source
        self._node = node
        self._incarnation = incarnation
        self._lease_s = lease_s
        self._clock = clock
        self._ledger = DutyLedger()
        self._end: int | None = None
        self._shown_at_s = clock()
        self._renewed_at_s = 0.0
        self._held: Tenure | None = None
        self._own_released: int | None = None
        self._heard_released = -1

    @property
    def ledger(self) -> DutyLedger:
        """What the records say."""
        return self._ledger

    @property
    def held(self) -> Tenure | None:
        """This node's own tenure, while it may act on it."""
        if self._held is None or not self._is_trusted():
            return None
        return self._held

    @property
    def holds(self) -> bool:
        """Whether this node is the holder as far as it knows."""
        return self._held is not None

    @property
    def shown_age_s(self) -> float:
        """Seconds since the holder was last known to be there."""
        return self._clock() - self._shown_at_s

    def note_shown(self, fencing_number: int, age_s: float) -> None:
        """Take over from a peer that the holder was there ``age_s`` ago."""
        tenure = self._ledger.tenure
        known = -1 if tenure is None else tenure.fencing_number
        if fencing_number < known:
            return
        self._shown_at_s = max(self._shown_at_s, self._clock() - age_s)

    def note_released(self, fencing_number: int) -> None:
        """Take over from a peer that it has released the lease."""
        self._heard_released = max(self._heard_released, fencing_number)

    def note_alive(self, node: str, incarnation: int) -> None:
        """Take in that a peer runs; a restarted holder has let go."""
        tenure = self._ledger.tenure
        if tenure is None or tenure.holder != node:
            return
        if tenure.incarnation < incarnation:
            self.note_released(tenure.fencing_number)

    def news(self) -> LeaseNews | None:
        """Return what peers may rely on: the holder's own last renewal.

        A node that has read old records knows who holds the lease, but not
        since when; told on, that would put off the takeover.
        """
        if self._own_released is not None:
            return LeaseNews(self._node, self._own_released, 0, released=True)
        if self._held is None:
            return None
        age_s = self._clock() - self._renewed_at_s
        return LeaseNews(self._node, self._held.fencing_number, age_s)

    def may_claim(self, lead_s: float) -> bool:
        """Tell whether the lease has run out, for ``lead_s`` at least."""
        tenure = self._ledger.tenure
        if self._held is not None:
            return False
        if tenure is not None and self._is_own_past(tenure):
            return True
        if tenure is None or self._is_released(tenure):
            return self.shown_age_s >= lead_s
        return self.shown_age_s >= self._lease_s + _MARGIN_S + lead_s

    async def claim(self) -> bool:
        """Take over if nobody has shown up; tell whether it was done."""
        if await self.catch_up():
            return False
        claim = Claim(self._node, self._incarnation)
        offset = await self._append(claim)
        if offset is None:
            return False
        self._held = Tenure(self._node, self._incarnation, offset)
        log.info('duties taken over', extra={'fencing_number': offset})
        return True

    async def renew(self) -> None:
        """Renew in time; give up once another node has claimed."""
        if self._held is None:
            return
        age_s = self._clock() - self._renewed_at_s
        if age_s >= self._lease_s * _RENEWED_AFTER:
            await self._append(Renewal(self._held.fencing_number))

    async def append(self, record: DutyRecord) -> bool:
        """Append a record of the holder; tell whether it is logged."""
        if self._held is None:
            return False
        return await self._append(record) is not None

    async def release(self) -> None:
        """Let another node claim at once."""
        if self._held is None:
            return
        number = self._held.fencing_number
        try:
            await self._append(Release(number))
        except LogError as error:
            log.warning('duties not released', extra={'error': str(error)})
        else:
            self._own_released = number
        self.give_up('released')

    def give_up(self, reason: str, fencing_number: int | None = None) -> None:
        """Act no longer, if this is still the tenure that is meant."""
        if self._held is None:
            return
        if fencing_number in {None, self._held.fencing_number}:
            log.info('duties given up', extra={'reason': reason})
            self._held = None

    async def catch_up(self) -> bool:
        """Read on; tell whether a holder has shown itself meanwhile."""
        shown = False
        pages = [page async for page in self._pages()]
        for page in pages:
            folded = [
                self._fold(record.offset, record.payload)
                for record in page.records
            ]
            shown = shown or any(folded)
        if shown:
            self._shown_at_s = self._clock()
        self._check_tenure()
        return shown

    async def _pages(self) -> AsyncIterator[LogPage]:
        """Read up to the present end of the stream."""
        while True:
            try:
                page = await self._log.read(DUTIES_STREAM, self._end or 0)
            except RecordsExpired as error:
                self._end = error.first_offset
                continue
            self._end = page.next_offset
            yield page
            if page.next_offset >= page.end_offset:
                return

    async def _append(self, record: DutyRecord) -> int | None:
        """Append at the end that was read; None if others have appended."""
        if self._end is None:
            await self.catch_up()
        asked_at_s = self._clock()
        payload = duties_codec.encode(record)
        try:
            offset = await self._log.append(DUTIES_STREAM, [payload], self._end)
        except AppendConflict as error:
            log.info('duty record not appended', extra={'error': str(error)})
            await self.catch_up()
            return None
        self._fold(offset, payload)
        self._end = offset + 1
        self._renewed_at_s = asked_at_s
        self._shown_at_s = asked_at_s
        return offset

    def _fold(self, offset: int, payload: bytes) -> bool:
        try:
            record = duties_codec.decode(payload)
        except CodecError as error:
            log.error('duty record ignored', extra={'error': str(error)})
            return False
        return self._ledger.fold(offset, record)

    def _check_tenure(self) -> None:
        """Learn from the log that another node, or this one, holds it."""
        tenure = self._ledger.tenure
        if self._held is not None and tenure != self._held:
            self.give_up('another node has claimed')

    def _is_own_past(self, tenure: Tenure) -> bool:
        """Tell whether this node held the lease before it was restarted."""
        return (
            tenure.holder == self._node
            and tenure.incarnation < self._incarnation
        )

    def _is_released(self, tenure: Tenure) -> bool:
        heard = tenure.fencing_number <= self._heard_released
        return tenure.released or heard

    def _is_trusted(self) -> bool:
        age_s = self._clock() - self._renewed_at_s
        return age_s < self._lease_s * _TRUSTED_FOR
