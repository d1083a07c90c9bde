"""Tests of peer connections: authentication, limits and network faults."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, cast

import pytest
import pytest_asyncio

from mallowspindle.bench.proxy import FaultMode, FaultProxy
from mallowspindle.peers.codec import (
    EncodedMessage,
    ErrorReply,
    OkReply,
    peer_codec,
)
from mallowspindle.peers.errors import (
    PeerError,
    PeerRefused,
    PeerTimeout,
    PeerUnreachable,
)
from mallowspindle.peers.frames import FrameStream
from mallowspindle.peers.handshake import (
    PROTOCOL_VERSION,
    Credentials,
    handshake_as_server,
)
from mallowspindle.peers.link import PeerLink
from mallowspindle.peers.server import PeerServer
from mallowspindle.peers.transit import ConnectionClock
from mallowspindle.utils.codec import CodecError, pack

KEY = b'the-shared-key'
MAX_FRAME_BYTES = 10_000
TIMEOUT_S = 0.4
# The high-water mark of a transport's write buffer, 64 KiB, and some frames.
MAX_QUEUED_BYTES = 100_000
SILENCE_LIMIT_S = 2.5


@pytest_asyncio.fixture
async def address() -> AsyncIterator[str]:
    server = PeerServer(Credentials('server', KEY), MAX_FRAME_BYTES)

    async def echo(message: OkReply) -> OkReply:
        return message

    server.handle(OkReply, echo)
    port = await server.start('127.0.0.1', 0)
    yield f'127.0.0.1:{port}'
    await server.stop()


def _link(address: str, key: bytes = KEY) -> PeerLink:
    return PeerLink(address, Credentials('client', key), MAX_FRAME_BYTES)


async def test_call_is_answered(address: str) -> None:
    link = _link(address)
    assert await link.call(OkReply(), TIMEOUT_S) == OkReply()
    assert link.sent_bytes > 0
    await link.close()


async def test_unhandled_message_is_refused(address: str) -> None:
    link = _link(address)
    with pytest.raises(PeerRefused):
        await link.call(ErrorReply('x'), TIMEOUT_S)
    await link.close()


class _NewMessage:
    """A message of a later build."""


async def test_unknown_message_does_not_end_the_link(
    address: str,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a later build that cuts off the calls of this one."""
    caplog.set_level('INFO')
    to_wire = peer_codec.to_wire

    def encode(message: object) -> list[Any]:
        if isinstance(message, _NewMessage):
            return ['of-a-later-build', {}]
        return to_wire(message)

    monkeypatch.setattr(peer_codec, 'to_wire', encode)
    link = _link(address)
    assert await link.call(OkReply(), TIMEOUT_S) == OkReply()
    for _ in range(3):
        with pytest.raises(PeerRefused, match='of-a-later-build'):
            await link.call(_NewMessage(), TIMEOUT_S)
    assert await link.call(OkReply(), TIMEOUT_S) == OkReply()
    assert caplog.text.count('message not understood') == 1
    assert 'lost' not in caplog.text
    await link.close()


async def test_unknown_reply_fails_its_call_only(
    address: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    from_wire = peer_codec.from_wire
    unknown = iter([True])

    def decode(wire: Any) -> Any:
        message = from_wire(wire)
        if isinstance(message, ErrorReply) and next(unknown, False):
            raise CodecError('unknown message tag')
        return message

    link = _link(address)
    await link.call(OkReply(), TIMEOUT_S)
    with pytest.raises(PeerRefused):
        await link.call(ErrorReply('x'), TIMEOUT_S)
    monkeypatch.setattr(peer_codec, 'from_wire', decode)
    with pytest.raises(PeerRefused, match='unknown message tag'):
        await link.call(ErrorReply('x'), TIMEOUT_S)
    assert await link.call(OkReply(), TIMEOUT_S) == OkReply()
    await link.close()


async def test_wrong_key_is_rejected(address: str) -> None:
    link = _link(address, b'another-key')
    with pytest.raises(PeerUnreachable):
        await link.call(OkReply(), TIMEOUT_S)


async def test_other_protocol_version_is_logged(
    address: str,
    caplog: pytest.LogCaptureFixture,
) -> None:
    reader, writer = await _open(address)
    stream = FrameStream(reader, writer, MAX_FRAME_BYTES)
    await stream.read()
    version = PROTOCOL_VERSION + 1
    await stream.write([version, 'client', b'nonce', b'proof'])
    with pytest.raises(PeerError):
        await stream.read()
    assert f'protocol version {version}' in caplog.text
    stream.close()


@pytest.mark.parametrize('frame', [7, [], None, [[], 'ok', {}], ['1', 'ok']])
async def test_frame_without_call_number_ends_the_connection(
    frame: object,
) -> None:
    reader = asyncio.StreamReader()
    payload = pack(frame)
    reader.feed_data(len(payload).to_bytes(4) + payload)
    stream = FrameStream(
        reader, cast(asyncio.StreamWriter, None), MAX_FRAME_BYTES
    )
    with pytest.raises(PeerError, match='expected a list that begins'):
        await stream.read_numbered()


async def test_too_long_frame_ends_the_connection(address: str) -> None:
    reader, writer = await _open(address)
    stream = FrameStream(reader, writer, MAX_FRAME_BYTES)
    await stream.read()
    writer.write((MAX_FRAME_BYTES + 1).to_bytes(4))
    with pytest.raises(PeerError):
        await stream.read()
    with pytest.raises(PeerError):
        await stream.write(b'x' * (MAX_FRAME_BYTES + 1))
    stream.close()


@pytest.mark.parametrize(
    ('mode', 'error'),
    [
        (FaultMode.CUT, PeerError),
        (FaultMode.FREEZE, PeerTimeout),
        (FaultMode.DROP_ANSWERS, PeerError),
    ],
)
async def test_network_faults_fail_the_call(
    address: str, mode: FaultMode, error: type[Exception]
) -> None:
    proxy = await FaultProxy.start(address)
    link = _link(proxy.address)
    await link.call(OkReply(), TIMEOUT_S)
    proxy.switch_mode(mode)
    with pytest.raises(error):
        await link.call(OkReply(), TIMEOUT_S)
    proxy.switch_mode(FaultMode.PASS)
    await _call_until_answered(link)
    await link.close()
    await proxy.stop()


async def test_silent_connection_is_replaced(address: str) -> None:
    """Guard against waiting for a dead connection while new ones would work."""
    proxy = await FaultProxy.start(address)
    link = _link(proxy.address)
    await link.call(OkReply(), TIMEOUT_S)
    for replacements in range(1, 3):
        proxy.blackhole_open_connections()
        with pytest.raises(PeerTimeout):
            await link.call(OkReply(), TIMEOUT_S)
        async with asyncio.timeout(SILENCE_LIMIT_S):
            await _call_until_answered(link)
        assert proxy.accepted_connections == 1 + replacements
    await link.close()
    await proxy.stop()


async def test_connection_that_goes_silent_while_idle_is_replaced(
    address: str,
) -> None:
    """A connection that goes silent while idle costs one timed-out call."""
    proxy = await FaultProxy.start(address)
    link = _link(proxy.address)
    await link.call(OkReply(), TIMEOUT_S)
    proxy.blackhole_open_connections()
    with pytest.raises(PeerTimeout):
        await link.call(OkReply(), SILENCE_LIMIT_S)
    assert await link.call(OkReply(), TIMEOUT_S) == OkReply()
    await link.close()
    await proxy.stop()


async def test_peer_that_never_replies_gets_few_connections() -> None:
    server = PeerServer(Credentials('server', KEY), MAX_FRAME_BYTES)

    async def never_reply(message: OkReply) -> OkReply:
        await asyncio.sleep(60)
        return message

    server.handle(OkReply, never_reply)
    port = await server.start('127.0.0.1', 0)
    proxy = await FaultProxy.start(f'127.0.0.1:{port}')
    link = _link(proxy.address)
    loop = asyncio.get_running_loop()
    ends_at_s = loop.time() + 8
    while loop.time() < ends_at_s:
        with pytest.raises(PeerTimeout):
            await link.call(OkReply(), TIMEOUT_S)
    assert 2 <= proxy.accepted_connections <= 4
    await link.close()
    await proxy.stop()
    await server.stop()


async def test_slow_replies_keep_the_connection(address: str) -> None:
    proxy = await FaultProxy.start(address)
    link = _link(proxy.address)
    await link.call(OkReply(), TIMEOUT_S)
    proxy.switch_mode(FaultMode.PASS, delay_s=TIMEOUT_S)
    for _ in range(6):
        with pytest.raises(PeerTimeout):
            await link.call(OkReply(), TIMEOUT_S)
    assert proxy.accepted_connections == 1
    await link.close()
    await proxy.stop()


async def test_calls_to_a_blocked_peer_are_not_buffered() -> None:
    """Timed-out calls must not stay queued for a peer that reads nothing."""
    server = PeerServer(Credentials('server', KEY), MAX_FRAME_BYTES)

    async def block_forever(message: ErrorReply) -> OkReply:
        await asyncio.sleep(60)
        return OkReply()

    server.handle(ErrorReply, block_forever)
    port = await server.start('127.0.0.1', 0)
    link = PeerLink(
        f'127.0.0.1:{port}', Credentials('client', KEY), MAX_FRAME_BYTES
    )
    message = ErrorReply('x' * (MAX_FRAME_BYTES // 2))
    calls = asyncio.gather(
        *(link.call(message, TIMEOUT_S) for _ in range(4000)),
        return_exceptions=True,
    )
    queued_bytes = 0
    while not calls.done():
        await asyncio.sleep(0)
        queued_bytes = max(queued_bytes, link.queued_bytes)
    assert all(isinstance(error, PeerError) for error in await calls)
    assert queued_bytes < MAX_QUEUED_BYTES
    await link.close()
    await server.stop()


async def test_calls_to_a_blocked_peer_do_not_fill_the_kernel() -> None:
    """Guards against a link that sends old messages for seconds.

    A peer that reads nothing lets the kernel accept megabytes from each link.
    """
    blocked = asyncio.Event()

    async def read_nothing(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        clock = ConnectionClock()
        stream = FrameStream(reader, writer, MAX_FRAME_BYTES)
        await handshake_as_server(stream, Credentials('server', KEY), clock)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await blocked.wait()
        stream.abort()

    server = await asyncio.start_server(read_nothing, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    link = _link(f'127.0.0.1:{port}')
    message = ErrorReply('x' * (MAX_FRAME_BYTES // 2))
    unsent_bytes = 0
    for _ in range(10):
        calls = (link.call(message, TIMEOUT_S / 2) for _ in range(400))
        answers = await asyncio.gather(*calls, return_exceptions=True)
        assert all(isinstance(error, PeerError) for error in answers)
        backlog = link.backlog
        if backlog is not None:
            sizes = backlog.bytes_by_kind()
            unsent_bytes = max(unsent_bytes, sizes.total())
    assert 0 < unsent_bytes < MAX_QUEUED_BYTES
    blocked.set()
    await link.close()
    server.close()
    await server.wait_closed()


async def _call_until_answered(link: PeerLink) -> None:
    async with asyncio.timeout(10):
        while True:
            try:
                await link.call(OkReply(), TIMEOUT_S)
            except PeerError:
                await asyncio.sleep(0.05)
            else:
                return


async def _open(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = address.split(':')
    return await asyncio.open_connection(host, int(port))


async def test_message_to_several_peers_is_encoded_once(
    address: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A relay encoded the same sum anew for each node of its zone.
    encoded: list[object] = []
    encode_parts = peer_codec.encode_parts

    def count(message: object) -> bytes:
        encoded.append(message)
        return encode_parts(message)

    monkeypatch.setattr(peer_codec, 'encode_parts', count)
    message = EncodedMessage(OkReply())
    links = [_link(address) for _ in range(3)]
    replies = [await link.call(message, TIMEOUT_S) for link in links]
    assert all(reply == OkReply() for reply in replies)
    assert encoded == [OkReply()]
    await asyncio.gather(*(link.close() for link in links))
