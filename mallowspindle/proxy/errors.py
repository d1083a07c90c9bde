"""Errors of the proxy."""


class BadRequest(ValueError):
    """A caller's request is malformed."""


class BadResponse(ValueError):
    """What a server has sent is no final response."""


class CallerDisconnected(Exception):
    """The caller closed its connection before the response was complete."""
