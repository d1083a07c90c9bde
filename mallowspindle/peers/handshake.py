"""Handshake in which both sides prove that they hold the shared key.

No message is read before the handshake has succeeded.
"""

import hmac
import logging
import secrets
from dataclasses import dataclass

from mallowspindle.peers.errors import HandshakeFailed, PeerError
from mallowspindle.peers.frames import FrameStream

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
    stream: FrameStream, credentials: Credentials
) -> str:
    """Authenticate a peer that connected to this node; return its name."""
    nonce = secrets.token_bytes(_NONCE_BYTES)
    await stream.write([PROTOCOL_VERSION, credentials.name, nonce])
    name, peer_nonce, proof = _parse_proof(await _read_greeting(stream))
    _verify_proof(credentials.key, 'client', name, nonce, proof)
    reply = _compute_proof(
        credentials.key, 'server', credentials.name, peer_nonce
    )
    await stream.write([PROTOCOL_VERSION, credentials.name, b'', reply])
    return name


async def handshake_as_client(
    stream: FrameStream, credentials: Credentials
) -> str:
    """Authenticate the peer that this node connected to; return its name."""
    greeting = await _read_greeting(stream)
    name, server_nonce = greeting[1], greeting[2]
    nonce = secrets.token_bytes(_NONCE_BYTES)
    proof = _compute_proof(
        credentials.key, 'client', credentials.name, server_nonce
    )
    await stream.write([PROTOCOL_VERSION, credentials.name, nonce, proof])
    server_name, _, server_proof = _parse_proof(await _read_greeting(stream))
    _verify_proof(credentials.key, 'server', server_name, nonce, server_proof)
    return str(name)


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
