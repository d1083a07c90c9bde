"""Servers that say in their responses that they are leaving."""

import time
from collections.abc import Callable

from mallowspindle.catalog.servers import BackendServer
from mallowspindle.catalog.service import CatalogService
from mallowspindle.sharing.messages import WorkSum
from mallowspindle.sharing.service import SharingService

# For how long peers are told. They keep it until the server is gone.
_TOLD_S = 30.0


class LeavingServers:
    """Tells this node's catalog, and peers, which servers are leaving.

    A server's entry may say so later, or never.
    """

    def __init__(
        self,
        catalog: CatalogService,
        sharing: SharingService,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._catalog = catalog
        self._sharing = sharing
        self._clock = clock
        # With the start of the server and the time of the statement.
        self._stated: dict[str, tuple[int, float]] = {}
        self._merged: WorkSum | None = None

    def record(self, server: BackendServer) -> None:
        """Record a server that has said in a response that it is leaving."""
        if server.draining:
            return
        started_at_ms = server.started_at_ms
        self._stated[server.server_id] = started_at_ms, self._clock()
        self._catalog.note_leaving(server.server_id, started_at_ms)
        self._sharing.send_soon()

    def merge_peers(self) -> None:
        """Adopt what peers have been told."""
        work = self._sharing.peer_work()
        if work is self._merged:
            return
        self._merged = work
        for server_id, started_at_ms in work.leaving.items():
            self._catalog.note_leaving(server_id, started_at_ms)

    def own(self) -> dict[str, int]:
        """Return what this node has been told itself, with the starts."""
        oldest_s = self._clock() - _TOLD_S
        self._stated = {
            server_id: stated
            for server_id, stated in self._stated.items()
            if stated[1] > oldest_s
        }
        return {
            server_id: started_at_ms
            for server_id, (started_at_ms, _) in self._stated.items()
        }
