"""Progress of owned requests that their holders have not acknowledged."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field

from mallowspindle.attempts.request import AttemptInfo, Ending, OwnedRequest
from mallowspindle.recovery.messages import ProgressItem


@dataclass(slots=True)
class Pending:
    """Progress of one request that its holder has not acknowledged."""

    owned: OwnedRequest
    attempt: AttemptInfo | None = None
    tokens: list[str] = field(default_factory=list)
    ending: Ending | None = None

    def add(self, news: AttemptInfo | Ending | str) -> None:
        """Add a token, news of the attempt, or the ending."""
        match news:
            case AttemptInfo():
                self.attempt = news
            case Ending():
                self.ending = news
            case str():
                self.tokens.append(news)

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
        """Show the progress to those who follow the answer."""
        if self.owned.final:
            return
        self.owned.progress.upsert_attempt(self.attempt)
        self.owned.commit(self.tokens)
        if self.ending is not None:
            self.owned.end(self.ending)


class Outbox:
    """Unacknowledged progress by request.

    At most one message about a request is in flight, so that its tokens
    stay in order while its copy moves from one holder to another.
    """

    def __init__(self) -> None:
        self._pending: dict[str, Pending] = {}
        self._in_flight: set[str] = set()
        self._landed = asyncio.Condition()
        self._grown: dict[str, asyncio.Event] = defaultdict(asyncio.Event)

    def add(
        self,
        owned: OwnedRequest,
        news: AttemptInfo | Ending | str,
    ) -> None:
        """Add a token, news of the attempt, or the ending of a request."""
        request_id = owned.request.request_id
        pending = self._pending.get(request_id)
        if pending is None:
            pending = Pending(owned)
            self._pending[request_id] = pending
        pending.add(news)
        self._grown[owned.holder].set()

    async def take_pending(self, holder: str) -> list[Pending]:
        """Wait for progress for ``holder`` and mark it as in flight."""
        await self._grown[holder].wait()
        self._grown[holder].clear()
        ready = [
            request_id
            for request_id, pending in self._pending.items()
            if pending.owned.holder == holder
            and request_id not in self._in_flight
        ]
        self._in_flight.update(ready)
        return [self._pending.pop(request_id) for request_id in ready]

    async def clear_in_flight(self, owned: OwnedRequest) -> None:
        """Note that nothing of a request is in flight any longer."""
        request_id = owned.request.request_id
        async with self._landed:
            self._in_flight.discard(request_id)
            self._landed.notify_all()
        if request_id in self._pending:
            self._grown[owned.holder].set()

    async def hold_back(self, owned: OwnedRequest) -> None:
        """Wait for what is in flight; send nothing until ``clear_in_flight``."""
        request_id = owned.request.request_id
        async with self._landed:
            await self._landed.wait_for(
                lambda: request_id not in self._in_flight
            )
            self._in_flight.add(request_id)
