"""Fold records into the configuration in force and the server list."""

import logging
import time
from collections.abc import Callable
from dataclasses import replace

from mallowspindle.catalog.configuration import Configuration
from mallowspindle.catalog.errors import UnusableRecord
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.log.records import KeyedRecord

log = logging.getLogger(__name__)

# Removed servers that are remembered. Only those that were removed shortly
# before the store came back from an older copy can have an entry there again.
_MAX_REMOVED = 1000

DecodeConfiguration = Callable[[bytes], Configuration]
DecodeServer = Callable[[str, bytes], BackendServer]


class ConfigurationState:
    """The configuration with the highest version so far."""

    def __init__(self, key: str, decode: DecodeConfiguration) -> None:
        self._key = key
        self._decode = decode
        self._current: Configuration | None = None

    @property
    def current(self) -> Configuration | None:
        """The configuration in force; None before the first one."""
        return self._current

    def note_restored(self) -> None:
        """Note that the store came back from an older copy."""
        log.info(
            'store restored, the configuration in force is kept',
            extra={'version': self._current and self._current.version},
        )

    def fold(self, record: KeyedRecord) -> bool:
        """Put a newer version in force; return whether the record held one."""
        if record.key != self._key or record.value is None:
            return False
        try:
            decoded = self._decode(record.value)
        except UnusableRecord as error:
            log.error('configuration ignored', extra={'error': str(error)})
            return False
        current_version = self._current.version if self._current else None
        if current_version is not None and decoded.version <= current_version:
            log.info(
                'older configuration ignored',
                extra={'version': decoded.version, 'in_force': current_version},
            )
            return False
        self._current = decoded
        log.info(
            'configuration in force',
            extra={'version': decoded.version, 'offset': record.offset},
        )
        return True


class ServerState:
    """The registered backend servers.

    During an outage of the store its leases expire because the servers can't
    renew them. A server whose entry is removed shortly after an outage is
    therefore kept for ``_GRACE_S``, in which it may register again.
    """

    # Live servers register again within about two seconds after the store is
    # back.
    _GRACE_S = 2.2

    def __init__(self, decode: DecodeServer) -> None:
        self._decode = decode
        self._servers: dict[str, BackendServer] = {}
        self._lapsed: dict[str, float] = {}
        self._outage_grace_until_s = 0.0
        self._outage_noted_at_s = 0.0
        self._restore_grace_until_s = 0.0
        self._removed: dict[str, int] = {}
        # Removed servers that may have an entry in a restored log. The position
        # of that entry is None until it is read.
        self._restored_entries: dict[str, int | None] = {}

    @property
    def servers(self) -> dict[str, BackendServer]:
        """The registered servers by id, draining ones included."""
        return self._servers

    @property
    def outage_age_s(self) -> float | None:
        """Seconds since the store was first found down; None if it is not.

        It counts as down until the live servers have had time to register.
        """
        now_s = time.monotonic()
        if now_s >= self._outage_grace_until_s and not self._lapsed:
            return None
        return now_s - self._outage_noted_at_s

    def note_outage(self) -> None:
        """Note that the store is down now."""
        now_s = time.monotonic()
        if self.outage_age_s is None:
            self._outage_noted_at_s = now_s
        self._outage_grace_until_s = now_s + self._GRACE_S

    def disprove_outage(self) -> None:
        """Note that other nodes have read the store all the while.

        Servers whose entries are gone have left.
        """
        self._outage_grace_until_s = 0.0
        if time.monotonic() >= self._restore_grace_until_s:
            self._lapsed = dict.fromkeys(self._lapsed, 0.0)

    def note_restored(self) -> None:
        """Note that the store came back from an older copy.

        It may lack the entries of live servers for a moment, and hold entries
        of servers that were removed.
        """
        self._restore_grace_until_s = time.monotonic() + self._GRACE_S
        absent = self._removed.keys() - self._servers.keys()
        self._restored_entries = dict.fromkeys(absent)

    def note_leaving(self, server_id: str, started_at_ms: int) -> bool:
        """Mark a server as draining; return whether this is new.

        A server that has started again since is not meant.
        """
        known = self._servers.get(server_id)
        if (
            known is None
            or known.draining
            or known.started_at_ms != started_at_ms
        ):
            return False
        self._servers[server_id] = replace(known, draining=True)
        log.info(
            'backend server says that it is leaving',
            extra={'server': server_id, 'service': known.service},
        )
        return True

    def expire_lapsed(self) -> None:
        """Remove the servers that did not register again in time."""
        now_s = time.monotonic()
        expired = [
            server_id
            for server_id, until_s in self._lapsed.items()
            if until_s < now_s
        ]
        for server_id in expired:
            self._lapsed.pop(server_id)
            self._remove(server_id)

    def fold(self, record: KeyedRecord) -> bool:
        """Apply a server's entry; return whether peers need to receive it."""
        if record.value is None:
            return self._fold_removal(record.key)
        try:
            decoded = self._decode(record.key, record.value)
        except UnusableRecord as error:
            log.warning('server entry ignored', extra={'error': str(error)})
            return self._remove(record.key)
        if self._is_restored_entry(decoded, record.offset):
            return False
        returned = self._lapsed.pop(record.key, None) is not None
        known = self._servers.get(record.key)
        if known is not None and _is_same_start(known, decoded):
            # Only a restored log says that a draining server is ready again.
            decoded = replace(
                decoded, draining=known.draining or decoded.draining
            )
        self._servers[record.key] = decoded
        self._removed.pop(record.key, None)
        unchanged = (
            known is not None
            and replace(known, cold_remaining_s=decoded.cold_remaining_s)
            == decoded
        )
        if unchanged:
            # Peers that delay the removal must be notified of the return.
            return returned
        log.info(
            'backend server registered',
            extra={
                'server': decoded.server_id,
                'service': decoded.service,
                'zone': decoded.zone,
                'draining': decoded.draining,
                'reclaimable': decoded.reclaimable,
                'software': decoded.software_version,
                'offset': record.offset,
            },
        )
        return True

    def _fold_removal(self, server_id: str) -> bool:
        now_s = time.monotonic()
        grace_until_s = max(
            self._outage_grace_until_s, self._restore_grace_until_s
        )
        if now_s < grace_until_s and server_id in self._servers:
            self._lapsed[server_id] = now_s + self._GRACE_S
            return True
        return self._remove(server_id)

    def _is_restored_entry(self, server: BackendServer, position: int) -> bool:
        """Return whether an entry is of a removed server, from the copy."""
        server_id = server.server_id
        if server_id not in self._restored_entries:
            return False
        if self._removed.get(server_id) != server.started_at_ms:
            return False
        if self._restored_entries[server_id] is None:
            self._restored_entries[server_id] = position
        return position == self._restored_entries[server_id]

    def _remove(self, server_id: str) -> bool:
        removed = self._servers.pop(server_id, None)
        if removed is None:
            return False
        self._removed[server_id] = removed.started_at_ms
        if len(self._removed) > _MAX_REMOVED:
            self._removed.pop(next(iter(self._removed)))
        log.info('backend server gone', extra={'server': server_id})
        return True


def _is_same_start(known: BackendServer, decoded: BackendServer) -> bool:
    return known.started_at_ms == decoded.started_at_ms
