"""Reads the bodies of answers within the budget of the process."""

import asyncio

from aiohttp.web import BaseRequest

from mallowspindle.intake.answers import AnswerBudget, AnswerHolding
from mallowspindle.intake.body import BodyBuffer
from mallowspindle.intake.budget import SMALL_BYTES
from mallowspindle.proxy.connections import MatchedResponse
from mallowspindle.proxy.faults import AnswerGivenUp, Fault, note_given_up

# Twice the default limit on the bodies of callers.
MAX_BODY_BYTES = 8_000_000
# Usual answers, and the incomplete events of usual streams, are not counted:
# the connection's own buffer is larger.
_UNCOUNTED_BYTES = 16_384
# What is read of a body that nobody needs, so that its connection can be used
# again.
_MAX_SKIPPED_BYTES = 65_536


class HeldAnswer:
    """What is held of one answer: its body, or an incomplete event."""

    def __init__(
        self, budget: AnswerBudget, answer: MatchedResponse, request_id: str
    ) -> None:
        self._budget = budget
        self._answer = answer
        self._request_id = request_id
        self._web_request: BaseRequest | None = None
        self._given_up: Fault | None = None
        self._room: asyncio.Future[None] | None = None
        self._holding = AnswerHolding(
            self._evict, self._is_evictable, self._pause, self._resume
        )
        length = answer.content_length
        self._holding.is_usual = length is not None and length <= SMALL_BYTES

    @property
    def is_counted(self) -> bool:
        """Whether it holds bytes of the budget."""
        return bool(self._holding.held_bytes)

    def concerns(self, size: int) -> bool:
        """Return whether so many bytes change what is held."""
        return size > _UNCOUNTED_BYTES or bool(self._holding.held_bytes)

    async def hold(self, size: int) -> None:
        """Hold ``size`` bytes in all; wait until there is room for more.

        Raise ``AnswerGivenUp`` if the room is needed for others.
        """
        held_bytes = self._holding.held_bytes
        if size < held_bytes:
            self._budget.release(self._holding)
            held_bytes = 0
        if size > _UNCOUNTED_BYTES and size > held_bytes:
            self._budget.charge(self._holding, size - held_bytes)
        while self._room is not None:
            await self._room
        if self._given_up is not None:
            raise AnswerGivenUp(self._given_up)

    def deliver(self, web_request: BaseRequest) -> None:
        """Hold the whole answer until its caller has read it."""
        self._web_request = web_request
        self._holding.unsent = self._unsent_bytes
        self._holding.progress_s = asyncio.get_running_loop().time()

    def release(self) -> None:
        """Free what is held."""
        self._budget.release(self._holding)

    def _unsent_bytes(self) -> int:
        transport = self._web_request and self._web_request.transport
        return transport.get_write_buffer_size() if transport else 0

    def _is_evictable(self) -> bool:
        return self._given_up is None

    def _pause(self) -> None:
        self._room = asyncio.get_running_loop().create_future()

    def _resume(self) -> None:
        room = self._room
        self._room = None
        if room is not None and not room.done():
            room.set_result(None)

    def _evict(self) -> None:
        fault = Fault.ROOM if self._web_request is None else Fault.UNREAD
        self._given_up = fault
        error = note_given_up(fault, request=self._request_id)
        if self._web_request is None:
            # Wakes its reader, which may wait for the server.
            self._answer.content.set_exception(error)
        elif self._web_request.transport is not None:
            self._web_request.transport.abort()


async def read_body(answer: MatchedResponse, held: HeldAnswer) -> bytes:
    """Return the body; raise ``AnswerGivenUp`` if there is no room for it."""
    length = answer.content_length or 0
    # The answer to a HEAD request states the length of a body that it lacks.
    if length > MAX_BODY_BYTES and not answer.content.is_eof():
        raise note_given_up(Fault.SIZE, length=length)
    body = BodyBuffer()
    try:
        await _collect(answer, body, held)
    except AnswerGivenUp:
        # The answer keeps the error, whose traceback keeps the body.
        body.clear()
        raise
    return body.join()


async def _collect(
    answer: MatchedResponse, body: BodyBuffer, held: HeldAnswer
) -> None:
    async for chunk in answer.content.iter_any():
        body.append(chunk)
        if body.size > MAX_BODY_BYTES:
            raise note_given_up(Fault.SIZE, received=body.size)
        if body.size > _UNCOUNTED_BYTES:
            await held.hold(body.size)


async def skip_body(answer: MatchedResponse) -> None:
    """Read a body that nobody needs; close the connection if it is long."""
    size = 0
    async for chunk in answer.content.iter_any():
        size += len(chunk)
        if size > _MAX_SKIPPED_BYTES:
            note_given_up(Fault.SIZE, received=size)
            answer.close()
            return
