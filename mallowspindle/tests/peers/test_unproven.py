"""Connections that never complete the handshake of peers."""

import asyncio

from mallowspindle.peers.frames import FrameStream
from mallowspindle.peers.handshake import Credentials, handshake_as_client
from mallowspindle.peers.server import PeerServer
from mallowspindle.peers.transit import ConnectionClock

_CREDENTIALS = Credentials('node', b'a-key-that-all-nodes-share')
_MAX_FRAME_BYTES = 100_000
_MAX_UNPROVEN = 4
# Less than the time limit of a handshake, which would end them, too.
_PATIENCE_S = 1.5


async def test_strangers_do_not_keep_peers_out() -> None:
    """Guards against strangers that take all descriptors, or much memory."""
    server = PeerServer(_CREDENTIALS, _MAX_FRAME_BYTES, _MAX_UNPROVEN)
    port = await server.start('127.0.0.1', 0)
    strangers = [
        await asyncio.open_connection('127.0.0.1', port) for _ in range(20)
    ]
    for _, writer in strangers:
        writer.write(bytes(2))
    connection = await asyncio.open_connection('127.0.0.1', port)
    peer = FrameStream(*connection, _MAX_FRAME_BYTES)
    await handshake_as_client(peer, _CREDENTIALS, ConnectionClock())
    # An abort resets a connection with unread bytes, so reads may fail.
    async with asyncio.timeout(_PATIENCE_S):
        await asyncio.gather(
            *(reader.read() for reader, _ in strangers[:-_MAX_UNPROVEN]),
            return_exceptions=True,
        )
    for _, writer in strangers:
        writer.close()
    peer.close()
    await server.stop()
