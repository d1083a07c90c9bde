"""One backend server as this node sees it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from mallowspindle.backends.prefixes import PrefixCacheIndex
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.policies.prefill import prefill_time_s
from mallowspindle.proxy.messages import (
    CallerRequest,
    MovedRun,
)
from mallowspindle.sharing.messages import ServerLoad

# Failures in a row after which a server is left alone for a while.
_FAILURES_UNTIL_EJECTED = 3
_EJECTED_S = 1.0
_MOST_EJECTED_S = 8.0
# Time for which a server that takes no connections is left alone: its entry
# lapses after three heartbeats of somewhat over a second.
UNREACHABLE_S = 3.0
NO_WORK = ServerLoad(0, 0)
_MS = 1000


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """One request at a server; ``prefill_s`` until its first event.

    ``read_from_s`` is when the server should begin to read the prompt.
    ``move`` is set while the request moves to another server. Its result is
    None if the run was not stopped; it is cancelled if that is not known.
    """

    request: CallerRequest
    prefill_s: float
    read_from_s: float
    streaming: bool = False
    move: asyncio.Future[Relocation | None] | None = None

    def unread_s(self, now_s: float) -> float:
        """Return the reading time that should be left."""
        begun_s = max(0, now_s - self.read_from_s)
        return max(0, self.prefill_s - begun_s)

    def note_first_event(self) -> None:
        """Note that the prompt has been read."""
        self.prefill_s = 0
        self.streaming = True

    async def was_stopped(self) -> bool:
        """Tell whether the run may have been stopped to be moved."""
        move = await self._settled_move()
        if move is None:
            return False
        return move.cancelled() or move.result() is not None

    async def relocation(self) -> Relocation | None:
        """Return where the run goes on if it was stopped to be moved."""
        move = await self._settled_move()
        return None if move is None or move.cancelled() else move.result()

    async def _settled_move(self) -> asyncio.Future[Relocation | None] | None:
        """Return the present move once it has ended; None if there is none.

        A caller that leaves must not cancel it, and a later round may begin
        another one meanwhile.
        """
        move = self.move
        if move is not None:
            await asyncio.wait([move])
        return move


@dataclass(frozen=True, slots=True)
class Relocation:
    """Where a moved request goes on, and from which memory.

    ``fallback`` is where it goes on if the target does not take it.
    """

    target: BackendView
    run: MovedRun
    fallback: Relocation | None = None


@dataclass(slots=True, eq=False)
class BackendView:
    """A server, this node's work there, and its recent failures."""

    server: BackendServer
    memory: PrefixCacheIndex
    work: set[InFlightRequest] = field(default_factory=set)
    failures: int = 0
    ejected_until_s: float = 0
    unreachable_until_s: float = 0
    reached_until_s: float = 0
    refused_until_s: float = 0
    clock: Callable[[], float] = time.monotonic

    @property
    def ejected(self) -> bool:
        """Whether the server is left alone for its failures."""
        now_s = self.clock()
        return now_s < self.ejected_until_s or now_s < self.unreachable_until_s

    @property
    def unreachable(self) -> bool:
        """Whether the server has lately taken no connections."""
        return self.clock() < self.unreachable_until_s

    @property
    def reached(self) -> bool:
        """Whether the server has lately answered this node."""
        return self.clock() < self.reached_until_s

    @property
    def full(self) -> bool:
        """Whether the server has just turned work away."""
        return self.clock() < self.refused_until_s

    def load(self) -> ServerLoad:
        """Return this node's work at the server."""
        if not self.work:
            return NO_WORK
        now_s = self.clock()
        backlog_s = sum(work.unread_s(now_s) for work in self.work)
        return ServerLoad(len(self.work), int(backlog_s * _MS))

    @contextmanager
    def track_request(
        self, request: CallerRequest, wait_s: float = 0
    ) -> Iterator[InFlightRequest]:
        """Count a request while it is at the server.

        The prompts ahead of it, also those of peers, take ``wait_s``.
        """
        tokens = request.prompt_tokens or 0
        cached = self.memory.cached_tokens(request.prompt)
        prefill_s = prefill_time_s(tokens, cached)
        work = InFlightRequest(request, prefill_s, self.clock() + wait_s)
        self.memory.remember(request.prompt)
        self.work.add(work)
        try:
            yield work
        finally:
            self.work.discard(work)

    def note_success(self) -> None:
        """Forget the failures."""
        self.failures = 0
        self.ejected_until_s = 0
        self._note_reached()

    def note_failure(self) -> None:
        """Eject the server after some failures in a row."""
        self.failures += 1
        self.reached_until_s = 0
        extra = self.failures - _FAILURES_UNTIL_EJECTED
        if extra >= 0:
            pause_s = min(_MOST_EJECTED_S, _EJECTED_S * 2**extra)
            self.ejected_until_s = self.clock() + pause_s

    def note_unreachable(self) -> None:
        """Eject a server that takes no connections, or is another one."""
        self.unreachable_until_s = self.clock() + UNREACHABLE_S
        self.reached_until_s = 0

    def note_full(self, pause_s: float) -> None:
        """Send no further work for a moment."""
        self.refused_until_s = self.clock() + pause_s
        self._note_reached()

    def _note_reached(self) -> None:
        self.reached_until_s = self.clock() + UNREACHABLE_S
        self.unreachable_until_s = 0
