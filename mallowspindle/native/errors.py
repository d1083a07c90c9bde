"""Errors of the native interface's clients, but for the log's."""


class CloudError(Exception):
    """The cloud gave no usable answer."""
