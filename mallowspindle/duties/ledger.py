"""The lease and the logged usage according to the duties stream."""

from dataclasses import dataclass

from mallowspindle.duties.records import (
    Claim,
    DutyRecord,
    Release,
    Renewal,
    UsageReport,
    WrittenIn,
)

# Logged windows that are kept, so that a new holder can send them again.
_KEPT_WINDOWS = 12


@dataclass(frozen=True, slots=True)
class Tenure:
    """Who holds the duties, under which fencing number."""

    holder: str
    incarnation: int
    fencing_number: int
    released: bool = False


class DutyState:
    """The current tenure and the logged usage, built up from the records."""

    def __init__(self) -> None:
        self._tenure: Tenure | None = None
        self._reports: dict[int, dict[str, int]] = {}
        self._earliest: WrittenIn | None = None
        self._last_activity: WrittenIn | None = None

    @property
    def tenure(self) -> Tenure | None:
        """The current tenure; None before the first claim."""
        return self._tenure

    @property
    def reports(self) -> dict[int, dict[str, int]]:
        """The logged counts by window."""
        return self._reports

    @property
    def last_activity(self) -> WrittenIn | None:
        """When the holder's last record was written; None if it does not tell."""
        return self._last_activity

    def has_lost_nothing_since_s(self, era: int) -> float | None:
        """Return since when the log has certainly lost no record.

        It is the time at which the first record in its ``era`` was written;
        None if no record tells.
        """
        earliest = self._earliest
        if earliest is None or earliest.era != era:
            return None
        return earliest.at_s

    def fold(self, offset: int, record: DutyRecord) -> bool:
        """Apply a record; return whether it shows an active holder."""
        if isinstance(record, Claim | Renewal) and record.written is not None:
            self._note_written(record.written)
        is_active = self._apply(offset, record)
        if is_active and not isinstance(record, Release):
            self._last_activity = record.written
        return is_active

    def _apply(self, offset: int, record: DutyRecord) -> bool:
        match record:
            case Claim(holder=holder, incarnation=incarnation):
                self._tenure = Tenure(holder, incarnation, offset)
                return True
            case Release(fencing_number=number) if self._is_current(number):
                self._release()
                return False
            case UsageReport(window=window, counts=counts):
                self._reports.setdefault(window, dict(counts))
                self._forget_old()
                return self._is_current(record.fencing_number)
            case Renewal(fencing_number=number):
                return self._is_current(number)
        return False

    def _note_written(self, written: WrittenIn) -> None:
        earliest = self._earliest
        if earliest is None or written.era > earliest.era:
            self._earliest = written
        elif written.era == earliest.era and written.at_s < earliest.at_s:
            self._earliest = written

    def _is_current(self, fencing_number: int) -> bool:
        tenure = self._tenure
        return tenure is not None and tenure.fencing_number == fencing_number

    def _release(self) -> None:
        tenure = self._tenure
        if tenure is not None:
            self._tenure = Tenure(
                tenure.holder,
                tenure.incarnation,
                tenure.fencing_number,
                released=True,
            )

    def _forget_old(self) -> None:
        for window in sorted(self._reports)[:-_KEPT_WINDOWS]:
            self._reports.pop(window)
