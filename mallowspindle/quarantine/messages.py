"""Questions and orders of operators about refused parts of prompts."""

from dataclasses import dataclass

from mallowspindle.peers.codec import peer_codec


@peer_codec.register('quarantine-query')
@dataclass(frozen=True, slots=True)
class QuarantineQuery:
    """Question which parts of prompts a node refuses."""


@peer_codec.register('quarantine-list')
@dataclass(frozen=True, slots=True)
class QuarantineList:
    """The refused parts with their crashes, as Unix time in ms by crash."""

    parts: dict[str, dict[str, int]]


@peer_codec.register('quarantine-clear')
@dataclass(frozen=True, slots=True)
class QuarantineClear:
    """Order to drop all that speaks against a part, at all nodes."""

    part_id: str
