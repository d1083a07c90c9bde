"""Errors that implementations of the log raise."""


class LogError(Exception):
    """The log gave no usable answer."""


class AppendRefused(LogError):
    """The append was refused or never sent, and had no effect."""


class AppendConflict(AppendRefused):
    """The stream does not end at the expected offset; nothing was appended."""

    def __init__(self, stream: str, end: int) -> None:
        super().__init__(f'{stream} ends at {end}')
        self._end = end

    @property
    def end(self) -> int:
        """The end of the stream: the offset that its next record will get."""
        return self._end


class AppendUncertain(LogError):
    """The append may have taken effect, or may still do so."""


class RecordsExpired(LogError):
    """The requested records are older than the log's retention."""

    def __init__(self, stream: str, first_offset: int) -> None:
        super().__init__(f'{stream}: records before {first_offset} expired')
        self._first_offset = first_offset

    @property
    def first_offset(self) -> int:
        """The oldest offset that the log still keeps."""
        return self._first_offset
