"""Pool of this node's links to its peers."""

from mallowspindle.peers.handshake import Credentials
from mallowspindle.peers.link import PeerLink
from mallowspindle.utils.tasks import BackgroundTasks


class PeerLinkPool:
    """Holds one link to each peer, replaced when its address changes."""

    def __init__(self, credentials: Credentials, max_frame_bytes: int) -> None:
        self._credentials = credentials
        self._max_frame_bytes = max_frame_bytes
        self._links: dict[str, PeerLink] = {}
        self._closed_links_bytes = 0
        self._tasks = BackgroundTasks()

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
