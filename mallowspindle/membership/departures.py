"""Signs that backend servers are leaving."""

import time

_KEPT_S = 600.0


class Departures:
    """VM ids of leaving backend servers; each sign is kept for a time."""

    def __init__(self) -> None:
        self._seen_at_s: dict[str, float] = {}

    def __contains__(self, vm_id: str) -> bool:
        return vm_id in self._seen_at_s

    def add(self, vm_ids: list[str]) -> list[str]:
        """Add signs and return those that are new."""
        fresh = [vm_id for vm_id in vm_ids if vm_id not in self._seen_at_s]
        now = time.monotonic()
        self._seen_at_s.update(dict.fromkeys(fresh, now))
        return fresh

    def all(self) -> list[str]:
        """Return the signs that are not too old."""
        horizon = time.monotonic() - _KEPT_S
        self._seen_at_s = {
            vm_id: seen
            for vm_id, seen in self._seen_at_s.items()
            if seen > horizon
        }
        return list(self._seen_at_s)
