"""Entries under which backend servers register themselves."""

from dataclasses import dataclass


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
