"""Connections of the commands to the log and to a node."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout
from pydantic import TypeAdapter

from mallowspindle.commands.errors import CommandError, ExitCode
from mallowspindle.config.errors import ConfigError
from mallowspindle.config.ini import load_model
from mallowspindle.config.operator import OperatorSection, OperatorSettings
from mallowspindle.log.errors import LogError
from mallowspindle.native.log import LogClient
from mallowspindle.settings.errors import SettingsError
from mallowspindle.settings.reader import catch_up
from mallowspindle.settings.tree import SettingsTree
from mallowspindle.utils.bodies import read_bounded

_FIRST_ERROR_STATUS = 400
_MAX_ANSWER_BYTES = 16_000_000

_document: TypeAdapter[Any] = TypeAdapter(Any)


def load_operator(path: Path) -> OperatorSection:
    """Return the operator's settings.

    Raises ``CommandError`` with all problems if the file can't be used.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as error:
        raise CommandError(ExitCode.INVALID, str(error)) from error
    try:
        return load_model(OperatorSettings, text).operator
    except ConfigError as error:
        raise CommandError(ExitCode.INVALID, str(error)) from error


@asynccontextmanager
async def open_log(operator: OperatorSection) -> AsyncIterator[LogClient]:
    """Open a client of the log and close it on exit."""
    log_client = LogClient.from_url(operator.log_url, operator.timeout_s)
    try:
        yield log_client
    finally:
        await log_client.close()


async def read_settings(log_client: LogClient) -> SettingsTree:
    """Return the settings in force, read from the log."""
    tree = SettingsTree()
    try:
        await catch_up(tree, log_client)
    except (LogError, SettingsError) as error:
        raise CommandError(ExitCode.UNREACHABLE, str(error)) from error
    return tree


async def call_node(
    operator: OperatorSection,
    method: str,
    path: str,
    body: dict[str, Any] | None = None,
) -> Any:
    """Call the operators' interface of a node and return its answer.

    Raises ``CommandError`` if the node refuses the call or is not reached.
    """
    if not operator.node_url:
        raise CommandError(ExitCode.INVALID, '[operator] node_url: not set')
    timeout = ClientTimeout(total=operator.timeout_s)
    headers = {'Authorization': f'Bearer {operator.token}'}
    try:
        async with (
            ClientSession(timeout=timeout, headers=headers) as session,
            session.request(
                method, f'{operator.node_url}{path}', json=body
            ) as response,
        ):
            status = response.status
            answer = _document.validate_json(
                await read_bounded(response, _MAX_ANSWER_BYTES)
            )
    except (ClientError, TimeoutError, ValueError) as error:
        raise CommandError(
            ExitCode.UNREACHABLE,
            f'node {operator.node_url} not reached: {error}',
        ) from error
    if status >= _FIRST_ERROR_STATUS:
        raise CommandError(ExitCode.REFUSED, answer.get('detail', 'refused'))
    return answer
