"""Questions and orders of operators about what is refused."""

from dataclasses import dataclass, field

from mallowspindle.peers.codec import peer_codec


@peer_codec.register('quarantine-query')
@dataclass(frozen=True, slots=True)
class QuarantineQuery:
    """Question which parts of prompts and requests a node refuses."""


@peer_codec.register('quarantine-list')
@dataclass(frozen=True, slots=True)
class QuarantineList:
    """What is refused with its crashes, as Unix time in ms by crash.

    ``requests`` describes the requests that the node has seen itself.
    """

    parts: dict[str, dict[str, int]]
    requests: dict[str, str] = field(default_factory=dict)


@peer_codec.register('quarantine-clear')
@dataclass(frozen=True, slots=True)
class QuarantineClear:
    """Order to drop all that speaks against a part or a request, at all nodes."""

    part_id: str
