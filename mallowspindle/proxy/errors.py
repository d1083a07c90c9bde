"""Errors of the path between callers and backend servers."""


class BadRequest(ValueError):
    """A caller's request that can't be read as one."""


class CallerGone(Exception):
    """The caller closed its connection within its answer."""
