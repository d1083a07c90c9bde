"""Runs that are waited for while they move."""

import asyncio

import pytest
from multidict import CIMultiDict

from mallowspindle.backends.view import InFlightRequest
from mallowspindle.proxy.messages import CallerRequest


def _moving_work() -> InFlightRequest:
    request = CallerRequest('POST', '/', 'shop.example', 'r1', CIMultiDict())
    work = InFlightRequest(request, 0, 0)
    work.move = asyncio.get_running_loop().create_future()
    return work


async def test_a_caller_that_leaves_during_a_move_ends_the_exchange() -> None:
    work = _moving_work()
    waiting = asyncio.create_task(work.relocation())
    await asyncio.sleep(0)
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert work.move is not None
    assert not work.move.done()


async def test_a_refused_move_leaves_the_stream_to_be_resumed() -> None:
    work = _moving_work()
    waiting = asyncio.create_task(work.relocation())
    await asyncio.sleep(0)
    assert work.move is not None
    work.move.cancel()
    assert await waiting is None


async def test_a_later_move_does_not_answer_for_the_one_waited_for() -> None:
    """Replays a target that is full at last, and the next one right behind."""
    work = _moving_work()
    waiting = asyncio.create_task(work.relocation())
    await asyncio.sleep(0)
    assert work.move is not None
    work.move.set_result(None)
    work.move = asyncio.get_running_loop().create_future()
    assert await waiting is None
