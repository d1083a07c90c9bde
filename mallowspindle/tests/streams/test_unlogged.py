"""Streams that are offered until the log has them, in simulated time."""

import asyncio
from collections.abc import Sequence

from mallowspindle.streams.messages import StreamBegun, StreamKey
from mallowspindle.streams.unlogged import LoggingPace, UnloggedStreams
from mallowspindle.tests.simulation import simulated

_BEGUN = StreamBegun(StreamKey('farm', 'r1'), 'models', 'v1')
_LATER = StreamBegun(_BEGUN.key, 'models', 'v2')
_PACE = LoggingPace(collect_s=0.02, batch_s=0.1, confirm_s=0.25)


class _Recorder:
    """Accepts all streams, but logs none before ``logs_from``."""

    def __init__(self, logs_from: int) -> None:
        self._logs_from = logs_from
        self.offers: list[Sequence[StreamBegun]] = []

    async def log(self, streams: Sequence[StreamBegun]) -> list[bool]:
        """Note the offer."""
        self.offers.append(streams)
        return [len(self.offers) >= self._logs_from for _ in streams]


async def _offer(recorder: _Recorder, *streams: StreamBegun) -> int:
    """Return how many streams are unlogged after 10 s."""
    clock = asyncio.get_running_loop().time
    unlogged = UnloggedStreams(recorder.log, lambda: _PACE, clock)
    task = asyncio.create_task(unlogged.run())
    for begun in streams:
        unlogged.add(begun)
    await asyncio.sleep(10)
    task.cancel()
    return len(unlogged)


@simulated
async def test_an_accepted_stream_is_offered_until_it_is_logged() -> None:
    """Guards against a stream that is dropped when a node has accepted it."""
    recorder = _Recorder(logs_from=3)
    assert not await _offer(recorder, _BEGUN)
    assert recorder.offers == [[_BEGUN], [_BEGUN], [_BEGUN]]


@simulated
async def test_offers_become_rare_while_the_log_is_away() -> None:
    recorder = _Recorder(logs_from=1000)
    assert await _offer(recorder, _BEGUN) == 1
    assert 5 < len(recorder.offers) < 10


@simulated
async def test_only_the_latest_stream_of_an_id_is_offered() -> None:
    recorder = _Recorder(logs_from=1)
    assert not await _offer(recorder, _BEGUN, _LATER)
    assert recorder.offers == [[_LATER]]
