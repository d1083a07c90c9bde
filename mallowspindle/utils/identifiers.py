"""Unique identifiers and rendezvous hashing."""

import secrets
import time
import uuid
from collections.abc import Iterable
from functools import partial

from xxhash import xxh3_64_intdigest

_RANDOM_BITS = 74
_UUID_VERSION = 0x7
_VARIANT = 0b10


def new_id(prefix: str) -> str:
    """Return ``prefix-`` and a UUIDv7, which sorts by creation time."""
    return f'{prefix}-{uuid7()}'


def uuid7() -> uuid.UUID:
    """Return a UUID of version 7 for the present millisecond."""
    millis = time.time_ns() // 1_000_000
    noise = secrets.randbits(_RANDOM_BITS)
    high = noise >> 62
    low = noise & ((1 << 62) - 1)
    upper = millis << 16 | _UUID_VERSION << 12 | high
    lower = _VARIANT << 62 | low
    return uuid.UUID(int=upper << 64 | lower)


def uuid7_time_s(text: str) -> float | None:
    """Return the Unix time inside a UUIDv7, or None for any other text."""
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.version != _UUID_VERSION:
        return None
    return (parsed.int >> 80) / 1000


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` by descending rendezvous weight for ``key``."""
    return sorted(names, key=partial(rendezvous_weight, key), reverse=True)


def rendezvous_weight(key: str, name: str) -> int:
    """Return the weight of ``name`` in the rendezvous order for ``key``."""
    return xxh3_64_intdigest(f'{key}\0{name}'.encode())


def bucket_of(key: str, buckets: int) -> int:
    """Return the bucket of ``key`` among ``buckets``."""
    return xxh3_64_intdigest(key.encode()) % buckets
