"""Tells whether this node reaches the servers of a service.

Load pattern: a node loses its links to the servers, while callers, peers and
the log still reach it. Each connection that fails looks like the loss of one
server. Servers that fail one after the other, with no answer of any server of
the service in between, look like a loss of the node's own links. If all servers
are gone instead, peers reach none either.
"""

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, field

log = logging.getLogger(__name__)

# Number of servers of a service that fail one after the other before the node
# takes itself for disconnected from the service.
_FAILED_SERVERS = 2


@dataclass(slots=True)
class _ServiceLink:
    """Servers that failed since one of the service last answered."""

    failed: set[str] = field(default_factory=set)
    lost_at_s: float | None = None


class Connectivity:
    """The services whose servers this node reaches, and those it does not."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._links: dict[str, _ServiceLink] = {}

    def not_reached(self) -> list[str]:
        """Return the services of which this node reaches no server."""
        return [
            name
            for name, link in self._links.items()
            if link.lost_at_s is not None
        ]

    def reaches(self, service_name: str) -> bool:
        """Return whether this node reaches a server, as far as it knows."""
        link = self._links.get(service_name)
        return link is None or link.lost_at_s is None

    def record_failure(
        self, service_name: str, server_id: str, server_count: int
    ) -> bool:
        """Record a server that accepts no connection or broke one off.

        ``server_count`` is the number of servers of the service. Return whether
        the service is now taken for not reached, and was not before.
        """
        link = self._links.setdefault(service_name, _ServiceLink())
        link.failed.add(server_id)
        needed = max(1, min(_FAILED_SERVERS, server_count))
        if link.lost_at_s is not None or len(link.failed) < needed:
            return False
        link.lost_at_s = self._clock()
        log.warning(
            'no server of the service is reached',
            extra={
                'service': service_name,
                'failed': sorted(link.failed),
                'servers': server_count,
            },
        )
        return True

    def record_answer(self, service_name: str) -> bool:
        """Record that a server was reached; return whether this is new."""
        link = self._links.get(service_name)
        if link is None or not link.failed:
            return False
        link.failed.clear()
        lost_at_s = link.lost_at_s
        link.lost_at_s = None
        if lost_at_s is None:
            return False
        log.info(
            'servers of the service are reached again',
            extra={
                'service': service_name,
                'after_s': round(self._clock() - lost_at_s, 2),
            },
        )
        return True
