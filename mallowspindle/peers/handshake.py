"""Handshake in which both sides prove that they hold the shared key.

No message is read before the handshake has succeeded.
"""

import hmac
import logging
import secrets
from dataclasses import dataclass

from mallowspindle.peers.errors import HandshakeFailed, PeerError
from mallowspindle.peers.frames import FrameStream
from mallowspindle.peers.transit import (
    ConnectionClock,
    PeerTime,
    read_peer_time,
)
from mallowspindle.utils.codec import CodecError

PROTOCOL_VERSION = 1
_NONCE_BYTES = 16
_MAX_FRAME_BYTES = 512
_MIN_FIELDS = 3

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Credentials:
    """This node's name and the key that all entry VMs share."""

    name: str
    key: bytes


async def handshake_as_server(
    stream: FrameStream, credentials: Credentials, clock: ConnectionClock
) -> str:
    """Authenticate a peer that connected to this node; return its name.

    The time in the greeting tells the peer that this node understands stamps.
    """
    nonce = secrets.token_bytes(_NONCE_BYTES)
    await stream.write(
        [PROTOCOL_VERSION, credentials.name, nonce, clock.now_ms()]
    )
    name, peer_nonce, proof = _parse_proof(await _read_greeting(stream))
    _verify_proof(credentials.key, 'client', name, nonce, proof)
    reply = _compute_proof(
        credentials.key, 'server', credentials.name, peer_nonce
    )
    await stream.write([PROTOCOL_VERSION, credentials.name, b'', reply])
    return name


async def handshake_as_client(
    stream: FrameStream, credentials: Credentials, clock: ConnectionClock
) -> PeerTime | None:
    """Authenticate the peer that this node connected to.

    Return the peer's time; None if it does not understand stamps of messages.
    """
    greeting = await _read_greeting(stream)
    peer_time = _peer_time(greeting, clock)
    server_nonce = greeting[2]
    nonce = secrets.token_bytes(_NONCE_BYTES)
    proof = _compute_proof(
        credentials.key, 'client', credentials.name, server_nonce
    )
    await stream.write([PROTOCOL_VERSION, credentials.name, nonce, proof])
    server_name, _, server_proof = _parse_proof(await _read_greeting(stream))
    _verify_proof(credentials.key, 'server', server_name, nonce, server_proof)
    return peer_time


async def _read_greeting(stream: FrameStream) -> list[object]:
    frame = await stream.read(_MAX_FRAME_BYTES)
    if not isinstance(frame, list) or len(frame) < _MIN_FIELDS:
        raise HandshakeFailed('malformed greeting: expected 3 or more fields')
    if frame[0] != PROTOCOL_VERSION:
        log.error(
            'peer uses protocol version %s, this node expects %s',
            frame[0],
            PROTOCOL_VERSION,
        )
        raise HandshakeFailed(f'unsupported protocol version {frame[0]}')
    return frame


def _peer_time(
    greeting: list[object], clock: ConnectionClock
) -> PeerTime | None:
    if len(greeting) == _MIN_FIELDS:
        return None
    try:
        return read_peer_time(greeting[_MIN_FIELDS], clock)
    except CodecError as error:
        raise HandshakeFailed(f'malformed greeting: {error}') from error


def _parse_proof(frame: list[object]) -> tuple[str, bytes, bytes]:
    match frame:
        case [_, str() as name, bytes() as nonce, bytes() as proof]:
            return name, nonce, proof
        case _:
            raise HandshakeFailed(
                'malformed greeting: expected a name, a nonce and a proof'
            )


def _compute_proof(key: bytes, role: str, name: str, nonce: object) -> bytes:
    if not isinstance(nonce, bytes):
        raise PeerError('malformed greeting: the nonce is not bytes')
    label = f'{role}|{name}|'.encode()
    return hmac.digest(key, label + nonce, 'sha256')


def _verify_proof(
    key: bytes, role: str, name: str, nonce: bytes, proof: bytes
) -> None:
    if not hmac.compare_digest(_compute_proof(key, role, name, nonce), proof):
        log.error('peer %s does not hold the shared key', name)
        raise HandshakeFailed(f'{name} does not hold the shared key')
