"""Holds copies for peers and takes over the requests of lost peers."""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Self

from mallowspindle.attempts.request import (
    GenerationRequest,
    OwnedRequest,
    Progress,
)
from mallowspindle.config.native import NativeSettings
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.membership.service import MembershipService
from mallowspindle.peers.codec import ErrorReply, OkReply
from mallowspindle.recovery.copies import Copy, CopyStore
from mallowspindle.recovery.messages import (
    DropCopy,
    FindRequest,
    FindRequestReply,
    HandOver,
    ProgressBatch,
    ProgressReply,
    StoreCopy,
)
from mallowspindle.recovery.placement import choose_holder
from mallowspindle.recovery.replication import Replicator
from mallowspindle.utils.tasks import BackgroundTasks, run_periodically
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

_WATCH_INTERVAL_S = 0.1

takeovers = meter.create_counter('request_takeovers')

TakeOver = Callable[[OwnedRequest], None]


@service('recovery', requires=('membership',))
class RecoveryService(Service):
    """Holds copies for peers and places copies of own requests on peers."""

    def __init__(
        self, config: NativeSettings, membership: MembershipService
    ) -> None:
        self._config = config
        self._membership = membership
        self._copies = CopyStore()
        self._owned: dict[str, OwnedRequest] = {}
        self._replicator = Replicator(
            membership, config.recovery.copy_timeout_s
        )
        self._lost_since_s: dict[str, float] = {}
        self._tasks = BackgroundTasks()
        self._take_over: TakeOver | None = None

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service."""
        membership = kernel.find('membership', MembershipService)
        return cls(kernel.settings(NativeSettings), membership)

    @property
    def owned(self) -> dict[str, OwnedRequest]:
        """The requests that this node owns, including ended ones."""
        return self._owned

    @property
    def copies(self) -> CopyStore:
        """The copies that this node holds for peers."""
        return self._copies

    @property
    def replicator(self) -> Replicator:
        """Sends the progress of owned requests to their copies' holders."""
        return self._replicator

    async def start(self) -> None:
        """Start to accept copies and to watch their owners."""
        server = self._membership.server
        server.handle(StoreCopy, self._on_store)
        server.handle(DropCopy, self._on_drop)
        server.handle(ProgressBatch, self._on_progress)
        server.handle(HandOver, self._on_hand_over)
        server.handle(FindRequest, self._on_find)
        self._tasks.spawn(
            run_periodically(self._check_owners, _WATCH_INTERVAL_S), 'take-over'
        )

    async def drain(self, timeout_s: float) -> None:
        """Forward copies to other peers if no other node may have them.

        These are copies of lost owners' requests and of ended requests.
        """
        live = {info.name for info in self._membership.table.live()}
        for copy in self._copies.all():
            if copy.owner not in live or copy.progress.ending is not None:
                await self._forward_copy(copy)

    async def stop(self) -> None:
        """Stop watching and sending."""
        await self._tasks.cancel()
        await self._replicator.close()

    def register_takeover_callback(self, take_over: TakeOver) -> None:
        """Register the callback for requests that this node comes to own.

        These are handed over by their owner, or taken over after its loss.
        """
        self._take_over = take_over

    async def accept(self, request: GenerationRequest) -> OwnedRequest:
        """Become the owner of a new request.

        Where ``copies`` is ``acceptance`` it waits until a peer holds a copy
        or placing it has failed.
        """
        owned = OwnedRequest(request, epoch=0, progress=Progress())
        if self._config.recovery.copies == 'acceptance':
            await self._replicator.place_copy(owned)
        self._owned[request.request_id] = owned
        return owned

    async def find(self, request_id: str) -> FindRequestReply:
        """Return what this node or any live peer knows of a request."""
        local = self._find_locally(request_id)
        if local.owner == self._membership.own.name:
            return local
        timeout_s = self._config.recovery.copy_timeout_s
        query = FindRequest(request_id)
        replies = await asyncio.gather(
            *(
                self._membership.call_member(info.name, query, timeout_s)
                for info in self._membership.table.live()
            )
        )
        found = [
            reply for reply in replies if isinstance(reply, FindRequestReply)
        ]
        return max([local, *found], key=_freshness)

    async def _on_store(self, message: StoreCopy) -> object:
        known = self._owned.get(message.request.request_id)
        if known is not None and known.epoch >= message.epoch:
            return ErrorReply('this node owns the request')
        if self._membership.own.leaving:
            return ErrorReply('this node is leaving')
        if self._copies.store(message):
            return OkReply()
        return ErrorReply('a later copy is held')

    async def _on_progress(self, batch: ProgressBatch) -> ProgressReply:
        unapplied = self._copies.apply(batch)
        return ProgressReply(
            taken_over=[
                request_id for request_id in unapplied if self._owns(request_id)
            ],
            missing=[
                request_id
                for request_id in unapplied
                if not self._owns(request_id)
            ],
        )

    async def _on_drop(self, message: DropCopy) -> OkReply:
        copy = self._copies.get(message.request_id)
        if copy is not None and copy.epoch <= message.epoch:
            self._copies.pop(message.request_id)
        return OkReply()

    def _owns(self, request_id: str) -> bool:
        owned = self._owned.get(request_id)
        return owned is not None and not owned.moved_to

    async def _on_hand_over(self, message: HandOver) -> object:
        known = self._owned.get(message.request.request_id)
        if known is not None and known.epoch >= message.epoch:
            return OkReply()
        if self._membership.own.leaving:
            return ErrorReply('this node is leaving')
        self._copies.pop(message.request.request_id)
        self._take_ownership(message.request, message.epoch, message.progress)
        return OkReply()

    async def _on_find(self, message: FindRequest) -> FindRequestReply:
        return self._find_locally(message.request_id)

    def _find_locally(self, request_id: str) -> FindRequestReply:
        owned = self._owned.get(request_id)
        if owned is not None and not owned.moved_to:
            name = self._membership.own.name
            return self._describe(
                owned.request, name, owned.epoch, owned.progress
            )
        copy = self._copies.get(request_id)
        if copy is not None:
            return self._describe(
                copy.request, copy.owner, copy.epoch, copy.progress
            )
        return FindRequestReply()

    def _describe(
        self,
        request: GenerationRequest,
        owner: str,
        epoch: int,
        progress: Progress,
    ) -> FindRequestReply:
        return FindRequestReply(
            owner=owner,
            told_by=self._membership.own.name,
            epoch=epoch,
            organisation=request.organisation,
            model=request.model,
            kind=request.kind,
            tokens=progress.tokens,
            ending=progress.ending,
        )

    def _take_ownership(
        self, request: GenerationRequest, epoch: int, progress: Progress
    ) -> None:
        owned = OwnedRequest(request, epoch, progress)
        self._owned[request.request_id] = owned
        if self._take_over is not None:
            self._take_over(owned)

    async def _check_owners(self) -> None:
        live = {
            info.name: info.leaving for info in self._membership.table.live()
        }
        for copy in self._copies.all():
            if copy.owner in live:
                self._lost_since_s.pop(copy.owner, None)
            elif self._is_takeover_due(copy.owner):
                await self._take_over_copy(copy)
        await self._renew_copies(live)
        self._expire()

    def _is_takeover_due(self, owner: str) -> bool:
        now = time.monotonic()
        since_s = self._lost_since_s.setdefault(owner, now)
        return now - since_s >= self._config.recovery.takeover_after_s

    async def _take_over_copy(self, copy: Copy) -> None:
        request_id = copy.request.request_id
        if await self._is_newer_elsewhere(copy):
            self._copies.pop(request_id)
            return
        log.info('taking over request %s from %s', request_id, copy.owner)
        if copy.progress.ending is None:
            takeovers.add(1)
        self._copies.pop(request_id)
        self._take_ownership(copy.request, copy.epoch + 1, copy.progress)

    async def _is_newer_elsewhere(self, copy: Copy) -> bool:
        """Tell whether a peer owns the request or has a newer copy of it."""
        newest = await self.find(copy.request.request_id)
        own = self._find_locally(copy.request.request_id)
        return _freshness(newest) > _freshness(own)

    async def _renew_copies(self, live: dict[str, bool]) -> None:
        """Place new copies of requests whose holder is lost or leaving."""
        needing_copy = [
            owned for owned in self._owned.values() if _needs_copy(owned, live)
        ]
        for owned in needing_copy:
            await self._replicator.place_copy(
                owned, former_holder=owned.copy_holder
            )

    def _expire(self) -> None:
        age_s = self._config.limits.result_retention_s
        self._copies.expire(age_s)
        cutoff_s = time.monotonic() - age_s
        expired = [
            request_id
            for request_id, owned in self._owned.items()
            if owned.is_final and owned.ended_at_s < cutoff_s
        ]
        for request_id in expired:
            self._owned.pop(request_id)

    async def _forward_copy(self, copy: Copy) -> None:
        holder = choose_holder(
            copy.request.request_id,
            self._membership.own,
            self._membership.table.live(),
            avoid=[copy.owner],
        )
        if holder is None:
            return
        message = StoreCopy(copy.request, copy.owner, copy.epoch, copy.progress)
        await self._membership.call_member(
            holder.name, message, self._config.recovery.copy_timeout_s
        )


def _needs_copy(owned: OwnedRequest, live: dict[str, bool]) -> bool:
    """Tell whether the holder is lost or leaving.

    ``live`` maps the names of live nodes to whether they are leaving.
    """
    if not owned.copy_holder or owned.moved_to:
        return False
    return live.get(owned.copy_holder, True)


def _freshness(known: FindRequestReply) -> tuple[int, bool, int, str]:
    """Sort key of replies about a request, least recent first.

    The name of the replying node breaks ties.
    """
    ended = known.ending is not None
    return known.epoch, ended, len(known.tokens), known.told_by
