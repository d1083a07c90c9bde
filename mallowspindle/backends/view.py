"""One backend server as seen by this node."""

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
from mallowspindle.rollouts.counting import AttemptWatch
from mallowspindle.sharing.messages import ServerLoad

# Consecutive failures after which a server is ejected for a while. The time
# doubles with each further failure, up to the maximum.
_FAILURES_BEFORE_EJECTION = 3
_MIN_EJECTION_S = 1.0
_MAX_EJECTION_S = 8.0
# Time for which a server that accepts no connections is avoided. Its catalog
# entry expires after three missed heartbeats of somewhat over a second each.
UNREACHABLE_S = 3.0
NO_WORK = ServerLoad(0, 0)
_MS = 1000


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """One request at a server.

    ``prefill_s`` is the expected prefill time, and 0 after the first event.
    ``prefill_starts_at_s`` is when the server should start the prefill.
    ``streaming`` is set when the first event arrives, at ``began_at_s`` on the
    clock of the event loop, and ``settled`` once the server has outlived the
    begin of its response.
    ``work`` is the expected work of the request and of what was ahead of it, in
    units of the server's pace, from ``sent_at_s`` to ``expected_s`` later; it
    is 0 if the server's speed is not followed. ``on_first_event`` is called
    before the first event is used, and may cancel the attempt.
    ``move`` is set when a move of the run to another server begins. Its result
    is None if the run was not stopped; it is cancelled if that is unknown.
    ``move_paid_until_s`` is how long what was spent of the retry budget for a
    move is valid, on the clock of the event loop.
    ``watch`` measures the response while a rollout is under way.
    """

    request: CallerRequest
    prefill_s: float
    prefill_starts_at_s: float
    streaming: bool = False
    began_at_s: float | None = None
    settled: bool = False
    move: asyncio.Future[Relocation | None] | None = None
    move_paid_until_s: float = 0
    sent_at_s: float = 0
    work: float = 0
    expected_s: float = 0
    on_first_event: Callable[[], None] | None = None
    watch: AttemptWatch | None = None

    def remaining_prefill_s(self, now_s: float) -> float:
        """Return the expected remaining prefill time."""
        elapsed_s = max(0, now_s - self.prefill_starts_at_s)
        return max(0, self.prefill_s - elapsed_s)

    def remaining_wait_s(self, now_s: float) -> float:
        """Return the expected time until the first event."""
        return max(0, self.prefill_starts_at_s - now_s) + self.prefill_s

    def note_first_event(self) -> None:
        """Record the first event, which ends the prefill."""
        if self.on_first_event is not None:
            self.on_first_event()
        self.prefill_s = 0
        self.streaming = True

    async def was_stopped_for_move(self) -> bool:
        """Return whether the run may have been stopped for a move."""
        move = await self._finished_move()
        if move is None:
            return False
        return move.cancelled() or move.result() is not None

    async def relocation(self) -> Relocation | None:
        """Return where the run continues if it was stopped for a move."""
        move = await self._finished_move()
        return None if move is None or move.cancelled() else move.result()

    async def _finished_move(self) -> asyncio.Future[Relocation | None] | None:
        """Wait for the current move and return it; None if there is none.

        Cancelling the waiting exchange must not cancel the move. ``self.move``
        is read once, since a later move may replace it meanwhile.
        """
        move = self.move
        if move is not None:
            await asyncio.wait([move])
        return move


@dataclass(frozen=True, slots=True)
class Relocation:
    """Where a moved run continues, and from which KV cache.

    ``fallback`` is where it continues if the target refuses it. ``claimed`` is
    whether the request already counts against the target's limit, ``paid``
    whether the retry budget has been spent for its arrival there.
    """

    target: BackendView
    run: MovedRun
    fallback: Relocation | None = None
    claimed: bool = False
    paid: bool = False


@dataclass(slots=True, eq=False)
class BackendView:
    """A server with this node's requests there and its recent failures."""

    server: BackendServer
    prefix_cache: PrefixCacheIndex
    in_flight: set[InFlightRequest] = field(default_factory=set)
    failures: int = 0
    ejected_until_s: float = 0
    unreachable_until_s: float = 0
    reachable_until_s: float = 0
    full_until_s: float = 0
    paused_until_s: float = 0
    clock: Callable[[], float] = time.monotonic

    @property
    def ejected(self) -> bool:
        """Whether the server is avoided because of failures."""
        now_s = self.clock()
        return now_s < self.ejected_until_s or now_s < self.unreachable_until_s

    @property
    def unreachable(self) -> bool:
        """Whether the server has recently accepted no connection."""
        return self.clock() < self.unreachable_until_s

    @property
    def reachable(self) -> bool:
        """Whether the server has recently answered this node."""
        return self.clock() < self.reachable_until_s

    @property
    def full(self) -> bool:
        """Whether the server has just refused work."""
        return self.clock() < self.full_until_s

    @property
    def pause_left_s(self) -> float:
        """Time for which the server wants no request from this node."""
        return max(0, self.paused_until_s - self.clock())

    def load(self) -> ServerLoad:
        """Return this node's work at the server."""
        if not self.in_flight:
            return NO_WORK
        now_s = self.clock()
        backlog_s = sum(
            tracked.remaining_prefill_s(now_s) for tracked in self.in_flight
        )
        return ServerLoad(len(self.in_flight), int(backlog_s * _MS))

    @contextmanager
    def track_request(
        self, request: CallerRequest, wait_s: float = 0, pace: float = 1
    ) -> Iterator[InFlightRequest]:
        """Count a request while it is at the server.

        ``wait_s`` is the prefill time of the prompts ahead, those of peers
        included, and ``pace`` the factor on the usual prefill time.
        """
        tokens = request.prompt_tokens or 0
        cached = self.prefix_cache.cached_tokens(request.prompt)
        prefill_s = prefill_time_s(tokens, cached) * pace
        tracked = InFlightRequest(request, prefill_s, self.clock() + wait_s)
        self.prefix_cache.remember(request.prompt)
        self.in_flight.add(tracked)
        try:
            yield tracked
        finally:
            self.in_flight.discard(tracked)

    def record_success(self) -> None:
        """Reset the failures and end the ejection."""
        self.failures = 0
        self.ejected_until_s = 0
        self._note_reachable()

    def record_failure(self) -> None:
        """Eject the server after several consecutive failures."""
        self.failures += 1
        self.reachable_until_s = 0
        extra_failures = self.failures - _FAILURES_BEFORE_EJECTION
        if extra_failures >= 0:
            pause_s = min(_MAX_EJECTION_S, _MIN_EJECTION_S * 2**extra_failures)
            self.ejected_until_s = self.clock() + pause_s

    def record_unreachable(self) -> None:
        """Eject a server that accepts no connections or was replaced."""
        self.unreachable_until_s = self.clock() + UNREACHABLE_S
        self.reachable_until_s = 0

    def pause(self, pause_s: float) -> None:
        """Send nothing to the server for ``pause_s``, as it asks."""
        self.paused_until_s = max(self.paused_until_s, self.clock() + pause_s)

    def end_ejection(self) -> None:
        """Use the server again: not it, but this node was disconnected."""
        self.failures = 0
        self.ejected_until_s = 0
        self.unreachable_until_s = 0

    def record_full(self, pause_s: float) -> None:
        """Mark the server as full for ``pause_s``."""
        self.full_until_s = self.clock() + pause_s
        self._note_reachable()

    def _note_reachable(self) -> None:
        self.reachable_until_s = self.clock() + UNREACHABLE_S
        self.unreachable_until_s = 0


@dataclass(frozen=True, slots=True)
class Pick:
    """A chosen server and the prefill time of the prompts waiting there.

    ``by_speed`` is whether it was chosen by the slowdowns that servers state.
    """

    view: BackendView
    backlog_s: float
    by_speed: bool = False
