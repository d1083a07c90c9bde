"""Keeps a stream up to date: reads it in turn, asks peers when it can't."""

import asyncio
import logging
import random
import time
from collections.abc import Callable

from mallowspindle.catalog.following import (
    StreamEnd,
    StreamFollower,
    StreamNews,
    StreamRequest,
    message_of,
)
from mallowspindle.log.errors import LogError
from mallowspindle.membership.messages import MemberInfo
from mallowspindle.policies.polling import polling_delay_s
from mallowspindle.sharing.service import SharingService
from mallowspindle.utils.identifiers import rendezvous_weight
from mallowspindle.utils.tasks import BackgroundTasks

log = logging.getLogger(__name__)

# Pause after a failed read; calls that the store refuses are priced too.
_FAILURE_PAUSE_S = 0.5
# The least pause between reads, as while records are missing that are known to
# exist: within the operators' bound of 2 s for a configuration it allows some.
_URGENT_PAUSE_S = 0.2
# Peers are asked for what an own read has not brought after this time: a read
# of 100 KB takes a third of it on a link of 5 Mbit/s.
_PATIENCE_S = 0.5
# A peer without an answer after this time is not waited for alone: with four
# silent ones in a row a configuration is still in force within 2 s.
_NEXT_PEER_S = 0.25
_PEER_TIMEOUT_S = 1.0
# Peers that are asked before this node pauses.
_MOST_ASKED = 8
_ASKING_PAUSE_S = 0.3
# A node that reaches the store no more and has heard nothing for this time asks
# too: all others would have read by then.
_UNHEARD_S = 1.5
# The same then: while the store is away all nodes ask for nothing.
_ASKED_IN_DOUBT = 2
_DOUBT_PAUSE_S = 1.0
# Peers that did not help are asked last for this time, in which a link or a
# process that failed is mostly back.
_UNHELPFUL_FOR_S = 5.0
# Silence of this length means that no node reads the store: entries lapse
# only after three heartbeats of a server, so a shorter outage removes none.
_AWAY_AFTER_S = 2.0


class StreamSynchronizer:
    """Reads one stream for all nodes, or for itself.

    Reads and questions to peers run side by side: neither waits for one that
    gets no answer.
    """

    def __init__(
        self,
        follower: StreamFollower,
        sharing: SharingService,
        interval_s: float,
        note_news: Callable[[StreamNews], None],
        note_outage: Callable[[], None],
    ) -> None:
        self._follower = follower
        self._sharing = sharing
        self._interval_s = interval_s
        self._note_news = note_news
        self._note_outage = note_outage
        self._reachable = True
        self._reads = BackgroundTasks()
        self._questions = BackgroundTasks()
        self._next_read_s = 0.0
        self._next_question_s = 0.0
        self._unhelpful: dict[str, float] = {}
        self._weights: dict[str, int] = {}

    @property
    def follower(self) -> StreamFollower:
        """What is known of the stream."""
        return self._follower

    def step(self) -> None:
        """Begin what is due now."""
        now_s = time.monotonic()
        if not self._reads and now_s >= self._next_read_s and self._is_due():
            self._next_read_s = now_s + _URGENT_PAUSE_S
            self._reads.spawn(self._read(), self._follower.stream)
        if self._questions or now_s < self._next_question_s:
            return
        if self._needs_peers:
            self._questions.spawn(self._ask_peers(), 'ask for a state')

    async def stop(self) -> None:
        """Stop all that was begun."""
        await self._reads.cancel()
        await self._questions.cancel()

    @property
    def _needs_peers(self) -> bool:
        if self._follower.behind_s >= _PATIENCE_S:
            return True
        if self._reachable:
            return False
        return self._follower.has_gap or self._follower.age_s > _UNHEARD_S

    def _is_due(self) -> bool:
        if self._follower.has_gap:
            return True
        age_s = self._follower.age_s
        if age_s < polling_delay_s(self._interval_s, 0):
            # Not even the first in the order reads now.
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

    async def _read(self) -> None:
        # What was missed is no news to the peers, and all may have missed it.
        for_peers = not self._follower.has_gap
        try:
            news = await self._follower.read(for_peers=for_peers)
        except LogError as error:
            self._note_failure(error)
            return
        if not self._reachable:
            self._reachable = True
            log.info('store reached again', extra=self._stream_field())
        if for_peers:
            self._sharing.tell_all(message_of(news))
        self._note_news(news)

    def _note_failure(self, error: LogError) -> None:
        """Tell an outage of the store from one of this node's path to it."""
        if self._follower.silence_s > _AWAY_AFTER_S:
            self._note_outage()
        if self._reachable:
            extra = {'error': str(error), **self._stream_field()}
            log.warning('store not reached', extra=extra)
        self._reachable = False
        urgent = self._follower.has_gap
        pause_s = _URGENT_PAUSE_S if urgent else _FAILURE_PAUSE_S
        self._next_read_s = time.monotonic() + pause_s

    async def _ask_peers(self) -> None:
        """Take the state from peers, one after the other."""
        in_doubt = not self._follower.has_gap
        peers = self._most_helpful(self._sharing.peers())
        for info in peers[: _ASKED_IN_DOUBT if in_doubt else _MOST_ASKED]:
            if not self._needs_peers:
                break
            question = self._questions.spawn(self._ask(info), 'ask a peer')
            await asyncio.wait({question}, timeout=_NEXT_PEER_S)
        pause_s = _DOUBT_PAUSE_S if in_doubt else _ASKING_PAUSE_S
        self._next_question_s = time.monotonic() + pause_s

    def _most_helpful(self, peers: list[MemberInfo]) -> list[MemberInfo]:
        """Return peers to ask: near ones first, those that failed last."""
        now_s = time.monotonic()
        zone = self._sharing.membership.own.zone
        self._unhelpful = {
            name: at_s
            for name, at_s in self._unhelpful.items()
            if now_s - at_s < _UNHELPFUL_FOR_S
        }
        mixed = random.sample(peers, len(peers))
        mixed.sort(
            key=lambda info: (
                self._unhelpful.get(info.name, 0),
                info.zone != zone,
            )
        )
        return mixed

    async def _ask(self, info: MemberInfo) -> None:
        request = StreamRequest(self._follower.stream, self._follower.through)
        # Until it answers it is not the first to be asked again.
        self._unhelpful[info.name] = time.monotonic()
        reply = await self._sharing.ask(info, request, _PEER_TIMEOUT_S)
        if isinstance(reply, StreamNews):
            self._unhelpful.pop(info.name, None)
            self._follower.learn(reply)
            self._note_news(reply)
        elif isinstance(reply, StreamEnd):
            self._follower.learn_end(reply)

    def _stream_field(self) -> dict[str, str]:
        return {'stream': self._follower.stream}
