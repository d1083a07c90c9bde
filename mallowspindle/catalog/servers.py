"""Entries under which backend servers register themselves."""

from collections.abc import Iterable
from dataclasses import dataclass

# Number of servers of the same service, and of others, that are tried to tell
# whether a node is disconnected.
_OTHERS_TO_TRY = 2


@dataclass(frozen=True, slots=True)
class BackendServer:
    """The entry that a backend server registers for itself.

    ``started_at_ms`` is the Unix time of its start: a server that restarts
    under the same id has lost its former requests and cache.
    ``software_version`` is that of the server's software; empty if not stated.
    """

    server_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    started_at_ms: int = 0
    cold_remaining_s: float = 0
    reclaimable: bool = False
    model_version: int | None = None
    software_version: str = ''


def other_servers(
    servers: Iterable[BackendServer], lost_address: str
) -> list[str]:
    """Return addresses of servers of the same service and of others.

    All servers of one service may have crashed under the same request.
    """
    servers = list(servers)
    services = {
        server.service for server in servers if server.address == lost_address
    }
    by_service: dict[bool, list[str]] = {True: [], False: []}
    for server in servers:
        if server.address != lost_address and not server.draining:
            by_service[server.service in services].append(server.address)
    return [
        *by_service[True][:_OTHERS_TO_TRY],
        *by_service[False][:_OTHERS_TO_TRY],
    ]
