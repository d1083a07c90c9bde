"""Errors of at-most-once calls."""


class EffectsError(Exception):
    """Base class of the errors of at-most-once calls."""


class RecordRefused(EffectsError):
    """The log refused the append; the record is not in the log."""


class RecordUncertain(EffectsError):
    """The log failed; an appended record may be in it or be added later."""


class InvalidIdempotencyKey(EffectsError):
    """The call lacks the idempotency key that its service requires."""
