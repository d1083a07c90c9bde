"""The log's record of rollouts, and what operators read about them."""

import logging
from collections.abc import Callable

from mallowspindle.adapter import LogLayout
from mallowspindle.catalog.orders import OrderCodec
from mallowspindle.log.errors import LogError
from mallowspindle.log.interface import Log
from mallowspindle.log.keyed import KeyedWriter
from mallowspindle.rollouts.records import RolloutState, rollouts_codec
from mallowspindle.utils.codec import CodecError

log = logging.getLogger(__name__)


class RolloutStore:
    """States of rollouts, by service, and their status for operators."""

    def __init__(
        self, source: Log, layout: LogLayout, codec: OrderCodec
    ) -> None:
        self._states = KeyedWriter(source, layout, layout.rollouts_stream)
        self._statuses = KeyedWriter(source, layout, layout.status_stream)
        self._codec = codec

    async def load(self) -> list[RolloutState]:
        """Return the logged states; raise ``LogError`` if it fails."""
        records = await self._states.read()
        decoded = [_decode(key, value) for key, value in records.items()]
        return [state for state in decoded if state is not None]

    async def save(
        self, state: RolloutState, may_write: Callable[[], bool]
    ) -> None:
        """Log a state, unless another node has logged any since the last load.

        Raise ``LogError`` if it fails or if this node may not write any more.
        """
        _require(may_write)
        await self._states.write(state.service, rollouts_codec.encode(state))

    async def report(
        self, state: RolloutState, may_write: Callable[[], bool]
    ) -> None:
        """Tell operators of a state, if they have not been told.

        Raise ``LogError`` if it fails or if this node may not write any more.
        """
        key, value = self._codec.encode_status(
            state.service, state.target, state.phase
        )
        known = await self._statuses.read()
        if known.get(key) != value:
            _require(may_write)
            await self._statuses.write(key, value)


def _require(may_write: Callable[[], bool]) -> None:
    if not may_write():
        raise LogError('this node does not hold the duties any more')


def _decode(key: str, value: bytes) -> RolloutState | None:
    try:
        state = rollouts_codec.decode(value)
    except CodecError as error:
        log.error(
            'rollout record ignored', extra={'key': key, 'error': str(error)}
        )
        return None
    return state if isinstance(state, RolloutState) else None
