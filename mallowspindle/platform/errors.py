"""Errors of the translation."""

from mallowspindle.catalog.errors import UnusableRecord


class DecodeError(UnusableRecord):
    """Bytes from the platform that don't hold what they should."""
