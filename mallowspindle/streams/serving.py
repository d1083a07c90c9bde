"""The software versions that have served lately, also before a restart."""

import asyncio
import logging
import time
from collections.abc import Callable, Iterable
from itertools import islice

from mallowspindle.catalog.servers import BackendServer
from mallowspindle.log.errors import LogError
from mallowspindle.sharing.service import SharingService
from mallowspindle.streams.messages import VersionsQuery, VersionsReply
from mallowspindle.streams.store import StreamStore
from mallowspindle.streams.versions import VersionHistory
from mallowspindle.utils.tasks import BackgroundTasks, wait_for_event

log = logging.getLogger(__name__)

# Pause between two tries to learn which versions served before the start.
_LOAD_PAUSE_S = 0.5
_QUERY_TIMEOUT_S = 0.5
_ASKED_PEERS = 3
# While a service has several versions, their ages are logged this often.
_SAVE_INTERVAL_S = 3.0


class ServingVersions:
    """What this node, its former process and its peers have seen.

    The log has the versions as they were when they last changed, so that a
    change while no node runs shows too.
    """

    def __init__(
        self,
        sharing: SharingService,
        store: StreamStore | None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
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
    def _is_complete(self) -> bool:
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

    def has_several(self, service_name: str) -> bool:
        """Return whether streams of several versions may be in progress."""
        return not self._is_complete or self._history.has_several(service_name)

    async def save_if_due(self) -> None:
        """Log the versions if they have changed, or are several."""
        if self._store is None or not self._is_complete:
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
                await self._store.drop_streams()
        except LogError as error:
            log.info('served versions not logged', extra={'error': str(error)})
        else:
            self._saved = names
            self._saved_at_s = self._clock()

    def note_other_saves(self) -> None:
        """Record that another node logs the versions."""
        self._saved = None

    async def _load(self, store: StreamStore) -> None:
        while not self._is_complete:
            if not await self._load_from_log(store):
                await self._ask_peers()
            if not self._is_complete:
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
            reply = await self._sharing.ask(
                info, VersionsQuery(), _QUERY_TIMEOUT_S
            )
            if isinstance(reply, VersionsReply) and reply.complete:
                self._history.merge(reply.ages_s)
                self._complete(info.name)
                return

    def _complete(self, source: str) -> None:
        self._completed.set()
        log.info(
            'served versions known',
            extra={'versions': self._history.ages_s(), 'source': source},
        )

    async def _answer(self, query: VersionsQuery) -> VersionsReply:
        return VersionsReply(self._history.ages_s(), self._is_complete)
