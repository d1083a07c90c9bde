"""Messages between peers about settings."""

from dataclasses import dataclass

from mallowspindle.peers.codec import peer_codec
from mallowspindle.settings.records import Snapshot


@peer_codec.register('settings-request')
@dataclass(frozen=True, slots=True)
class SettingsRequest:
    """Ask a peer for its state if it is newer than offset ``through``."""

    through: int


@peer_codec.register('settings-state')
@dataclass(frozen=True, slots=True)
class SettingsState:
    """The peer's state, or None if the requesting node's is as new."""

    snapshot: Snapshot | None
