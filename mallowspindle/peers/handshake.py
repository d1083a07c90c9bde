"""Mutual proof of the shared key before any message is read."""

import hmac
import logging
import secrets
from dataclasses import dataclass

from mallowspindle.peers.errors import HandshakeFailed, PeerError
from mallowspindle.peers.frames import FrameStream

PROTOCOL_VERSION = 1
_NONCE_BYTES = 16
_MAX_FRAME_BYTES = 512
_LEAST_FIELDS = 3

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Credentials:
    """Name of this node and the key shared by all entry VMs."""

    name: str
    key: bytes


async def greet_as_server(stream: FrameStream, own: Credentials) -> str:
    """Prove the key to a dialling peer; return the peer's name."""
    nonce = secrets.token_bytes(_NONCE_BYTES)
    await stream.write([PROTOCOL_VERSION, own.name, nonce])
    name, peer_nonce, proof = _fields(await _read(stream))
    _check(own.key, 'client', name, nonce, proof)
    reply = _proof(own.key, 'server', own.name, peer_nonce)
    await stream.write([PROTOCOL_VERSION, own.name, b'', reply])
    return name


async def greet_as_client(stream: FrameStream, own: Credentials) -> str:
    """Prove the key to the peer that was dialled; return its name."""
    greeting = await _read(stream)
    name, server_nonce = greeting[1], greeting[2]
    nonce = secrets.token_bytes(_NONCE_BYTES)
    proof = _proof(own.key, 'client', own.name, server_nonce)
    await stream.write([PROTOCOL_VERSION, own.name, nonce, proof])
    server_name, _, server_proof = _fields(await _read(stream))
    _check(own.key, 'server', server_name, nonce, server_proof)
    return str(name)


async def _read(stream: FrameStream) -> list[object]:
    frame = await stream.read(_MAX_FRAME_BYTES)
    if not isinstance(frame, list) or len(frame) < _LEAST_FIELDS:
        raise HandshakeFailed('the greeting is not one of this protocol')
    if frame[0] != PROTOCOL_VERSION:
        log.error(
            'peer speaks protocol version %s, this node speaks %s',
            frame[0],
            PROTOCOL_VERSION,
        )
        raise HandshakeFailed(f'protocol version {frame[0]}')
    return frame


def _fields(frame: list[object]) -> tuple[str, bytes, bytes]:
    match frame:
        case [_, str() as name, bytes() as nonce, bytes() as proof]:
            return name, nonce, proof
        case _:
            raise HandshakeFailed('the greeting lacks a proof')


def _proof(key: bytes, role: str, name: str, nonce: object) -> bytes:
    if not isinstance(nonce, bytes):
        raise PeerError('the nonce is not bytes')
    text = f'{role}|{name}|'.encode()
    return hmac.digest(key, text + nonce, 'sha256')


def _check(
    key: bytes, role: str, name: str, nonce: bytes, proof: bytes
) -> None:
    if not hmac.compare_digest(_proof(key, role, name, nonce), proof):
        log.error('peer %s does not hold the shared key', name)
        raise HandshakeFailed(f'{name} does not hold the shared key')
