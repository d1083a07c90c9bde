"""Errors in data from the platform."""

from mallowspindle.catalog.errors import UnusableRecord


class DecodeError(UnusableRecord):
    """A record of the platform is malformed or has invalid values."""
