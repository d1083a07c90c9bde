"""Errors of the catalog."""


class UnusableRecord(ValueError):
    """A record that names no usable configuration or server."""
