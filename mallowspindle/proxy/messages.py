"""Requests and responses, independent of their wire format."""

from dataclasses import dataclass
from functools import cached_property
from hashlib import blake2b

from multidict import CIMultiDict

from mallowspindle.streams.records import StreamOrigin

# Large enough that no two requests of a venture share a digest by chance.
_FINGERPRINT_BYTES = 8


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that may also occur in other requests."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class CallerRequest:
    """One request of a caller.

    ``headers`` are the headers to forward. ``key`` is the caller's API key.
    ``patience_s`` is how long the caller waits, None if not stated.
    ``resumes`` is the id of the request whose response brought the first event
    of the stream that the caller takes up. ``organisation`` is the owner of the
    key and ``body`` the complete body, both unknown until the request is
    admitted. ``relayed_by`` is the peer that passed the request on, None if it
    came from its caller, and ``origin`` tells where its stream has begun, if it
    has and the peer knows. ``max_runs`` is how often it may run here; None if
    only its route limits that.
    """

    method: str
    target: str
    host: str
    request_id: str
    headers: CIMultiDict[str]
    key: str | None = None
    patience_s: float | None = None
    prompt_tokens: int | None = None
    output_tokens: int = 0
    expected_output_tokens: int | None = None
    prompt: tuple[PromptPart, ...] = ()
    last_event_id: str | None = None
    resumes: str | None = None
    organisation: str | None = None
    body: bytes = b''
    relayed_by: str | None = None
    origin: StreamOrigin | None = None
    max_runs: int | None = None

    @cached_property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition('?')[0]

    @cached_property
    def fingerprint(self) -> str:
        """A digest that is the same when the caller sends the request again.

        The last part of a prompt is left out, since it may be new each time, as
        are all headers that concern one attempt or one key.
        """
        digest = blake2b(digest_size=_FINGERPRINT_BYTES)
        host = self.host.partition(':')[0].lower()
        shared_parts = ','.join(part.part_id for part in self.prompt[:-1])
        for field in (
            self.method,
            host,
            self.target,
            self.organisation or '',
            shared_parts,
        ):
            # A length before each field keeps fields from running together.
            digest.update(f'{len(field)}:{field}'.encode())
        digest.update(self.body)
        return f'request:{digest.hexdigest()}'

    @property
    def tokens(self) -> int | None:
        """The tokens that count against a quota; None if not stated."""
        if self.prompt_tokens is None:
            return None
        return self.prompt_tokens + self.output_tokens

    @property
    def likely_output_tokens(self) -> int:
        """The expected number of output tokens; the stated one by default."""
        if self.expected_output_tokens is None:
            return self.output_tokens
        return self.expected_output_tokens


@dataclass(frozen=True, slots=True)
class MovedRun:
    """The memory (KV cache) of a run that may continue at another server.

    ``handle`` identifies the memory at the source. A copy that a server keeps
    while the run is at another server has the run's request id as its handle.
    """

    source_address: str
    handle: str


@dataclass(frozen=True, slots=True)
class Dispatch:
    """What the proxy adds to a request when it sends it to a server.

    ``continues`` is the moved run that the server shall continue.
    ``copy_keeper`` is the address of a server that keeps a copy of the run.
    """

    server_id: str
    time_left_s: float
    organisation: str | None = None
    last_event_id: str | None = None
    continues: MovedRun | None = None
    copy_keeper: str | None = None


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """What a response states of its server's limit.

    ``per_s`` is the number of requests per second that the server accepts from
    all nodes together; None if it accepts any number.
    """

    per_s: float | None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a server reports of its load, the requests of all nodes included.

    ``slowdown`` is how long work takes there at this moment, 1 for as usual;
    None if the server does not state it.
    """

    running: int
    waiting: int
    slowdown: float | None = None


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a server's response.

    ``not_run`` is true only if the server states that the request has not
    run. ``misdirected`` means that another server has the address.
    ``headers`` are the headers to forward. ``load`` is None if the response
    does not report it, ``limit`` if it does not tell whether the server has
    one. ``leaving`` is whether the server says that it is leaving, ``pause_s``
    for how long it wants no request from this node.
    """

    status: int
    request_id: str | None
    not_run: bool
    misdirected: bool
    headers: CIMultiDict[str]
    load: LoadReport | None = None
    limit: StatedLimit | None = None
    leaving: bool = False
    pause_s: float = 0
