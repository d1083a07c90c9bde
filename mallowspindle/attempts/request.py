"""An accepted generation request and what is known of its progress."""

import asyncio
import time
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from transitions import Machine


class RequestKind(StrEnum):
    """How the caller waits for the answer."""

    CHAT = 'chat'
    BUNDLE = 'bundle'


class State(StrEnum):
    """Life cycle of a request at the node that owns it."""

    ACCEPTED = 'accepted'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    MOVED = 'moved'


FINAL_STATES = frozenset((State.DONE, State.FAILED, State.MOVED))


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """What the caller asked for; never changes.

    ``deadline_s`` is Unix time, 0 for none. ``priority`` 0 goes first.
    """

    request_id: str
    organisation: str
    organisation_path: str
    model: str
    kind: RequestKind
    body: dict[str, Any]
    max_tokens: int
    priority: int
    accepted_at_s: float
    deadline_s: float = 0

    def seconds_left(self) -> float:
        """Seconds until the deadline; infinite without one."""
        if not self.deadline_s:
            return float('inf')
        return self.deadline_s - time.time()


@dataclass(frozen=True, slots=True)
class CostSegment:
    """Tokens from ``first`` on were made under one version of the split.

    ``shares`` are the partners' shares in percent as decimal text.
    """

    first: int
    version: int
    shares: dict[str, str]


@dataclass(frozen=True, slots=True)
class AttemptInfo:
    """One attempt: its engine stream and what its cost follows from.

    Token ``n`` of the engine's stream is token ``offset + n`` of the answer.
    ``recompute`` marks an attempt that repeats work after a loss;
    ``prompt_shares`` are the shares of those who pay for its prompt.
    """

    attempt_id: str
    vm_id: str
    address: str
    offset: int
    price_micro_per_hour: int
    prefill_tokens_per_s: float
    recompute: bool
    prompt_tokens: int
    cached_tokens: int
    prompt_shares: dict[str, str] = field(default_factory=dict)
    segments: list[CostSegment] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Ending:
    """How a request ended: a finish reason, or a failure and its status."""

    finish_reason: str = ''
    failure: str = ''
    status: int = 200
    retry_after_s: float = 0


@dataclass(slots=True)
class Progress:
    """The answer so far. Tokens are those that a copy holds, too."""

    tokens: list[str] = field(default_factory=list)
    attempts: list[AttemptInfo] = field(default_factory=list)
    ending: Ending | None = None

    def upsert_attempt(self, attempt: AttemptInfo | None) -> None:
        """Add an attempt, or replace what was known of the last one."""
        if attempt is None:
            return
        last_id = self.attempts[-1].attempt_id if self.attempts else ''
        if last_id == attempt.attempt_id:
            self.attempts[-1] = attempt
        else:
            self.attempts.append(attempt)


# One machine for all requests: a machine of its own for each costs time and
# memory. Requests are its models only while a trigger runs.
_life_cycle = Machine(
    model=None,
    states=State,
    initial=State.ACCEPTED,
    transitions=[
        ['begin', [State.ACCEPTED, State.RUNNING], State.RUNNING],
        ['complete', State.RUNNING, State.DONE],
        ['fail', [State.ACCEPTED, State.RUNNING], State.FAILED],
        ['move', [State.ACCEPTED, State.RUNNING], State.MOVED],
    ],
)


class OwnedRequest:
    """A request that this node runs, and those who follow its answer."""

    state: State

    def __init__(
        self, request: GenerationRequest, epoch: int, progress: Progress
    ) -> None:
        self._request = request
        self._epoch = epoch
        self._progress = progress
        self._changed = asyncio.Event()
        self._moved_to = ''
        self._ended_at_s = time.time() if progress.ending else float('inf')
        self.holder = ''
        self.state = _initial_state(progress)

    @property
    def request(self) -> GenerationRequest:
        """What the caller asked for."""
        return self._request

    @property
    def epoch(self) -> int:
        """How often the request has changed its owner."""
        return self._epoch

    @property
    def progress(self) -> Progress:
        """The answer so far."""
        return self._progress

    @property
    def moved_to(self) -> str:
        """The node that owns the request after a hand-over."""
        return self._moved_to

    @property
    def ended_at_s(self) -> float:
        """Unix time of the end, infinite before."""
        return self._ended_at_s

    @property
    def final(self) -> bool:
        """Whether this node will add nothing more."""
        return self.state in FINAL_STATES

    def begin(self) -> None:
        """Note that this node runs the request."""
        self._change('begin')

    def commit(self, tokens: list[str]) -> None:
        """Add tokens that the copy's holder has acknowledged."""
        self._progress.tokens.extend(tokens)
        self._notify()

    def end(self, ending: Ending) -> None:
        """End the request with its last state."""
        self._progress.ending = ending
        self._ended_at_s = time.time()
        self._change('fail' if ending.failure else 'complete')
        self._notify()

    def mark_moved(self, node: str) -> None:
        """Record that another node owns the request now."""
        self._moved_to = node
        self._ended_at_s = time.time()
        self._change('move')
        self._notify()

    async def wait_beyond(self, tokens_seen: int) -> None:
        """Wait for more than ``tokens_seen`` tokens, or for the end."""
        while len(self._progress.tokens) <= tokens_seen and not self.final:
            await self._changed.wait()

    async def wait_final(self) -> None:
        """Wait for the end."""
        while not self.final:
            await self._changed.wait()

    def _change(self, trigger: str) -> None:
        _life_cycle.events[trigger].trigger(self)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _initial_state(progress: Progress) -> State:
    if progress.ending is None:
        return State.ACCEPTED
    return State.FAILED if progress.ending.failure else State.DONE
