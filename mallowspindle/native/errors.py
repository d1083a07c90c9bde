"""Errors of the native interface's clients.

Errors of the log are in ``mallowspindle.log.errors``.
"""


class CloudError(Exception):
    """The cloud API gave no usable answer."""
