"""An accepted generation request, its attempts and its progress."""

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
    """State of a request at a node that owns or owned it."""

    ACCEPTED = 'accepted'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    MOVED = 'moved'


FINAL_STATES = frozenset((State.DONE, State.FAILED, State.MOVED))


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """A caller's request, unchanged after it is accepted.

    ``deadline_s`` is Unix time, 0 for none. ``priority`` 0 is the highest.
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

    def seconds_left(self, now_s: float) -> float:
        """Return the seconds from ``now_s`` until the deadline.

        It is infinity without a deadline. ``now_s`` is Unix time.
        """
        if not self.deadline_s:
            return float('inf')
        return self.deadline_s - now_s


@dataclass(frozen=True, slots=True)
class CostSegment:
    """Tokens from index ``first`` on, charged under one version of the split.

    ``shares`` are the partners' shares in percent, as decimal text.
    """

    first: int
    version: int
    shares: dict[str, str]


@dataclass(frozen=True, slots=True)
class AttemptInfo:
    """One attempt: its engine stream and the data to compute its cost.

    Token ``n`` of the engine's stream is token ``offset + n`` of the answer.
    ``recompute`` marks an attempt that repeats the work of a lost one;
    ``prompt_shares`` are the shares of the partners that pay for its prompt.
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
    """The end of a request: a finish reason, or a failure and its status."""

    finish_reason: str = ''
    failure: str = ''
    status: int = 200
    retry_after_s: float = 0


@dataclass(slots=True)
class Progress:
    """The answer so far; its tokens are acknowledged by the copy's holder."""

    tokens: list[str] = field(default_factory=list)
    attempts: list[AttemptInfo] = field(default_factory=list)
    ending: Ending | None = None

    def upsert_attempt(self, attempt: AttemptInfo | None) -> None:
        """Add an attempt, or replace the last one if it has the same id."""
        if attempt is None:
            return
        last_attempt_id = self.attempts[-1].attempt_id if self.attempts else ''
        if last_attempt_id == attempt.attempt_id:
            self.attempts[-1] = attempt
        else:
            self.attempts.append(attempt)


# All requests share one machine, since a machine for each request costs time
# and memory. A request is a model of it only while a trigger runs.
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
    """A request that this node runs; callers can wait for its progress."""

    state: State

    def __init__(
        self, request: GenerationRequest, epoch: int, progress: Progress
    ) -> None:
        self._request = request
        self._epoch = epoch
        self._progress = progress
        self._changed = asyncio.Event()
        self._moved_to = ''
        self._ended_at_s = time.monotonic() if progress.ending else float('inf')
        self.copy_holder = ''
        self.state = _initial_state(progress)

    @property
    def request(self) -> GenerationRequest:
        """The caller's request."""
        return self._request

    @property
    def epoch(self) -> int:
        """The number of times that the request has changed its owner."""
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
        """Monotonic time of the end, infinity while the request runs."""
        return self._ended_at_s

    @property
    def is_final(self) -> bool:
        """Whether the request has ended or moved to another node."""
        return self.state in FINAL_STATES

    def begin(self) -> None:
        """Change the state to running."""
        self._trigger('begin')

    def commit(self, tokens: list[str]) -> None:
        """Add tokens that the copy's holder has acknowledged."""
        self._progress.tokens.extend(tokens)
        self._notify()

    def end(self, ending: Ending) -> None:
        """Store the ending and change the state to done or failed."""
        self._progress.ending = ending
        self._ended_at_s = time.monotonic()
        self._trigger('fail' if ending.failure else 'complete')
        self._notify()

    def mark_moved(self, node: str) -> None:
        """Record that ``node`` owns the request now."""
        self._moved_to = node
        self._ended_at_s = time.monotonic()
        self._trigger('move')
        self._notify()

    async def wait_for_tokens_after(self, tokens_seen: int) -> None:
        """Wait for more than ``tokens_seen`` tokens or a final state."""
        while len(self._progress.tokens) <= tokens_seen and not self.is_final:
            await self._changed.wait()

    async def wait_final(self) -> None:
        """Wait for a final state."""
        while not self.is_final:
            await self._changed.wait()

    def _trigger(self, trigger: str) -> None:
        _life_cycle.events[trigger].trigger(self)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _initial_state(progress: Progress) -> State:
    if progress.ending is None:
        return State.ACCEPTED
    return State.FAILED if progress.ending.failure else State.DONE
