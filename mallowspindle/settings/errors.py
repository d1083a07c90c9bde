"""Errors of the venture's settings."""


class SettingsError(Exception):
    """The settings can't be read or changed."""


class DocumentInvalid(SettingsError):
    """A document of the tree breaks the rules; the text lists all faults."""


class SettingsUnavailable(SettingsError):
    """Neither the log nor a peer could give the settings."""


class ChangeUncertain(SettingsError):
    """The log lost the answer; the change may yet take effect."""
