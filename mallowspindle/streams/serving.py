"""The software versions that have served lately, also before a restart."""

import asyncio
import logging
import math
import random
import time
from collections.abc import Callable, Collection, Iterable
from itertools import islice

from mallowspindle.catalog.servers import BackendServer
from mallowspindle.catalog.service import CatalogService
from mallowspindle.log.errors import LogError
from mallowspindle.membership.messages import MemberInfo
from mallowspindle.sharing.service import SharingService
from mallowspindle.streams.messages import VersionsQuery, VersionsReply
from mallowspindle.streams.records import StreamOrigin
from mallowspindle.streams.store import StreamStore
from mallowspindle.streams.versions import VersionHistory
from mallowspindle.utils.tasks import BackgroundTasks, wait_for_event

log = logging.getLogger(__name__)

# Pause between two tries to learn which versions served before the start.
_LOAD_PAUSE_S = 0.5
_QUERY_TIMEOUT_S = 0.5
_ASKED_PEERS = 3
# A caller waits while a node finds out whether it is up to date.
_CONFIRM_TIMEOUT_S = 0.25
# A peer whose servers are known as of this time is up to date: any node reads
# them more often.
MAX_SERVERS_AGE_S = 1.8
# While a service has several versions, their ages are logged this often.
_SAVE_INTERVAL_S = 3.0


class ServingVersions:
    """What this node, its former process and its peers have seen.

    The log has the versions as they were when they last changed, so that a
    change while no node runs shows too.
    """

    def __init__(
        self,
        catalog: CatalogService,
        sharing: SharingService,
        store: StreamStore | None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._catalog = catalog
        self._sharing = sharing
        self._store = store
        self._clock = clock
        self._history = VersionHistory(clock)
        self._completed = asyncio.Event()
        if store is None:
            self._completed.set()
        self._saved: dict[str, frozenset[str]] | None = None
        self._saved_at_s = 0.0
        self._tasks = BackgroundTasks()

    @property
    def is_complete(self) -> bool:
        """Whether the versions before the start of this node are known."""
        return self._completed.is_set()

    def start(self) -> None:
        """Learn which versions served before the start, and answer peers."""
        self._sharing.membership.server.handle(VersionsQuery, self._answer)
        if self._store is not None:
            self._tasks.spawn(self._load(self._store), 'served versions')

    async def stop(self) -> None:
        """Stop all tasks."""
        await self._tasks.cancel()

    async def wait_until_complete(self, timeout_s: float) -> None:
        """Wait until the versions before the start are known, or for a time."""
        await wait_for_event(self._completed, timeout_s)

    def update(self, servers: Iterable[BackendServer]) -> None:
        """Record the versions of the servers that are registered now."""
        self._history.update(servers)

    async def make_certain(self) -> bool:
        """Learn of versions that have come lately; return whether all are known.

        A node that stood still, or was cut off from the log and from others,
        does not know of servers that have registered meanwhile, and others may
        have begun streams there.
        """
        if await self._catalog.confirm_servers(_CONFIRM_TIMEOUT_S):
            return True
        return await self._ask_peers_about_servers()

    def has_several(self, service_name: str) -> bool:
        """Return whether streams of several versions may be in progress."""
        return not self.is_complete or self._history.has_several(service_name)

    def any_has_several(self) -> bool:
        """Return whether this holds for any service."""
        return not self.is_complete or self._history.any_has_several()

    def origins(self, services: Iterable[str]) -> set[StreamOrigin]:
        """Return where streams of some services may have begun.

        This includes all that is known, which ``make_certain`` completes.
        """
        return {
            StreamOrigin(name, version)
            for name in services
            for version in self._history.lately(name)
        }

    async def save_if_due(self, recorders: Collection[str]) -> None:
        """Log the versions if they have changed, or are several.

        After a release, what other nodes than ``recorders`` have logged of
        streams is dropped.
        """
        if self._store is None or not self.is_complete:
            return
        ages_s = self._history.ages_s()
        names = {
            service_name: frozenset(versions)
            for service_name, versions in ages_s.items()
        }
        has_several = any(len(versions) > 1 for versions in names.values())
        age_s = self._clock() - self._saved_at_s
        is_old = has_several and age_s >= _SAVE_INTERVAL_S
        if not names or names == self._saved and not is_old:
            return
        try:
            await self._store.save_versions(ages_s)
            if not has_several and self._saved is not None:
                await self._store.drop_streams(recorders)
        except LogError as error:
            log.info('served versions not logged', extra={'error': str(error)})
        else:
            self._saved = names
            self._saved_at_s = self._clock()

    def note_other_saves(self) -> None:
        """Record that another node logs the versions."""
        self._saved = None

    async def _load(self, store: StreamStore) -> None:
        while not self.is_complete:
            if not await self._load_from_log(store):
                await self._ask_peers()
            if not self.is_complete:
                await asyncio.sleep(_LOAD_PAUSE_S)

    async def _load_from_log(self, store: StreamStore) -> bool:
        try:
            ages_s = await store.load_versions()
        except LogError as error:
            log.info('served versions not read', extra={'error': str(error)})
            return False
        self._history.merge(ages_s)
        self._complete('log')
        return True

    async def _ask_peers(self) -> None:
        """Learn from peers what the log does not tell."""
        for info in islice(self._sharing.peers(), _ASKED_PEERS):
            if await self._ask(info) is not None:
                self._complete(info.name)
                return

    async def _ask_peers_about_servers(self) -> bool:
        """Learn from peers what this node can't read from the log.

        Return whether one of them is up to date, or whether all of them have
        answered: then the log is down for them, too.
        """
        peers = self._sharing.peers()
        asked = random.sample(peers, min(_ASKED_PEERS, len(peers)))
        replies = await asyncio.gather(
            *(self._ask(info, _CONFIRM_TIMEOUT_S) for info in asked)
        )
        ages_s = [reply.servers_age_s for reply in replies if reply is not None]
        is_current = min(ages_s, default=math.inf) <= MAX_SERVERS_AGE_S
        return is_current or bool(asked) and len(ages_s) == len(asked)

    async def _ask(
        self, info: MemberInfo, timeout_s: float = _QUERY_TIMEOUT_S
    ) -> VersionsReply | None:
        """Learn the versions that a peer knows; None if it does not know."""
        reply = await self._sharing.ask(info, VersionsQuery(), timeout_s)
        if not isinstance(reply, VersionsReply) or not reply.complete:
            return None
        self._history.merge(reply.ages_s)
        return reply

    def _complete(self, source: str) -> None:
        self._completed.set()
        log.info(
            'served versions known',
            extra={'versions': self._history.ages_s(), 'source': source},
        )

    async def _answer(self, query: VersionsQuery) -> VersionsReply:
        return VersionsReply(
            self._history.ages_s(),
            self.is_complete,
            self._catalog.servers_age_s,
        )
