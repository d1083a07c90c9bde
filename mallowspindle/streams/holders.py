"""The peers that know of a stream, chosen by its key."""

import asyncio
from collections.abc import Iterable, Iterator

from mallowspindle.membership.messages import MemberInfo
from mallowspindle.sharing.service import SharingService
from mallowspindle.streams.messages import StreamBegun, StreamKey, StreamQuery
from mallowspindle.utils.identifiers import rendezvous_order
from mallowspindle.utils.tasks import BackgroundTasks

# Number of peers that are told of a stream. They answer within a millisecond,
# and while the log is away.
_HOLDERS = 3
# So many are tried.
_MAX_TOLD = 2 * _HOLDERS
# A member that has joined or left since moves the order by one.
_ASKED = _HOLDERS + 1
_QUERY_TIMEOUT_S = 0.5
_TELL_TIMEOUT_S = 1.0


class StreamHolders:
    """Tells and asks the peers that come first in the order of a key."""

    def __init__(self, sharing: SharingService) -> None:
        self._sharing = sharing
        self._tasks = BackgroundTasks()

    async def stop(self) -> None:
        """Stop telling peers."""
        await self._tasks.cancel()

    def tell(self, begun: StreamBegun) -> None:
        """Tell the first peers that answer."""
        peers = iter(self._in_order(begun.key)[:_MAX_TOLD])
        for _ in range(_HOLDERS):
            self._tasks.spawn(self._tell_one_of(peers, begun), 'stream begun')

    async def ask(
        self, key: StreamKey, others: Iterable[MemberInfo]
    ) -> StreamBegun | None:
        """Ask the peers and ``others``; the first one that knows counts."""
        infos = (*self._in_order(key)[:_ASKED], *others)
        asked = [
            asyncio.create_task(self._ask(info, key))
            for info in {info.name: info for info in infos}.values()
        ]
        try:
            for reply in asyncio.as_completed(asked):
                found = await reply
                if found is not None:
                    return found
        finally:
            for task in asked:
                task.cancel()
        return None

    async def _tell_one_of(
        self, peers: Iterator[MemberInfo], begun: StreamBegun
    ) -> None:
        for info in peers:
            if await self._sharing.ask(info, begun, _TELL_TIMEOUT_S):
                break

    async def _ask(
        self, info: MemberInfo, key: StreamKey
    ) -> StreamBegun | None:
        reply = await self._sharing.ask(
            info, StreamQuery(key), _QUERY_TIMEOUT_S
        )
        return reply if isinstance(reply, StreamBegun) else None

    def _in_order(self, key: StreamKey) -> list[MemberInfo]:
        peers = {
            info.name: info
            for info in self._sharing.peers()
            if not info.leaving
        }
        order = rendezvous_order('/'.join(key), peers)
        return [peers[name] for name in order]
