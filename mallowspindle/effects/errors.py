"""Errors of at-most-once calls."""


class EffectsError(Exception):
    """A call's claim or outcome could not be settled."""


class ClaimRefused(EffectsError):
    """The log took no claim; nothing is recorded."""


class ClaimUncertain(EffectsError):
    """The claim may be in the log, or land there later."""


class InvalidIdempotencyKey(EffectsError):
    """The call lacks the idempotency key that its service requires."""
