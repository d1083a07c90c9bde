"""Errors of the micro-kernel."""


class KernelError(Exception):
    """The services can't be constructed, found or started."""
