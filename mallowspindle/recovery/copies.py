"""Copies of other nodes' requests that this node holds."""

import time
from dataclasses import dataclass

from mallowspindle.attempts.request import GenerationRequest, Progress
from mallowspindle.recovery.messages import (
    ProgressBatch,
    ProgressItem,
    StoreCopy,
)


@dataclass(slots=True)
class Copy:
    """A copy of a request, its owner and the time of the last update."""

    request: GenerationRequest
    owner: str
    epoch: int
    progress: Progress
    updated_at_s: float


class CopyStore:
    """Copies by request id."""

    def __init__(self) -> None:
        self._copies: dict[str, Copy] = {}

    def __len__(self) -> int:
        return len(self._copies)

    def store(self, message: StoreCopy) -> bool:
        """Store a copy; False if a copy of a later epoch is stored already."""
        existing = self._copies.get(message.request.request_id)
        if existing is not None and existing.epoch > message.epoch:
            return False
        self._copies[message.request.request_id] = Copy(
            message.request,
            message.owner,
            message.epoch,
            message.progress,
            time.monotonic(),
        )
        return True

    def get(self, request_id: str) -> Copy | None:
        """Return a copy, or None if there is none."""
        return self._copies.get(request_id)

    def pop(self, request_id: str) -> Copy | None:
        """Remove and return a copy, or return None if there is none."""
        return self._copies.pop(request_id, None)

    def all(self) -> list[Copy]:
        """Return all copies."""
        return list(self._copies.values())

    def apply(self, batch: ProgressBatch) -> list[str]:
        """Add progress to the copies.

        Returns the request ids whose item was not applied: there is no copy,
        or it has another epoch or another number of tokens than the item
        continues from.
        """
        return [
            item.request_id
            for item in batch.items
            if not self._apply_item(item)
        ]

    def expire(self, age_s: float) -> None:
        """Remove copies of ended requests not updated for ``age_s`` seconds."""
        cutoff = time.monotonic() - age_s
        self._copies = {
            request_id: copy
            for request_id, copy in self._copies.items()
            if copy.progress.ending is None or copy.updated_at_s > cutoff
        }

    def _apply_item(self, item: ProgressItem) -> bool:
        copy = self._copies.get(item.request_id)
        if copy is None or copy.epoch != item.epoch:
            return False
        if len(copy.progress.tokens) != item.first:
            return False
        copy.progress.tokens.extend(item.tokens)
        copy.progress.upsert_attempt(item.attempt)
        copy.progress.ending = item.ending
        copy.updated_at_s = time.monotonic()
        return True
