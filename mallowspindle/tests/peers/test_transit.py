"""Ages in messages that wait on their way between two nodes."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import pytest
import pytest_asyncio

from mallowspindle.bench.proxy import FaultMode, FaultProxy
from mallowspindle.catalog.following import StreamEnd, StreamRequest
from mallowspindle.membership.messages import Heartbeat, MemberInfo
from mallowspindle.peers.codec import OkReply
from mallowspindle.peers.handshake import Credentials
from mallowspindle.peers.link import PeerLink
from mallowspindle.peers.server import PeerServer
from mallowspindle.peers.transit import (
    ConnectionClock,
    TransitBound,
    aged,
)
from mallowspindle.sharing.messages import (
    ForwardMessage,
    LeaseUpdate,
    NodeState,
    WorkSum,
)
from mallowspindle.tests.clock import FakeClock
from mallowspindle.utils.clock import boot_clock_s
from mallowspindle.utils.codec import CodecError

_KEY = b'the-shared-key'
_MAX_FRAME_BYTES = 10_000
_TIMEOUT_S = 3.0
_DELAY_S = 0.6
_TOLD_S = 0.05
# Time for the transfer and the handling on a busy machine.
_TOLERANCE_S = 0.3


@dataclass(slots=True)
class _Pair:
    """A link to a server that collects ends of streams, through a proxy."""

    link: PeerLink
    proxy: FaultProxy
    received: list[StreamEnd]

    async def send(self, made_at_s: float | None = None) -> float:
        """Send the end of a stream; return the age at which it is read."""
        end = StreamEnd('servers', 1, _TOLD_S)
        await self.link.call(end, _TIMEOUT_S, made_at_s)
        received = self.received[-1]
        return received.age_s + received.delay_s


@pytest_asyncio.fixture
async def pair() -> AsyncIterator[_Pair]:
    server = PeerServer(Credentials('server', _KEY), _MAX_FRAME_BYTES)
    received: list[StreamEnd] = []

    async def collect(end: StreamEnd) -> OkReply:
        received.append(end)
        return OkReply()

    async def answer(request: StreamRequest) -> StreamEnd:
        return StreamEnd(request.stream, 1, _TOLD_S)

    server.handle(StreamEnd, collect)
    server.handle(StreamRequest, answer)
    port = await server.start('127.0.0.1', 0)
    proxy = await FaultProxy.start(f'127.0.0.1:{port}')
    link = PeerLink(
        proxy.address, Credentials('client', _KEY), _MAX_FRAME_BYTES
    )
    yield _Pair(link, proxy, received)
    await link.close()
    await proxy.stop()
    await server.stop()


async def test_time_on_the_way_counts(pair: _Pair) -> None:
    """Guards against an age that lacks the time in the queue of a link."""
    assert _TOLD_S <= await pair.send() < _TOLD_S + _TOLERANCE_S
    pair.proxy.switch_mode(FaultMode.PASS, _DELAY_S)
    assert await pair.send() >= _TOLD_S + _DELAY_S
    pair.proxy.switch_mode(FaultMode.PASS)
    assert await pair.send() < _TOLD_S + _TOLERANCE_S


async def test_time_before_the_first_message_counts(pair: _Pair) -> None:
    pair.proxy.switch_mode(FaultMode.PASS, _DELAY_S / 3)
    assert await pair.send() >= _TOLD_S + _DELAY_S / 3


async def test_time_before_sending_counts(pair: _Pair) -> None:
    made_at_s = boot_clock_s() - _DELAY_S
    assert await pair.send(made_at_s) >= _TOLD_S + _DELAY_S


async def test_time_of_a_reply_on_its_way_counts(pair: _Pair) -> None:
    await pair.send()
    pair.proxy.switch_mode(FaultMode.PASS, _DELAY_S)
    reply = await pair.link.call(StreamRequest('servers'), _TIMEOUT_S)
    assert reply.delay_s >= _DELAY_S


async def test_messages_without_age_are_unchanged(pair: _Pair) -> None:
    assert aged(OkReply(), _DELAY_S) == OkReply()


def test_a_state_that_was_forwarded_ages_with_its_lease() -> None:
    lease = LeaseUpdate('one', 1, _TOLD_S)
    state = NodeState('one', 1, 'a', 1, WorkSum(), lease)
    late = aged(aged(state, 1), 2).lease_by_now
    assert late is not None
    assert late.age_s == pytest.approx(_TOLD_S + 3)
    assert aged(ForwardMessage([], 1), 2).age_s == 3


def test_a_time_of_day_that_was_long_on_its_way_is_dropped() -> None:
    """Guards against a clock that is set back by the delay of a message."""
    sender = MemberInfo('one', 'r', 'a', '', '', 1, 1)
    heartbeat = Heartbeat(sender, clock=(1000.0, 5.0))
    assert aged(heartbeat, 0.1) == heartbeat
    assert aged(heartbeat, _DELAY_S) == Heartbeat(sender)
    assert heartbeat.is_dated
    assert not Heartbeat(sender).is_dated


class _Bound:
    """A bound on the transit of messages, at a clock that tests control."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = FakeClock()
        monkeypatch.setattr(
            'mallowspindle.peers.transit.boot_clock_s', self.clock
        )
        self.bound = TransitBound(ConnectionClock())

    def delay_s(self, *stamp: int) -> float:
        return self.bound.delay_s(list(stamp))


def test_bound_uses_the_best_exchange(monkeypatch: pytest.MonkeyPatch) -> None:
    receiver = _Bound(monkeypatch)
    receiver.clock.advance(2)
    # Its clock is 5 s ahead. The greeting took a second to reach the sender.
    assert receiver.delay_s(6900, 0, 0, 6000) == pytest.approx(1.1, 0.01)
    receiver.clock.advance(1)
    assert receiver.delay_s(7950, 0, 2000, 7010) == pytest.approx(0.06, 0.1)
    receiver.clock.advance(3.3)
    assert receiver.delay_s(7960, 20, 2000, 7010) == pytest.approx(3.37, 0.01)


def test_bound_allows_for_clocks_that_drift(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    receiver = _Bound(monkeypatch)
    assert receiver.delay_s(0, 0, 0, 0) == 0
    receiver.clock.advance(1000)
    assert receiver.delay_s(1_000_000, 0, 0, 0) == pytest.approx(1)


@pytest.mark.parametrize(
    'stamp',
    [
        [],
        None,
        7,
        [0, 0, 0],
        [0, 0, 0, -1],
        [0, 0, 0, True],
        [0, 0, 0, 0.5],
        [0, 10**40, 0, 0],
        ['0', 0, 0, 0],
        # The receiver can't have sent this time yet.
        [0, 0, 10_000, 0],
    ],
)
def test_odd_stamps_are_refused(stamp: object) -> None:
    with pytest.raises(CodecError, match='stamp'):
        TransitBound(ConnectionClock()).delay_s(stamp)


async def test_peers_of_an_older_build_get_no_stamps(
    pair: _Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its greeting has no time, and it expects a tag and fields only."""
    monkeypatch.setattr(
        'mallowspindle.peers.handshake.read_peer_time', lambda *_: None
    )
    assert await pair.send() == _TOLD_S
