"""Client that moves running requests between model engines."""

import errno
from collections.abc import Mapping
from typing import Any

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)
from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    field_validator,
)

from mallowspindle.adapter import (
    MigrationClient,
    MigrationError,
    NobodyListens,
    NoConnection,
    NoSuchRun,
    RunsReport,
    TargetFull,
)
from mallowspindle.platform.fields import Duration, Identifier, WholeNumber
from mallowspindle.proxy.messages import MovedRun
from mallowspindle.utils.bodies import read_bounded

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
_MS = 1000
# A caller waits while its stream stands still; a report needs no slot.
_RUNS_TIMEOUT = ClientTimeout(total=0.5, sock_connect=0.25)
_UNREACHABLE_ERRORS = frozenset(
    (errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ETIMEDOUT)
)


class _MoveAnswer(BaseModel):
    model_config = ConfigDict(extra='ignore')

    # Identifies the copy at the source and at the target. Absent if there is
    # no copy and the run was not stopped.
    handle: Identifier | None = None


class _ServerReport(BaseModel):
    model_config = ConfigDict(extra='ignore')

    # Milliseconds left after a reclaim notice. Absent if the server stops for
    # another reason.
    leaves_ms: Duration | None = None


class _RunsAnswer(BaseModel):
    model_config = ConfigDict(extra='ignore')

    server_id: Identifier | None = Field(None, alias='id')
    # Unix milliseconds.
    born: WholeNumber | None = None
    # Ids are what callers have sent.
    runs: list[str]

    @field_validator('runs', mode='before')
    @classmethod
    def _take_ids(cls, runs: Any) -> Any:
        """Return the ids: a run is its id, tokens, events and priority."""
        if not isinstance(runs, list) or not all(
            isinstance(run, list) and run for run in runs
        ):
            raise ValueError('expected a list of lists that begin with an id')
        return [run[0] for run in runs]


class PlatformMigrationClient(MigrationClient):
    """Moves running requests between model engines through their API."""

    def __init__(self, session: ClientSession, timeout_s: float) -> None:
        self._session = session
        self._timeout = ClientTimeout(total=timeout_s)

    async def time_until_reclaim_s(self, address: str) -> float | None:
        """Return the seconds until a server is reclaimed, or None if it stays.

        See ``MigrationClient.time_until_reclaim_s``.
        """
        try:
            async with self._session.get(
                f'http://{address}/report', timeout=self._timeout
            ) as response:
                status = response.status
                report = _ServerReport.model_validate_json(
                    await read_bounded(response)
                )
        except (ClientError, TimeoutError, ValidationError) as error:
            raise MigrationError(
                f'no valid report from {address}: {error!r}'
            ) from error
        if status != _OK:
            raise MigrationError(f'{address} answered {status} to a report')
        time_left_ms = report.leaves_ms
        return None if time_left_ms is None else time_left_ms / _MS

    async def report_runs(self, address: str) -> RunsReport:
        """Return the requests that a server reports as running.

        See ``MigrationClient.report_runs``.
        """
        try:
            async with self._session.get(
                f'http://{address}/report', timeout=_RUNS_TIMEOUT
            ) as response:
                status = response.status
                answer = await read_bounded(response)
        except (ClientError, TimeoutError) as error:
            raise _report_error(address, error) from error
        if status != _OK:
            raise MigrationError(
                f'{address} answered {status} to a query for its runs'
            )
        try:
            report = _RunsAnswer.model_validate_json(answer)
        except ValidationError as error:
            raise MigrationError(
                f'no valid report of runs from {address}: {error!r}'
            ) from error
        return RunsReport(frozenset(report.runs), report.server_id, report.born)

    async def copy(
        self, source_address: str, request_id: str, target_address: str
    ) -> MovedRun:
        """Copy a run's memory to another server while the run continues.

        See ``MigrationClient.copy``.
        """
        return await self._post_move(
            source_address, {'id': request_id, 'to': target_address}
        )

    async def move(
        self, source_address: str, request_id: str, target_address: str
    ) -> MovedRun:
        """Stop a run and copy the rest of its memory to another server.

        See ``MigrationClient.move``.
        """
        return await self._post_move(
            source_address,
            {'id': request_id, 'to': target_address, 'last': True},
        )

    async def drop(self, run: MovedRun) -> None:
        """Free a copy that is no longer needed, at source and target.

        See ``MigrationClient.drop``.
        """
        url = f'http://{run.source_address}/kv-handle/{run.handle}'
        try:
            async with self._session.delete(
                url, timeout=self._timeout
            ) as response:
                await read_bounded(response)
        except (ClientError, TimeoutError) as error:
            raise MigrationError(f'copy not freed: {error!r}') from error

    async def _post_move(
        self, source_address: str, body: Mapping[str, str | bool]
    ) -> MovedRun:
        try:
            async with self._session.post(
                f'http://{source_address}/kv-move',
                json=body,
                timeout=self._timeout,
            ) as response:
                status = response.status
                answer = await read_bounded(response)
        except (ClientError, TimeoutError) as error:
            raise MigrationError(
                f'no answer to a move request: {error!r}'
            ) from error
        return _decode_moved_run(source_address, status, answer)


def _report_error(address: str, error: Exception) -> MigrationError:
    """Return what a failed query for the runs of a server tells of it."""
    reason = f'no report of runs from {address}: {error!r}'
    if isinstance(error, ConnectionTimeoutError):
        return NoConnection(reason)
    if isinstance(error, ClientConnectorError):
        number = error.os_error.errno
        if number == errno.ECONNREFUSED:
            return NobodyListens(reason)
        if number in _UNREACHABLE_ERRORS:
            return NoConnection(reason)
    return MigrationError(reason)


def _decode_moved_run(
    source_address: str, status: int, answer: bytes
) -> MovedRun:
    """Return the copied run; raise ``MigrationError`` if there is none."""
    if status not in {_OK, _UNAVAILABLE}:
        error_type = NoSuchRun if status == _NOT_FOUND else MigrationError
        raise error_type(f'the server answered {status} to a move request')
    handle = _decode_handle(answer)
    run = None if handle is None else MovedRun(source_address, handle)
    if status == _UNAVAILABLE:
        raise TargetFull('the target server has no room', run)
    if run is None:
        raise MigrationError('the answer to a move request has no handle')
    return run


def _decode_handle(answer: bytes) -> str | None:
    try:
        return _MoveAnswer.model_validate_json(answer).handle
    except ValidationError as error:
        raise MigrationError(
            f'malformed answer to a move request: {error}'
        ) from error
