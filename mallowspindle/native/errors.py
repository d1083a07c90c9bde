"""Errors of the platform's clients."""


class PlatformError(Exception):
    """The platform's service gave no usable answer."""


class AppendRefused(PlatformError):
    """The append was refused or never sent; it had no effect."""


class AppendUncertain(PlatformError):
    """The append may have taken effect, now or later."""


class RecordsExpired(PlatformError):
    """The records asked for are older than the log's retention."""

    def __init__(self, stream: str, first_offset: int) -> None:
        super().__init__(f'{stream}: records before {first_offset} expired')
        self._first_offset = first_offset

    @property
    def first_offset(self) -> int:
        """The oldest offset that the log still keeps."""
        return self._first_offset
