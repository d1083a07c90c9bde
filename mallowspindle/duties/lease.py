"""The lease of the duties, claimed and renewed by conditional appends."""

import logging
from collections.abc import AsyncIterator, Callable

from mallowspindle.duties.ledger import DutyState, Tenure
from mallowspindle.duties.records import (
    DUTIES_STREAM,
    Claim,
    DutyRecord,
    Release,
    Renewal,
    WrittenIn,
    duties_codec,
)
from mallowspindle.log.errors import (
    AppendConflict,
    LogError,
    RecordsExpired,
)
from mallowspindle.log.interface import Log
from mallowspindle.log.positions import era_of
from mallowspindle.log.records import LogPage
from mallowspindle.sharing.messages import LeaseUpdate
from mallowspindle.utils.clock import (
    MAX_ERROR_S,
    SharedClock,
    boot_clock_s,
)
from mallowspindle.utils.codec import CodecError

log = logging.getLogger(__name__)

# Fractions of the lease time: the holder renews after the first, and stops
# acting after the second unless it has renewed.
_RENEW_FRACTION = 0.4
_VALID_FRACTION = 0.8
# Time after the end of the lease before others may claim it.
_CLAIM_MARGIN_S = 0.3
# A holder that has not renewed after this fraction hands over: the next attempt
# would be answered after the fraction for which it may act.
_HAND_OVER_FRACTION = 0.6


class Lease:
    """One node's view of the lease.

    A record is appended only at the offset up to which this node has read, so
    a successful append proves that no other node has claimed in between.
    """

    def __init__(
        self,
        source: Log,
        node: str,
        incarnation: int,
        lease_s: float,
        clock: Callable[[], float] = boot_clock_s,
        shared_clock: SharedClock | None = None,
    ) -> None:
        self._log = source
        self._node = node
        self._incarnation = incarnation
        self._lease_s = lease_s
        self._clock = clock
        self._shared_clock = shared_clock or SharedClock()
        self._state = DutyState()
        self._next_offset: int | None = None
        # The newest era that was read, and the Unix time of its first read.
        self._era_read: WrittenIn | None = None
        self._holder_seen_at_s = clock()
        self._renewed_at_s = 0.0
        self._own_tenure: Tenure | None = None
        self._own_release: int | None = None
        self._reported_release = -1

    @property
    def state(self) -> DutyState:
        """The state that results from the records read so far."""
        return self._state

    @property
    def has_lost_nothing_since_s(self) -> float:
        """Unix time since when the log has certainly lost no record.

        Until then it may have come back from an older copy, also unseen by this
        node. Infinite before the first read.
        """
        read = self._era_read
        if read is None:
            return float('inf')
        logged_at_s = self._state.has_lost_nothing_since_s(read.era)
        return read.at_s if logged_at_s is None else min(read.at_s, logged_at_s)

    @property
    def valid_tenure(self) -> Tenure | None:
        """This node's tenure; None if it may not act as the holder now."""
        if self._own_tenure is None or not self._is_valid():
            return None
        return self._own_tenure

    @property
    def is_holder(self) -> bool:
        """Whether this node is the holder as far as it knows."""
        return self._own_tenure is not None

    @property
    def holder_silence_s(self) -> float:
        """Seconds since the holder was last known to be active."""
        return self._clock() - self._holder_seen_at_s

    def note_renewal(self, fencing_number: int, age_s: float) -> None:
        """Record a peer's update that the holder renewed ``age_s`` ago."""
        tenure = self._state.tenure
        known = -1 if tenure is None else tenure.fencing_number
        if fencing_number < known:
            return
        self._holder_seen_at_s = max(
            self._holder_seen_at_s, self._clock() - age_s
        )

    def note_released(self, fencing_number: int) -> None:
        """Record a peer's update that the lease was released."""
        self._reported_release = max(self._reported_release, fencing_number)

    def note_incarnation(self, node: str, incarnation: int) -> None:
        """Record that a peer is live; a restarted holder lost the lease."""
        tenure = self._state.tenure
        if tenure is None or tenure.holder != node:
            return
        if tenure.incarnation < incarnation:
            self.note_released(tenure.fencing_number)

    def note_own_incarnation(self, incarnation: int) -> None:
        """Record that this node has a larger incarnation than at its start."""
        self._incarnation = incarnation

    def news(self) -> LeaseUpdate | None:
        """Return this node's own last renewal or release, to be sent to peers.

        Other nodes return nothing: they know the holder from old records,
        but not when it last renewed. Passing that on would delay a takeover.
        """
        if self._own_release is not None:
            return LeaseUpdate(self._node, self._own_release, 0, released=True)
        if self._own_tenure is None:
            return None
        age_s = self._clock() - self._renewed_at_s
        return LeaseUpdate(self._node, self._own_tenure.fencing_number, age_s)

    def may_claim(self, delay_s: float) -> bool:
        """Return whether the lease has been free for ``delay_s`` at least."""
        tenure = self._state.tenure
        if self._own_tenure is not None:
            return False
        if tenure is not None and self._was_held_before_restart(tenure):
            return True
        if tenure is None or self._is_released(tenure):
            return self.holder_silence_s >= delay_s
        return (
            self.holder_silence_s >= self._lease_s + _CLAIM_MARGIN_S + delay_s
        )

    async def claim(self) -> bool:
        """Claim the lease if no holder is active; return whether it did.

        Records that were not read before may be of a holder that has been
        silent since.
        """
        if await self.catch_up() and not self.may_claim(0):
            return False
        claim = Claim(self._node, self._incarnation, self.written())
        offset = await self._append(claim)
        if offset is None:
            return False
        self._own_tenure = Tenure(self._node, self._incarnation, offset)
        self._own_release = None
        log.info('duties taken over', extra={'fencing_number': offset})
        return True

    async def renew(self) -> None:
        """Renew the lease when due; give it up if another node claimed it."""
        if self._own_tenure is None:
            return
        age_s = self._clock() - self._renewed_at_s
        if age_s >= self._lease_s * _RENEW_FRACTION:
            number = self._own_tenure.fencing_number
            await self._append(Renewal(number, self.written()))

    async def append(self, record: DutyRecord) -> bool:
        """Append a record as the holder; return whether it was logged."""
        if self._own_tenure is None:
            return False
        return await self._append(record) is not None

    async def release(self) -> None:
        """Release the lease, so that another node may claim it at once."""
        if self._own_tenure is None:
            return
        number = self._own_tenure.fencing_number
        try:
            await self._append(Release(number))
        except LogError as error:
            log.warning('duties not released', extra={'error': str(error)})
        else:
            self._own_release = number
        self.give_up('released')

    def hand_over_if_late(self) -> bool:
        """Release the lease for peers if it is not renewed in time.

        The store has turned this node away, so only peers are told. They claim
        under another fencing number, and this node never uses its own again.
        """
        tenure = self._own_tenure
        age_s = self._clock() - self._renewed_at_s
        if tenure is None or age_s < self._lease_s * _HAND_OVER_FRACTION:
            return False
        self.give_up('not renewed in time')
        self._own_release = tenure.fencing_number
        self.note_released(tenure.fencing_number)
        return True

    def give_up(self, reason: str, fencing_number: int | None = None) -> None:
        """Stop acting as the holder.

        With a fencing number, only if it is that of the current tenure.
        """
        if self._own_tenure is None:
            return
        if fencing_number in {None, self._own_tenure.fencing_number}:
            log.info('duties given up', extra={'reason': reason})
            self._own_tenure = None

    async def catch_up(self) -> bool:
        """Read new records; return whether they show an active holder."""
        active = False
        pages = [page async for page in self._pages()]
        for page in pages:
            activity = [
                self._fold(record.offset, record.payload)
                for record in page.records
            ]
            active = active or any(activity)
        if active:
            seen_at_s = self._clock() - self._activity_age_s()
            self._holder_seen_at_s = max(self._holder_seen_at_s, seen_at_s)
        self._check_tenure()
        return active

    def _activity_age_s(self) -> float:
        """Return for how long the holder has certainly been silent."""
        written = self._state.last_activity
        if written is None or self._shared_clock.is_settling:
            return 0
        age_s = self._shared_clock.now_s() - written.at_s
        return max(0, age_s - MAX_ERROR_S)

    async def _pages(self) -> AsyncIterator[LogPage]:
        """Read up to the current end of the stream."""
        while True:
            try:
                page = await self._log.read(
                    DUTIES_STREAM, self._next_offset or 0
                )
            except RecordsExpired as error:
                self._skip_to(error.first_offset)
                continue
            self._next_offset = page.next_offset
            self._note_era(era_of(page.next_offset))
            yield page
            if page.next_offset >= page.end_offset:
                return

    def _note_era(self, era: int) -> None:
        if self._era_read is None or era > self._era_read.era:
            self._era_read = WrittenIn(era, self._shared_clock.now_s())

    def written(self) -> WrittenIn | None:
        """Return when and in which era a record is written now."""
        if self._era_read is None or self._shared_clock.is_settling:
            return None
        return WrittenIn(self._era_read.era, self._shared_clock.now_s())

    def _skip_to(self, offset: int) -> None:
        """Continue to read at ``offset``; a new era ends an own tenure."""
        if self._next_offset and era_of(offset) > era_of(self._next_offset):
            self.give_up('the log came back from an older copy')
        self._next_offset = offset

    async def _append(self, record: DutyRecord) -> int | None:
        """Append at the offset read up to; None if others have appended."""
        if self._next_offset is None:
            await self.catch_up()
        sent_at_s = self._clock()
        payload = duties_codec.encode(record)
        try:
            offset = await self._log.append(
                DUTIES_STREAM, [payload], self._next_offset
            )
        except AppendConflict as error:
            log.info('duty record not appended', extra={'error': str(error)})
            await self.catch_up()
            return None
        self._fold(offset, payload)
        self._next_offset = offset + 1
        self._renewed_at_s = sent_at_s
        self._holder_seen_at_s = sent_at_s
        return offset

    def _fold(self, offset: int, payload: bytes) -> bool:
        try:
            record = duties_codec.decode(payload)
        except CodecError as error:
            log.error('duty record ignored', extra={'error': str(error)})
            return False
        return self._state.fold(offset, record)

    def _check_tenure(self) -> None:
        """Give up if the log shows another tenure, also one of this node."""
        tenure = self._state.tenure
        if self._own_tenure is not None and tenure != self._own_tenure:
            self.give_up('another node has claimed')

    def _was_held_before_restart(self, tenure: Tenure) -> bool:
        """Return whether this node held the lease before its restart."""
        return (
            tenure.holder == self._node
            and tenure.incarnation < self._incarnation
        )

    def _is_released(self, tenure: Tenure) -> bool:
        reported = tenure.fencing_number <= self._reported_release
        return tenure.released or reported

    def _is_valid(self) -> bool:
        age_s = self._clock() - self._renewed_at_s
        return age_s < self._lease_s * _VALID_FRACTION
