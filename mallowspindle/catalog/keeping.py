"""Keep a stream up to date by reading in turn and by asking peers."""

import asyncio
import logging
import random
import time
from collections.abc import Callable

from mallowspindle.catalog.following import (
    OUTAGE_AFTER_S,
    StreamEnd,
    StreamFollower,
    StreamRequest,
    StreamUpdate,
    message_for_peers,
)
from mallowspindle.log.errors import LogError
from mallowspindle.membership.messages import MemberInfo
from mallowspindle.policies.polling import polling_delay_s
from mallowspindle.sharing.service import SharingService
from mallowspindle.utils.clock import boot_clock_s
from mallowspindle.utils.identifiers import rendezvous_weight
from mallowspindle.utils.tasks import BackgroundTasks

log = logging.getLogger(__name__)

# Pause after a failed read: the store also charges for refused calls.
_FAILURE_PAUSE_S = 0.5
# Shortest pause between reads, used while records are known to be missing: the
# operators' bound of 2 s for a configuration leaves time for several reads.
_MIN_PAUSE_S = 0.2
# Time for own reads to fetch missing records before peers are queried: reading
# 100 KB on a link of 5 Mbit/s takes a third of it.
_GAP_TIMEOUT_S = 0.5
# The next peer is queried if one has not answered after this time. Even after
# four silent peers in a row a configuration is in force within 2 s.
_NEXT_PEER_DELAY_S = 0.25
_PEER_TIMEOUT_S = 1.0
# Peers queried in one round, and the pause between rounds.
_MAX_PEERS_ASKED = 8
_QUERY_PAUSE_S = 0.3
# A node that cannot reach the store also queries peers once its state is older
# than this: any other node would have read the store by then.
_OUTDATED_AFTER_S = 1.5
# Limits for rounds without a known gap: during an outage of the store all nodes
# query their peers, and no peer has newer records.
_MAX_PEERS_WITHOUT_GAP = 2
_PAUSE_WITHOUT_GAP_S = 1.0
# Peers that gave no answer are queried last for this time; a failed link or
# process has usually recovered by then.
_ASK_LAST_FOR_S = 5.0
# A read that began so shortly before a question answers it too. A server that
# has registered since can't have begun a stream that is taken up already.
_SHARED_READ_S = 0.1


class StreamSynchronizer:
    """Reader of one stream, for all nodes or only for this one.

    Reads and queries to peers run concurrently, so that neither waits for the
    other when there is no answer.
    """

    def __init__(
        self,
        follower: StreamFollower,
        sharing: SharingService,
        interval_s: float,
        note_update: Callable[[StreamUpdate], None],
        note_outage: Callable[[], None],
    ) -> None:
        self._follower = follower
        self._sharing = sharing
        self._interval_s = interval_s
        self._note_update = note_update
        self._note_outage = note_outage
        self._reachable = True
        self._reads = BackgroundTasks()
        self._queries = BackgroundTasks()
        self._next_read_s = 0.0
        self._next_query_s = 0.0
        self._unanswered: dict[str, float] = {}
        self._weights: dict[str, int] = {}
        self._outage_told_at_s = 0.0

    @property
    def outage_told_at_s(self) -> float:
        """When a peer was asked that had not heard from the store either.

        Only questions that were answered count. It is on the boot clock.
        """
        return self._outage_told_at_s

    @property
    def follower(self) -> StreamFollower:
        """The follower that holds the state of the stream."""
        return self._follower

    def step(self) -> None:
        """Start the read and the queries that are due."""
        now_s = time.monotonic()
        if not self._reads and now_s >= self._next_read_s:
            self._read_if_due(now_s)
        if self._queries or now_s < self._next_query_s:
            return
        if self._needs_peers:
            self._queries.spawn(self._ask_peers(), 'query peers')

    def _read_if_due(self, now_s: float) -> None:
        """Read in turn for all nodes, or only for this one.

        A node whose updates take long reads for itself: while all nodes are
        busy, news of each of these reads to all others would delay them more.
        """
        in_turn = self._is_due()
        if in_turn or self._follower.certain_age_s > _OUTDATED_AFTER_S:
            self._next_read_s = now_s + _MIN_PAUSE_S
            self._reads.spawn(
                self._read(in_turn=in_turn), self._follower.stream
            )

    async def confirm(self, timeout_s: float) -> bool:
        """Read until the state is as of now; return whether it came so far.

        Calls that come together share a read.
        """
        needed_at_s = boot_clock_s() - _SHARED_READ_S
        ends_at_s = boot_clock_s() + timeout_s
        while self._follower.certain_at_s < needed_at_s:
            left_s = ends_at_s - boot_clock_s()
            if left_s <= 0 or not self._reachable:
                return False
            if not self._reads:
                self._reads.spawn(
                    self._read(in_turn=False), self._follower.stream
                )
            await self._reads.wait_for_any(left_s)
        return True

    async def stop(self) -> None:
        """Cancel running reads and queries."""
        await self._reads.cancel()
        await self._queries.cancel()

    @property
    def _needs_peers(self) -> bool:
        if self._follower.gap_age_s >= _GAP_TIMEOUT_S:
            return True
        if self._reachable:
            return False
        return (
            self._follower.has_gap or self._follower.age_s > _OUTDATED_AFTER_S
        )

    def _is_due(self) -> bool:
        if self._follower.has_gap:
            return True
        age_s = self._follower.age_s
        if age_s < polling_delay_s(self._interval_s, 0):
            # Too early even for the first node: the order is not needed.
            return False
        names = [info.name for info in self._sharing.peers()]
        rank = self._rank_among(names)
        return age_s >= polling_delay_s(self._interval_s, rank, len(names) + 1)

    def _rank_among(self, names: list[str]) -> int:
        own = self._weight_of(self._sharing.membership.own.name)
        return sum(self._weight_of(name) > own for name in names)

    def _weight_of(self, name: str) -> int:
        weight = self._weights.get(name)
        if weight is None:
            weight = rendezvous_weight(self._follower.stream, name)
            self._weights[name] = weight
        return weight

    async def _read(self, *, in_turn: bool) -> None:
        # Peers know of the missing records, and all of them may be reading them
        # at the same time.
        for_peers = in_turn and not self._follower.has_gap
        try:
            update = await self._follower.read(for_peers=for_peers)
        except LogError as error:
            self._note_failure(error)
            return
        if not self._reachable:
            self._reachable = True
            log.info('store reached again', extra=self._stream_field())
        if for_peers:
            self._sharing.broadcast(message_for_peers(update))
        self._note_update(update)

    def _note_failure(self, error: LogError) -> None:
        """Plan the next read; note an outage if no other node reads either."""
        if self._follower.since_last_read_s > OUTAGE_AFTER_S:
            self._note_outage()
        if self._reachable:
            extra = {'error': str(error), **self._stream_field()}
            log.warning('store not reached', extra=extra)
        self._reachable = False
        urgent = self._follower.has_gap
        pause_s = _MIN_PAUSE_S if urgent else _FAILURE_PAUSE_S
        self._next_read_s = time.monotonic() + pause_s

    async def _ask_peers(self) -> None:
        """Ask peers for their state, one after the other."""
        without_gap = not self._follower.has_gap
        peers = self._by_preference(self._sharing.peers())
        for info in peers[
            : _MAX_PEERS_WITHOUT_GAP if without_gap else _MAX_PEERS_ASKED
        ]:
            if not self._needs_peers:
                break
            query = self._queries.spawn(self.ask(info), 'query a peer')
            await asyncio.wait({query}, timeout=_NEXT_PEER_DELAY_S)
        pause_s = _PAUSE_WITHOUT_GAP_S if without_gap else _QUERY_PAUSE_S
        self._next_query_s = time.monotonic() + pause_s

    def _by_preference(self, peers: list[MemberInfo]) -> list[MemberInfo]:
        """Return peers in the order to query: own zone first, failed last."""
        now_s = time.monotonic()
        zone = self._sharing.membership.own.zone
        self._unanswered = {
            name: at_s
            for name, at_s in self._unanswered.items()
            if now_s - at_s < _ASK_LAST_FOR_S
        }
        shuffled = random.sample(peers, len(peers))
        shuffled.sort(
            key=lambda info: (
                self._unanswered.get(info.name, 0),
                info.zone != zone,
            )
        )
        return shuffled

    async def ask(self, info: MemberInfo) -> None:
        """Ask a peer for its state of the stream, and apply it."""
        asked_at_s = boot_clock_s()
        request = StreamRequest(self._follower.stream, self._follower.through)
        # Sorts the peer behind the others until it has answered.
        self._unanswered[info.name] = time.monotonic()
        reply = await self._sharing.ask(info, request, _PEER_TIMEOUT_S)
        if isinstance(reply, StreamUpdate):
            self._unanswered.pop(info.name, None)
            self._follower.apply_update(reply)
            self._note_update(reply)
        elif isinstance(reply, StreamEnd):
            self._follower.apply_end(reply)
        else:
            return
        if reply.age_s > _OUTDATED_AFTER_S:
            self._outage_told_at_s = max(self._outage_told_at_s, asked_at_s)

    def _stream_field(self) -> dict[str, str]:
        return {'stream': self._follower.stream}
