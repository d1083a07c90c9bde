"""Errors of the log."""


class LogError(Exception):
    """The log gave no usable answer."""


class AppendRefused(LogError):
    """The append was refused or never sent; it had no effect."""


class AppendConflict(AppendRefused):
    """The stream did not end where the writer expected."""

    def __init__(self, stream: str, end: int) -> None:
        super().__init__(f'{stream} ends at {end}')
        self._end = end

    @property
    def end(self) -> int:
        """The offset that the next record of the stream will get."""
        return self._end


class AppendUncertain(LogError):
    """The append may have taken effect, now or later."""


class RecordsExpired(LogError):
    """The records asked for are older than the log's retention."""

    def __init__(self, stream: str, first_offset: int) -> None:
        super().__init__(f'{stream}: records before {first_offset} expired')
        self._first_offset = first_offset

    @property
    def first_offset(self) -> int:
        """The oldest offset that the log still keeps."""
        return self._first_offset
