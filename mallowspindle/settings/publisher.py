"""Publish a change of the settings and wait for its result."""

import asyncio
import time

from mallowspindle.log.errors import AppendRefused, LogError
from mallowspindle.native.log import LogClient
from mallowspindle.settings.errors import ChangeUncertain, SettingsError
from mallowspindle.settings.reader import catch_up
from mallowspindle.settings.records import (
    SETTINGS_STREAM,
    Change,
    settings_codec,
)
from mallowspindle.settings.tree import ChangeResult, SettingsTree
from mallowspindle.utils.identifiers import new_id

_MAX_ATTEMPTS = 5
_RETRY_PAUSE_S = 0.2


def new_change(path: str, document: str, base: int, author: str) -> Change:
    """Return a change with a new identifier."""
    return Change(new_id('change'), path, document, base, author, time.time())


async def publish(
    tree: SettingsTree, log_client: LogClient, change: Change
) -> ChangeResult:
    """Append ``change`` and return its result, read back from the log.

    If the answer to the append is lost, the log is read to see whether the
    change is there. If it isn't, the same change is appended again; the tree
    applies it only once. Raises ``ChangeUncertain`` if the result is still
    not known after all attempts.
    """
    maybe_appended = False
    for _ in range(_MAX_ATTEMPTS):
        error = await _append_once(log_client, change)
        if isinstance(error, AppendRefused) and not maybe_appended:
            raise SettingsError(f'nothing was changed: {error}') from error
        maybe_appended = True
        change_result = await _read_change_result(
            tree, log_client, change.change_id
        )
        if change_result is not None:
            return change_result
        await asyncio.sleep(_RETRY_PAUSE_S)
    raise ChangeUncertain(
        f'the log lost the answer to change {change.change_id}; '
        'look at the history before trying again'
    )


async def _append_once(
    log_client: LogClient, change: Change
) -> LogError | None:
    payload = settings_codec.encode(change)
    try:
        await log_client.append(SETTINGS_STREAM, payload)
    except LogError as error:
        return error
    return None


async def _read_change_result(
    tree: SettingsTree, log_client: LogClient, change_id: str
) -> ChangeResult | None:
    try:
        await catch_up(tree, log_client)
    except LogError:
        return None
    return tree.change_result(change_id)
