"""The software versions that servers of a service have had lately."""

import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

from mallowspindle.catalog.servers import BackendServer

# A stream lasts 15 s at most, and its caller may take it up for as long.
STREAM_MEMORY_S = 30.0


class VersionHistory:
    """When each software version was last registered, by service."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._last_seen_s: defaultdict[str, dict[str, float]] = defaultdict(
            dict
        )
        self._current: dict[str, set[str]] = {}

    def update(self, servers: Iterable[BackendServer]) -> None:
        """Record the versions of the servers that are registered now."""
        current: defaultdict[str, set[str]] = defaultdict(set)
        for server in servers:
            current[server.service].add(server.software_version)
        now_s = self._clock()
        # Versions that are gone now were registered up to this moment.
        for versions in (self._current, current):
            for service_name, names in versions.items():
                self._last_seen_s[service_name].update(
                    dict.fromkeys(names, now_s)
                )
        self._current = current

    def ages_s(self) -> dict[str, dict[str, float]]:
        """Return the seconds since each version was last registered.

        Versions that no stream can have any more are left out.
        """
        now_s = self._clock()
        ages: dict[str, dict[str, float]] = {}
        for service_name, versions in self._last_seen_s.items():
            current = self._current.get(service_name, set())
            lately = {
                version: 0 if version in current else now_s - seen_at_s
                for version, seen_at_s in versions.items()
                if version in current or now_s - seen_at_s <= STREAM_MEMORY_S
            }
            if lately:
                ages[service_name] = lately
        return ages

    def merge(self, ages_s: Mapping[str, Mapping[str, float]]) -> None:
        """Add what another history has, with its ages of this moment."""
        now_s = self._clock()
        for service_name, versions in ages_s.items():
            known = self._last_seen_s[service_name]
            for version, age_s in versions.items():
                known[version] = max(
                    known.get(version, float('-inf')), now_s - age_s
                )

    def has_several(self, service_name: str) -> bool:
        """Return whether streams of several versions may be in progress."""
        current = self._current.get(service_name, set())
        oldest_s = self._clock() - STREAM_MEMORY_S
        lately = {
            version
            for version, seen_at_s in self._last_seen_s[service_name].items()
            if seen_at_s >= oldest_s
        }
        return len(current | lately) > 1
