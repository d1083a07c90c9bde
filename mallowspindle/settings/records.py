"""Records of the settings stream."""

from dataclasses import dataclass, field

from mallowspindle.utils.codec import Codec

SETTINGS_STREAM = 'settings'
settings_codec = Codec('settings record')


@settings_codec.register('change')
@dataclass(frozen=True, slots=True)
class Change:
    """A new document for ``path``, based on version ``base`` of it.

    A version is the log offset of the change that set the document; -1
    stands for a path that was never set.
    """

    change_id: str
    path: str
    document: str
    base: int
    author: str
    at_s: float


@dataclass(frozen=True, slots=True)
class DocumentState:
    """The document in force at one path, and its version."""

    path: str
    version: int
    document: str
    author: str
    at_s: float


@settings_codec.register('snapshot')
@dataclass(frozen=True, slots=True)
class Snapshot:
    """The whole state after applying all records up to ``through``."""

    through: int
    version: int
    nodes: list[DocumentState] = field(default_factory=list)
    recent_change_ids: list[str] = field(default_factory=list)
