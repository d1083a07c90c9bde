"""Bring a settings tree up to date from the log."""

from collections.abc import Iterable

from mallowspindle.log.errors import RecordsExpired
from mallowspindle.native.log import LogClient, LogRecord
from mallowspindle.settings.errors import SettingsUnavailable
from mallowspindle.settings.records import (
    SETTINGS_STREAM,
    Change,
    Snapshot,
    settings_codec,
)
from mallowspindle.settings.tree import SettingsTree
from mallowspindle.utils.codec import CodecError


async def catch_up(
    tree: SettingsTree, log_client: LogClient, wait_s: float = 0
) -> None:
    """Apply all records after ``tree.through``.

    Wait up to ``wait_s`` for the first of them. If they have expired, the
    state is taken from a later snapshot in the log.
    """
    try:
        page = await log_client.read(SETTINGS_STREAM, tree.through + 1, wait_s)
    except RecordsExpired as expired:
        await _load_from_snapshot(tree, log_client, expired.first_offset)
        return
    apply_records(tree, page.records)
    while page.records:
        page = await log_client.read(SETTINGS_STREAM, page.next_offset)
        apply_records(tree, page.records)


def apply_records(tree: SettingsTree, records: Iterable[LogRecord]) -> None:
    """Apply log records to the tree."""
    for record in records:
        tree.fold(record.offset, decode_record(record))


def decode_record(record: LogRecord) -> Change | Snapshot | None:
    """Return the settings record, or None if the payload is invalid."""
    try:
        decoded = settings_codec.decode(record.payload)
    except CodecError:
        return None
    return decoded if isinstance(decoded, (Change, Snapshot)) else None


async def _load_from_snapshot(
    tree: SettingsTree, log_client: LogClient, first_offset: int
) -> None:
    page = await log_client.read_to_end(SETTINGS_STREAM, first_offset)
    snapshots = (decode_record(record) for record in page.records)
    usable = (
        snapshot
        for snapshot in snapshots
        if isinstance(snapshot, Snapshot)
        and snapshot.through >= first_offset - 1
    )
    snapshot = next(usable, None)
    if snapshot is None:
        raise SettingsUnavailable(
            f'records before {first_offset} expired and no snapshot covers them'
        )
    tree.adopt(snapshot)
    apply_records(tree, page.records)
