"""Messages between the owner of a request and the holder of its copy."""

from dataclasses import dataclass, field

from mallowspindle.attempts.request import (
    AttemptInfo,
    Ending,
    GenerationRequest,
    Progress,
)
from mallowspindle.peers.codec import peer_codec


@peer_codec.register('copy')
@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Asks a peer to hold a copy of a request with its progress."""

    request: GenerationRequest
    owner: str
    epoch: int
    progress: Progress


@peer_codec.register('drop-copy')
@dataclass(frozen=True, slots=True)
class DropCopy:
    """Notifies a peer that another peer holds the copy from now on."""

    request_id: str
    epoch: int


@dataclass(frozen=True, slots=True)
class ProgressItem:
    """New tokens of one request, from index ``first`` of the answer on.

    ``attempt`` is None if it has not changed since the last item.
    """

    request_id: str
    epoch: int
    first: int
    tokens: list[str]
    attempt: AttemptInfo | None = None
    ending: Ending | None = None


@peer_codec.register('progress')
@dataclass(frozen=True, slots=True)
class ProgressBatch:
    """Progress of several requests in one message."""

    items: list[ProgressItem] = field(default_factory=list)


@peer_codec.register('progress-reply')
@dataclass(frozen=True, slots=True)
class ProgressReply:
    """Requests whose progress the holder did not apply.

    ``taken_over`` lists those that the holder owns by now, ``missing`` those
    of which it has no copy that the progress continues.
    """

    taken_over: list[str] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)


@peer_codec.register('hand-over')
@dataclass(frozen=True, slots=True)
class HandOver:
    """Makes the receiver the owner of a request."""

    request: GenerationRequest
    epoch: int
    progress: Progress


@peer_codec.register('find-request')
@dataclass(frozen=True, slots=True)
class FindRequest:
    """Asks a peer what it knows of a request."""

    request_id: str


@peer_codec.register('found-request')
@dataclass(frozen=True, slots=True)
class FindRequestReply:
    """What the node ``told_by`` knows of a request.

    ``owner`` is empty if the node doesn't know the request.
    """

    owner: str = ''
    told_by: str = ''
    epoch: int = -1
    organisation: str = ''
    model: str = ''
    kind: str = ''
    tokens: list[str] = field(default_factory=list)
    ending: Ending | None = None
