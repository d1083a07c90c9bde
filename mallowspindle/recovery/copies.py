"""Copies of peers' requests that this node holds."""

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
    """One copy, its owner and the time of the last news."""

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
        """Hold a copy; False if a copy of a later epoch is held."""
        held = self._copies.get(message.request.request_id)
        if held is not None and held.epoch > message.epoch:
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
        """Return a copy, if it is held."""
        return self._copies.get(request_id)

    def pop(self, request_id: str) -> Copy | None:
        """Remove and return a copy."""
        return self._copies.pop(request_id, None)

    def all(self) -> list[Copy]:
        """Return all copies."""
        return list(self._copies.values())

    def apply(self, batch: ProgressBatch) -> list[str]:
        """Add progress to the copies; return the ids without fitting copy."""
        return [
            entry.request_id
            for entry in batch.items
            if not self._apply_item(entry)
        ]

    def expire(self, age_s: float) -> None:
        """Remove ended copies without news for ``age_s`` seconds."""
        horizon = time.monotonic() - age_s
        self._copies = {
            request_id: copy
            for request_id, copy in self._copies.items()
            if copy.progress.ending is None or copy.updated_at_s > horizon
        }

    def _apply_item(self, entry: ProgressItem) -> bool:
        copy = self._copies.get(entry.request_id)
        if copy is None or copy.epoch != entry.epoch:
            return False
        if len(copy.progress.tokens) != entry.first:
            return False
        copy.progress.tokens.extend(entry.tokens)
        copy.progress.upsert_attempt(entry.attempt)
        copy.progress.ending = entry.ending
        copy.updated_at_s = time.monotonic()
        return True
