"""Errors of the proxy."""


class BadRequest(ValueError):
    """A caller's request is malformed."""


class CallerDisconnected(Exception):
    """The caller closed its connection before the response was complete."""
