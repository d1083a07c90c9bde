"""Moves of running requests between model servers."""

from aiohttp import ClientError, ClientSession, ClientTimeout
from pydantic import BaseModel, ConfigDict, ValidationError

from mallowspindle.border import MoveError, Moves
from mallowspindle.proxy.messages import MovedRun

_OK = 200
_MS = 1000


class _Moved(BaseModel):
    model_config = ConfigDict(extra='ignore')

    # Names the copy, at the source and at the target.
    handle: str


class _Report(BaseModel):
    model_config = ConfigDict(extra='ignore')

    # Time left after a reclaim notice; absent for other ends.
    leaves_ms: float | None = None


class PlatformMoves(Moves):
    """Client of the model servers' interface for moves."""

    def __init__(self, session: ClientSession, timeout_s: float) -> None:
        self._session = session
        self._timeout = ClientTimeout(total=timeout_s)

    async def time_left_s(self, address: str) -> float | None:
        """Return when a server will be taken away; see ``Moves``."""
        try:
            async with self._session.get(
                f'http://{address}/report', timeout=self._timeout
            ) as response:
                report = _Report.model_validate_json(await response.read())
        except (ClientError, TimeoutError, ValidationError) as error:
            raise MoveError(f'no report of {address}: {error!r}') from error
        left_ms = report.leaves_ms
        return None if left_ms is None else left_ms / _MS

    async def move(
        self, source_address: str, request_id: str, target_address: str
    ) -> MovedRun:
        """Move a run; see ``Moves.move``."""
        body = {'id': request_id, 'to': target_address, 'last': True}
        try:
            async with self._session.post(
                f'http://{source_address}/kv-move',
                json=body,
                timeout=self._timeout,
            ) as response:
                status = response.status
                answer = await response.read()
        except (ClientError, TimeoutError) as error:
            raise MoveError(f'no answer to a move: {error!r}') from error
        if status != _OK:
            raise MoveError(f'the server answered {status} to a move')
        try:
            return MovedRun(
                source_address, _Moved.model_validate_json(answer).handle
            )
        except ValidationError as error:
            raise MoveError(f'unusable answer to a move: {error}') from error
