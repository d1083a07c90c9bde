"""Backend servers as they register themselves."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BackendServer:
    """What one backend server says of itself.

    ``started_at_ms`` is the Unix time of its start: a server that starts
    again under its old id holds nothing of what it held before.
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
