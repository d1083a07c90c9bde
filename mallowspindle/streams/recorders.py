"""Which nodes log the streams of all, and how the others reach them."""

import asyncio
import logging
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Self

from opentelemetry.metrics import Observation

from mallowspindle.log.errors import LogError
from mallowspindle.membership.messages import MemberInfo
from mallowspindle.sharing.service import SharingService
from mallowspindle.streams.messages import (
    LogStreams,
    StreamBegun,
    StreamsLogged,
)
from mallowspindle.streams.recording import StreamRecorder
from mallowspindle.streams.store import StreamStore
from mallowspindle.streams.unlogged import LoggingPace, UnloggedStreams
from mallowspindle.utils.identifiers import bucket_of, rendezvous_order
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

# Number of nodes that log streams while all answer.
_RECORDERS = 2
# They answer at once, before they have logged anything.
_ANSWER_TIMEOUT_S = 0.3
# A node that gave no answer is passed over for this long. Once it is known to
# be lost, it is no longer in the order.
_SILENCE_S = 1.0

passed_over_total = meter.create_counter('stream_recorders_passed_over')


class StreamRecorders:
    """The nodes in the order in which they log streams.

    All nodes have the same order, apart from members that have just joined or
    left, so that few nodes log for all, also after the loss of the first ones.
    """

    def __init__(
        self,
        sharing: SharingService,
        own: StreamRecorder,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._sharing = sharing
        self._own = own
        self._clock = clock
        self._silent_until_s: dict[str, float] = {}

    def names(self) -> list[str]:
        """Return the nodes that log streams while all answer."""
        return self._order()[:_RECORDERS]

    def peers(self) -> list[MemberInfo]:
        """Return those of them that are not this node."""
        infos = {info.name: info for info in self._sharing.peers()}
        return [infos[name] for name in self.names() if name in infos]

    async def log(self, streams: Sequence[StreamBegun]) -> Sequence[bool]:
        """Offer streams to a node that logs them; return which are logged.

        A node that does not answer is passed over for the next one, at last for
        this one.
        """
        while True:
            info = self._choose()
            if info is None:
                return self._own.add(streams)
            reply = await self._offer(info, streams)
            if reply is not None and len(reply.logged) == len(streams):
                return reply.logged
            self._pass_over(info, len(streams))

    def _choose(self) -> MemberInfo | None:
        """Return the node that logs this node's streams; None for itself."""
        now_s = self._clock()
        infos = {info.name: info for info in self._sharing.peers()}
        order = self._order()
        first = bucket_of(self._own_name, len(order[:_RECORDERS]))
        for name in (*order[first:_RECORDERS], *order):
            if name == self._own_name:
                return None
            if self._silent_until_s.get(name, 0) <= now_s and name in infos:
                return infos[name]
        return None

    async def _offer(
        self, info: MemberInfo, streams: Sequence[StreamBegun]
    ) -> StreamsLogged | None:
        """Return the answer of a node; None if there is none in time."""
        try:
            # The call's own time limit leaves out the time to connect.
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                reply = await self._sharing.ask(
                    info, LogStreams(list(streams)), _ANSWER_TIMEOUT_S
                )
        except TimeoutError:
            return None
        return reply if isinstance(reply, StreamsLogged) else None

    def _pass_over(self, info: MemberInfo, streams: int) -> None:
        self._silent_until_s[info.name] = self._clock() + _SILENCE_S
        passed_over_total.add(1)
        log.info(
            'no answer from the node that logs streams',
            extra={'node': info.name, 'streams': streams},
        )

    @property
    def _own_name(self) -> str:
        return self._sharing.membership.own.name

    def _order(self) -> list[str]:
        """Return the nodes that may log streams, at least one."""
        own = self._sharing.membership.own
        names = [
            info.name for info in self._sharing.peers() if not info.leaving
        ]
        if not own.leaving or not names:
            names.append(own.name)
        return rendezvous_order('stream recorders', names)


@dataclass(frozen=True, slots=True)
class StreamLogging:
    """What takes part in logging streams at one node."""

    recorder: StreamRecorder
    recorders: StreamRecorders
    unlogged: UnloggedStreams

    @classmethod
    def build(
        cls,
        sharing: SharingService,
        store: StreamStore,
        pace: Callable[[], LoggingPace],
        clock: Callable[[], float],
    ) -> Self:
        """Connect the parts."""
        recorder = StreamRecorder(store, clock, lambda: pace().batch_s)
        recorders = StreamRecorders(sharing, recorder, clock)
        unlogged = UnloggedStreams(recorders.log, pace, clock)
        meter.create_observable_gauge(
            'streams_unlogged', [lambda options: [Observation(len(unlogged))]]
        )
        return cls(recorder, recorders, unlogged)

    async def log_rest(self) -> None:
        """Log what the log may lack, before this node stops."""
        self.recorder.add(self.unlogged.streams())
        try:
            await self.recorder.flush()
        except LogError as error:
            log.info(
                'streams not logged at the stop',
                extra={'error': str(error), 'streams': len(self.unlogged)},
            )
