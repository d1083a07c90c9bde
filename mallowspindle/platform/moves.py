"""Moves of running requests between model servers."""

from aiohttp import ClientError, ClientSession, ClientTimeout
from pydantic import BaseModel, ConfigDict, ValidationError

from mallowspindle.border import MoveError, Moves
from mallowspindle.proxy.messages import MovedRun

_OK = 200


class _Moved(BaseModel):
    model_config = ConfigDict(extra='ignore')

    # Names the copy, at the source and at the target.
    handle: str


class PlatformMoves(Moves):
    """Client of the model servers' interface for moves."""

    def __init__(self, session: ClientSession, timeout_s: float) -> None:
        self._session = session
        self._timeout = ClientTimeout(total=timeout_s)

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
