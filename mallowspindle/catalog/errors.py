"""Errors of the catalog."""


class UnusableRecord(ValueError):
    """A record that holds no valid configuration or server entry."""
