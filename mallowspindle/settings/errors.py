"""Errors of the venture's settings."""


class SettingsError(Exception):
    """The settings can't be read or changed."""


class DocumentInvalid(SettingsError):
    """A document is invalid; the message lists all problems."""


class SettingsUnavailable(SettingsError):
    """The settings could be read neither from the log nor from a peer."""


class ChangeUncertain(SettingsError):
    """The log did not answer; the change may still take effect."""
