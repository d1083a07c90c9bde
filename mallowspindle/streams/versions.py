"""What services and routes have had lately: software versions and services."""

import time
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping

from mallowspindle.catalog.configuration import Configuration
from mallowspindle.catalog.servers import BackendServer

# A stream lasts 15 s at most, and its caller may take it up for as long.
STREAM_MEMORY_S = 30.0


class NameHistory:
    """When each key last had each of its names."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._last_seen_s: defaultdict[str, dict[str, float]] = defaultdict(
            dict
        )
        self._current: Mapping[str, Collection[str]] = {}

    def replace(self, current: Mapping[str, Collection[str]]) -> None:
        """Record the names that each key has now."""
        now_s = self._clock()
        # Names that are gone now were there up to this moment.
        for known in (self._current, current):
            for key, names in known.items():
                self._last_seen_s[key].update(dict.fromkeys(names, now_s))
        self._current = current

    def lately(self, key: str) -> set[str]:
        """Return the names of which streams may be in progress."""
        oldest_s = self._clock() - STREAM_MEMORY_S
        recent = {
            name
            for name, seen_at_s in self._last_seen_s.get(key, {}).items()
            if seen_at_s >= oldest_s
        }
        return recent.union(self._current.get(key, ()))

    def ages_s(self) -> dict[str, dict[str, float]]:
        """Return the seconds since each key last had each name.

        Names that no stream can have any more are left out.
        """
        now_s = self._clock()
        ages: dict[str, dict[str, float]] = {}
        for key, names in self._last_seen_s.items():
            current = self._current.get(key, ())
            lately = {
                name: 0 if name in current else now_s - seen_at_s
                for name, seen_at_s in names.items()
                if name in current or now_s - seen_at_s <= STREAM_MEMORY_S
            }
            if lately:
                ages[key] = lately
        return ages

    def merge(self, ages_s: Mapping[str, Mapping[str, float]]) -> None:
        """Add what another history has, with its ages of this moment."""
        now_s = self._clock()
        for key, names in ages_s.items():
            known = self._last_seen_s[key]
            for name, age_s in names.items():
                known[name] = max(known.get(name, float('-inf')), now_s - age_s)


class VersionHistory(NameHistory):
    """When each software version was last registered, by service."""

    def update(self, servers: Iterable[BackendServer]) -> None:
        """Record the versions of the servers that are registered now."""
        current: defaultdict[str, set[str]] = defaultdict(set)
        for server in servers:
            current[server.service].add(server.software_version)
        self.replace(current)

    def has_several(self, service_name: str) -> bool:
        """Return whether streams of several versions may be in progress."""
        return len(self.lately(service_name)) > 1

    def any_has_several(self) -> bool:
        """Return whether this holds for any service."""
        return any(map(self.has_several, self._last_seen_s))


class RouteHistory(NameHistory):
    """When each route last led to each service."""

    def update(self, configuration: Configuration | None) -> None:
        """Record the services of the routes that are in force now."""
        if configuration is not None:
            self.replace(
                {
                    route.name: {share.service for share in route.shares}
                    for route in configuration.routes
                }
            )
