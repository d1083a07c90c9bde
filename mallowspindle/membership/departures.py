"""Backend servers that are known to be leaving."""

import time

_RETENTION_S = 600.0


class Departures:
    """VM ids of leaving backend servers, each kept for ``_RETENTION_S`` seconds."""

    def __init__(self) -> None:
        self._seen_at_s: dict[str, float] = {}

    def __contains__(self, vm_id: str) -> bool:
        return vm_id in self._seen_at_s

    def add(self, vm_ids: list[str]) -> list[str]:
        """Add VM ids and return those that are new."""
        new_ids = [vm_id for vm_id in vm_ids if vm_id not in self._seen_at_s]
        now = time.monotonic()
        self._seen_at_s.update(dict.fromkeys(new_ids, now))
        return new_ids

    def all(self) -> list[str]:
        """Return the VM ids that have not expired; remove the others."""
        cutoff = time.monotonic() - _RETENTION_S
        self._seen_at_s = {
            vm_id: seen_at_s
            for vm_id, seen_at_s in self._seen_at_s.items()
            if seen_at_s > cutoff
        }
        return list(self._seen_at_s)
