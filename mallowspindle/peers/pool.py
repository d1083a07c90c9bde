"""Pool of this node's links to its peers."""

from collections import Counter

from opentelemetry.metrics import CallbackOptions, Observation

from mallowspindle.peers.backlog import SendBacklog
from mallowspindle.peers.handshake import Credentials
from mallowspindle.peers.link import PeerLink
from mallowspindle.utils.tasks import BackgroundTasks
from mallowspindle.utils.telemetry import meter


class PeerLinkPool:
    """Holds one link to each peer, replaced when its address changes."""

    def __init__(self, credentials: Credentials, max_frame_bytes: int) -> None:
        self._credentials = credentials
        self._max_frame_bytes = max_frame_bytes
        self._links: dict[str, PeerLink] = {}
        self._closed_links_bytes = 0
        self._tasks = BackgroundTasks()
        meter.create_observable_gauge(
            'peer_unsent', [self._observe_unsent], unit='By'
        )
        meter.create_observable_gauge(
            'peer_unsent_kind', [self._observe_kinds], unit='By'
        )
        meter.create_observable_gauge(
            'peer_unsent_age', [self._observe_age], unit='s'
        )

    @property
    def sent_bytes(self) -> int:
        """Bytes sent over all links so far."""
        open_bytes = sum(link.sent_bytes for link in self._links.values())
        return self._closed_links_bytes + open_bytes

    def get(self, name: str, address: str) -> PeerLink:
        """Return the link to the peer ``name`` at ``address``."""
        link = self._links.get(name)
        if link is not None and link.address == address:
            return link
        if link is not None:
            self._closed_links_bytes += link.sent_bytes
            self._tasks.spawn(link.close(), 'close link')
        self._links[name] = PeerLink(
            address, self._credentials, self._max_frame_bytes
        )
        return self._links[name]

    async def close(self) -> None:
        """Close all links."""
        await self._tasks.wait()
        for link in self._links.values():
            await link.close()

    def _observe_unsent(self, options: CallbackOptions) -> list[Observation]:
        return [
            Observation(backlog.bytes_by_kind().total(), {'peer': name})
            for name, backlog in self._backlogs().items()
        ]

    def _observe_kinds(self, options: CallbackOptions) -> list[Observation]:
        sizes: Counter[str] = Counter()
        for backlog in self._backlogs().values():
            sizes.update(backlog.bytes_by_kind())
        return [
            Observation(size, {'kind': kind}) for kind, size in sizes.items()
        ]

    def _observe_age(self, options: CallbackOptions) -> list[Observation]:
        ages_s = (backlog.age_s for backlog in self._backlogs().values())
        return [Observation(max(ages_s, default=0))]

    def _backlogs(self) -> dict[str, SendBacklog]:
        """Return what links have still to send, if anything, by peer."""
        backlogs = {name: link.backlog for name, link in self._links.items()}
        return {
            name: backlog
            for name, backlog in backlogs.items()
            if backlog is not None and backlog.age_s
        }
