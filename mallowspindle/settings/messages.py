"""Messages between peers about settings."""

from dataclasses import dataclass

from mallowspindle.peers.codec import peer_codec
from mallowspindle.settings.records import Snapshot


@peer_codec.register('settings-request')
@dataclass(frozen=True, slots=True)
class SettingsRequest:
    """Asks for the state if it is newer than ``through``."""

    through: int


@peer_codec.register('settings-state')
@dataclass(frozen=True, slots=True)
class SettingsState:
    """The state, or None where the asker's is as new."""

    snapshot: Snapshot | None
