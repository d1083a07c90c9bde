"""Progress of owned requests not yet acknowledged by the copies' holders."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field

from mallowspindle.attempts.request import AttemptInfo, Ending, OwnedRequest
from mallowspindle.recovery.messages import ProgressItem


@dataclass(slots=True)
class PendingProgress:
    """Progress of one request not yet acknowledged by its copy's holder."""

    owned: OwnedRequest
    attempt: AttemptInfo | None = None
    tokens: list[str] = field(default_factory=list)
    ending: Ending | None = None

    def add(self, change: AttemptInfo | Ending | str) -> None:
        """Add a token, a new state of the attempt, or the ending."""
        match change:
            case AttemptInfo():
                self.attempt = change
            case Ending():
                self.ending = change
            case str():
                self.tokens.append(change)

    def as_item(self) -> ProgressItem:
        """Return the progress as part of a message."""
        return ProgressItem(
            request_id=self.owned.request.request_id,
            epoch=self.owned.epoch,
            first=len(self.owned.progress.tokens),
            tokens=self.tokens,
            attempt=self.attempt,
            ending=self.ending,
        )

    def commit(self) -> None:
        """Make the progress visible to the readers of the answer."""
        if self.owned.is_final:
            return
        self.owned.progress.upsert_attempt(self.attempt)
        self.owned.commit(self.tokens)
        if self.ending is not None:
            self.owned.end(self.ending)


class Outbox:
    """Unacknowledged progress by request.

    At most one message about a request is in flight at a time, so that its
    tokens stay in order while its copy moves from one holder to another.
    """

    def __init__(self) -> None:
        self._pending: dict[str, PendingProgress] = {}
        self._in_flight: set[str] = set()
        self._flight_ended = asyncio.Condition()
        self._has_pending: dict[str, asyncio.Event] = defaultdict(asyncio.Event)

    def add(
        self,
        owned: OwnedRequest,
        change: AttemptInfo | Ending | str,
    ) -> None:
        """Add a token, a new attempt state, or the ending of a request."""
        request_id = owned.request.request_id
        pending = self._pending.get(request_id)
        if pending is None:
            pending = PendingProgress(owned)
            self._pending[request_id] = pending
        pending.add(change)
        self._has_pending[owned.copy_holder].set()

    async def take_pending(self, holder: str) -> list[PendingProgress]:
        """Remove and return progress for ``holder``, now marked as in flight.

        Waits until there is some.
        """
        await self._has_pending[holder].wait()
        self._has_pending[holder].clear()
        ready = [
            request_id
            for request_id, pending in self._pending.items()
            if pending.owned.copy_holder == holder
            and request_id not in self._in_flight
        ]
        self._in_flight.update(ready)
        return [self._pending.pop(request_id) for request_id in ready]

    async def clear_in_flight(self, owned: OwnedRequest) -> None:
        """Record that no message about a request is in flight any longer."""
        request_id = owned.request.request_id
        async with self._flight_ended:
            self._in_flight.discard(request_id)
            self._flight_ended.notify_all()
        if request_id in self._pending:
            self._has_pending[owned.copy_holder].set()

    async def block_sending(self, owned: OwnedRequest) -> None:
        """Wait for the message in flight, then block more of the request.

        ``clear_in_flight`` ends the block.
        """
        request_id = owned.request.request_id
        async with self._flight_ended:
            await self._flight_ended.wait_for(
                lambda: request_id not in self._in_flight
            )
            self._in_flight.add(request_id)
