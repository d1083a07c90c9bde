"""Folds the operators' and the servers' records into what is in force."""

import logging
import time
from collections.abc import Callable
from dataclasses import replace

from mallowspindle.catalog.configuration import Configuration
from mallowspindle.catalog.errors import UnusableRecord
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.log.records import KeyedRecord

log = logging.getLogger(__name__)

DecodeConfiguration = Callable[[bytes], Configuration]
DecodeServer = Callable[[str, bytes], BackendServer]


class ConfigurationState:
    """The newest configuration; a lower version never replaces it."""

    def __init__(self, key: str, decode: DecodeConfiguration) -> None:
        self._key = key
        self._decode = decode
        self._current: Configuration | None = None

    @property
    def current(self) -> Configuration | None:
        """The configuration in force; None before the first one."""
        return self._current

    def fold(self, record: KeyedRecord) -> bool:
        """Put a newer version in force; tell whether there was one."""
        if record.key != self._key or record.value is None:
            return False
        try:
            found = self._decode(record.value)
        except UnusableRecord as error:
            log.error('configuration ignored', extra={'error': str(error)})
            return False
        held = self._current.version if self._current else None
        if held is not None and found.version <= held:
            log.info(
                'older configuration ignored',
                extra={'version': found.version, 'in_force': held},
            )
            return False
        self._current = found
        log.info(
            'configuration in force',
            extra={'version': found.version, 'offset': record.offset},
        )
        return True


class ServerState:
    """The registered backend servers.

    A record that goes shortly after the store was away may come back: the
    store's leases ran out while the servers could not renew them. Such a
    server is kept until ``_RETURN_S`` have passed.
    """

    # Servers that live are registered again within about two seconds of the
    # store's return.
    _RETURN_S = 2.2

    def __init__(self, decode: DecodeServer) -> None:
        self._decode = decode
        self._servers: dict[str, BackendServer] = {}
        self._lapsed: dict[str, float] = {}
        self._trusts_removals_at_s = 0.0

    @property
    def servers(self) -> dict[str, BackendServer]:
        """The registered servers by id, draining ones included."""
        return self._servers

    def note_outage(self) -> None:
        """Note that the store is away now."""
        self._trusts_removals_at_s = time.monotonic() + self._RETURN_S

    def expire_lapsed(self) -> None:
        """Drop the servers that did not come back in time."""
        now_s = time.monotonic()
        late = [
            server_id
            for server_id, until_s in self._lapsed.items()
            if until_s < now_s
        ]
        for server_id in late:
            self._lapsed.pop(server_id)
            self._remove(server_id)

    def fold(self, record: KeyedRecord) -> bool:
        """Take over a server's entry; tell whether peers should hear it."""
        if record.value is None:
            return self._fold_removal(record.key)
        try:
            found = self._decode(record.key, record.value)
        except UnusableRecord as error:
            log.warning('server entry ignored', extra={'error': str(error)})
            return self._remove(record.key)
        returned = self._lapsed.pop(record.key, None) is not None
        known = self._servers.get(record.key)
        self._servers[record.key] = found
        unchanged = (
            known is not None
            and replace(known, cold_remaining_s=found.cold_remaining_s) == found
        )
        if unchanged:
            # Peers that hold the removal back must hear of the return.
            return returned
        log.info(
            'backend server registered',
            extra={
                'server': found.server_id,
                'service': found.service,
                'zone': found.zone,
                'draining': found.draining,
                'reclaimable': found.reclaimable,
                'offset': record.offset,
            },
        )
        return True

    def _fold_removal(self, server_id: str) -> bool:
        now_s = time.monotonic()
        if now_s < self._trusts_removals_at_s and server_id in self._servers:
            self._lapsed[server_id] = now_s + self._RETURN_S
            return True
        return self._remove(server_id)

    def _remove(self, server_id: str) -> bool:
        if self._servers.pop(server_id, None) is None:
            return False
        log.info('backend server gone', extra={'server': server_id})
        return True
