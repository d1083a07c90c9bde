"""Places copies of owned requests on peers and keeps them up to date."""

import asyncio
import logging

from mallowspindle.attempts.request import AttemptInfo, Ending, OwnedRequest
from mallowspindle.membership.service import MembershipService
from mallowspindle.peers.codec import OkReply
from mallowspindle.recovery.messages import (
    DropCopy,
    HandOver,
    ProgressBatch,
    ProgressReply,
    StoreCopy,
)
from mallowspindle.recovery.outbox import Outbox, PendingProgress
from mallowspindle.recovery.placement import choose_holder
from mallowspindle.utils.tasks import BackgroundTasks
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

_MAX_PEER_TRIES = 3
_NO_HOLDER = ''

unprotected_requests = meter.create_counter('requests_without_copy')


class Replicator:
    """Sends each request's progress to the holder of its copy."""

    def __init__(
        self, membership: MembershipService, copy_timeout_s: float
    ) -> None:
        self._membership = membership
        self._timeout_s = copy_timeout_s
        self._outbox = Outbox()
        self._senders: dict[str, asyncio.Task[None]] = {}
        self._tasks = BackgroundTasks()

    async def close(self) -> None:
        """Stop sending."""
        await self._tasks.cancel()

    async def place_copy(
        self, owned: OwnedRequest, former_holder: str = ''
    ) -> bool:
        """Place a copy with all committed progress on a peer.

        ``former_holder`` is never chosen; if it is live, it is sent a request
        to drop its copy once another peer has one. Returns False if no peer
        took it.
        """
        avoid = [former_holder]
        for _ in range(_MAX_PEER_TRIES):
            name = self._next_peer(owned, avoid)
            if not name:
                break
            if await self._store_at(owned, name):
                await self._drop_at(owned, former_holder)
                return True
            avoid.append(name)
        log.warning(
            'no peer stored a copy of request %s', owned.request.request_id
        )
        owned.copy_holder = _NO_HOLDER
        unprotected_requests.add(1)
        return False

    async def hand_over(self, owned: OwnedRequest) -> bool:
        """Make a live peer the owner of a request.

        Returns True once a peer has accepted it, or if it has ended or moved.
        """
        await self._outbox.block_sending(owned)
        try:
            return await self._hand_over_to_any(owned)
        finally:
            await self._outbox.clear_in_flight(owned)

    async def _hand_over_to_any(self, owned: OwnedRequest) -> bool:
        avoid: list[str] = []
        for _ in range(_MAX_PEER_TRIES):
            name = self._next_peer(owned, avoid)
            if not name or owned.is_final:
                break
            if await self._hand_over_to(owned, name):
                return True
            avoid.append(name)
        return owned.is_final

    def add(
        self, owned: OwnedRequest, change: AttemptInfo | Ending | str
    ) -> None:
        """Add a token, a new state of the attempt, or the ending.

        It is committed once the holder has acknowledged it.
        """
        self._outbox.add(owned, change)
        self._ensure_sender(owned.copy_holder)

    def _next_peer(self, owned: OwnedRequest, avoid: list[str]) -> str:
        peer = choose_holder(
            owned.request.request_id,
            self._membership.own,
            self._membership.table.live(),
            avoid,
        )
        return peer.name if peer else ''

    async def _store_at(self, owned: OwnedRequest, name: str) -> bool:
        message = StoreCopy(
            owned.request,
            self._membership.own.name,
            owned.epoch,
            owned.progress,
        )
        reply = await self._membership.call_member(
            name, message, self._timeout_s
        )
        if not isinstance(reply, OkReply):
            return False
        owned.copy_holder = name
        return True

    async def _drop_at(self, owned: OwnedRequest, former_holder: str) -> None:
        """Send a live former holder the message to drop its outdated copy.

        Otherwise it could take the request over from that copy.
        """
        live = {info.name for info in self._membership.table.live()}
        if former_holder in live:
            message = DropCopy(owned.request.request_id, owned.epoch)
            await self._membership.call_member(
                former_holder, message, self._timeout_s
            )

    async def _hand_over_to(self, owned: OwnedRequest, name: str) -> bool:
        message = HandOver(owned.request, owned.epoch + 1, owned.progress)
        reply = await self._membership.call_member(
            name, message, self._timeout_s
        )
        if not isinstance(reply, OkReply):
            return False
        if not owned.is_final:
            owned.mark_moved(name)
        return True

    def _ensure_sender(self, holder: str) -> None:
        task = self._senders.get(holder)
        if task is None or task.done():
            self._senders[holder] = self._tasks.spawn(
                self._send_to(holder), f'progress to {holder}'
            )

    async def _send_to(self, holder: str) -> None:
        while True:
            batch = await self._outbox.take_pending(holder)
            await self._send_batch(holder, batch)
            for pending in batch:
                await self._outbox.clear_in_flight(pending.owned)
                self._ensure_sender(pending.owned.copy_holder)

    async def _send_batch(
        self, holder: str, batch: list[PendingProgress]
    ) -> None:
        reply = await self._deliver(holder, batch)
        await asyncio.gather(
            *(self._apply_reply(holder, pending, reply) for pending in batch)
        )

    async def _apply_reply(
        self, holder: str, pending: PendingProgress, reply: ProgressReply
    ) -> None:
        request_id = pending.owned.request.request_id
        if request_id in reply.taken_over:
            _mark_moved(pending.owned, holder)
        elif request_id in reply.missing:
            await self._redeliver(pending)
        else:
            pending.commit()

    async def _deliver(
        self, holder: str, batch: list[PendingProgress]
    ) -> ProgressReply:
        if holder == _NO_HOLDER or not batch:
            return ProgressReply()
        message = ProgressBatch([pending.as_item() for pending in batch])
        reply = await self._membership.call_member(
            holder, message, self._timeout_s
        )
        if isinstance(reply, ProgressReply):
            return reply
        ids = [pending.owned.request.request_id for pending in batch]
        return ProgressReply(missing=ids)

    async def _redeliver(self, pending: PendingProgress) -> None:
        owned = pending.owned
        if owned.is_final:
            return
        await self.place_copy(owned, former_holder=owned.copy_holder)
        reply = await self._deliver(owned.copy_holder, [pending])
        if reply.taken_over:
            _mark_moved(owned, owned.copy_holder)
        else:
            pending.commit()


def _mark_moved(owned: OwnedRequest, node: str) -> None:
    if not owned.is_final:
        owned.mark_moved(node)
