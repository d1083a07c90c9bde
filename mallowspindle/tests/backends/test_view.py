"""Exchanges that wait for the move of their run."""

import asyncio

import pytest
from multidict import CIMultiDict

from mallowspindle.backends.view import InFlightRequest
from mallowspindle.proxy.messages import CallerRequest


def _moving_request() -> InFlightRequest:
    request = CallerRequest('POST', '/', 'shop.example', 'r1', CIMultiDict())
    tracked = InFlightRequest(request, 0, 0)
    tracked.move = asyncio.get_running_loop().create_future()
    return tracked


async def test_cancelled_exchange_does_not_cancel_move() -> None:
    tracked = _moving_request()
    waiting = asyncio.create_task(tracked.relocation())
    await asyncio.sleep(0)
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert tracked.move is not None
    assert not tracked.move.done()


async def test_cancelled_move_gives_no_relocation() -> None:
    tracked = _moving_request()
    waiting = asyncio.create_task(tracked.relocation())
    await asyncio.sleep(0)
    assert tracked.move is not None
    tracked.move.cancel()
    assert await waiting is None


async def test_later_move_does_not_replace_awaited_one() -> None:
    """Guards against waiting for the wrong move.

    A target was full at the final move, and the next move began at once.
    """
    tracked = _moving_request()
    waiting = asyncio.create_task(tracked.relocation())
    await asyncio.sleep(0)
    assert tracked.move is not None
    tracked.move.set_result(None)
    tracked.move = asyncio.get_running_loop().create_future()
    assert await waiting is None
